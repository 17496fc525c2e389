"""
A small HTTP/1.1 server on trio.

A slow, half-open or oversized request closes its own connection only. The
protocol (http_connection.py) is imported at the first connection, so that a
starting instance forwards packets sooner.
"""

import json

import attrs
import trio

from lycheevalve.daemon.accepted import Connections, limit_connections
from lycheevalve.daemon.boundaries import contain
from lycheevalve.daemon.listeners import open_listener
from lycheevalve.logs.queue import record
from lycheevalve.utils.addresses import format_peer
from lycheevalve.utils.imports import load_module

CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@attrs.frozen
class Request:
    """One request: method and path are strings, the body is bytes."""

    method: str
    path: str
    body: bytes
    peer: str


@attrs.frozen
class Response:
    """One response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


def build_json(status, value):
    """Return a Response with a JSON body."""
    return Response(status, json.dumps(value, separators=(",", ":")).encode())


def build_error(status, reason):
    """Return a Response with the reason of an error as JSON."""
    return build_json(status, {"error": reason})


class Server:
    """
    Serves HTTP on one address; `await handle(request)` returns the Response.

    `step` names the opening of the address in logs and errors; `kind` is the one of accepted.py
    that limits the connections.
    """

    def __init__(self, address, handle, step="listen for HTTP", kind="http"):
        self.address = address
        self.step = step
        self.handle = handle
        self.connections = Connections(kind, limit_connections(kind))
        self.protocol = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with await open_listener(self.step, self.address) as listener:
            task_status.started()
            await trio.serve_listeners(self.serve, [listener])

    async def serve(self, stream):
        """Serve one connection."""
        with contain("http connection", format_peer(stream.socket)):
            await self.connections.serve(stream, self.serve_requests, self.answer)

    async def serve_requests(self, stream, answer):
        """Answer the requests of one connection until it is closed."""
        peer = format_peer(stream.socket)
        try:
            if self.protocol is None:
                self.protocol = await load_module("lycheevalve.daemon.http_connection")
            await self.protocol.serve_requests(stream, peer, answer)
        except CONNECTION_ERRORS as error:
            record("link_failed", peer=peer, reason=repr(error))

    async def answer(self, request):
        """Return the Response to a request; one that fails unexpectedly has no effect known."""
        with contain("http request", request.peer):
            return await self.handle(request)
        return build_error(500, "internal error; the outcome is unknown")
