"""Control replicas that stop as planned, which is no evidence of a cut."""

import pytest

from lycheevalve.coordination.departures import Departures
from lycheevalve.flows.failure_evidence import record_silence
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import build_registration

# Limit for the propagation of an urgent update to all entry instances.
PROPAGATION_SECONDS = 0.2
# A restart of a replica, without the time of its graceful stop.
RESTART_SECONDS = 1.5
LIFETIME_MS = 600_000
DATA_CENTRES = ("dc1", "dc2", "dc3")


def build_cluster(data_centres=DATA_CENTRES, upstreams=3):
    """Return a cluster with one replica and some upstreams in each data centre."""
    cluster = ControlCluster(controls=len(data_centres), data_centres=data_centres)
    cluster.run(1.0)
    cluster.commit(3)
    for number, name in enumerate(data_centres):
        for upstream in range(1, upstreams + 1):
            registration = build_registration(
                10 * number + upstream, data_centre=name, lifetime_ms=LIFETIME_MS
            )
            replica = cluster.running[cluster.seeds[0]]
            replica.handle_announcement(registration, f"b{number}{upstream}", cluster.now)
    cluster.run(2.0)
    return cluster


def stop_gracefully(cluster, address):
    """Stop a control replica as at SIGTERM: it runs on for a moment."""
    cluster.running[address].leave(cluster.now)
    cluster.run(0.4)
    cluster.stop(address)


def leave_unanswered(cluster, data_centre):
    """Let callers of all entry instances repeat requests to all upstreams of a data centre."""
    sent_at = cluster.now - 0.6
    for address in cluster.entries:
        entry = cluster.running[address]
        for upstream in entry.upstreams.by_index.values():
            if upstream.registration.data_centre == data_centre:
                for copied_at in (sent_at + 0.2, cluster.now):
                    record_silence(upstream, b"flow", sent_at, copied_at, False)
                entry.cookie_router.lost.handle_silence(upstream, cluster.now)
                entry.cookie_router.retransmitted_at = cluster.now


def list_cuts(cluster):
    """Return the data centres that entry instances found cut off."""
    return [d["data_centre"] for _, name, d in cluster.events if name == "data_centre_cut"]


class TestPlannedStop:
    """
    A data centre's only replica is restarted while upstreams there are slow.

    Guards against resets of open flows on working upstreams during planned work: a replica
    that stops was a witness of a cut.
    """

    def test_is_no_cut(self):
        cluster = build_cluster()
        stop_gracefully(cluster, cluster.seeds[1])
        for _ in range(3):
            leave_unanswered(cluster, "dc2")
            cluster.run(0.6)
        assert list_cuts(cluster) == []

    def test_is_no_cut_if_it_is_announced_during_a_round_of_probes(self):
        cluster = build_cluster()
        # Its last answers to probes are lost.
        cluster.probe = lambda address, replica: None
        for address in cluster.entries:
            cluster.probed[address] = [cluster.seeds[0], cluster.seeds[2]]
        leave_unanswered(cluster, "dc2")
        cluster.running[cluster.seeds[1]].leave(cluster.now)
        cluster.run(0.6)
        assert list_cuts(cluster) == []

    def test_all_replicas_restart_in_turn(self):
        cluster = build_cluster()
        for name, address in zip(DATA_CENTRES, cluster.seeds, strict=True):
            stop_gracefully(cluster, address)
            leave_unanswered(cluster, name)
            cluster.run(RESTART_SECONDS)
            cluster.start_control(address)
            cluster.run(RESTART_SECONDS)
        assert list_cuts(cluster) == []

    def test_two_replicas_stop_at_the_same_time(self):
        cluster = build_cluster()
        for address in cluster.seeds[1:]:
            cluster.running[address].leave(cluster.now)
        cluster.run(0.4)
        for address in cluster.seeds[1:]:
            cluster.stop(address)
        leave_unanswered(cluster, "dc2")
        leave_unanswered(cluster, "dc3")
        cluster.run(0.6)
        assert list_cuts(cluster) == []

    def test_failure_without_a_word_is_still_a_witness(self):
        cluster = build_cluster()
        cluster.stop(cluster.seeds[1])
        leave_unanswered(cluster, "dc2")
        cluster.run(0.6)
        assert set(list_cuts(cluster)) == {"dc2"}

    def test_restarted_replica_is_a_witness_again(self):
        cluster = build_cluster()
        stop_gracefully(cluster, cluster.seeds[1])
        cluster.run(RESTART_SECONDS)
        cluster.start_control(cluster.seeds[1])
        cluster.run(3.0)
        cluster.stop(cluster.seeds[1])
        leave_unanswered(cluster, "dc2")
        cluster.run(0.6)
        assert set(list_cuts(cluster)) == {"dc2"}


class TestAnnouncements:
    """How entry instances learn which replicas stop."""

    @pytest.mark.parametrize("number", [0, 1, 2])
    def test_reaches_all_entry_instances_before_the_replica_has_stopped(self, number):
        cluster = build_cluster()
        address = cluster.seeds[number]
        cluster.running[address].leave(cluster.now)
        cluster.run(PROPAGATION_SECONDS)
        for entry in cluster.entries:
            assert address not in cluster.running[entry].list_replicas()
        cluster.run(0.2)
        cluster.stop(address)
        cluster.run(10.0)
        for entry in cluster.entries:
            assert address not in cluster.running[entry].list_replicas()
        cluster.start_control(address)
        cluster.run(RESTART_SECONDS)
        for entry in cluster.entries:
            assert address in cluster.running[entry].list_replicas()

    def test_later_process_at_the_address_is_not_affected(self):
        """An announcement that arrives late is about the process that sent it."""
        departures = Departures("a")
        departures.add("b", 1)
        departures.end("b", 1)
        assert departures.list_leaving() == ["b"]
        departures.end("b", 2)
        assert departures.list_leaving() == []

    def test_removed_replica_is_forgotten(self):
        departures = Departures("a", {"a": 1, "b": 1, "c": 1})
        departures.retain({"c": None})
        assert departures.list_leaving() == ["a", "c"]
        assert departures.number == 1


class TestFindings:
    """What a replica had found before it stopped is not renewed, and counts no more."""

    def test_unreachable_upstreams_of_a_replica_that_stops(self):
        cluster = build_cluster(("dc1", "dc1", "dc2"))
        entry = cluster.running[cluster.entries[0]]
        source = entry.subscriptions.sources[cluster.seeds[0]]
        source.unreachable = frozenset([entry.upstreams.by_index[1].cookie])
        entry.update_unreachable(cluster.now)
        assert entry.cookie_router.lost.unreachable_since
        source.leaving = frozenset([cluster.seeds[0]])
        entry.update_unreachable(cluster.now)
        assert not entry.cookie_router.lost.unreachable_since

    def test_instance_stays_ready_while_the_other_data_centre_restarts_its_replica(self):
        """It took its data centre for cut off, with too few upstreams, and callers moved."""
        cluster = build_cluster(("dc1", "dc2"), upstreams=1)
        for number in range(2, 9):
            registration = build_registration(
                10 + number, data_centre="dc2", lifetime_ms=LIFETIME_MS
            )
            replica = cluster.running[cluster.seeds[0]]
            replica.handle_announcement(registration, f"c{number}", cluster.now)
        cluster.run(1.0)
        stop_gracefully(cluster, cluster.seeds[1])
        for _ in range(30):
            cluster.run(0.1)
            for address in cluster.entries:
                assert not cluster.running[address].unready_reason(cluster.now)
