"""Cookie routing: placement, reused addresses, held packets, restarts."""

import collections
import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheevalve.flows import held_packets
from lycheevalve.flows.cookies import build_cookie
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.tests.fakes.entry import (
    CALLER_WINDOW_BYTES,
    FRONT_DOOR,
    OTHER_FRONT_DOOR,
    ROUTES,
    FakeEntry,
    build_entry,
    build_packet,
    build_registration,
)


class TestPlacement:
    """The choice of upstreams for new and established flows."""

    def test_opening_packet_gets_the_cookie_of_its_upstream(self):
        entry = build_entry()
        upstream, cookie, _ = entry.handle(build_packet(opens=True))
        assert cookie == build_cookie(upstream.registration) != 0

    def test_any_instance_routes_a_cookie_to_the_same_upstream(self):
        first, second = build_entry(5), build_entry(5, seed=2)
        for number in range(20):
            flow = b"flow-%d" % number
            upstream, cookie, _ = first.handle(build_packet(flow, opens=True))
            again, same, _ = second.handle(build_packet(flow, cookie=cookie))
            assert (again.registration, same) == (upstream.registration, cookie)

    def test_flows_spread_evenly(self):
        entry = build_entry(4)
        for number in range(40):
            entry.handle(build_packet(b"flow-%d" % number, opens=True))
        chosen = collections.Counter(u.index for u, _, _ in entry.sent)
        assert set(chosen.values()) == {10}

    def test_weights_of_a_front_door_are_applied(self):
        entry = build_entry(1)
        entry.update_upstreams(build_registration(9, "restreport"))
        entry.configure({FRONT_DOOR: FrontDoorRoute((("nightsync", 9), ("restreport", 1)))})
        for number in range(500):
            entry.handle(build_packet(b"flow-%d" % number, opens=True))
        shares = collections.Counter(u.service for u, _, _ in entry.sent)
        assert 0.05 < shares["restreport"] / 500 < 0.15

    def test_service_with_weight_zero_gets_no_flow(self):
        entry = build_entry(1)
        entry.update_upstreams(build_registration(9, "restreport"))
        entry.configure({FRONT_DOOR: FrontDoorRoute((("nightsync", 0), ("restreport", 1)))})
        for number in range(50):
            upstream, _, _ = entry.handle(build_packet(b"flow-%d" % number, opens=True))
            assert upstream.service == "restreport"

    def test_flow_to_unknown_front_door_is_reset_at_once(self):
        entry = build_entry()
        packet = build_packet(front_door=(b"\x01\x02\x03\x04", 1), opens=True)
        assert entry.handle(packet) is None
        assert entry.resets == [packet]

    def test_draining_upstream_gets_no_new_flow_but_keeps_its_own(self):
        entry = build_entry(2)
        upstream, cookie, _ = entry.handle(build_packet(opens=True))
        entry.update_upstreams(build_draining(upstream.registration))
        for number in range(10):
            other, _, _ = entry.handle(build_packet(b"new-%d" % number, opens=True))
            assert other is not upstream
        assert entry.handle(build_packet(cookie=cookie))[0] is upstream

    def test_flow_without_usable_upstream_is_reset_at_once(self):
        entry = build_entry(0)
        entry.handle(build_packet(opens=True))
        assert len(entry.resets) == 1

    def test_flows_of_removed_front_door_are_reset(self):
        entry = build_entry(1)
        _, cookie, _ = entry.handle(build_packet(opens=True))
        entry.configure({OTHER_FRONT_DOOR: ROUTES[OTHER_FRONT_DOOR]})
        assert entry.handle(build_packet(cookie=cookie)) is None
        assert len(entry.resets) == 1


def build_draining(registration):
    """Return the next registration of an upstream, with `draining` set."""
    values = {"draining": True, "sequence": registration.sequence + 1}
    return build_registration(int(registration.name[2:], 16), **values)


class TestReusedAddress:
    """Upstreams that are replaced at their address, or deregister."""

    def test_flow_of_a_replaced_upstream_is_reset(self):
        entry = build_entry(1)
        _, cookie, _ = entry.handle(build_packet(opens=True))
        entry.update_upstreams(
            build_registration(1, "restreport", incarnation=5000, name="i-99")
        )
        assert entry.handle(build_packet(cookie=cookie)) is None
        assert len(entry.resets) == 1

    def test_flow_of_deregistered_upstream_is_forwarded_until_it_exits(self):
        """An upstream serves until its deregistration is acknowledged, then exits."""
        entry = build_entry(1)
        _, cookie, _ = entry.handle(build_packet(opens=True))
        entry.update_upstreams(build_registration(1, leaving=True, sequence=2), now=5.0)
        assert entry.handle(build_packet(cookie=cookie), 5.3) is not None
        assert entry.handle(build_packet(cookie=cookie), 6.5) is None
        assert len(entry.resets) == 1

    def test_late_registration_of_the_old_incarnation_changes_nothing(self):
        entry = build_entry(0)
        entry.update_upstreams(build_registration(1, "restreport", incarnation=5000))
        entry.update_upstreams(build_registration(1, "nightsync", sequence=77))
        assert entry.handle(build_packet(opens=True)) is None
        assert entry.handle(build_packet(b"f", OTHER_FRONT_DOOR, opens=True)) is not None

    def test_shared_cookie_resolves_to_neither_upstream(self, monkeypatch):
        monkeypatch.setattr("lycheevalve.flows.cookies.build_cookie", lambda registration: 7)
        entry = build_entry(2)
        assert entry.handle(build_packet(cookie=7)) is None
        assert entry.handle(build_packet(b"new", opens=True)) is None


class TestHeldPackets:
    """Packets held until settings or upstreams arrive."""

    def test_packet_is_held_until_its_upstream_registers(self):
        entry = build_entry(0)
        registration = build_registration(1)
        packet = build_packet(cookie=build_cookie(registration))
        assert entry.handle(packet) is None
        entry.update_upstreams(registration, now=0.3)
        entry.cookie_router.retry_held(0.3)
        assert [sent for _, _, sent in entry.sent] == [packet]

    def test_held_packet_is_dropped_after_the_limit_and_not_forwarded(self):
        entry = build_entry(2)
        entry.handle(build_packet(cookie=12345))
        entry.cookie_router.tick(held_packets.MAX_HOLD_SECONDS + 0.1)
        assert not entry.sent and not entry.resets and not entry.cookie_router.held
        assert entry.counters["dropped"] == 1

    def test_starting_instance_holds_opening_packets_until_settings_arrive(self):
        entry = FakeEntry()
        entry.update_upstreams(build_registration(1))
        assert entry.handle(build_packet(opens=True)) is None
        assert not entry.resets
        entry.configure(now=1.0)
        assert len(entry.sent) == 1

    def test_starting_instance_forwards_open_flows_before_settings_arrive(self):
        """After a power loss upstreams are restored from disk before a leader is elected."""
        entry = FakeEntry()
        registration = build_registration(1)
        entry.update_upstreams(registration)
        packet = build_packet(cookie=build_cookie(registration), size=CALLER_WINDOW_BYTES)
        assert entry.handle(packet)[2] is packet

    def test_unsynced_instance_resets_nothing(self):
        entry = build_entry(0, synced=False)
        entry.handle(build_packet(opens=True))
        assert not entry.resets

    def test_copies_of_a_held_opening_packet_are_placed_once(self):
        entry = FakeEntry()
        entry.update_upstreams(build_registration(1), build_registration(2))
        for copy, now in ((0, 0.0), (1, 0.2), (2, 0.6)):
            entry.handle(build_packet(opens=True, copy=copy), now)
        entry.configure(now=0.7)
        assert len(entry.sent) == 1

    def test_number_of_held_packets_is_bounded(self):
        entry = build_entry(0)
        for number in range(held_packets.MAX_HELD_PACKETS + 10):
            entry.handle(build_packet(b"%d" % number, cookie=5))
        assert len(entry.cookie_router.held) == held_packets.MAX_HELD_PACKETS
        assert entry.counters["dropped"] == 10

    def test_resumed_instance_places_no_flow_until_settings_are_confirmed(self):
        entry = build_entry(1)
        entry.cookie_router.settings_unconfirmed = True
        assert entry.handle(build_packet(opens=True)) is None
        entry.cookie_router.settings_unconfirmed = False
        entry.cookie_router.retry_held(0.1)
        assert len(entry.sent) == 1


class CookieRoutingMachine(RuleBasedStateMachine):
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
        self.entries = [FakeEntry(seed=number) for number in range(3)]
        self.running = {}
        self.flows = {}
        self.number = 0
        for entry in self.entries:
            entry.configure()

    def publish(self, registration):
        for entry in self.entries:
            entry.update_upstreams(registration, now=self.now)

    @rule(
        address_number=st.integers(1, 6),
        service=st.sampled_from(["nightsync", "restreport"]),
        keeps_name=st.booleans(),
    )
    def start_upstream(self, address_number, service, keeps_name):
        """Start an upstream, possibly at an address that another one had."""
        self.number += 1
        name = f"i-{address_number:08x}" if keeps_name else f"i-{self.number + 100:08x}"
        registration = build_registration(
            address_number,
            service,
            incarnation=10_000 + self.number,
            name=name,
            lifetime_ms=10**8,
        )
        self.running[address_number] = registration
        self.publish(registration)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def drain(self, data):
        address_number = data.draw(st.sampled_from(sorted(self.running)))
        registration = self.running[address_number]
        registration.sequence += 1
        registration.draining = True
        self.publish(registration)

    @rule(number=st.integers(0, 2))
    def restart_instance(self, number):
        """Replace an instance by an empty one, and resend registrations and settings."""
        entry = FakeEntry(seed=number + 10)
        for registration in self.running.values():
            entry.update_upstreams(registration, now=self.now)
        entry.configure()
        self.entries[number] = entry

    @rule(number=st.integers(0, 2), front_door=st.sampled_from([FRONT_DOOR, OTHER_FRONT_DOOR]))
    def open_flow(self, number, front_door):
        self.number += 1
        flow = b"flow-%d" % self.number
        sent = self.entries[number].handle(build_packet(flow, front_door, opens=True), self.now)
        if sent is None:
            return
        upstream, cookie, _ = sent
        assert upstream.service == ROUTES[front_door].backends[0][0]
        assert self.is_running(upstream) and not upstream.registration.draining
        self.flows[flow] = (front_door, cookie, upstream.registration)

    @precondition(lambda self: self.flows)
    @rule(data=st.data(), number=st.integers(0, 2), sequence=st.integers(0, 3))
    def send_packet(self, data, number, sequence):
        flow = data.draw(st.sampled_from(sorted(self.flows)))
        front_door, cookie, registration = self.flows[flow]
        values = {"sequence": sequence * 100, "size": 100}
        packet = build_packet(flow, front_door, cookie=cookie, **values)
        sent = self.entries[number].handle(packet, self.now)
        if sent is not None:
            assert identify(sent[0].registration) == identify(registration)
            assert self.is_running(sent[0])

    def is_running(self, upstream):
        running = self.running.values()
        return identify(upstream.registration) in [identify(r) for r in running]

    @rule(seconds=st.floats(0.01, 2.0))
    def pass_time(self, seconds):
        self.now += seconds
        for entry in self.entries:
            entry.cookie_router.tick(self.now)

    @invariant()
    def counts_match(self):
        for entry in self.entries:
            counted = sum(u.flows for u in entry.cookie_router.upstreams.by_index.values())
            assert counted == len(entry.cookie_router.flows)


def identify(registration):
    """Return the key that distinguishes incarnations of upstreams."""
    return registration.name, registration.incarnation, registration.address


TestCookieRouting = CookieRoutingMachine.TestCase


class TestSlowStart:
    """Release of a service: empty upstreams that are still slow join the others."""

    def place_flows(self, entry, now, count=40):
        """Open flows; return how many the upstream 2 got."""
        cookies = [
            entry.handle(build_packet(flow_key=b"%d-%f" % (n, now), opens=True), now)[0]
            for n in range(count)
        ]
        return sum(u.registration.address == "10.128.0.2:8080" for u in cookies)

    def test_a_cold_upstream_gets_flows_in_proportion_to_its_progress(self):
        """Without that the empty upstream gets all new flows until it has as many."""
        entry = build_entry(1)
        assert self.place_flows(entry, 0.0) == 0
        registration = build_registration(2, warm_up_ms=4000, known_ms=0)
        entry.update_upstreams(registration, now=1.0)
        assert self.place_flows(entry, 1.0) <= 8
        assert self.place_flows(entry, 3.0) < 40

    def test_a_warm_upstream_is_filled_up(self):
        entry = build_entry(1)
        self.place_flows(entry, 0.0)
        entry.update_upstreams(build_registration(2, warm_up_ms=1000), now=1.0)
        assert self.place_flows(entry, 2.1) >= 38

    def test_a_cold_upstream_serves_if_there_is_no_other(self):
        entry = build_entry(0)
        entry.update_upstreams(build_registration(2, warm_up_ms=4000))
        assert self.place_flows(entry, 0.0) == 40
