"""
Admission control for requests.

Chooses the upstream of a request, estimates whether it can answer before the
deadline, and decides on response timeouts and retries.
"""

import attrs

from lycheevalve.flows import load

# The response timeout is this multiple of the expected latency ...
RESPONSE_TIMEOUT_FACTOR = 8.0
# ... but at least this many seconds. An upstream that has not answered yet has no
# latency estimate: its timeout is this share of the time left to the deadline.
MIN_RESPONSE_TIMEOUT_SECONDS = 1.0
UNKNOWN_LATENCY_TIMEOUT_SHARE = 0.5
MAX_ATTEMPTS = 3
# In-flight requests allowed per slot of an upstream. More than one, so that some
# wait in the upstream's own queue and its slots stay busy.
REQUESTS_PER_SLOT = 2.5
# The wait that a refusal's Max-Age is based on if there is no upstream.
NO_UPSTREAM_WAIT_SECONDS = 2.0


@attrs.define
class Admission:
    """
    Admission decisions of one instance.

    `count_owners()` returns how many instances own shards.
    """

    upstreams: object
    count_owners: object
    random: object
    budgets: dict = attrs.field(factory=dict)

    def candidates(self, exchange, now):
        """Return the usable upstreams that the exchange has not been sent to yet."""
        usable = self.upstreams.usable(exchange.service.name, now)
        return [upstream for upstream in usable if upstream.index not in exchange.tried]

    def choose(self, exchange, candidates, now):
        """Return the best of `candidates`, or None if there are none."""
        warm_up = exchange.service.warm_up_seconds
        return load.choose_for_request(candidates, now, warm_up, self.random)

    def choose_with_capacity(self, exchange, candidates, now):
        """Return the best candidate below its in-flight limit, or None."""
        others_load = self.estimate_others_load(exchange, now)
        with_capacity = [
            upstream
            for upstream in candidates
            if load.estimate_in_flight(upstream, now, others_load)
            < max(1, upstream.registration.slots) * REQUESTS_PER_SLOT
        ]
        return self.choose(exchange, with_capacity, now)

    def estimate_others_load(self, exchange, now):
        """Return the estimated in-flight requests of the other owners per upstream."""
        usable = self.upstreams.usable(exchange.service.name, now)
        return load.estimate_others_load(usable, self.count_owners())

    def can_meet_deadline(self, exchange, candidates, ahead, now):
        """Return whether any candidate can be expected to answer before the deadline."""
        if not candidates:
            return False
        share = self.estimate_queue_share(ahead, candidates)
        others_load = self.estimate_others_load(exchange, now)
        deadline = exchange.deadline
        return any(load.can_finish(u, now, deadline, others_load, share) for u in candidates)

    def estimate_queue_share(self, ahead, candidates):
        """
        Return the number of queued requests for each candidate, those of all owners.

        The queues of the other owners are assumed to be as long as this one.
        """
        return ahead * self.count_owners() / max(1, len(candidates))

    def estimate_queue_wait(self, exchange, ahead, now):
        """Return the estimated seconds until a slot is free for another request."""
        candidates = self.candidates(exchange, now)
        share = self.estimate_queue_share(ahead, candidates)
        others_load = self.estimate_others_load(exchange, now)
        waits = [load.estimate_wait(u, now, others_load, share) for u in candidates]
        return min(waits, default=NO_UPSTREAM_WAIT_SECONDS)

    def response_timeout(self, exchange, now):
        """Return the seconds after which a sent request without an answer times out."""
        upstream = exchange.upstream
        if not upstream.answers:
            return (exchange.deadline - now) * UNKNOWN_LATENCY_TIMEOUT_SHARE
        wait = load.estimate_wait(upstream, now, self.estimate_others_load(exchange, now))
        return max(
            MIN_RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_FACTOR * (upstream.latency + wait)
        )

    def choose_for_retry(self, exchange, now):
        """Return an upstream for another attempt, or None; spends the retry budget."""
        if exchange.request.is_later_block or exchange.attempts >= MAX_ATTEMPTS:
            return None
        upstream = self.choose(exchange, self.candidates(exchange, now), now)
        if upstream is None:
            return None
        others_load = self.estimate_others_load(exchange, now)
        if not load.can_finish(upstream, now, exchange.deadline, others_load):
            return None
        return upstream if self.budget(exchange.service).spend() else None

    def budget(self, service):
        """Return the retry budget of a service."""
        if service.name not in self.budgets:
            self.budgets[service.name] = load.RetryBudget(service.retry_ratio)
        return self.budgets[service.name]
