"""A process whose standard error is a pipe that nobody reads."""

import contextlib
import os
import resource
import socket
import subprocess
import time

import pytest

from lycheevalve.tests.fakes.role_processes import build_control
from lycheevalve.tests.test_boundaries import call, configure

DESCRIPTORS = 64
CONNECTIONS = 100
# A line with its stack for each failed accept fills a pipe in less.
EXHAUSTED_SECONDS = 20.0


@pytest.fixture
def replica(tmp_path):
    """Return a running control replica with few descriptors and an unread standard error."""
    replica = build_control(tmp_path)
    reader, writer = os.pipe()
    with open(replica.output_path, "a") as output:
        replica.process = subprocess.Popen(
            [*replica.command, str(replica.write_settings())],
            stdout=output,
            stderr=writer,
            stdin=subprocess.DEVNULL,
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
            ),
        )
    os.close(writer)
    try:
        yield replica.wait_until_started()
    finally:
        replica.stop()
        os.close(reader)


class TestExhaustedDescriptors:
    """Connections that use up the descriptors for a while."""

    # trio wrote each failed accept to standard error, whose full pipe blocked the process.
    def test_replica_answers_once_descriptors_are_free_again(self, replica):
        assert configure(replica, 1) == 200
        with contextlib.ExitStack() as opened:
            for _ in range(CONNECTIONS):
                connection = opened.enter_context(socket.socket())
                connection.connect(replica.address("operators"))
            time.sleep(EXHAUSTED_SECONDS)
        time.sleep(2.0)
        assert call(replica.address("operators"), "GET", "/Config.Read") == 200
        replica.process.terminate()
        assert replica.process.wait(10) == 0
