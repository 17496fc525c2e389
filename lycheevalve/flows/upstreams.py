"""
The table of a site's upstreams: soft state from their announcements.

An announcement is a lease, which expires unless it is renewed within its
lifetime. An address must not be reused for another service until
MAX_TRANSIT_SECONDS after the expiry, since an instance may still send packets
to the former upstream there.
"""

import enum
import functools

import attrs

from lycheevalve.utils.addresses import parse_host_address

# The longest time that a datagram or an update is in transit.
MAX_TRANSIT_SECONDS = 1.0
# An upstream whose lease expired serves until this long after its last answer.
ANSWER_GRACE_SECONDS = 1.0
EXPIRED_RETENTION_SECONDS = 7200.0
# Beyond this many, those that expired first are evicted sooner: anyone who reaches a replica
# may announce upstreams.
MAX_EXPIRED_UPSTREAMS = 4096
# A deregistered upstream serves this long, until it has its acknowledgement and exits.
DEREGISTRATION_GRACE_SECONDS = 1.0
# After the evacuation of a data centre is withdrawn, its upstreams count as cold until each
# has announced its state: two intervals of announcements and the way.
REPORT_MARGIN_SECONDS = 0.5

# A cold upstream gets at least this fraction of its share of new work.
MIN_WARM_UP_SHARE = 0.1


class UpstreamState(enum.Enum):
    """Whether an upstream gets new work, only keeps its flows, or gets nothing."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


@attrs.define(eq=False)
class Upstream:
    """One incarnation of an upstream at one address."""

    index: int
    registration: object
    address: tuple
    started_at: float
    expires_at: float
    reported_at: float
    drained: bool = False
    # Whether its data centre is evacuated.
    evacuated: bool = False
    # Requests of this instance in flight there, and flows of this instance on it.
    outstanding: int = 0
    flows: int = 0
    # The cookie of its flows, see cookies.py; 0 if it has none.
    cookie: int = 0
    # Streams with packets in the last and in the current window, and opened in this one.
    streams_last_window: int = 0
    streams_this_window: int = 0
    streams_opened: int = 0
    # Requests sent minus requests finished since the last load report.
    requests_since_report: int = 0
    latency: float = 0.1
    answers: int = 0
    # Timeouts and refusals since the last answer, decaying, see load.py.
    failures: float = 0.0
    failed_at: float = 0.0
    answered_at: float = float("-inf")
    # Retransmissions since the last answer, and the last probe, see passive_health.py.
    unanswered: int = 0
    # Silent flows by their key, see failure_evidence.py.
    silences: dict = attrs.field(factory=dict)
    silent_since: float = float("-inf")
    probed_at: float = float("-inf")
    # Whether another incarnation has taken over its address.
    replaced: bool = False
    # When it deregistered.
    deregistered_at: float = float("inf")

    @property
    def service(self):
        """Return the name of its service."""
        return self.registration.service_name

    @property
    def active_streams(self):
        """Return the estimated number of active streams of this instance, see pins.py."""
        return self.streams_last_window + self.streams_opened

    def state(self, now):
        """Return its state at the time `now`."""
        if now >= self.expires_at or self.registration.leaving:
            return UpstreamState.GONE
        if self.drained or self.evacuated or self.registration.draining:
            return UpstreamState.DRAINING
        return UpstreamState.UP

    def is_serving(self, now):
        """Return whether established flows may be forwarded to it."""
        if self.replaced or self.registration.leaving:
            return False
        return now < self.expires_at or now - self.answered_at < ANSWER_GRACE_SECONDS

    def has_exited(self, now):
        """Return whether its process has exited, after it was replaced or deregistered."""
        return self.replaced or now - self.deregistered_at > DEREGISTRATION_GRACE_SECONDS

    def announced_share(self, now):
        """
        Return the fraction of its capacity that it announces while it warms up, 0.1 to 1.

        The time that is left counts from its last announcement that arrived here.
        """
        ends_at = self.reported_at + self.registration.warm_up_ms / 1000
        if now >= ends_at:
            return 1.0
        elapsed = max(0.0, now - self.started_at)
        return MIN_WARM_UP_SHARE + (1 - MIN_WARM_UP_SHARE) * elapsed / (elapsed + ends_at - now)

    def warm_up_share(self, now, warm_up_seconds):
        """Return the fraction of its capacity that it gets while it warms up, 0.1 to 1."""
        if warm_up_seconds <= 0:
            return 1.0
        share = (now - self.started_at) / warm_up_seconds
        return min(1.0, MIN_WARM_UP_SHARE + (1 - MIN_WARM_UP_SHARE) * share)


@functools.lru_cache(maxsize=65536)
def find_address(text):
    """Return the (ip, port) of an upstream's address, or None if it is not that of a host."""
    try:
        return parse_host_address(text)
    except ValueError:
        return None


def version_of(registration):
    """
    Return the sort key of the registrations of one address; the greatest is newest.

    A deregistration is the last one of its incarnation, whatever else arrives later.
    """
    return registration.incarnation, registration.leaving, registration.sequence


@attrs.define
class Upstreams:
    """The upstreams of one instance, by address, index, service and identity."""

    by_address: dict[tuple, Upstream] = attrs.field(factory=dict)
    by_index: dict[int, Upstream] = attrs.field(factory=dict)
    by_service: dict[str, list[Upstream]] = attrs.field(factory=dict)
    by_identity: dict[tuple, Upstream] = attrs.field(factory=dict)
    drained: frozenset = frozenset()
    evacuated: frozenset = frozenset()
    # When the evacuation of a data centre was withdrawn.
    restored_at: dict[str, float] = attrs.field(factory=dict)
    # The names of the services of the configuration, empty while that is not known.
    services: frozenset = frozenset()
    next_index: int = 1

    def set_services(self, services):
        """
        Set the names of the services of the configuration.

        Return whether a registration that was left out before may hold its address now.
        """
        before, self.services = self.services, services
        if before:
            return bool(services - before)
        return not all(self.is_known(u.service) for u in self.by_address.values())

    def is_known(self, service):
        """Return whether the configuration has a service, or is not known itself."""
        return not self.services or service in self.services

    def rank(self, registration):
        """
        Return the sort key of the registrations of one address; the greatest holds it.

        Any service of the configuration comes before one that it does not have: the start
        of such an upstream may be invented.
        """
        return self.is_known(registration.service_name), *version_of(registration)

    def update(self, registration, now):
        """
        Apply a registration; return whether it holds its address from now on.

        One without the address of a host names no upstream.
        """
        address = find_address(registration.address)
        if address is None:
            return False
        current = self.by_address.get(address)
        if current is not None and self.rank(registration) <= self.rank(current.registration):
            return False
        same = current is not None and self.is_same_incarnation(
            current.registration, registration
        )
        if same:
            self.renew(current, registration, now)
        else:
            self.replace(current, registration, address, now)
        return True

    @staticmethod
    def is_same_incarnation(old, new):
        """Return whether two registrations are of one incarnation and service."""
        return old.incarnation == new.incarnation and old.service_name == new.service_name

    def renew(self, upstream, registration, now):
        """Extend the lease of an upstream and store its load report."""
        upstream.registration = registration
        upstream.evacuated = registration.data_centre in self.evacuated
        upstream.expires_at = now + registration.lifetime_ms / 1000
        upstream.reported_at = now
        upstream.requests_since_report = 0
        upstream.deregistered_at = now if registration.leaving else float("inf")

    def replace(self, current, registration, address, now):
        """Add a new incarnation; expire the previous one at its address."""
        if current is not None:
            current.expires_at = min(current.expires_at, now)
            current.replaced = True
        upstream = Upstream(
            index=self.next_index,
            registration=registration,
            address=address,
            started_at=now - registration.known_ms / 1000,
            expires_at=now + registration.lifetime_ms / 1000,
            reported_at=now,
            drained=registration.address in self.drained,
            evacuated=registration.data_centre in self.evacuated,
        )
        self.next_index += 1
        self.by_address[address] = upstream
        self.by_index[upstream.index] = upstream
        self.by_service.setdefault(upstream.service, []).append(upstream)
        self.by_identity[registration.address, registration.incarnation] = upstream

    def set_drained(self, addresses):
        """Apply the operators' drain orders."""
        self.drained = frozenset(addresses)
        for upstream in self.by_index.values():
            upstream.drained = upstream.registration.address in self.drained

    def set_evacuated(self, data_centres, now):
        """Apply the operators' evacuations of data centres, given by their names."""
        for data_centre in self.evacuated.difference(data_centres):
            self.restored_at[data_centre] = now
        self.evacuated = frozenset(data_centres)
        for upstream in self.by_index.values():
            upstream.evacuated = upstream.registration.data_centre in self.evacuated

    def is_warming_up(self, upstream, now, report_seconds):
        """
        Return whether an upstream is still cold, as far as it is known.

        Upstreams of a data centre whose evacuation has been withdrawn may have become
        cold; they count as cold until `report_seconds` later, when all have announced it.
        """
        registration = upstream.registration
        restored_at = self.restored_at.get(registration.data_centre, float("-inf"))
        if now - restored_at < report_seconds:
            return True
        return now < upstream.reported_at + registration.warm_up_ms / 1000

    def exclude_warming_up(self, upstreams, now, heartbeat_seconds):
        """Return those of the upstreams that have warmed up."""
        report_seconds = 2 * heartbeat_seconds + REPORT_MARGIN_SECONDS
        return [u for u in upstreams if not self.is_warming_up(u, now, report_seconds)]

    def find_at(self, address):
        """Return the newest upstream at an address (as text), or None."""
        return self.by_address.get(find_address(address))

    def find(self, address, incarnation):
        """Return the upstream of an address (as text) and incarnation, or None."""
        return self.by_identity.get((address, incarnation))

    def usable(self, service, now):
        """Return the upstreams of a service that may get new work."""
        upstreams = self.by_service.get(service, ())
        return [upstream for upstream in upstreams if upstream.state(now) is UpstreamState.UP]

    def live_leases(self, now, addresses=None):
        """
        Return the registrations of valid leases, each with its remaining lifetime.

        `addresses` limits them to these addresses (as text).
        """
        if addresses is None:
            upstreams = self.by_address.values()
        else:
            upstreams = filter(None, map(self.find_at, addresses))
        return [
            attrs.evolve(
                upstream.registration,
                lifetime_ms=int((upstream.expires_at - now) * 1000),
                known_ms=int((now - upstream.started_at) * 1000),
            )
            for upstream in upstreams
            if upstream.expires_at > now
        ]

    def overdue_leases(self, now):
        """Return the addresses of leases not renewed within half their lifetime."""
        return [
            u.registration.address
            for u in self.by_address.values()
            if u.state(now) is not UpstreamState.GONE
            and now - u.reported_at > u.registration.lifetime_ms / 2000
        ]

    def usable_indices(self, now):
        """Return the indices of all upstreams that may get new work."""
        upstreams = self.by_index.values()
        return frozenset(u.index for u in upstreams if u.state(now) is UpstreamState.UP)

    def evict_expired(self, now):
        """Evict upstreams without flows that expired long ago, or first of too many."""
        expired = [
            upstream
            for upstream in self.by_index.values()
            if now - upstream.expires_at > MAX_TRANSIT_SECONDS and not upstream.flows
        ]
        expired.sort(key=lambda upstream: upstream.expires_at)
        excess = len(expired) - MAX_EXPIRED_UPSTREAMS
        for position, upstream in enumerate(expired):
            is_old = now - upstream.expires_at > EXPIRED_RETENTION_SECONDS
            if position >= excess and not is_old:
                break
            self.evict(upstream)

    def evict(self, upstream):
        """Remove an upstream from the table."""
        del self.by_index[upstream.index]
        of_service = self.by_service[upstream.service]
        of_service.remove(upstream)
        if not of_service:
            del self.by_service[upstream.service]
        identity = upstream.registration.address, upstream.registration.incarnation
        if self.by_identity.get(identity) is upstream:
            del self.by_identity[identity]
        if self.by_address.get(upstream.address) is upstream:
            del self.by_address[upstream.address]
