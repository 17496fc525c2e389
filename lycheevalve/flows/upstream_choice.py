"""
The choice of an upstream for a new flow.

Load: the flows of one instance, which sees a part of an upstream's load only. Upstreams that
drain, leave or are cold get no flow; those that seem to fail get one only when all do. Of
the others the near ones go first (locality.py), then the one with the lowest cost.
"""

import attrs

from lycheevalve.flows.costs import estimate_cost
from lycheevalve.flows.load import decayed_failure_count
from lycheevalve.flows.passive_health import (
    exclude_unresponsive,
    is_healthy,
    is_unresponsive,
)

# Of the copies of an opening packet these go to near upstreams; all those may have failed.
MAX_NEAR_ATTEMPTS = 2


@attrs.define
class UpstreamChoice:
    """
    Chooses among the upstreams of a route.

    `upstreams` is the table of upstreams.py, `failures` a FailureDetector, `lost` a
    LostUpstreams, `locality` a Locality, and `random` a random.Random.
    """

    upstreams: object
    random: object
    data_centre: str
    failures: object
    lost: object
    locality: object
    # The time against which leases are checked; it lags while no replica is reached.
    lease_time: object = lambda now: now
    # `count_instances(now)`: how many instances the data centre has, 0 if it is not known.
    count_instances: object = lambda now: 0
    # How often upstreams announce themselves.
    heartbeat_seconds: float = 1.0

    def choose(self, route, tried, may_probe, now):
        """
        Return the least loaded upstream of a service chosen by weight, or None.

        `tried` are those that earlier copies of the opening packet went to.
        """
        usable = [
            (weight, candidates)
            for service, weight in route.backends
            if weight > 0 and (candidates := self.find_warm(route, service, now))
        ]
        if not usable:
            return None
        weights = [weight for weight, _ in usable]
        candidates = self.random.choices([c for _, c in usable], weights)[0]
        reached = [u for u in candidates if not self.is_cut_off(u, now)]
        candidates = exclude_unresponsive(reached or candidates, may_probe, now)
        if len(tried) < MAX_NEAR_ATTEMPTS:
            candidates = self.locality.select_near(candidates, self.count_instances(now), now)
        untried = [upstream for upstream in candidates if upstream not in tried]
        chosen = min(untried or candidates, key=lambda u: self.cost(u, now))
        if is_unresponsive(chosen, now):
            chosen.probed_at = now
        return chosen

    def is_cut_off(self, upstream, now):
        """Return whether an upstream or its data centre seems to be cut off."""
        return self.lost.is_lost(upstream, now) or self.failures.is_in_silent_data_centre(
            upstream, now
        )

    def candidates(self, service, now):
        """Return the upstreams of a service that may get new flows."""
        usable = self.upstreams.usable(service, self.lease_time(now))
        return [upstream for upstream in usable if upstream.cookie]

    def find_warm(self, route, service, now):
        """
        Return the upstreams of a service that may get new flows and have warmed up.

        A cold upstream bears few requests of all instances together, and no instance has
        the number of the others. The warm ones carry the load until it is warm.
        """
        candidates = self.candidates(service, now)
        if service not in route.warming_services:
            return candidates
        return self.upstreams.exclude_warming_up(candidates, now, self.heartbeat_seconds)

    def find_refusal_reason(self, route, now):
        """Return why no upstream of a route may get a new flow."""
        services = [service for service, weight in route.backends if weight > 0]
        if any(self.candidates(service, now) for service in services):
            return "warming_up"
        upstreams = [u for s in services for u in self.upstreams.by_service.get(s, ())]
        lease_time = self.lease_time(now)
        evacuated = any(u.evacuated and lease_time < u.expires_at for u in upstreams)
        return "evacuated" if evacuated else "no_upstream"

    def cost(self, upstream, now):
        """Return an upstream's load as seen from here, with a random tie-break; lowest wins."""
        slots = max(1, upstream.registration.slots) * upstream.announced_share(now)
        is_local = upstream.registration.data_centre == self.data_centre
        failure_factor = 2.0 ** decayed_failure_count(upstream, now)
        cost = estimate_cost(upstream.flows, slots, is_local, failure_factor)
        return cost, self.random.random()

    def has_healthy(self, service, now):
        """Return whether an upstream of a service answered recently."""
        others = self.candidates(service, now)
        return any(is_healthy(u, now) and not self.lost.is_lost(u, now) for u in others)

    def has_usable(self, service, now):
        """Return whether an upstream of a service is not known to have failed."""
        others = self.candidates(service, now)
        return any(not (is_unresponsive(u, now) or self.lost.is_lost(u, now)) for u in others)
