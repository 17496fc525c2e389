"""
Limits of the connections that a process accepts.

The process needs descriptors for its files, links, polls and imports too. Each listener has a
share of the others; a listener whose share is in use closes the connection that is idle
longest.
"""

import collections
import itertools
import resource

import attrs
import trio

from lycheevalve.logs.queue import record

# Kept for this process's own use: checks of upstreams with two attempts each, links and polls
# of all replicas, calls passed on to the leader, files. At most half of the descriptors.
RESERVED_DESCRIPTORS = 256
# More connections than this are not useful to one process, whatever its limit.
MAX_CONNECTIONS = 1000
# Shares of the descriptors that are not reserved, by kind of listener.
SHARES = {"links": 1 / 2, "http": 3 / 8, "metrics": 1 / 8}

# How many connections were closed for another one, by (kind of listener, what was closed).
closed = collections.Counter()


def limit_connections(kind):
    """Return how many connections a listener of a kind may keep open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    available = descriptors - min(RESERVED_DESCRIPTORS, descriptors // 2)
    return max(1, min(MAX_CONNECTIONS, int(available * SHARES[kind])))


@attrs.define(eq=False)
class Connections:
    """
    The connections of one listener.

    Idle are those without a request that is being handled. Those on which no request was
    handled so far are closed first, then the one that is idle longest.
    """

    kind: str
    limit: int
    count: int = 0
    # The cancel scopes of idle connections by number, the longest idle first.
    unused: dict = attrs.field(factory=dict)
    used: dict = attrs.field(factory=dict)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    async def serve(self, stream, serve, handle):
        """
        Await `serve(stream, handle)` for a new connection, and close it at the end.

        While `handle` runs for it, the connection is not closed for another one.
        """
        try:
            if self.count >= self.limit and not self.close_idle():
                self.report_closed("new")
                return
            self.count += 1
            try:
                await self.serve_admitted(stream, serve, handle)
            finally:
                self.count -= 1
        finally:
            await trio.aclose_forcefully(stream)

    async def serve_admitted(self, stream, serve, handle):
        """Serve a connection that is within the limit."""
        number = next(self.numbers)

        async def handle_busy(*args):
            self.unused.pop(number, None)
            self.used.pop(number, None)
            try:
                return await handle(*args)
            finally:
                self.used[number] = scope

        with trio.CancelScope() as scope:
            self.unused[number] = scope
            try:
                await serve(stream, handle_busy)
            finally:
                self.unused.pop(number, None)
                self.used.pop(number, None)

    def close_idle(self):
        """Close the connection that is idle longest; return whether there is one."""
        idle = self.unused or self.used
        if not idle:
            return False
        idle.pop(next(iter(idle))).cancel()
        self.report_closed("idle")
        return True

    def report_closed(self, what):
        """Log and count that a connection was closed."""
        closed[self.kind, what] += 1
        record("connections_full", listener=self.kind, limit=self.limit, closed=what)
