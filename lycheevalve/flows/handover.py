"""
Handover of pins and claims to other instances, within the control budget.

Pins go to the new owner of their shard (moves) or as copies to its second
instance (backups). Those that the rule would not reproduce go first, so that
what is lost when time runs out costs no flow as long as the rule stands.
"""

import collections
from array import array

import attrs

from lycheevalve.schema.generated.messages import Pins, PinsAck, UpstreamPins

CHUNK_KEYS = 128
# Payload bytes of one key, for the budget.
KEY_BYTES = 9
RETRY_SECONDS = 0.1
REFUSED_SECONDS = 0.05
BURST_BYTES = 65536


@attrs.define
class Budget:
    """Bytes that may be sent: a bucket that fills at `rate` bytes a second."""

    rate: float
    level: float = BURST_BYTES
    filled_at: float = 0.0

    def fill(self, now):
        """Add what the time since the last call allows."""
        if self.filled_at:
            self.level = min(BURST_BYTES, self.level + (now - self.filled_at) * self.rate)
        self.filled_at = now


@attrs.define
class Transfer:
    """What goes to one other instance: queued items and the chunk under way."""

    moves: collections.deque = attrs.field(factory=collections.deque)
    copies: collections.deque = attrs.field(factory=collections.deque)
    claims: collections.deque = attrs.field(factory=collections.deque)
    # End marks to send once the queues are empty.
    claims_complete: bool = False
    pins_complete: bool = False
    former_life_lost: bool = False
    # Until its receiver has followed the view that this instance has.
    paused_until: float = 0.0
    # The chunk that waits for its ack: (message, keys to drop, time sent).
    waiting: tuple | None = None

    def is_empty(self):
        """Return whether nothing is left to send."""
        queued = self.moves or self.copies or self.claims
        marks = self.claims_complete or self.pins_complete
        return not queued and not marks and self.waiting is None


@attrs.define
class Handover:
    """
    The transfers of one instance.

    `describe(key)` returns (address, incarnation) of a key's upstream or None,
    `dropped(key)` is called when a moved pin has arrived, `refused(key)` when the
    receiver does not own its shard.
    """

    send: object
    describe: object
    dropped: object
    refused: object
    budget: Budget
    transfers: dict[str, Transfer] = attrs.field(factory=dict)
    number: int = 0
    bytes_sent: int = 0

    def transfer(self, name):
        """Return the transfer to an instance."""
        return self.transfers.setdefault(name, Transfer())

    def is_done(self):
        """Return whether all transfers are complete."""
        return all(transfer.is_empty() for transfer in self.transfers.values())

    def forget(self, name):
        """Drop the transfer to an instance that is gone."""
        self.transfers.pop(name, None)

    def tick(self, now):
        """Send the next chunks that the budget allows, repeat unacked ones."""
        self.budget.fill(now)
        for name, transfer in self.transfers.items():
            if transfer.waiting is not None:
                self.repeat(name, transfer, now)
            if self.may_send(transfer, now):
                self.send_next(name, transfer, now)

    def may_send(self, transfer, now):
        """Return whether the next chunk of a transfer may go."""
        idle = transfer.waiting is None and now >= transfer.paused_until
        return idle and self.budget.level > 0

    def repeat(self, name, transfer, now):
        """Send the chunk under way once more when its ack is late."""
        message, moved, sent_at = transfer.waiting
        if now - sent_at >= RETRY_SECONDS:
            transfer.waiting = (message, moved, now)
            self.spend(message)
            self.send(name, message)

    def send_next(self, name, transfer, now):
        """Send the next chunk: moves first, then claims, then copies."""
        if transfer.is_empty():
            return
        self.number += 1
        message = Pins(number=self.number)
        moved = []
        if transfer.moves:
            moved = self.take(transfer.moves)
            message.pins = self.group(moved)
        elif transfer.claims:
            pairs = self.take(transfer.claims)
            message.claims = [key for key, _ in pairs]
            message.holders = [holder for _, holder in pairs]
        elif transfer.copies:
            message.pins = self.group(self.take(transfer.copies))
            message.backup = True
        else:
            message.claims_complete = transfer.claims_complete
            message.pins_complete = transfer.pins_complete
            message.former_life_lost = transfer.former_life_lost
            transfer.claims_complete = transfer.pins_complete = False
        transfer.waiting = (message, moved, now)
        self.spend(message)
        self.send(name, message)

    @staticmethod
    def take(queue):
        """Take up to one chunk from a queue."""
        return [queue.popleft() for _ in range(min(CHUNK_KEYS, len(queue)))]

    def group(self, keys):
        """Return the pins of `keys`, by upstream."""
        groups = {}
        for key in keys:
            identity = self.describe(key)
            if identity is not None:
                groups.setdefault(identity, array("Q")).append(key)
        return [
            UpstreamPins(address, incarnation, packed.tobytes())
            for (address, incarnation), packed in groups.items()
        ]

    def spend(self, message):
        """Take a chunk's bytes from the budget."""
        keys = sum(len(pins.keys) // 8 for pins in message.pins)
        size = 64 + KEY_BYTES * (keys + 2 * len(message.claims))
        self.budget.level -= size
        self.bytes_sent += size

    def handle_ack(self, sender, message: PinsAck, now):
        """Take the ack of a chunk: what was moved is the other's now."""
        transfer = self.transfers.get(sender)
        if transfer is None or transfer.waiting is None:
            return
        chunk, moved, _ = transfer.waiting
        if chunk.number != message.number:
            return
        transfer.waiting = None
        refused = set(message.refused)
        for key in moved:
            (self.refused if key in refused else self.dropped)(key)
        if refused:
            transfer.paused_until = now + REFUSED_SECONDS
        if self.may_send(transfer, now):
            self.send_next(sender, transfer, now)


def unpack_keys(packed):
    """Return the keys of an UpstreamPins."""
    keys = array("Q")
    keys.frombytes(packed[: len(packed) // 8 * 8])
    return keys.tolist()
