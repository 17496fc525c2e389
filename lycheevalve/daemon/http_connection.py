"""One HTTP/1.1 connection on the server's side, parsed by h11."""

import h11
import trio

from lycheevalve.daemon.buffers import buffers
from lycheevalve.daemon.http import Request, Response, build_error
from lycheevalve.exceptions import UnavailableError
from lycheevalve.logs.queue import record

MAX_BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536
# The whole body must arrive within this time after the head.
REQUEST_TIMEOUT_SECONDS = 5.0
# A connection is closed when no request arrives within this time.
IDLE_TIMEOUT_SECONDS = 30.0
# A connection whose peer does not read an answer is closed after this time.
WRITE_TIMEOUT_SECONDS = 30.0


async def serve_requests(stream, peer, handle):
    """Answer the requests of one connection in sequence."""
    connection = h11.Connection(h11.SERVER)
    try:
        while await serve_request(connection, stream, peer, handle):
            connection.start_next_cycle()
    except (h11.LocalProtocolError, trio.TooSlowError) as error:
        record("answer_failed", peer=peer, reason=repr(error))


async def serve_request(connection, stream, peer, handle):
    """Answer one request; return whether another may follow on the connection."""
    with buffers.hold() as count_bytes:
        return await answer_request(connection, stream, peer, handle, count_bytes)


async def answer_request(connection, stream, peer, handle, count_bytes):
    """Answer one request; `count_bytes(size)` counts the memory for its body and answer."""
    head = None
    try:
        head = await read_head(connection, stream)
        if head is None:
            return False
        request = check_head(head) or await read_request(
            connection, stream, head, peer, count_bytes
        )
    except h11.RemoteProtocolError as error:
        record("bad_call", reason=str(error))
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        request = build_error(error.error_status_hint, str(error))
    if isinstance(request, Response):
        await write_response(connection, stream, head, request, close=True)
        return False
    response = await handle(request)
    # The body is not needed any more, while the answer may wait for its reader.
    del request
    try:
        count_bytes(len(response.body))
    except UnavailableError as error:
        response = build_error(503, str(error))
    await write_response(connection, stream, head, response)
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def read_head(connection, stream):
    """Return the head of the next request, or None for an idle or closed connection."""
    with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
        head = await next_event(connection, stream)
        return head if isinstance(head, h11.Request) else None
    return None


def check_head(head):
    """Return the error Response to a head that this server does not handle, or None."""
    if head.method == b"CONNECT":
        # A successful answer would turn the connection into a tunnel.
        return build_error(405, "the method CONNECT is not supported")
    return None


async def read_request(connection, stream, head, peer, count_bytes):
    """Return the Request of a head, or an error Response."""
    try:
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
            return await read_body(connection, stream, head, peer, count_bytes)
    except UnavailableError as error:
        return build_error(503, str(error))
    return build_error(408, "the request body did not arrive in time")


async def read_body(connection, stream, head, peer, count_bytes):
    """Return the Request of a head and its body, or an error Response."""
    body = bytearray()
    while True:
        event = await next_event(connection, stream)
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return build_error(413, f"the request body exceeds {MAX_BODY_BYTES} bytes")
            count_bytes(len(body))
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


async def write_response(connection, stream, head, response, close=False):
    """Send the response to a request, whose head may be None, with a single write."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    if close:
        headers.append(("Connection", "close"))
    data = connection.send(h11.Response(status_code=response.status, headers=headers))
    # The answer to HEAD has the headers of an answer to GET, and no body.
    if response.body and not (head and head.method == b"HEAD"):
        data += connection.send(h11.Data(data=response.body))
    data += connection.send(h11.EndOfMessage())
    with trio.fail_after(WRITE_TIMEOUT_SECONDS):
        await stream.send_all(data)
