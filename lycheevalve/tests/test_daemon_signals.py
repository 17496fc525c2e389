"""SIGTERM to an instance of lycheevalved that has not started yet."""

import signal
import socket

import pytest

from bench.deployment import Deployment
from lycheevalve.tests.fakes.role_processes import wait_for
from lycheevalve.tests.test_processes import find_ports
from lycheevalve.utils.addresses import parse_address

STOP_TIMEOUT_SECONDS = 15.0


@pytest.fixture
def deployment(tmp_path):
    """Return a site of one instance whose datagram address another socket holds."""
    deployment = Deployment("lagos", tmp_path, find_ports(), instances=1)
    deployment.write_files()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(parse_address(deployment.instance_address("a1")))
        deployment.start_instance("a1")
        try:
            yield deployment
        finally:
            deployment.kill("a1")


class TestStart:
    """An instance whose address is in use."""

    # SIGTERM went to the inbox of an instance that had not started, and had no effect.
    def test_instance_that_waits_for_an_address_ends_at_sigterm(self, deployment):
        output = deployment.folder / "a1.out"
        wait_for(lambda: "address_unavailable" in output.read_text())
        deployment.signal("a1", signal.SIGTERM)
        assert deployment.processes["a1"].wait(STOP_TIMEOUT_SECONDS) == 0
