"""Membership: joins, deaths, refutations, freezes."""

import random

from lycheevalve.coordination.membership import PERIOD_SECONDS, Membership, State
from lycheevalve.schema.generated import messages
from lycheevalve.tests.fakes.network import Network

HANDLERS = {
    messages.Ping: Membership.handle_ping,
    messages.Ack: Membership.handle_ack,
    messages.PingRequest: Membership.handle_ping_request,
}
# From the death to its detection by all, in periods of one ping each.
DETECTION_PERIODS = 40


class Group:
    """Memberships joined by a Network."""

    def __init__(self, count, seed=1, **network):
        self.random = random.Random(seed)
        self.network = Network(self.random, **network)
        self.now = 0.0
        self.all = {}
        self.down = set()
        self.changes = 0
        members = [messages.Member(f"m{n}", "dc1", "", 1, 0, 0, 0) for n in range(count)]
        for member in members:
            mine = messages.Member(member.name, "dc1", "", 1, 0, 0, 0)
            self.all[member.name] = self.build(mine)
            self.all[member.name].merge_all(members, self.now)

    def build(self, member):
        def send(name, message, sender=member.name):
            self.network.send(sender, name, message)

        return Membership(member, send, lambda now: None, random.Random(member.name))

    def run(self, periods):
        for _ in range(periods * 4):
            self.now += PERIOD_SECONDS / 4
            for name, membership in self.all.items():
                if name not in self.down and self.now % PERIOD_SECONDS < PERIOD_SECONDS / 4:
                    membership.tick(self.now)
            for sender, receiver, message in self.network.take():
                if receiver not in self.down:
                    HANDLERS[type(message)](self.all[receiver], sender, message, self.now)

    def states_of(self, name):
        return {
            m.members[name].state for n, m in self.all.items() if n not in {*self.down, name}
        }


class TestDeath:
    """Members that are killed."""

    def test_is_found_by_all(self):
        group = Group(12)
        group.run(5)
        group.down.add("m3")
        group.run(DETECTION_PERIODS)
        assert group.states_of("m3") == {State.DEAD}

    def test_nobody_else_is_declared_dead_under_loss(self):
        group = Group(12, loss=0.1)
        group.run(200)
        alive = {State.ALIVE, State.SUSPECT}
        assert all(group.states_of(name) <= alive for name in group.all)


class TestReturn:
    """Members that come back."""

    def test_frozen_member_refutes_its_death(self):
        group = Group(6)
        group.run(5)
        group.down.add("m1")
        group.run(DETECTION_PERIODS)
        group.down.clear()
        group.run(DETECTION_PERIODS)
        assert group.states_of("m1") == {State.ALIVE}
        assert group.all["m1"].pauses == 1

    def test_restarted_member_replaces_its_old_incarnation(self):
        group = Group(4)
        group.down.add("m1")
        group.run(DETECTION_PERIODS)
        group.all["m1"] = group.build(messages.Member("m1", "dc1", "", 2, 0, 0, 0))
        group.all["m1"].merge_all(list(group.all["m0"].members.values()), group.now)
        group.down.clear()
        group.run(DETECTION_PERIODS)
        assert group.states_of("m1") == {State.ALIVE}

    def test_cut_is_healed(self):
        group = Group(6)
        names = list(group.all)
        group.network.cut(names[:2], names[2:])
        group.run(DETECTION_PERIODS)
        assert State.DEAD in group.states_of("m0")
        group.network.heal()
        group.run(4 * DETECTION_PERIODS)
        assert all(group.states_of(name) == {State.ALIVE} for name in names)


class TestLeaving:
    """Members that leave gracefully."""

    def test_is_known_to_all_as_leaving(self):
        group = Group(8)
        group.all["m2"].leave(group.now)
        group.run(20)
        assert group.states_of("m2") == {State.LEAVING}
