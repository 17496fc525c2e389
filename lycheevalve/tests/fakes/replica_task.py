"""A ReplicaTask on a mock clock, with a disk that fails and messages of other replicas."""

import errno
import os

import pytest
import trio
import trio.testing

from lycheevalve.config.roles import ReplicaSettings
from lycheevalve.coordination import storage
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.configuration import accept_all as accept_checked
from lycheevalve.coordination.log import EntryKind
from lycheevalve.coordination.replica import Role
from lycheevalve.daemon.events import Query, Received, ReplicaView
from lycheevalve.daemon.replica_task import ReplicaTask
from lycheevalve.schema.generated.messages import Append, Appended, Entry, Vote, VoteRequest
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
