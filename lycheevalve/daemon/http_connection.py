"""One HTTP/1.1 connection on the server's side, parsed by h11."""

import h11
import trio

from lycheevalve.daemon.http import Request, Response, build_error
from lycheevalve.logs.queue import record

MAX_BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536
# The whole body must arrive within this time after the head.
REQUEST_TIMEOUT_SECONDS = 5.0
# A connection is closed when no request arrives within this time.
IDLE_TIMEOUT_SECONDS = 30.0


async def serve_requests(stream, peer, handle):
    """Answer the requests of one connection in sequence."""
    connection = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await read_request(connection, stream, peer)
        except h11.RemoteProtocolError as error:
            record("bad_call", reason=str(error))
            await send_protocol_error(connection, stream, error)
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


async def send_protocol_error(connection, stream, error):
    """Send the error for a request that can't be parsed."""
    if connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
        response = build_error(error.error_status_hint, str(error))
        await write_response(connection, stream, response, close=True)


async def read_request(connection, stream, peer):
    """Return the next Request, an error Response, or None for an idle or closed connection."""
    with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
        head = await next_event(connection, stream)
        if not isinstance(head, h11.Request):
            return None
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
            return await read_body(connection, stream, head, peer)
        return build_error(408, "the request body did not arrive in time")
    return None


async def read_body(connection, stream, head, peer):
    """Return the Request of a head and its body, or an error Response."""
    body = bytearray()
    while True:
        event = await next_event(connection, stream)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return build_error(413, f"the request body exceeds {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            method, path = head.method.decode(), head.target.decode()
            return Request(method, path, bytes(body), peer)
        else:
            raise trio.BrokenResourceError("the connection was closed during a request")


async def next_event(connection, stream):
    """Return the next h11 event, reading from the stream as needed."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(connection.send(continue_response))
        connection.receive_data(await stream.receive_some(READ_BYTES))


async def write_response(connection, stream, response, close=False):
    """Send a response with a single write."""
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
