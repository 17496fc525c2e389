"""
Cookies: numbers in packets that identify the upstream of a flow.

The cookie of a flow's upstream is written into the first packet, and both ends repeat
it, so any instance can forward later packets without per-flow state. A cookie is a
hash of the upstream's name, incarnation, service and address: every instance computes
it independently, and a restart of an instance does not lose it. Source: Barbette
et al., "A High-Speed Load-Balancer Design with Guaranteed
Per-Connection-Consistency" (Cheetah, NSDI 2020).
"""

import attrs
import xxhash


def build_cookie(registration):
    """Return the 32-bit cookie of an upstream; 0 is reserved for "no cookie"."""
    identity = "|".join(
        (
            registration.name,
            str(registration.incarnation),
            registration.service_name,
            registration.address,
        )
    )
    return xxhash.xxh32_intdigest(identity.encode()) or 1


@attrs.define
class CookieTable:
    """Maps cookies to upstreams; a cookie shared by two incarnations resolves to neither."""

    by_cookie: dict[int, object] = attrs.field(factory=dict)
    ambiguous: set[int] = attrs.field(factory=set)

    def add(self, upstream):
        """Assign a cookie to an upstream; if another incarnation has it, set both to 0."""
        cookie = build_cookie(upstream.registration)
        existing = self.by_cookie.setdefault(cookie, upstream)
        if existing is not upstream and not is_same_incarnation(existing, upstream):
            self.ambiguous.add(cookie)
            existing.cookie = upstream.cookie = 0
            return
        self.by_cookie[cookie] = upstream
        upstream.cookie = cookie

    def find(self, cookie):
        """Return the upstream of a cookie, or None if it is unknown or ambiguous."""
        return None if cookie in self.ambiguous else self.by_cookie.get(cookie)

    def retain(self, is_wanted):
        """Keep only the upstreams for which `is_wanted(upstream)` is true."""
        self.by_cookie = {c: u for c, u in self.by_cookie.items() if is_wanted(u)}
        self.ambiguous &= set(self.by_cookie)


def is_same_incarnation(one, other):
    """Return whether two upstreams are the same incarnation."""
    return build_identity(one) == build_identity(other)


def build_identity(upstream):
    """Return the key that distinguishes incarnations of upstreams."""
    registration = upstream.registration
    return registration.name, registration.incarnation, registration.address
