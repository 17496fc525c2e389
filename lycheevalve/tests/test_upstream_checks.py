"""Upstreams that fail without a word, while each instance has a few flows on them."""

from lycheevalve.coordination.upstream_checks import (
    CHECK_INTERVAL_SECONDS,
    COMPARED_UPSTREAMS,
    MAX_RUNNING_CHECKS,
    RECHECK_INTERVAL_SECONDS,
    UpstreamChecks,
)
from lycheevalve.flows.cookies import CookieTable
from lycheevalve.flows.passive_health import HEALTHY_ANSWER_SECONDS
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    OTHER_FRONT_DOOR,
    build_packet,
    build_registration,
)

LIFETIME_MS = 60_000
# On some sites, addresses are in use again before leases expire.
ADDRESS_REUSE_SECONDS = 2.0
# By then the replica has checked, and all instances have its findings.
SHARED_SECONDS = 0.1


class Replica:
    """The checks of one control replica and its upstreams."""

    def __init__(self, upstreams=3):
        self.upstreams, self.cookies = Upstreams(), CookieTable()
        for number in range(1, upstreams + 1):
            registration = build_registration(number, lifetime_ms=LIFETIME_MS)
            self.upstreams.update(registration, 0.0)
            self.cookies.add(self.find(number))
        self.checks = UpstreamChecks(self.cookies.find, self.upstreams.by_service.get)
        self.checks.accepted_at["nightsync"] = 0.0

    def find(self, number):
        """Return an upstream."""
        registration = build_registration(number)
        return self.upstreams.find(registration.address, registration.incarnation)

    def check(self, number, is_accepted, now=0.0):
        """Ask for a check of an upstream and finish it; return whether it was started."""
        cookie = self.find(number).cookie
        if not self.checks.request(cookie, now):
            return False
        self.checks.queue.clear()
        self.checks.record_result(cookie, is_accepted, now)
        return True


class TestChecks:
    """When a replica checks an upstream, and what it concludes."""

    def test_refused_connection_makes_it_unreachable(self):
        replica = Replica()
        assert replica.check(1, is_accepted=False)
        assert replica.checks.list_unreachable() == [replica.find(1).cookie]
        assert replica.checks.number == 1

    def test_connection_to_the_next_process_at_an_address_says_nothing(self):
        """Upstreams of a service that accepts none counted as unreachable; soak, seed 234."""
        replica = Replica()
        replica.checks.accepted_at.clear()
        assert replica.checks.request(replica.find(1).cookie, 0.0)
        cookie = replica.find(1).cookie
        other = build_registration(1, service="restreport", incarnation=9000)
        replica.upstreams.update(other, 0.1)
        replica.checks.record_result(cookie, True, 0.1)
        assert not replica.checks.accepts_connections("nightsync", 0.1)

    def test_connection_to_a_process_that_is_not_registered_yet_says_nothing(self):
        """The upstream had crashed, and its lease went on; soak, seed 234."""
        replica = Replica()
        replica.checks.address_reuse_seconds = ADDRESS_REUSE_SECONDS
        replica.checks.accepted_at.clear()
        cookie = replica.find(1).cookie
        replica.checks.record_result(cookie, True, ADDRESS_REUSE_SECONDS + 0.1)
        assert not replica.checks.accepts_connections("nightsync", ADDRESS_REUSE_SECONDS + 0.1)

    def test_connection_to_an_upstream_that_has_just_announced_itself_counts(self):
        replica = Replica()
        replica.checks.address_reuse_seconds = ADDRESS_REUSE_SECONDS
        replica.checks.accepted_at.clear()
        replica.checks.record_result(replica.find(1).cookie, True, 0.1)
        assert replica.checks.accepts_connections("nightsync", 0.1)

    def test_next_process_at_an_address_does_not_end_a_failure(self):
        """Callers went on to be sent to the upstream that had crashed."""
        replica = Replica()
        replica.checks.address_reuse_seconds = ADDRESS_REUSE_SECONDS
        replica.check(1, is_accepted=False, now=ADDRESS_REUSE_SECONDS)
        cookie = replica.find(1).cookie
        replica.checks.record_result(cookie, True, ADDRESS_REUSE_SECONDS + 0.1)
        assert replica.checks.list_unreachable() == [cookie]

    def test_accepted_connection_changes_nothing(self):
        replica = Replica()
        assert replica.check(1, is_accepted=True)
        assert replica.checks.list_unreachable() == []
        assert replica.checks.number == 0

    def test_many_instances_cause_one_check(self):
        replica = Replica()
        cookie = replica.find(1).cookie
        assert replica.checks.request(cookie, 0.0)
        assert not replica.checks.request(cookie, 0.01)
        replica.checks.record_result(cookie, True, 0.05)
        assert not replica.checks.request(cookie, 0.9 * CHECK_INTERVAL_SECONDS)
        assert replica.checks.request(cookie, CHECK_INTERVAL_SECONDS)

    def test_running_checks_are_bounded(self):
        replica = Replica(upstreams=MAX_RUNNING_CHECKS + 5)
        for number in range(1, MAX_RUNNING_CHECKS + 6):
            replica.checks.request(replica.find(number).cookie, 0.0)
        assert len(replica.checks.queue) == MAX_RUNNING_CHECKS

    def test_inconclusive_check_changes_nothing(self):
        # The replica was paused during the check.
        replica = Replica()
        assert replica.check(1, is_accepted=None)
        assert replica.checks.list_unreachable() == []
        assert replica.check(1, is_accepted=False, now=CHECK_INTERVAL_SECONDS)
        assert replica.checks.list_unreachable() == [replica.find(1).cookie]

    def test_unknown_upstream_is_not_checked(self):
        assert not Replica().checks.request(12345, 0.0)

    def test_unreachable_upstream_is_checked_again_until_it_accepts(self):
        replica = Replica()
        replica.check(1, is_accepted=False)
        replica.checks.tick((), RECHECK_INTERVAL_SECONDS)
        [(cookie, address)] = replica.checks.queue
        assert address == replica.find(1).address
        replica.checks.record_result(cookie, True, RECHECK_INTERVAL_SECONDS)
        assert replica.checks.list_unreachable() == []
        assert replica.checks.number == 2
        replica.checks.queue.clear()
        replica.checks.tick((), 10 * RECHECK_INTERVAL_SECONDS)
        assert replica.checks.queue == []

    def test_ended_upstream_is_forgotten(self):
        replica = Replica()
        replica.check(1, is_accepted=False)
        replica.find(1).replaced = True
        replica.checks.tick((), 0.1)
        assert replica.checks.list_unreachable() == []
        assert not replica.check(1, is_accepted=False, now=1.0)

    def test_findings_of_another_replica_are_passed_to_instances_only(self):
        # Otherwise two replicas would confirm each other's findings for ever.
        replica = Replica()
        replica.checks.adopt("r2", [7])
        assert replica.checks.list_unreachable() == [7]
        assert replica.checks.list_found() == []
        replica.checks.adopt("r2", [])
        assert replica.checks.list_unreachable() == []

    def test_findings_of_a_lost_replica_are_discarded(self):
        replica = Replica()
        replica.checks.adopt("r2", [7])
        replica.checks.tick(("r3",), 0.1)
        assert replica.checks.list_unreachable() == []


class TestServiceWithoutConnections:
    """A service whose upstreams answer callers, but accept no connections."""

    def build(self):
        """Return a replica that does not know whether the service accepts connections."""
        replica = Replica(upstreams=6)
        replica.checks.accepted_at.clear()
        return replica

    def finish(self, replica, accepting, now):
        """Finish all checks; upstreams with the numbers in `accepting` accept connections."""
        queued, replica.checks.queue[:] = list(replica.checks.queue), []
        cookies = {replica.find(number).cookie for number in accepting}
        for cookie, _ in queued:
            replica.checks.record_result(cookie, cookie in cookies, now)
        return len(queued)

    def test_failed_checks_prove_nothing(self):
        replica = self.build()
        for second in range(5):
            replica.checks.request(replica.find(1).cookie, float(second))
            self.finish(replica, (), second + 0.1)
            replica.checks.tick((), second + 0.2)
        assert replica.checks.list_unreachable() == []
        assert replica.checks.number == 0

    def test_another_upstream_that_accepts_confirms_the_failure(self):
        replica = self.build()
        replica.checks.request(replica.find(1).cookie, 0.0)
        assert self.finish(replica, (2, 3, 4, 5, 6), 0.1) == 1 + COMPARED_UPSTREAMS
        assert replica.checks.list_unreachable() == [replica.find(1).cookie]

    def test_others_are_compared_once_in_a_while(self):
        replica = self.build()
        replica.checks.request(replica.find(1).cookie, 0.0)
        self.finish(replica, range(1, 7), 0.1)
        replica.checks.request(replica.find(2).cookie, 10.0)
        assert self.finish(replica, range(1, 7), 10.1) == 1

    def test_other_services_prove_nothing(self):
        replica = self.build()
        replica.checks.accepted_at["restreport"] = 0.0
        replica.checks.request(replica.find(1).cookie, 0.0)
        self.finish(replica, (), 0.1)
        assert replica.checks.list_unreachable() == []


class TestDataCentre:
    """Silent upstreams in a data centre with several replicas and instances."""

    def build_cluster(self):
        """Return a cluster with two near replicas, a distant one and four instances."""
        cluster = ControlCluster(3, 4, data_centres=("dc1", "dc1", "dc2"))
        cluster.commit(1)
        cluster.run(2.0)
        for number in (1, 2):
            registration = build_registration(number, lifetime_ms=LIFETIME_MS)
            control = cluster.running[cluster.seeds[0]]
            control.handle_announcement(registration, f"beat-{number}", cluster.now)
            registration = build_registration(number + 2, "restreport", lifetime_ms=LIFETIME_MS)
            control.handle_announcement(registration, f"beat-{number + 2}", cluster.now)
        cluster.run(4.0)
        return cluster

    def find(self, cluster, entry, number):
        """Return an upstream at an instance."""
        registration = build_registration(number)
        upstreams = cluster.running[entry].upstreams
        return upstreams.find(registration.address, registration.incarnation)

    def open_idle_flow(self, cluster, entry, key, front_door, number):
        """Let an instance see a flow whose request has been answered."""
        upstream, logic = self.find(cluster, entry, number), cluster.running[entry]
        for values in (
            {"acknowledged": 1},
            {"size": 50},
            {"sequence": 50, "acknowledged": 90},
        ):
            packet = build_packet(key, front_door, cookie=upstream.cookie, **values)
            logic.handle_packet(packet, cluster.now)
            cluster.now += 0.01

    def repeat(self, cluster, entry, number, key=b"repeating"):
        """Let the caller of an instance repeat a request that has no answer."""
        for _ in range(2):
            self.request(cluster, entry, number, key)
            cluster.run(0.2)

    def request(self, cluster, entry, number, key=b"repeating"):
        """Let a caller send a request, or the same one again."""
        upstream, logic = self.find(cluster, entry, number), cluster.running[entry]
        packet = build_packet(key, FRONT_DOOR, cookie=upstream.cookie, size=50)
        logic.handle_packet(packet, cluster.now)

    def resets(self, cluster):
        """Return the flows that were reset."""
        return {packet.flow_key for upstream, packet in cluster.sent if upstream is None}

    def test_first_copy_at_one_instance_resets_idle_flows_of_all(self):
        cluster = self.build_cluster()
        for entry in cluster.entries:
            self.open_idle_flow(cluster, entry, entry.encode(), FRONT_DOOR, 1)
            self.open_idle_flow(cluster, entry, b"other" + entry.encode(), FRONT_DOOR, 2)
        cluster.dark = {self.find(cluster, cluster.entries[0], 1).address}
        self.repeat(cluster, cluster.entries[0], 1)
        cluster.run(SHARED_SECONDS)
        expected = {entry.encode() for entry in cluster.entries}
        assert self.resets(cluster) - {b"repeating"} == expected

    def test_idle_flows_of_requests_that_are_not_idempotent_are_reset_too(self):
        cluster = self.build_cluster()
        entry = cluster.entries[1]
        self.open_idle_flow(cluster, entry, b"idle", OTHER_FRONT_DOOR, 3)
        cluster.run(0.1)
        cluster.dark = {self.find(cluster, entry, 3).address}
        self.repeat(cluster, cluster.entries[0], 3)
        cluster.run(SHARED_SECONDS)
        assert b"idle" in self.resets(cluster)

    def test_slow_upstream_accepts_connections_and_keeps_its_flows(self):
        cluster = self.build_cluster()
        self.open_idle_flow(cluster, cluster.entries[1], b"idle", FRONT_DOOR, 1)
        self.repeat(cluster, cluster.entries[0], 1)
        cluster.run(SHARED_SECONDS)
        assert self.resets(cluster) == set()

    def test_instance_that_gets_answers_keeps_its_flows(self):
        # The replica alone is cut off from the upstream.
        cluster = self.build_cluster()
        entry = cluster.entries[1]
        self.open_idle_flow(cluster, entry, b"idle", FRONT_DOOR, 1)
        cluster.dark = {self.find(cluster, entry, 1).address}
        self.request(cluster, cluster.entries[0], 1)
        cluster.run(0.15)
        self.open_idle_flow(cluster, entry, b"answered", FRONT_DOOR, 1)
        self.request(cluster, cluster.entries[0], 1)
        cluster.run(1.0)
        assert cluster.running[entry].cookie_router.lost.unreachable_since
        assert self.resets(cluster) <= {b"repeating"}

    def test_answers_before_the_failure_do_not_spare_it_for_long(self):
        cluster = self.build_cluster()
        entry = cluster.entries[1]
        self.request(cluster, cluster.entries[0], 1)
        cluster.run(0.15)
        self.open_idle_flow(cluster, entry, b"idle", FRONT_DOOR, 1)
        cluster.dark = {self.find(cluster, entry, 1).address}
        self.request(cluster, cluster.entries[0], 1)
        cluster.run(0.5)
        assert b"idle" not in self.resets(cluster)
        cluster.run(HEALTHY_ANSWER_SECONDS)
        assert b"idle" in self.resets(cluster)

    def test_new_flows_avoid_it_until_it_accepts_connections(self):
        cluster = self.build_cluster()
        entry = cluster.entries[3]
        logic, silent = cluster.running[entry], self.find(cluster, entry, 1)
        cluster.dark = {silent.address}
        self.repeat(cluster, cluster.entries[0], 1)
        cluster.run(SHARED_SECONDS)
        before = len(cluster.sent)
        for number in range(8):
            logic.handle_packet(build_packet(b"n%d" % number, opens=True), cluster.now)
        assert silent not in [upstream for upstream, _ in cluster.sent[before:]]
        cluster.dark = set()
        cluster.run(RECHECK_INTERVAL_SECONDS + 1.0)
        assert not logic.cookie_router.lost.is_lost(silent, cluster.now)

    def test_other_data_centres_judge_for_themselves(self):
        cluster = self.build_cluster()
        distant = cluster.running[cluster.seeds[2]]
        cookie = self.find(cluster, cluster.entries[0], 1).cookie
        cluster.dark = {self.find(cluster, cluster.entries[0], 1).address}
        distant.request_check(cookie, cluster.now)
        cluster.run(1.0)
        assert distant.checks.list_unreachable() == [cookie]
        for address in cluster.seeds[:2]:
            assert cluster.running[address].checks.list_unreachable() == []
        for address in cluster.entries:
            assert cluster.running[address].cookie_router.lost.unreachable_since == {}

    def test_findings_end_with_the_replica(self):
        cluster = self.build_cluster()
        entry = cluster.entries[0]
        cluster.dark = {self.find(cluster, entry, 1).address}
        self.repeat(cluster, entry, 1)
        assert cluster.running[entry].cookie_router.lost.unreachable_since
        for address in cluster.seeds[:2]:
            cluster.stop(address)
        cluster.run(3.0)
        assert cluster.running[entry].cookie_router.lost.unreachable_since == {}
