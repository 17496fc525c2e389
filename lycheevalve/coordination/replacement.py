"""
Replacement of replicas that are gone for good, without an operator.

The leader keeps the wanted number of members: a member that has been silent is
replaced by a spare control replica that holds the log and answers. The spare is
added before the silent one is removed, one change at a time, so each step needs
a majority that holds all that was accepted. A member that comes back later is a
spare from then on.
"""

from lycheevalve.coordination.consensus import can_propose, propose_members

# A member that has not answered for this long may be replaced, in seconds: longer
# than a restart, shorter than the time after which another loss may follow.
SILENT_SECONDS = 4.0
# A spare must have answered within this time.
ANSWER_SECONDS = 0.5


def count_wanted(tolerated_losses):
    """Return how many members bear the loss of so many disks at once."""
    return 2 * tolerated_losses + 1


def find_silent(replica, now):
    """Return the members that have not answered the leader for long."""
    return [
        name
        for name in replica.others()
        if name in replica.progress
        and now - max(replica.progress[name].acked_at, replica.led_since) > SILENT_SECONDS
    ]


def find_spare(replica, now):
    """Return a process that is no member, holds the log and answers, or an empty text."""
    ready = [
        name
        for name, progress in replica.progress.items()
        if name not in replica.members
        and name in replica.learners
        and not progress.recovering
        and progress.match >= replica.commit > 0
        and now - progress.acked_at < ANSWER_SECONDS
    ]
    return min(ready, default="")


def plan_members(replica, wanted, now):
    """Return the next set of members, or None when it may stay as it is."""
    silent = find_silent(replica, now)
    if len(replica.members) > wanted and silent:
        return [name for name in replica.members if name != silent[0]]
    spare = find_spare(replica, now)
    if spare and (silent or len(replica.members) < wanted):
        return sorted([*replica.members, spare])
    return None


def replace_lost(replica, wanted, now):
    """As leader, propose the next step of a replacement; return the members or None."""
    if not can_propose(replica, now):
        return None
    members = plan_members(replica, wanted, now)
    if members is None or propose_members(replica, members, now):
        return None
    return members
