"""What control costs in a large fleet: many instances, replicas and upstreams."""

import collections

import attrs
import pytest

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS, RENEWAL_SHARE, Feed
from lycheevalve.coordination.subscriptions import (
    ACTIVE_SOURCES,
    CURRENT_TIMEOUT_SECONDS,
    MAX_SOURCES,
    SOURCE_TIMEOUT_SECONDS,
    Subscriptions,
)
from lycheevalve.coordination.upstream_cache import RESTORED_LEASE_MS
from lycheevalve.entry import URGENT_TICK_INTERVAL_SECONDS
from lycheevalve.flows.held_packets import MAX_HOLD_SECONDS
from lycheevalve.schema.generated.messages import News
from lycheevalve.tests.fakes.entry import LIFETIME_MS, build_packet, build_registration
from lycheevalve.tests.fakes.fleet import HEARTBEAT_SECONDS, build_fleet

# A change reaches an instance within this time through replicas that work.
PROPAGATION_SECONDS = 0.2


class TestRenewals:
    """Lease renewals are not sent to entry instances."""

    def test_instances_receive_nothing_while_nothing_changes(self):
        fleet = build_fleet()
        fleet.received.clear()
        fleet.run_heartbeats(12.0)
        assert sum(fleet.received.values()) == 0
        assert {fleet.usable(address) for address in fleet.entries} == {20}

    def test_silent_upstream_expires_at_all_instances(self):
        fleet = build_fleet()
        fleet.numbers.remove(7)
        # A renewal may be relayed by replicas before it expires.
        fleet.run_heartbeats(LIFETIME_MS / 1000 * (1 + RENEWAL_SHARE) + 1.0)
        assert {fleet.usable(address) for address in fleet.entries} == {19}

    def test_upstream_that_returns_gets_flows_again(self):
        fleet = build_fleet()
        fleet.numbers.remove(7)
        fleet.run_heartbeats(8.0)
        fleet.numbers.append(7)
        fleet.run_heartbeats(1.6)
        assert {fleet.usable(address) for address in fleet.entries} == {20}

    def test_lease_holds_while_one_source_reports_it(self):
        """Only the instance's other source still receives the upstream's heartbeats."""
        fleet = build_fleet(entries=1)
        entry = fleet.entries[0]
        first, second = fleet.running[entry].subscriptions.active()
        fleet.cuts = {frozenset((first, other)) for other in fleet.seeds if other != first}
        heartbeats = 0
        while heartbeats * HEARTBEAT_SECONDS < 8.0:
            heartbeats += 1
            for number in fleet.numbers:
                registration = build_registration(number, sequence=1000 + heartbeats)
                fleet.running[second].handle_announcement(registration, "beat", fleet.now)
            fleet.run(HEARTBEAT_SECONDS)
        assert fleet.running[first].upstreams.usable("nightsync", fleet.now) == []
        assert fleet.usable(entry) == 20

    def test_paused_replica_does_not_revive_an_upstream(self):
        """A replica that resumes still reports leases that have expired at the others."""
        fleet = build_fleet(entries=1)
        entry = fleet.entries[0]
        paused = fleet.running[entry].subscriptions.active()[0]
        process = fleet.running.pop(paused)
        fleet.numbers.remove(7)
        fleet.run_heartbeats(8.0)
        assert fleet.usable(entry) == 19
        # The steady clock of a paused process stands still.
        for upstream in process.upstreams.by_address.values():
            upstream.expires_at += 8.0
        fleet.running[paused] = process
        most = 0
        for _ in range(20):
            fleet.run_heartbeats(HEARTBEAT_SECONDS)
            most = max(most, fleet.usable(entry))
        assert most == 19

    def test_instance_that_starts_beside_restarting_replicas_keeps_all_upstreams(self):
        """After a power loss replicas report leases of two seconds, and the instance starts."""
        fleet = build_fleet(entries=1)
        registrations = [build_registration(n, sequence=1000) for n in fleet.numbers]
        for address in fleet.seeds:
            fleet.start_control(address)
            for registration in registrations:
                restored = attrs.evolve(registration, lifetime_ms=RESTORED_LEASE_MS)
                fleet.running[address].apply_registration(restored, fleet.now)
        fleet.sequence = 1000
        fleet.commit(4)
        fleet.start_entry(fleet.entries[0])
        fleet.run(0.5)
        fewest = 20
        for step in range(100):
            if step % 8 == 0:
                fleet.announce()
            fleet.run(0.1)
            fewest = min(fewest, fleet.usable(fleet.entries[0]))
        assert fewest == 20

    def test_restarted_replica_is_trusted_once_its_table_is_complete(self):
        fleet = build_fleet(entries=1)
        entry = fleet.entries[0]
        for source in fleet.running[entry].subscriptions.active():
            fleet.start_control(source)
        fewest = 20
        for _ in range(10):
            fleet.announce()
            for _ in range(round(HEARTBEAT_SECONDS / 0.1)):
                fleet.run(0.1)
                fewest = min(fewest, fleet.usable(entry))
        assert fewest == 20


class TestSources:
    """An instance polls two of the replicas."""

    def test_polls_do_not_grow_with_the_replicas(self):
        fleet = build_fleet()
        fleet.polls.clear()
        fleet.run(10.0)
        most = len(fleet.entries) * ACTIVE_SOURCES * (10.0 / LONG_POLL_SECONDS + 1)
        assert sum(fleet.polls.values()) <= most

    def test_one_source_is_in_the_own_data_centre(self):
        fleet = build_fleet()
        for address in fleet.entries:
            active = fleet.running[address].subscriptions.active()
            assert len(active) == ACTIVE_SOURCES
            assert fleet.seeds[0] in active

    def test_instances_are_spread_over_the_replicas_of_other_data_centres(self):
        fleet = build_fleet(entries=30)
        used = collections.Counter(
            source
            for address in fleet.entries
            for source in fleet.running[address].subscriptions.active()
        )
        assert set(used) == set(fleet.seeds)

    @pytest.mark.parametrize("stopped", [0, 1])
    def test_change_is_in_force_while_a_source_is_down(self, stopped):
        fleet = build_fleet(entries=1)
        sources = fleet.running[fleet.entries[0]].subscriptions.active()
        fleet.stop(sources[stopped])
        fleet.commit(9)
        assert fleet.run_until(lambda: fleet.revisions() == [9]) < PROPAGATION_SECONDS

    def test_both_sources_are_replaced_when_they_stop(self):
        fleet = build_fleet(entries=1)
        subscriptions = fleet.running[fleet.entries[0]].subscriptions
        for source in subscriptions.active():
            fleet.stop(source)
        fleet.commit(9)
        assert fleet.run_until(lambda: fleet.revisions() == [9]) < 2.0
        fleet.run(2.0)
        usable = [
            a for a in subscriptions.active() if subscriptions.sources[a].is_usable(fleet.now)
        ]
        assert len(usable) == ACTIVE_SOURCES

    def test_sources_that_are_not_current_are_replaced(self):
        """Replicas cut off from the leader answer, but learn of no change."""
        fleet = build_fleet(entries=1)
        lagging = fleet.running[fleet.entries[0]].subscriptions.active()
        fleet.cuts = {frozenset((one, other)) for one in lagging for other in fleet.seeds}
        for address in lagging:
            fleet.running[address].current = False
        fleet.commit(9, controls=[a for a in fleet.seeds if a not in lagging])
        seconds = fleet.run_until(lambda: fleet.revisions() == [9])
        assert seconds < CURRENT_TIMEOUT_SECONDS + 2 * SOURCE_TIMEOUT_SECONDS

    def test_addresses_that_never_answer_do_not_fill_the_sources(self):
        subscriptions = Subscriptions("10.0.1.1:7000", "dc1", False, 1)
        subscriptions.set_seeds([f"10.9.0.{number}:7000" for number in range(3)], 0.0)
        answer = News(feed=1, current=True, data_centre="dc1", settled=True)
        answer.controls = [f"10.8.0.{number}:7000" for number in range(MAX_SOURCES)]
        subscriptions.handle_news("10.9.0.0:7000", answer, 0.1)
        subscriptions.choose_active(0.2)
        subscriptions.choose_active(2.0)
        subscriptions.choose_active(4.0)
        subscriptions.add_sources(["10.0.0.1:7000"], 4.0)
        assert "10.0.0.1:7000" in subscriptions.sources
        assert len(subscriptions.sources) <= MAX_SOURCES


class TestPolls:
    """The work of a replica grows with changes, not with its subscribers."""

    def test_a_poll_is_checked_only_when_something_has_changed(self, monkeypatch):
        fleet = build_fleet(entries=30)
        checks = []
        has_updates = Feed.has_updates
        monkeypatch.setattr(
            Feed, "has_updates", lambda feed, poll: checks.append(1) or has_updates(feed, poll)
        )
        fleet.polls.clear()
        fleet.run_heartbeats(8.0)
        replicas = len(fleet.seeds)
        of_replicas = replicas * (replicas - 1) * (8.0 / LONG_POLL_SECONDS + 1)
        assert len(checks) <= sum(fleet.polls.values()) + of_replicas

    def test_instances_that_ask_for_the_same_share_one_answer(self):
        """After a power loss all instances ask for the whole table at the same time."""
        fleet = build_fleet(entries=30)
        control = fleet.running[fleet.seeds[0]]
        entries = [fleet.running[address] for address in fleet.entries]
        polls = [
            entry.subscriptions.build_poll(fleet.seeds[0], entry.dissemination, 0)
            for entry in entries
        ]
        for poll in polls:
            poll.feed = poll.version = 0
        answers = [control.feed.build_news(poll, True, {}, fleet.now) for poll in polls]
        assert {id(answer) for answer in answers} == {id(answers[0])}
        assert len(answers[0].registrations) == 20


class TestDrains:
    """A drain reaches the instances of all replicas before it is acknowledged."""

    def test_drain_at_one_replica_reaches_the_instances_of_all(self):
        fleet = build_fleet(entries=30)
        control = fleet.running[fleet.seeds[5]]
        drain = build_registration(1, sequence=1000, draining=True)
        control.handle_announcement(drain, "drain", fleet.now)
        seconds = fleet.run_until(
            lambda: {fleet.usable(address) for address in fleet.entries} == {19}
        )
        assert seconds < PROPAGATION_SECONDS
        assert fleet.acknowledgements["drain"] is True

    def test_replica_that_is_cut_off_does_not_acknowledge_a_drain(self):
        """The subscribers of the other replicas would still send new flows."""
        fleet = build_fleet()
        lone = fleet.seeds[5]
        fleet.cuts = {frozenset((lone, other)) for other in fleet.seeds if other != lone}
        fleet.run_heartbeats(4.0)
        drain = build_registration(1, sequence=1000, draining=True)
        fleet.running[lone].handle_announcement(drain, "drain", fleet.now)
        fleet.run(1.0)
        assert fleet.acknowledgements["drain"] is False

    def test_replica_that_is_cut_off_does_not_apply_a_deregistration(self):
        """The upstream serves its flows until another replica acknowledges it."""
        fleet = build_fleet()
        lone = fleet.seeds[0]
        fleet.cuts = {frozenset((lone, other)) for other in fleet.seeds if other != lone}
        fleet.run_heartbeats(4.0)
        control = fleet.running[lone]
        ended = build_registration(1)
        control.deregister(ended.name, ended.incarnation, "end", fleet.now)
        fleet.run(0.5)
        assert fleet.acknowledgements["end"] is False
        assert not control.find_registrations(ended.name)[-1].leaving

    def test_drain_is_acknowledged_while_two_of_six_replicas_are_down(self):
        fleet = build_fleet()
        for address in fleet.seeds[4:]:
            fleet.stop(address)
        fleet.run_heartbeats(4.0)
        drain = build_registration(1, sequence=1000, draining=True)
        fleet.running[fleet.seeds[0]].handle_announcement(drain, "drain", fleet.now)
        fleet.run(1.0)
        assert fleet.acknowledgements["drain"] is True


class TestIdleInstance:
    """An idle instance is rarely woken; callers that wait are served as fast as before."""

    def count_wakeups(self, entry, now, seconds):
        """Return how often the timers of an entry instance are due in some seconds."""
        wakeups, end = 0, now + seconds
        while (due := entry.timers.next_due()) <= end:
            entry.run_timers(due)
            wakeups += 1
        return wakeups

    def test_timers_of_an_idle_instance_are_due_together(self):
        fleet = build_fleet(entries=1)
        entry = fleet.running[fleet.entries[0]]
        # Four periodic ticks a second, and one that may fall between two of them.
        assert self.count_wakeups(entry, fleet.now, 10.0) <= 5 * 10

    def test_held_packet_is_dropped_in_time(self):
        fleet = build_fleet(entries=1)
        entry = fleet.running[fleet.entries[0]]
        entry.cookie_router.handle_packet(build_packet(cookie=99, size=10), fleet.now)
        entry.run_timers(fleet.now)
        begun = fleet.now
        while entry.cookie_router.held:
            entry.run_timers(entry.timers.next_due())
        assert entry.now - begun <= MAX_HOLD_SECONDS + 2 * URGENT_TICK_INTERVAL_SECONDS
