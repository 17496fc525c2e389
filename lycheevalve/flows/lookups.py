"""
Answers to the lookups of instances that have just started, see early_routing.py.

A control replica answers for upstreams whose leases hold in its own table. It names
upstreams for new flows only while it is current and has the registrations of most other
replicas: one that was cut off, paused or down may hold an older configuration, or upstreams
that have left.
"""

import socket

import attrs

from lycheevalve.flows.cookies import CookieTable
from lycheevalve.schema.lookups import MAX_TARGETS, Answer, Target


@attrs.define
class LookupTable:
    """Finds upstreams by cookie and by front door; `upstreams` is the table of a replica."""

    upstreams: object
    random: object
    heartbeat_seconds: float = 1.0
    cookies: CookieTable = attrs.field(factory=CookieTable)
    # The routes of the configuration `revision`, see front_doors.py.
    routes: dict = attrs.field(factory=dict)
    revision: int = 0

    def add(self, registration):
        """Add the upstream of a registration that was applied."""
        upstream = self.upstreams.find(registration.address, registration.incarnation)
        if upstream is not None:
            self.cookies.add(upstream)

    def evict(self):
        """Evict the cookies of upstreams that the table has evicted."""
        self.cookies.retain(lambda u: u.index in self.upstreams.by_index)

    def set_routes(self, routes, revision):
        """Replace the routes with those of a configuration."""
        self.routes, self.revision = routes, revision

    def list_targets(self, now):
        """Return the Targets of all upstreams with valid leases."""
        upstreams = self.upstreams.by_address.values()
        return [build_target(u, "") for u in upstreams if u.cookie and is_valid(u, now)]

    def answer(self, lookup, is_informed, now):
        """Return the Answer to a Lookup."""
        found = [self.cookies.find(cookie) for cookie in lookup.cookies]
        local = lookup.data_centre
        targets = [build_target(u, local) for u in found if u is not None and is_valid(u, now)]
        if not is_informed:
            return Answer(lookup.nonce, 0, targets)
        candidates = {
            front_door: self.find_candidates(front_door, local, now)
            for front_door in lookup.front_doors
            if front_door in self.routes
        }
        return Answer(lookup.nonce, self.revision, targets, candidates)

    def find_usable(self, route, service, now):
        """Return the upstreams of a service that may get new flows of a route."""
        usable = [u for u in self.upstreams.usable(service, now) if u.cookie]
        if service not in route.warming_services:
            return usable
        return self.upstreams.exclude_warming_up(usable, now, self.heartbeat_seconds)

    def find_candidates(self, front_door, data_centre, now):
        """Return the Targets that may get new flows of a front door, near ones first."""
        route = self.routes[front_door]
        usable = [
            (weight, upstreams)
            for service, weight in route.backends
            if weight > 0 and (upstreams := self.find_usable(route, service, now))
        ]
        if not usable:
            return []
        # Each answer has the upstreams of one service, chosen by weight.
        weights = [weight for weight, _ in usable]
        found = self.random.choices([upstreams for _, upstreams in usable], weights)[0]
        self.random.shuffle(found)
        near = [u for u in found if u.registration.data_centre == data_centre]
        chosen = [*near, *(u for u in found if u not in near)][:MAX_TARGETS]
        return [build_target(upstream, data_centre) for upstream in chosen]


def is_valid(upstream, now):
    """Return whether packets of open flows may be forwarded to an upstream."""
    return now < upstream.expires_at and not upstream.has_exited(now)


def build_target(upstream, data_centre):
    """Return the Target of an upstream for an instance of a data centre."""
    registration = upstream.registration
    ip, port = upstream.address
    return Target(
        upstream.cookie,
        (socket.inet_aton(ip), port),
        registration.slots,
        registration.data_centre == data_centre,
        registration.name,
    )
