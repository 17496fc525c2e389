"""The threads that work while a process starts, with real sockets."""

import socket
import time

import pytest

from lycheevalve.coordination.upstream_cache import write_lookup_table
from lycheevalve.daemon import early
from lycheevalve.daemon.early import EarlyForwarder, EarlyResponder, read_clock
from lycheevalve.platform import __main__ as program
from lycheevalve.platform.early import EarlyCodec
from lycheevalve.schema import lookups
from lycheevalve.tests.fakes.entry import FRONT_DOOR
from lycheevalve.tests.fakes.platform import ACK, SYN, Segment, read_segment, split_target
from lycheevalve.tests.fakes.targets import build_target

KEY = "key of the site"


def open_socket():
    """Return a UDP socket on loopback with a time limit for what it waits for."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.settimeout(10)
    return opened


class Site:
    """An EarlyForwarder, a replica, an upstream and a caller on loopback."""

    def __init__(self, codec=EarlyCodec):
        self.replica, self.upstream, self.caller = open_socket(), open_socket(), open_socket()
        self.forwarder = EarlyForwarder(
            ("127.0.0.1", 0),
            ("127.0.0.1", 0),
            [self.replica.getsockname()],
            KEY,
            "dc1",
            codec,
        )
        self.address = self.forwarder.packet_socket.getsockname()
        self.key = lookups.derive_key(KEY.encode())
        ip, port = self.upstream.getsockname()
        self.target = lookups.Target(1, (socket.inet_aton(ip), port), 2, True, "i-000000ab")
        self.forwarder.start()

    def send(self, **values):
        """Send a caller's packet."""
        segment = Segment(("100.64.0.7", 40001), ("198.18.0.1", 443), **values)
        self.caller.sendto(segment.encode(), self.address)

    def receive_lookup(self):
        """Return (Lookup, source) of the next lookup."""
        data, source = self.replica.recvfrom(2000)
        return lookups.decode_lookup(self.key, data), source

    def answer(self, lookup, source, **values):
        """Answer a lookup."""
        answer = lookups.Answer(lookup.nonce, 1, **values)
        self.replica.sendto(lookups.encode_answer(self.key, answer), source)

    def close(self):
        """Close all sockets."""
        for opened in (self.replica, self.upstream, self.caller, self.forwarder.packet_socket):
            opened.close()


@pytest.fixture
def site():
    """Return a running Site; stop its thread afterwards."""
    site = Site()
    yield site
    site.forwarder.stop()
    site.close()


class TestThread:
    """The thread with real sockets."""

    def test_packets_of_open_flows_reach_their_upstream(self, site):
        site.send(flags=ACK, cookie=1, data=b"GET /")
        lookup, source = site.receive_lookup()
        assert (lookup.cookies, lookup.data_centre) == ([1], "dc1")
        site.answer(lookup, source, targets=[site.target])
        intended, packet = split_target(site.upstream.recv(2000))
        assert intended == 0xAB
        assert read_segment(packet).data == b"GET /"

    def test_a_new_flow_gets_the_cookie_of_its_upstream(self, site):
        site.send(flags=SYN)
        lookup, source = site.receive_lookup()
        site.answer(lookup, source, candidates={lookup.front_doors[0]: [site.target]})
        _, packet = split_target(site.upstream.recv(2000))
        assert read_segment(packet).cookie == 1

    def test_malformed_datagrams_and_forged_answers_change_nothing(self, site):
        site.caller.sendto(b"rubbish", site.address)
        site.send(flags=ACK, cookie=1, data=b"GET /")
        lookup, source = site.receive_lookup()
        site.replica.sendto(b"rubbish", source)
        forged = lookups.Answer(lookup.nonce, 1, [site.target])
        wrong_key = lookups.derive_key(b"another key")
        site.replica.sendto(lookups.encode_answer(wrong_key, forged), source)
        recorded = lookups.Answer(lookup.nonce + 1, 1, [site.target])
        site.replica.sendto(lookups.encode_answer(site.key, recorded), source)
        lookup, source = site.receive_lookup()
        site.answer(lookup, source, targets=[site.target])
        site.upstream.recv(2000)
        assert site.forwarder.malformed == 3
        assert site.forwarder.router.forwarded == 1

    def test_an_answer_that_waited_during_a_pause_is_not_used(self):
        """It may name an upstream that has left meanwhile."""
        site = Site()
        site.send(flags=ACK, cookie=1, data=b"GET /")
        lookup, _ = site.receive_lookup()
        site.forwarder.stop()
        answer = lookups.Answer(lookup.nonce, 1, [site.target])
        late = lookups.encode_answer(site.key, answer)
        site.forwarder.handle_answer(late, read_clock() + early.MAX_ANSWER_SECONDS + 0.1)
        assert site.forwarder.router.forwarded == 0
        site.close()

    def test_held_packets_are_handed_over(self):
        site = Site()
        site.send(flags=SYN)
        site.send(flags=ACK, cookie=9, data=b"GET /")
        while len(site.receive_lookup()[0].cookies) < 1:
            pass
        held = site.forwarder.stop()
        assert [read_segment(data).flags for _, data in held] == [SYN, ACK]
        assert all(0 <= seconds < 10 for seconds, _ in held)
        # The socket stays open for the instance.
        site.send(flags=ACK, cookie=9)
        deadline = time.monotonic() + 10
        while True:
            try:
                assert site.forwarder.packet_socket.recv(2000)
                break
            except BlockingIOError:
                assert time.monotonic() < deadline
        site.close()

    def test_an_unexpected_error_ends_the_thread_only(self):
        class BrokenCodec(EarlyCodec):
            @staticmethod
            def read_packet(data):
                raise RuntimeError("broken")

        site = Site(BrokenCodec)
        site.send(flags=SYN)
        assert site.forwarder.thread.stopped.acquire(timeout=10)
        site.forwarder.thread.stopped.release()
        assert site.forwarder.stop() == []
        assert "broken" in site.forwarder.thread.error
        site.close()


class TestResponder:
    """A replica that starts answers lookups from the table on its disk."""

    @pytest.fixture
    def responder(self, tmp_path):
        """Return a running EarlyResponder that has one upstream; stop it afterwards."""
        key = lookups.derive_key(KEY.encode())
        write_lookup_table(tmp_path, [build_target(1)], key)
        responder = EarlyResponder(
            ("127.0.0.1", 0), str(tmp_path / lookups.TABLE_FILE_NAME), KEY
        )
        responder.start()
        yield responder
        responder.stop()
        responder.socket.close()

    def ask(self, responder, **values):
        """Return the Answer to a lookup, or None if there is none within half a second."""
        key = lookups.derive_key(KEY.encode())
        with open_socket() as instance:
            instance.settimeout(0.5)
            lookup = lookups.Lookup(3, "dc1", **values)
            address = responder.socket.getsockname()
            instance.sendto(lookups.encode_lookup(key, lookup), address)
            try:
                return lookups.decode_answer(key, instance.recv(2000))
            except TimeoutError:
                return None

    def test_stored_upstreams_are_named_for_open_flows(self, responder):
        answer = self.ask(responder, cookies=[1, 2])
        assert [target.cookie for target in answer.targets] == [1]

    def test_nothing_is_named_for_new_flows(self, responder):
        """The replica may have missed a drain or a configuration."""
        answer = self.ask(responder, cookies=[1], front_doors=[FRONT_DOOR])
        assert answer.candidates == {}

    def test_nothing_is_named_once_restored_leases_have_ended(self, responder):
        responder.thread.started_at -= lookups.RESTORED_LEASE_SECONDS
        assert self.ask(responder, cookies=[1]) is None

    def test_rubbish_is_counted(self, responder):
        with open_socket() as stranger:
            stranger.sendto(b"rubbish", responder.socket.getsockname())
        assert self.ask(responder, cookies=[1]) is not None
        assert responder.malformed == 1

    @pytest.mark.parametrize("size", [0, 3, 20, 40])
    def test_a_damaged_table_is_not_used(self, tmp_path, size):
        """A torn write at a power loss."""
        key = lookups.derive_key(KEY.encode())
        path = tmp_path / lookups.TABLE_FILE_NAME
        path.write_bytes(lookups.encode_table(key, [build_target(1), build_target(2)])[:size])
        targets, error = early.read_table(str(path), key)
        assert targets == {}
        assert str(path) in error

    def test_a_missing_table_is_empty(self, tmp_path):
        assert early.read_table(str(tmp_path / "missing"), b"key") == ({}, "")


class TestStart:
    """The words from which the thread is started."""

    @pytest.mark.parametrize(
        ("words", "reason"),
        [
            ("packets=127.0.0.1:0", "missing ip"),
            ("packets", "update sequence"),
            ("packets=x ip=127.0.0.1 link_port=x seeds=a data_centre=d key=k", "invalid"),
        ],
    )
    def test_invalid_words_start_no_thread_and_say_why(self, words, reason):
        early, error = program.start_early(words)
        assert early is None
        assert reason in error

    def test_no_words_start_no_thread(self):
        assert program.start_early("") == (None, "")
