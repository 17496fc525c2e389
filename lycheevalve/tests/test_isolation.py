"""Readiness of entry instances whose data centre is cut off from the others."""

import pytest

from lycheevalve.coordination.feeds import SETTLE_SECONDS
from lycheevalve.coordination.subscriptions import SOURCE_TIMEOUT_SECONDS
from lycheevalve.flows.isolation import (
    REACHABLE_ANSWER_SECONDS,
    UNREACHABLE_RETENTION_SECONDS,
    has_local_capacity,
    reaches_other_data_centres,
)
from lycheevalve.flows.passive_health import UNRESPONSIVE_RETRANSMISSIONS
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import LIFETIME_MS, build_registration

SERVICE = "nightsync"


def build_upstreams(own, others, now=0.0):
    """Return `own` upstreams in dc1 and one in each of `others` other data centres."""
    upstreams = Upstreams()
    data_centres = ["dc1"] * own + [f"dc{number + 2}" for number in range(others)]
    for number, name in enumerate(data_centres, start=1):
        upstreams.update(build_registration(number, SERVICE, data_centre=name), now)
    return upstreams


def has_enough_capacity(upstreams, now=1.0):
    """Return whether dc1 has enough local capacity."""
    return has_local_capacity(upstreams, "dc1", {SERVICE}, now)


class TestLocalCapacity:
    """The capacity of one data centre's upstreams."""

    @pytest.mark.parametrize(
        ("own", "others", "enough"), [(1, 3, True), (2, 1, True), (0, 3, False)]
    )
    def test_capacity_is_counted_in_slots(self, own, others, enough):
        assert has_enough_capacity(build_upstreams(own, others)) is enough

    def test_one_of_seven_in_four_data_centres_is_too_little(self):
        upstreams = build_upstreams(1, 3)
        for number, name in ((11, "dc2"), (12, "dc3"), (13, "dc4")):
            upstreams.update(build_registration(number, SERVICE, data_centre=name), 0.0)
        assert not has_enough_capacity(upstreams)

    def test_unresponsive_upstreams_do_not_count(self):
        upstreams = build_upstreams(1, 3)
        own = next(iter(upstreams.by_index.values()))
        own.unanswered = UNRESPONSIVE_RETRANSMISSIONS
        assert not has_enough_capacity(upstreams)

    def test_unreachable_upstreams_count_for_a_while(self):
        """Otherwise the local share would grow as leases expire during a partition."""
        upstreams = build_upstreams(1, 0)
        for number in range(11, 15):
            upstreams.update(build_registration(number, SERVICE, data_centre="dc2"), 0.0)
        late = LIFETIME_MS / 1000 + 1.0
        upstreams.update(build_registration(1, SERVICE, sequence=2), late)
        assert not has_enough_capacity(upstreams, late)
        later = late + UNREACHABLE_RETENTION_SECONDS
        upstreams.update(build_registration(1, SERVICE, sequence=3), later)
        assert has_enough_capacity(upstreams, later)

    def test_draining_upstreams_do_not_count(self):
        upstreams = build_upstreams(1, 0)
        for number in range(11, 15):
            values = {"data_centre": "dc2", "draining": True}
            upstreams.update(build_registration(number, SERVICE, **values), 0.0)
        assert has_enough_capacity(upstreams)


class TestReachability:
    """Whether upstreams of other data centres answer."""

    def test_recent_answers_make_a_data_centre_reachable(self):
        upstreams = build_upstreams(1, 1)
        for upstream in upstreams.by_index.values():
            upstream.answered_at = 5.0
        assert reaches_other_data_centres(upstreams, "dc1", 5.0 + REACHABLE_ANSWER_SECONDS / 2)
        assert not reaches_other_data_centres(
            upstreams, "dc1", 5.0 + REACHABLE_ANSWER_SECONDS * 2
        )

    def test_local_answers_do_not_count(self):
        upstreams = build_upstreams(2, 0)
        for upstream in upstreams.by_index.values():
            upstream.answered_at = 5.0
        assert not reaches_other_data_centres(upstreams, "dc1", 5.0)


def build_cluster(own, others):
    """Return a cluster of two data centres, and its entry instance, which is ready."""
    cluster = ControlCluster(controls=2, entries=1, data_centres=("dc1", "dc2"))
    cluster.commit(3, routes=(0,))
    for number in range(own):
        announce(cluster, cluster.seeds[0], number + 1, "dc1", 1)
    for number in range(others):
        announce(cluster, cluster.seeds[1], number + 101, "dc2", 1)
    cluster.run(SETTLE_SECONDS + 1.0)
    entry = cluster.running[cluster.entries[0]]
    assert entry.is_ready(cluster.now)
    return cluster, entry


def announce(cluster, control, number, data_centre, sequence):
    """Announce an upstream to a control replica, with a lease of 60 seconds."""
    registration = build_registration(
        number, SERVICE, data_centre=data_centre, sequence=sequence, lifetime_ms=60_000
    )
    cluster.running[control].handle_announcement(registration, "beat", cluster.now)


def partition(cluster):
    """Cut off the second data centre, and run until instances have detected it."""
    near = [cluster.seeds[0], *cluster.entries]
    cluster.cuts = {frozenset((name, cluster.seeds[1])) for name in near}
    cluster.run(SOURCE_TIMEOUT_SECONDS + 0.5)


def observe_answers(entry, now, in_flight):
    """Let an instance see the answers of `in_flight` requests of its callers at a time."""
    for number in range(200):
        at = now - 2.0 + number * 0.01
        entry.cookie_router.locality.record_answer(SERVICE, in_flight * 0.01, at)


class TestReadinessDuringPartition:
    """An instance without enough reachable upstreams must report that it is not ready."""

    def test_too_few_upstreams(self):
        cluster, entry = build_cluster(1, 3)
        partition(cluster)
        assert not entry.is_ready(cluster.now)
        cluster.cuts.clear()
        cluster.run(2.0)
        assert entry.is_ready(cluster.now)

    def test_enough_upstreams(self):
        cluster, entry = build_cluster(2, 2)
        partition(cluster)
        assert entry.is_ready(cluster.now)

    @pytest.mark.parametrize(("in_flight", "is_ready"), [(0.2, True), (1.5, False)])
    def test_few_upstreams_with_room_for_the_callers(self, in_flight, is_ready):
        """
        A partition beside an evacuation: the flows on the near upstreams are sound.

        lmwu-sleeplog-now-grown, small twin of trouble-2: the instances left the rotation,
        and callers' packets went to others, which could not reach the upstreams.
        """
        cluster, entry = build_cluster(1, 3)
        partition(cluster)
        for address in cluster.entries:
            observe_answers(cluster.running[address], cluster.now, in_flight)
        assert entry.is_ready(cluster.now) is is_ready

    def test_unreachable_replicas_alone_are_not_a_partition(self):
        """The other data centre's replicas have stopped, but its upstreams still answer."""
        cluster, entry = build_cluster(1, 3)
        cluster.stop(cluster.seeds[1])
        for _ in range(20):
            for upstream in entry.upstreams.by_index.values():
                upstream.answered_at = cluster.now
            cluster.run(0.1)
            assert entry.is_ready(cluster.now)

    def test_stopped_local_replicas_are_not_a_partition(self):
        cluster, entry = build_cluster(1, 3)
        cluster.stop(cluster.seeds[0])
        cluster.run(SOURCE_TIMEOUT_SECONDS + 0.5)
        assert entry.is_ready(cluster.now)
