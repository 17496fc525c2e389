"""The disks of the replicas are full one after another, while changes are proposed."""

import itertools
import random

import pytest

from lycheevalve.coordination.configuration import Outcome
from lycheevalve.tests.fakes.documents import FOUNDING_MEMBERS
from lycheevalve.tests.fakes.replicas import STEP_SECONDS, ReplicaCluster, build_document

# A change is accepted everywhere within this time after the last disk has space again.
RECOVERY_SECONDS = 5.0
PROPOSAL_INTERVAL_STEPS = 6


def pick_leader(replicas, number):
    """Return the leader, or any replica if there is none."""
    return next(iter(replicas.leaders()), replicas.names[0])


def pick_follower(replicas, number):
    """Return a member that does not lead."""
    leader = pick_leader(replicas, number)
    members = replicas.running[leader].members if leader in replicas.running else []
    others = [name for name in members or replicas.names if name != leader]
    return others[number % len(others)]


def pick_in_turn(replicas, number):
    """Return one replica after another, members and spares."""
    return replicas.names[number % len(replicas.names)]


PICKS = (pick_leader, pick_follower, pick_in_turn)


class FullDisks:
    """A cluster to which configurations are proposed; `accepted` holds their revisions."""

    def __init__(self, count, seed, **network):
        self.random = random.Random(seed)
        self.replicas = ReplicaCluster(count, self.random, FOUNDING_MEMBERS, 3, **network)
        assert self.replicas.run_until(self.replicas.leaders)
        self.revision = 0
        self.accepted = 0
        self.seen = 0

    def propose(self):
        """Propose the next configuration at all replicas that lead."""
        self.revision += 1
        for name in self.replicas.leaders():
            if name in self.replicas.running:
                self.replicas.propose(name, build_document(self.revision))

    def run(self, seconds):
        """Run for some time, with proposals throughout."""
        for number in range(round(seconds / STEP_SECONDS)):
            if number % PROPOSAL_INTERVAL_STEPS == 0:
                self.propose()
            self.replicas.step()
            for _, result in self.replicas.results[self.seen :]:
                if result.outcome == Outcome.ACCEPTED:
                    self.accepted = max(self.accepted, result.revision)
            self.seen = len(self.replicas.results)

    def fill(self, name, seconds):
        """Let the disk of a replica be full for some time."""
        self.replicas.disks[name].full = True
        self.run(seconds)
        self.replicas.disks[name].full = False

    def held(self):
        """Return the revision that each replica holds."""
        return {
            name: replica.state_machine.configuration.revision
            for name, replica in self.replicas.running.items()
        }

    def check_recovery(self):
        """Check that all replicas accept a change in time, and that none was lost."""
        accepted = self.accepted
        self.run(RECOVERY_SECONDS - 1.0)
        proposed = self.revision
        self.run(1.0)
        assert self.accepted >= proposed
        assert set(self.held()) == set(self.replicas.names)
        assert min(self.held().values()) >= proposed > accepted
        members = {tuple(r.members) for r in self.replicas.running.values()}
        assert len(members) == 1


class TestOneAfterAnother:
    """
    Changes are accepted again after the last disk has space, in each order of the disks.

    Other systems refused changes to the end of the day, while all processes ran.
    """

    @pytest.mark.parametrize("count", [3, 4, 5, 6, 8])
    @pytest.mark.parametrize(
        "order", list(itertools.product(PICKS, repeat=2)), ids=lambda order: order[0].__name__
    )
    def test_changes_are_accepted_after_the_last_disk_has_space(self, count, order):
        for seed in range(2):
            disks = FullDisks(count, seed)
            for number, pick in enumerate(order * 2):
                # Members that are unresponsive for 4 s are replaced by a spare.
                disks.fill(pick(disks.replicas, number), disks.random.choice([1.0, 3.9, 6.0]))
                disks.run(disks.random.choice([0.0, 0.6, 2.0]))
            disks.check_recovery()

    @pytest.mark.parametrize("seed", range(10))
    def test_changes_are_accepted_after_losses_and_repetitions_of_messages(self, seed):
        disks = FullDisks(4 + seed % 3, seed, loss=0.05, duplication=0.2)
        for number in range(4):
            pick = disks.random.choice(PICKS)
            disks.fill(pick(disks.replicas, number), disks.random.uniform(0.5, 7.0))
            disks.run(disks.random.choice([0.0, 0.6, 2.0]))
        disks.replicas.network.loss = 0.0
        disks.check_recovery()

    def test_changes_are_accepted_while_one_disk_is_full(self):
        for seed, pick in itertools.product(range(4), PICKS):
            disks = FullDisks(4, seed)
            name = pick(disks.replicas, seed)
            disks.replicas.disks[name].full = True
            disks.run(RECOVERY_SECONDS)
            proposed = disks.revision
            disks.run(1.0)
            assert disks.accepted >= proposed
