"""Tasks of real processes that fail for a while, as without memory."""

import http.client
import itertools
import json
import os
import socket
import sys

import pytest

from lycheevalve.tests.fakes.platform import HEARTBEAT
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, wait_for

FAILING_ROLE = (sys.executable, "-m", "lycheevalve.tests.fakes.failing_role")
# Each configuration needs a higher version than the one before.
VERSIONS = itertools.count(1)
CONTROL_PLACES = (
    "lycheevalve.logs.queue:Writer.write",
    "lycheevalve.daemon.udp_socket:UdpSocket.read_batch",
    "lycheevalve.daemon.upstream_store:UpstreamStore.write",
    "lycheevalve.daemon.replica_task:ReplicaTask.tick",
    "lycheevalve.daemon.control:ControlProcess.flush",
    "lycheevalve.daemon.control:ControlProcess.handle_link_message",
    "lycheevalve.control:ControlReplica.run_timers",
    "lycheevalve.control:ControlReplica.handle_poll",
    "lycheevalve.control:ControlReplica.handle_announcement",
    "lycheevalve.coordination.storage:Storage.write",
    "lycheevalve.platform.run:reload_settings",
    "trio:SocketListener.accept",
)
ENTRY_PLACES = (
    "lycheevalve.logs.queue:Writer.write",
    "lycheevalve.daemon.udp_socket:UdpSocket.read_batch",
    "lycheevalve.daemon.polling:exchange",
    "lycheevalve.daemon.entry:EntryProcess.flush",
    "lycheevalve.daemon.entry:EntryProcess.answer_probe",
    "lycheevalve.entry:EntryInstance.run_timers",
    "lycheevalve.entry:EntryInstance.handle_message",
    "lycheevalve.platform.run:reload_settings",
    "trio:SocketListener.accept",
)


def call(address, method, path, body=b""):
    """Return (status, body) of an HTTP call, or None if it got no answer."""
    connection = http.client.HTTPConnection(*address, timeout=5)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def configure(replica, version):
    """Send a configuration; return whether it was acknowledged."""
    document = {"version": version, "routes": [], "services": [{"name": "nightsync"}]}
    body = json.dumps(document).encode()
    answer = call(replica.address("operators"), "POST", "/Config.Replace", body)
    return answer is not None and answer[0] == 200


def is_in_force(replica, entry, version):
    """Send a configuration; return whether it is in force at the instance."""
    revisions = [event["revision"] for event in entry.read_events("in_force")]
    return configure(replica, version) and version in revisions


def use_all(replica, entry):
    """Give each task of the processes something to do."""
    operators = replica.address("operators")
    version = next(VERSIONS)
    body = json.dumps(HEARTBEAT | {"address": f"127.0.0.9:{9000 + version}"}).encode()
    call(operators, "POST", "/Instances.Heartbeat/i-1", body)
    configure(replica, version)
    call(entry.address("readiness"), "GET", "/ready")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"x", replica.link_address())
        sender.sendto(b"x", entry.address("packets"))
    for process in (replica, entry):
        os.utime(process.folder / f"{process.settings['name']}.toml")


class TestFailingTasks:
    """A process whose task fails goes on, and reports the failure."""

    # An error that left one of these functions ended the process.
    @pytest.mark.parametrize("place", CONTROL_PLACES)
    def test_control_replica_recovers(self, place, tmp_path):
        replica = build_control(tmp_path)
        self.check_recovery(replica, build_entry(tmp_path, replica), replica, place, tmp_path)

    @pytest.mark.parametrize("place", ENTRY_PLACES)
    def test_entry_instance_recovers(self, place, tmp_path):
        replica = build_control(tmp_path)
        entry = build_entry(tmp_path, replica)
        self.check_recovery(replica, entry, entry, place, tmp_path)

    @staticmethod
    def check_recovery(replica, entry, failing, place, folder):
        """Let a function of a process fail for a while; check that all works afterwards."""
        path = folder / "failing"
        failing.command = FAILING_ROLE
        failing.environment = {"FAILING": f"{place} {path}"}

        def is_logged():
            assert failing.is_running(), failing.read_output()
            errors = [event["error"] for event in failing.read_events("task_failed")]
            return any(place in error for error in errors)

        def is_counted():
            answer = call(failing.address("metrics"), "GET", "/metrics")
            return answer is not None and 'error="MemoryError"' in answer[1]

        def has_failed():
            use_all(replica, entry)
            return is_logged() or is_counted()

        try:
            replica.start().wait_until_started()
            entry.start().wait_until_started()
            first_version = next(VERSIONS)
            wait_for(lambda: is_in_force(replica, entry, first_version))
            path.touch()
            wait_for(has_failed)
            path.unlink()
            wait_for(is_logged)
            wait_for(is_counted)
            last_version = next(VERSIONS)
            wait_for(lambda: is_in_force(replica, entry, last_version))
            assert replica.is_running(), replica.read_output()
            assert entry.is_running(), entry.read_output()
        finally:
            replica.stop()
            entry.stop()
