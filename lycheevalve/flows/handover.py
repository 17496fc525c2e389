"""
Handover of pins and claims to other instances, within a bandwidth budget.

The pins of a shard are moved to its new owner, or copied to its backup owner.
Displaced pins, those that rendezvous hashing alone would not reproduce, are sent
first: if the handover is cut short, the pins that are missing can be recomputed as
long as the candidates stay the same.
"""

import collections
from array import array

import attrs

from lycheevalve.schema.generated.messages import Pins, PinsAck, UpstreamPins

CHUNK_KEYS = 128
# The size of an encoded key, with which a chunk's size is estimated.
KEY_BYTES = 9
RETRY_SECONDS = 0.1
REFUSED_PAUSE_SECONDS = 0.05
BURST_BYTES = 65536


@attrs.define
class TokenBucket:
    """A token bucket of bytes, refilled at `rate` bytes a second."""

    rate: float
    level: float = BURST_BYTES
    refilled_at: float = 0.0

    def refill(self, now):
        """Add the bytes for the time since the last call."""
        if self.refilled_at:
            self.level = min(BURST_BYTES, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now


@attrs.define
class Transfer:
    """The state of the handover to one instance: queued items, the chunk in flight."""

    # Keys of pins to move and to back up, and claims as (key, holder).
    moves: collections.deque = attrs.field(factory=collections.deque)
    backups: collections.deque = attrs.field(factory=collections.deque)
    claims: collections.deque = attrs.field(factory=collections.deque)
    # Completion markers to send once the queues are empty.
    claims_complete: bool = False
    pins_complete: bool = False
    previous_incarnation_lost: bool = False
    # Set after the receiver refused pins, which gives it time to apply the same view.
    paused_until: float = 0.0
    # The unacknowledged chunk: (message, keys that it moves, time sent).
    in_flight: tuple | None = None

    def is_empty(self):
        """Return whether nothing is queued or in flight."""
        queued = self.moves or self.backups or self.claims
        marks = self.claims_complete or self.pins_complete
        return not queued and not marks and self.in_flight is None


@attrs.define
class Handover:
    """
    The transfers of one instance to all others.

    `identify_upstream(key)` returns the (address, incarnation) of a pin's upstream, or
    None. `on_moved(key)` is called when the receiver has acknowledged a moved pin, and
    `on_refused(key)` when it has refused one because it does not own the shard.
    """

    send: object
    identify_upstream: object
    on_moved: object
    on_refused: object
    budget: TokenBucket
    transfers: dict[str, Transfer] = attrs.field(factory=dict)
    # The number of the last chunk.
    number: int = 0
    bytes_sent: int = 0

    def transfer(self, name):
        """Return the transfer to an instance; create it if there is none."""
        return self.transfers.setdefault(name, Transfer())

    def is_done(self):
        """Return whether all transfers are empty."""
        return all(transfer.is_empty() for transfer in self.transfers.values())

    def discard(self, name):
        """Discard the transfer to an instance that is no longer reachable."""
        self.transfers.pop(name, None)

    def tick(self, now):
        """Send the next chunks that the budget allows; retransmit late ones."""
        self.budget.refill(now)
        for name, transfer in self.transfers.items():
            if transfer.in_flight is not None:
                self.retransmit(name, transfer, now)
            if self.can_send(transfer, now):
                self.send_next(name, transfer, now)

    def can_send(self, transfer, now):
        """Return whether the next chunk of a transfer can be sent now."""
        idle = transfer.in_flight is None and now >= transfer.paused_until
        return idle and self.budget.level > 0

    def retransmit(self, name, transfer, now):
        """Retransmit the chunk in flight if its acknowledgement is late."""
        message, moved, sent_at = transfer.in_flight
        if now - sent_at >= RETRY_SECONDS:
            transfer.in_flight = (message, moved, now)
            self.spend(message)
            self.send(name, message)

    def send_next(self, name, transfer, now):
        """Send the next chunk: moves, then claims, backups, and completion markers."""
        if transfer.is_empty():
            return
        self.number += 1
        message = Pins(number=self.number)
        moved = []
        if transfer.moves:
            moved = self.pop_chunk(transfer.moves)
            message.pins = self.group_by_upstream(moved)
        elif transfer.claims:
            pairs = self.pop_chunk(transfer.claims)
            message.claims = [key for key, _ in pairs]
            message.holders = [holder for _, holder in pairs]
        elif transfer.backups:
            message.pins = self.group_by_upstream(self.pop_chunk(transfer.backups))
            message.backup = True
        else:
            message.claims_complete = transfer.claims_complete
            message.pins_complete = transfer.pins_complete
            message.former_life_lost = transfer.previous_incarnation_lost
            transfer.claims_complete = transfer.pins_complete = False
        transfer.in_flight = (message, moved, now)
        self.spend(message)
        self.send(name, message)

    @staticmethod
    def pop_chunk(queue):
        """Remove and return up to one chunk of items from the head of a queue."""
        return [queue.popleft() for _ in range(min(CHUNK_KEYS, len(queue)))]

    def group_by_upstream(self, keys):
        """Return the pins of `keys`, grouped by upstream."""
        groups = {}
        for key in keys:
            identity = self.identify_upstream(key)
            if identity is not None:
                groups.setdefault(identity, array("Q")).append(key)
        return [
            UpstreamPins(address, incarnation, packed.tobytes())
            for (address, incarnation), packed in groups.items()
        ]

    def spend(self, message):
        """Charge the estimated size of a chunk to the budget."""
        keys = sum(len(pins.keys) // 8 for pins in message.pins)
        size = 64 + KEY_BYTES * (keys + 2 * len(message.claims))
        self.budget.level -= size
        self.bytes_sent += size

    def handle_ack(self, sender, message: PinsAck, now):
        """Complete an acknowledged chunk: report its moved pins as accepted or refused."""
        transfer = self.transfers.get(sender)
        if transfer is None or transfer.in_flight is None:
            return
        chunk, moved, _ = transfer.in_flight
        if chunk.number != message.number:
            return
        transfer.in_flight = None
        refused = set(message.refused)
        for key in moved:
            (self.on_refused if key in refused else self.on_moved)(key)
        if refused:
            transfer.paused_until = now + REFUSED_PAUSE_SECONDS
        if self.can_send(transfer, now):
            self.send_next(sender, transfer, now)


def unpack_keys(packed):
    """Return the keys packed in an UpstreamPins."""
    keys = array("Q")
    keys.frombytes(packed[: len(packed) // 8 * 8])
    return keys.tolist()
