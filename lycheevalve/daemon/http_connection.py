"""The requests of one HTTP/1.1 connection; h11 does the protocol."""

import h11
import trio

from lycheevalve.daemon.http import Request, Response, build_error
from lycheevalve.logs.queue import record

MAX_BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536
# A request must be here in full within this time after its first bytes.
REQUEST_SECONDS = 5.0
# A connection without a request is closed after this time.
IDLE_SECONDS = 30.0


async def serve_requests(stream, peer, handle):
    """Answer the requests of one connection, one after the other."""
    connection = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await read_request(connection, stream, peer)
        except h11.RemoteProtocolError as error:
            record("bad_call", reason=str(error))
            await refuse(connection, stream, error)
            return
        if request is None:
            return
        if isinstance(request, Response):
            await write_response(connection, stream, request, close=True)
            return
        response = await handle(request)
        await write_response(connection, stream, response)
        if connection.our_state is not h11.DONE or connection.their_state is not h11.DONE:
            return
        connection.start_next_cycle()


async def refuse(connection, stream, error):
    """Answer what can't be read."""
    if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
        response = build_error(error.error_status_hint, str(error))
        await write_response(connection, stream, response, close=True)


async def read_request(connection, stream, peer):
    """Return the next Request, a Response that refuses it, or None at the end."""
    with trio.move_on_after(IDLE_SECONDS):
        head = await next_event(connection, stream)
        if not isinstance(head, h11.Request):
            return None
        with trio.move_on_after(REQUEST_SECONDS):
            return await read_body(connection, stream, head, peer)
        return build_error(408, "the request did not arrive in time")
    return None


async def read_body(connection, stream, head, peer):
    """Return the Request of a head and its body, or a Response that refuses it."""
    body = bytearray()
    while True:
        event = await next_event(connection, stream)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return build_error(413, f"a body may have {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            method, path = head.method.decode(), head.target.decode()
            return Request(method, path, bytes(body), peer)
        else:
            raise trio.BrokenResourceError("the connection ended inside a request")


async def next_event(connection, stream):
    """Return the next event of h11."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(connection.send(go_on))
        connection.receive_data(await stream.receive_some(READ_BYTES))


async def write_response(connection, stream, response, close=False):
    """Send a response in one write."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    if close:
        headers.append(("Connection", "close"))
    data = connection.send(h11.Response(status_code=response.status, headers=headers))
    if response.body:
        data += connection.send(h11.Data(data=response.body))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)
