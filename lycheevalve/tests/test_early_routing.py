"""Packets that arrive while an instance starts: the decisions, and the take-over."""

import collections
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheevalve.flows import early_routing, held_packets
from lycheevalve.flows.early_routing import EarlyRouter
from lycheevalve.schema import lookups
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    ROUTES,
    build_packet,
    build_registration,
)
from lycheevalve.tests.fakes.targets import build_target


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
        for sequence in range(held_packets.MAX_HELD_PACKETS + 10):
            instance.handle(cookie=1, sequence=sequence)
        assert len(instance.router.held) == held_packets.MAX_HELD_PACKETS
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
