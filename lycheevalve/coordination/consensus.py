"""
The replicated log: Raft with pre-vote, a leader lease and recovery from disk loss.

The functions here do no I/O: `handle`, `tick` and `propose` change a Replica and
collect its Effects, which the owner carries out (see replica.py). Sources: Ongaro
and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); for
replicas that lost their disk, incarnations as in Camargos et al., "A Highly
Available Log Service" (2006), and recovery as in "Viewstamped Replication
Revisited" (2012).
"""

from lycheevalve.coordination.configuration import ConfigurationStateMachine
from lycheevalve.coordination.elections import (
    handle_abdicate,
    handle_vote,
    handle_vote_request,
    tick_election,
)
from lycheevalve.coordination.log import EntryKind, Log
from lycheevalve.coordination.reads import confirm_reads
from lycheevalve.coordination.recovery import (
    handle_probe,
    handle_probed,
    handle_readmit,
    start_as_voter,
    start_recovering,
    tick_blank,
)
from lycheevalve.coordination.replica import (
    FIRST_ELECTION_MAX_SECONDS,
    FIRST_ELECTION_MIN_SECONDS,
    LEADER_LEASE_SECONDS,
    Replica,
    Role,
)
from lycheevalve.coordination.replication import (
    advance_commit,
    broadcast,
    handle_append,
    handle_appended,
    handle_install,
    tick_leader,
)
from lycheevalve.schema.generated.messages import (
    Abdicate,
    Append,
    Appended,
    Entry,
    HardState,
    Install,
    Probe,
    Probed,
    Readmit,
    Vote,
    VoteRequest,
)

# Messages queued while the process was paused are read within this time of its resume.
BACKLOG_DRAIN_SECONDS = 0.5

TICKS = {
    Role.BLANK: tick_blank,
    Role.LEADER: tick_leader,
    Role.FOLLOWER: tick_election,
    Role.CANDIDATE: tick_election,
}

HANDLERS = {
    Probe: handle_probe,
    Probed: handle_probed,
    VoteRequest: handle_vote_request,
    Vote: handle_vote,
    Append: handle_append,
    Appended: handle_appended,
    Install: handle_install,
    Readmit: handle_readmit,
    Abdicate: handle_abdicate,
}


def start_replica(name, members, random, stored, now, check=None, founding=None):
    """
    Return a Replica restored from its disk.

    `stored` is a `storage.Stored`; without a hard state the replica starts blank
    under a new incarnation. `check(configuration, change)` returns why a change is
    invalid, or "". `founding` states whether the site starts for the first time;
    with None, a blank replica probes the other members to find out.
    """
    state_machine = (
        ConfigurationStateMachine() if check is None else ConfigurationStateMachine(check=check)
    )
    hard_state = stored.hard_state or HardState(incarnation=random.getrandbits(62) | 1)
    replica = Replica(name, list(members), random, hard_state, state_machine)
    replica.log = Log(entries=list(stored.entries))
    if stored.snapshot is not None:
        replica.load_snapshot(stored.snapshot)
    if stored.hard_state is not None:
        replica.role = Role.RECOVERING if hard_state.recovering else Role.FOLLOWER
    elif stored.damage:
        start_recovering(replica)
    elif founding is not None:
        start_blank(replica, founding and name in members, now)
    replica.refresh_members()
    replica.schedule_election(now, FIRST_ELECTION_MIN_SECONDS, FIRST_ELECTION_MAX_SECONDS)
    return replica


def start_blank(replica, founding, now):
    """Start a blank replica as a voter if `founding`, else in recovery."""
    if founding:
        start_as_voter(replica, now)
    else:
        # The log provides the members.
        replica.members = []
        start_recovering(replica)


def tick(replica, now):
    """Run the timers of the replica's role."""
    run = TICKS.get(replica.role)
    if run is not None:
        run(replica, now)


def handle(replica, sender, message, now):
    """Handle a message from another replica."""
    if replica.role is Role.STOPPED:
        return
    term = getattr(message, "term", 0)
    is_pre_vote = getattr(message, "pre", False)
    if term > replica.hard_state.term and not is_pre_vote and replica.role is not Role.BLANK:
        replica.step_down(term, now)
    HANDLERS[type(message)](replica, sender, message, now)


def can_propose(replica, now):
    """Return whether this replica is a leader that holds its lease."""
    return replica.role is Role.LEADER and replica.has_lease(now)


def is_current(replica, now):
    """Return whether this replica has applied the log up to a recent commit index."""
    if replica.applied < replica.commit or not replica.has_committed_in_term():
        return False
    if replica.role is Role.LEADER:
        return replica.has_lease(now)
    has_recent_contact = now - replica.leader_contact_at < LEADER_LEASE_SECONDS
    return has_recent_contact and replica.leader_contact_at >= replica.contact_valid_from


def handle_resume(replica, now):
    """
    Invalidate the contact with other replicas from before the process was paused.

    A suspended machine's clock does not advance, so contact from before the pause
    looks recent. A leader steps down; a follower is not current until its leader
    contacts it after the backlog of queued messages has been read.
    """
    replica.contact_valid_from = now + BACKLOG_DRAIN_SECONDS
    if replica.role is Role.LEADER:
        replica.step_down(replica.hard_state.term, now)


def request_read(replica, token, now):
    """As leader, return `token` in the effects once a quorum has confirmed the term."""
    replica.pending_reads.append((replica.round + 1, token))
    broadcast(replica, now)
    confirm_reads(replica)


def transfer_leadership(replica, now):
    """As a stopping leader, have the most up-to-date voter campaign at once."""
    if replica.role is Role.LEADER:
        broadcast(replica, now)
        abdicate(replica, now)


def abdicate(replica, now):
    """As leader, have the most up-to-date voter in contact campaign; send no entries."""
    voters = [
        (now - progress.acked_at < LEADER_LEASE_SECONDS, progress.match, name)
        for name, progress in replica.progress.items()
        if name in replica.members and not progress.recovering
    ]
    if replica.role is Role.LEADER and voters:
        _, _, successor = max(voters)
        replica.send(successor, Abdicate(replica.hard_state.term))


def propose(replica, change, now):
    """
    Append a change as leader; return its result if it was applied before, else None.

    The caller must have checked `can_propose`. The same id is not appended twice.
    """
    previous = replica.state_machine.results.get(change.change_id)
    if previous is not None:
        return previous
    pending = replica.log.entries_after(replica.applied)
    if not any(e.change and e.change.change_id == change.change_id for e in pending):
        append_proposal(replica, EntryKind.CHANGE, now, change=change)
    return None


def propose_members(replica, members, now):
    """Propose a set of members that differs by one; return why it was refused, or ''."""
    if not can_propose(replica, now):
        return "not the leader"
    if len(set(members) ^ set(replica.members)) != 1:
        return "members must be added or removed one at a time"
    if not replica.has_committed_in_term():
        return "the leader has not committed an entry of its term yet"
    pending = replica.log.entries_after(replica.commit)
    if any(entry.kind == EntryKind.MEMBERS for entry in pending):
        return "another membership change is pending"
    append_proposal(replica, EntryKind.MEMBERS, now, members=list(members))
    return ""


def append_proposal(replica, kind, now, change=None, members=()):
    """Append an entry as leader and replicate it."""
    index = replica.log.last_index() + 1
    replica.append([Entry(index, replica.hard_state.term, kind, change, list(members))])
    broadcast(replica, now)
    advance_commit(replica)
