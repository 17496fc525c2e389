"""
Ownership of shards: which instance places the flows of a shard.

A shard is a partition of the key space. Rendezvous hashing ranks the members for
each shard. The first one that is alive or suspect owns the shard, and the next one
is its backup owner; the first three that are not leaving, reachable or not, are its
claim group (see flows/claims.py). Each instance computes this from its own view of
the members.
Source: Thaler and Ravishankar, "Using Name-Based Mappings" (1998).
"""

from functools import lru_cache

import attrs
import numpy
import xxhash

from lycheevalve.coordination.membership import State
from lycheevalve.flows.keys import SHARDS

CLAIM_GROUP_SIZE = 3
# Instances ranked per shard: the owner and those that may be queried for its pins.
MAX_RANKS = 6
OWNER_STATES = (State.ALIVE, State.SUSPECT)

_score_columns: dict[str, numpy.ndarray] = {}


def score_column(name):
    """Return the rendezvous scores of one instance for all shards."""
    column = _score_columns.get(name)
    if column is None:
        scores = [
            xxhash.xxh3_64_intdigest(shard.to_bytes(4, "big") + name.encode())
            for shard in range(SHARDS)
        ]
        column = _score_columns[name] = numpy.array(scores, dtype=numpy.uint64)
    return column


def rank_shards(names, count):
    """Return for each shard the `count` names with the highest scores, in order."""
    if not names:
        return [[] for _ in range(SHARDS)]
    scores = numpy.stack([score_column(name) for name in names], axis=1)
    count = min(count, len(names))
    # Selects the best first, so that only these need to be sorted.
    best = numpy.argpartition(scores, len(names) - count, axis=1)[:, -count:]
    order = numpy.argsort(numpy.take_along_axis(scores, best, axis=1), axis=1)[:, ::-1]
    best = numpy.take_along_axis(best, order, axis=1)
    return numpy.array(names, dtype=object)[best].tolist()


@attrs.define
class Ownership:
    """Owners, backup owners and claim groups by shard, in one view of the members."""

    owners: list[str] = attrs.field(factory=list)
    backup_owners: list[str] = attrs.field(factory=list)
    claim_groups: list[tuple[str, ...]] = attrs.field(factory=list)
    # The instances that are eligible to own shards.
    eligible: frozenset[str] = frozenset()
    # The reachable instances ranked for each shard, leaving ones included.
    ranks: list[tuple[str, ...]] = attrs.field(factory=list)

    @classmethod
    def compute(cls, members):
        """Return the ownership for `members`, which may be in any state."""
        states = sorted((m.name, State(m.state)) for m in members if m.state != State.LEFT)
        return compute_ownership(tuple(states))

    def previous_owners(self, shard, local_name, joined_after):
        """
        Return the instances that may hold pins of a shard that `local_name` owns.

        These are the joining or leaving instances that rank above `local_name`; and below
        it those of `joined_after`, which have not handed over their pins yet, up to the
        first eligible one.
        """
        ranks = self.ranks[shard]
        if local_name not in ranks:
            return []
        position = ranks.index(local_name)
        previous = list(ranks[:position])
        for name in ranks[position + 1 :]:
            if name not in joined_after:
                continue
            previous.append(name)
            if name in self.eligible:
                break
        return previous


@lru_cache(maxsize=32)
def compute_ownership(states):
    """Return the cached Ownership for (name, state) pairs; it must not be changed."""
    alive = [name for name, state in states if state in OWNER_STATES]
    reachable = [name for name, state in states if state < State.DEAD]
    staying = [name for name, state in states if state != State.LEAVING]
    ranked = rank_shards(alive, 2)
    return Ownership(
        owners=[names[0] if names else "" for names in ranked],
        backup_owners=[names[1] if len(names) > 1 else "" for names in ranked],
        claim_groups=list(map(tuple, rank_shards(staying, CLAIM_GROUP_SIZE))),
        eligible=frozenset(alive),
        ranks=list(map(tuple, rank_shards(reachable, MAX_RANKS))),
    )
