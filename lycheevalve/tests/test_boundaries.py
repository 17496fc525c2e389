"""Errors of one connection, message, timer or task, after which the process goes on."""

import functools
import http.client
import json
import socket
import struct

import pytest
import trio
import trio.testing

from lycheevalve.coordination.timers import Timers
from lycheevalve.daemon import boundaries, polling
from lycheevalve.daemon.boundaries import contain, keep_running, keep_serving, report_failure
from lycheevalve.daemon.http import Request, Server
from lycheevalve.daemon.links import Links, make_codec_factory, serve_links
from lycheevalve.logs.queue import queue
from lycheevalve.schema.generated.messages import Poll
from lycheevalve.tests.fakes import role_processes
from lycheevalve.tests.fakes.platform import HEARTBEAT
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, find_port

RESETS = 300
# With this option close() sends a reset.
LINGER_ZERO = struct.pack("ii", 1, 0)
ROUTE = {
    "name": "r1",
    "host": "198.18.0.1",
    "pathPrefix": "/8080/",
    "routeType": "safe",
    "timeoutMs": 3000,
    "service": "nightsync",
}


@pytest.fixture
def failures(monkeypatch):
    """Count the failures of one test, and return the counts by (task, error)."""
    counts = boundaries.collections.Counter()
    monkeypatch.setattr(boundaries, "failures", counts)
    queue.records.clear()
    return counts


def fail(*_):
    """Raise an error that no code expects."""
    raise KeyError("unexpected")


async def fail_async(*_):
    """Raise an error that no code expects."""
    raise KeyError("unexpected")


class TestContain:
    """One unit of work."""

    def test_error_is_counted_and_logged_with_its_place(self, failures):
        with contain("link", "10.0.0.1:5"):
            Timers().run_due("not a time" + 5)
        assert failures == {("link", "TypeError"): 1}
        _, event, fields = queue.records[-1]
        assert (event.name, fields["peer"]) == ("task_failed", "10.0.0.1:5")
        assert fields["place"].startswith("lycheevalve.tests.test_boundaries:")

    def test_each_error_of_a_group_is_counted(self, failures):
        report_failure("task", ExceptionGroup("", [KeyError(), OSError(), KeyError()]))
        assert failures == {("task", "KeyError"): 2, ("task", "OSError"): 1}

    def test_cancellation_passes(self, failures):
        async def main():
            with trio.move_on_after(0.01) as scope, contain("task"):
                await trio.sleep_forever()
            return scope.cancelled_caught

        assert trio.run(main)
        assert not failures


class TestTasks:
    """Tasks that run as long as the process."""

    def test_failed_task_is_started_again_until_it_returns(self, failures):
        runs = []

        async def run():
            runs.append(trio.current_time())
            if len(runs) < 4:
                raise OSError("the disk failed")

        trio.run(keep_running, "store", run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert failures == {("store", "OSError"): 3}
        pauses = [later - earlier for earlier, later in zip(runs, runs[1:])]
        assert pauses == sorted(pauses)
        assert pauses[0] >= boundaries.MIN_RESTART_SECONDS

    def test_failed_server_is_started_again_and_its_start_reported_once(self, failures):
        starts = []

        async def serve(task_status):
            task_status.started()
            starts.append(trio.current_time())
            if len(starts) < 3:
                raise OSError("accept failed")

        async def main():
            async with trio.open_nursery() as nursery:
                await nursery.start(keep_serving, "links", serve)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        assert len(starts) == 3
        assert failures == {("links", "OSError"): 2}

    def test_server_that_never_started_fails_the_start(self, failures):
        async def serve(task_status):
            raise OSError("permission denied")

        async def main():
            async with trio.open_nursery() as nursery:
                await nursery.start(keep_serving, "links", serve)

        with pytest.raises(ExceptionGroup) as caught:
            trio.run(main)
        assert caught.group_contains(OSError, match="permission denied")

    def test_failed_timer_delays_no_other_timer(self):
        calls, errors = [], []
        timers = Timers(handle_error=errors.append)
        timers.subscribe(1.0, fail, 0.0)
        timers.subscribe(1.0, calls.append, 0.0)
        timers.run_due(1.0)
        timers.run_due(2.0)
        assert calls == [1.0, 2.0]
        assert len(errors) == 2


class TestConnections:
    """Unexpected errors of one connection."""

    def test_request_that_fails_is_answered_and_the_server_goes_on(self, failures):
        async def main():
            server = Server("127.0.0.1:1", fail_async)
            return await server.answer(Request("GET", "/", b"", "10.0.0.1:5"))

        assert trio.run(main).status == 500
        assert failures == {("http request", "KeyError"): 1}

    def test_message_that_can_not_be_encoded_closes_its_polling_connection_only(self, failures):
        """A poll's answer with an integer beyond 32 bits ended the replica that sent it."""
        make_codec = make_codec_factory(b"k" * 16, "10.0.0.1:1", 1)

        async def main():
            address = f"127.0.0.1:{find_port('127.0.0.1')}"
            send, receive = trio.open_memory_channel(64)
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_links, address, make_codec, fail_async)
                connections = polling.PollingConnections(make_codec, send, nursery)
                connections.set_addresses([address])
                seen = []
                with trio.fail_after(20):
                    while seen.count("Opened") < 2:
                        event = await receive.receive()
                        seen.append(type(event).__name__)
                        if seen == ["Opened"]:
                            connections.send(address, Poll(version=2**70))
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert [task for task, _ in failures] == ["polling"]

    def test_message_that_can_not_be_encoded_is_dropped_from_its_link(self, failures):
        make_codec = make_codec_factory(b"k" * 16, "10.0.0.1:1", 1)

        async def main():
            address = f"127.0.0.1:{find_port('127.0.0.1')}"
            received = trio.Event()

            async def handle(sender, message):
                received.set()

            async with trio.open_nursery() as nursery:
                await nursery.start(serve_links, address, make_codec, handle)
                links = Links(make_codec, str, nursery)
                links.send(address, Poll(version=2**70))
                links.send(address, Poll(version=7))
                with trio.fail_after(20):
                    await received.wait()
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert [task for task, _ in failures] == ["link"]


def reset_connections(address):
    """Open connections, each of which is reset at once."""
    for _ in range(RESETS):
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            connection.connect(address)


def call(address, method, path, body=b""):
    """Return the status of an HTTP call, or None if it got no answer."""
    connection = http.client.HTTPConnection(*address, timeout=30)
    try:
        connection.request(method, path, body)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def announce(replica, **fields):
    """Send a heartbeat with changed fields to a control replica."""
    body = json.dumps(HEARTBEAT | fields).encode()
    call(replica.address("operators"), "POST", "/Instances.Heartbeat/i-1", body)


def configure(replica, version=1, **fields):
    """Send a configuration with changed fields of its route; return the status."""
    document = {
        "version": version,
        "routes": [ROUTE | fields],
        "services": [{"name": "nightsync"}],
    }
    body = json.dumps(document).encode()
    return call(replica.address("operators"), "POST", "/Config.Replace", body)


TROUBLES = {
    "resets at the link port": lambda replica, _: reset_connections(replica.link_address()),
    "resets at the operators' port": lambda replica, _: reset_connections(
        replica.address("operators")
    ),
    "resets at the readiness port": lambda _, entry: reset_connections(
        entry.address("readiness")
    ),
    "HEAD": lambda replica, _: call(replica.address("operators"), "HEAD", "/Config.Read"),
    "HEAD for metrics": lambda replica, _: call(replica.address("metrics"), "HEAD", "/metrics"),
    "service that is not Unicode": lambda replica, _: announce(replica, service="night\ud800"),
    "zone that is not Unicode": lambda replica, _: announce(replica, zone="\udfff"),
    "slots beyond 32 bits": lambda replica, _: announce(replica, slots=2**31),
    "version beyond 64 bits": lambda replica, _: configure(replica, version=2**63),
    "timeout beyond floating point": lambda replica, _: configure(
        replica, version=2, timeoutMs=10**400
    ),
}


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a process, which is killed after the test."""
    started = []

    def start_process(process):
        started.append(process)
        return process.start().wait_until_started()

    yield start_process
    for process in started:
        process.stop()


class TestProcesses:
    """Real processes under input that ended one of them."""

    # Each of these ended a control replica or its entry instances.
    @pytest.mark.parametrize("trouble", TROUBLES)
    def test_no_input_ends_a_process(self, trouble, tmp_path, start):
        replica = start(build_control(tmp_path))
        entry = start(build_entry(tmp_path, replica))
        wait = functools.partial(self.wait_for_configuration, replica, entry)
        wait(1)
        TROUBLES[trouble](replica, entry)
        wait(1_000)
        assert replica.is_running(), replica.read_output()
        assert entry.is_running(), entry.read_output()

    @staticmethod
    def wait_for_configuration(replica, entry, version):
        """Send a configuration until it is acknowledged and in force at the instance."""

        def is_in_force():
            assert replica.is_running(), replica.read_output()
            assert entry.is_running(), entry.read_output()
            revisions = [event["revision"] for event in entry.read_events("in_force")]
            return configure(replica, version) == 200 and version in revisions

        role_processes.wait_for(is_in_force)
