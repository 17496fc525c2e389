"""A planned stop of a leader whose disk takes long at that moment."""

import threading

import trio

from lycheevalve.coordination import storage
from lycheevalve.coordination.replica import Role
from lycheevalve.daemon.events import Query, ReplicaView, Stop
from lycheevalve.daemon.replica_task import STALL_SECONDS
from lycheevalve.schema.generated.messages import Abdicate
from lycheevalve.tests.fakes import replica_task
from lycheevalve.tests.fakes.replicas import build_document

FOLLOWER = replica_task.LEADER


class TestStop:
    """The event of the stop arrives while the replica refuses queries."""

    # The event was dropped: the others waited for their election timeout.
    def test_leader_hands_over_once_its_disk_answers(self, tmp_path, monkeypatch):
        hang = threading.Event()
        write = storage.Storage.write

        def write_slowly(self, effects):
            hang.wait(20)
            write(self, effects)

        async def scenario(harness):
            while Role.LEADER.value not in [v.role for v in harness.events(ReplicaView)]:
                await trio.sleep(0.1)
            monkeypatch.setattr(storage.Storage, "write", write_slowly)
            reply, _ = trio.open_memory_channel(1)
            await harness.inbox.send(Query(build_document(6), reply))
            try:
                await trio.sleep(2 * STALL_SECONDS)
                await harness.inbox.send(Stop())
                await trio.sleep(0.05)
            finally:
                hang.set()
            await trio.sleep(0.3)
            assert any(isinstance(message, Abdicate) for _, message in harness.sent)

        replica_task.run(tmp_path, scenario, others=[FOLLOWER], in_thread=True)
