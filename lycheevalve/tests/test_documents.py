"""Whole configurations in the log: revisions, reads, pauses and combined faults."""

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from lycheevalve.coordination import consensus, log
from lycheevalve.coordination.configuration import ConfigurationStateMachine, Outcome
from lycheevalve.coordination.replication import SNAPSHOT_DOCUMENT_BYTES
from lycheevalve.schema.generated.messages import Entry
from lycheevalve.tests.fakes.documents import (
    FOUNDING_MEMBERS,
    applied_document,
    commit_document,
    is_settled,
    start_cluster,
)
from lycheevalve.tests.fakes.faults import ReplicaFaults
from lycheevalve.tests.fakes.replicas import build_document


class TestRevisions:
    """The highest revision wins, and the content of an accepted revision never changes."""

    def test_revisions_may_skip_numbers(self):
        machine = ConfigurationStateMachine()
        outcomes = [machine.apply(build_document(n)).outcome for n in (4, 9, 30)]
        assert outcomes == [Outcome.ACCEPTED] * 3
        assert machine.configuration.revision == 30

    def test_other_content_under_an_accepted_revision_is_superseded(self):
        machine = ConfigurationStateMachine()
        machine.apply(build_document(7, b"first"))
        result = machine.apply(build_document(7, b"second"))
        assert result.outcome == Outcome.SUPERSEDED
        assert machine.configuration.document == b"first"

    def test_lower_revision_is_superseded(self):
        machine = ConfigurationStateMachine()
        machine.apply(build_document(7, b"new"))
        result = machine.apply(build_document(6, b"old"))
        assert (result.outcome, result.revision) == (Outcome.SUPERSEDED, 7)
        assert machine.configuration.document == b"new"

    def test_configuration_survives_restarts_of_all_replicas(self):
        replicas = start_cluster()
        commit_document(replicas, 40, b"whole")
        for name in replicas.names:
            replicas.crash(name)
        for name in replicas.names:
            replicas.restart(name)
        assert replicas.run_until(lambda: is_settled(replicas))
        assert {applied_document(replicas, name) for name in replicas.names} == {(40, b"whole")}

    def test_large_configurations_are_sent_in_bounded_messages(self):
        text = b"x" * (log.DOCUMENT_BYTES_PER_MESSAGE // 2)
        entries = [Entry(n, 1, 1, build_document(n, text)) for n in range(1, 7)]
        assert len(log.Log(entries=entries).batch_from(1)) == 2
        huge = [Entry(1, 1, 1, build_document(1, text * 4))]
        assert len(log.Log(entries=huge).batch_from(1)) == 1

    def test_large_configurations_do_not_fill_the_disk(self):
        replicas = start_cluster()
        text = b"x" * (SNAPSHOT_DOCUMENT_BYTES // 4)
        for revision in range(1, 12):
            commit_document(replicas, revision, text)
        for disk in replicas.disks.values():
            size = sum(map(log.document_bytes, disk.stored.entries))
            assert size <= 2 * SNAPSHOT_DOCUMENT_BYTES


class TestReads:
    """A read returns the newest configuration, or no answer."""

    def test_leader_answers_after_a_heartbeat_round(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        (leader,) = replicas.leaders()
        replicas.read(leader, "read")
        assert replicas.reads == []
        assert replicas.run_until(lambda: replicas.reads)
        assert replicas.reads[0][2].revision == 5

    def test_partitioned_leader_does_not_answer(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        (leader,) = replicas.leaders()
        others = [name for name in replicas.names if name != leader]
        replicas.network.cut([leader], others)
        replicas.read(leader, "read")
        assert not replicas.run_until(lambda: replicas.reads, 60)

    def test_suspended_leader_returns_no_stale_configuration(self):
        """The leader's clock did not advance, so its lease looks valid when it resumes."""
        replicas = start_cluster()
        commit_document(replicas, 5)
        (leader,) = replicas.leaders()
        replicas.paused.add(leader)
        assert replicas.run_until(
            lambda: any(name != leader for name in replicas.leaders()), 200
        )
        commit_document(replicas, 8)
        replicas.paused.clear()
        replicas.read(leader, "read")
        replicas.run_until(lambda: replicas.reads, 60)
        assert all(read[2].revision >= 8 for read in replicas.reads)

    def test_new_leader_does_not_answer_before_a_commit_in_its_term(self):
        replicas = start_cluster()
        replica = replicas.running[replicas.leaders()[0]]
        replica.hard_state.term += 1
        consensus.request_read(replica, "read", replicas.now)
        replica.effects.confirmed_reads.clear()
        for progress in replica.progress.values():
            progress.acked_round = replica.round
        consensus.confirm_reads(replica)
        assert replica.effects.confirmed_reads == []


class TestCurrent:
    """When a replica may report that it holds the newest configuration."""

    def test_restarted_replica_is_current_only_after_a_commit_of_the_term(self):
        replicas = start_cluster()
        commit_document(replicas, 5)
        for name in replicas.names:
            replicas.crash(name)
            replicas.restart(name)
        assert not any(consensus.is_current(r, replicas.now) for r in replicas.running.values())
        assert replicas.run_until(lambda: is_settled(replicas))
        replicas.run_until(lambda: False, 10)
        assert all(consensus.is_current(r, replicas.now) for r in replicas.running.values())


class TestResume:
    """Replicas whose machine was suspended, so that their clock did not advance."""

    def suspend(self, choose_name):
        """Return (cluster, replica), the replica resumed after it missed revision 8."""
        replicas = start_cluster()
        commit_document(replicas, 5)
        replicas.run_until(lambda: False, 10)
        name = choose_name(replicas)
        replicas.paused.add(name)
        assert replicas.run_until(lambda: any(n != name for n in replicas.leaders()), 200)
        commit_document(replicas, 8)
        replica = replicas.running[name]
        # Its clock did not advance, so contact from before the pause looks recent.
        replica.leader_contact_at = replicas.now
        for progress in replica.progress.values():
            progress.acked_at = replicas.now
        consensus.handle_resume(replica, replicas.now)
        return replicas, replica

    def test_follower_is_not_current_before_contact_with_its_leader(self):
        replicas, replica = self.suspend(
            lambda replicas: next(n for n in FOUNDING_MEMBERS if n not in replicas.leaders())
        )
        assert not consensus.is_current(replica, replicas.now)
        replicas.paused.clear()
        assert replicas.run_until(lambda: consensus.is_current(replica, replicas.now))
        assert replica.state_machine.configuration.revision == 8

    def test_leader_steps_down(self):
        replicas, replica = self.suspend(lambda replicas: replicas.leaders()[0])
        assert not consensus.can_propose(replica, replicas.now)
        assert not consensus.is_current(replica, replicas.now)


class WholeConfigurations(ReplicaFaults):
    """
    Whole configurations under crashes, partitions, pauses, lost disks and replacement.

    An acknowledged revision is permanent, each revision has one content, and no later
    read returns a lower revision.
    """

    def __init__(self):
        super().__init__()
        self.acknowledged = 0
        self.texts = {}
        self.number = 0
        self.seen_results = self.seen_reads = 0
        self.read_floor = {}

    @precondition(lambda self: self.replicas is None)
    @rule(seed=st.integers(0, 2**32), count=st.integers(3, 5), loss=st.sampled_from([0.0, 0.1]))
    def start(self, seed, count, loss):
        self.replicas = start_cluster(count, seed, loss=loss)

    @precondition(lambda self: self.replicas is not None)
    @rule(jump=st.integers(-2, 5), copies=st.integers(1, 2))
    def propose(self, jump, copies):
        """Propose concurrent configurations with equal, higher and lower revisions."""
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
            revision, text = applied_document(self.replicas, name)
            assert self.texts.setdefault(revision, text) == text

    def teardown(self):
        if self.replicas is None:
            return
        self.replicas.recover_all()
        assert self.replicas.run_until(lambda: is_settled(self.replicas), 1000)
        self.collect()
        for name in self.replicas.leaders():
            assert applied_document(self.replicas, name)[0] >= self.acknowledged


TestAcceptedDocuments = WholeConfigurations.TestCase
