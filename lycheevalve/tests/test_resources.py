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

from lycheevalve.daemon import accepted
from lycheevalve.daemon.accepted import Connections, limit_connections
from lycheevalve.daemon.datagrams import BATCH_BYTES, BATCH_DATAGRAMS, read_datagrams
from lycheevalve.exceptions import AnnouncementError
from lycheevalve.flows import upstreams as upstream_table
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.platform import heartbeats
from lycheevalve.platform.heartbeats import read_heartbeat
from lycheevalve.schema.generated.messages import Registration
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


class TestUpstreams:
    """The table of upstreams when many are announced, each once."""

    # Sixty thousand announced addresses took 107 MB in a replica for two hours.
    def test_number_of_expired_upstreams_is_limited(self, monkeypatch):
        monkeypatch.setattr(upstream_table, "MAX_EXPIRED_UPSTREAMS", 10)
        table = Upstreams()

        def announce(number, now):
            address = f"10.0.{number >> 8}.{number & 255}:9000"
            registration = Registration(f"s{number}", address, "dc1", lifetime_ms=1000)
            assert table.update(registration, now)

        for number in range(100):
            announce(number, number / 100)
        table.evict_expired(1.5)
        assert len(table.by_index) == 100
        announce(100, 5.0)
        table.evict_expired(5.0)
        kept = [f"s{number}" for number in range(90, 101)]
        assert [upstream.service for upstream in table.by_index.values()] == kept
        assert set(table.by_service) == set(kept)
        assert len(table.by_address) == len(table.by_identity) == 11
        table.evict_expired(5.0 + upstream_table.EXPIRED_RETENTION_SECONDS)
        assert len(table.by_index) == 1

    # A heartbeat of 4 MB with many empty lists took 110 MB while it was read.
    def test_large_heartbeat_is_refused_before_it_is_read(self, monkeypatch):
        monkeypatch.setattr(heartbeats, "read_json", lambda body: pytest.fail("was read"))
        with pytest.raises(AnnouncementError, match="exceeds"):
            read_heartbeat("i-1", b"[" + b"[]," * 30_000 + b"1]", 500)
