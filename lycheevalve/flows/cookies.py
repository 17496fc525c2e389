"""
Cookies: numbers that packets carry and that name the upstream of their flow.

A flow's upstream is written into its first packet, and both ends repeat it, so
an instance needs no pin, no owner and no memory of the flow. The number is a
hash of the upstream's name, incarnation, service and address: every instance
works it out alone, and no restart can lose it. Source: Barbette et al., "A
High-Speed Load-Balancer Design with Guaranteed Per-Connection-Consistency"
(Cheetah, NSDI 2020).
"""

import attrs
import xxhash


def build_cookie(registration):
    """Return the cookie of an upstream, 32 bits and never 0."""
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
class Cookies:
    """The upstreams by cookie; a cookie that two upstreams share names neither."""

    by_cookie: dict[int, object] = attrs.field(factory=dict)
    ambiguous: set[int] = attrs.field(factory=set)

    def add(self, upstream):
        """Give an incarnation of an upstream its cookie; both get 0 when another has it too."""
        cookie = build_cookie(upstream.registration)
        holder = self.by_cookie.setdefault(cookie, upstream)
        if holder is not upstream and not is_same(holder, upstream):
            self.ambiguous.add(cookie)
            holder.cookie = upstream.cookie = 0
            return
        self.by_cookie[cookie] = upstream
        upstream.cookie = cookie

    def find(self, cookie):
        """Return the upstream that a cookie names, or None."""
        return None if cookie in self.ambiguous else self.by_cookie.get(cookie)

    def forget(self, is_wanted):
        """Drop the upstreams for which `is_wanted(upstream)` is false."""
        self.by_cookie = {c: u for c, u in self.by_cookie.items() if is_wanted(u)}
        self.ambiguous &= set(self.by_cookie)


def is_same(one, other):
    """Return whether both are the same incarnation."""
    return build_identity(one) == build_identity(other)


def build_identity(upstream):
    """Return what tells incarnations apart."""
    registration = upstream.registration
    return registration.name, registration.incarnation, registration.address
