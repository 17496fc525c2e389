"""ReplicaTask on a disk that fails for some time, and after unexpected errors."""

import errno
import os
import random
import threading

import pytest
import trio
import trio.testing

from lycheevalve.control import ControlReplica
from lycheevalve.coordination import consensus, storage
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.configuration import accept_all as accept_checked
from lycheevalve.coordination.log import EntryKind
from lycheevalve.coordination.replica import Role
from lycheevalve.daemon.control import ReplicaSettings
from lycheevalve.daemon.events import Committed, Query, Received, ReplicaView, Stop
from lycheevalve.daemon.replica_task import ReplicaTask
from lycheevalve.schema.generated.messages import (
    Abdicate,
    Append,
    Appended,
    Entry,
    Probe,
    ReadRequest,
    Vote,
    VoteRequest,
)
from lycheevalve.tests.fakes.replicas import build_document

ADDRESS = "10.0.0.1:7000"
LEADER = "10.0.0.2:7000"


class FakeDisk:
    """A disk; while it is full, each write stores half of its data and fails with `error`."""

    def __init__(self, monkeypatch, error=errno.ENOSPC):
        self.full = False
        self.error = error
        self.write_whole = storage.write_whole
        monkeypatch.setattr(storage, "write_whole", self.write)

    def write(self, file, data, sync):
        """Write all data, or half of it and raise the error."""
        if self.full:
            file.write(data[: len(data) // 2])
            raise OSError(self.error, os.strerror(self.error))
        self.write_whole(file, data, sync)


class ReplicaTaskHarness:
    """
    A ReplicaTask and the operator that sends it messages.

    Without other members the replica is its own quorum.
    """

    def __init__(self, folder, others=()):
        self.inbox, self.receiver = trio.open_memory_channel(64)
        self.owner_inbox, self.owner_events = trio.open_memory_channel(10_000)
        self.sent = []
        self.scope = trio.CancelScope()
        self.stopped = trio.Event()
        self.task = ReplicaTask(
            ReplicaSettings(ADDRESS, [ADDRESS, *others]),
            folder,
            send=self.respond,
            owner_inbox=self.owner_inbox,
            check=accept_checked,
            founding=True,
        )

    async def run_task(self):
        """Run the task until `scope` is cancelled."""
        with self.scope:
            await self.task.run(self.receiver)
        self.stopped.set()

    def respond(self, name, message):
        """Vote for the replica, and acknowledge what holds no change."""
        self.sent.append((name, message))
        if isinstance(message, VoteRequest):
            answer = Vote(message.term, True, message.pre)
        elif isinstance(message, Append) and not any(e.change for e in message.entries):
            match = message.previous_index + len(message.entries)
            answer = Appended(message.term, True, match, message.round, False, 1)
        else:
            return
        self.inbox.send_nowait(Received(name, answer))

    async def query(self, message):
        """Send an operator's message; return the answer, or None after 5 seconds."""
        reply, answers = trio.open_memory_channel(1)
        await self.inbox.send(Query(message, reply))
        with trio.move_on_after(5):
            return await answers.receive()

    async def accept(self, revision):
        """Propose a configuration until it is accepted."""
        for _ in range(100):
            result = await self.query(build_document(revision))
            if result is not None and result.outcome in (
                Outcome.ACCEPTED,
                Outcome.SUPERSEDED,
            ):
                return result
            await trio.sleep(0.2)
        raise AssertionError("the configuration was not accepted in time")

    async def lead(self, index, *entries):
        """Send the entries after `index` as the leader of the first term, all committed."""
        term = 1 if index else 0
        message = Append(1, index, term, list(entries), index + len(entries), index + 1)
        await self.inbox.send(Received(LEADER, message))
        await trio.sleep(0.2)

    def events(self, kind):
        """Return the events of a kind that the owner received since the last call."""
        events = []
        try:
            while True:
                event = self.owner_events.receive_nowait()
                if isinstance(event, kind):
                    events.append(event)
        except trio.WouldBlock:
            return events

    def count_stops(self):
        """Return how often the replica stopped since the last call."""
        return [view.role for view in self.events(ReplicaView)].count(Role.STOPPED.value)


def build_entries(first, last):
    """Return entries of the first term without a change."""
    return [Entry(index, 1, EntryKind.NOOP) for index in range(first, last + 1)]


async def run_inline(function, *args, **_):
    """Call a function as trio.to_thread.run_sync does, but without a thread."""
    await trio.lowlevel.checkpoint()
    return function(*args)


def run(folder, scenario, others=(), in_thread=False):
    """
    Run `scenario(harness)` while the replica's task runs.

    The mock clock advances while a thread runs, so files are used in one only on request.
    """

    async def main():
        harness = ReplicaTaskHarness(folder, others)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.run_task)
            await scenario(harness)
            nursery.cancel_scope.cancel()

    with pytest.MonkeyPatch.context() as patch:
        if not in_thread:
            patch.setattr(trio.to_thread, "run_sync", run_inline)
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


class TestFullDisk:
    """Nothing is acknowledged on a full disk; the replica continues once there is space."""

    @pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
    def test_acknowledges_nothing_until_there_is_space(self, tmp_path, monkeypatch, error):
        disk = FakeDisk(monkeypatch, error)

        async def scenario(harness):
            await harness.accept(5)
            disk.full = True
            result = await harness.query(build_document(6))
            assert result.outcome == Outcome.UNAVAILABLE
            read = await harness.query(ReadRequest())
            assert not read.current
            disk.full = False
            await harness.accept(7)
            read = await harness.query(ReadRequest())
            assert read.configuration.revision == 7
            control = ControlReplica(ADDRESS, "dc1", 1, random.Random(1), 0.0)
            held = []
            for event in harness.events(Committed):
                control.handle_commit(event.configuration, event.changes, 0.0)
                held.append(control.dissemination.held.revision)
            assert held == sorted(held)
            assert held[-1] == 7

        run(tmp_path, scenario)

    def test_acknowledged_revision_survives_a_restart(self, tmp_path, monkeypatch):
        disk = FakeDisk(monkeypatch)

        async def before(harness):
            await harness.accept(5)
            disk.full = True
            await harness.query(build_document(6))

        async def after(harness):
            read = None
            while read is None or not read.current:
                read = await harness.query(ReadRequest())
                await trio.sleep(0.1)
            assert read.configuration.revision == 5

        run(tmp_path, before)
        disk.full = False
        run(tmp_path, after)

    def test_start_on_a_full_disk_is_retried(self, tmp_path, monkeypatch):
        disk = FakeDisk(monkeypatch)
        disk.full = True

        async def scenario(harness):
            await trio.sleep(3)
            disk.full = False
            await harness.accept(5)

        run(tmp_path, scenario)

    def test_refers_to_the_leader_while_its_disk_is_full(self, tmp_path, monkeypatch):
        """Callers of this replica were refused, though the leader accepted changes."""
        disk = FakeDisk(monkeypatch)

        async def scenario(harness):
            await harness.lead(0, *build_entries(1, 1))
            disk.full = True
            await harness.lead(1, *build_entries(2, 2))
            for _ in range(5):
                result = await harness.query(build_document(6))
                assert (result.outcome, result.winner) == (Outcome.REDIRECT, LEADER)
                read = await harness.query(ReadRequest())
                assert (read.current, read.leader) == (False, LEADER)
                await trio.sleep(0.3)

        run(tmp_path, scenario, others=[LEADER, "10.0.0.3:7000"])

    def test_refers_to_the_next_leader_after_its_own_disk_failed(self, tmp_path, monkeypatch):
        """A former leader refused all callers until its disk had space."""
        disk = FakeDisk(monkeypatch)

        async def scenario(harness):
            await harness.accept(5)
            disk.full = True
            assert (await harness.query(build_document(6))).outcome == Outcome.UNAVAILABLE
            await harness.lead(3, *build_entries(4, 4))
            result = await harness.query(build_document(6))
            assert (result.outcome, result.winner) == (Outcome.REDIRECT, LEADER)

        run(tmp_path, scenario)

    def test_messages_from_before_the_retry_do_not_make_it_current(self, tmp_path, monkeypatch):
        """They may be as old as the failure, and another leader may have been elected."""
        disk = FakeDisk(monkeypatch)
        load = storage.Storage.load

        async def scenario(harness):
            await harness.lead(0, *build_entries(1, 1))
            assert harness.events(ReplicaView)[-1].current

            def load_slowly(self, rewrite=False):
                stored = load(self, rewrite)
                late = Received(LEADER, Append(1, 1, 1, [], 1, 2))
                harness.inbox.send_nowait(late)
                return stored

            monkeypatch.setattr(storage.Storage, "load", load_slowly)
            disk.full = True
            await harness.lead(1, *build_entries(2, 2))
            disk.full = False
            await trio.sleep(0.7)
            views = harness.events(ReplicaView)
            assert views[-1].leader == LEADER
            assert not any(view.current for view in views)
            await trio.sleep(0.5)
            await harness.lead(1)
            assert harness.events(ReplicaView)[-1].current

        run(tmp_path, scenario, others=[LEADER, "10.0.0.3:7000"])

    def test_leader_whose_disk_fails_hands_over_at_once(self, tmp_path, monkeypatch):
        """The others waited for their election timeout, and changes were refused meanwhile."""
        disk = FakeDisk(monkeypatch)

        async def scenario(harness):
            while Role.LEADER.value not in [v.role for v in harness.events(ReplicaView)]:
                await trio.sleep(0.1)
            term = harness.task.replica.hard_state.term
            harness.sent.clear()
            disk.full = True
            assert (await harness.query(build_document(6))).outcome == Outcome.UNAVAILABLE
            handed_over = [(n, m) for n, m in harness.sent if not isinstance(m, Append)]
            assert handed_over == [(LEADER, Abdicate(term))]
            assert not any(m.entries for _, m in harness.sent if isinstance(m, Append))

        run(tmp_path, scenario, others=[LEADER])

    def test_files_that_were_lost_do_not_found_the_site_again(self, tmp_path, monkeypatch):
        """The replica became a voter with an empty log, having forgotten its votes."""
        disk = FakeDisk(monkeypatch)

        async def scenario(harness):
            await harness.lead(0, *build_entries(1, 1))
            disk.full = True
            await harness.lead(1, *build_entries(2, 2))
            for path in tmp_path.iterdir():
                path.unlink()
            disk.full = False
            await trio.sleep(1)
            assert harness.task.replica.role is Role.RECOVERING

        run(tmp_path, scenario, others=[LEADER, "10.0.0.3:7000"])


class TestHangingDisk:
    """A disk that answers nothing for some time."""

    def run(self, folder, monkeypatch, scenario):
        """Run `scenario(harness, hang)` with a disk whose writes wait for the event `hang`."""
        hang = threading.Event()
        write = storage.Storage.write

        def write_slowly(self, effects):
            hang.wait()
            write(self, effects)

        async def hang_and_run(harness):
            await harness.lead(0, *build_entries(1, 1))
            monkeypatch.setattr(storage.Storage, "write", write_slowly)
            await harness.lead(1, *build_entries(2, 2))
            try:
                await scenario(harness, hang)
            finally:
                hang.set()

        run(folder, hang_and_run, others=[LEADER, "10.0.0.3:7000"], in_thread=True)

    def test_refers_to_the_leader_while_the_disk_hangs(self, tmp_path, monkeypatch):
        """Callers waited for the disk until their timeout, though the leader answered."""

        async def scenario(harness, hang):
            result = await harness.query(build_document(6))
            assert result is not None
            assert (result.outcome, result.winner) == (Outcome.REDIRECT, LEADER)
            views = harness.events(ReplicaView)
            assert (views[-1].role, views[-1].current) == (Role.STOPPED.value, False)
            hang.set()
            while not harness.events(ReplicaView):
                await harness.lead(2, *build_entries(3, 3))
            assert harness.task.replica.commit >= 2

        self.run(tmp_path, monkeypatch, scenario)

    def test_messages_do_not_wait_for_the_disk(self, tmp_path, monkeypatch):
        """The inbox filled up, and a stop of the process waited for the disk."""

        async def scenario(harness, hang):
            with trio.fail_after(5):
                for _ in range(1000):
                    await harness.inbox.send(Received(LEADER, Append(1, 2, 1, [], 2, 3)))
                await harness.inbox.send(Stop())

        self.run(tmp_path, monkeypatch, scenario)

    def test_stop_does_not_wait_for_the_disk(self, tmp_path, monkeypatch):
        """The process did not end until the disk answered."""

        async def scenario(harness, hang):
            harness.scope.cancel()
            with trio.fail_after(5):
                await harness.stopped.wait()

        self.run(tmp_path, monkeypatch, scenario)


class TestLostLeadership:
    """A leader that steps down while queries wait for the other replicas."""

    def test_refers_waiting_queries_to_the_next_leader(self, tmp_path):
        """They stayed unanswered, and their callers waited for the timeout."""

        async def scenario(harness):
            while Role.LEADER.value not in [v.role for v in harness.events(ReplicaView)]:
                await trio.sleep(0.1)
            reply, answers = trio.open_memory_channel(1)
            await harness.inbox.send(Query(build_document(6), reply))
            await trio.sleep(0.1)
            term = harness.task.replica.hard_state.term + 1
            await harness.inbox.send(Received(LEADER, Append(term, 0, 0, [], 0, 1)))
            with trio.fail_after(0.2):
                result = await answers.receive()
            assert (result.outcome, result.winner) == (Outcome.REDIRECT, LEADER)

        run(tmp_path, scenario, others=[LEADER])


class TestUnexpectedErrors:
    """An error of one message or query ends neither the process nor the replica for good."""

    def fail_probes(self, monkeypatch):
        def fail(*_):
            raise ZeroDivisionError("an unexpected error")

        monkeypatch.setitem(consensus.HANDLERS, Probe, fail)

    def test_error_of_a_message_restarts_the_replica_from_its_files(
        self, tmp_path, monkeypatch
    ):
        """The error left the task and ended the process."""
        self.fail_probes(monkeypatch)

        async def scenario(harness):
            await harness.accept(5)
            await harness.inbox.send(Received(LEADER, Probe(1)))
            await harness.accept(6)
            assert harness.count_stops() == 1
            read = await harness.query(ReadRequest())
            assert read.configuration.revision == 6

        run(tmp_path, scenario)

    def test_message_that_fails_each_time_does_not_stop_changes(self, tmp_path, monkeypatch):
        """The message is dropped, so the replica makes progress between two of them."""
        self.fail_probes(monkeypatch)

        async def scenario(harness):
            for revision in range(5, 15):
                await harness.inbox.send(Received(LEADER, Probe(1)))
                assert await harness.query(ReadRequest()) is not None
                await harness.accept(revision)
            assert harness.count_stops() == 10

        run(tmp_path, scenario)

    def test_change_that_cannot_be_encoded_is_refused(self, tmp_path):
        """Writing it to the log failed, so each leader that took it lost its leadership."""

        async def scenario(harness):
            await harness.accept(5)
            result = await harness.query(build_document(2**63))
            assert result.outcome == Outcome.UNAVAILABLE
            assert "can't be stored" in result.reason
            assert (await harness.query(build_document(6))).outcome == Outcome.ACCEPTED
            assert harness.count_stops() == 0

        run(tmp_path, scenario)

    def test_caller_that_has_gone_does_not_stop_the_replica(self, tmp_path):
        """The error of the answer left the task and ended the process."""

        async def scenario(harness):
            await harness.accept(5)
            for message in (build_document(6), ReadRequest()):
                reply, answers = trio.open_memory_channel(1)
                answers.close()
                await harness.inbox.send(Query(message, reply))
            assert (await harness.query(build_document(7))).outcome == Outcome.ACCEPTED
            assert harness.count_stops() == 0

        run(tmp_path, scenario)
