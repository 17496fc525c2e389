"""
Admission of requests: which upstream may take one, whether it can be in time,
how long to wait for it, and whether to try again.
"""

import attrs

from lycheevalve.flows import limits

# A sent request is given up on after this many times the expected latency ...
SILENCE_FACTOR = 8.0
# ... but not before this many seconds; of an upstream whose latency is not
# known yet, after this share of the time that is left.
MIN_SILENCE_SECONDS = 1.0
FIRST_SILENCE_SHARE = 0.5
MAX_ATTEMPTS = 3
# Requests sent to an upstream for each of its slots: some wait in its own queue,
# so that its slots stay busy.
REQUESTS_PER_SLOT = 2.5
# What a refusal assumes when there is no upstream at all.
NO_UPSTREAM_WAIT_SECONDS = 2.0


@attrs.define
class Admission:
    """The judgements of one instance; `owners()` is how many instances own shards."""

    upstreams: object
    owners: object
    random: object
    budgets: dict = attrs.field(factory=dict)

    def candidates(self, exchange, now):
        """Return the upstreams that the exchange may go to and has not tried."""
        usable = self.upstreams.usable(exchange.service.name, now)
        return [upstream for upstream in usable if upstream.index not in exchange.tried]

    def choose(self, exchange, candidates, now):
        """Return the best of `candidates`, or None."""
        warm_up = exchange.service.warm_up_seconds
        return limits.choose_for_request(candidates, now, warm_up, self.random)

    def choose_with_room(self, exchange, candidates, now):
        """Return the best of those with a free slot or one to spare, or None."""
        elsewhere = self.elsewhere(exchange, now)
        with_room = [
            upstream
            for upstream in candidates
            if limits.estimate_in_flight(upstream, now, elsewhere)
            < max(1, upstream.registration.slots) * REQUESTS_PER_SLOT
        ]
        return self.choose(exchange, with_room, now)

    def elsewhere(self, exchange, now):
        """Return what the other owners are thought to have at each upstream."""
        usable = self.upstreams.usable(exchange.service.name, now)
        return limits.estimate_elsewhere(usable, self.owners())

    def is_hopeful(self, exchange, candidates, ahead, now):
        """Return whether some candidate can still answer in time."""
        if not candidates:
            return False
        # The other owners' queues are as long as this one, as far as we know.
        share = ahead * self.owners() / len(candidates)
        elsewhere = self.elsewhere(exchange, now)
        deadline = exchange.deadline
        return any(limits.can_finish(u, now, deadline, elsewhere, share) for u in candidates)

    def expect_wait(self, exchange, ahead, now):
        """Return the seconds after which a request would find a free slot."""
        candidates = self.candidates(exchange, now)
        share = ahead / max(1, len(candidates))
        elsewhere = self.elsewhere(exchange, now)
        waits = [limits.estimate_wait(u, now, elsewhere, share) for u in candidates]
        return min(waits, default=NO_UPSTREAM_WAIT_SECONDS)

    def patience(self, exchange, now):
        """Return the seconds of silence after which a sent request is given up on."""
        upstream = exchange.upstream
        if not upstream.answers:
            return (exchange.deadline - now) * FIRST_SILENCE_SHARE
        wait = limits.estimate_wait(upstream, now, self.elsewhere(exchange, now))
        return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * (upstream.latency + wait))

    def choose_for_retry(self, exchange, now):
        """Return an upstream for another attempt, or None; that spends the budget."""
        if exchange.request.continues or exchange.attempts >= MAX_ATTEMPTS:
            return None
        upstream = self.choose(exchange, self.candidates(exchange, now), now)
        if upstream is None:
            return None
        elsewhere = self.elsewhere(exchange, now)
        if not limits.can_finish(upstream, now, exchange.deadline, elsewhere):
            return None
        return upstream if self.budget(exchange.service).spend() else None

    def budget(self, service):
        """Return the retry budget of a service."""
        if service.name not in self.budgets:
            self.budgets[service.name] = limits.RetryBudget(service.retry_ratio)
        return self.budgets[service.name]
