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
class AcceptedStream:
    """The stream of a connection; `mark_idle()` is called when it waits for its peer."""

    stream: object
    mark_idle: object

    @property
    def socket(self):
        """Return the socket of the stream."""
        return self.stream.socket

    async def receive_some(self, max_bytes=None):
        """Return bytes of the peer."""
        self.mark_idle()
        return await self.stream.receive_some(max_bytes)

    async def send_all(self, data):
        """Send bytes to the peer."""
        await self.stream.send_all(data)


@attrs.define(eq=False)
class Connections:
    """
    The connections of one listener.

    Idle are those that wait for a request. Those on which no request was handled so far are
    closed first, then the one that is idle longest.
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

        From a call of `handle` until its answer is sent, the connection is not closed for
        another one.
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
        idle = self.unused

        async def handle_busy(*args):
            nonlocal idle
            idle.pop(number, None)
            idle = self.used
            return await handle(*args)

        with trio.CancelScope() as scope:

            def mark_idle():
                idle[number] = scope

            mark_idle()
            try:
                await serve(AcceptedStream(stream, mark_idle), handle_busy)
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
