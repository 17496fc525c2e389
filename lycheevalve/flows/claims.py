"""
Claims: deduplication records, which ensure that at most one instance sends a request.

A claim names the instance that holds a non-idempotent request: its holder. Before
the holder sends the request to an upstream, a quorum, two of the three members of
the shard's claim group, must record the claim. If two instances both act as owner
of the shard, their quorums share a member, which replies to the later one with the
holder. An instance that has started without state does not count towards a quorum
until it is informed: its peers have sent their claims, or older claims have expired.
A holder is one incarnation of an instance, so that after a restart the claims of the
previous incarnation do not count as claims of the new one.
"""

import attrs

from lycheevalve.schema.generated.messages import Claim, ClaimAck

RETRY_SECONDS = 0.03
QUORUM_TIMEOUT_SECONDS = 0.15


def format_holder(name, incarnation):
    """Return the holder for one incarnation of an instance."""
    return f"{name}#{incarnation}"


def parse_holder(holder):
    """Return the (name, incarnation) of a holder."""
    name, _, incarnation = holder.rpartition("#")
    return name, int(incarnation)


@attrs.define
class PendingClaim:
    """A claim that waits for a quorum."""

    key: int
    # How many members must record the claim, and which have not replied yet.
    needed: int
    unacknowledged: set[str]
    on_done: object
    started_at: float
    sent_at: float
    recorded: int = 0


@attrs.define
class Claims:
    """
    The claims that one instance has recorded, and its own pending ones.

    `send(name, message)` sends a message to an instance; `lifetime` is how long a claim
    is kept, in seconds.
    """

    local_name: str
    incarnation: int
    send: object
    lifetime: float
    # The recorded claims: key to (holder, time of expiry).
    held: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    pending: dict[int, PendingClaim] = attrs.field(factory=dict)
    informed: bool = False
    # The number of the last Claim message.
    number: int = 0

    @property
    def holder(self):
        """Return the holder for this incarnation."""
        return format_holder(self.local_name, self.incarnation)

    def acquire(self, key, group, on_done, now):
        """
        Acquire the claim of a request, then call `on_done(holder, now)` once.

        `holder` is this incarnation if a quorum recorded the claim, the other holder if
        there is one, and an empty string if no quorum replied in time.
        """
        holder = self.record(key, self.holder, now)
        if holder != self.holder:
            return on_done(holder, now)
        own = 1 if self.informed and self.local_name in group else 0
        needed = len(group) // 2 + 1
        others = {name for name in group if name != self.local_name}
        claim = PendingClaim(key, needed, others, on_done, now, now, own)
        if own >= needed:
            return on_done(self.holder, now)
        self.pending[key] = claim
        self.send_claim(claim, now)

    def send_claim(self, claim, now):
        """Send a claim to the members of the group that have not acknowledged it."""
        claim.sent_at = now
        for name in sorted(claim.unacknowledged):
            self.number += 1
            self.send(name, Claim(self.number, [claim.key], self.holder))

    def record(self, key, holder, now):
        """Record a claim unless an unexpired one exists; return its holder."""
        existing = self.held.get(key)
        if existing is not None and existing[1] > now:
            return existing[0]
        self.held[key] = (holder, now + self.lifetime)
        return holder

    def handle_claim(self, sender, message, now):
        """Record another instance's claims and acknowledge them."""
        taken, holders = [], []
        for key in message.keys:
            holder = self.record(key, message.holder, now)
            if holder != message.holder:
                taken.append(key)
                holders.append(holder)
        recorded = [key for key in message.keys if key not in taken]
        ack = ClaimAck(message.number, taken, holders, self.informed, recorded)
        self.send(sender, ack)

    def handle_ack(self, sender, message, now):
        """Handle the acknowledgement of a group member."""
        for key, holder in zip(message.taken, message.holders):
            self.finish(key, holder, now)
        for key in message.recorded:
            claim = self.pending.get(key)
            if claim is None or sender not in claim.unacknowledged:
                continue
            claim.unacknowledged.discard(sender)
            claim.recorded += message.informed
            if claim.recorded >= claim.needed:
                self.finish(key, self.holder, now)
            elif not claim.unacknowledged:
                self.finish(key, "", now)

    def finish(self, key, holder, now):
        """Complete a pending claim."""
        claim = self.pending.pop(key, None)
        if claim is None:
            return
        if holder not in ("", self.holder):
            self.held[key] = (holder, now + self.lifetime)
        claim.on_done(holder, now)

    def tick(self, now):
        """Send pending claims again, and fail those that time out."""
        for claim in list(self.pending.values()):
            if now - claim.started_at >= QUORUM_TIMEOUT_SECONDS:
                self.finish(claim.key, "", now)
            elif now - claim.sent_at >= RETRY_SECONDS:
                self.send_claim(claim, now)

    def evict_expired(self, now):
        """Evict the claims whose lifetime has passed."""
        expired = [key for key, (_, until) in self.held.items() if until <= now]
        for key in expired:
            del self.held[key]
