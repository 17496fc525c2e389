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
"""

import attrs

# After a check the next one of the same upstream starts at the earliest after this time.
CHECK_INTERVAL_SECONDS = 0.3
# How often an unreachable upstream is checked again.
RECHECK_INTERVAL_SECONDS = 0.5
# Limit on checks at a time; an instance asks again when its caller repeats once more.
MAX_RUNNING_CHECKS = 64


@attrs.define
class UpstreamChecks:
    """
    The checks of one control replica; upstreams are identified by their cookies.

    `find_upstream(cookie)` returns an upstream or None. The owner starts the checks in
    `queue`, (cookie, address) each, and passes their results to `record_result`.
    """

    find_upstream: object
    queue: list = attrs.field(factory=list)
    running: set[int] = attrs.field(factory=set)
    checked_at: dict[int, float] = attrs.field(factory=dict)
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
        return self.start(cookie, now)

    def start(self, cookie, now):
        """Queue a check unless it runs already; return whether it was queued."""
        upstream = self.find_upstream(cookie)
        is_ended = upstream is None or upstream.expires_at <= now or upstream.has_exited(now)
        if is_ended or cookie in self.running or len(self.running) >= MAX_RUNNING_CHECKS:
            return False
        self.running.add(cookie)
        self.checked_at[cookie] = now
        self.queue.append((cookie, upstream.address))
        return True

    def record_result(self, cookie, is_reachable):
        """Record the result of a check."""
        self.running.discard(cookie)
        before = self.list_unreachable()
        if is_reachable:
            self.found.discard(cookie)
        else:
            self.found.add(cookie)
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
        for cookie in list(self.found):
            upstream = self.find_upstream(cookie)
            if upstream is None or upstream.expires_at <= now or upstream.has_exited(now):
                self.found.discard(cookie)
            elif now - self.checked_at[cookie] >= RECHECK_INTERVAL_SECONDS:
                self.start(cookie, now)
        self.count_change(before)
        self.checked_at = {
            cookie: at
            for cookie, at in self.checked_at.items()
            if cookie in self.found or now - at < CHECK_INTERVAL_SECONDS
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
