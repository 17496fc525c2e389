"""An entry instance whose address for probes is in use when it starts."""

import errno
import socket

import pytest

from lycheevalve.tests.fakes import role_processes
from lycheevalve.tests.fakes.role_processes import build_control, build_entry, wait_for

RETRY_SECONDS = 15.0


@pytest.fixture
def replica(tmp_path):
    """Return a running control replica."""
    replica = build_control(tmp_path)
    try:
        yield replica.start().wait_until_started()
    finally:
        replica.stop()


def is_in_use(address):
    """Return whether a UDP socket is bound to an address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(address)
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


class TestProbes:
    """The socket for probes of control replicas and requests for checks of upstreams."""

    # It was opened once: an instance that failed to never probed nor asked for a check.
    def test_socket_is_opened_once_its_address_is_available(
        self, tmp_path, replica, monkeypatch
    ):
        entry = build_entry(tmp_path, replica)
        monkeypatch.setattr(role_processes, "WAIT_TIMEOUT_SECONDS", RETRY_SECONDS)
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
                holder.bind(entry.link_address())
                entry.start().wait_until_started()
                wait_for(lambda: entry.read_events("probes_unavailable"))
            wait_for(lambda: is_in_use(entry.link_address()))
        finally:
            entry.stop()
