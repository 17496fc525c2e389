"""Leader election with pre-vote."""

from lycheevalve.coordination.log import EntryKind
from lycheevalve.coordination.replica import (
    ELECTION_MAX_SECONDS,
    ELECTION_MIN_SECONDS,
    PRE_VOTE_RETRY_MAX_SECONDS,
    PRE_VOTE_RETRY_MIN_SECONDS,
    VOTE_RETRY_MAX_SECONDS,
    VOTE_RETRY_MIN_SECONDS,
    Progress,
    Role,
)
from lycheevalve.coordination.replication import advance_commit, broadcast
from lycheevalve.schema.generated.messages import Entry, Vote, VoteRequest

VOTING_ROLES = (Role.FOLLOWER, Role.CANDIDATE, Role.LEADER)


def tick_election(replica, now):
    """Start an election when the election timer has expired."""
    if now >= replica.election_at and replica.is_member():
        campaign(replica, now, pre=True)


def campaign(replica, now, pre):
    """Start a round of pre-votes or, with `pre` false, an election in a new term."""
    replica.role = Role.CANDIDATE
    replica.leader = ""
    replica.pre_vote = pre
    replica.votes = {replica.name}
    if pre:
        replica.schedule_election(now, PRE_VOTE_RETRY_MIN_SECONDS, PRE_VOTE_RETRY_MAX_SECONDS)
    else:
        replica.schedule_election(now, VOTE_RETRY_MIN_SECONDS, VOTE_RETRY_MAX_SECONDS)
        replica.hard_state.term += 1
        replica.hard_state.voted_for = replica.name
        replica.save_hard_state()
    request = VoteRequest(
        term=replica.hard_state.term + pre,
        last_index=replica.log.last_index(),
        last_term=replica.log.last_term(),
        pre=pre,
    )
    for name in replica.others():
        replica.send(name, request)
    count_votes(replica, now)


def handle_vote_request(replica, sender, message, now):
    """Grant or refuse a vote or a pre-vote."""
    log = replica.log
    up_to_date = (message.last_term, message.last_index) >= (log.last_term(), log.last_index())
    may_vote = replica.role in VOTING_ROLES and up_to_date
    if message.pre:
        answer_pre_vote(replica, sender, message, may_vote, now)
        return
    free = replica.hard_state.voted_for in ("", sender)
    granted = may_vote and free and message.term == replica.hard_state.term
    if granted:
        replica.hard_state.voted_for = sender
        replica.save_hard_state()
        replica.reset_election_timer(now)
    replica.send(sender, Vote(replica.hard_state.term, granted, False))


def answer_pre_vote(replica, sender, message, may_vote, now):
    """Grant a pre-vote unless a leader was in contact recently; nothing is stored."""
    if message.term <= replica.hard_state.term:
        # The vote carries the current term, without which the candidate could never win.
        replica.send(sender, Vote(replica.hard_state.term, False, False))
        return
    no_leader = now - replica.leader_contact_at >= ELECTION_MIN_SECONDS
    granted = may_vote and no_leader and replica.role is not Role.LEADER
    replica.send(sender, Vote(message.term, granted, True))


def handle_vote(replica, sender, message, now):
    """Count a vote or a pre-vote."""
    expected = replica.hard_state.term + message.pre
    if replica.role is not Role.CANDIDATE or message.term != expected:
        return
    if message.pre != replica.pre_vote:
        return
    if message.granted:
        replica.votes.add(sender)
        count_votes(replica, now)
    elif not message.pre:
        schedule_retry(replica, sender, now)


def schedule_retry(replica, voter, now):
    """
    Schedule the next campaign after a refused vote, whose voter may be a candidate too.

    Only one of two candidates tries again soon, or they could go on splitting the votes.
    """
    if replica.name > voter:
        replica.schedule_election(now, PRE_VOTE_RETRY_MIN_SECONDS, PRE_VOTE_RETRY_MAX_SECONDS)
    else:
        replica.schedule_election(now, VOTE_RETRY_MAX_SECONDS, ELECTION_MAX_SECONDS)


def count_votes(replica, now):
    """Move on to the election, or become leader, once a majority has granted."""
    if len(replica.votes & set(replica.members)) < replica.quorum():
        return
    if replica.pre_vote:
        campaign(replica, now, pre=False)
    else:
        become_leader(replica, now)


def become_leader(replica, now):
    """Become leader and append the first entry of the new term."""
    replica.role = Role.LEADER
    replica.leader = replica.name
    next_index = replica.log.last_index() + 1
    replica.progress = {
        name: Progress(next_index, acked_at=find_last_contact(replica, name, now))
        for name in replica.others()
    }
    replica.elected_at = now
    replica.last_leader = ""
    replica.append([build_first_entry(replica, next_index)])
    broadcast(replica, now)
    advance_commit(replica)


def find_last_contact(replica, name, now):
    """
    Return when a member was last in contact with this replica, as far as it is known.

    The time to replace a lost member counts from there, not from the election.
    """
    if name in replica.votes:
        return now
    if name == replica.last_leader:
        return replica.leader_contact_at
    return replica.silent_since.get(name, now)


def build_first_entry(replica, index):
    """Return the first entry of a term; that of a new log records the members."""
    if replica.log.members():
        return Entry(index, replica.hard_state.term, EntryKind.NOOP)
    members = sorted(replica.members)
    return Entry(index, replica.hard_state.term, EntryKind.MEMBERS, members=members)


def handle_abdicate(replica, sender, message, now):
    """
    Campaign at once because the leader of this term is stopping.

    No pre-vote is needed, since the leader itself ends its term.
    """
    current = message.term == replica.hard_state.term and replica.leader == sender
    if current and replica.role is Role.FOLLOWER and replica.is_member():
        campaign(replica, now, pre=False)
