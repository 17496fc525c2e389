"""
Pins: which upstream each flow of this instance's shards stays on.

A pin is one entry of a dict for each shard: the flow's key, and an integer
that packs the second of its last packet and the upstream's index.
"""

import attrs

from lycheevalve.flows.keys import SHARD_MASK, SHARDS, is_request_key

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


@attrs.define
class Pins:
    """
    The pins of one instance, by shard.

    `count(index, step)` hears of each stream that is pinned or dropped.
    """

    count: object
    shards: list[dict[int, int]] = attrs.field(factory=lambda: [{} for _ in range(SHARDS)])

    def get(self, key):
        """Return the upstream's index for a flow, or 0."""
        return self.shards[key & SHARD_MASK].get(key, 0) & INDEX_MASK

    def touch(self, key, index, second):
        """Note a packet of a pinned flow."""
        self.shards[key & SHARD_MASK][key] = second << INDEX_BITS | index

    def put(self, key, index, second):
        """Pin a flow to an upstream, replacing an older pin."""
        shard = self.shards[key & SHARD_MASK]
        old = shard.get(key, 0) & INDEX_MASK
        shard[key] = second << INDEX_BITS | index
        if old != index and not is_request_key(key):
            if old:
                self.count(old, -1)
            self.count(index, 1)

    def drop(self, key):
        """Remove a pin if there is one."""
        value = self.shards[key & SHARD_MASK].pop(key, None)
        if value is not None and not is_request_key(key):
            self.count(value & INDEX_MASK, -1)

    def expire_shard(self, shard, before, requests_before):
        """Drop the pins of a shard that were idle since before these seconds."""
        old = [
            key
            for key, value in self.shards[shard].items()
            if value >> INDEX_BITS < (requests_before if is_request_key(key) else before)
        ]
        for key in old:
            self.drop(key)

    def take_all(self):
        """Remove all pins; return them as a dict of key to upstream's index."""
        taken = {}
        for shard in self.shards:
            taken.update((key, value & INDEX_MASK) for key, value in shard.items())
        for key in taken:
            self.drop(key)
        return taken

    def __len__(self):
        return sum(map(len, self.shards))
