"""
Storage of a replica: a write-ahead log and a snapshot in one data folder.

A record is a header (length, kind, CRC-32 of the header) and a body with its
CRC-32. A file that ends inside its last record was truncated by a crash before
the sync, so the incomplete record is dropped. Any other damage means that
acknowledged entries may be lost: it is reported until a new hard state is stored,
and the replica must recover from the others.
"""

import contextlib
import enum
import os
import struct
import zlib
from pathlib import Path

import attrs

from lycheevalve.exceptions import FrameError, StorageError
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated.messages import Entry, HardState, Snapshot

HEADER = struct.Struct(">IBI")
CHECKSUM = struct.Struct(">I")
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
DAMAGED_SUFFIX = ".damaged"
TEMPORARY_SUFFIX = ".new"
TRUNCATION = struct.Struct(">q")


class RecordKind(enum.IntEnum):
    """The kind of a record."""

    HARD_STATE = 1
    ENTRY = 2
    TRUNCATE = 3
    SNAPSHOT = 4
    UPSTREAMS = 5


@attrs.define
class Stored:
    """The state read from disk; without a hard state the disk was empty or damaged."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    # Why the files were set aside, or "".
    damage: str = ""


def encode_record(kind, body):
    """Return a record as bytes."""
    head = struct.pack(">IB", len(body), kind)
    header = head + CHECKSUM.pack(zlib.crc32(head))
    return header + CHECKSUM.pack(zlib.crc32(body)) + body


def read_records(data, name):
    """
    Return ([(kind, body)], bytes used) of a file's content.

    Raise StorageError with file and offset for any damage but a truncated tail.
    """
    records, offset = [], 0
    while offset + HEADER.size <= len(data):
        length, kind, checksum = HEADER.unpack_from(data, offset)
        if zlib.crc32(data[offset : offset + 5]) != checksum:
            raise StorageError(f"damaged header at byte {offset} of {name}", "read records")
        start = offset + HEADER.size + CHECKSUM.size
        if start + length > len(data):
            break
        body = data[start : start + length]
        if CHECKSUM.unpack_from(data, offset + HEADER.size)[0] != zlib.crc32(body):
            raise StorageError(f"damaged record at byte {offset} of {name}", "read records")
        records.append((kind, body))
        offset = start + length
    return records, offset


def sync_folder(folder):
    """Sync a folder, so that renames and new files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_whole(file, data, sync):
    """Write all of `data` and sync it."""
    written = file.write(data)
    if written != len(data):
        raise OSError(f"wrote {written} of {len(data)} bytes")
    sync(file.fileno())


def replace_file(path, data, sync=os.fsync):
    """
    Replace a file atomically: write a temporary file, sync, rename, sync the folder.

    After a failure the temporary file is removed, as it may hold the last space.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        with open(temporary, "wb", buffering=0) as file:
            write_whole(file, data, sync)
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    sync_folder(path.parent)


@attrs.define(slots=False)
class Storage:
    """
    The files of one replica; `sync` is called with each file descriptor to sync.

    All methods block; the owner runs them in a thread.
    """

    folder: Path
    sync: object = os.fsync
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    file: object = None

    def load(self, rewrite=False):
        """
        Return the state stored in the folder; set damaged files aside.

        After a failed write, `rewrite` rewrites the log, since records that can be
        read from the page cache may never have reached the disk.
        """
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            for name in (LOG_NAME, SNAPSHOT_NAME):
                (self.folder / (name + TEMPORARY_SUFFIX)).unlink(missing_ok=True)
            try:
                self.read_files()
            except (StorageError, FrameError) as error:
                self.set_aside()
                self.open_log()
                return Stored(damage=str(error))
            if rewrite:
                self.rewrite_log()
            self.open_log()
            if self.file.tell():
                # A process that was killed before the sync left records in the page cache.
                self.sync(self.file.fileno())
        except OSError as error:
            raise StorageError(str(error), "open data folder", str(self.folder)) from error
        damage = self.find_damage()
        return Stored(self.hard_state, self.snapshot, list(self.entries), damage)

    def read_files(self):
        """Read the snapshot and the log into memory; truncate an incomplete tail of the log."""
        snapshot_path = self.folder / SNAPSHOT_NAME
        if snapshot_path.exists():
            records, used = read_records(snapshot_path.read_bytes(), SNAPSHOT_NAME)
            if len(records) != 1 or used != snapshot_path.stat().st_size:
                raise StorageError(f"{SNAPSHOT_NAME} is incomplete", "read snapshot")
            self.snapshot = decode_struct(Snapshot, records[0][1])
        log_path = self.folder / LOG_NAME
        if not log_path.exists():
            if self.snapshot is not None:
                raise StorageError(f"{LOG_NAME} is missing beside a snapshot", "read log")
            return
        records, used = read_records(log_path.read_bytes(), LOG_NAME)
        for kind, body in records:
            self.replay(kind, body)
        if used != log_path.stat().st_size:
            os.truncate(log_path, used)
        base = self.snapshot.index if self.snapshot else 0
        self.entries = [entry for entry in self.entries if entry.index > base]
        self.check_continuity(base)

    def replay(self, kind, body):
        """Apply one record of the log."""
        if kind == RecordKind.HARD_STATE:
            self.hard_state = decode_struct(HardState, body)
        elif kind == RecordKind.ENTRY:
            self.entries.append(decode_struct(Entry, body))
        elif kind == RecordKind.TRUNCATE:
            index = TRUNCATION.unpack(body)[0]
            self.entries = [entry for entry in self.entries if entry.index < index]
        else:
            raise StorageError(f"log has a record of unknown kind {kind}", "read log")

    def check_continuity(self, base):
        """Raise StorageError if an entry after the snapshot is missing."""
        for position, entry in enumerate(self.entries):
            if entry.index != base + position + 1:
                raise StorageError(
                    f"entry {base + position + 1} is missing from the log", "read log"
                )

    def find_damage(self):
        """Return why nothing is known of earlier votes and entries, or ''."""
        if self.hard_state is None:
            for name in (LOG_NAME, SNAPSHOT_NAME):
                damaged = self.folder / (name + DAMAGED_SUFFIX)
                if damaged.exists():
                    return f"nothing was stored since {damaged.name} was set aside"
        return ""

    def set_aside(self):
        """Rename damaged files, to keep them for inspection, and discard their content."""
        self.hard_state, self.snapshot, self.entries = None, None, []
        for name in (LOG_NAME, SNAPSHOT_NAME):
            path = self.folder / name
            if path.exists():
                path.replace(self.folder / (name + DAMAGED_SUFFIX))

    def open_log(self):
        """Open the log for appending."""
        self.file = (self.folder / LOG_NAME).open("ab", buffering=0)
        sync_folder(self.folder)

    def write(self, effects):
        """Write and sync the stored part of `effects`; raise StorageError on failure."""
        try:
            if effects.snapshot is not None:
                self.write_snapshot(effects)
            else:
                self.write_log(effects)
        except OSError as error:
            raise StorageError(str(error), "write log", str(self.folder)) from error

    def write_log(self, effects):
        """Append the records of `effects` and sync them."""
        records = []
        if effects.truncate_from:
            body = TRUNCATION.pack(effects.truncate_from)
            records.append(encode_record(RecordKind.TRUNCATE, body))
        records += [encode_record(RecordKind.ENTRY, encode_struct(e)) for e in effects.entries]
        if effects.hard_state is not None:
            body = encode_struct(effects.hard_state)
            records.append(encode_record(RecordKind.HARD_STATE, body))
        self.write_records(records)
        self.update_memory(effects)

    def update_memory(self, effects):
        """Update the in-memory copy of the files."""
        if effects.truncate_from:
            self.entries = [e for e in self.entries if e.index < effects.truncate_from]
        self.entries += effects.entries
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state

    def write_snapshot(self, effects):
        """
        Write a snapshot, then a new log with the entries after it.

        The snapshot is in place before the old log is replaced; after a crash
        between the two, entries up to the snapshot are skipped.
        """
        self.update_memory(effects)
        self.snapshot = effects.snapshot
        self.entries = [e for e in self.entries if e.index > self.snapshot.index]
        body = encode_record(RecordKind.SNAPSHOT, encode_struct(self.snapshot))
        self.replace_file(SNAPSHOT_NAME, body)
        self.rewrite_log()
        self.file.close()
        self.open_log()

    def rewrite_log(self):
        """Replace the log with one that holds only the current entries and hard state."""
        records = [encode_record(RecordKind.ENTRY, encode_struct(e)) for e in self.entries]
        if self.hard_state is not None:
            hard_state = encode_struct(self.hard_state)
            records.append(encode_record(RecordKind.HARD_STATE, hard_state))
        self.replace_file(LOG_NAME, b"".join(records))

    def write_records(self, records):
        """Append records to the log and sync them."""
        write_whole(self.file, b"".join(records), self.sync)

    def replace_file(self, name, data):
        """Replace a file of the folder atomically."""
        replace_file(self.folder / name, data, self.sync)

    def close(self):
        """Close the log."""
        if self.file is not None:
            self.file.close()
