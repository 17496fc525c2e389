"""
The upstreams of a site: soft state from their announcements.

An announcement is a lease: without a renewal the upstream is gone when its
lifetime has passed. An address must not come back with another service before
that and MAX_TRANSIT_SECONDS: until then some instance may still use it.
"""

import enum

import attrs

from lycheevalve.utils.addresses import parse_address

# How long a datagram or a piece of news may be under way.
MAX_TRANSIT_SECONDS = 1.0
# After its lease has run out, an upstream that answered lately still serves.
ANSWER_GRACE_SECONDS = 1.0
KEEP_GONE_SECONDS = 7200.0
# An upstream says farewell before its end, which takes until it has its answer.
FAREWELL_SECONDS = 1.0


class UpstreamState(enum.Enum):
    """What an upstream may be given."""

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
    # What this instance has under way there.
    outstanding: int = 0
    flows: int = 0
    # The number that its flows carry, see cookies.py; 0 means none.
    cookie: int = 0
    # Streams seen in the last and the present window, and opened in this one.
    seen_before: int = 0
    seen: int = 0
    opened: int = 0
    # Requests sent less requests finished since the last report.
    since_report: int = 0
    latency: float = 0.1
    answers: int = 0
    # Silences and refusals since the last answer, see limits.py.
    failures: float = 0.0
    failed_at: float = 0.0
    answered_at: float = float("-inf")
    # Repetitions since the last answer, and the last try in spite of them, see evidence.py.
    unanswered: int = 0
    probed_at: float = float("-inf")
    # Another incarnation has its address.
    replaced: bool = False
    # When it said farewell.
    left_at: float = float("inf")

    @property
    def service(self):
        """Return the name of the upstream's service."""
        return self.registration.service_name

    @property
    def active(self):
        """Return how many streams of this instance it carries, see pins.py."""
        return self.seen_before + self.opened

    def state(self, now):
        """Return the upstream's state at `now`."""
        if now >= self.expires_at or self.registration.leaving:
            return UpstreamState.GONE
        if self.drained or self.registration.draining:
            return UpstreamState.DRAINING
        return UpstreamState.UP

    def is_serving(self, now):
        """Return whether established flows may be forwarded to it."""
        if self.replaced or self.registration.leaving:
            return False
        return now < self.expires_at or now - self.answered_at < ANSWER_GRACE_SECONDS

    def is_gone(self, now):
        """Return whether it can't have its flows any more."""
        return self.replaced or now - self.left_at > FAREWELL_SECONDS

    def warmth(self, now, warm_up_seconds):
        """Return the share of its capacity a starting upstream may get, 0.1 to 1."""
        if warm_up_seconds <= 0:
            return 1.0
        return min(1.0, 0.1 + 0.9 * (now - self.started_at) / warm_up_seconds)


def order_of(registration):
    """Return the key by which registrations of an address are ordered."""
    return registration.incarnation, registration.sequence


@attrs.define
class Upstreams:
    """All upstreams that one instance knows, by address and by index."""

    by_address: dict[tuple, Upstream] = attrs.field(factory=dict)
    by_index: dict[int, Upstream] = attrs.field(factory=dict)
    by_service: dict[str, list[Upstream]] = attrs.field(factory=dict)
    identities: dict[tuple, Upstream] = attrs.field(factory=dict)
    drained: frozenset = frozenset()
    next_index: int = 1

    def update(self, registration, now):
        """Take a registration; return whether it is news."""
        address = parse_address(registration.address)
        current = self.by_address.get(address)
        if current is not None and order_of(registration) <= order_of(current.registration):
            return False
        same = current is not None and self.is_same(current.registration, registration)
        if same:
            self.renew(current, registration, now)
        else:
            self.replace(current, registration, address, now)
        return True

    @staticmethod
    def is_same(old, new):
        """Return whether both are the same incarnation for the same service."""
        return old.incarnation == new.incarnation and old.service_name == new.service_name

    def renew(self, upstream, registration, now):
        """Extend the lease of a known upstream and take its load report."""
        upstream.registration = registration
        upstream.expires_at = now + registration.lifetime_ms / 1000
        upstream.reported_at = now
        upstream.since_report = 0
        upstream.left_at = now if registration.leaving else float("inf")

    def replace(self, current, registration, address, now):
        """Add a new incarnation; the old one of the address ends."""
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
        )
        self.next_index += 1
        self.by_address[address] = upstream
        self.by_index[upstream.index] = upstream
        self.by_service.setdefault(upstream.service, []).append(upstream)
        self.identities[registration.address, registration.incarnation] = upstream

    def set_drained(self, addresses):
        """Apply the operators' drain orders."""
        self.drained = frozenset(addresses)
        for upstream in self.by_index.values():
            upstream.drained = upstream.registration.address in self.drained

    def find(self, address, incarnation):
        """Return the upstream of an address (text) and incarnation, or None."""
        return self.identities.get((address, incarnation))

    def usable(self, service, now):
        """Return the upstreams of a service that may get new work."""
        known = self.by_service.get(service, ())
        return [upstream for upstream in known if upstream.state(now) is UpstreamState.UP]

    def live_leases(self, now, addresses=None):
        """Return the registrations that hold, each with the lifetime that is left."""
        return [
            attrs.evolve(
                upstream.registration,
                lifetime_ms=int((upstream.expires_at - now) * 1000),
                known_ms=int((now - upstream.started_at) * 1000),
            )
            for upstream in self.by_address.values()
            if upstream.expires_at > now
            and (addresses is None or upstream.registration.address in addresses)
        ]

    def late_leases(self, now):
        """Return the addresses whose lease has run for more than half its time."""
        return [
            u.registration.address
            for u in self.by_address.values()
            if u.state(now) is not UpstreamState.GONE
            and now - u.reported_at > u.registration.lifetime_ms / 2000
        ]

    def usable_indices(self, now):
        """Return the indices of all upstreams that may get new work."""
        known = self.by_index.values()
        return frozenset(u.index for u in known if u.state(now) is UpstreamState.UP)

    def forget_gone(self, now):
        """Drop what has been gone for long and holds no flow."""
        for upstream in list(self.by_index.values()):
            gone = now - upstream.expires_at > KEEP_GONE_SECONDS
            if not gone or upstream.flows:
                continue
            del self.by_index[upstream.index]
            self.by_service[upstream.service].remove(upstream)
            registration = upstream.registration
            self.identities.pop((registration.address, registration.incarnation), None)
            if self.by_address.get(upstream.address) is upstream:
                del self.by_address[upstream.address]
