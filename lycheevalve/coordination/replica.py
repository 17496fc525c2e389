"""The state of one replica of the log, and what its owner has to do for it."""

import enum

import attrs

from lycheevalve.coordination.configuration import ConfigurationMachine
from lycheevalve.coordination.log import EntryKind, Log
from lycheevalve.schema.generated.messages import Change, Entry, HardState, Snapshot

ELECTION_MIN_SECONDS = 0.8
ELECTION_MAX_SECONDS = 1.6
# A replica that has just started waits less: when all start together nobody leads,
# and where somebody does, the others refuse the promise of their votes.
FIRST_ELECTION_MIN_SECONDS = 0.05
FIRST_ELECTION_MAX_SECONDS = 0.3
# Promises that were not given may be asked for again soon: nothing is stored for them.
PRE_VOTE_MIN_SECONDS = 0.15
PRE_VOTE_MAX_SECONDS = 0.45
# Votes take a sync at each replica, which a slow disk stretches to tenths of a second.
VOTE_MIN_SECONDS = 0.3
VOTE_MAX_SECONDS = 0.8
# A leader that has not heard from a quorum for this long steps down.
LEASE_SECONDS = 0.8


class Role(enum.Enum):
    """The role of a replica."""

    # Its disk is empty, and it does not know yet whether anything was promised.
    BLANK = "blank"
    # It lost its disk and counts towards no quorum until readmitted.
    RECOVERING = "recovering"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    # Its disk failed.
    STOPPED = "stopped"


@attrs.define
class Effects:
    """
    What the owner has to do.

    First write and sync what `needs_sync` tells of, then send, then hand on the
    results. Only then may it call the replica again.
    """

    truncate_from: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    hard_state: HardState | None = None
    sends: list[tuple[str, object]] = attrs.field(factory=list)
    results: list = attrs.field(factory=list)
    # The changes among the results that were accepted.
    accepted: list[Change] = attrs.field(factory=list)
    configuration_changed: bool = False
    # Tokens of reads that a quorum has confirmed, see reads.py.
    reads: list = attrs.field(factory=list)

    def needs_sync(self):
        """Return whether something has to be on the disk before sending."""
        stored = self.snapshot or self.truncate_from or self.entries or self.hard_state
        return bool(stored)


@attrs.define
class Progress:
    """What a leader knows of another replica."""

    next: int
    match: int = 0
    acked_round: int = 0
    acked_at: float = float("-inf")
    recovering: bool = False
    incarnation: int = 0
    # Incarnations that have ended: their late messages count for nothing.
    ended: set[int] = attrs.field(factory=set)
    # What a recovering replica must hold, and the round that must confirm it.
    target: int = 0
    confirm_round: int = 0


@attrs.define
class Replica:
    """One replica; times in seconds of the owner's clock."""

    name: str
    members: list[str]
    random: object
    hard: HardState
    machine: ConfigurationMachine
    role: Role = Role.BLANK
    log: Log = attrs.field(factory=Log)
    commit: int = 0
    applied: int = 0
    leader: str = ""
    heard_at: float = float("-inf")
    # What was heard before this time may be old, see consensus.thaw.
    trusted_from: float = float("-inf")
    election_at: float = 0.0
    heartbeat_at: float = 0.0
    led_since: float = float("-inf")
    # Counts the leader's heartbeats, so that an answer confirms one of them.
    round: int = 0
    votes: set[str] = attrs.field(factory=set)
    pre_vote: bool = False
    progress: dict[str, Progress] = attrs.field(factory=dict)
    probe_nonce: int = 0
    probe_at: float = 0.0
    blank_peers: set[str] = attrs.field(factory=set)
    # Processes that get the log without counting towards a quorum.
    learners: set[str] = attrs.field(factory=set)
    # Reads under way as (round that confirms it, token).
    reads: list[tuple[int, object]] = attrs.field(factory=list)
    effects: Effects = attrs.field(factory=Effects)

    def others(self):
        """Return the other members."""
        return [name for name in self.members if name != self.name]

    def audience(self):
        """Return the other members and the learners: all who get the log."""
        names = dict.fromkeys([*self.others(), *sorted(self.learners)])
        names.pop(self.name, None)
        return list(names)

    def has_committed_in_term(self):
        """Return whether the last committed entry is of the current term."""
        return self.log.term_at(self.commit) == self.hard.term

    def quorum(self):
        """Return how many members are a majority."""
        return len(self.members) // 2 + 1

    def is_member(self):
        """Return whether this replica is in the set of members."""
        return self.name in self.members

    def is_blank(self):
        """Return whether this replica has promised nothing to anyone."""
        empty = self.hard.term == 0 and self.log.last_index() == 0
        return empty and not self.hard.recovering

    def full_progress(self):
        """Return the progress of the other members that count towards a quorum."""
        return [
            progress
            for name, progress in self.progress.items()
            if name in self.members and not progress.recovering
        ]

    def is_quorum(self, others):
        """Return whether `others` full members and this replica are a majority."""
        return others + self.is_member() >= self.quorum()

    def next_due(self):
        """Return when time alone brings something about; never, for who only follows."""
        due = {
            Role.BLANK: self.probe_at,
            Role.LEADER: self.heartbeat_at,
            Role.FOLLOWER: self.election_at,
            Role.CANDIDATE: self.election_at,
        }
        if self.role is Role.BLANK or self.is_member():
            return due.get(self.role, float("inf"))
        return float("inf")

    def has_lease(self, now):
        """Return whether a quorum has answered this leader recently."""
        progress = self.full_progress()
        return self.is_quorum(sum(now - p.acked_at < LEASE_SECONDS for p in progress))

    def send(self, name, message):
        """Queue a message."""
        self.effects.sends.append((name, message))

    def take_effects(self):
        """Return what was collected and start anew."""
        effects, self.effects = self.effects, Effects()
        return effects

    def save_hard_state(self):
        """Queue the hard state for the disk."""
        self.effects.hard_state = attrs.evolve(self.hard)

    def reset_election(self, now):
        """Choose the time of the next election."""
        self.wait_for_election(now, ELECTION_MIN_SECONDS, ELECTION_MAX_SECONDS)

    def wait_for_election(self, now, least, most):
        """Campaign after a random time between two bounds, in seconds."""
        self.election_at = now + self.random.uniform(least, most)

    def step_down(self, term, now):
        """Follow: a newer term, or the current one without a leader."""
        if term > self.hard.term:
            self.hard.term = term
            self.hard.voted_for = ""
            self.save_hard_state()
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.role = Role.FOLLOWER
        self.leader = ""
        self.reads.clear()
        self.reset_election(now)

    def append(self, entries):
        """Append entries to the log and queue them for the disk."""
        self.log.entries.extend(entries)
        self.effects.entries.extend(entries)
        if any(entry.kind == EntryKind.MEMBERS for entry in entries):
            self.refresh_members()

    def truncate(self, index):
        """Drop the entries from `index` on, here and on the disk."""
        self.log.truncate(index)
        self.effects.entries = [e for e in self.effects.entries if e.index < index]
        self.effects.truncate_from = min(self.effects.truncate_from or index, index)
        self.refresh_members()

    def refresh_members(self):
        """Take the members from the log when it names any."""
        self.members = self.log.members() or self.members

    def load_snapshot(self, snapshot):
        """Replace the applied state by a snapshot."""
        self.log.snapshot = snapshot
        self.machine.load(snapshot)
        self.commit = self.applied = snapshot.index
