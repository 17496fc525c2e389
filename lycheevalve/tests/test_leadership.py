"""Who holds the log and who leads it: learners, replacement, handover, elections."""

from lycheevalve.coordination import consensus
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.replication import HEARTBEAT_SECONDS
from lycheevalve.tests.fakes.documents import (
    FOUNDING_MEMBERS,
    applied_document,
    commit_document,
    is_settled,
    start_cluster,
)
from lycheevalve.tests.fakes.replicas import build_document


class TestLearners:
    """Processes that get the log without counting."""

    def test_learner_holds_what_was_accepted_and_leads_never(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        assert replicas.run_until(lambda: applied_document(replicas, "r4")[0] == 5)
        for name in FOUNDING_MEMBERS:
            replicas.crash(name)
        replicas.run_until(lambda: False, 100)
        assert replicas.leaders() == []

    def test_learner_does_not_count_towards_a_quorum(self):
        replicas = start_cluster(5, target_member_count=0)
        (leader,) = replicas.leaders()
        for name in FOUNDING_MEMBERS:
            if name != leader:
                replicas.crash(name)
        change = build_document(5)
        replicas.propose(leader, change)
        replicas.run_until(lambda: False, 10)
        assert all(applied_document(replicas, name)[0] == 0 for name in replicas.running)

    def test_spare_without_a_disk_learns_the_members_from_the_log(self):
        replicas = start_cluster()
        assert replicas.running["r4"].members == FOUNDING_MEMBERS


class TestReplacement:
    """A replica that is gone for good is replaced, and nothing accepted is lost."""

    def test_silent_member_is_replaced_by_a_spare(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        gone = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(gone)
        wanted = sorted(set(replicas.names) - {gone})
        assert replicas.run_until(
            lambda: any(replicas.running[n].members == wanted for n in replicas.leaders())
        )

    def test_another_loss_right_after_the_replacement_loses_nothing(self):
        replicas = start_cluster()
        commit_document(replicas, 5, b"kept")
        (leader,) = replicas.leaders()
        gone, other = [name for name in FOUNDING_MEMBERS if name != leader]
        replicas.crash(gone)
        wanted = sorted(set(replicas.names) - {gone})
        assert replicas.run_until(lambda: replicas.running["r4"].members == wanted)
        assert replicas.run_until(lambda: is_settled(replicas))
        replicas.lose_disk(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 200)
        assert applied_document(replicas, replicas.leaders()[0]) == (5, b"kept")
        assert other in replicas.running

    def test_member_that_restarts_soon_stays(self):
        replicas = start_cluster()
        gone = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 60)
        replicas.restart(gone)
        replicas.run_until(lambda: False, 100)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDING_MEMBERS

    def test_replaced_member_that_returns_is_a_spare(self):
        replicas = start_cluster()
        gone = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 200)
        replicas.restart(gone)
        commit_document(replicas, 5)
        assert replicas.run_until(lambda: applied_document(replicas, gone)[0] == 5)
        assert gone not in replicas.running[gone].members
        assert replicas.running[gone].role is Role.FOLLOWER

    def test_nothing_happens_without_a_spare(self):
        replicas = start_cluster(3)
        gone = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 200)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDING_MEMBERS


class TestHandover:
    """A leader that stops hands its leadership on."""

    def test_another_member_leads_within_a_few_steps(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        consensus.transfer_leadership(replicas.running[leader], replicas.now)
        replicas.apply_effects(leader)
        replicas.crash(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 6)

    def test_old_order_to_campaign_is_ignored(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        other = next(name for name in FOUNDING_MEMBERS if name != leader)
        order = consensus.Abdicate(replicas.running[leader].hard_state.term - 1)
        consensus.handle(replicas.running[other], leader, order, replicas.now)
        assert replicas.running[other].role is Role.FOLLOWER


class TestElections:
    """Elections after all replicas started at the same moment."""

    def elect(self, seed):
        """Return the seconds from a common start to a leader that can accept."""
        replicas = start_cluster(seed=seed)
        for name in replicas.names:
            replicas.crash(name)
        for name in replicas.names:
            replicas.restart(name)
        begun = replicas.now
        while not replicas.leaders():
            due = min(r.next_due() for r in replicas.running.values() if r.is_member())
            pause = 0.0 if replicas.network.queue else due - replicas.now
            replicas.step(max(0.002, pause))
        return replicas.now - begun

    def test_nobody_is_due_right_after_its_turn(self):
        """A replica that is always due never lets its process rest."""
        replicas = start_cluster()
        replicas.lose_disk("r3")
        replicas.restart("r3")
        for _ in range(200):
            replicas.step()
            for replica in replicas.running.values():
                consensus.tick(replica, replicas.now)
                assert replica.next_due() > replicas.now

    def test_leader_is_there_within_half_a_second_nearly_always(self):
        taken = sorted(self.elect(seed) for seed in range(40))
        assert taken[35] < 0.5
        assert taken[-1] < 1.2


class TestCommit:
    """What a quorum holds is soon known to be committed everywhere."""

    def test_followers_hear_of_it_before_the_next_heartbeat(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        replicas.propose(leader, build_document(7))
        consensus.tick(replicas.running[leader], replicas.now + HEARTBEAT_SECONDS)
        replicas.apply_effects(leader)
        # Each heartbeat from now on would come too late.
        for replica in replicas.running.values():
            replica.heartbeat_at = replicas.now + 60.0
        replicas.run_until(lambda: False, 4)
        assert {applied_document(replicas, name)[0] for name in FOUNDING_MEMBERS} == {7}
