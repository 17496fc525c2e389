"""Checks of upstreams: the datagrams that ask for them, and their connections."""

import socket
import time

import pytest
import trio

from lycheevalve.daemon.upstream_checks import (
    LATE_CHECK_SECONDS,
    UpstreamChecked,
    check_upstream,
    is_reachable,
    judge,
)
from lycheevalve.schema import lookups

KEY = lookups.derive_key(b"key of the site")


class TestFormat:
    """The datagram that asks for a check."""

    def test_is_read_as_written(self):
        datagram = lookups.encode_check(KEY, 2**32 - 1)
        assert lookups.is_check(datagram)
        assert lookups.decode_check(KEY, datagram) == 2**32 - 1

    def test_lookup_is_none(self):
        assert not lookups.is_check(lookups.encode_lookup(KEY, lookups.Lookup(1, "dc1")))

    @pytest.mark.parametrize(
        "datagram",
        [
            b"",
            lookups.encode_check(KEY, 7)[:-1],
            lookups.encode_check(lookups.derive_key(b"key of another site"), 7),
            lookups.sign(KEY, lookups.PREFIX.pack(lookups.MAGIC, 1, lookups.CHECK, 0)),
        ],
    )
    def test_invalid_datagram_is_refused(self, datagram):
        with pytest.raises(ValueError, match=r"signature|check|short"):
            lookups.decode_check(KEY, datagram)


@pytest.fixture
def silent_address():
    """Return an address whose queue of new connections is full: opening packets are dropped."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        clients = [socket.socket() for _ in range(4)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        yield server.getsockname()
        for client in clients:
            client.close()


class TestConnections:
    """Checks over real connections."""

    def check(self, address):
        """Return the result that reaches the owner."""

        async def run():
            inbox, results = trio.open_memory_channel(1)
            await check_upstream(5, address, inbox)
            return results.receive_nowait()

        return trio.run(run)

    def test_listening_upstream(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            assert self.check(server.getsockname()) == UpstreamChecked(5, True)

    def test_closed_port(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        assert trio.run(is_reachable, address) is False

    def test_upstream_that_does_not_answer(self, silent_address):
        assert trio.run(is_reachable, silent_address) is False

    @pytest.mark.parametrize(
        ("accepted", "seconds", "result"),
        [
            (True, 0.01, True),
            (True, LATE_CHECK_SECONDS + 1.0, True),
            (False, LATE_CHECK_SECONDS, False),
            (False, LATE_CHECK_SECONDS + 0.01, None),
        ],
    )
    def test_late_failure_is_inconclusive(self, accepted, seconds, result):
        assert judge(accepted, seconds) is result

    def test_pause_of_the_replica_makes_it_inconclusive(self, silent_address):
        async def pause():
            await trio.sleep(0.01)
            time.sleep(LATE_CHECK_SECONDS)

        async def run():
            inbox, results = trio.open_memory_channel(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause)
                nursery.start_soon(check_upstream, 5, silent_address, inbox)
            return results.receive_nowait()

        assert trio.run(run) == UpstreamChecked(5, None)
