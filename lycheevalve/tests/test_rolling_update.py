"""Processes of the earlier version beside those of this one, during a rolling update."""

import attrs
import pytest

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS
from lycheevalve.schema.generated.messages import Poll
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import build_registration
from lycheevalve.tests.fakes.fleet import Fleet


def make_replicas_earlier(fleet, addresses):
    """Make replicas answer as those of the earlier version, which ignore `changes_only`."""
    for address in addresses:
        process = fleet.running[address]

        def handle(poll, *details, handle_poll=process.handle_poll):
            poll.changes_only = False
            handle_poll(poll, *details)

        def answer(entry, now, process=process, answer_poll=process.answer_poll):
            answer_poll(entry, now)
            reply, news = process.answers[-1]
            process.answers[-1] = (reply, attrs.evolve(news, control_data_centres=[]))

        process.handle_poll, process.answer_poll = handle, answer


def make_instance_earlier(entry):
    """Make an entry instance poll as one of the earlier version."""
    send = entry.send

    def send_earlier(name, message):
        if isinstance(message, Poll):
            message.changes_only = False
        send(name, message)

    entry.send = send_earlier


class TestRollingUpdate:
    """Processes of the earlier version, which send renewals, beside those of this one."""

    def test_earlier_instance_keeps_its_upstreams(self):
        fleet = Fleet(entries=2)
        make_instance_earlier(fleet.running[fleet.entries[0]])
        fleet.commit(3)
        fleet.run_heartbeats(12.0)
        assert [fleet.usable(address) for address in fleet.entries] == [20, 20]

    @pytest.mark.parametrize("earlier", [1, 3, 6])
    def test_instance_beside_earlier_replicas(self, earlier):
        fleet = Fleet(entries=4)
        make_replicas_earlier(fleet, fleet.seeds[:earlier])
        fleet.commit(3)
        fleet.run_heartbeats(12.0)
        assert {fleet.usable(address) for address in fleet.entries} == {20}
        fleet.numbers.remove(7)
        fleet.run_heartbeats(8.0)
        assert {fleet.usable(address) for address in fleet.entries} == {19}


class TestFindingsOfReplicas:
    """Unreachable upstreams and numbers of instances, beside processes of version 0.1.0."""

    def build_cluster(self):
        """Return a cluster whose first replica has found an upstream unreachable."""
        cluster = ControlCluster(controls=2, entries=2)
        cluster.commit(1)
        control = cluster.running[cluster.seeds[0]]
        for number in (1, 2):
            registration = build_registration(number, lifetime_ms=60_000)
            control.handle_announcement(registration, f"beat-{number}", cluster.now)
        cluster.run(4.0)
        return cluster

    def find_unreachable(self, cluster):
        """Let a replica find the first upstream unreachable."""
        upstream = cluster.running[cluster.entries[0]].upstreams.by_service["nightsync"][0]
        cluster.dark = {upstream.address}
        for address in cluster.seeds:
            cluster.running[address].request_check(upstream.cookie, cluster.now)

    def test_earlier_instance_is_not_answered_again_and_again(self):
        """An instance that ignores findings must get no more answers than without them."""
        cluster = self.build_cluster()
        entry = cluster.running[cluster.entries[0]]
        polls = []
        send = entry.send

        def send_earlier(name, message):
            if isinstance(message, Poll):
                polls.append(cluster.now)
                message.unreachable_known = 0
            send(name, message)

        entry.send = send_earlier
        self.find_unreachable(cluster)
        cluster.run(4.0)
        assert cluster.running[cluster.seeds[0]].checks.list_unreachable()
        # Two replicas answer every half second.
        assert len(polls) <= 2 * (4.0 / LONG_POLL_SECONDS) + 4

    def test_instance_beside_earlier_replicas_decides_by_itself(self):
        cluster = self.build_cluster()
        for address in cluster.seeds:
            process = cluster.running[address]

            def answer(entry, now, process=process, answer_poll=process.answer_poll):
                answer_poll(entry, now)
                reply, news = process.answers[-1]
                earlier = attrs.evolve(
                    news, near_instances=0, unreachable=None, unreachable_number=0
                )
                process.answers[-1] = (reply, earlier)

            process.answer_poll = answer
        self.find_unreachable(cluster)
        cluster.run(4.0)
        for address in cluster.entries:
            entry = cluster.running[address]
            assert entry.subscriptions.count_instances(cluster.now) == 0
            assert entry.cookie_router.lost.unreachable_since == {}
            assert entry.is_ready(cluster.now)
