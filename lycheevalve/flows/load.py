"""
Load estimates of upstreams, the choice among them, and the retry budget.

The load that an upstream reports goes out of date quickly. Its weight decays, in
favour of an estimate that takes this instance's own in-flight requests as a sample
of those of all owners.
"""

import math

import attrs

REPORT_HALF_LIFE_SECONDS = 0.1
FAILURE_HALF_LIFE_SECONDS = 2.0
MAX_FAILURES = 8.0
MIN_LATENCY_SECONDS = 0.001
RETRY_BURST_TOKENS = 10.0
# Bounds of the Max-Age of a refusal: when the caller should retry.
MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 60


@attrs.define
class RetryBudget:
    """A token bucket for retries: each request adds `ratio` tokens, a retry takes one."""

    ratio: float
    tokens: float = RETRY_BURST_TOKENS

    def add_credit(self):
        """Add the tokens of a request's first attempt."""
        self.tokens = min(RETRY_BURST_TOKENS, self.tokens + self.ratio)

    def spend(self):
        """Take a token for a retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def estimate_others_load(candidates, owners):
    """
    Return the estimated in-flight requests of the other owners per upstream.

    Hashing spreads flows evenly over the owners, so each of the others has on
    average as many as this instance.
    """
    if not candidates:
        return 0.0
    own = sum(upstream.outstanding for upstream in candidates)
    return own / len(candidates) * (owners - 1)


def estimate_in_flight(upstream, now, others_load):
    """
    Return the estimated in-flight requests at an upstream, of all owners.

    The sum of this instance's own and the other owners' requests. The latter are
    taken from the upstream's last report and, as that ages, from `others_load`.
    """
    weight = 0.5 ** (max(0.0, now - upstream.reported_at) / REPORT_HALF_LIFE_SECONDS)
    reported = upstream.registration.busy + upstream.registration.queued
    own_reported = upstream.outstanding - upstream.requests_since_report
    others_reported = max(0, reported - own_reported)
    return upstream.outstanding + weight * others_reported + (1 - weight) * others_load


def estimate_wait(upstream, now, others_load, ahead=0):
    """
    Return the estimated seconds until an upstream has a slot for another request.

    `ahead` is the number of queued requests that will be sent to it before.
    """
    slots = max(1, upstream.registration.slots)
    excess = estimate_in_flight(upstream, now, others_load) + ahead + 1 - slots
    return max(0.0, excess) / slots * upstream.latency


def choose_for_request(candidates, now, warm_up_seconds, random):
    """
    Return the upstream that is expected to answer soonest, or None.

    Uses only this instance's own outstanding requests. All instances receive the
    same load reports and would all choose the same upstream.
    """

    def cost(upstream):
        slots = max(1, upstream.registration.slots)
        load = (upstream.outstanding + 1) / slots / upstream.warm_up_share(now, warm_up_seconds)
        latency = max(upstream.latency, MIN_LATENCY_SECONDS)
        return load * latency * 2.0 ** decayed_failure_count(upstream, now), random.random()

    return min(candidates, key=cost, default=None)


def record_failure(upstream, now):
    """Count a timed-out or refused request of an upstream."""
    upstream.failures = min(MAX_FAILURES, decayed_failure_count(upstream, now) + 1)
    upstream.failed_at = now


def decayed_failure_count(upstream, now):
    """Return the failures since the last answer, decayed by their half-life."""
    return upstream.failures * 0.5 ** ((now - upstream.failed_at) / FAILURE_HALF_LIFE_SECONDS)


def can_finish(upstream, now, deadline, others_load, ahead=0):
    """Return whether an upstream can be expected to answer before `deadline`."""
    return now + estimate_wait(upstream, now, others_load, ahead) + upstream.latency <= deadline


def jittered_retry_after(wait_seconds, random):
    """Return the whole seconds, with jitter, after which a caller should retry."""
    base = max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
    spread = base * random.uniform(1.0, 3.0)
    return min(MAX_RETRY_AFTER_SECONDS, math.ceil(spread))


def update_latency(upstream, seconds):
    """Update the latency estimate of an upstream, an exponential moving average."""
    upstream.latency += 0.2 * (seconds - upstream.latency)
