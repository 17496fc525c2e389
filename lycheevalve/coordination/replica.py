"""The state of one replica of the log, and the effects that its owner carries out."""

import enum

import attrs

from lycheevalve.coordination.configuration import ConfigurationStateMachine
from lycheevalve.coordination.log import EntryKind, Log
from lycheevalve.schema.generated.messages import Change, Entry, HardState, Snapshot

ELECTION_MIN_SECONDS = 0.8
ELECTION_MAX_SECONDS = 1.6
# The first timeout after a start is short: if all replicas start together there is no
# leader, and if there is one, the other members refuse the pre-vote.
FIRST_ELECTION_MIN_SECONDS = 0.05
FIRST_ELECTION_MAX_SECONDS = 0.3
# A pre-vote may be retried soon, since nothing is stored for it.
PRE_VOTE_RETRY_MIN_SECONDS = 0.15
PRE_VOTE_RETRY_MAX_SECONDS = 0.45
# A vote takes a disk sync at each replica, up to tenths of a second on a slow disk.
VOTE_RETRY_MIN_SECONDS = 0.3
VOTE_RETRY_MAX_SECONDS = 0.8
# A leader without answers from a quorum for this long steps down.
LEADER_LEASE_SECONDS = 0.8


class Role(enum.Enum):
    """The role of a replica."""

    # The disk is empty; whether the replica voted or acknowledged entries is unknown.
    BLANK = "blank"
    # The disk was lost; the replica counts towards no quorum until readmitted.
    RECOVERING = "recovering"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    # The disk failed.
    STOPPED = "stopped"


@attrs.define
class Effects:
    """
    What the owner of a replica has to do after a call.

    The owner writes and syncs the stored state if `needs_sync`, then sends the
    messages, then delivers the results, and only then calls the replica again.
    """

    truncate_from: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    hard_state: HardState | None = None
    sends: list[tuple[str, object]] = attrs.field(factory=list)
    results: list = attrs.field(factory=list)
    # The changes that were accepted.
    accepted: list[Change] = attrs.field(factory=list)
    configuration_changed: bool = False
    # Tokens of the reads that a quorum has confirmed, see reads.py.
    confirmed_reads: list = attrs.field(factory=list)

    def needs_sync(self):
        """Return whether the effects must be written and synced before sending."""
        stored = self.snapshot or self.truncate_from or self.entries or self.hard_state
        return bool(stored)


@attrs.define
class Progress:
    """The leader's replication state of another replica."""

    next: int
    match: int = 0
    acked_round: int = 0
    acked_at: float = float("-inf")
    recovering: bool = False
    incarnation: int = 0
    # Previous incarnations, whose late messages are ignored.
    ended_incarnations: set[int] = attrs.field(factory=set)
    # A recovering replica is readmitted once it holds the entries up to this index and a
    # quorum has acknowledged this round.
    readmit_index: int = 0
    readmit_round: int = 0


@attrs.define
class Replica:
    """One replica of the log. Times are seconds of the owner's clock."""

    name: str
    members: list[str]
    random: object
    hard_state: HardState
    state_machine: ConfigurationStateMachine
    role: Role = Role.BLANK
    log: Log = attrs.field(factory=Log)
    commit: int = 0
    applied: int = 0
    leader: str = ""
    leader_contact_at: float = float("-inf")
    # The leader of that contact, also after its term; "" once this replica has led itself.
    last_leader: str = ""
    # Contact before this time may be stale, see consensus.handle_resume.
    contact_valid_from: float = float("-inf")
    election_at: float = 0.0
    heartbeat_at: float = 0.0
    # When this replica last became leader.
    elected_at: float = float("-inf")
    # Number of the leader's latest heartbeat; an answer confirms one of them.
    round: int = 0
    votes: set[str] = attrs.field(factory=set)
    pre_vote: bool = False
    progress: dict[str, Progress] = attrs.field(factory=dict)
    probe_nonce: int = 0
    probe_at: float = 0.0
    blank_peers: set[str] = attrs.field(factory=set)
    # Processes that receive the log without counting towards a quorum.
    learners: set[str] = attrs.field(factory=set)
    # The last contact with each process that was a learner and has become silent.
    silent_since: dict[str, float] = attrs.field(factory=dict)
    # Pending reads as (round that confirms the read, token).
    pending_reads: list[tuple[int, object]] = attrs.field(factory=list)
    effects: Effects = attrs.field(factory=Effects)

    def others(self):
        """Return the other members."""
        return [name for name in self.members if name != self.name]

    def set_learners(self, names, silent_since):
        """
        Set the learners; `silent_since` has the last contact with each silent process.

        Contact in this sense needs no leader, so it is known to the next one.
        """
        self.learners = set(names)
        self.silent_since |= silent_since
        for name in self.learners & self.silent_since.keys():
            del self.silent_since[name]

    def replication_targets(self):
        """Return the other members and the learners, which all receive the log."""
        names = dict.fromkeys([*self.others(), *sorted(self.learners)])
        names.pop(self.name, None)
        return list(names)

    def has_committed_in_term(self):
        """Return whether the last committed entry is from the current term."""
        return self.log.term_at(self.commit) == self.hard_state.term

    def quorum(self):
        """Return the number of members that form a majority."""
        return len(self.members) // 2 + 1

    def is_member(self):
        """Return whether this replica is a member of the log."""
        return self.name in self.members

    def is_blank(self):
        """Return whether this replica has neither voted nor stored an entry."""
        empty = self.hard_state.term == 0 and self.log.last_index() == 0
        return empty and not self.hard_state.recovering

    def voter_progress(self):
        """Return the progress of the other members that count towards a quorum."""
        return [
            progress
            for name, progress in self.progress.items()
            if name in self.members and not progress.recovering
        ]

    def is_quorum(self, others):
        """Return whether `others` voters and this replica form a majority."""
        return others + self.is_member() >= self.quorum()

    def next_due(self):
        """Return when the next timer is due; infinity for a replica that cannot campaign."""
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
        """Return whether a quorum has answered this leader within the lease."""
        progress = self.voter_progress()
        return self.is_quorum(sum(now - p.acked_at < LEADER_LEASE_SECONDS for p in progress))

    def send(self, name, message):
        """Queue a message to another replica."""
        self.effects.sends.append((name, message))

    def take_effects(self):
        """Return the collected effects and reset them."""
        effects, self.effects = self.effects, Effects()
        return effects

    def save_hard_state(self):
        """Queue the hard state to be written."""
        self.effects.hard_state = attrs.evolve(self.hard_state)

    def reset_election_timer(self, now):
        """Restart the election timer with the regular timeout."""
        self.schedule_election(now, ELECTION_MIN_SECONDS, ELECTION_MAX_SECONDS)

    def schedule_election(self, now, least, most):
        """Set the election timer to a random delay between two bounds, in seconds."""
        self.election_at = now + self.random.uniform(least, most)

    def step_down(self, term, now):
        """Become a follower in a newer term, or in the current one without a leader."""
        if term > self.hard_state.term:
            self.hard_state.term = term
            self.hard_state.voted_for = ""
            self.save_hard_state()
        if self.role in (Role.LEADER, Role.CANDIDATE):
            self.role = Role.FOLLOWER
        self.leader = ""
        self.pending_reads.clear()
        self.reset_election_timer(now)

    def append(self, entries):
        """Append entries to the log and queue them to be written."""
        self.log.entries.extend(entries)
        self.effects.entries.extend(entries)
        if any(entry.kind == EntryKind.MEMBERS for entry in entries):
            self.refresh_members()

    def truncate(self, index):
        """Drop the entries from `index` on, in memory and on disk."""
        self.log.truncate(index)
        self.effects.entries = [e for e in self.effects.entries if e.index < index]
        self.effects.truncate_from = min(self.effects.truncate_from or index, index)
        self.refresh_members()

    def refresh_members(self):
        """Update the members from the log, if it records any."""
        self.members = self.log.members() or self.members

    def load_snapshot(self, snapshot):
        """Replace the applied state with a snapshot."""
        self.log.snapshot = snapshot
        self.state_machine.restore(snapshot)
        self.commit = self.applied = snapshot.index
