"""Probes of control replicas over UDP."""

import pytest
import trio

from lycheevalve.daemon.datagrams import open_datagram_socket, read_datagrams
from lycheevalve.daemon.early import EarlyResponder
from lycheevalve.daemon.probes import (
    MAX_PENDING_PROBES,
    ProbeSocket,
    open_probe_socket,
)
from lycheevalve.schema.lookups import (
    RESTORED_LEASE_SECONDS,
    Answer,
    decode_lookup,
    derive_key,
    encode_answer,
)
from lycheevalve.utils.addresses import format_address

KEY = "key of the site in this test"
DERIVED_KEY = derive_key(KEY.encode())


class ReplicaSocket:
    """The socket of a control replica."""

    def __init__(self):
        self.socket = open_datagram_socket(("127.0.0.1", 0))
        self.address = format_address(self.socket.getsockname())

    async def receive(self):
        """Return the next (lookup, sender)."""
        await trio.lowlevel.wait_readable(self.socket)
        [(data, sender)], _ = read_datagrams(self.socket)
        return decode_lookup(DERIVED_KEY, data), sender

    def answer(self, lookup, sender, key=DERIVED_KEY):
        """Answer a lookup as a replica does."""
        self.socket.sendto(encode_answer(key, Answer(lookup.nonce, 0)), sender)


@pytest.fixture
def probes():
    """Return an open ProbeSocket on a free port."""
    # parse_address refuses port 0, so the socket is bound first.
    reserved = open_datagram_socket(("127.0.0.1", 0))
    address = format_address(reserved.getsockname())
    reserved.close()
    opened = ProbeSocket(address, KEY, "dc1")
    yield opened
    opened.socket.close()


async def read_answers(probes):
    """Return the answered addresses after the next datagram."""
    await trio.lowlevel.wait_readable(probes.socket.socket)
    return probes.read_answers()


class TestProbeSocket:
    """Which answers count."""

    def test_answer_of_the_probed_replica(self, probes):
        async def run():
            replica = ReplicaSocket()
            probes.send(replica.address)
            lookup, sender = await replica.receive()
            assert not lookup.cookies
            assert not lookup.front_doors
            replica.answer(lookup, sender)
            assert await read_answers(probes) == [replica.address]

        trio.run(run)

    def test_second_answer_to_the_same_probe(self, probes):
        async def run():
            replica = ReplicaSocket()
            probes.send(replica.address)
            lookup, sender = await replica.receive()
            replica.answer(lookup, sender)
            assert await read_answers(probes) == [replica.address]
            replica.answer(lookup, sender)
            assert await read_answers(probes) == []

        trio.run(run)

    def test_answer_from_elsewhere(self, probes):
        async def run():
            replica, other = ReplicaSocket(), ReplicaSocket()
            probes.send(replica.address)
            lookup, sender = await replica.receive()
            other.answer(lookup, sender)
            assert await read_answers(probes) == []

        trio.run(run)

    @pytest.mark.parametrize("datagram", [b"", b"x" * 40, b"L" * 2000])
    def test_malformed_answer_is_counted(self, probes, datagram):
        async def run():
            replica = ReplicaSocket()
            probes.send(replica.address)
            _, sender = await replica.receive()
            replica.socket.sendto(datagram, sender)
            assert await read_answers(probes) == []
            replica.answer((await self.probe_again(probes, replica)), sender)
            assert await read_answers(probes) == [replica.address]

        trio.run(run)
        assert probes.malformed == 1

    async def probe_again(self, probes, replica):
        """Return the lookup of another probe."""
        probes.send(replica.address)
        lookup, _ = await replica.receive()
        return lookup

    def test_unanswered_probes_are_bounded(self, probes):
        replica = ReplicaSocket()
        for _ in range(2 * MAX_PENDING_PROBES):
            probes.send(replica.address)
        assert len(probes.pending) == MAX_PENDING_PROBES


class TestUnavailableAddress:
    """The address for probes is in use."""

    def test_instance_goes_on_without_probes(self):
        taken = open_datagram_socket(("127.0.0.1", 0))
        assert open_probe_socket(format_address(taken.getsockname()), KEY, "dc1") is None
        taken.close()


class TestStartingReplica:
    """A replica whose process is still starting is reached, too."""

    def test_answers_a_probe_without_a_table(self, probes, tmp_path):
        async def run():
            early = EarlyResponder(("127.0.0.1", 0), str(tmp_path / "lookups"), KEY)
            # The start of a weak machine takes longer than the restored leases last.
            early.thread.started_at -= 2 * RESTORED_LEASE_SECONDS
            early.start()
            address = format_address(early.socket.getsockname())
            probes.send(address)
            assert await read_answers(probes) == [address]
            early.stop()

        trio.run(run)
