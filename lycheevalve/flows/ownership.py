"""
Ownership of shards: which instance places the flows of a shard.

Each shard ranks all known instances by rendezvous hashing. The first one that
is alive owns the shard; the first three, alive or not, are its claim group
(see flows/claims.py). Every instance computes the ranks alone.
Source: Thaler and Ravishankar, "Using Name-Based Mappings" (1998).
"""

from functools import lru_cache

import attrs
import numpy
import xxhash

from lycheevalve.coordination.membership import State
from lycheevalve.flows.keys import SHARDS

CLAIM_GROUP = 3
RANKS_KEPT = 6
OWNER_STATES = (State.ALIVE, State.SUSPECT)

_columns: dict[str, numpy.ndarray] = {}


def score_column(name):
    """Return the scores of one instance for all shards."""
    column = _columns.get(name)
    if column is None:
        scores = [
            xxhash.xxh3_64_intdigest(shard.to_bytes(4, "big") + name.encode())
            for shard in range(SHARDS)
        ]
        column = _columns[name] = numpy.array(scores, dtype=numpy.uint64)
    return column


def rank(names):
    """Return for each shard the indices of `names`, the best first (SHARDS x n)."""
    matrix = numpy.stack([score_column(name) for name in names], axis=1)
    return numpy.argsort(matrix, axis=1)[:, ::-1]


@attrs.define
class Ownership:
    """The owners of all shards in one view of the members."""

    owners: list[str] = attrs.field(factory=list)
    seconds: list[str] = attrs.field(factory=list)
    groups: list[tuple[str, ...]] = attrs.field(factory=list)
    # The instances that may own.
    alive: frozenset[str] = frozenset()
    # The reachable instances of each shard in order, leaving ones included.
    ranks: list[tuple[str, ...]] = attrs.field(factory=list)

    @classmethod
    def compute(cls, members):
        """Return the ownership in a view; `members` may be in any state."""
        known = sorted((m.name, State(m.state)) for m in members if m.state != State.LEFT)
        return compute_ownership(tuple(known))

    def previous_owners(self, shard, me, joined_after):
        """
        Return who may hold pins of a shard that `me` owns.

        Leaving instances that ranked above `me`; and of `joined_after`, those that
        were there before `me`, the next ones after it up to the first alive.
        """
        ranks = self.ranks[shard]
        if me not in ranks:
            return []
        position = ranks.index(me)
        previous = list(ranks[:position])
        for name in ranks[position + 1 :]:
            if name in joined_after:
                previous.append(name)
            if name in self.alive:
                break
        return previous


@lru_cache(maxsize=32)
def compute_ownership(known):
    """Return the Ownership for (name, state) pairs; the result is shared."""
    if not known:
        return Ownership()
    names = [name for name, _ in known]
    alive = frozenset(name for name, state in known if state in OWNER_STATES)
    reachable = {name for name, state in known if state < State.DEAD}
    staying = {name for name, state in known if state != State.LEAVING}
    result = Ownership(alive=alive)
    for row in rank(names).tolist():
        ranked = [names[index] for index in row]
        living = [name for name in ranked if name in alive]
        result.owners.append(living[0] if living else "")
        result.seconds.append(living[1] if len(living) > 1 else "")
        result.groups.append(tuple([n for n in ranked if n in staying][:CLAIM_GROUP]))
        result.ranks.append(tuple(n for n in ranked if n in reachable)[:RANKS_KEPT])
    return result
