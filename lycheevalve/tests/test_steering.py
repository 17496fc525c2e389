"""Cookie routing: placement, reused addresses, held packets, restarts."""

import collections
import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheevalve.flows import cookie_routing
from lycheevalve.flows.cookie_routing import FrontDoorRoute
from lycheevalve.flows.cookies import build_cookie
from lycheevalve.tests.fakes.edge import (
    CALLER_WINDOW_BYTES,
    DOOR,
    DOORS,
    OTHER_DOOR,
    Edge,
    build_edge,
    build_packet,
    build_registration,
)


class TestPlacement:
    """The choice of upstreams for new and established flows."""

    def test_first_packet_gets_the_cookie_of_its_upstream(self):
        edge = build_edge()
        upstream, cookie, _ = edge.handle(build_packet(opens=True))
        assert cookie == build_cookie(upstream.registration) != 0

    def test_next_packet_follows_its_cookie_at_any_instance(self):
        first, second = build_edge(5), build_edge(5, seed=2)
        for number in range(20):
            flow = b"flow-%d" % number
            upstream, cookie, _ = first.handle(build_packet(flow, opens=True))
            again, same, _ = second.handle(build_packet(flow, cookie=cookie))
            assert (again.registration, same) == (upstream.registration, cookie)

    def test_flows_spread_evenly(self):
        edge = build_edge(4)
        for number in range(40):
            edge.handle(build_packet(b"flow-%d" % number, opens=True))
        chosen = collections.Counter(u.index for u, _, _ in edge.sent)
        assert set(chosen.values()) == {10}

    def test_weights_of_a_front_door_are_followed(self):
        edge = build_edge(1)
        edge.learn(build_registration(9, "restreport"))
        edge.configure({DOOR: FrontDoorRoute((("nightsync", 9), ("restreport", 1)))})
        for number in range(500):
            edge.handle(build_packet(b"flow-%d" % number, opens=True))
        shares = collections.Counter(u.service for u, _, _ in edge.sent)
        assert 0.05 < shares["restreport"] / 500 < 0.15

    def test_service_with_weight_zero_gets_nothing(self):
        edge = build_edge(1)
        edge.learn(build_registration(9, "restreport"))
        edge.configure({DOOR: FrontDoorRoute((("nightsync", 0), ("restreport", 1)))})
        for number in range(50):
            upstream, _, _ = edge.handle(build_packet(b"flow-%d" % number, opens=True))
            assert upstream.service == "restreport"

    def test_unknown_front_door_is_refused_at_once(self):
        edge = build_edge()
        packet = build_packet(front_door=(b"\x01\x02\x03\x04", 1), opens=True)
        assert edge.handle(packet) is None
        assert edge.resets == [packet]

    def test_draining_upstream_gets_no_new_flow_but_keeps_its_own(self):
        edge = build_edge(2)
        upstream, cookie, _ = edge.handle(build_packet(opens=True))
        edge.learn(draining(upstream.registration))
        for number in range(10):
            other, _, _ = edge.handle(build_packet(b"new-%d" % number, opens=True))
            assert other is not upstream
        assert edge.handle(build_packet(cookie=cookie))[0] is upstream

    def test_no_usable_upstream_is_refused_at_once(self):
        edge = build_edge(0)
        edge.handle(build_packet(opens=True))
        assert len(edge.resets) == 1

    def test_removed_front_door_ends_its_flows(self):
        edge = build_edge(1)
        _, cookie, _ = edge.handle(build_packet(opens=True))
        edge.configure({OTHER_DOOR: DOORS[OTHER_DOOR]})
        assert edge.handle(build_packet(cookie=cookie)) is None
        assert len(edge.resets) == 1


def draining(registration):
    """Return the next registration of an upstream, with `draining` set."""
    values = {"draining": True, "sequence": registration.sequence + 1}
    return build_registration(int(registration.name[2:], 16), **values)


class TestReusedAddress:
    """An upstream starts at the address of a former one."""

    def test_flow_of_a_replaced_upstream_is_reset(self):
        edge = build_edge(1)
        _, cookie, _ = edge.handle(build_packet(opens=True))
        edge.learn(build_registration(1, "restreport", incarnation=5000, name="i-99"))
        assert edge.handle(build_packet(cookie=cookie)) is None
        assert len(edge.resets) == 1

    def test_flow_of_an_upstream_that_says_farewell_is_forwarded_until_it_ends(self):
        """It serves until its deregistration is acknowledged and it exits."""
        edge = build_edge(1)
        _, cookie, _ = edge.handle(build_packet(opens=True))
        edge.learn(build_registration(1, leaving=True, sequence=2), now=5.0)
        assert edge.handle(build_packet(cookie=cookie), 5.3) is not None
        assert edge.handle(build_packet(cookie=cookie), 6.5) is None
        assert len(edge.resets) == 1

    def test_late_registration_of_the_old_incarnation_changes_nothing(self):
        edge = build_edge(0)
        edge.learn(build_registration(1, "restreport", incarnation=5000))
        edge.learn(build_registration(1, "nightsync", sequence=77))
        assert edge.handle(build_packet(opens=True)) is None
        assert edge.handle(build_packet(b"f", OTHER_DOOR, opens=True)) is not None

    def test_shared_cookie_names_neither(self, monkeypatch):
        monkeypatch.setattr("lycheevalve.flows.cookies.build_cookie", lambda registration: 7)
        edge = build_edge(2)
        assert edge.handle(build_packet(cookie=7)) is None
        assert edge.handle(build_packet(b"new", opens=True)) is None


class TestHeld:
    """Packets held until settings or upstreams arrive."""

    def test_packet_waits_for_its_upstream(self):
        edge = build_edge(0)
        registration = build_registration(1)
        packet = build_packet(cookie=build_cookie(registration))
        assert edge.handle(packet) is None
        edge.learn(registration, now=0.3)
        edge.cookie_router.retry_held(0.3)
        assert [sent for _, _, sent in edge.sent] == [packet]

    def test_packet_is_dropped_after_a_while_and_never_guessed(self):
        edge = build_edge(2)
        edge.handle(build_packet(cookie=12345))
        edge.cookie_router.tick(cookie_routing.MAX_HOLD_SECONDS + 0.1)
        assert not edge.sent and not edge.resets and not edge.cookie_router.held
        assert edge.counters["dropped"] == 1

    def test_starting_instance_holds_first_packets_until_settings_come(self):
        edge = Edge()
        edge.learn(build_registration(1))
        assert edge.handle(build_packet(opens=True)) is None
        assert not edge.resets
        edge.configure(now=1.0)
        assert len(edge.sent) == 1

    def test_starting_instance_forwards_open_flows_before_settings_come(self):
        """After a power loss upstreams are restored from disk before a leader is elected."""
        edge = Edge()
        registration = build_registration(1)
        edge.learn(registration)
        packet = build_packet(cookie=build_cookie(registration), size=CALLER_WINDOW_BYTES)
        assert edge.handle(packet)[2] is packet

    def test_instance_that_is_not_informed_refuses_nobody(self):
        edge = build_edge(0, synced=False)
        edge.handle(build_packet(opens=True))
        assert not edge.resets

    def test_copies_of_a_held_first_packet_are_placed_once(self):
        edge = Edge()
        edge.learn(build_registration(1), build_registration(2))
        for copy, now in ((0, 0.0), (1, 0.2), (2, 0.6)):
            edge.handle(build_packet(opens=True, copy=copy), now)
        edge.configure(now=0.7)
        assert len(edge.sent) == 1

    def test_number_of_held_packets_is_bounded(self):
        edge = build_edge(0)
        for number in range(cookie_routing.MAX_HELD_PACKETS + 10):
            edge.handle(build_packet(b"%d" % number, cookie=5))
        assert len(edge.cookie_router.held) == cookie_routing.MAX_HELD_PACKETS
        assert edge.counters["dropped"] == 10

    def test_thawed_instance_places_nothing_before_it_has_asked(self):
        edge = build_edge(1)
        edge.cookie_router.settings_unconfirmed = True
        assert edge.handle(build_packet(opens=True)) is None
        edge.cookie_router.settings_unconfirmed = False
        edge.cookie_router.retry_held(0.1)
        assert len(edge.sent) == 1


class SteeredFlows(RuleBasedStateMachine):
    """
    Entry instances without shared state; upstreams start, drain, stop and reuse
    addresses; instances restart.

    Oracle: a flow's packets reach its own upstream or none, no packet reaches an
    upstream of another service, and draining or stopped upstreams get no new flow.
    """

    def __init__(self):
        super().__init__()
        self.random = random.Random(0)
        self.now = 0.0
        self.edges = [Edge(seed=number) for number in range(3)]
        self.running = {}
        self.flows = {}
        self.number = 0
        for edge in self.edges:
            edge.configure()

    def tell(self, registration):
        for edge in self.edges:
            edge.learn(registration, now=self.now)

    @rule(
        place=st.integers(1, 6),
        service=st.sampled_from(["nightsync", "restreport"]),
        keeps_name=st.booleans(),
    )
    def start_upstream(self, place, service, keeps_name):
        """Start an upstream, possibly at an address that another one had."""
        self.number += 1
        name = f"i-{place:08x}" if keeps_name else f"i-{self.number + 100:08x}"
        registration = build_registration(
            place, service, incarnation=10_000 + self.number, name=name, lifetime_ms=10**8
        )
        self.running[place] = registration
        self.tell(registration)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def drain(self, data):
        place = data.draw(st.sampled_from(sorted(self.running)))
        registration = self.running[place]
        registration.sequence += 1
        registration.draining = True
        self.tell(registration)

    @rule(number=st.integers(0, 2))
    def restart_instance(self, number):
        """Replace an instance by an empty one, and resend registrations and settings."""
        edge = Edge(seed=number + 10)
        for registration in self.running.values():
            edge.learn(registration, now=self.now)
        edge.configure()
        self.edges[number] = edge

    @rule(number=st.integers(0, 2), door=st.sampled_from([DOOR, OTHER_DOOR]))
    def open_flow(self, number, door):
        self.number += 1
        flow = b"flow-%d" % self.number
        sent = self.edges[number].handle(build_packet(flow, door, opens=True), self.now)
        if sent is None:
            return
        upstream, cookie, _ = sent
        assert upstream.service == DOORS[door].backends[0][0]
        assert self.is_running(upstream) and not upstream.registration.draining
        self.flows[flow] = (door, cookie, upstream.registration)

    @precondition(lambda self: self.flows)
    @rule(data=st.data(), number=st.integers(0, 2), sequence=st.integers(0, 3))
    def send_packet(self, data, number, sequence):
        flow = data.draw(st.sampled_from(sorted(self.flows)))
        door, cookie, registration = self.flows[flow]
        values = {"sequence": sequence * 100, "size": 100}
        packet = build_packet(flow, door, cookie=cookie, **values)
        sent = self.edges[number].handle(packet, self.now)
        if sent is not None:
            assert identify(sent[0].registration) == identify(registration)
            assert self.is_running(sent[0])

    def is_running(self, upstream):
        running = self.running.values()
        return identify(upstream.registration) in [identify(r) for r in running]

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds):
        self.now += seconds
        for edge in self.edges:
            edge.cookie_router.tick(self.now)

    @invariant()
    def counts_match(self):
        for edge in self.edges:
            counted = sum(u.flows for u in edge.cookie_router.upstreams.by_index.values())
            assert counted == len(edge.cookie_router.flows)


def identify(registration):
    """Return the key that distinguishes incarnations of upstreams."""
    return registration.name, registration.incarnation, registration.address


TestSteeredFlows = SteeredFlows.TestCase
