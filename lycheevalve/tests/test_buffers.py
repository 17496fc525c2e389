"""The memory for large messages that arrive or are sent slowly."""

import pytest
import trio
import trio.testing

from lycheevalve.daemon import http_connection, links
from lycheevalve.daemon.buffers import SMALL_MESSAGE_BYTES, Buffers
from lycheevalve.daemon.http import Request, Response
from lycheevalve.exceptions import UnavailableError
from lycheevalve.logs.queue import queue

LARGE = 4 * SMALL_MESSAGE_BYTES
GET = b"GET /call HTTP/1.1\r\nHost: a\r\n\r\n"
POST_HEAD = f"POST /call HTTP/1.1\r\nHost: a\r\nContent-Length: {LARGE}\r\n\r\n".encode()


@pytest.fixture
def small_buffers(monkeypatch):
    """Buffers for one large message."""
    buffers = Buffers(limit=LARGE)
    for module in (links, http_connection):
        monkeypatch.setattr(module, "buffers", buffers)
    return buffers


async def start_frame(nursery, size):
    """Let a link read a frame of which all but one byte arrives; return the peer and errors."""
    stream, peer = trio.testing.memory_stream_pair()
    errors = []

    async def read():
        try:
            await links.read_frame(stream)
        except UnavailableError as error:
            errors.append(str(error))

    nursery.start_soon(read)
    await peer.send_all(links.LENGTH.pack(size) + bytes(size - 1))
    await trio.testing.wait_all_tasks_blocked()
    return peer, errors


async def serve_http(nursery, handle):
    """Serve HTTP on one stream; return the stream of its client."""
    stream, client = trio.testing.lockstep_stream_pair()
    nursery.start_soon(http_connection.serve_requests, stream, "10.0.0.1:5", handle)
    return client


class TestBuffers:
    """Memory for the large messages of all connections."""

    # Thirty unfinished frames of 8 MB took 369 MB, more than a process may use.
    def test_unfinished_frames_share_a_limit(self, small_buffers):
        async def main():
            async with trio.open_nursery() as nursery:
                _, first = await start_frame(nursery, LARGE)
                assert (first, small_buffers.used) == ([], LARGE - 1 - SMALL_MESSAGE_BYTES)
                _, second = await start_frame(nursery, LARGE)
                assert "take" in second[0]
                _, small = await start_frame(nursery, SMALL_MESSAGE_BYTES)
                assert (first, small) == ([], [])
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert small_buffers.used == 0

    # The buffer of a frame whose sender was gone was kept until the connection was closed.
    def test_frame_whose_rest_does_not_arrive_is_given_up(self, small_buffers):
        async def main():
            async with trio.open_nursery() as nursery:
                _, errors = await start_frame(nursery, LARGE)
                await trio.sleep(links.LINK_TIMEOUT_SECONDS + 1)
                assert "in time" in errors[0]

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert small_buffers.used == 0

    # Sixty unfinished bodies of 4 MB took 265 MB.
    def test_unfinished_bodies_share_a_limit(self, small_buffers):
        async def handle(request):
            return Response(200, b"handled")

        async def main():
            async with trio.open_nursery() as nursery:
                first = await serve_http(nursery, handle)
                await first.send_all(POST_HEAD + bytes(LARGE - 1))
                second = await serve_http(nursery, handle)
                nursery.start_soon(second.send_all, POST_HEAD + bytes(LARGE - 1))
                assert b"503" in await second.receive_some(1000)
                await first.send_all(b"x")
                assert b"handled" in await first.receive_some(1000)
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert small_buffers.used == 0

    # A hundred answers of megabytes that nobody read took 434 MB.
    def test_unread_answers_share_a_limit_and_are_given_up(self, small_buffers):
        async def handle(request):
            assert isinstance(request, Request)
            return Response(200, bytes(LARGE))

        async def main():
            async with trio.open_nursery() as nursery:
                first = await serve_http(nursery, handle)
                await first.send_all(GET)
                await trio.testing.wait_all_tasks_blocked()
                second = await serve_http(nursery, handle)
                await second.send_all(GET)
                assert b"503" in await second.receive_some(1000)
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert small_buffers.used == 0

    # A client that didn't read its answer held a connection without end.
    def test_answer_that_is_not_read_is_given_up(self, small_buffers):
        async def handle(request):
            return Response(200, bytes(LARGE))

        async def main():
            stream, client = trio.testing.lockstep_stream_pair()
            begun = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.send_all, GET)
                await http_connection.serve_requests(stream, "10.0.0.1:5", handle)
                assert trio.current_time() - begun <= http_connection.WRITE_TIMEOUT_SECONDS

        queue.records.clear()
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert [event.name for _, event, _ in queue.records] == ["answer_failed"]
        assert small_buffers.used == 0
