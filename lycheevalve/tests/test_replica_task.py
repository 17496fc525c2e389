"""ReplicaTask on a disk that is full for some time."""

import errno
import random

import trio
import trio.testing

from lycheevalve.control import ControlReplica
from lycheevalve.coordination import storage
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.configuration import accept_all as accept_checked
from lycheevalve.daemon.control import ReplicaSettings
from lycheevalve.daemon.events import Committed, Query
from lycheevalve.daemon.replica_task import ReplicaTask
from lycheevalve.schema.generated.messages import ReadRequest
from lycheevalve.tests.fakes.replicas import build_document

ADDRESS = "10.0.0.1:7000"


class FakeDisk:
    """A disk; while it is full, each write stores half of its data and fails."""

    def __init__(self, monkeypatch):
        self.full = False
        self.write_whole = storage.write_whole
        monkeypatch.setattr(storage, "write_whole", self.write)

    def write(self, file, data, sync):
        """Write all data, or half of it and raise ENOSPC."""
        if self.full:
            file.write(data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        self.write_whole(file, data, sync)


class ReplicaTaskHarness:
    """A ReplicaTask that is its own quorum, and the operator that sends it messages."""

    def __init__(self, folder):
        self.inbox, self.receiver = trio.open_memory_channel(64)
        self.owner_inbox, self.owner_events = trio.open_memory_channel(10_000)
        self.task = ReplicaTask(
            ReplicaSettings(ADDRESS, [ADDRESS]),
            folder,
            send=lambda *message: None,
            owner_inbox=self.owner_inbox,
            check=accept_checked,
            founding=True,
        )

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

    def committed(self):
        """Return the Committed events that the owner received."""
        events = []
        try:
            while True:
                event = self.owner_events.receive_nowait()
                if isinstance(event, Committed):
                    events.append(event)
        except trio.WouldBlock:
            return events


def run(folder, scenario):
    """Run `scenario(harness)` while the replica's task runs."""

    async def main():
        harness = ReplicaTaskHarness(folder)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.task.run, harness.receiver)
            await scenario(harness)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


class TestFullDisk:
    """Nothing is acknowledged on a full disk; the replica continues once there is space."""

    def test_acknowledges_nothing_until_there_is_space(self, tmp_path, monkeypatch):
        disk = FakeDisk(monkeypatch)

        async def scenario(harness):
            await harness.accept(5)
            disk.full = True
            result = await harness.query(build_document(6))
            assert result is None or result.outcome == Outcome.UNAVAILABLE
            read = await harness.query(ReadRequest())
            assert read is None or not read.current
            disk.full = False
            await harness.accept(7)
            read = await harness.query(ReadRequest())
            assert read.configuration.revision == 7
            control = ControlReplica(ADDRESS, "dc1", 1, random.Random(1), 0.0)
            held = []
            for event in harness.committed():
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
