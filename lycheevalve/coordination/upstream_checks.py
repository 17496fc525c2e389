"""
Checks of upstreams that callers get no answer from, and what a data centre concludes.

Load: several upstreams fail without a word at the same moment. Each of 64 instances has a
few flows on each, callers give up after a second and must not repeat what isn't idempotent,
so an instance that waits for evidence of its own loses a request on each of its flows.

The instance whose caller first repeats a request asks a control replica of its own data
centre to check the upstream. The replica opens a connection to it, without a request. Only
if that fails too, it reports the upstream as unreachable to all instances of the data
centre, which combine that with what they see. It goes on checking until the upstream accepts
a connection or its lease ends. Other data centres may still reach it, and check themselves.

A service may accept no connections at all, though its upstreams answer callers. So a failed
check counts only if another upstream of the service has accepted a connection; a few others
are checked for that.

An upstream that has ended may not be known to have: the next process at its address, of any
service, accepts the connection instead. An accepted one counts only while the address can't
be in use again.
"""

import attrs

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS

# After a check the next one of the same upstream starts at the earliest after this time.
CHECK_INTERVAL_SECONDS = 0.3
# How often an unreachable upstream is checked again.
RECHECK_INTERVAL_SECONDS = 0.5
# For how long an accepted connection shows that the upstreams of a service accept some.
ACCEPTANCE_SECONDS = 60.0
# How many other upstreams of the service are checked where that is not known.
COMPARED_UPSTREAMS = 3
# Limit on checks at a time; an instance asks again when its caller repeats once more.
MAX_RUNNING_CHECKS = 64


@attrs.define
class UpstreamChecks:
    """
    The checks of one control replica; upstreams are identified by their cookies.

    `find_upstream(cookie)` returns an upstream or None, `list_upstreams(service)` those of a
    service. The owner starts the checks in `queue`, (cookie, address) each, and passes their
    results to `record_result`.
    """

    find_upstream: object
    list_upstreams: object
    # How soon the address of an upstream that has ended may be in use again; 0 if not before
    # its lease has expired.
    address_reuse_seconds: float = 0.0
    queue: list = attrs.field(factory=list)
    running: set[int] = attrs.field(factory=set)
    checked_at: dict[int, float] = attrs.field(factory=dict)
    # When an upstream of a service last accepted a connection.
    accepted_at: dict[str, float] = attrs.field(factory=dict)
    # The upstreams whose last check failed.
    failed: set[int] = attrs.field(factory=set)
    # The unreachable upstreams: own findings, and those of the other replicas of this data
    # centre by their addresses.
    found: set[int] = attrs.field(factory=set)
    reported: dict[str, frozenset] = attrs.field(factory=dict)
    # Counts the changes of what is reported to subscribers.
    number: int = 0

    def request(self, cookie, now):
        """Check an upstream that an instance asks for; return whether a check starts."""
        if now - self.checked_at.get(cookie, float("-inf")) < CHECK_INTERVAL_SECONDS:
            return False
        if not self.start(cookie, now):
            return False
        self.compare(self.find_upstream(cookie), now)
        return True

    def compare(self, upstream, now):
        """Check other upstreams of a service unless it is known to accept connections."""
        if self.accepts_connections(upstream.service, now):
            return
        others = [u for u in self.list_upstreams(upstream.service) if u is not upstream]
        for other in sorted(others, key=lambda u: u.reported_at)[-COMPARED_UPSTREAMS:]:
            self.start(other.cookie, now)

    def accepts_connections(self, service, now):
        """Return whether an upstream of a service accepted a connection lately."""
        return now - self.accepted_at.get(service, float("-inf")) < ACCEPTANCE_SECONDS

    @staticmethod
    def is_ended(upstream, now):
        """Return whether an upstream is unknown or its lease has ended."""
        return upstream is None or upstream.expires_at <= now or upstream.has_exited(now)

    def start(self, cookie, now):
        """Queue a check unless it runs already; return whether it was queued."""
        upstream = self.find_upstream(cookie)
        if cookie in self.running or len(self.running) >= MAX_RUNNING_CHECKS:
            return False
        if self.is_ended(upstream, now):
            return False
        self.running.add(cookie)
        self.checked_at[cookie] = now
        self.queue.append((cookie, upstream.address))
        return True

    def record_result(self, cookie, is_reachable, now):
        """Record the result of a check; None if it was inconclusive."""
        self.running.discard(cookie)
        upstream = self.find_upstream(cookie)
        if is_reachable is None or (is_reachable and self.may_be_replaced(upstream, now)):
            return
        if is_reachable:
            self.failed.discard(cookie)
            self.accepted_at[upstream.service] = now
        else:
            self.failed.add(cookie)
        self.conclude(now)

    def may_be_replaced(self, upstream, now):
        """Return whether another process may have the address of an upstream."""
        if self.is_ended(upstream, now):
            return True
        if not self.address_reuse_seconds:
            return False
        # What an upstream announces to another replica arrives with the answer to a poll.
        last_seen_at = upstream.reported_at - LONG_POLL_SECONDS
        return now - last_seen_at >= self.address_reuse_seconds

    def conclude(self, now):
        """Update which upstreams are unreachable."""
        before = self.list_unreachable()
        self.failed = {c for c in self.failed if not self.is_ended(self.find_upstream(c), now)}
        self.found = {
            cookie
            for cookie in self.failed
            if self.accepts_connections(self.find_upstream(cookie).service, now)
        }
        self.count_change(before)

    def adopt(self, source, cookies):
        """Adopt the findings of another replica of this data centre."""
        before = self.list_unreachable()
        self.reported[source] = frozenset(cookies)
        self.count_change(before)

    def tick(self, sources, now):
        """
        Check unreachable upstreams again; forget those that have ended.

        The findings of replicas that are not among `sources` any more are discarded.
        """
        before = self.list_unreachable()
        self.reported = {s: cookies for s, cookies in self.reported.items() if s in sources}
        self.count_change(before)
        self.conclude(now)
        for cookie in self.found:
            if now - self.checked_at[cookie] >= RECHECK_INTERVAL_SECONDS:
                self.start(cookie, now)
        self.checked_at = {
            cookie: at
            for cookie, at in self.checked_at.items()
            if cookie in self.failed or now - at < CHECK_INTERVAL_SECONDS
        }

    def count_change(self, before):
        """Count a change of the unreachable upstreams, `before` being the former ones."""
        self.number += self.list_unreachable() != before

    def list_unreachable(self):
        """Return the cookies of the unreachable upstreams, as entry instances get them."""
        return sorted(self.found.union(*self.reported.values()))

    def list_found(self):
        """Return the cookies of those that this replica has found, as other replicas get."""
        return sorted(self.found)
