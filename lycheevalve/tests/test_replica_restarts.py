"""A ReplicaTask whose log can't be closed after a failed write."""

import errno
import os

from lycheevalve.coordination import storage
from lycheevalve.daemon.boundaries import keep_running
from lycheevalve.tests.fakes import replica_task
from lycheevalve.tests.fakes.replicas import build_document


class TestClose:
    """Errors of close(), as of file systems that write late."""

    # keep_running started the task anew, which then trusted what it read from the page cache.
    def test_log_is_rewritten_after_a_write_and_the_close_failed(self, tmp_path, monkeypatch):
        disk = replica_task.FakeDisk(monkeypatch, errno.EIO)
        rewrites = []
        close, load = storage.Storage.close, storage.Storage.load

        def fail_to_close(self):
            close(self)
            if disk.full:
                raise OSError(errno.EIO, os.strerror(errno.EIO))

        def observe_load(self, rewrite=False):
            rewrites.append(rewrite)
            return load(self, rewrite)

        monkeypatch.setattr(storage.Storage, "close", fail_to_close)
        monkeypatch.setattr(storage.Storage, "load", observe_load)
        run_task = replica_task.ReplicaTask.run

        async def keep_task_running(self, inbox):
            await keep_running("replica", run_task, self, inbox)

        monkeypatch.setattr(replica_task.ReplicaTask, "run", keep_task_running)

        async def scenario(harness):
            await harness.accept(5)
            disk.full = True
            await harness.query(build_document(6))
            disk.full = False
            await harness.accept(7)

        replica_task.run(tmp_path, scenario)
        assert rewrites[0] is False
        assert all(rewrites[1:]), rewrites
