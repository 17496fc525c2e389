"""Evacuations of data centres: accepted orders hold everywhere, and none is reversed."""

import random

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lycheevalve.coordination.configuration import ConfigurationStateMachine, Outcome
from lycheevalve.coordination.evacuations import get_evacuations
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.flows.isolation import has_local_capacity
from lycheevalve.schema.generated.messages import Change, Configuration, Evacuations, Poll
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    build_entry,
    build_packet,
    build_registration,
)
from lycheevalve.tests.fakes.replicas import ReplicaCluster, build_change, build_document

EVACUATE_SECONDS = 1.0
DATA_CENTRES = ("dc1", "dc2", "dc3")


def build_order(change_id, evacuates=(), restores=()):
    """Return an operator's order that leaves the revision as it is."""
    orders = {"evacuates": list(evacuates), "restores": list(restores)}
    return Change(change_id, base_revision=-1, keeps_revision=True, **orders)


class TestOrders:
    """The replicated state machine."""

    def apply(self, *changes):
        """Return a state machine that has applied these changes."""
        machine = ConfigurationStateMachine()
        for change in changes:
            assert machine.apply(change).outcome == Outcome.ACCEPTED
        return machine

    def evacuated(self, machine):
        """Return the number of orders and the evacuated data centres."""
        evacuations = get_evacuations(machine.configuration)
        return evacuations.number, evacuations.data_centres

    def test_order_keeps_document_and_revision(self):
        machine = self.apply(build_document(7), build_order("a", ["dc2"]))
        assert self.evacuated(machine) == (1, ["dc2"])
        assert machine.configuration.revision == 7
        assert machine.configuration.document == b"text"

    def test_new_document_keeps_evacuations(self):
        machine = self.apply(build_order("a", ["dc2"]), build_document(7))
        assert self.evacuated(machine) == (1, ["dc2"])

    def test_incremental_change_keeps_evacuations(self):
        machine = self.apply(build_order("a", ["dc2"]), build_change("b", 0))
        assert self.evacuated(machine) == (1, ["dc2"])

    def test_later_order_holds(self):
        machine = self.apply(
            build_order("a", ["dc2"]), build_order("b", [], ["dc2"]), build_order("c", ["dc1"])
        )
        assert self.evacuated(machine) == (3, ["dc1"])

    def test_order_that_changes_nothing_is_accepted_without_a_number(self):
        machine = self.apply(build_order("a", ["dc2"]), build_order("b", ["dc2"]))
        assert self.evacuated(machine) == (1, ["dc2"])

    def test_proposal_that_is_repeated_does_not_reverse_a_later_order(self):
        """The replica that answers the operator proposes again when the leader is lost."""
        machine = self.apply(
            build_order("a", ["dc2"]), build_order("b", [], ["dc2"]), build_order("a", ["dc2"])
        )
        assert self.evacuated(machine) == (2, [])

    def test_order_of_the_command_line_is_a_revision(self):
        change = Change("a", evacuates=["dc2"], ignore_base=True)
        machine = self.apply(change)
        assert machine.configuration.revision == 1
        assert self.evacuated(machine) == (1, ["dc2"])


class TestReplicatedOrders:
    """Orders survive the loss of power and of the leader, in the log and in a snapshot."""

    @pytest.mark.parametrize("documents", [1, 120])
    def test_accepted_order_survives_a_power_loss(self, documents):
        cluster = ReplicaCluster(3, random.Random(1))
        assert cluster.run_until(cluster.leaders)
        self.propose(cluster, build_order("a", ["dc2"]))
        for revision in range(1, documents + 1):
            self.propose(cluster, build_document(revision))
        for name in cluster.names:
            cluster.crash(name)
        for name in cluster.names:
            cluster.restart(name)
        assert cluster.run_until(cluster.is_settled)
        assert cluster.run_until(lambda: self.evacuated(cluster) == [["dc2"]] * 3)

    def evacuated(self, cluster):
        """Return the evacuated data centres at each replica."""
        machines = [replica.state_machine for replica in cluster.running.values()]
        return [get_evacuations(m.configuration).data_centres for m in machines]

    def propose(self, cluster, change):
        """Propose a change to the leader and wait for its result."""
        before = len(cluster.results)
        cluster.propose(cluster.leaders()[0], change)
        assert cluster.run_until(lambda: len(cluster.results) > before)


class EvacuatedSite(ControlCluster):
    """Three replicas and four instances, with two upstreams in each of three data centres."""

    def __init__(self):
        super().__init__(3, 4, data_centres=DATA_CENTRES)
        self.number = 0
        self.commit(3)
        self.sequence = 0
        self.run(2.0)
        self.announce()
        self.run(1.0)

    def announce(self, **values):
        """Deliver a heartbeat of each upstream."""
        self.sequence += 1
        running = [a for a in self.seeds if a in self.running]
        for index in range(6):
            registration = build_registration(
                index + 1,
                data_centre=DATA_CENTRES[index // 2],
                sequence=self.sequence,
                **({"lifetime_ms": 60_000} | values),
            )
            control = self.running[running[index % len(running)]]
            control.handle_announcement(registration, f"beat-{index}", self.now)

    def order(self, data_centres, controls=None):
        """Commit an order at some or all replicas."""
        self.number += 1
        evacuations = Evacuations(self.number, sorted(data_centres))
        for address in controls or self.seeds:
            if address in self.running:
                configuration = Configuration(3, document=b"[0, 1]", evacuations=evacuations)
                self.running[address].handle_commit(configuration, [], self.now)

    def place(self, address, count=12):
        """Open flows at an instance; return the data centres of their upstreams."""
        placed = set()
        for _ in range(count):
            before = len(self.sent)
            packet = build_packet(self.random.randbytes(8), opens=True)
            self.running[address].cookie_router.handle_packet(packet, self.now)
            placed |= {
                upstream.registration.data_centre if upstream else "reset"
                for upstream, _ in self.sent[before:]
            }
        return placed


class TestInForce:
    """Instances place no flow on an evacuated data centre."""

    def test_order_is_in_force_everywhere_within_a_second(self):
        site = EvacuatedSite()
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        assert all("dc2" not in site.place(address) for address in site.entries)

    def test_withdrawal_is_in_force_everywhere(self):
        site = EvacuatedSite()
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        site.order([])
        site.run(EVACUATE_SECONDS)
        assert all("dc2" in site.place(address, 40) for address in site.entries)

    def test_learner_publishes_orders_that_it_receives_from_a_member(self):
        site = EvacuatedSite()
        site.order(["dc2"], controls=site.seeds[:1])
        site.run(EVACUATE_SECONDS)
        assert all("dc2" not in site.place(address) for address in site.entries)

    def test_replica_that_is_behind_reverses_nothing(self):
        site = EvacuatedSite()
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        for address in site.seeds[1:]:
            site.start_control(address)
            site.running[address].handle_commit(
                Configuration(3, document=b"[0, 1]"), [], site.now
            )
        site.run(EVACUATE_SECONDS)
        assert all("dc2" not in site.place(address) for address in site.entries)

    def test_instance_that_starts_places_no_flow_before_it_has_the_orders(self):
        site = EvacuatedSite()
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        address = site.entries[0]
        site.start_entry(address)
        for _ in range(100):
            site.step()
            assert "dc2" not in site.place(address, 3)

    def test_paused_instance_places_no_flow_before_it_has_the_orders(self):
        site = EvacuatedSite()
        address = site.entries[0]
        entry = site.running.pop(address)
        site.order(["dc2"])
        site.run(2.0)
        site.running[address] = entry
        entry.handle_resume(site.now)
        for _ in range(100):
            assert "dc2" not in site.place(address, 3)
            site.step()
        assert site.place(address) == {"dc1", "dc3"}

    def test_open_flow_stays(self):
        site = EvacuatedSite()
        entry = site.running[site.entries[0]]
        upstream = next(
            u for u in entry.upstreams.by_index.values() if u.registration.data_centre == "dc2"
        )
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        packet = build_packet(b"open", cookie=upstream.cookie, size=100)
        entry.cookie_router.handle_packet(packet, site.now)
        assert site.sent[-1] == (upstream, packet)

    def test_idle_subscribers_are_not_answered_again_and_again(self):
        """An instance of an earlier version does not report which orders it applies."""
        site = EvacuatedSite()
        site.order(["dc2"])
        site.run(EVACUATE_SECONDS)
        control = site.running[site.seeds[0]]
        feed = control.feed
        for applied in (0, 1 + control.evacuations.number):
            poll = Poll(
                "x", feed=feed.number, version=feed.version, evacuations_applied=applied
            )
            poll.told = control.dissemination.held.revision
            assert not feed.has_updates(poll)
        poll.evacuations_applied = 1
        assert feed.has_updates(poll)


class TestRefusals:
    """Flows for which no upstream is left are refused at once, with the reason."""

    def build(self, **values):
        """Return an entry instance with one upstream in dc1."""
        entry = build_entry(0)
        entry.update_upstreams(build_registration(1, **values))
        return entry

    def refuse(self, entry, now=0.0):
        """Open a flow that is refused; return the reason."""
        assert entry.handle(build_packet(opens=True), now) is None
        assert len(entry.resets) == 1
        return entry.events[-1][1]["reason"]

    def test_evacuated(self):
        entry = self.build()
        entry.cookie_router.upstreams.set_evacuated(frozenset(["dc1"]), 0.0)
        assert self.refuse(entry) == "evacuated"

    def test_without_any_upstream(self):
        entry = self.build()
        entry.cookie_router.upstreams.set_evacuated(frozenset(["dc1"]), 0.0)
        assert self.refuse(entry, now=60.0) == "no_upstream"

    def test_upstream_that_registers_later_is_evacuated_too(self):
        entry = self.build()
        entry.cookie_router.upstreams.set_evacuated(frozenset(["dc1"]), 0.0)
        entry.update_upstreams(build_registration(2))
        assert self.refuse(entry) == "evacuated"

    def test_evacuated_data_centre_that_is_cut_off_lacks_capacity(self):
        entry = self.build()
        entry.update_upstreams(build_registration(2, data_centre="dc2"))
        upstreams = entry.cookie_router.upstreams
        upstreams.set_evacuated(frozenset(["dc1"]), 0.0)
        assert not has_local_capacity(upstreams, "dc1", {"nightsync"}, 1.0)


class TestColdUpstreams:
    """
    Upstreams that warm up get no flow while others have room.

    Loads: half of a service is replaced, a data centre returns, a scale-out in a burst.
    """

    WARM_UP_MS = 2000

    def build(self, count, **values):
        """Return an entry instance whose service has a warm-up."""
        entry = build_entry(count, **values)
        route = FrontDoorRoute((("nightsync", 1),), warming_services=frozenset(["nightsync"]))
        entry.configure({FRONT_DOOR: route})
        return entry

    def open_flows(self, entry, count, now):
        """Open flows; return the numbers of the upstreams that got one, by name."""
        placed = []
        for number in range(count):
            packet = build_packet(b"%f-%d" % (now, number), opens=True, copy=number % 3)
            placed.append(int(entry.handle(packet, now)[0].registration.name[2:], 16))
        return placed

    def start_cold(self, entry, numbers, now):
        """Register cold upstreams, as after a start."""
        for number in numbers:
            entry.update_upstreams(
                build_registration(number, incarnation=5000, warm_up_ms=self.WARM_UP_MS),
                now=now,
            )

    def test_replaced_half_of_a_service_gets_nothing_until_warm(self):
        entry = self.build(6)
        self.start_cold(entry, (4, 5, 6), 1.0)
        assert set(self.open_flows(entry, 60, 2.9)) == {1, 2, 3}
        assert {4, 5, 6} <= set(self.open_flows(entry, 60, 3.1))

    def test_scale_out_in_a_burst(self):
        entry = self.build(2)
        self.start_cold(entry, range(3, 9), 1.0)
        assert set(self.open_flows(entry, 200, 1.5)) == {1, 2}

    def test_returned_data_centre_counts_as_cold_until_it_has_announced_its_state(self):
        """Its upstreams became cold while they were evacuated, and no one has reported it."""
        entry = self.build(3)
        entry.update_upstreams(build_registration(4, data_centre="dc2"))
        upstreams = entry.cookie_router.upstreams
        upstreams.set_evacuated(frozenset(["dc2"]), 0.1)
        upstreams.set_evacuated(frozenset(), 1.0)
        assert 4 not in self.open_flows(entry, 60, 2.0)
        cold = build_registration(4, data_centre="dc2", sequence=2, warm_up_ms=self.WARM_UP_MS)
        entry.update_upstreams(attrs.evolve(cold, lifetime_ms=60_000), now=2.1)
        for number in (1, 2, 3):
            fresh = build_registration(number, sequence=2, lifetime_ms=60_000)
            entry.update_upstreams(fresh, now=2.1)
        assert 4 not in self.open_flows(entry, 60, 4.0)
        assert 4 in self.open_flows(entry, 60, 4.2)

    def test_when_only_cold_ones_are_left_flows_are_refused_at_once(self):
        entry = self.build(0)
        self.start_cold(entry, (1, 2), 1.0)
        assert entry.handle(build_packet(opens=True), 1.5) is None
        assert entry.events[-1][1]["reason"] == "warming_up"
        assert len(entry.resets) == 1

    def test_service_without_a_warm_up_uses_cold_upstreams_as_before(self):
        entry = build_entry(0)
        self.start_cold(entry, (1,), 1.0)
        assert self.open_flows(entry, 3, 1.5) == [1, 1, 1]

    def test_start_of_a_warm_up_is_published_at_once(self):
        site = EvacuatedSite()
        site.announce(warm_up_ms=self.WARM_UP_MS)
        site.run(0.2)
        for address in site.entries:
            registrations = [
                u.registration for u in site.running[address].upstreams.by_index.values()
            ]
            assert {r.warm_up_ms for r in registrations} == {self.WARM_UP_MS}


class EvacuationMachine(RuleBasedStateMachine):
    """
    Orders, restarts, pauses and cuts.

    No instance places a flow on an evacuated data centre longer than a second after the
    order, unless it was cut off from all replicas meanwhile.
    """

    @initialize()
    def start(self):
        self.site = EvacuatedSite()
        self.evacuated, self.changed_at = set(), -10.0
        self.paused = {}

    @rule(name=st.sampled_from(DATA_CENTRES), evacuate=st.booleans(), count=st.integers(1, 3))
    def order(self, name, evacuate, count):
        self.evacuated = self.evacuated | {name} if evacuate else self.evacuated - {name}
        self.changed_at = self.site.now
        self.site.order(self.evacuated, self.site.seeds[:count])

    @rule(index=st.integers(1, 2))
    def restart_replica(self, index):
        """Restart a replica that is behind until others publish to it."""
        self.site.start_control(self.site.seeds[index])
        self.site.running[self.site.seeds[index]].handle_commit(
            Configuration(3, document=b"[0, 1]"), [], self.site.now
        )
        self.site.announce()

    @rule(index=st.integers(0, 3))
    def restart_instance(self, index):
        address = self.site.entries[index]
        self.paused.pop(address, None)
        self.site.start_entry(address)

    @rule(index=st.integers(0, 3))
    def pause_instance(self, index):
        address = self.site.entries[index]
        if address in self.site.running:
            self.paused[address] = self.site.running.pop(address)

    @rule()
    def resume_instances(self):
        for address, process in self.paused.items():
            self.site.running[address] = process
            process.handle_resume(self.site.now)
        self.paused = {}

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.2)))
    def advance(self, seconds):
        self.site.run(seconds)
        self.site.announce()

    @invariant()
    def no_flow_on_evacuated_data_centres(self):
        if self.site.now - self.changed_at < EVACUATE_SECONDS:
            return
        for address in self.site.entries:
            if address in self.site.running:
                assert not self.site.place(address, 4) & self.evacuated


TestEvacuations = EvacuationMachine.TestCase
TestEvacuations.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)
