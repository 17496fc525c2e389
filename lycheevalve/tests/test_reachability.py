"""A data centre that is cut off while callers hold flows across the cut."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheevalve.flows.failure_evidence import Silence, record_silence
from lycheevalve.flows.reachability import (
    CUT_PROBE_INTERVAL_SECONDS,
    MIN_WITNESSES,
    ROUND_PAUSE_SECONDS,
    VERDICT_SECONDS,
    Reachability,
)
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    OTHER_FRONT_DOOR,
    ROUTES,
    FakeEntry,
    build_packet,
    build_registration,
)

TICK_SECONDS = 0.05
ROUND_TRIP_SECONDS = 0.004
OWN = "dc1"
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")


class Region:
    """
    Data centres with control replicas and upstreams, as one instance of dc1 sees them.

    `is_lost(data centre)` states whether packets to it are lost.
    """

    def __init__(self, replicas_each=2, upstreams_each=3):
        self.now = 0.0
        self.entry = FakeEntry()
        self.router = self.entry.cookie_router
        self.router.data_centre = self.router.choice.data_centre = OWN
        self.replicas = {
            f"10.{number}.0.{replica}:1": name
            for number, name in enumerate(DATA_CENTRES, start=1)
            for replica in range(1, replicas_each + 1)
        }
        registrations = [
            build_registration(
                number * upstreams_each + upstream,
                data_centre=name,
                lifetime_ms=600_000,
            )
            for number, name in enumerate(DATA_CENTRES)
            for upstream in range(upstreams_each)
        ]
        self.entry.update_upstreams(*registrations)
        self.entry.configure(
            ROUTES | {OTHER_FRONT_DOOR: attrs.evolve(ROUTES[FRONT_DOOR], idempotent=False)}
        )
        self.upstreams = {name: [] for name in DATA_CENTRES}
        for upstream in self.router.upstreams.by_index.values():
            self.upstreams[upstream.registration.data_centre].append(upstream)
        self.cut, self.dead, self.dark = set(), set(), set()
        self.found, self.probes = [], []
        self.reachability = self.router.lost.reachability = Reachability(
            OWN,
            lambda: dict(self.replicas),
            lambda: self.router.upstreams.by_index.values(),
            self.probes.append,
        )
        self.introduce()

    def is_lost(self, name):
        """Return whether packets between this instance and a data centre are lost."""
        return name in self.cut

    def introduce(self):
        """Let all replicas answer once, as after the start."""
        self.reachability.introduce()
        self.deliver()
        self.now += 1.0

    def deliver(self):
        """Deliver the probes; reachable replicas answer."""
        probes, self.probes[:] = list(self.probes), []
        for address in probes:
            name = self.replicas.get(address)
            if name and not self.is_lost(name) and address not in self.dead:
                self.reachability.handle_answer(address, self.now + ROUND_TRIP_SECONDS)

    def answer_probes(self, name):
        """Let the replicas of one data centre answer."""
        for address, data_centre in self.replicas.items():
            if data_centre == name:
                self.reachability.handle_answer(address, self.now + ROUND_TRIP_SECONDS)

    def tick(self, seconds=TICK_SECONDS):
        """Pass the time of one tick; what was sent before is answered by then."""
        self.deliver()
        self.now += seconds
        self.found += self.reachability.tick(self.now)

    def run(self, seconds):
        """Tick for some seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()

    def repeat(self, upstream, key=b"flow"):
        """Let a caller repeat a request that the upstream has not answered."""
        silence = upstream.silences.get(key)
        sent_at = silence.sent_at if silence else self.now - 0.2
        record_silence(upstream, key, sent_at, self.now, False)
        self.reachability.handle_silence(upstream, self.now)

    def answer(self, upstream):
        """Let an upstream answer."""
        upstream.silences.clear()
        upstream.answered_at = self.now


class TestCutDataCentre:
    """A data centre that neither replicas nor upstreams answer from."""

    def test_found_soon_after_the_first_copy(self):
        region = Region()
        region.run(0.3)
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(VERDICT_SECONDS + TICK_SECONDS)
        assert region.found == ["dc2"]

    def test_one_replica_needs_two_silent_upstreams(self):
        region = Region(replicas_each=1)
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(0.3)
        assert region.found == []
        region = Region(replicas_each=1)
        region.cut = {"dc2"}
        for upstream in region.upstreams["dc2"][:2]:
            region.repeat(upstream)
        region.run(0.3)
        assert region.found == ["dc2"]

    @pytest.mark.parametrize("replicas_each", [1, 2])
    def test_own_data_centre_is_the_one_cut_off(self, replicas_each):
        region = Region(replicas_each)
        region.cut = {"dc2", "dc3", "dc4"}
        region.repeat(region.upstreams["dc3"][0])
        region.run(VERDICT_SECONDS + TICK_SECONDS)
        assert sorted(region.found) == ["dc2", "dc3", "dc4"]
        assert region.reachability.is_isolated()

    def test_ends_when_a_replica_answers_again(self):
        region = Region()
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(0.3)
        assert region.reachability.is_cut(region.upstreams["dc2"][1])
        region.cut = set()
        region.run(2 * CUT_PROBE_INTERVAL_SECONDS)
        assert not region.reachability.is_cut(region.upstreams["dc2"][1])
        assert not region.reachability.is_active

    def test_ends_when_an_upstream_answers_again(self):
        region = Region()
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(0.3)
        region.answer(region.upstreams["dc2"][2])
        region.tick()
        assert not region.reachability.cut_since

    def test_ends_when_its_replicas_are_listed_no_more(self):
        region = Region()
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(0.3)
        region.replicas = {a: name for a, name in region.replicas.items() if name != "dc2"}
        region.run(2 * CUT_PROBE_INTERVAL_SECONDS)
        assert not region.reachability.cut_since


class TestOtherFailures:
    """Failures that are no cut of a data centre."""

    def test_nothing_is_sent_without_silence(self):
        region = Region()
        region.run(5.0)
        assert region.probes == []

    def test_dark_upstreams_while_replicas_answer(self):
        region = Region()
        for upstream in region.upstreams["dc2"]:
            region.repeat(upstream)
        region.run(0.5)
        assert region.found == []

    def test_lost_packet_while_the_replicas_are_dead(self):
        region = Region()
        region.dead = {a for a, name in region.replicas.items() if name == "dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.tick()
        region.answer(region.upstreams["dc2"][0])
        region.run(0.5)
        assert region.found == []

    def test_all_replicas_are_dead(self):
        region = Region()
        region.dead = set(region.replicas)
        for upstream in region.upstreams["dc2"]:
            region.repeat(upstream)
        region.run(0.5)
        assert region.found == []

    def test_packets_pass_one_way_only(self):
        # Probes arrive and their answers don't; requests arrive, and upstreams answer callers.
        region = Region()
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.tick()
        region.answer(region.upstreams["dc2"][1])
        region.run(0.3)
        assert region.found == []

    def test_replicas_that_have_not_started(self):
        region = Region()
        for replica in region.reachability.replicas.values():
            if replica.data_centre == "dc2":
                replica.answered_at = float("-inf")
        region.cut = {"dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.run(0.3)
        assert region.found == []

    def test_own_process_was_not_running(self):
        region = Region()
        region.run(0.2)
        region.repeat(region.upstreams["dc2"][0])
        region.answer_probes("dc1")
        # The other answers arrive while the process does not run.
        region.now += 0.5
        region.found += region.reachability.tick(region.now)
        region.run(0.5)
        assert region.found == []

    def test_distant_replicas_are_dead_and_one_data_centre_answers_callers(self):
        region = Region()
        distant = ("dc2", "dc3", "dc4")
        region.dead = {a for a, name in region.replicas.items() if name in distant}
        region.repeat(region.upstreams["dc3"][0])
        region.answer(region.upstreams["dc3"][0])
        region.run(0.1)
        region.answer(region.upstreams["dc2"][0])
        region.run(0.3)
        assert region.found == []

    def test_all_distant_replicas_are_dead_while_no_request_is_lost(self):
        region = Region()
        region.dead = {a for a, name in region.replicas.items() if name != OWN}
        region.repeat(region.upstreams["dc3"][0])
        region.upstreams["dc3"][0].silences.clear()
        region.run(0.5)
        assert region.found == []

    def test_silence_of_long_ago(self):
        region = Region()
        region.upstreams["dc2"][1].silences[b"old"] = Silence(-9.0, -8.0)
        region.dead = {a for a, name in region.replicas.items() if name == "dc2"}
        region.repeat(region.upstreams["dc2"][0])
        region.upstreams["dc2"][0].silences.clear()
        region.run(0.5)
        assert region.found == []

    def test_rounds_are_limited(self):
        region = Region()
        sent = 0
        for _ in range(20):
            region.repeat(region.upstreams["dc2"][0])
            sent += len(region.probes)
            region.tick()
        rounds = 20 * TICK_SECONDS / (VERDICT_SECONDS + ROUND_PAUSE_SECONDS) + 1
        assert sent <= rounds * len(region.replicas)


class TestFlowsAcrossTheCut:
    """What is done with flows on a data centre that is cut off."""

    def open_flow(self, region, key, front_door, name):
        """Return the upstream of an idle flow on a data centre."""
        upstream = region.upstreams[name][0]
        for values in ({"acknowledged": 1}, {"size": 50}):
            packet = build_packet(key, front_door, cookie=upstream.cookie, **values)
            region.router.handle_packet(packet, region.now)
        answered = build_packet(
            key, front_door, cookie=upstream.cookie, sequence=50, acknowledged=90
        )
        region.now += 0.02
        region.router.handle_packet(answered, region.now)
        region.now += 0.1
        return upstream

    def request(self, region, key, front_door, upstream):
        """Send a request on an open flow; return whether it was forwarded."""
        packet = build_packet(
            key, front_door, cookie=upstream.cookie, sequence=50, acknowledged=90, size=50
        )
        return region.entry.handle(packet, region.now) is not None

    def cut(self, region, name="dc2"):
        """Cut off a data centre, and let the instance find it while others answer."""
        region.cut = {name}
        region.repeat(region.upstreams[name][1])
        for _ in range(6):
            region.deliver()
            region.now += TICK_SECONDS
            region.answer(region.upstreams["dc3"][0])
            region.upstreams["dc3"][0].unanswered = 0
            region.router.tick(region.now)

    @pytest.mark.parametrize("front_door", [FRONT_DOOR, OTHER_FRONT_DOOR])
    def test_idle_flows_are_reset_before_their_next_request(self, front_door):
        region = Region()
        self.open_flow(region, b"a", front_door, "dc2")
        self.cut(region)
        assert [packet.flow_key for packet in region.entry.resets] == [b"a"]

    def test_flows_on_other_data_centres_stay(self):
        region = Region()
        self.open_flow(region, b"a", FRONT_DOOR, "dc1")
        self.open_flow(region, b"b", FRONT_DOOR, "dc3")
        self.cut(region)
        assert region.entry.resets == []

    def test_lost_idempotent_request_is_reset_at_once(self):
        region = Region()
        upstream = self.open_flow(region, b"a", FRONT_DOOR, "dc2")
        region.cut, requested_at = {"dc2"}, region.now
        self.request(region, b"a", FRONT_DOOR, upstream)
        self.cut(region)
        assert [packet.flow_key for packet in region.entry.resets] == [b"a"]
        # The caller gives up after 1.0 s.
        assert region.now - requested_at < 0.5

    def test_request_that_is_not_idempotent_is_left(self):
        region = Region()
        upstream = self.open_flow(region, b"a", OTHER_FRONT_DOOR, "dc2")
        region.cut = {"dc2"}
        self.request(region, b"a", OTHER_FRONT_DOOR, upstream)
        self.cut(region)
        assert region.entry.resets == []
        assert self.request(region, b"a", OTHER_FRONT_DOOR, upstream)

    def test_later_request_of_an_unknown_flow_is_reset(self):
        region = Region()
        self.cut(region)
        upstream = region.upstreams["dc2"][0]
        assert not self.request(region, b"new", FRONT_DOOR, upstream)
        assert [packet.flow_key for packet in region.entry.resets] == [b"new"]

    def test_new_flows_go_elsewhere(self):
        region = Region()
        self.cut(region)
        for number in range(12):
            packet = build_packet(b"new-%d" % number, opens=True)
            upstream, _, _ = region.entry.handle(packet, region.now)
            assert upstream.registration.data_centre != "dc2"

    def test_without_an_alternative_flows_stay(self):
        region = Region()
        self.open_flow(region, b"a", FRONT_DOOR, "dc2")
        for name, upstreams in region.upstreams.items():
            for upstream in upstreams if name != "dc2" else ():
                upstream.drained = True
        self.cut(region)
        assert region.entry.resets == []

    def test_pause_ends_the_conclusion(self):
        region = Region()
        self.cut(region)
        region.router.handle_resume()
        assert not region.reachability.cut_since


class CutMachine(RuleBasedStateMachine):
    """
    Random cuts, dead replicas, dark upstreams and lost packets, against an oracle.

    A data centre may be concluded to be cut off only if during the whole round of probes
    none of its replicas could answer and one of its upstreams was silent, or all other data
    centres were silent as well.
    """

    def __init__(self):
        super().__init__()
        self.region = Region()
        # When each data centre last had a replica that could answer.
        self.reachable_at = dict.fromkeys(DATA_CENTRES, 0.0)

    @rule(name=st.sampled_from(DATA_CENTRES[1:]))
    def cut(self, name):
        self.region.cut ^= {name}

    @rule(data=st.data())
    def kill_or_start_replica(self, data):
        self.region.dead ^= {data.draw(st.sampled_from(sorted(self.region.replicas)))}

    @rule(
        name=st.sampled_from(DATA_CENTRES[1:]),
        number=st.integers(0, 2),
    )
    def repeat_request(self, name, number):
        self.region.repeat(self.region.upstreams[name][number])

    @rule(name=st.sampled_from(DATA_CENTRES), number=st.integers(0, 2))
    def answer_request(self, name, number):
        if name not in self.region.cut:
            self.region.answer(self.region.upstreams[name][number])

    @rule(ticks=st.integers(1, 6))
    def wait(self, ticks):
        for _ in range(ticks):
            self.note_reachable()
            before = len(self.region.found)
            self.region.tick()
            for name in self.region.found[before:]:
                unreachable = self.region.now - self.reachable_at[name]
                assert unreachable >= VERDICT_SECONDS - TICK_SECONDS, name
                assert any(u.silences for us in self.region.upstreams.values() for u in us)

    def note_reachable(self):
        for address, name in self.region.replicas.items():
            if name not in self.region.cut and address not in self.region.dead:
                self.reachable_at[name] = self.region.now

    @invariant()
    def own_data_centre_is_never_cut(self):
        assert OWN not in self.region.reachability.cut_since


TestCutMachine = CutMachine.TestCase
TestCutMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


class TestWitnesses:
    """The number of witnesses."""

    def test_one_failure_never_suffices(self):
        assert MIN_WITNESSES > 2
