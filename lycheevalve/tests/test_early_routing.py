"""Packets that arrive while an instance starts: the decisions, and the thread."""

import collections
import random
import socket
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheevalve.coordination.upstream_cache import TABLE_FILE_NAME, write_lookup_table
from lycheevalve.daemon import early
from lycheevalve.daemon.early import EarlyForwarder, EarlyResponder, read_clock
from lycheevalve.flows import early_routing
from lycheevalve.flows.early_routing import EarlyRouter
from lycheevalve.platform import __main__ as program
from lycheevalve.platform.early import EarlyCodec
from lycheevalve.schema import lookups
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    ROUTES,
    build_packet,
    build_registration,
)
from lycheevalve.tests.fakes.platform import ACK, SYN, Segment, read_segment, split_target

KEY = "key of the site"


def build_target(number, is_local=True, slots=2):
    """Return the Target of an upstream; its cookie is its number."""
    name = f"i-{number:08x}"
    return lookups.Target(number, (bytes([10, 0, 0, number]), 80), slots, is_local, name)


class StartingInstance:
    """An EarlyRouter and a record of what it forwarded."""

    def __init__(self):
        self.sent = []
        self.router = EarlyRouter(
            lambda target, packet: self.sent.append((target.cookie, packet)),
            random.Random(1).random,
        )

    def handle(self, now=0.0, **values):
        """Handle a packet."""
        self.router.handle_packet(build_packet(**values), now)

    def answer(self, now=0.0, targets=(), candidates=None, revision=1):
        """Handle a replica's answer; `candidates` are targets for FRONT_DOOR."""
        found = {FRONT_DOOR: candidates} if candidates is not None else {}
        self.router.handle_answer(lookups.Answer(1, revision, targets, found), now)

    def upstreams(self):
        """Return the cookies of the upstreams that got packets, in order."""
        return [cookie for cookie, _ in self.sent]


class TestOpenFlows:
    """Return of power: all callers retransmit on open flows."""

    def test_packets_wait_for_an_answer_and_leave_in_order(self):
        instance = StartingInstance()
        for sequence in range(3):
            instance.handle(cookie=1, sequence=sequence, size=10)
        assert instance.sent == []
        assert instance.router.take_lookup(0.0) == ((1,), ())
        instance.answer(targets=[build_target(1)])
        assert [packet.sequence for _, packet in instance.sent] == [0, 1, 2]

    def test_packets_of_a_known_upstream_leave_at_once(self):
        instance = StartingInstance()
        instance.answer(targets=[build_target(1)])
        instance.handle(now=0.9, cookie=1)
        assert instance.upstreams() == [1]

    def test_answers_are_used_for_a_second(self):
        """An upstream may have left meanwhile, and another one have its address."""
        instance = StartingInstance()
        instance.answer(targets=[build_target(1)])
        instance.handle(now=1.1, cookie=1)
        assert instance.sent == []
        assert instance.router.take_lookup(1.1) == ((1,), ())

    def test_copies_are_held_once(self):
        instance = StartingInstance()
        for now in (0.0, 0.2):
            instance.handle(now=now, cookie=1, sequence=5, size=10)
        instance.answer(now=0.3, targets=[build_target(1)])
        assert len(instance.sent) == 1

    def test_packets_are_dropped_once_callers_have_sent_them_again(self):
        instance = StartingInstance()
        instance.handle(cookie=1)
        instance.answer(now=0.7, targets=[build_target(1)])
        assert instance.sent == []
        assert instance.router.dropped == 1

    def test_held_packets_are_bounded(self):
        instance = StartingInstance()
        for sequence in range(early_routing.MAX_HELD_PACKETS + 10):
            instance.handle(cookie=1, sequence=sequence)
        assert len(instance.router.held) == early_routing.MAX_HELD_PACKETS
        assert instance.router.dropped == 10

    def test_lookups_back_off_while_no_replica_answers(self):
        """A whole site that starts must not overload its replicas."""
        instance, asked = StartingInstance(), 0
        for step in range(300):
            now = step / 100
            instance.handle(now=now, cookie=1, sequence=step // 20)
            asked += instance.router.take_lookup(now) != ((), ())
        assert 6 <= asked <= 18

    def test_something_new_is_asked_for_at_once(self):
        instance = StartingInstance()
        for step in range(100):
            instance.handle(now=step / 100, cookie=1)
            instance.router.take_lookup(step / 100)
        instance.handle(now=1.0, flow_key=b"other", cookie=2)
        assert instance.router.take_lookup(1.0) == ((1, 2), ())


class TestNewFlows:
    """Return of power: callers whose flows broke open new ones."""

    def test_flows_are_spread_over_near_upstreams(self):
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1), build_target(2), build_target(3)])
        for number in range(6):
            instance.handle(flow_key=b"%d" % number, opens=True)
        assert collections.Counter(instance.upstreams()) == {1: 2, 2: 2, 3: 2}

    def test_other_data_centres_get_flows_once_near_upstreams_are_in_use(self):
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1), build_target(2, is_local=False)])
        for number in range(6):
            instance.handle(flow_key=b"%d" % number, opens=True)
        assert collections.Counter(instance.upstreams()) == {1: 4, 2: 2}

    def test_a_copy_goes_to_another_upstream(self):
        """The first one is silent or full."""
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1), build_target(2)])
        for copy in range(2):
            instance.handle(opens=True, copy=copy)
        assert sorted(instance.upstreams()) == [1, 2]

    def test_packets_of_the_new_flow_need_no_further_lookup(self):
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1)])
        instance.handle(opens=True)
        instance.handle(cookie=1, size=5)
        assert instance.upstreams() == [1, 1]

    def test_candidates_are_used_for_half_a_second(self):
        """A draining upstream must get no new flow after seconds."""
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1)])
        instance.handle(now=0.6, opens=True)
        assert instance.sent == []

    def test_an_older_configuration_is_never_used_after_a_newer_one(self):
        """A replica that lags behind answers after one that does not."""
        instance = StartingInstance()
        instance.answer(candidates=[build_target(1)], revision=7)
        instance.answer(now=0.1, candidates=[build_target(2)], revision=6)
        instance.handle(now=0.2, opens=True)
        assert instance.upstreams() == [1]
        instance.handle(now=0.6, flow_key=b"other", opens=True)
        instance.answer(now=0.7, candidates=[build_target(2)], revision=6)
        assert instance.upstreams() == [1]

    def test_front_doors_that_no_replica_names_wait_for_the_instance(self):
        instance = StartingInstance()
        instance.handle(opens=True)
        instance.answer(candidates=[])
        instance.answer()
        assert len(instance.router.held) == 1


class TestImports:
    """Return of power: imports take the processor that packets need."""

    def test_imports_wait_while_packets_are_forwarded(self):
        instance = StartingInstance()
        delay = early_routing.ImportDelay(instance.router)
        assert delay.next_wait() == 0.0
        instance.answer(targets=[build_target(1)])
        instance.handle(cookie=1)
        assert delay.next_wait() == early_routing.QUIET_SECONDS
        assert delay.next_wait() == 0.0

    def test_held_packets_delay_no_import(self):
        instance = StartingInstance()
        instance.handle(cookie=1)
        assert early_routing.ImportDelay(instance.router).next_wait() == 0.0

    def test_the_delay_is_limited(self):
        """Without a limit an instance under load would never be ready."""
        instance = StartingInstance()
        instance.answer(targets=[build_target(1)])
        delay, waited = early_routing.ImportDelay(instance.router), 0.0
        for sequence in range(500):
            instance.handle(cookie=1, sequence=sequence)
            waited += delay.next_wait()
        limit = early_routing.MAX_IMPORT_DELAY_SECONDS
        assert limit - 2 * early_routing.QUIET_SECONDS <= waited <= limit


class StartMachine(RuleBasedStateMachine):
    """
    Callers, answers and time in any order.

    Oracle: a packet leaves only to an upstream that an answer vouched for within the last
    second; each packet is forwarded once, held or dropped.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.router = EarlyRouter(self.forward, random.Random(1).random)
        self.vouched = {}
        self.arrived = 0
        self.sent = collections.Counter()
        self.replaced = 0

    def forward(self, target, packet):
        """Check a forwarded packet against what replicas have vouched for."""
        limit = early_routing.TARGET_SECONDS
        if packet.opens:
            limit = early_routing.CANDIDATES_SECONDS
        else:
            assert packet.cookie == target.cookie
        assert self.now - self.vouched[target.cookie, packet.opens] <= limit
        self.sent[id(packet)] += 1
        assert self.sent[id(packet)] == 1
        # Keeps the packet, so that its id stays unique.
        self.sent[packet] += 1

    @rule(cookie=st.integers(1, 4), sequence=st.integers(0, 3), opens=st.booleans())
    def packet(self, cookie, sequence, opens):
        packet = build_packet(
            flow_key=b"%d" % cookie,
            cookie=0 if opens else cookie,
            sequence=sequence,
            opens=opens,
        )
        self.replaced += packet.identify() in self.router.held
        self.arrived += 1
        self.router.handle_packet(packet, self.now)

    @rule(cookies=st.sets(st.integers(1, 4)), opens=st.booleans())
    def answer(self, cookies, opens):
        targets = [build_target(cookie) for cookie in cookies]
        for cookie in cookies:
            self.vouched[cookie, False] = self.now
            if opens:
                self.vouched[cookie, True] = self.now
        candidates = {FRONT_DOOR: targets} if opens else {}
        answer = lookups.Answer(1, 1, () if opens else targets, candidates)
        self.router.handle_answer(answer, self.now)

    @rule(seconds=st.floats(0.0, 0.8))
    def time(self, seconds):
        self.now += seconds
        self.router.retry_held(self.now)

    @rule()
    def lookup(self):
        self.router.take_lookup(self.now)

    @invariant()
    def every_packet_is_accounted_for(self):
        router = self.router
        sent = router.forwarded + router.opened
        assert sent + len(router.held) + router.dropped + self.replaced >= self.arrived


TestStartMachine = StartMachine.TestCase
TestStartMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


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
        responder = EarlyResponder(("127.0.0.1", 0), str(tmp_path / TABLE_FILE_NAME), KEY)
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
        responder.thread.started_at -= early.RESTORED_LEASE_SECONDS
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
        path = tmp_path / TABLE_FILE_NAME
        path.write_bytes(lookups.encode_table(key, [build_target(1), build_target(2)])[:size])
        assert early.read_table(str(path), key) == {}

    def test_a_missing_table_is_empty(self, tmp_path):
        assert early.read_table(str(tmp_path / "missing"), b"key") == {}


class TestTakeOver:
    """The instance takes over from the thread."""

    @pytest.fixture
    def cluster(self):
        """Return a cluster with one entry instance, which has settings and an upstream."""
        cluster = ControlCluster(controls=1, entries=1)
        cluster.commit(3, routes=(0,))
        service = next(iter(ROUTES.values())).backends[0][0]
        registration = build_registration(1, service, lifetime_ms=60_000)
        cluster.running[cluster.seeds[0]].handle_announcement(registration, "x", cluster.now)
        cluster.run(2.5)
        return cluster

    def test_held_packets_are_forwarded_in_their_order(self, cluster):
        entry = cluster.running[cluster.entries[0]]
        (upstream,) = entry.upstreams.by_index.values()
        packets = [build_packet(cookie=upstream.cookie, sequence=n) for n in range(3)]
        held = [(packet, cluster.now - 0.1) for packet in packets]
        sent = []
        entry.cookie_router.forward = lambda *details: sent.append(details[-1])
        entry.take_over(held, 3, cluster.now)
        assert sent == packets

    def test_packets_held_for_too_long_are_dropped(self, cluster):
        entry = cluster.running[cluster.entries[0]]
        entry.take_over([(build_packet(cookie=77), cluster.now - 0.7)], 3, cluster.now)
        assert not entry.cookie_router.held

    def test_new_flows_wait_for_the_configuration_that_the_thread_used(self, cluster):
        """An older one would be in force again at a process that used a newer one."""
        entry, sent = cluster.running[cluster.entries[0]], []
        entry.cookie_router.forward = lambda *details: sent.append(details[-1])
        entry.take_over([(build_packet(opens=True), cluster.now)], 4, cluster.now)
        cluster.run(0.3)
        assert sent == []
        cluster.commit(4, routes=(0,))
        cluster.run(0.7)
        assert len(sent) == 1


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
