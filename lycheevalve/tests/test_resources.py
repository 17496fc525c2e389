"""Limits of descriptors and memory while a process runs."""

import contextlib
import errno
import http.client
import resource
import socket
import struct

import pytest
import trio
import trio.testing

from lycheevalve.daemon import accepted, http_connection, links
from lycheevalve.daemon.accepted import Connections, limit_connections
from lycheevalve.daemon.buffers import SMALL_MESSAGE_BYTES, Buffers
from lycheevalve.daemon.datagrams import BATCH_BYTES, BATCH_DATAGRAMS, read_datagrams
from lycheevalve.daemon.http import Request, Response
from lycheevalve.exceptions import UnavailableError
from lycheevalve.logs.queue import queue
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, wait_for

DESCRIPTORS = 64
IDLE_CONNECTIONS = 100
# With this option close() sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)


@pytest.fixture(autouse=True)
def no_closed(monkeypatch):
    """Count the connections that one test closes."""
    monkeypatch.setattr(accepted, "closed", accepted.collections.Counter())


def limit_descriptors():
    """Let this process open few descriptors."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def open_idle(address):
    """Return connections on which nothing is sent, as many as are accepted."""
    opened = []
    for _ in range(IDLE_CONNECTIONS):
        with contextlib.suppress(OSError):
            opened.append(socket.create_connection(address, timeout=1.0))
    return opened


def reset(connections):
    """Reset connections."""
    for connection in connections:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        connection.close()


def call(process, setting, path):
    """Return the status and body of an answer to GET."""
    connection = http.client.HTTPConnection(*process.address(setting), timeout=20)
    with contextlib.closing(connection):
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode()


@pytest.fixture
def processes(tmp_path):
    """A control replica and an entry instance that may open few descriptors."""
    control = build_control(tmp_path)
    entry = build_entry(tmp_path, control)
    control.limits = entry.limits = limit_descriptors
    try:
        yield control.start().wait_until_started(), entry.start().wait_until_started()
    finally:
        control.stop()
        entry.stop()


class TestDescriptors:
    """Processes whose peers open more connections than they have descriptors."""

    # Idle connections at one port used up all descriptors: no port answered, and the process
    # ended with EMFILE in an import when some of the connections were reset.
    def test_idle_connections_leave_descriptors_for_all_ports(self, processes):
        control, entry = processes
        addresses = (
            control.link_address(),
            control.address("operators"),
            control.address("metrics"),
            entry.address("readiness"),
            entry.address("metrics"),
        )
        wait_for(lambda: call(control, "operators", "/Config.Read")[0] == 404)
        for address in addresses:
            connections = open_idle(address)
            assert call(control, "operators", "/Config.Read")[0] == 404
            assert call(entry, "readiness", "/ready")[0] in (200, 503)
            for process in processes:
                status, text = call(process, "metrics", "/metrics")
                assert (status, "log_lines_left_out" in text) == (200, True)
            reset(connections[::2])
            assert call(control, "operators", "/Config.Read")[0] == 404
            reset(connections[1::2])
        text = call(control, "metrics", "/metrics")[1]
        assert 'connections_closed_total{closed="idle",listener="links"}' in text
        for process in processes:
            assert process.is_running()
            assert "Traceback" not in process.read_output()


async def refuse_to_serve(stream, handle):
    """Fail if a connection is served."""
    raise AssertionError("served beyond the limit")


class TestConnections:
    """Connections of a listener that has as many as it may keep open."""

    @pytest.mark.parametrize(
        ("descriptors", "limit"),
        [(64, 16), (1024, 384), (65_536, 1000), (resource.RLIM_INFINITY, 1000)],
    )
    def test_limit_leaves_descriptors_for_the_process_itself(
        self, descriptors, limit, monkeypatch
    ):
        monkeypatch.setattr(resource, "getrlimit", lambda _: (descriptors, descriptors))
        assert limit_connections("links") == limit

    # New connections were closed at once while idle ones were kept for half a minute.
    def test_unused_connections_are_closed_before_used_ones(self):
        connections = Connections("http", 2)
        ended = []

        async def serve(name, uses, stream, handle):
            try:
                if uses:
                    await handle()
                await trio.sleep_forever()
            finally:
                ended.append(name)

        async def main():
            async with trio.open_nursery() as nursery:
                for name, uses in (("used", True), ("unused", False), ("new", False)):
                    stream, _ = trio.testing.memory_stream_pair()
                    nursery.start_soon(
                        connections.serve,
                        stream,
                        lambda *args, name=name, uses=uses: serve(name, uses, *args),
                        trio.lowlevel.checkpoint,
                    )
                    await trio.testing.wait_all_tasks_blocked()
                assert ended == ["unused"]
                assert connections.count == 2
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert accepted.closed == {("http", "idle"): 1}

    # A request that is being handled may have an effect: its answer has to be delivered.
    def test_new_connection_is_closed_when_all_have_requests(self):
        connections = Connections("http", 1)
        answers = []

        async def main():
            async with trio.open_nursery() as nursery:
                release = trio.Event()

                async def serve(stream, handle):
                    answers.append(await handle())

                async def handle():
                    await release.wait()
                    return "answer"

                stream, _ = trio.testing.memory_stream_pair()
                nursery.start_soon(connections.serve, stream, serve, handle)
                await trio.testing.wait_all_tasks_blocked()
                late, peer = trio.testing.memory_stream_pair()
                await connections.serve(late, refuse_to_serve, handle)
                assert await peer.receive_some() == b""
                release.set()

        trio.run(main)
        assert answers == ["answer"]
        assert accepted.closed == {("http", "new"): 1}

    # An answer that a slow peer was still reading was cut for a new connection.
    def test_connection_is_kept_until_its_answer_is_sent(self):
        connections = Connections("http", 1)
        steps = []

        async def main():
            async with trio.open_nursery() as nursery:
                sent = trio.Event()

                async def serve(stream, handle):
                    await handle()
                    await sent.wait()
                    steps.append("sent")
                    await stream.receive_some()

                async def open_another(serve):
                    late, _ = trio.testing.memory_stream_pair()
                    nursery.start_soon(connections.serve, late, serve, trio.lowlevel.checkpoint)
                    await trio.testing.wait_all_tasks_blocked()

                async def serve_late(*_):
                    steps.append("late")

                await open_another(serve)
                await open_another(refuse_to_serve)
                sent.set()
                await trio.testing.wait_all_tasks_blocked()
                await open_another(serve_late)

        trio.run(main)
        assert steps == ["sent", "late"]
        assert accepted.closed == {("http", "new"): 1, ("http", "idle"): 1}


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
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.send_all, GET)
                await http_connection.serve_requests(stream, "10.0.0.1:5", handle)

        queue.records.clear()
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert [event.name for _, event, _ in queue.records] == ["answer_failed"]
        assert small_buffers.used == 0


class FakeSocket:
    """A socket that returns or raises the given results, the last one without end."""

    def __init__(self, *results):
        self.results = list(results)

    def recvfrom(self, size):
        """Return the next datagram, or raise the next error."""
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if isinstance(result, OSError):
            raise result
        return result, ("10.0.0.1", 5)


class TestReadDatagrams:
    """Errors and sizes of what a UDP socket receives."""

    # An error other than a refused datagram ended the thread or the task that reads.
    @pytest.mark.parametrize(
        "number", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENOBUFS]
    )
    def test_error_is_counted_and_reading_goes_on(self, number):
        source = FakeSocket(b"one", OSError(number, "failed"), b"two", BlockingIOError())
        batch, errors = read_datagrams(source)
        assert ([data for data, _ in batch], errors) == ([b"one", b"two"], 1)

    # A socket that fails without end was read without end.
    def test_errors_without_end_end_the_batch(self):
        assert read_datagrams(FakeSocket(ConnectionRefusedError())) == ([], BATCH_DATAGRAMS)

    # The 64 batches that may wait in a queue held up to 268 MB.
    def test_bytes_of_a_batch_are_limited(self):
        batch, _ = read_datagrams(FakeSocket(bytes(65_000)))
        assert BATCH_BYTES <= sum(len(data) for data, _ in batch) < BATCH_BYTES + 65_536
