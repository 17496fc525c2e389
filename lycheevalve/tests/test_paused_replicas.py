"""Entry instances whose control replica was paused and could not answer a poll in time."""

import json
import os
import signal
import time

import pytest

from lycheevalve.tests.fakes.role_processes import build_control, build_entry
from lycheevalve.tests.test_boundaries import ROUTE, call, configure

# Longer than the limit on an answer of a replica, shorter than that of the polling connection.
PAUSE_SECONDS = 0.95
ROUNDS = 4
IN_FORCE_SECONDS = 10.0


@pytest.fixture
def processes(tmp_path):
    """Return a running control replica and its entry instance."""
    replica = build_control(tmp_path)
    entry = build_entry(tmp_path, replica)
    try:
        yield replica.start().wait_until_started(), entry.start().wait_until_started()
    finally:
        entry.stop()
        replica.stop()


def is_in_force(replica, entry, version):
    """Send a configuration until it is acknowledged and in force; return whether it is."""
    end = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < end:
        revisions = [event["revision"] for event in entry.read_events("in_force")]
        if configure(replica, version) == 200 and version in revisions:
            return True
        time.sleep(0.1)
    return False


class TestPauses:
    """Pauses of the only control replica of a site."""

    # The answer to the poll was a Failure, after which the instance never polled again.
    def test_instance_polls_again_after_a_poll_was_answered_with_a_failure(self, processes):
        replica, entry = processes
        assert is_in_force(replica, entry, 1)
        for version in range(2, 2 + ROUNDS):
            os.kill(replica.process.pid, signal.SIGSTOP)
            time.sleep(PAUSE_SECONDS)
            os.kill(replica.process.pid, signal.SIGCONT)
            assert is_in_force(replica, entry, version), entry.read_output()


class TestLargeConfigurations:
    """Configurations whose checks keep the replica busy."""

    # The first kept the replica from answering a poll in time; the second never arrived.
    def test_large_configurations_arrive_one_after_another(self, processes):
        replica, entry = processes
        services = [{"name": ROUTE["service"] + str(number)} for number in range(8_000)]
        for version in range(1, 5):
            routes = [
                ROUTE
                | {
                    "name": f"r{number}",
                    "host": f"198.18.{number // 250}.{number % 250}",
                    "service": services[number % len(services)]["name"],
                }
                for number in range(22_000)
            ]
            document = {"version": version, "routes": routes, "services": services}
            body = json.dumps(document).encode()

            def is_current(version=version, body=body):
                call(replica.address("operators"), "POST", "/Config.Replace", body)
                events = entry.read_events("in_force")
                return version in [event["revision"] for event in events]

            end = time.monotonic() + IN_FORCE_SECONDS
            while not is_current():
                assert time.monotonic() < end, entry.read_output()
                time.sleep(0.5)
