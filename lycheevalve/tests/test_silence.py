"""Passive health checks: detection of unresponsive upstreams, and resets of their flows."""

import pytest

from lycheevalve.flows import cookie_routing, passive_health
from lycheevalve.flows.cookie_routing import FrontDoorRoute
from lycheevalve.tests.fakes.edge import (
    CALLER_WINDOW_BYTES,
    DOOR,
    DOORS,
    OTHER_DOOR,
    build_edge,
    build_packet,
    build_registration,
)


class Silence:
    """Two upstreams with six flows; the upstream of the first flow stops answering."""

    def __init__(self, door=DOOR):
        self.edge = build_edge(2)
        if door is not DOOR:
            self.edge.configure({door: FrontDoorRoute((("nightsync", 1),), idempotent=False)})
        self.door = door
        self.cookies = {}
        for number in range(6):
            flow = b"flow-%d" % number
            upstream, cookie, _ = self.edge.handle(build_packet(flow, door, opens=True))
            self.cookies[flow] = (cookie, upstream)
            self.send(flow, 0, 1, 0.01)
        self.silent = self.cookies[b"flow-0"][1]
        self.victims = [f for f, (_, u) in self.cookies.items() if u is self.silent]

    def send(self, flow, sequence, acknowledged, now, size=CALLER_WINDOW_BYTES):
        """Handle a packet of an open flow; return what was forwarded, or None."""
        values = {"sequence": sequence, "acknowledged": acknowledged, "size": size}
        cookie = self.cookies[flow][0]
        return self.edge.handle(build_packet(flow, self.door, cookie=cookie, **values), now)

    def repeat(self, *times):
        """Retransmit the first data of each flow on the unresponsive upstream."""
        for now in times:
            for flow in self.victims:
                self.send(flow, 0, 1, now)


class TestSilence:
    """An upstream crashes or is cut off while flows wait for its answers."""

    def test_repetitions_without_an_answer_mean_silence(self):
        site = Silence()
        site.repeat(0.5)
        assert passive_health.is_unresponsive(site.silent, 0.5)

    def test_silent_upstream_gets_no_new_flow(self):
        site = Silence()
        site.repeat(0.5)
        site.silent.probed_at = 0.5
        for number in range(10):
            packet = build_packet(b"new-%d" % number, opens=True)
            assert site.edge.handle(packet, 0.6)[0] is not site.silent

    def count_tries(self, site, **values):
        """Return how many of five new flows the unresponsive upstream gets at 2.0 s."""
        chosen = [
            site.edge.handle(build_packet(b"new-%d" % number, opens=True, **values), 2.0)[0]
            for number in range(5)
        ]
        return chosen.count(site.silent)

    def announce(self, site):
        """Apply a renewed announcement of the unresponsive upstream."""
        number = int(site.silent.registration.name[2:], 16)
        site.edge.learn(build_registration(number, sequence=2), now=1.0)

    def test_silent_upstream_that_announces_itself_is_tried_once_a_second(self):
        site = Silence()
        site.repeat(0.5)
        self.announce(site)
        assert self.count_tries(site) == 1

    def test_silent_upstream_that_announces_nothing_is_not_tried(self):
        site = Silence()
        site.repeat(0.5)
        assert self.count_tries(site) == 0

    def test_copies_of_first_packets_are_not_risked(self):
        site = Silence()
        site.repeat(0.5)
        self.announce(site)
        assert self.count_tries(site, copy=1) == 0

    def test_idempotent_flow_is_moved_by_a_reset(self):
        site = Silence()
        other = next(f for f in site.cookies if f not in site.victims)
        site.send(other, CALLER_WINDOW_BYTES, 500, 0.4)
        site.repeat(0.5, 0.9)
        assert len(site.edge.resets) >= len(site.victims)

    def test_flow_that_callers_may_not_repeat_is_left_alone(self):
        site = Silence(OTHER_DOOR)
        site.repeat(0.5, 0.9)
        assert passive_health.is_unresponsive(site.silent, 0.9)
        assert not site.edge.resets

    def answer_other(self, site, now):
        """Send a request to the other upstream that acknowledges its previous answer."""
        other = next(f for f in site.cookies if f not in site.victims)
        site.send(other, CALLER_WINDOW_BYTES, 500, now)

    def test_idle_flows_leave_a_silent_upstream_before_their_next_request(self):
        site, idle = self.build_idle_beside_silence()
        self.answer_other(site, 0.75)
        site.edge.cookie_router.tick(0.8)
        assert [packet.flow_key for packet in site.edge.resets] == [idle]

    def test_waiting_idempotent_flows_leave_at_once(self):
        site = Silence()
        for flow in site.victims:
            site.send(flow, 0, 1, 0.02, size=0)
        self.answer_other(site, 0.45)
        site.repeat(0.5)
        site.edge.cookie_router.tick(0.55)
        assert {packet.flow_key for packet in site.edge.resets} == set(site.victims)

    def build_idle_beside_silence(self):
        """Return a scenario with an unresponsive upstream, and the idle flow on it."""
        site = Silence(OTHER_DOOR)
        idle = site.victims[0]
        site.send(idle, 0, 300, 0.05, size=0)
        for now in (0.3, 0.7):
            for flow in site.victims[1:]:
                site.send(flow, 0, 1, now, size=0)
                site.send(flow, 0, 1, now)
        return site, idle

    def test_idle_flow_that_may_go_on_elsewhere_is_left_alone(self):
        """A flow that was opened elsewhere shows that the fabric has moved flows."""
        site, _ = self.build_idle_beside_silence()
        values = {"sequence": 500, "size": CALLER_WINDOW_BYTES}
        cookie = next(c for c, upstream in site.cookies.values() if upstream is not site.silent)
        site.edge.handle(build_packet(b"moved", OTHER_DOOR, cookie=cookie, **values), 0.72)
        self.answer_other(site, 0.75)
        site.edge.cookie_router.tick(0.8)
        assert not site.edge.resets

    def test_instance_out_of_rotation_resets_nothing(self):
        site, _ = self.build_idle_beside_silence()
        self.answer_other(site, 0.75)
        site.edge.cookie_router.tick(0.75 + cookie_routing.OUT_OF_ROTATION_SECONDS + 0.05)
        assert not site.edge.resets

    def test_flow_on_an_upstream_that_was_silent_long_ago_is_forwarded(self):
        """A partition has healed, and no flow here used the upstream since."""
        site = Silence(OTHER_DOOR)
        site.repeat(0.5, 0.9)
        doors = {DOOR: DOORS[DOOR], OTHER_DOOR: FrontDoorRoute((("nightsync", 1),))}
        site.edge.configure(doors, now=0.9)
        later = 0.9 + passive_health.MAX_RETRANSMIT_INTERVAL_SECONDS + 0.1
        other = next(flow for flow in site.cookies if flow not in site.victims)
        site.send(other, 0, 500, later, size=0)
        moved = build_packet(b"moved", cookie=site.silent.cookie, size=CALLER_WINDOW_BYTES)
        assert site.edge.handle(moved, later + 0.1) is not None
        assert not site.edge.resets

    def test_nothing_is_reset_when_all_seem_silent(self):
        site = Silence()
        site.victims = list(site.cookies)
        site.repeat(0.5, 0.9)
        assert not site.edge.resets

    def test_request_that_acknowledges_an_old_answer_is_no_new_answer(self):
        """Callers acknowledge every second packet, so the end of an answer may be late."""
        site = Silence(OTHER_DOOR)
        late = site.victims[0]
        site.repeat(0.5, 0.9)
        site.send(late, CALLER_WINDOW_BYTES, 300, 1.0)
        assert passive_health.is_unresponsive(site.silent, 1.0)

    def test_time_of_an_answer_counts_only_where_it_is_known(self):
        """An answer acknowledged only by the next request has no known time of arrival."""
        site = Silence(OTHER_DOOR)
        first, second = list(site.cookies)[:2]
        site.send(first, 0, 300, 0.06, size=0)
        site.send(second, CALLER_WINDOW_BYTES, 300, 9.0)
        answers = [d["seconds"] for name, d in site.edge.events if name == "answered"]
        assert answers == [pytest.approx(0.05)]

    def test_one_lost_packet_is_no_silence(self):
        site = Silence()
        site.send(site.victims[0], 0, 1, 0.5)
        assert not passive_health.is_unresponsive(site.silent, 0.5)

    def test_copies_that_waited_in_the_own_queue_are_no_evidence(self):
        site = Silence()
        for flow in site.victims:
            site.send(flow, CALLER_WINDOW_BYTES, 1, 0.7)
            site.send(flow, CALLER_WINDOW_BYTES, 1, 0.7)
        assert not passive_health.is_unresponsive(site.silent, 0.7)

    def test_any_answer_ends_the_silence(self):
        site = Silence(OTHER_DOOR)
        site.repeat(0.5)
        site.send(site.victims[-1], 0, 900, 0.6, size=0)
        assert not passive_health.is_unresponsive(site.silent, 0.6)

    def test_copies_of_a_first_packet_go_to_other_upstreams(self):
        edge = build_edge(3)
        chosen = [
            edge.handle(build_packet(opens=True, copy=copy), now)[0].index
            for copy, now in ((0, 0.0), (1, 0.2), (2, 0.6))
        ]
        assert len(set(chosen)) == 3

    def test_sequence_numbers_wrap(self):
        assert passive_health.is_after(5, 2**32 - 5)
        assert not passive_health.is_after(2**32 - 5, 5)
