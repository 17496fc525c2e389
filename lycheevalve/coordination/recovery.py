"""
Bootstrap of a new log, and recovery of a replica that lost its disk.

A replica with an empty disk may have voted or acknowledged entries before. Only
if every other member is blank too is this impossible, and a new log starts.
Otherwise the replica recovers: it accepts entries but counts towards no quorum
until a leader, confirmed by a quorum without it, has verified that the replica
holds every entry that the leader held when recovery began.
"""

from lycheevalve.coordination.replica import Role
from lycheevalve.schema.generated.messages import Probe, Probed, Readmit

PROBE_INTERVAL_SECONDS = 0.3


def tick_blank(replica, now):
    """Probe the other members at intervals to find out whether all of them are blank."""
    if now < replica.probe_at:
        return
    replica.probe_at = now + PROBE_INTERVAL_SECONDS
    replica.probe_nonce = replica.random.getrandbits(62)
    replica.blank_peers = set()
    if not replica.others():
        start_as_voter(replica, now)
    for name in replica.others():
        replica.send(name, Probe(replica.probe_nonce))


def start_as_voter(replica, now):
    """Start as a voter; valid only if no vote or entry was acknowledged before."""
    replica.role = Role.FOLLOWER
    replica.save_hard_state()
    replica.reset_election_timer(now)


def start_recovering(replica):
    """Start recovery: count towards no quorum until readmitted by a leader."""
    replica.role = Role.RECOVERING
    replica.hard_state.recovering = True
    replica.save_hard_state()


def handle_probe(replica, sender, message, now):
    """Answer whether this replica is blank."""
    answer = Probed(message.nonce, replica.is_blank(), replica.hard_state.incarnation)
    replica.send(sender, answer)


def handle_probed(replica, sender, message, now):
    """Handle a member's answer to a probe: start once all are blank, else recover."""
    if replica.role is not Role.BLANK or message.nonce != replica.probe_nonce:
        return
    if not message.empty:
        start_recovering(replica)
        return
    replica.blank_peers.add(sender)
    if replica.blank_peers >= set(replica.others()):
        start_as_voter(replica, now)


def update_incarnation(replica, progress, message):
    """
    Update the incarnation and recovery state of a sender; return whether its answer counts.

    A sender with a new incarnation has lost the entries that it had acknowledged.
    Late answers of its previous incarnations are ignored.
    """
    if message.incarnation in progress.ended_incarnations:
        return False
    if message.incarnation != progress.incarnation:
        if progress.incarnation:
            progress.ended_incarnations.add(progress.incarnation)
        progress.incarnation = message.incarnation
        progress.match = 0
        progress.recovering = False
    if message.recovering and not progress.recovering:
        progress.match = 0
        progress.readmit_index = replica.log.last_index()
        progress.readmit_round = replica.round + 1
    progress.recovering = message.recovering
    return True


def readmit_if_ready(replica, name, progress):
    """Readmit a recovering replica once it holds every entry that may be committed."""
    if not progress.recovering or progress.match < progress.readmit_index:
        return
    confirmed = [
        other
        for other in replica.voter_progress()
        if other.acked_round >= progress.readmit_round
    ]
    own_term = replica.has_committed_in_term()
    if (
        own_term
        and replica.commit >= progress.readmit_index
        and replica.is_quorum(len(confirmed))
    ):
        replica.send(name, Readmit(replica.hard_state.term, progress.incarnation))


def handle_readmit(replica, sender, message, now):
    """Become a voter again, with this term's vote given to the leader."""
    same = message.incarnation == replica.hard_state.incarnation
    if (
        replica.role is not Role.RECOVERING
        or not same
        or message.term != replica.hard_state.term
    ):
        return
    replica.hard_state.recovering = False
    replica.hard_state.voted_for = sender
    replica.role = Role.FOLLOWER
    replica.save_hard_state()
    replica.reset_election_timer(now)
