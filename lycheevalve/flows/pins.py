"""
Pins: the session table, which maps each flow to its upstream.

There is one dict for each shard. A pin is an entry of it: the flow's key, and an
integer that packs the second of its last packet with the upstream's index. A pin
stays until it is idle for long, so pins overstate the load of an upstream. Its
active streams are those seen in the last full window, and the new ones of the
current window.
"""

import attrs

from lycheevalve.flows.keys import SHARD_MASK, SHARDS, is_request_key

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1
WINDOW_SECONDS = 5


@attrs.define
class Pins:
    """The session table of one instance; `upstreams` maps an index to its Upstream."""

    upstreams: dict
    shards: list[dict[int, int]] = attrs.field(factory=lambda: [{} for _ in range(SHARDS)])
    # The first second of the current window.
    window: int = 0

    def get(self, key):
        """Return the index of the upstream that a flow is pinned to, or 0."""
        return self.shards[key & SHARD_MASK].get(key, 0) & INDEX_MASK

    def touch(self, key, upstream, second):
        """Update a pin's time after a packet of its flow."""
        shard = self.shards[key & SHARD_MASK]
        if shard[key] >> INDEX_BITS < self.window:
            upstream.streams_this_window += 1
        shard[key] = second << INDEX_BITS | upstream.index

    def put(self, key, upstream, second):
        """Pin a flow to an upstream; replace an existing pin."""
        shard = self.shards[key & SHARD_MASK]
        existing = shard.get(key, 0) & INDEX_MASK
        if existing == upstream.index:
            self.touch(key, upstream, second)
            return
        if existing:
            self.remove(key)
        shard[key] = second << INDEX_BITS | upstream.index
        if not is_request_key(key):
            upstream.flows += 1
            upstream.streams_this_window += 1
            upstream.streams_opened += 1

    def remove(self, key):
        """Remove a pin if there is one."""
        value = self.shards[key & SHARD_MASK].pop(key, None)
        if value is None or is_request_key(key):
            return
        upstream = self.upstreams.get(value & INDEX_MASK)
        if upstream is not None:
            upstream.flows -= 1
            upstream.streams_last_window = max(0, upstream.streams_last_window - 1)

    def rotate_window(self, now):
        """Start a new window if the current one is over."""
        if now < self.window + WINDOW_SECONDS:
            return
        self.window = int(now)
        for upstream in self.upstreams.values():
            (
                upstream.streams_last_window,
                upstream.streams_this_window,
                upstream.streams_opened,
            ) = upstream.streams_this_window, 0, 0

    def expire_shard(self, shard, before, requests_before):
        """Remove the pins last used before `before`, or `requests_before` for requests."""
        expired = [
            key
            for key, value in self.shards[shard].items()
            if value >> INDEX_BITS < (requests_before if is_request_key(key) else before)
        ]
        for key in expired:
            self.remove(key)

    def remove_all(self):
        """Remove all pins; return a dict of key to upstream's index."""
        removed = {}
        for shard in self.shards:
            removed.update((key, value & INDEX_MASK) for key, value in shard.items())
        for key in removed:
            self.remove(key)
        return removed

    def __len__(self):
        return sum(map(len, self.shards))
