"""
Replicas without a disk: bootstrap of a new log, and recovery of a lost disk.

A replica with an empty disk may have promised votes and entries before. Only
when every other member is blank as well has nothing been promised, and the log
starts. Otherwise the replica recovers: it takes entries but counts towards no
quorum until a leader, confirmed by a quorum without it, has seen that it
holds everything that this leader held.
"""

from lycheevalve.coordination.replica import Role
from lycheevalve.schema.generated.messages import Probe, Probed, Readmit

PROBE_SECONDS = 0.3


def tick_blank(replica, now):
    """Ask the others whether they are blank too."""
    if now < replica.probe_at:
        return
    replica.probe_at = now + PROBE_SECONDS
    replica.probe_nonce = replica.random.getrandbits(62)
    replica.blank_peers = set()
    if not replica.others():
        start_full(replica, now)
    for name in replica.others():
        replica.send(name, Probe(replica.probe_nonce))


def start_full(replica, now):
    """Become a full member of a log in which nothing was promised."""
    replica.role = Role.FOLLOWER
    replica.save_hard_state()
    replica.reset_election(now)


def start_recovering(replica):
    """Become a member that counts towards no quorum until readmitted."""
    replica.role = Role.RECOVERING
    replica.hard.recovering = True
    replica.save_hard_state()


def handle_probe(replica, sender, message, now):
    """Tell whether this replica is blank."""
    answer = Probed(message.nonce, replica.is_blank(), replica.hard.incarnation)
    replica.send(sender, answer)


def handle_probed(replica, sender, message, now):
    """Learn whether another replica is blank."""
    if replica.role is not Role.BLANK or message.nonce != replica.probe_nonce:
        return
    if not message.empty:
        start_recovering(replica)
        return
    replica.blank_peers.add(sender)
    if replica.blank_peers >= set(replica.others()):
        start_full(replica, now)


def note_incarnation(replica, progress, message):
    """
    Return whether an answer counts, noting whether its sender recovers.

    A sender that comes back under a new incarnation has lost what it had
    acknowledged; late answers of its ended incarnations count for nothing.
    """
    if message.incarnation in progress.ended:
        return False
    if message.incarnation != progress.incarnation:
        if progress.incarnation:
            progress.ended.add(progress.incarnation)
        progress.incarnation = message.incarnation
        progress.match = 0
        progress.recovering = False
    if message.recovering and not progress.recovering:
        progress.match = 0
        progress.target = replica.log.last_index()
        progress.confirm_round = replica.round + 1
    progress.recovering = message.recovering
    return True


def readmit_if_ready(replica, name, progress):
    """Readmit a recovering replica that holds all that was accepted."""
    if not progress.recovering or progress.match < progress.target:
        return
    confirmed = [
        other
        for other in replica.full_progress()
        if other.acked_round >= progress.confirm_round
    ]
    own_term = replica.has_committed_in_term()
    if own_term and replica.commit >= progress.target and replica.is_quorum(len(confirmed)):
        replica.send(name, Readmit(replica.hard.term, progress.incarnation))


def handle_readmit(replica, sender, message, now):
    """Become a full member again; the leader has this term's vote."""
    same = message.incarnation == replica.hard.incarnation
    if replica.role is not Role.RECOVERING or not same or message.term != replica.hard.term:
        return
    replica.hard.recovering = False
    replica.hard.voted_for = sender
    replica.role = Role.FOLLOWER
    replica.save_hard_state()
    replica.reset_election(now)
