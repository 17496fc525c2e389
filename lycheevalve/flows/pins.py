"""
Pins: which upstream each flow of this instance's shards stays on.

A pin is one entry of a dict for each shard: the flow's key, and an integer
that packs the second of its last packet and the upstream's index. Pins outlive
their flows, so the load of an upstream is what spoke lately: the streams seen in
the last whole window and those that are new in the present one.
"""

import attrs

from lycheevalve.flows.keys import SHARD_MASK, SHARDS, is_request_key

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1
WINDOW_SECONDS = 5


@attrs.define
class Pins:
    """The pins of one instance, by shard; `upstreams` maps an index to its Upstream."""

    upstreams: dict
    shards: list[dict[int, int]] = attrs.field(factory=lambda: [{} for _ in range(SHARDS)])
    # The first second of the present window.
    window: int = 0

    def get(self, key):
        """Return the upstream's index for a flow, or 0."""
        return self.shards[key & SHARD_MASK].get(key, 0) & INDEX_MASK

    def touch(self, key, upstream, second):
        """Note a packet of a pinned flow."""
        shard = self.shards[key & SHARD_MASK]
        if shard[key] >> INDEX_BITS < self.window:
            upstream.seen += 1
        shard[key] = second << INDEX_BITS | upstream.index

    def put(self, key, upstream, second):
        """Pin a flow to an upstream, replacing an older pin."""
        shard = self.shards[key & SHARD_MASK]
        old = shard.get(key, 0) & INDEX_MASK
        if old == upstream.index:
            self.touch(key, upstream, second)
            return
        if old:
            self.drop(key)
        shard[key] = second << INDEX_BITS | upstream.index
        if not is_request_key(key):
            upstream.flows += 1
            upstream.seen += 1
            upstream.opened += 1

    def drop(self, key):
        """Remove a pin if there is one."""
        value = self.shards[key & SHARD_MASK].pop(key, None)
        if value is None or is_request_key(key):
            return
        upstream = self.upstreams.get(value & INDEX_MASK)
        if upstream is not None:
            upstream.flows -= 1
            upstream.seen_before = max(0, upstream.seen_before - 1)

    def turn_window(self, now):
        """Start a new window when the present one is over."""
        if now < self.window + WINDOW_SECONDS:
            return
        self.window = int(now)
        for upstream in self.upstreams.values():
            upstream.seen_before, upstream.seen, upstream.opened = upstream.seen, 0, 0

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
