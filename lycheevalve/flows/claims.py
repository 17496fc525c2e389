"""
Claims: a non-idempotent request runs through one instance at most.

Before anything is sent to an upstream, the instance that serves the request
has its claim recorded by two of the three members of the shard's claim group.
Two instances that both think they own the shard share at least one recorder,
which tells the later one who holds the claim. An instance that has lost its
memory records nothing until it has been informed. A holder is one incarnation of
an instance: after a restart it must not take its former claims for its own.
"""

import attrs

from lycheevalve.schema.generated.messages import Claim, ClaimAck

RETRY_SECONDS = 0.03
GIVE_UP_SECONDS = 0.15


def name_holder(name, incarnation):
    """Return the holder that one incarnation of an instance is."""
    return f"{name}#{incarnation}"


def split_holder(holder):
    """Return (name, incarnation) of a holder."""
    name, _, incarnation = holder.rpartition("#")
    return name, int(incarnation)


@attrs.define
class PendingClaim:
    """A claim that waits for its recorders."""

    key: int
    needed: int
    waiting: set[str]
    done: object
    asked_at: float
    sent_at: float
    recorded: int = 0


@attrs.define
class Claims:
    """The claims that one instance records and those that it makes."""

    me: str
    incarnation: int
    send: object
    lifetime: float
    held: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    pending: dict[int, PendingClaim] = attrs.field(factory=dict)
    informed: bool = False
    number: int = 0

    @property
    def holder(self):
        """Return this incarnation as the holder of claims."""
        return name_holder(self.me, self.incarnation)

    def request(self, key, group, done, now):
        """
        Claim a request; call `done(holder, now)` once.

        `holder` is this one when the claim is recorded, another one when that
        has it, and empty when no quorum answered.
        """
        holder = self.record(key, self.holder, now)
        if holder != self.holder:
            return done(holder, now)
        own = 1 if self.informed and self.me in group else 0
        needed = len(group) // 2 + 1
        others = {name for name in group if name != self.me}
        claim = PendingClaim(key, needed, others, done, now, now, own)
        if own >= needed:
            return done(self.holder, now)
        self.pending[key] = claim
        self.ask(claim, now)

    def ask(self, claim, now):
        """Send a claim to the recorders that have not answered."""
        claim.sent_at = now
        for name in sorted(claim.waiting):
            self.number += 1
            self.send(name, Claim(self.number, [claim.key], self.holder))

    def record(self, key, holder, now):
        """Record a claim unless another one stands; return who holds it."""
        known = self.held.get(key)
        if known is not None and known[1] > now:
            return known[0]
        self.held[key] = (holder, now + self.lifetime)
        return holder

    def handle_claim(self, sender, message, now):
        """Record another instance's claims and answer."""
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
        """Take a recorder's answer."""
        for key, holder in zip(message.taken, message.holders):
            self.finish(key, holder, now)
        for key in message.recorded:
            claim = self.pending.get(key)
            if claim is None or sender not in claim.waiting:
                continue
            claim.waiting.discard(sender)
            claim.recorded += message.informed
            if claim.recorded >= claim.needed:
                self.finish(key, self.holder, now)
            elif not claim.waiting:
                self.finish(key, "", now)

    def finish(self, key, holder, now):
        """End a pending claim."""
        claim = self.pending.pop(key, None)
        if claim is None:
            return
        if holder not in ("", self.holder):
            self.held[key] = (holder, now + self.lifetime)
        claim.done(holder, now)

    def tick(self, now):
        """Ask again, give up, and forget what has lived its time."""
        for claim in list(self.pending.values()):
            if now - claim.asked_at >= GIVE_UP_SECONDS:
                self.finish(claim.key, "", now)
            elif now - claim.sent_at >= RETRY_SECONDS:
                self.ask(claim, now)

    def forget_old(self, now):
        """Drop the claims whose lifetime has passed."""
        old = [key for key, (_, until) in self.held.items() if until <= now]
        for key in old:
            del self.held[key]
