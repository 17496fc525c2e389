"""The replicated log under crashes, partitions, pauses, lost disks and concurrent changes."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from lycheevalve.coordination import consensus
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.replica import Progress, Role
from lycheevalve.schema.generated.messages import (
    Appended,
    Install,
    Snapshot,
    Vote,
    VoteRequest,
)
from lycheevalve.tests.fakes.faults import ReplicaFaults
from lycheevalve.tests.fakes.replicas import ReplicaCluster, build_change


class AcceptedConfiguration(ReplicaFaults):
    """
    Each revision is assigned to one change, and each change id has one result, permanently.

    Linearizability: the result of a change that was proposed after another one was
    accepted has at least the revision of that one.
    """

    def __init__(self):
        super().__init__()
        self.answers = {}
        self.winners = {}
        self.changes = {}
        self.number = 0
        self.newest_at_invocation = {}
        self.newest = 0
        self.seen_results = 0

    @precondition(lambda self: self.replicas is None)
    @rule(
        seed=st.integers(0, 2**32),
        count=st.sampled_from([3, 3, 5]),
        loss=st.sampled_from([0.0, 0.1]),
        duplication=st.sampled_from([0.0, 0.2]),
    )
    def start(self, seed, count, loss, duplication):
        self.replicas = ReplicaCluster(
            count, random.Random(seed), loss=loss, duplication=duplication
        )
        assert self.replicas.run_until(self.replicas.is_settled)

    @precondition(lambda self: self.replicas is not None)
    @rule(behind=st.integers(0, 1), copies=st.integers(1, 2))
    def propose(self, behind, copies):
        """Propose concurrent changes with the same base revision at all leaders."""
        for _ in range(copies):
            self.number += 1
            change = build_change(f"c{self.number}", max(0, self.newest - behind))
            self.changes[change.change_id] = change
            self.propose_at_leaders(change)

    @precondition(lambda self: self.replicas is not None and self.changes)
    @rule(data=st.data())
    def resend(self, data):
        """Propose an earlier change again, as an operator does that received no answer."""
        self.propose_at_leaders(self.changes[data.draw(st.sampled_from(sorted(self.changes)))])

    def propose_at_leaders(self, change):
        self.newest_at_invocation.setdefault(change.change_id, self.newest)
        for name in self.replicas.leaders():
            result = self.replicas.propose(name, change)
            if result is not None:
                self.check(result)
        self.collect()

    def collect(self):
        for _, result in self.replicas.results[self.seen_results :]:
            self.check(result)
        self.seen_results = len(self.replicas.results)

    def check(self, result):
        """Compare a result with all earlier results."""
        answer = (result.outcome, result.revision)
        previous = self.answers.setdefault(result.change_id, answer)
        assert previous == answer, f"{result.change_id}: {previous}, then {answer}"
        if result.outcome == Outcome.ACCEPTED:
            winner = self.winners.setdefault(result.revision, result.change_id)
            assert winner == result.change_id, f"revision {result.revision} accepted twice"
            assert result.revision > self.newest_at_invocation[result.change_id]
            self.newest = max(self.newest, result.revision)
        else:
            assert result.revision >= self.newest_at_invocation[result.change_id]

    @invariant()
    def at_most_one_leader_per_term(self):
        if self.replicas is None:
            return
        terms = [
            replica.hard_state.term
            for replica in self.replicas.running.values()
            if replica.role is Role.LEADER
        ]
        assert len(terms) == len(set(terms))

    def teardown(self):
        """After the faults end, all accepted changes are present and new ones are accepted."""
        if self.replicas is None:
            return
        self.replicas.recover_all()
        assert self.replicas.run_until(self.replicas.is_settled)
        self.collect()
        final = build_change("final", self.newest)
        self.changes["final"] = final
        self.propose_at_leaders(final)
        done = self.replicas.run_until(lambda: self.all_applied("final"))
        assert done
        self.collect()
        for replica in self.replicas.running.values():
            for revision, winner in self.winners.items():
                acceptance = replica.state_machine.acceptances[revision]
                assert acceptance.change_id == winner
            for change_id, answer in self.answers.items():
                result = replica.state_machine.results[change_id]
                assert (result.outcome, result.revision) == answer

    def all_applied(self, change_id):
        running = self.replicas.running.values()
        return all(change_id in replica.state_machine.results for replica in running)


TestAcceptedConfiguration = AcceptedConfiguration.TestCase


def start_cluster(count=3, seed=1):
    """Return a cluster with a leader."""
    replicas = ReplicaCluster(count, random.Random(seed))
    assert replicas.run_until(replicas.is_settled)
    return replicas


def commit_change(replicas, change_id, base):
    """Propose a change at the leaders until there is a result; return it."""
    change = build_change(change_id, base)
    start = len(replicas.results)

    def find():
        matching = [r for _, r in replicas.results[start:] if r.change_id == change_id]
        return matching[0] if matching else None

    for _ in range(40):
        for name in replicas.leaders():
            result = replicas.propose(name, change)
            if result is not None:
                return result
        if replicas.run_until(lambda: find() is not None, 20):
            return find()
    raise AssertionError("no leader gave a result for the change")


class TestConcurrentChanges:
    """Concurrent changes with the same base revision, and repeated proposals."""

    def test_second_change_with_the_same_base_conflicts(self):
        replicas = start_cluster()
        assert commit_change(replicas, "first", 0).outcome == Outcome.ACCEPTED
        conflict = commit_change(replicas, "second", 0)
        assert conflict.outcome == Outcome.CONFLICT
        assert conflict.winner == "first by student"

    def test_same_id_returns_the_same_result_after_restarts_and_snapshots(self):
        replicas = start_cluster()
        first = commit_change(replicas, "c0", 0)
        for number in range(1, 300):
            commit_change(replicas, f"c{number}", number)
        for name in replicas.names:
            replicas.crash(name)
            replicas.restart(name)
        assert replicas.run_until(replicas.is_settled)
        assert replicas.running["r1"].log.snapshot.index > 0
        assert commit_change(replicas, "c0", 7) == first


class TestIsolatedLeader:
    """A leader that is partitioned from the other members for a long time, or paused."""

    def test_accepts_no_change_after_its_lease_expires(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        others = [name for name in replicas.names if name != leader]
        replicas.network.cut([leader], others)
        for _ in range(20):
            replicas.step()
        assert not consensus.can_propose(replicas.running[leader], replicas.now)
        assert replicas.run_until(lambda: any(n in others for n in replicas.leaders()))
        commit_change(replicas, "while-cut", 0)
        for _ in range(1000):
            replicas.step()
        replicas.network.heal()
        assert replicas.run_until(
            lambda: "while-cut" in replicas.running[leader].state_machine.results
        )

    def test_paused_leader_loses_its_lease(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        replicas.paused.add(leader)
        for _ in range(100):
            replicas.step()
        replicas.paused.clear()
        assert not consensus.can_propose(replicas.running[leader], replicas.now)


class TestLostDisks:
    """Replicas that restart with an empty disk."""

    def test_second_disk_loss_right_after_recovery_from_the_first(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        follower, lagging = [name for name in replicas.names if name != leader]
        replicas.network.cut([lagging], [leader, follower])
        commit_change(replicas, "accepted", 0)
        replicas.network.heal()
        replicas.lose_disk(follower)
        replicas.restart(follower)
        assert replicas.run_until(lambda: replicas.has_voting_disk(follower))
        replicas.lose_disk(leader)
        replicas.restart(leader)
        assert replicas.run_until(replicas.is_settled)
        for replica in replicas.running.values():
            assert "accepted" in replica.state_machine.results

    def test_is_readmitted_only_with_all_committed_entries(self):
        replicas = start_cluster()
        for number in range(200):
            commit_change(replicas, f"c{number}", number)
        (leader,) = replicas.leaders()
        follower = next(name for name in replicas.names if name != leader)
        accepted = replicas.running[leader].commit
        replicas.lose_disk(follower)
        replicas.restart(follower)
        assert replicas.run_until(lambda: replicas.has_voting_disk(follower))
        assert replicas.running[follower].log.last_index() >= accepted

    def test_recovering_replica_grants_no_vote(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        follower, other = [name for name in replicas.names if name != leader]
        replicas.crash(leader)
        replicas.lose_disk(follower)
        replicas.restart(follower)
        for _ in range(200):
            replicas.step()
        assert replicas.leaders() == []

    def test_blank_replicas_bootstrap_a_log(self):
        assert start_cluster(5).is_settled()


class TestLateAnswers:
    """Answers to a leader that arrive late, and in any order."""

    def start_term(self):
        """Return a cluster that has committed four changes, and its leader."""
        replicas = start_cluster()
        for number in range(4):
            commit_change(replicas, f"c{number}", number)
        replicas.run_until(lambda: False, 10)
        (leader,) = replicas.leaders()
        return replicas, leader

    def test_late_rejections_do_not_lower_the_next_entry(self):
        """Each one lowered it, until a snapshot was sent in place of the entries."""
        replicas, leader = self.start_term()
        replica = replicas.running[leader]
        follower = next(name for name in replicas.names if name != leader)
        replica.progress[follower] = Progress(replica.log.last_index() + 1)
        incarnation = replicas.running[follower].hard_state.incarnation
        for _ in range(20):
            rejection = Appended(replica.hard_state.term, False, 3, 1, False, incarnation)
            consensus.handle(replica, follower, rejection, replicas.now)
        assert replica.progress[follower].next == 4

    def test_late_rejection_does_not_lower_what_is_acknowledged(self):
        replicas, leader = self.start_term()
        replica = replicas.running[leader]
        follower = next(name for name in replicas.names if name != leader)
        progress = replica.progress[follower]
        assert progress.match == replica.log.last_index()
        rejection = Appended(replica.hard_state.term, False, 0, 1, False, progress.incarnation)
        consensus.handle(replica, follower, rejection, replicas.now)
        assert progress.next == progress.match + 1

    def test_snapshot_keeps_the_entries_after_it(self):
        """A follower dropped entries that it had acknowledged, and that were committed."""
        replicas, leader = self.start_term()
        follower = next(name for name in replicas.names if name != leader)
        held = replicas.running[leader].log
        snapshot = Snapshot(
            3,
            held.term_at(3),
            list(replicas.names),
            replicas.running[leader].state_machine.configuration,
        )
        replicas.crash(follower)
        replicas.restart(follower)
        replica = replicas.running[follower]
        assert (replica.commit, replica.log.last_index()) == (0, held.last_index())
        term = replica.hard_state.term
        consensus.handle(replica, leader, Install(term, snapshot, 1), replicas.now)
        replicas.apply_effects(follower)
        assert (replica.commit, replica.log.last_index()) == (3, held.last_index())
        replicas.crash(follower)
        replicas.restart(follower)
        assert replicas.running[follower].log.last_index() == held.last_index()


class TestVotes:
    """Votes persist across restarts."""

    def test_grants_one_vote_per_term_across_a_crash(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        voter, other_follower = [name for name in replicas.names if name != leader]
        term = replicas.running[voter].hard_state.term + 1
        request = VoteRequest(term, last_index=99, last_term=99)
        for candidate, granted in ((other_follower, True), (leader, False)):
            consensus.handle(replicas.running[voter], candidate, request, replicas.now)
            (answer,) = [m for _, m in replicas.running[voter].effects.sends]
            assert answer == Vote(term, granted, False)
            replicas.apply_effects(voter, crash=True)
            replicas.restart(voter)


class TestMembershipChanges:
    """Changes of the set of members."""

    def test_members_change_one_at_a_time(self):
        replicas = start_cluster(5)
        (leader,) = replicas.leaders()
        replica = replicas.running[leader]
        members = [name for name in replicas.names if name != leader][:3]
        assert "one at a time" in consensus.propose_members(replica, members, replicas.now)

    def test_member_is_removed_and_added_again(self):
        replicas = start_cluster(3)
        (leader,) = replicas.leaders()
        failed = next(name for name in replicas.names if name != leader)
        members = [name for name in replicas.names if name != failed]
        replicas.run_until(lambda: False, 10)
        replica = replicas.running[leader]
        assert consensus.propose_members(replica, members, replicas.now) == ""
        replicas.apply_effects(leader)
        replicas.crash(failed)
        commit_change(replicas, "by-two", 0)
        assert consensus.propose_members(replica, replicas.names, replicas.now) == ""
        replicas.apply_effects(leader)
        replicas.lose_disk(failed)
        replicas.restart(failed)
        assert replicas.run_until(
            lambda: "by-two" in replicas.running[failed].state_machine.results
        )
        assert replicas.run_until(lambda: replicas.has_voting_disk(failed))
