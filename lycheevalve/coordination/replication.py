"""Replication of entries and snapshots from the leader, and their commitment."""

from lycheevalve.coordination.log import EntryKind, document_bytes
from lycheevalve.coordination.reads import confirm_reads
from lycheevalve.coordination.recovery import (
    readmit_if_ready,
    start_recovering,
    update_incarnation,
)
from lycheevalve.coordination.replica import Progress, Role
from lycheevalve.schema.generated.messages import Append, Appended, Install, Snapshot

HEARTBEAT_INTERVAL_SECONDS = 0.15
SNAPSHOT_ENTRIES = 256
# Whole configurations are large, so a limit on the entries alone could fill a small disk.
SNAPSHOT_DOCUMENT_BYTES = 4_000_000


def tick_leader(replica, now):
    """Step down if the lease has expired, else send heartbeats when due."""
    if not replica.has_lease(now):
        replica.step_down(replica.hard_state.term, now)
    elif now >= replica.heartbeat_at:
        broadcast(replica, now)


def broadcast(replica, now):
    """Send entries or heartbeats to all other replicas."""
    replica.round += 1
    replica.heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
    for name in replica.replication_targets():
        send_entries(replica, name)


def send_entries(replica, name):
    """Send the entries that a replica lacks, or a snapshot."""
    log = replica.log
    if name not in replica.progress:
        replica.progress[name] = Progress(log.last_index() + 1)
    next_index = replica.progress[name].next
    previous_term = log.term_at(next_index - 1)
    if previous_term is None:
        replica.send(name, Install(replica.hard_state.term, log.snapshot, replica.round))
        return
    message = Append(
        term=replica.hard_state.term,
        previous_index=next_index - 1,
        previous_term=previous_term,
        entries=log.batch_from(next_index),
        commit=replica.commit,
        round=replica.round,
    )
    replica.send(name, message)


def follow_leader(replica, sender, message, now):
    """Follow the sender as leader unless its term is over; return whether it is followed."""
    if message.term < replica.hard_state.term:
        return False
    if replica.role is Role.BLANK:
        start_recovering(replica)
        replica.step_down(message.term, now)
    if replica.role is Role.CANDIDATE:
        replica.role = Role.FOLLOWER
    replica.leader = replica.last_leader = sender
    replica.leader_contact_at = now
    replica.reset_election_timer(now)
    return True


def acknowledge(replica, sender, message, success, match):
    """Acknowledge a leader's message, or reject it with `success` false."""
    answer = Appended(
        term=replica.hard_state.term,
        success=success,
        match=match,
        round=message.round,
        recovering=replica.role is Role.RECOVERING,
        incarnation=replica.hard_state.incarnation,
    )
    replica.send(sender, answer)


def handle_append(replica, sender, message, now):
    """Handle entries from the leader."""
    log = replica.log
    if not follow_leader(replica, sender, message, now):
        acknowledge(replica, sender, message, False, 0)
        return
    above_snapshot = message.previous_index >= log.snapshot.index
    if above_snapshot and log.term_at(message.previous_index) != message.previous_term:
        hint = min(message.previous_index - 1, log.last_index())
        acknowledge(replica, sender, message, False, max(hint, replica.commit))
        return
    merge_entries(replica, message.entries)
    match = max(message.previous_index + len(message.entries), log.snapshot.index)
    commit_to(replica, min(message.commit, match))
    acknowledge(replica, sender, message, True, match)


def merge_entries(replica, entries):
    """Append new entries, after dropping entries that conflict with them."""
    for position, entry in enumerate(entries):
        held = replica.log.term_at(entry.index)
        if entry.index <= replica.log.snapshot.index or held == entry.term:
            continue
        if held is not None:
            replica.truncate(entry.index)
        replica.append(entries[position:])
        return


def handle_install(replica, sender, message, now):
    """Handle a snapshot from the leader."""
    if not follow_leader(replica, sender, message, now):
        acknowledge(replica, sender, message, False, 0)
        return
    snapshot = message.snapshot
    if snapshot.index > replica.commit:
        if replica.log.term_at(snapshot.index) == snapshot.term:
            # The entries after the snapshot may be acknowledged, and are kept.
            replica.log.compact(snapshot)
        else:
            replica.log.entries = []
            replica.effects.entries = []
            replica.effects.truncate_from = 1
        replica.effects.snapshot = snapshot
        replica.effects.configuration_changed = True
        replica.load_snapshot(snapshot)
        replica.refresh_members()
    acknowledge(replica, sender, message, True, snapshot.index)


def handle_appended(replica, sender, message, now):
    """Handle a replica's acknowledgement."""
    progress = replica.progress.get(sender)
    if replica.role is not Role.LEADER or progress is None:
        return
    if message.term != replica.hard_state.term or not update_incarnation(
        replica, progress, message
    ):
        return
    committed = replica.commit
    progress.acked_at = now
    progress.acked_round = max(progress.acked_round, message.round)
    if message.success:
        progress.match = max(progress.match, message.match)
        progress.next = progress.match + 1
        advance_commit(replica)
        if replica.commit > committed:
            # The next tick sends the commit index to the other replicas.
            replica.heartbeat_at = now
    else:
        # A late answer names an entry at or after `next`, and lowers nothing.
        progress.next = max(progress.match + 1, min(progress.next, message.match + 1))
    readmit_if_ready(replica, sender, progress)
    confirm_reads(replica)
    if progress.next <= replica.log.last_index() and message.round == replica.round:
        send_entries(replica, sender)


def advance_commit(replica):
    """Commit the entries of this term that a quorum of voters holds."""
    matches = [progress.match for progress in replica.voter_progress()]
    if replica.is_member():
        matches.append(replica.log.last_index())
    matches.sort(reverse=True)
    if len(matches) < replica.quorum():
        return
    index = matches[replica.quorum() - 1]
    if index > replica.commit and replica.log.term_at(index) == replica.hard_state.term:
        commit_to(replica, index)


def commit_to(replica, index):
    """Apply the entries up to `index`, and take a snapshot when the log has grown."""
    replica.commit = max(replica.commit, index)
    while replica.applied < replica.commit:
        replica.applied += 1
        entry = replica.log.entry(replica.applied)
        if entry.kind == EntryKind.CHANGE:
            apply_entry(replica, entry)
    if is_due_for_snapshot(replica):
        compact(replica)


def is_due_for_snapshot(replica):
    """Return whether the log has grown enough to take a snapshot."""
    grown = replica.applied - replica.log.snapshot.index
    size = sum(map(document_bytes, replica.log.entries))
    return grown >= SNAPSHOT_ENTRIES or (grown > 1 and size >= SNAPSHOT_DOCUMENT_BYTES)


def apply_entry(replica, entry):
    """Apply a committed change."""
    before = replica.state_machine.configuration
    replica.effects.results.append(replica.state_machine.apply(entry.change))
    after = replica.state_machine.configuration
    if after.revision > before.revision:
        replica.effects.accepted.append(entry.change)
    if after is not before:
        replica.effects.configuration_changed = True


def compact(replica):
    """Replace the applied part of the log with a snapshot."""
    log, state_machine = replica.log, replica.state_machine
    snapshot = Snapshot(
        index=replica.applied,
        term=log.term_at(replica.applied),
        members=log.members(replica.applied) or list(replica.members),
        configuration=state_machine.configuration,
        results=list(state_machine.results.values()),
        acceptances=list(state_machine.acceptances.values()),
    )
    log.compact(snapshot)
    replica.effects.snapshot = snapshot
