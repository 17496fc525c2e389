"""Processes of the earlier version beside those of this one, during a rolling update."""

import attrs
import pytest

from lycheevalve.schema.generated.messages import Poll
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
