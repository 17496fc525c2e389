"""Storage of a replica: truncated logs, flipped bytes, full disks, failing syncs."""

import errno
import os
import random
import tempfile
from pathlib import Path
from unittest.mock import Mock

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.coordination import consensus, storage, upstream_cache
from lycheevalve.coordination.replica import Effects, Role
from lycheevalve.coordination.storage import LOG_NAME, SNAPSHOT_NAME, Storage
from lycheevalve.coordination.upstream_cache import (
    RESTORED_LEASE_MS,
    read_upstream_cache,
    write_upstream_cache,
)
from lycheevalve.daemon.upstream_store import UpstreamStore
from lycheevalve.exceptions import StorageError
from lycheevalve.schema.generated.messages import (
    Configuration,
    Entry,
    HardState,
    Registration,
    Snapshot,
)
from lycheevalve.tests.fakes.entry import build_registration
from lycheevalve.tests.fakes.replicas import build_change


def build_entries(first, last, term=1):
    """Return entries that hold a change each."""
    return [Entry(i, term, 1, build_change(f"c{i}", i - 1)) for i in range(first, last + 1)]


def raise_full(*_):
    """Fail as an operation on a full disk."""
    raise OSError(errno.ENOSPC, "No space left on device")


def write_sample_log(folder, count=4):
    """Write a hard state and `count` entries, one sync each; return the sizes of the log."""
    storage = Storage(folder)
    storage.load()
    storage.write(Effects(hard_state=HardState(1, "r1", False, 5)))
    sizes = []
    for entry in build_entries(1, count):
        storage.write(Effects(entries=[entry]))
        sizes.append((folder / LOG_NAME).stat().st_size)
    storage.close()
    return sizes


class TestUpstreamCache:
    """Registrations that a control replica restores at its start."""

    def test_registrations_are_restored_with_a_short_lease(self, tmp_path):
        registrations = [build_registration(1), build_registration(2, draining=True)]
        write_upstream_cache(tmp_path, registrations)
        found = read_upstream_cache(tmp_path)
        assert [(r.name, r.draining) for r in found] == [
            (r.name, r.draining) for r in registrations
        ]
        assert {r.lifetime_ms for r in found} == {RESTORED_LEASE_MS}

    def test_deregistered_upstream_is_not_restored(self, tmp_path):
        write_upstream_cache(tmp_path, [build_registration(1, leaving=True)])
        assert read_upstream_cache(tmp_path) == []

    def test_missing_file_restores_nothing(self, tmp_path):
        assert read_upstream_cache(tmp_path) == []

    def test_damaged_file_is_reported_and_not_used(self, tmp_path):
        write_upstream_cache(tmp_path, [build_registration(1)])
        path = tmp_path / upstream_cache.FILE_NAME
        data = path.read_bytes()
        for position in range(len(data)):
            path.write_bytes(
                data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :]
            )
            try:
                assert read_upstream_cache(tmp_path) == []
            except StorageError as error:
                assert "upstreams" in str(error)

    def test_full_disk_keeps_the_old_file(self, tmp_path, monkeypatch):
        write_upstream_cache(tmp_path, [build_registration(1)])

        def refuse(*_):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr("lycheevalve.coordination.storage.write_whole", refuse)
        with pytest.raises(StorageError, match="No space"):
            write_upstream_cache(tmp_path, [])
        assert len(read_upstream_cache(tmp_path)) == 1


class TestTruncatedTail:
    """A log that ends inside its last record, after a crash before the sync."""

    def test_truncation_at_any_byte_keeps_all_complete_records(self, tmp_path):
        sizes = write_sample_log(tmp_path / "whole")
        data = (tmp_path / "whole" / LOG_NAME).read_bytes()
        for size in range(sizes[2], sizes[3] + 1):
            folder = tmp_path / f"cut-{size}"
            folder.mkdir()
            (folder / LOG_NAME).write_bytes(data[:size])
            stored = Storage(folder).load()
            assert stored.damage == ""
            assert len(stored.entries) == (4 if size == sizes[3] else 3)
            assert stored.hard_state == HardState(1, "r1", False, 5)

    def test_log_accepts_entries_after_a_truncation(self, tmp_path):
        sizes = write_sample_log(tmp_path)
        data = (tmp_path / LOG_NAME).read_bytes()
        (tmp_path / LOG_NAME).write_bytes(data[: sizes[3] - 3])
        storage = Storage(tmp_path)
        storage.load()
        storage.write(Effects(entries=build_entries(4, 5, term=2)))
        storage.close()
        assert [e.term for e in Storage(tmp_path).load().entries] == [1, 1, 1, 2, 2]


class TestDamage:
    """Bytes that changed on disk, and a missing log."""

    def test_every_flipped_byte_is_detected_and_located(self, tmp_path):
        sizes = write_sample_log(tmp_path / "whole", 2)
        data = (tmp_path / "whole" / LOG_NAME).read_bytes()
        for position in range(sizes[1]):
            folder = tmp_path / f"flip-{position}"
            folder.mkdir()
            flipped = bytearray(data)
            flipped[position] ^= 0x40
            (folder / LOG_NAME).write_bytes(flipped)
            stored = Storage(folder).load()
            assert stored.hard_state is None and stored.entries == []
            assert "byte" in stored.damage and LOG_NAME in stored.damage
            assert (folder / f"{LOG_NAME}.damaged").read_bytes() == bytes(flipped)

    def test_damaged_replica_recovers_from_the_others(self, tmp_path):
        write_sample_log(tmp_path)
        data = bytearray((tmp_path / LOG_NAME).read_bytes())
        data[40] ^= 1
        (tmp_path / LOG_NAME).write_bytes(data)
        stored = Storage(tmp_path).load()
        replica = consensus.start_replica("r1", ["r1", "r2"], random.Random(1), stored, 0.0)
        assert replica.role is Role.RECOVERING

    def test_missing_log_beside_a_snapshot_is_damage(self, tmp_path):
        storage = Storage(tmp_path)
        storage.load()
        snapshot = Snapshot(3, 1, ["r1"], Configuration(3))
        storage.write(Effects(snapshot=snapshot, hard_state=HardState(1, "", False, 5)))
        storage.close()
        (tmp_path / LOG_NAME).unlink()
        assert "missing" in Storage(tmp_path).load().damage

    def test_damage_is_reported_until_a_hard_state_is_stored(self, tmp_path, monkeypatch):
        """
        A founding replica started as a voter with an empty log, and forgot its votes.

        The disk was full when the files that replace the damaged ones were written.
        """
        write_sample_log(tmp_path)
        data = bytearray((tmp_path / LOG_NAME).read_bytes())
        data[40] ^= 1
        (tmp_path / LOG_NAME).write_bytes(data)
        with monkeypatch.context() as patch:
            patch.setattr(Storage, "open_log", raise_full)
            with pytest.raises(StorageError, match="No space"):
                Storage(tmp_path).load()
        for _ in range(2):
            storage = Storage(tmp_path)
            stored = storage.load(rewrite=True)
            storage.close()
            assert "set aside" in stored.damage
            replica = consensus.start_replica(
                "r1", ["r1", "r2"], random.Random(1), stored, 0.0, founding=True
            )
            assert replica.role is Role.RECOVERING
        storage = Storage(tmp_path)
        storage.load()
        storage.write(replica.take_effects())
        storage.close()
        assert Storage(tmp_path).load().damage == ""

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_read_or_rejected(self, data):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / LOG_NAME).write_bytes(data)
            stored = Storage(Path(folder)).load()
            assert stored.damage or not stored.entries


class TestFailingDisk:
    """A disk that is full, fails to sync or cannot be opened."""

    def test_failing_sync_is_an_error_with_step_and_folder(self, tmp_path):
        def fail(_):
            raise OSError("input/output error")

        storage = Storage(tmp_path, sync=fail)
        storage.load()
        with pytest.raises(StorageError, match=f"write log, {tmp_path}"):
            storage.write(Effects(entries=build_entries(1, 1)))

    def test_full_disk_is_an_error(self, tmp_path):
        storage = Storage(tmp_path)
        storage.load()
        storage.file.close()
        with open("/dev/full", "wb", buffering=0) as full:
            storage.file = full
            with pytest.raises(StorageError, match="No space left"):
                storage.write(Effects(entries=build_entries(1, 1)))

    def test_records_without_a_sync_are_synced_at_the_next_start(self, tmp_path):
        """A process that was killed before the sync acknowledged them after its restart."""
        write_sample_log(tmp_path)
        synced = []

        def sync(descriptor):
            synced.append(os.fstat(descriptor).st_ino)
            os.fsync(descriptor)

        storage = Storage(tmp_path, sync=sync)
        assert len(storage.load().entries) == 4
        assert (tmp_path / LOG_NAME).stat().st_ino in synced
        storage.close()

    @pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
    def test_failed_replacement_leaves_no_file_behind(self, tmp_path, monkeypatch, error):
        """The part that was written kept the last space of the disk."""
        write_sample_log(tmp_path)

        def fail(file, data, sync):
            file.write(data[: len(data) // 2])
            raise OSError(error, os.strerror(error))

        before = (tmp_path / LOG_NAME).read_bytes()
        with monkeypatch.context() as patch:
            patch.setattr("lycheevalve.coordination.storage.write_whole", fail)
            with pytest.raises(StorageError, match=os.strerror(error)):
                Storage(tmp_path).load(rewrite=True)
        assert [path.name for path in tmp_path.iterdir()] == [LOG_NAME]
        assert (tmp_path / LOG_NAME).read_bytes() == before

    def test_temporary_files_of_a_killed_process_are_removed(self, tmp_path):
        """They kept space until the next snapshot."""
        write_sample_log(tmp_path)
        for name in (LOG_NAME, SNAPSHOT_NAME):
            (tmp_path / f"{name}.new").write_bytes(b"part")
        storage = Storage(tmp_path)
        storage.load()
        storage.close()
        assert [path.name for path in tmp_path.iterdir()] == [LOG_NAME]

    def test_unwritable_folder_is_an_error(self, tmp_path):
        (tmp_path / "file").write_text("")
        with pytest.raises(StorageError, match="open data folder"):
            Storage(tmp_path / "file").load()


class TestSnapshots:
    """Snapshots and the entries after them."""

    def test_snapshot_replaces_entries(self, tmp_path):
        write_sample_log(tmp_path)
        storage = Storage(tmp_path)
        storage.load()
        snapshot = Snapshot(3, 1, ["r1"], Configuration(3))
        storage.write(Effects(snapshot=snapshot))
        storage.write(Effects(entries=build_entries(5, 5)))
        storage.close()
        stored = Storage(tmp_path).load()
        assert stored.snapshot == snapshot
        assert [entry.index for entry in stored.entries] == [4, 5]
        assert stored.hard_state == HardState(1, "r1", False, 5)

    def test_crash_between_snapshot_and_new_log_loses_nothing(self, tmp_path):
        write_sample_log(tmp_path)
        storage = Storage(tmp_path)
        storage.load()
        replace = storage.replace_file

        def crash(name, data):
            if name == LOG_NAME:
                raise OSError("crash")
            replace(name, data)

        storage.replace_file = crash
        with pytest.raises(StorageError):
            storage.write(Effects(snapshot=Snapshot(3, 1, ["r1"], Configuration(3))))
        stored = Storage(tmp_path).load()
        assert stored.damage == ""
        assert [entry.index for entry in stored.entries] == [4]


class StoredUpstreams:
    """The logic of a replica that can't use one of the stored registrations."""

    def __init__(self):
        self.applied = []

    def adopt_registration(self, registration, now):
        """Keep a registration; fail for one with an address that is none."""
        if registration.address == "damaged":
            raise ValueError("not an address")
        self.applied.append(registration.name)


# The operations of a write by name: the object and the name of the function that fails.
DISK_OPERATIONS = {
    "open": (storage, "open"),
    "write": (storage, "write_whole"),
    "rename": (Path, "replace"),
    "sync of the folder": (storage, "sync_folder"),
}


class TestUpstreamStore:
    """The upstreams that a replica stores for its next start."""

    # An error that is not reported as one of the disk ends the writing of further changes.
    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS, errno.ENOENT])
    @pytest.mark.parametrize("operation", DISK_OPERATIONS)
    def test_failed_operation_is_an_error_of_the_disk(
        self, operation, number, tmp_path, monkeypatch
    ):
        def fail(*_, **__):
            raise OSError(number, os.strerror(number))

        def build_store(name):
            logic = Mock()
            logic.upstreams.live_leases.return_value = [
                Registration("s1", "10.0.0.1:1", "dc1", name=name)
            ]
            logic.lookups.list_targets.return_value = []
            return UpstreamStore(tmp_path, logic, b"key")

        def read_names():
            return [r.name for r in upstream_cache.read_upstream_cache(tmp_path)]

        trio.run(build_store("old").write, 0.0)
        with monkeypatch.context() as patch:
            owner, name = DISK_OPERATIONS[operation]
            patch.setattr(owner, name, fail, raising=False)
            with pytest.raises(StorageError, match=os.strerror(number)):
                trio.run(build_store("new").write, 0.0)
        assert read_names() in (["old"], ["new"])
        trio.run(build_store("new").write, 0.0)
        assert read_names() == ["new"]

    # One registration that can't be used lost all that were stored after it.
    def test_unusable_registration_loses_no_other(self, tmp_path):
        registrations = [
            Registration("s1", address, "dc1", name=name)
            for name, address in (("u1", "10.0.0.1:1"), ("u2", "damaged"), ("u3", "10.0.0.3:1"))
        ]
        upstream_cache.write_upstream_cache(tmp_path, registrations)
        logic = StoredUpstreams()
        trio.run(UpstreamStore(tmp_path, logic, b"key").load)
        assert logic.applied == ["u1", "u3"]
