"""Whole configurations in the log: numbers, reads, learners, replacement, handover."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lycheevalve.coordination import consensus, log
from lycheevalve.coordination.configuration import ConfigurationMachine, Outcome
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.replication import SNAPSHOT_DOCUMENT_BYTES
from lycheevalve.schema.generated.messages import Entry
from lycheevalve.tests.fakes.replicas import Replicas, build_document

FOUNDERS = ["r1", "r2", "r3"]


def settle(count=4, seed=1, wanted=3, **network):
    """Return replicas of which the founders lead a log and the others learn."""
    replicas = Replicas(count, random.Random(seed), FOUNDERS, wanted, **network)
    assert replicas.run_until(lambda: is_settled(replicas))
    return replicas


def is_settled(replicas):
    """Return whether there is a leader and all that run have its log."""
    leaders = replicas.leaders()
    if len(leaders) != 1:
        return False
    leader = replicas.running[leaders[0]]
    held = [r.commit for r in replicas.running.values()]
    return leader.has_committed_in_term() and min(held) == leader.commit


def accept(replicas, revision, text=b"text"):
    """Replace the configuration; return the ChangeResult."""
    change = build_document(revision, text)
    before = len(replicas.results)

    def find():
        answers = [result for _, result in replicas.results[before:]]
        return next((r for r in answers if r.change_id == change.change_id), None)

    for _ in range(40):
        for name in replicas.leaders():
            replicas.propose(name, change)
        if replicas.run_until(find, 10):
            return find()
    raise AssertionError("not accepted")


def held_by(replicas, name):
    """Return (number, text) of the configuration that a replica has applied."""
    configuration = replicas.running[name].machine.configuration
    return configuration.revision, configuration.document


class TestNumbers:
    """The highest number wins, and content under a held number never changes."""

    def test_numbers_rise_with_gaps(self):
        machine = ConfigurationMachine()
        outcomes = [machine.apply(build_document(n)).outcome for n in (4, 9, 30)]
        assert outcomes == [Outcome.ACCEPTED] * 3
        assert machine.configuration.revision == 30

    def test_other_content_under_a_held_number_changes_nothing(self):
        machine = ConfigurationMachine()
        machine.apply(build_document(7, b"first"))
        result = machine.apply(build_document(7, b"second"))
        assert result.outcome == Outcome.SUPERSEDED
        assert machine.configuration.document == b"first"

    def test_lower_number_is_answered_and_changes_nothing(self):
        machine = ConfigurationMachine()
        machine.apply(build_document(7, b"new"))
        result = machine.apply(build_document(6, b"old"))
        assert (result.outcome, result.revision) == (Outcome.SUPERSEDED, 7)
        assert machine.configuration.document == b"new"

    def test_survives_restarts_of_all(self):
        replicas = settle()
        accept(replicas, 40, b"whole")
        for name in replicas.names:
            replicas.crash(name)
        for name in replicas.names:
            replicas.restart(name)
        assert replicas.run_until(lambda: is_settled(replicas))
        assert {held_by(replicas, name) for name in replicas.names} == {(40, b"whole")}

    def test_large_configurations_are_sent_in_bounded_messages(self):
        text = b"x" * (log.DOCUMENT_BYTES_PER_MESSAGE // 2)
        entries = [Entry(n, 1, 1, build_document(n, text)) for n in range(1, 7)]
        assert len(log.Log(entries=entries).batch_from(1)) == 2
        huge = [Entry(1, 1, 1, build_document(1, text * 4))]
        assert len(log.Log(entries=huge).batch_from(1)) == 1

    def test_large_configurations_do_not_fill_the_disk(self):
        replicas = settle()
        text = b"x" * (SNAPSHOT_DOCUMENT_BYTES // 4)
        for revision in range(1, 12):
            accept(replicas, revision, text)
        for disk in replicas.disks.values():
            size = sum(map(log.document_bytes, disk.stored.entries))
            assert size <= 2 * SNAPSHOT_DOCUMENT_BYTES


class TestReads:
    """A read tells the newest, or nothing."""

    def test_leader_answers_after_a_round(self):
        replicas = settle()
        accept(replicas, 5)
        (leader,) = replicas.leaders()
        replicas.read(leader, "read")
        assert replicas.reads == []
        assert replicas.run_until(lambda: replicas.reads)
        assert replicas.reads[0][2].revision == 5

    def test_cut_off_leader_answers_nothing(self):
        replicas = settle()
        accept(replicas, 5)
        (leader,) = replicas.leaders()
        others = [name for name in replicas.names if name != leader]
        replicas.network.cut([leader], others)
        replicas.read(leader, "read")
        assert not replicas.run_until(lambda: replicas.reads, 60)

    def test_suspended_leader_answers_nothing_old(self):
        """Its clock stood still, so its lease looks fresh when it wakes."""
        replicas = settle()
        accept(replicas, 5)
        (leader,) = replicas.leaders()
        replicas.frozen.add(leader)
        assert replicas.run_until(
            lambda: any(name != leader for name in replicas.leaders()), 200
        )
        accept(replicas, 8)
        replicas.frozen.clear()
        replicas.read(leader, "read")
        replicas.run_until(lambda: replicas.reads, 60)
        assert all(read[2].revision >= 8 for read in replicas.reads)

    def test_new_leader_answers_nothing_before_it_has_committed(self):
        replicas = settle()
        replica = replicas.running[replicas.leaders()[0]]
        replica.hard.term += 1
        consensus.request_read(replica, "read", replicas.now)
        replica.effects.reads.clear()
        for progress in replica.progress.values():
            progress.acked_round = replica.round
        consensus.confirm_reads(replica)
        assert replica.effects.reads == []


class TestCurrent:
    """Whether a replica may tell others that it holds the newest."""

    def test_restarted_replica_is_current_only_after_a_commit_of_the_term(self):
        replicas = settle()
        accept(replicas, 5)
        for name in replicas.names:
            replicas.crash(name)
            replicas.restart(name)
        assert not any(consensus.is_current(r, replicas.now) for r in replicas.running.values())
        assert replicas.run_until(lambda: is_settled(replicas))
        replicas.run_until(lambda: False, 10)
        assert all(consensus.is_current(r, replicas.now) for r in replicas.running.values())


class TestThaw:
    """Replicas whose machine was suspended: their clock stood still."""

    def suspend(self, name_of):
        """Let others accept a configuration that a suspended replica misses; wake it."""
        replicas = settle()
        accept(replicas, 5)
        replicas.run_until(lambda: False, 10)
        name = name_of(replicas)
        replicas.frozen.add(name)
        assert replicas.run_until(lambda: any(n != name for n in replicas.leaders()), 200)
        accept(replicas, 8)
        replica = replicas.running[name]
        # Its own clock stood still: all that it heard looks fresh.
        replica.heard_at = replicas.now
        for progress in replica.progress.values():
            progress.acked_at = replicas.now
        consensus.thaw(replica, replicas.now)
        return replicas, replica

    def test_follower_is_not_current_before_it_has_heard(self):
        replicas, replica = self.suspend(
            lambda site: next(n for n in FOUNDERS if n not in site.leaders())
        )
        assert not consensus.is_current(replica, replicas.now)
        replicas.frozen.clear()
        assert replicas.run_until(lambda: consensus.is_current(replica, replicas.now))
        assert replica.machine.configuration.revision == 8

    def test_leader_leads_no_more(self):
        replicas, replica = self.suspend(lambda site: site.leaders()[0])
        assert not consensus.can_propose(replica, replicas.now)
        assert not consensus.is_current(replica, replicas.now)


class TestLearners:
    """Processes that get the log without counting."""

    def test_learner_holds_what_was_accepted_and_leads_never(self):
        replicas = settle()
        accept(replicas, 5)
        assert replicas.run_until(lambda: held_by(replicas, "r4")[0] == 5)
        for name in FOUNDERS:
            replicas.crash(name)
        replicas.run_until(lambda: False, 100)
        assert replicas.leaders() == []

    def test_learner_does_not_count_towards_a_quorum(self):
        replicas = settle(5, wanted=0)
        (leader,) = replicas.leaders()
        for name in FOUNDERS:
            if name != leader:
                replicas.crash(name)
        change = build_document(5)
        replicas.propose(leader, change)
        replicas.run_until(lambda: False, 10)
        assert all(held_by(replicas, name)[0] == 0 for name in replicas.running)

    def test_spare_without_a_disk_learns_the_members_from_the_log(self):
        replicas = settle()
        assert replicas.running["r4"].members == FOUNDERS


class TestReplacement:
    """A replica that is gone for good is replaced, and nothing accepted is lost."""

    def test_silent_member_is_replaced_by_a_spare(self):
        replicas = settle()
        accept(replicas, 5)
        gone = next(name for name in FOUNDERS if name not in replicas.leaders())
        replicas.crash(gone)
        wanted = sorted(set(replicas.names) - {gone})
        assert replicas.run_until(
            lambda: any(replicas.running[n].members == wanted for n in replicas.leaders())
        )

    def test_another_loss_right_after_the_replacement_loses_nothing(self):
        replicas = settle()
        accept(replicas, 5, b"kept")
        (leader,) = replicas.leaders()
        gone, other = [name for name in FOUNDERS if name != leader]
        replicas.crash(gone)
        wanted = sorted(set(replicas.names) - {gone})
        assert replicas.run_until(lambda: replicas.running["r4"].members == wanted)
        assert replicas.run_until(lambda: is_settled(replicas))
        replicas.lose_disk(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 200)
        assert held_by(replicas, replicas.leaders()[0]) == (5, b"kept")
        assert other in replicas.running

    def test_member_that_restarts_soon_stays(self):
        replicas = settle()
        gone = next(name for name in FOUNDERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 60)
        replicas.restart(gone)
        replicas.run_until(lambda: False, 100)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDERS

    def test_replaced_member_that_returns_is_a_spare(self):
        replicas = settle()
        gone = next(name for name in FOUNDERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 200)
        replicas.restart(gone)
        accept(replicas, 5)
        assert replicas.run_until(lambda: held_by(replicas, gone)[0] == 5)
        assert gone not in replicas.running[gone].members
        assert replicas.running[gone].role is Role.FOLLOWER

    def test_nothing_happens_without_a_spare(self):
        replicas = settle(3)
        gone = next(name for name in FOUNDERS if name not in replicas.leaders())
        replicas.crash(gone)
        replicas.run_until(lambda: False, 200)
        assert replicas.running[replicas.leaders()[0]].members == FOUNDERS


class TestHandover:
    """A leader that stops hands its leadership on."""

    def test_another_member_leads_within_a_few_steps(self):
        replicas = settle()
        (leader,) = replicas.leaders()
        consensus.abdicate(replicas.running[leader], replicas.now)
        replicas.carry_out(leader)
        replicas.crash(leader)
        assert replicas.run_until(lambda: replicas.leaders(), 6)

    def test_old_order_to_campaign_is_ignored(self):
        replicas = settle()
        (leader,) = replicas.leaders()
        other = next(name for name in FOUNDERS if name != leader)
        order = consensus.Abdicate(replicas.running[leader].hard.term - 1)
        consensus.handle(replicas.running[other], leader, order, replicas.now)
        assert replicas.running[other].role is Role.FOLLOWER


class Documents(RuleBasedStateMachine):
    """
    Whole configurations under crashes, cuts, freezes, lost disks and replacement.

    Oracle: what was acknowledged stays under its number with its content, and
    no replica that says so later, and no read, knows of less.
    """

    def __init__(self):
        super().__init__()
        self.replicas = None
        self.acknowledged = 0
        self.texts = {}
        self.number = 0
        self.seen_results = self.seen_reads = 0
        self.read_floor = {}

    @precondition(lambda self: self.replicas is None)
    @rule(seed=st.integers(0, 2**32), count=st.integers(3, 5), loss=st.sampled_from([0.0, 0.1]))
    def start(self, seed, count, loss):
        self.replicas = settle(count, seed, loss=loss)

    @precondition(lambda self: self.replicas is not None)
    @rule(steps=st.integers(1, 60), share=st.sampled_from([0.3, 1.0]))
    def pass_time(self, steps, share):
        for _ in range(steps):
            self.replicas.step(share=share)
            self.collect()

    @precondition(lambda self: self.replicas is not None)
    @rule(jump=st.integers(-2, 5), copies=st.integers(1, 2))
    def propose(self, jump, copies):
        """Operators race with equal, higher and lower numbers."""
        revision = max(1, self.number + jump)
        for _ in range(copies):
            self.number = max(self.number, revision)
            text = b"%d" % self.replicas.random.getrandbits(40)
            change = build_document(revision, text)
            change.change_id = f"{revision}-{text.decode()}"
            for name in self.replicas.leaders():
                self.replicas.propose(name, change)
        self.collect()

    @precondition(lambda self: self.replicas is not None)
    @rule()
    def read(self):
        self.number += 1
        for name in self.replicas.leaders():
            token = f"read-{self.number}-{name}"
            self.read_floor[token] = self.acknowledged
            self.replicas.read(name, token)
        self.collect()

    def collect(self):
        results = self.replicas.results[self.seen_results :]
        self.seen_results = len(self.replicas.results)
        for _, result in results:
            self.acknowledged = max(self.acknowledged, result.revision)
        reads = self.replicas.reads[self.seen_reads :]
        self.seen_reads = len(self.replicas.reads)
        for _, token, configuration in reads:
            assert configuration.revision >= self.read_floor[token]
        for name in self.replicas.running:
            revision, text = held_by(self.replicas, name)
            assert self.texts.setdefault(revision, text) == text

    @precondition(lambda self: self.replicas is not None)
    @rule(number=st.integers(0, 4), after_sync=st.booleans())
    def crash(self, number, after_sync):
        name = self.pick(number)
        if name in self.replicas.running:
            consensus.tick(self.replicas.running[name], self.replicas.now)
            self.replicas.carry_out(name, crash=after_sync)
            self.replicas.crash(name)

    @precondition(lambda self: self.replicas is not None)
    @rule(number=st.integers(0, 4))
    def restart(self, number):
        name = self.pick(number)
        if name not in self.replicas.running:
            self.replicas.restart(name)

    @precondition(lambda self: self.replicas is not None)
    @rule(number=st.integers(0, 4))
    def lose_disk(self, number):
        """A disk is lost while those of all members hold."""
        name = self.pick(number)
        if all(self.replicas.is_whole(other) for other in self.replicas.names if other != name):
            self.replicas.lose_disk(name)
            self.replicas.restart(name)

    @precondition(lambda self: self.replicas is not None)
    @rule(number=st.integers(0, 4), size=st.integers(1, 2))
    def cut(self, number, size):
        names = self.replicas.names
        start = number % len(names)
        group = (names + names)[start : start + size]
        self.replicas.network.cut(group, [name for name in names if name not in group])

    @precondition(lambda self: self.replicas is not None)
    @rule()
    def heal(self):
        self.replicas.network.heal()

    @precondition(lambda self: self.replicas is not None)
    @rule(number=st.integers(0, 4))
    def freeze_or_thaw(self, number):
        name = self.pick(number)
        if name in self.replicas.running:
            self.replicas.frozen ^= {name}

    def pick(self, number):
        return self.replicas.names[number % len(self.replicas.names)]

    def teardown(self):
        if self.replicas is None:
            return
        self.replicas.recover_all()
        assert self.replicas.run_until(lambda: is_settled(self.replicas), 1000)
        self.collect()
        for name in self.replicas.leaders():
            assert held_by(self.replicas, name)[0] >= self.acknowledged


TestAcceptedDocuments = Documents.TestCase


class TestElections:
    """Elections after all replicas started at the same moment."""

    def elect(self, seed):
        """Return the seconds from a common start to a leader that can accept."""
        replicas = settle(seed=seed)
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
        replicas = settle()
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
