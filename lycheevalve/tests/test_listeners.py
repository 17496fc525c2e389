"""Addresses that are in use or not available when a process starts."""

import errno
import os
import signal
import socket

import pytest
import trio
import trio.testing

from lycheevalve.daemon import listeners
from lycheevalve.daemon.http import Server
from lycheevalve.daemon.links import serve_links
from lycheevalve.exceptions import AddressError
from lycheevalve.logs.queue import queue
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, wait_for
from lycheevalve.utils.addresses import format_address

TCP, UDP = socket.SOCK_STREAM, socket.SOCK_DGRAM
ADDRESS = "127.0.0.1:9000"


def hold(address, kind):
    """Return a socket that keeps other processes from using an address."""
    opened = socket.socket(socket.AF_INET, kind)
    opened.bind(address)
    if kind == TCP:
        opened.listen()
    return opened


def get_address(process, key):
    """Return the (ip, port) of a setting, or that of links for `links`."""
    return process.link_address() if key == "links" else process.address(key)


@pytest.fixture
def processes(tmp_path):
    """Return a control replica and an entry instance, not started; kill them afterwards."""
    replica = build_control(tmp_path)
    instance = build_entry(tmp_path, replica)
    yield {"control": replica, "entry": instance}
    replica.stop()
    instance.stop()


class TestProcesses:
    """
    Processes whose predecessor still has one of their addresses.

    Such a process ended at once, with a traceback that named no address.
    """

    @pytest.mark.parametrize(
        ("role", "key", "kind"),
        [
            ("control", "links", TCP),
            ("control", "links", UDP),
            ("control", "operators", TCP),
            ("entry", "packets", UDP),
            ("entry", "readiness", TCP),
        ],
    )
    def test_a_process_waits_for_an_address_in_use(self, processes, role, key, kind):
        """A process ended with EADDRINUSE when its predecessor had not ended yet."""
        process = processes[role]
        address = get_address(process, key)
        holder = hold(address, kind)
        process.start()
        event = wait_for(
            lambda: process.read_events("address_unavailable") or not process.is_running()
        )
        assert process.is_running(), process.read_output()
        assert event[0]["address"] == format_address(address)
        assert event[0]["step"].startswith("listen for ")
        assert not process.read_events("started")
        holder.close()
        process.wait_until_started()
        assert process.read_events("address_available")[0]["address"] == format_address(address)

    def test_early_sockets_in_use_delay_no_start(self, processes):
        """The early thread does without its sockets, and the process waits for them."""
        process = processes["control"]
        process.environment["LYCHEEVALVE_EARLY"] = " ".join(
            f"{key}={process.settings[key]}"
            for key in ("ip", "link_port", "data_folder", "key")
        )
        holder = hold(process.link_address(), UDP)
        process.start()
        wait_for(lambda: process.read_events("address_unavailable") or not process.is_running())
        assert process.is_running(), process.read_output()
        assert process.read_events("early_unavailable")
        holder.close()
        process.wait_until_started()

    @pytest.mark.parametrize("role", ["control", "entry"])
    def test_service_starts_without_the_address_of_metrics(self, processes, role):
        """A process ended when only its metrics had no address."""
        process = processes[role]
        holder = hold(process.address("metrics"), TCP)
        process.start().wait_until_started()
        wait_for(lambda: process.read_events("address_unavailable"))
        assert process.is_running(), process.read_output()
        holder.close()

        def connect():
            with socket.socket() as client:
                return client.connect_ex(process.address("metrics")) == 0

        wait_for(connect)

    def test_sigterm_ends_a_process_that_waits(self, processes):
        """Its events are not handled yet, so the graceful stop would not begin."""
        process = processes["control"]
        holder = hold(process.address("operators"), TCP)
        process.start()
        wait_for(lambda: process.read_events("address_unavailable") or not process.is_running())
        process.process.send_signal(signal.SIGTERM)
        assert process.process.wait(timeout=60) == 0
        assert process.read_events("stopped")
        holder.close()


class TestServers:
    """Servers that fail and are started again."""

    @pytest.mark.parametrize("kind", ["links", "http"])
    def test_a_server_that_fails_closes_its_listener(self, monkeypatch, kind):
        """Its address would be in use for the server that is started in its place."""
        serving = []

        async def serve_listeners(handler, opened):
            serving.extend(opened)
            raise RuntimeError("broken")

        async def main():
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = format_address(probe.getsockname())
            if kind == "links":
                await serve_links(address, None, None)
            else:
                await Server(address, None).run()

        monkeypatch.setattr(trio, "serve_listeners", serve_listeners)
        with pytest.raises(RuntimeError, match="broken"):
            trio.run(main)
        assert serving[0].socket.fileno() == -1


class TestRetries:
    """Which errors are retried, and how that is logged."""

    @pytest.fixture(autouse=True)
    def empty_queue(self):
        """Leave no events of other tests in the log queue."""
        queue.records.clear()
        yield
        queue.records.clear()

    def open(self, numbers):
        """Return what is opened after OSErrors of these numbers, and the events logged."""
        errors = iter(numbers)

        def open_socket(address):
            assert address == ("127.0.0.1", 9000)
            number = next(errors, None)
            if number is not None:
                raise OSError(number, os.strerror(number))
            return "socket"

        async def main():
            return await listeners.open_when_available("listen", ADDRESS, open_socket)

        opened = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return opened, [(event.name, fields) for _, event, fields in queue.records]

    def test_an_available_address_is_not_logged(self):
        assert self.open([]) == ("socket", [])

    @pytest.mark.parametrize("number", sorted(listeners.TRANSIENT_ERRORS))
    def test_errors_that_pass_are_retried(self, number):
        opened, events = self.open([number] * 3)
        assert opened == "socket"
        assert [name for name, _ in events] == ["address_unavailable", "address_available"]
        assert events[0][1]["address"] == ADDRESS
        assert os.strerror(number) in events[0][1]["reason"]
        assert events[1][1]["waited_ms"] == 300

    def test_a_long_wait_is_logged_at_intervals(self):
        waits = round(12 / listeners.RETRY_INTERVAL_SECONDS)
        _, events = self.open([errno.EADDRINUSE] * waits)
        waited = [
            fields["waited_ms"] for name, fields in events if name == "address_unavailable"
        ]
        assert len(waited) == 3
        assert waited[0] == 0
        assert waited[2] >= 10_000

    @pytest.mark.parametrize("number", [errno.EACCES, errno.EINVAL])
    def test_other_errors_name_step_and_address(self, number):
        """Waiting changes nothing, so operators have to see which address is wrong."""
        with pytest.raises(AddressError) as raised:
            self.open([number])
        assert str(raised.value).startswith(f"listen, {ADDRESS}: ")

    @pytest.mark.parametrize(
        "open_socket", [listeners.open_stream_socket, listeners.open_datagram_socket]
    )
    def test_a_failed_attempt_leaves_no_socket_open(self, open_socket):
        """Attempts that go on for long would use up the descriptors."""
        kind = TCP if open_socket is listeners.open_stream_socket else UDP
        holder = hold(("127.0.0.1", 0), kind)
        with holder:
            before = os.listdir("/proc/self/fd")
            for _ in range(10):
                with pytest.raises(OSError):
                    open_socket(holder.getsockname())
            assert len(os.listdir("/proc/self/fd")) == len(before)
