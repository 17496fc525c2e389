"""Learners, replacement of members, leadership transfer, elections and commit propagation."""

import pytest

from lycheevalve.coordination import consensus
from lycheevalve.coordination.replacement import FIRST_ANSWER_SECONDS, unresponsive_seconds
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.replication import HEARTBEAT_INTERVAL_SECONDS
from lycheevalve.tests.fakes.documents import (
    FOUNDING_MEMBERS,
    applied_document,
    commit_document,
    is_settled,
    start_cluster,
)
from lycheevalve.tests.fakes.replicas import CATCH_UP_SECONDS, build_document


class TestLearners:
    """Learners receive the log but count towards no quorum."""

    def test_learner_receives_the_log_and_never_leads(self):
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

    def test_spare_with_an_empty_disk_reads_the_members_from_the_log(self):
        replicas = start_cluster()
        assert replicas.running["r4"].members == FOUNDING_MEMBERS


class TestReplacement:
    """A member that fails permanently is replaced, and no accepted change is lost."""

    def test_unresponsive_member_is_replaced_by_a_spare(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        failed = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(failed)
        expected = sorted(set(replicas.names) - {failed})
        assert replicas.run_until(
            lambda: any(replicas.running[n].members == expected for n in replicas.leaders())
        )

    def test_disk_loss_right_after_a_replacement_loses_no_change(self):
        replicas = start_cluster()
        commit_document(replicas, 5, b"kept")
        (leader,) = replicas.leaders()
        failed, other = [name for name in FOUNDING_MEMBERS if name != leader]
        replicas.crash(failed)
        expected = sorted(set(replicas.names) - {failed})
        assert replicas.run_until(lambda: replicas.running["r4"].members == expected)
        assert replicas.run_until(lambda: is_settled(replicas))
        replicas.lose_disk(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 200)
        assert applied_document(replicas, replicas.leaders()[0]) == (5, b"kept")
        assert other in replicas.running

    def test_member_that_restarts_in_time_is_kept(self):
        replicas = start_cluster()
        failed = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(failed)
        replicas.run_until(lambda: False, 60)
        replicas.restart(failed)
        replicas.run_until(lambda: False, 100)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDING_MEMBERS

    @pytest.mark.parametrize("seed", range(10))
    def test_lost_leader_is_replaced_as_soon_as_another_member(self, seed):
        """It was replaced a second later, and the next loss left one member of three."""
        replicas = start_cluster(seed=seed)
        (leader,) = replicas.leaders()
        replicas.crash(leader)
        lost_at = replicas.now
        expected = sorted(set(replicas.names) - {leader})
        assert replicas.run_until(
            lambda: [replicas.running[n].members for n in replicas.leaders()] == [expected]
        )
        assert replicas.now - lost_at <= unresponsive_seconds(CATCH_UP_SECONDS) + 0.5

    @pytest.mark.parametrize("seed", range(10))
    def test_former_leader_that_votes_is_kept(self, seed):
        replicas = start_cluster(seed=seed)
        for _ in range(3):
            (leader,) = replicas.leaders()
            replicas.crash(leader)
            replicas.run_until(replicas.leaders)
            replicas.run_until(lambda: False, 10)
            replicas.restart(leader)
            assert replicas.run_until(lambda: is_settled(replicas))
            replicas.run_until(lambda: False, 100)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDING_MEMBERS

    def test_earlier_leader_is_kept_when_its_successor_is_elected_again(self):
        """Its contact as leader is long ago, but it answered its successor."""
        replicas = start_cluster()
        (first,) = replicas.leaders()
        replicas.crash(first)
        replicas.run_until(replicas.leaders)
        replicas.restart(first)
        (second,) = replicas.leaders()
        replicas.run_until(lambda: False, 200)
        replica = replicas.running[second]
        replicas.network.cut([second], [first])
        replica.step_down(replica.hard_state.term, replicas.now)
        for name in replicas.names:
            replicas.running[name].election_at = replicas.now + (1.0 if name == second else 60)
        assert replicas.run_until(lambda: replicas.leaders() == [second])
        replicas.run_until(lambda: False, 20)
        replicas.network.heal()
        for _ in range(100):
            replicas.step()
            members = [replicas.running[name].members for name in replicas.leaders()]
            assert all(names == FOUNDING_MEMBERS for names in members)

    def test_member_that_returns_during_its_replacement_leaves_no_surplus(self):
        """Four members stayed, and two halves that are cut off had no majority each."""
        replicas = start_cluster()
        failed = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(failed)
        (leader,) = replicas.leaders()
        assert replicas.run_until(lambda: len(replicas.running[leader].members) == 4)
        replicas.restart(failed)
        # The leader has an answer of the member before it removes it.
        replicas.running[leader].progress[failed].acked_at = replicas.now
        replicas.run_until(lambda: False, 200)
        commit_document(replicas, 5)
        assert len(replicas.running[replicas.leaders()[0]].members) == 3

    def test_replaced_member_that_returns_is_a_spare(self):
        replicas = start_cluster()
        failed = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(failed)
        replicas.run_until(lambda: False, 200)
        replicas.restart(failed)
        commit_document(replicas, 5)
        assert replicas.run_until(lambda: applied_document(replicas, failed)[0] == 5)
        assert failed not in replicas.running[failed].members
        assert replicas.running[failed].role is Role.FOLLOWER

    def test_members_stay_the_same_without_a_spare(self):
        replicas = start_cluster(3)
        failed = next(name for name in FOUNDING_MEMBERS if name not in replicas.leaders())
        replicas.crash(failed)
        replicas.run_until(lambda: False, 200)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDING_MEMBERS


class TestSuccessiveLosses:
    """
    A second loss as soon as the successor of the first one does not count as lost any more.

    Guards against a log that two of three running replicas can't use: the first lost member
    was replaced only after the second loss, which left one member of three.
    """

    def lose(self, replicas, is_leader):
        """Remove a member for good and start an empty process; return the member."""
        (leader,) = replicas.leaders()
        names = [n for n in replicas.running[leader].members if n in replicas.running]
        lost = next(name for name in names if (name == leader) is is_leader)
        replicas.crash(lost)
        replicas.add_empty()
        return lost

    @pytest.mark.parametrize("seed", range(15))
    @pytest.mark.parametrize("second", [True, False])
    @pytest.mark.parametrize("first", [True, False])
    def test_log_accepts_changes_after_the_second_loss(self, first, second, seed):
        replicas = start_cluster(3, seed=seed)
        commit_document(replicas, 5, b"kept")
        lost_at = replicas.now
        self.lose(replicas, is_leader=first)
        replicas.run_until(lambda: replicas.now - lost_at >= CATCH_UP_SECONDS)
        assert replicas.run_until(replicas.leaders)
        self.lose(replicas, is_leader=second)
        assert replicas.run_until(lambda: is_settled(replicas))
        (leader,) = replicas.leaders()
        assert applied_document(replicas, leader) == (5, b"kept")
        commit_document(replicas, 6)

    @pytest.mark.parametrize("seed", range(10))
    def test_change_of_leaders_does_not_prolong_a_replacement(self, seed):
        """The next leader counted the time from its own election."""
        replicas = start_cluster(seed=seed)
        (leader,) = replicas.leaders()
        lost = next(name for name in FOUNDING_MEMBERS if name != leader)
        replicas.crash(lost)
        lost_at = replicas.now
        replicas.run_until(lambda: replicas.now - lost_at >= 2.2)
        (leader,) = replicas.leaders()
        consensus.transfer_leadership(replicas.running[leader], replicas.now)
        replicas.apply_effects(leader)
        assert replicas.run_until(lambda: replicas.leaders() not in ([], [leader]))
        expected = sorted(set(replicas.names) - {lost})
        assert replicas.run_until(
            lambda: [replicas.running[n].members for n in replicas.leaders()] == [expected]
        )
        assert replicas.now - lost_at <= CATCH_UP_SECONDS

    def test_limit_follows_the_catch_up_time(self):
        assert [unresponsive_seconds(s) for s in (2.0, 4.0, 6.0)] == [1.6, 3.2, 4.0]


class TestLeadershipTransfer:
    """A stopping leader transfers its leadership."""

    def test_another_member_leads_within_a_few_steps(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        consensus.transfer_leadership(replicas.running[leader], replicas.now)
        replicas.apply_effects(leader)
        replicas.crash(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 6)

    def test_request_from_an_earlier_term_is_ignored(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        other = next(name for name in FOUNDING_MEMBERS if name != leader)
        request = consensus.Abdicate(replicas.running[leader].hard_state.term - 1)
        consensus.handle(replicas.running[other], leader, request, replicas.now)
        assert replicas.running[other].role is Role.FOLLOWER


class TestElections:
    """Elections after a simultaneous start of all replicas."""

    def measure_election(self, seed):
        """Return the seconds from a simultaneous start to a leader that can propose."""
        replicas = start_cluster(seed=seed)
        for name in replicas.names:
            replicas.crash(name)
        for name in replicas.names:
            replicas.restart(name)
        begun = replicas.now
        while not replicas.leaders():
            due = min(r.next_due() for r in replicas.running.values() if r.is_member())
            wait_seconds = 0.0 if replicas.network.queue else due - replicas.now
            replicas.step(max(0.002, wait_seconds))
        return replicas.now - begun

    def test_no_timer_is_due_right_after_a_tick(self):
        """A replica whose timer is always due keeps its process busy."""
        replicas = start_cluster()
        replicas.lose_disk("r3")
        replicas.restart("r3")
        for _ in range(200):
            replicas.step()
            for replica in replicas.running.values():
                consensus.tick(replica, replicas.now)
                assert replica.next_due() > replicas.now

    @pytest.mark.parametrize("seed", [*range(20), 44, 159, 273, 316, 692])
    def test_election_ends_before_a_lost_leader_is_due_to_be_replaced(self, seed):
        """The two members that were left split their votes up to four times in a row."""
        replicas = start_cluster(seed=seed)
        (leader,) = replicas.leaders()
        replicas.crash(leader)
        lost_at = replicas.now
        assert replicas.run_until(replicas.leaders)
        limit = unresponsive_seconds(CATCH_UP_SECONDS) - FIRST_ANSWER_SECONDS
        assert replicas.now - lost_at < limit

    def test_most_elections_take_less_than_half_a_second(self):
        durations = sorted(self.measure_election(seed) for seed in range(40))
        assert durations[35] < 0.5
        assert durations[-1] < 1.2


class TestCommit:
    """The commit index reaches the followers without waiting for the next heartbeat."""

    def test_followers_receive_the_commit_index_before_the_next_heartbeat(self):
        replicas = start_cluster()
        (leader,) = replicas.leaders()
        replicas.propose(leader, build_document(7))
        consensus.tick(replicas.running[leader], replicas.now + HEARTBEAT_INTERVAL_SECONDS)
        replicas.apply_effects(leader)
        # Delays the next heartbeat beyond the assertion.
        for replica in replicas.running.values():
            replica.heartbeat_at = replicas.now + 60.0
        replicas.run_until(lambda: False, 4)
        assert {applied_document(replicas, name)[0] for name in FOUNDING_MEMBERS} == {7}
