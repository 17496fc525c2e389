"""
Automatic replacement of members that fail permanently.

The leader maintains a fixed number of members. It replaces an unresponsive member
with a spare: a learner that holds the log and answers. The spare is added before
the unresponsive member is removed, one change at a time, so that each step needs a
majority that holds every committed entry. A replaced member that returns is a spare;
if it returns before it is removed, the member with the fewest entries is.
"""

import functools

from lycheevalve.coordination.consensus import can_propose, propose_members

# A member that has not answered for this long may be replaced: longer than a restart.
MAX_UNRESPONSIVE_SECONDS = 4.0
# The part of the catch-up time after which a member is replaced. The rest is for the changes
# of the members, since a further loss must be tolerated at the end of that time.
UNRESPONSIVE_SHARE = 0.8
# A new leader has the answers of all members that run after this time.
FIRST_ANSWER_SECONDS = 0.5
# A spare must have answered the leader within this time.
SPARE_CONTACT_SECONDS = 0.5


def count_target_members(tolerated_losses):
    """Return the number of members needed to tolerate this many simultaneous disk losses."""
    return 2 * tolerated_losses + 1


def unresponsive_seconds(catch_up_seconds):
    """Return after how many seconds without an answer a member is replaced."""
    return min(MAX_UNRESPONSIVE_SECONDS, UNRESPONSIVE_SHARE * catch_up_seconds)


def find_unresponsive(replica, limit, now):
    """Return the members that have not answered a leader for more than `limit` seconds."""
    if now - replica.elected_at < FIRST_ANSWER_SECONDS:
        return []
    return [
        name
        for name in replica.others()
        if name in replica.progress and now - replica.progress[name].acked_at > limit
    ]


def find_spare(replica, now):
    """Return a learner that is not a member, holds the log and answers, or ''."""
    ready = [
        name
        for name, progress in replica.progress.items()
        if name not in replica.members
        and name in replica.learners
        and not progress.recovering
        and progress.match >= replica.commit > 0
        and now - progress.acked_at < SPARE_CONTACT_SECONDS
    ]
    return min(ready, default="")


def find_surplus(replica, target_member_count, unresponsive):
    """Return the member to remove, or ''."""
    if len(replica.members) <= target_member_count:
        return ""
    if unresponsive:
        return unresponsive[0]
    # A member more than the target tolerates no further loss, and two halves that are cut
    # off from each other have no majority. Two members stay, as one tolerates nothing.
    is_one_more = len(replica.members) == target_member_count + 1 > 2
    others = [name for name in replica.others() if name in replica.progress]
    if not is_one_more or len(others) != target_member_count:
        return ""
    return min(others, key=functools.partial(rank_member, replica))


def rank_member(replica, name):
    """Return a key that orders members by how much they hold, recovering ones first."""
    progress = replica.progress[name]
    return not progress.recovering, progress.match, name


def plan_members(replica, target_member_count, limit, now):
    """Return the next set of members, or None if no change is needed or possible."""
    unresponsive = find_unresponsive(replica, limit, now)
    surplus = find_surplus(replica, target_member_count, unresponsive)
    if surplus:
        return [name for name in replica.members if name != surplus]
    spare = find_spare(replica, now)
    if spare and (unresponsive or len(replica.members) < target_member_count):
        return sorted([*replica.members, spare])
    return None


def replace_lost_member(replica, target_member_count, catch_up_seconds, now):
    """As leader, propose the next step of a replacement; return the new members or None."""
    if not can_propose(replica, now):
        return None
    limit = unresponsive_seconds(catch_up_seconds)
    members = plan_members(replica, target_member_count, limit, now)
    if members is None or propose_members(replica, members, now):
        return None
    return members
