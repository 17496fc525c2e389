"""The in-memory replicated log: a snapshot and the entries after it."""

import enum

import attrs

from lycheevalve.schema.generated.messages import Entry, Snapshot

ENTRIES_PER_MESSAGE = 64
# Whole configurations are large, so the number of entries alone does not limit a message.
# A message always holds at least one entry.
DOCUMENT_BYTES_PER_MESSAGE = 1_000_000


class EntryKind(enum.IntEnum):
    """The kind of a log entry."""

    NOOP = 0
    CHANGE = 1
    MEMBERS = 2


def document_bytes(entry):
    """Return the size of the whole configuration in an entry, or 0 if it has none."""
    return len(entry.change.document) if entry.change is not None else 0


@attrs.define
class Log:
    """A snapshot and the entries that follow it; indices start at 1."""

    snapshot: Snapshot = attrs.field(factory=Snapshot)
    entries: list[Entry] = attrs.field(factory=list)

    def last_index(self):
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def last_term(self):
        """Return the term of the last entry."""
        return self.term_at(self.last_index())

    def term_at(self, index):
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def entry(self, index):
        """Return the entry at an index, which must be after the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_after(self, index):
        """Return all entries after `index`."""
        return self.entries[max(0, index - self.snapshot.index) :]

    def batch_from(self, index):
        """Return the entries from `index` on that fit into one message."""
        start = index - self.snapshot.index - 1
        batch = self.entries[start : start + ENTRIES_PER_MESSAGE]
        size = 0
        for position, entry in enumerate(batch):
            size += document_bytes(entry)
            if position and size > DOCUMENT_BYTES_PER_MESSAGE:
                return batch[:position]
        return batch

    def truncate(self, index):
        """Drop the entries from `index` on."""
        del self.entries[index - self.snapshot.index - 1 :]

    def compact(self, snapshot):
        """Replace the entries up to a snapshot with the snapshot."""
        self.entries = self.entries_after(snapshot.index)
        self.snapshot = snapshot

    def members(self, up_to=None):
        """Return the members as of entry `up_to` (the last by default), or []."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.MEMBERS and (up_to is None or entry.index <= up_to):
                return list(entry.members)
        return list(self.snapshot.members)
