"""
Limits: estimates of load, admission by deadline, the retry budget.

Reports are evidence with an age: they soon give way to what this instance
itself has under way, taken as a sample of all owners.
"""

import math

import attrs

REPORT_HALF_LIFE_SECONDS = 0.1
FAILURE_HALF_LIFE_SECONDS = 2.0
MAX_FAILURES = 8.0
MIN_LATENCY_SECONDS = 0.001
RETRY_BURST = 10.0
# Bounds of the time to come back that a refusal names, in seconds.
MIN_RETRY_AFTER_SECONDS = 1
MAX_RETRY_AFTER_SECONDS = 60


@attrs.define
class RetryBudget:
    """Tokens for retries: each request earns a share of one, a retry costs one."""

    ratio: float
    tokens: float = RETRY_BURST

    def earn(self):
        """Count a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + self.ratio)

    def spend(self):
        """Take a token for a retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def estimate_elsewhere(candidates, owners):
    """
    Return the requests that the other owners are thought to have at each upstream.

    Flows are spread over the owners by hash, so the others have on average what
    this instance has.
    """
    if not candidates:
        return 0.0
    own = sum(upstream.outstanding for upstream in candidates)
    return own / len(candidates) * (owners - 1)


def estimate_in_flight(upstream, now, elsewhere):
    """
    Return the requests an upstream is thought to hold.

    What this instance has there, and of the others' what the last report showed,
    which gives way to the estimate `elsewhere` as it ages.
    """
    trust = 0.5 ** (max(0.0, now - upstream.reported_at) / REPORT_HALF_LIFE_SECONDS)
    reported = upstream.registration.busy + upstream.registration.queued
    own_then = upstream.outstanding - upstream.since_report
    others_then = max(0, reported - own_then)
    return upstream.outstanding + trust * others_then + (1 - trust) * elsewhere


def estimate_wait(upstream, now, elsewhere, ahead=0):
    """Return the seconds a request would wait there for a free slot."""
    slots = max(1, upstream.registration.slots)
    excess = estimate_in_flight(upstream, now, elsewhere) + ahead + 1 - slots
    return max(0.0, excess) / slots * upstream.latency


def choose_for_request(candidates, now, warm_up_seconds, random):
    """
    Return the upstream that should answer soonest, or None.

    It goes by what this instance has outstanding there, not by reports: those
    are the same for all instances, which would all turn to the same upstream.
    """

    def cost(upstream):
        slots = max(1, upstream.registration.slots)
        load = (upstream.outstanding + 1) / slots / upstream.warmth(now, warm_up_seconds)
        latency = max(upstream.latency, MIN_LATENCY_SECONDS)
        return load * latency * 2.0 ** weigh_failures(upstream, now), random.random()

    return min(candidates, key=cost, default=None)


def note_failure(upstream, now):
    """Count a silence or a refusal of an upstream."""
    upstream.failures = min(MAX_FAILURES, weigh_failures(upstream, now) + 1)
    upstream.failed_at = now


def weigh_failures(upstream, now):
    """Return the failures since the last answer, halved every so often."""
    return upstream.failures * 0.5 ** ((now - upstream.failed_at) / FAILURE_HALF_LIFE_SECONDS)


def can_finish(upstream, now, deadline, elsewhere, ahead=0):
    """Return whether an answer can be expected before `deadline`."""
    return now + estimate_wait(upstream, now, elsewhere, ahead) + upstream.latency <= deadline


def spread_retry_after(wait_seconds, random):
    """Return the whole seconds after which a refused caller should come back."""
    base = max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
    spread = base * random.uniform(1.0, 3.0)
    return min(MAX_RETRY_AFTER_SECONDS, math.ceil(spread))


def update_latency(upstream, seconds):
    """Fold an observed latency into the estimate."""
    upstream.latency += 0.2 * (seconds - upstream.latency)
