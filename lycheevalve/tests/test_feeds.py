"""Feeds and subscriptions: configurations and registrations reach the entry instances."""

from lycheevalve.coordination.dissemination import STARTUP_TIMEOUT_SECONDS
from lycheevalve.coordination.feeds import LONG_POLL_SECONDS, SETTLE_SECONDS
from lycheevalve.coordination.subscriptions import SOURCE_EVICTION_SECONDS
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
    site = ControlCluster(**values)
    site.run(1.0)
    return site


def all_have(site, registration):
    """Return whether all entry instances hold this registration or a newer one."""
    tables = [site.running[a].upstreams for a in site.entries if a in site.running]
    found = [t.find(registration.address, registration.incarnation) for t in tables]
    return all(u and u.registration.sequence >= registration.sequence for u in found)


class TestConfiguration:
    """A committed configuration comes into force."""

    def test_reaches_all_at_once(self):
        site = build_cluster()
        site.commit(4)
        assert site.run_until(lambda: site.revisions() == [4, 4]) < PROPAGATION_SECONDS

    def test_reaches_all_through_a_single_replica(self):
        site = build_cluster(controls=3)
        site.commit(9, controls=[site.seeds[2]])
        assert site.run_until(lambda: site.revisions() == [9, 9]) < PROPAGATION_SECONDS

    def test_revision_never_decreases_when_a_replica_lags(self):
        site = build_cluster()
        site.commit(9, controls=[site.seeds[0]])
        site.run_until(lambda: site.revisions() == [9, 9])
        site.stop(site.seeds[0])
        site.commit(5, controls=[site.seeds[1]])
        site.run(3.0)
        assert site.revisions() == [9, 9]

    def test_restarted_instance_waits_for_a_replica_that_is_current(self):
        """The first replica that answers lacks the newest configuration."""
        site = build_cluster()
        site.commit(5, controls=[site.seeds[1]])
        site.commit(9, controls=[site.seeds[0]])
        site.running[site.seeds[1]].current = False
        site.start_entry(site.entries[0])
        site.cuts = {frozenset((site.entries[0], site.seeds[0]))}
        site.run(1.0)
        assert site.revisions()[0] == 0
        site.cuts.clear()
        assert site.run_until(lambda: site.revisions()[0]) < 2.0
        assert site.revisions()[0] == 9

    def test_isolated_instance_applies_the_newest_reachable_revision(self):
        """Without a current replica in reach, the newest one is applied after the timeout."""
        site = build_cluster()
        site.commit(5)
        site.run(0.5)
        site.running[site.seeds[0]].current = False
        site.stop(site.seeds[1])
        site.start_entry(site.entries[0])
        seconds = site.run_until(lambda: site.revisions()[0] == 5)
        assert seconds is not None and seconds < STARTUP_TIMEOUT_SECONDS + 1.0

    def test_recovers_from_connections_that_stop_answering(self):
        site = build_cluster()
        site.cuts = {frozenset((site.entries[0], seed)) for seed in site.seeds}
        site.commit(5)
        site.run(3.0)
        assert site.revisions() == [0, 5]
        site.cuts.clear()
        assert (
            site.run_until(lambda: site.revisions() == [5, 5]) < 2 * PROPAGATION_SECONDS + 1.2
        )

    def test_idle_process_polls_no_more_often_than_its_interval(self):
        site = build_cluster(controls=1, entries=1)
        site.commit(5)
        site.run(1.0)
        entry = site.running[site.entries[0]]
        entry.send_fetch(site.seeds[0], Fetch(5))
        site.run(1.0)
        control = site.running[site.seeds[0]]
        polls = []
        handle = control.handle_poll
        control.handle_poll = lambda *call: (polls.append(1), handle(*call))
        site.run(10.0)
        assert len(polls) <= 10.0 / LONG_POLL_SECONDS + 1


class TestUpstreams:
    """Announcements to one replica reach all processes."""

    def test_new_upstream_reaches_all_at_once(self):
        site = build_cluster()
        registration = build_registration(1)
        site.running[site.seeds[0]].handle_announcement(registration, "beat", site.now)
        assert site.run_until(lambda: all_have(site, registration)) < PROPAGATION_SECONDS

    def test_replicas_forward_to_instances_that_reach_only_one(self):
        site = build_cluster()
        site.cuts = {frozenset((entry, site.seeds[0])) for entry in site.entries}
        registration = build_registration(1)
        site.running[site.seeds[0]].handle_announcement(registration, "beat", site.now)
        assert site.run_until(lambda: all_have(site, registration)) < 2 * PROPAGATION_SECONDS

    def test_drain_is_acknowledged_when_all_have_received_it(self):
        site = build_cluster()
        site.running[site.seeds[0]].handle_announcement(build_registration(1), "beat", site.now)
        site.run(0.5)
        last = build_registration(1, draining=True, sequence=2)
        site.running[site.seeds[0]].handle_announcement(last, "farewell", site.now)
        assert "farewell" not in site.acknowledged
        assert site.run_until(lambda: "farewell" in site.acknowledged) < 0.5
        assert all_have(site, last)

    def test_drain_is_acknowledged_in_time_when_a_subscriber_is_unreachable(self):
        site = build_cluster()
        control = site.running[site.seeds[0]]
        control.handle_announcement(build_registration(1), "beat", site.now)
        site.run(0.5)
        site.cuts = {frozenset((site.entries[0], site.seeds[0]))}
        last = build_registration(1, draining=True, sequence=2)
        control.handle_announcement(last, "farewell", site.now)
        assert 0.2 < site.run_until(lambda: "farewell" in site.acknowledged) < 1.0

    def test_repeated_deregistration_is_acknowledged(self):
        site = build_cluster()
        control = site.running[site.seeds[0]]
        control.deregister("i-never-seen", "farewell", site.now)
        site.step()
        assert "farewell" in site.acknowledged

    def test_deregistered_name_may_register_again(self):
        site = build_cluster()
        control = site.running[site.seeds[0]]
        first = build_registration(1)
        control.handle_announcement(first, "beat", site.now)
        control.deregister(first.name, "farewell", site.now)
        site.run(1.0)
        entry = site.running[site.entries[0]]
        assert entry.upstreams.usable("nightsync", site.now) == []
        control.handle_announcement(build_registration(1, incarnation=9000), "again", site.now)
        site.run(0.5)
        assert len(entry.upstreams.usable("nightsync", site.now)) == 1

    def test_restarted_replica_and_instance_receive_the_table(self):
        site = build_cluster()
        registration = build_registration(1)
        site.running[site.seeds[0]].handle_announcement(registration, "beat", site.now)
        site.run(0.5)
        site.start_control(site.seeds[1])
        site.start_entry(site.entries[0])
        assert site.run_until(lambda: all_have(site, registration)) < 1.0

    def test_renewals_extend_the_lease_at_all_instances(self):
        site = build_cluster()
        control = site.running[site.seeds[0]]
        for sequence in range(1, 30):
            control.handle_announcement(
                build_registration(1, sequence=sequence), "beat", site.now
            )
            site.run(0.77)
        entry = site.running[site.entries[0]]
        assert len(entry.upstreams.usable("nightsync", site.now)) == 1

    def test_leases_are_extended_at_an_instance_without_sources(self):
        """Renewals that do not arrive are no sign of failed upstreams."""
        site = build_cluster()
        site.commit(5)
        site.running[site.seeds[0]].handle_announcement(build_registration(1), "beat", site.now)
        site.run(SETTLE_SECONDS)
        entry = site.entries[0]
        site.cuts = {frozenset((entry, seed)) for seed in site.seeds}
        site.run(2 * LIFETIME_MS / 1000)
        site.running[entry].cookie_router.handle_packet(
            build_packet(opens=True, front_door=FRONT_DOOR), site.now
        )
        assert [upstream is None for upstream, _ in site.sent] == [False]

    def test_unresponsive_upstream_expires_with_its_lease(self):
        site = build_cluster()
        site.running[site.seeds[0]].handle_announcement(build_registration(1), "beat", site.now)
        site.run(5.0)
        entry = site.running[site.entries[0]]
        assert entry.upstreams.usable("nightsync", site.now) == []


class TestReadiness:
    """An entry instance is ready for packets only when it can place flows."""

    def test_requires_configuration_and_a_complete_table(self):
        site = ControlCluster()
        entry = site.running[site.entries[0]]
        site.run(0.5)
        assert not entry.is_ready(site.now)
        site.commit(3)
        site.run(0.5)
        assert not entry.is_ready(site.now)
        site.run(SETTLE_SECONDS)
        assert entry.is_ready(site.now)

    def test_ends_when_the_instance_stops(self):
        site = build_cluster()
        site.commit(3)
        site.run(SETTLE_SECONDS)
        entry = site.running[site.entries[0]]
        entry.leaving = True
        assert not entry.is_ready(site.now)

    def test_resumed_instance_polls_before_it_places_flows(self):
        site = build_cluster()
        site.commit(3)
        site.running[site.seeds[0]].handle_announcement(build_registration(1), "beat", site.now)
        site.run(SETTLE_SECONDS)
        entry = site.running[site.entries[0]]
        entry.handle_resume(site.now)
        entry.cookie_router.handle_packet(
            build_packet(opens=True, front_door=FRONT_DOOR), site.now
        )
        assert site.sent == []
        site.run(LONG_POLL_SECONDS + 0.1)
        assert len(site.sent) == 1


class TestSources:
    """Which control replicas a process polls."""

    def test_replicas_list_sources_that_are_not_seeds(self):
        site = build_cluster(controls=2)
        spare = "10.0.0.9:7000"
        site.start_control(spare)
        site.seeds.append(spare)
        site.run(2.0)
        for address in site.entries:
            assert spare in site.running[address].subscriptions.sources

    def test_permanently_failed_replica_is_evicted(self):
        site = build_cluster(controls=3)
        entry = site.running[site.entries[0]]
        failed = site.seeds[2]
        entry.subscriptions.set_seeds(site.seeds[:2], site.now)
        for address in site.seeds[:2]:
            site.running[address].subscriptions.set_seeds(site.seeds[:2], site.now)
        site.stop(failed)
        site.run(SOURCE_EVICTION_SECONDS * 2 + 10.0)
        assert failed not in entry.subscriptions.sources
