"""Long flows, mostly idle, in a site of several data centres: which of them stay near."""

import pytest

from lycheevalve.flows.locality import Locality
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import FakeEntry, build_packet, build_registration

SERVICE = "nightsync"
UPSTREAMS_EACH = 4
SLOTS = 2
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
INSTANCES = 16


def build_registrations():
    """Return the registrations of four upstreams in each of four data centres."""
    return [
        build_registration(
            number,
            SERVICE,
            data_centre=DATA_CENTRES[(number - 1) // UPSTREAMS_EACH],
            lifetime_ms=60_000,
            slots=SLOTS,
        )
        for number in range(1, UPSTREAMS_EACH * len(DATA_CENTRES) + 1)
    ]


def build_upstreams():
    """Return the upstreams of the whole site."""
    upstreams = Upstreams()
    for registration in build_registrations():
        upstreams.update(registration, 0.0)
    return list(upstreams.by_index.values())


def observe_answers(locality, in_flight, seconds=0.01, until=4.0):
    """Record answers so that `in_flight` requests of this instance are in flight."""
    interval = seconds / in_flight
    for number in range(int(until / interval)):
        locality.record_answer(SERVICE, seconds, number * interval)


def select(locality, instances=INSTANCES, now=4.0):
    """Return the data centres of the upstreams selected."""
    selected = locality.select_near(build_upstreams(), instances, now)
    return {upstream.registration.data_centre for upstream in selected}


class TestOccupiedSlots:
    """How many slots the requests of an instance occupy."""

    @pytest.mark.parametrize("until", [2.0, 4.0, 40.0])
    def test_mean_is_that_of_the_load_from_the_start(self, until):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=2.0, until=until)
        assert locality.count_occupied(SERVICE, until) == pytest.approx(2.0, rel=0.1)

    def test_time_on_the_way_occupies_no_slot(self):
        locality = Locality("dc1")
        locality.record_round_trip(0.005)
        observe_answers(locality, in_flight=2.0)
        assert locality.count_occupied(SERVICE, 4.0) == pytest.approx(1.0, rel=0.1)

    def test_a_short_time_says_nothing(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=2.0, until=0.5)
        assert locality.count_occupied(SERVICE, 0.5) is None

    def test_services_without_answers_occupy_nothing(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=2.0)
        assert locality.count_occupied("restreport", 4.0) == 0.0

    def test_old_answers_lose_their_weight(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=2.0)
        assert locality.count_occupied(SERVICE, 30.0) < 0.01


class TestSelection:
    """Whether flows stay near, by the occupancy of the near slots."""

    def test_low_occupancy_keeps_flows_near(self):
        locality = Locality("dc1")
        # 16 instances with 0.1 requests in flight occupy 1.6 of 8 slots.
        observe_answers(locality, in_flight=0.1)
        assert select(locality) == {"dc1"}

    def test_high_occupancy_spreads_flows(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=0.3)
        assert select(locality) == set(DATA_CENTRES)

    def test_one_instance_may_have_more_in_flight(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=3.0)
        assert select(locality, instances=1) == {"dc1"}
        assert select(locality, instances=2) == set(DATA_CENTRES)

    def test_without_evidence_flows_spread(self):
        assert select(Locality("dc1")) == set(DATA_CENTRES)
        locality = Locality("dc1")
        observe_answers(locality, in_flight=0.1)
        assert select(locality, instances=0) == set(DATA_CENTRES)

    def test_without_near_upstreams_flows_spread(self):
        locality = Locality("dc9")
        observe_answers(locality, in_flight=0.1)
        assert select(locality) == set(DATA_CENTRES)

    @pytest.mark.parametrize(("count", "stays"), [(1, False), (2, False), (3, True)])
    def test_few_near_upstreams_spread_flows(self, count, stays):
        # One of them may answer health checks well and fail all its requests.
        locality = Locality("dc1")
        observe_answers(locality, in_flight=0.01)
        upstreams = build_upstreams()
        candidates = [*upstreams[:count], *upstreams[UPSTREAMS_EACH:]]
        selected = locality.select_near(candidates, INSTANCES, 4.0)
        assert selected == (upstreams[:count] if stays else candidates)

    def test_cold_upstreams_count_in_part(self):
        locality = Locality("dc1")
        observe_answers(locality, in_flight=0.2)
        upstreams = build_upstreams()
        assert len(locality.select_near(upstreams, INSTANCES, 4.0)) == UPSTREAMS_EACH
        for upstream in upstreams:
            upstream.registration.warm_up_ms = 100_000
        assert len(locality.select_near(upstreams, INSTANCES, 4.0)) == len(upstreams)


class TestLongFlows:
    """Flows that an instance places, each idle nearly always."""

    def place_flows(self, count):
        """Return the data centres of flows opened while few requests are in flight."""
        entry = FakeEntry()
        router = entry.cookie_router
        router.choice.data_centre = router.locality.data_centre = "dc1"
        router.choice.count_instances = lambda now: INSTANCES
        entry.update_upstreams(*build_registrations())
        entry.configure()
        observe_answers(router.locality, in_flight=0.05)
        placed = []
        for number in range(count):
            packet = build_packet(b"flow-%d" % number, opens=True)
            upstream, _, _ = entry.handle(packet, 4.0 + number * 0.01)
            placed.append(upstream)
        return placed

    def test_idle_flows_do_not_push_new_ones_into_other_data_centres(self):
        placed = self.place_flows(count=40)
        assert {upstream.registration.data_centre for upstream in placed} == {"dc1"}

    def test_near_upstreams_get_equal_numbers(self):
        placed = self.place_flows(count=40)
        counts = [placed.count(upstream) for upstream in set(placed)]
        assert counts == [10] * UPSTREAMS_EACH


class TestNumberOfInstances:
    """How many instances a data centre has, as its replicas count their subscribers."""

    def build_cluster(self):
        """Return a cluster of four instances whose data centre has two of three replicas."""
        cluster = ControlCluster(3, 4, data_centres=("dc1", "dc1", "dc2"))
        cluster.commit(1)
        cluster.run(6.0)
        return cluster

    def count(self, cluster):
        """Return the number of instances as each instance knows it."""
        running = [cluster.running[a] for a in cluster.entries if a in cluster.running]
        return [entry.subscriptions.count_instances(cluster.now) for entry in running]

    def test_each_instance_counts_once(self):
        assert self.count(self.build_cluster()) == [4, 4, 4, 4]

    def test_instances_that_stop_are_not_counted(self):
        cluster = self.build_cluster()
        cluster.stop(cluster.entries[0])
        cluster.run(4.0)
        assert self.count(cluster) == [3, 3, 3]

    def test_unknown_without_a_replica_nearby(self):
        cluster = self.build_cluster()
        for address in cluster.seeds[:2]:
            cluster.stop(address)
        cluster.run(4.0)
        assert self.count(cluster) == [0, 0, 0, 0]
