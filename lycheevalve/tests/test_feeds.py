"""Feeds and subscriptions: configurations and registrations reach the entry instances."""

from lycheevalve.coordination.dissemination import STARTUP_TIMEOUT_SECONDS
from lycheevalve.coordination.feeds import LONG_POLL_SECONDS, SETTLE_SECONDS
from lycheevalve.coordination.subscriptions import SOURCE_EVICTION_SECONDS
from lycheevalve.logs.schema import validate_event
from lycheevalve.schema.generated.messages import Fetch
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    LIFETIME_MS,
    build_packet,
    build_registration,
)

# Limit for the propagation of an urgent update to all entry instances.
PROPAGATION_SECONDS = 0.2


def build_cluster(**values):
    """Return a cluster whose processes have polled each other."""
    cluster = ControlCluster(**values)
    cluster.run(1.0)
    return cluster


def all_have(cluster, registration):
    """Return whether all entry instances hold this registration or a newer one."""
    tables = [cluster.running[a].upstreams for a in cluster.entries if a in cluster.running]
    found = [t.find(registration.address, registration.incarnation) for t in tables]
    return all(u and u.registration.sequence >= registration.sequence for u in found)


class TestConfiguration:
    """A committed configuration is applied by the entry instances."""

    def test_reaches_all_at_once(self):
        cluster = build_cluster()
        cluster.commit(4)
        assert cluster.run_until(lambda: cluster.revisions() == [4, 4]) < PROPAGATION_SECONDS

    def test_reaches_all_through_a_single_replica(self):
        cluster = build_cluster(controls=3)
        cluster.commit(9, controls=[cluster.seeds[2]])
        assert cluster.run_until(lambda: cluster.revisions() == [9, 9]) < PROPAGATION_SECONDS

    def test_revision_never_decreases_when_a_replica_lags(self):
        cluster = build_cluster()
        cluster.commit(9, controls=[cluster.seeds[0]])
        cluster.run_until(lambda: cluster.revisions() == [9, 9])
        cluster.stop(cluster.seeds[0])
        cluster.commit(5, controls=[cluster.seeds[1]])
        cluster.run(3.0)
        assert cluster.revisions() == [9, 9]

    def test_restarted_instance_waits_for_a_replica_that_is_current(self):
        """The first replica that answers lacks the newest configuration."""
        cluster = build_cluster()
        cluster.commit(5, controls=[cluster.seeds[1]])
        cluster.commit(9, controls=[cluster.seeds[0]])
        cluster.running[cluster.seeds[1]].current = False
        cluster.start_entry(cluster.entries[0])
        cluster.cuts = {frozenset((cluster.entries[0], cluster.seeds[0]))}
        cluster.run(1.0)
        assert cluster.revisions()[0] == 0
        cluster.cuts.clear()
        assert cluster.run_until(lambda: cluster.revisions()[0]) < 2.0
        assert cluster.revisions()[0] == 9

    def test_isolated_instance_applies_the_newest_reachable_revision(self):
        """Without a current replica in reach, the newest one is applied after the timeout."""
        cluster = build_cluster()
        cluster.commit(5)
        cluster.run(0.5)
        cluster.running[cluster.seeds[0]].current = False
        cluster.stop(cluster.seeds[1])
        cluster.start_entry(cluster.entries[0])
        seconds = cluster.run_until(lambda: cluster.revisions()[0] == 5)
        assert seconds is not None and seconds < STARTUP_TIMEOUT_SECONDS + 1.0

    def test_recovers_from_connections_that_stop_answering(self):
        cluster = build_cluster()
        cluster.cuts = {frozenset((cluster.entries[0], seed)) for seed in cluster.seeds}
        cluster.commit(5)
        cluster.run(3.0)
        assert cluster.revisions() == [0, 5]
        cluster.cuts.clear()
        assert (
            cluster.run_until(lambda: cluster.revisions() == [5, 5])
            < 2 * PROPAGATION_SECONDS + 1.2
        )

    def test_idle_process_polls_no_more_often_than_its_interval(self):
        cluster = build_cluster(controls=1, entries=1)
        cluster.commit(5)
        cluster.run(1.0)
        entry = cluster.running[cluster.entries[0]]
        entry.send_fetch(cluster.seeds[0], Fetch(5))
        cluster.run(1.0)
        control = cluster.running[cluster.seeds[0]]
        polls = []
        handle = control.handle_poll
        control.handle_poll = lambda *call: (polls.append(1), handle(*call))
        cluster.run(10.0)
        assert len(polls) <= 10.0 / LONG_POLL_SECONDS + 1


class TestUpstreams:
    """Announcements to one replica reach all processes."""

    def test_new_upstream_reaches_all_at_once(self):
        cluster = build_cluster()
        registration = build_registration(1)
        cluster.running[cluster.seeds[0]].handle_announcement(registration, "beat", cluster.now)
        assert cluster.run_until(lambda: all_have(cluster, registration)) < PROPAGATION_SECONDS

    def test_replicas_forward_to_instances_that_reach_only_one(self):
        cluster = build_cluster()
        cluster.cuts = {frozenset((entry, cluster.seeds[0])) for entry in cluster.entries}
        registration = build_registration(1)
        cluster.running[cluster.seeds[0]].handle_announcement(registration, "beat", cluster.now)
        assert (
            cluster.run_until(lambda: all_have(cluster, registration)) < 2 * PROPAGATION_SECONDS
        )

    def test_drain_is_acknowledged_when_all_have_received_it(self):
        cluster = build_cluster()
        cluster.running[cluster.seeds[0]].handle_announcement(
            build_registration(1), "beat", cluster.now
        )
        cluster.run(0.5)
        last = build_registration(1, draining=True, sequence=2)
        cluster.running[cluster.seeds[0]].handle_announcement(last, "farewell", cluster.now)
        assert "farewell" not in cluster.acknowledged
        assert cluster.run_until(lambda: "farewell" in cluster.acknowledged) < 0.5
        assert all_have(cluster, last)

    def test_drain_is_acknowledged_in_time_when_a_subscriber_is_unreachable(self):
        cluster = build_cluster()
        control = cluster.running[cluster.seeds[0]]
        control.handle_announcement(build_registration(1), "beat", cluster.now)
        cluster.run(0.5)
        cluster.cuts = {frozenset((cluster.entries[0], cluster.seeds[0]))}
        last = build_registration(1, draining=True, sequence=2)
        control.handle_announcement(last, "farewell", cluster.now)
        assert 0.2 < cluster.run_until(lambda: "farewell" in cluster.acknowledged) < 1.0

    def test_repeated_deregistration_is_acknowledged(self):
        cluster = build_cluster()
        control = cluster.running[cluster.seeds[0]]
        control.deregister("i-never-seen", None, "farewell", cluster.now)
        cluster.step()
        assert "farewell" in cluster.acknowledged

    def test_deregistered_name_may_register_again(self):
        cluster = build_cluster()
        control = cluster.running[cluster.seeds[0]]
        first = build_registration(1)
        control.handle_announcement(first, "beat", cluster.now)
        control.deregister(first.name, first.incarnation, "farewell", cluster.now)
        cluster.run(1.0)
        entry = cluster.running[cluster.entries[0]]
        assert entry.upstreams.usable("nightsync", cluster.now) == []
        control.handle_announcement(
            build_registration(1, incarnation=9000), "again", cluster.now
        )
        cluster.run(0.5)
        assert len(entry.upstreams.usable("nightsync", cluster.now)) == 1

    def test_restarted_replica_and_instance_receive_the_table(self):
        cluster = build_cluster()
        registration = build_registration(1)
        cluster.running[cluster.seeds[0]].handle_announcement(registration, "beat", cluster.now)
        cluster.run(0.5)
        cluster.start_control(cluster.seeds[1])
        cluster.start_entry(cluster.entries[0])
        assert cluster.run_until(lambda: all_have(cluster, registration)) < 1.0

    def test_renewals_extend_the_lease_at_all_instances(self):
        cluster = build_cluster()
        control = cluster.running[cluster.seeds[0]]
        for sequence in range(1, 30):
            control.handle_announcement(
                build_registration(1, sequence=sequence), "beat", cluster.now
            )
            cluster.run(0.77)
        entry = cluster.running[cluster.entries[0]]
        assert len(entry.upstreams.usable("nightsync", cluster.now)) == 1

    def test_leases_are_extended_at_an_instance_without_sources(self):
        """Without sources no renewal arrives, which does not indicate failed upstreams."""
        cluster = build_cluster()
        cluster.commit(5)
        cluster.running[cluster.seeds[0]].handle_announcement(
            build_registration(1), "beat", cluster.now
        )
        cluster.run(SETTLE_SECONDS)
        entry = cluster.entries[0]
        cluster.cuts = {frozenset((entry, seed)) for seed in cluster.seeds}
        cluster.run(2 * LIFETIME_MS / 1000)
        cluster.running[entry].cookie_router.handle_packet(
            build_packet(opens=True, front_door=FRONT_DOOR), cluster.now
        )
        assert [upstream is None for upstream, _ in cluster.sent] == [False]

    def test_unresponsive_upstream_expires_with_its_lease(self):
        cluster = build_cluster()
        cluster.running[cluster.seeds[0]].handle_announcement(
            build_registration(1), "beat", cluster.now
        )
        cluster.run(5.0)
        entry = cluster.running[cluster.entries[0]]
        assert entry.upstreams.usable("nightsync", cluster.now) == []


class TestReadiness:
    """An entry instance is ready for packets only when it can place flows."""

    def test_requires_configuration_and_a_complete_table(self):
        cluster = ControlCluster()
        entry = cluster.running[cluster.entries[0]]
        cluster.run(0.5)
        assert not entry.is_ready(cluster.now)
        cluster.commit(3)
        cluster.run(0.5)
        assert not entry.is_ready(cluster.now)
        cluster.run(SETTLE_SECONDS)
        assert entry.is_ready(cluster.now)

    def test_ends_when_the_instance_stops(self):
        cluster = build_cluster()
        cluster.commit(3)
        cluster.run(SETTLE_SECONDS)
        entry = cluster.running[cluster.entries[0]]
        entry.leaving = True
        assert not entry.is_ready(cluster.now)

    def test_resumed_instance_polls_before_it_places_flows(self):
        cluster = build_cluster()
        cluster.commit(3)
        cluster.running[cluster.seeds[0]].handle_announcement(
            build_registration(1), "beat", cluster.now
        )
        cluster.run(SETTLE_SECONDS)
        entry = cluster.running[cluster.entries[0]]
        entry.handle_resume(cluster.now)
        entry.cookie_router.handle_packet(
            build_packet(opens=True, front_door=FRONT_DOOR), cluster.now
        )
        assert cluster.sent == []
        cluster.run(LONG_POLL_SECONDS + 0.1)
        assert len(cluster.sent) == 1


class TestSources:
    """Which control replicas a process polls."""

    def test_replicas_list_sources_that_are_not_seeds(self):
        cluster = build_cluster(controls=2)
        spare = "10.0.0.9:7000"
        cluster.start_control(spare)
        cluster.seeds.append(spare)
        cluster.run(2.0)
        for address in cluster.entries:
            assert spare in cluster.running[address].subscriptions.sources

    def test_permanently_failed_replica_is_evicted(self):
        cluster = build_cluster(controls=3)
        entry = cluster.running[cluster.entries[0]]
        failed = cluster.seeds[2]
        entry.subscriptions.set_seeds(cluster.seeds[:2], cluster.now)
        for address in cluster.seeds[:2]:
            cluster.running[address].subscriptions.set_seeds(cluster.seeds[:2], cluster.now)
        cluster.stop(failed)
        cluster.run(SOURCE_EVICTION_SECONDS * 2 + 10.0)
        assert failed not in entry.subscriptions.sources


class TestRestarts:
    """A control replica reports processes that were started again."""

    def test_restarts_are_logged_and_counted_by_role(self):
        """Guards against instances without a disk whose ends nothing shows."""
        cluster = build_cluster()
        feed, events = cluster.running[cluster.seeds[0]].feed, []
        feed.observe = lambda name, **details: events.append((name, details))
        cluster.start_entry(cluster.entries[1])
        cluster.start_control(cluster.seeds[1])
        cluster.run(2.0)
        cluster.start_entry(cluster.entries[1])
        cluster.run(2.0)
        assert feed.restarts == {"entry": 2, "control": 1}
        restarted = [details["peer"] for _, details in events]
        assert sorted(restarted) == sorted([cluster.entries[1]] * 2 + [cluster.seeds[1]])
        for name, details in events:
            assert validate_event(name, details) == []

    def test_first_polls_and_lost_connections_are_no_restarts(self):
        cluster = build_cluster()
        feed = cluster.running[cluster.seeds[0]].feed
        pair = frozenset((cluster.seeds[0], cluster.entries[0]))
        cluster.cuts.add(pair)
        cluster.run(3.0)
        cluster.cuts.discard(pair)
        cluster.run(3.0)
        assert feed.subscribers[cluster.entries[0]].polled_at > cluster.now - 2.0
        assert feed.restarts == {"entry": 0, "control": 0}
