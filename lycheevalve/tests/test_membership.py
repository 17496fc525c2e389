"""Membership: failure detection, refutation, pauses, partitions and graceful leave."""

import random

from lycheevalve.coordination.membership import PERIOD_SECONDS, Membership, State
from lycheevalve.schema.generated import messages
from lycheevalve.tests.fakes.network import Network

HANDLERS = {
    messages.Ping: Membership.handle_ping,
    messages.Ack: Membership.handle_ack,
    messages.PingRequest: Membership.handle_ping_request,
}
# Limit from a failure to its detection by all members, in periods of one ping each.
DETECTION_PERIODS = 40


class MembershipGroup:
    """The memberships of several instances, connected by a Network."""

    def __init__(self, count, seed=1, **network):
        self.random = random.Random(seed)
        self.network = Network(self.random, **network)
        self.now = 0.0
        self.memberships = {}
        self.down = set()
        self.changes = 0
        members = [messages.Member(f"m{n}", "dc1", "", 1, 0, 0, 0) for n in range(count)]
        for member in members:
            local_member = messages.Member(member.name, "dc1", "", 1, 0, 0, 0)
            self.memberships[member.name] = self.build_membership(local_member)
            self.memberships[member.name].merge_all(members, self.now)

    def build_membership(self, member):
        def send(name, message, sender=member.name):
            self.network.send(sender, name, message)

        return Membership(member, send, lambda now: None, random.Random(member.name))

    def run(self, periods):
        for _ in range(periods * 4):
            self.now += PERIOD_SECONDS / 4
            for name, membership in self.memberships.items():
                if name not in self.down and self.now % PERIOD_SECONDS < PERIOD_SECONDS / 4:
                    membership.tick(self.now)
            for sender, receiver, message in self.network.pop():
                if receiver not in self.down:
                    HANDLERS[type(message)](
                        self.memberships[receiver], sender, message, self.now
                    )

    def states_of(self, name):
        return {
            m.members[name].state
            for n, m in self.memberships.items()
            if n not in {*self.down, name}
        }


class TestFailureDetection:
    """Members that fail without leaving, and message loss."""

    def test_failed_member_is_detected_by_all(self):
        group = MembershipGroup(12)
        group.run(5)
        group.down.add("m3")
        group.run(DETECTION_PERIODS)
        assert group.states_of("m3") == {State.DEAD}

    def test_no_running_member_is_declared_dead_under_message_loss(self):
        group = MembershipGroup(12, loss=0.1)
        group.run(200)
        alive = {State.ALIVE, State.SUSPECT}
        assert all(group.states_of(name) <= alive for name in group.memberships)


class TestRejoin:
    """Members that resume, restart or are reachable again."""

    def test_paused_member_refutes_the_dead_state(self):
        group = MembershipGroup(6)
        group.run(5)
        group.down.add("m1")
        group.run(DETECTION_PERIODS)
        group.down.clear()
        group.run(DETECTION_PERIODS)
        assert group.states_of("m1") == {State.ALIVE}
        assert group.memberships["m1"].pauses == 1

    def test_restarted_member_replaces_its_previous_incarnation(self):
        group = MembershipGroup(4)
        group.down.add("m1")
        group.run(DETECTION_PERIODS)
        group.memberships["m1"] = group.build_membership(
            messages.Member("m1", "dc1", "", 2, 0, 0, 0)
        )
        group.memberships["m1"].merge_all(
            list(group.memberships["m0"].members.values()), group.now
        )
        group.down.clear()
        group.run(DETECTION_PERIODS)
        assert group.states_of("m1") == {State.ALIVE}

    def test_partition_heals(self):
        group = MembershipGroup(6)
        names = list(group.memberships)
        group.network.cut(names[:2], names[2:])
        group.run(DETECTION_PERIODS)
        assert State.DEAD in group.states_of("m0")
        group.network.heal()
        group.run(4 * DETECTION_PERIODS)
        assert all(group.states_of(name) == {State.ALIVE} for name in names)


class TestLeaving:
    """Members that leave gracefully."""

    def test_leaving_state_reaches_all(self):
        group = MembershipGroup(8)
        group.memberships["m2"].leave(group.now)
        group.run(20)
        assert group.states_of("m2") == {State.LEAVING}
