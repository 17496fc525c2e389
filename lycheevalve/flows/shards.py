"""
Shard management: failover and handover of shards when the membership changes.

Shards change owners when instances join, leave, fail, or resume after a pause.
`ShardManager` recomputes the ownership, hands over pins and claims to instances
that now need them, and keeps track of shards that were taken over without a
handover. It also keeps backups of displaced pins: those whose upstream is not the
first choice of rendezvous hashing, so that they cannot be recomputed.
"""

import attrs

from lycheevalve.coordination.membership import State
from lycheevalve.flows.handover import Handover, unpack_keys
from lycheevalve.flows.keys import SHARD_MASK, SHARDS, is_request_key
from lycheevalve.flows.ownership import Ownership
from lycheevalve.flows.placement import find_first_choice
from lycheevalve.schema.generated.messages import PinsAck

# How many pins a tick checks for displacement, and how many shards a run expires.
SWEEP_PINS = 500
EXPIRE_SHARDS = 64
RULE_CHECK_SECONDS = 0.25
# All backups are sent again at this interval, and dropped at twice this age.
COPY_AGAIN_SECONDS = 3600.0
# The idle time after which the pin of a request key expires.
REQUEST_IDLE_SECONDS = 60
NEVER = float("-inf")


@attrs.define(eq=False)
class ShardManager:
    """The shards of one instance, and the transfers that view changes make necessary."""

    me: str
    membership: object
    upstreams: object
    pins: object
    claims: object
    send: object
    budget: object
    peers: tuple
    takeover_seconds: float
    started_at: float
    ownership: Ownership
    # Backups of other owners' pins: key to (upstream's index, time received).
    backups: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    taken_over: dict[int, float] = attrs.field(factory=dict)
    welcomed: set[str] = attrs.field(factory=set)
    # Peers that have not sent all their claims yet.
    waiting_for: set[str] = attrs.field(init=False)
    # Instances that may still hold pins of shards that this one has become owner of.
    pins_from: set[str] = attrs.field(factory=set)
    owners_before: frozenset = frozenset()
    # The incarnation of each instance in the previous view.
    lives: dict[str, int] = attrs.field(factory=dict)
    # Failed instances that have not been notified of it since they restarted.
    lost_lives: set[str] = attrs.field(factory=set)
    # Whether the previous incarnation of this instance failed.
    former_life_lost: bool = False
    joined_at: float = attrs.field(init=False)
    handover: Handover = attrs.field(init=False)
    dirty: bool = True
    expire_at: int = 0
    # The indices of the usable upstreams at the last check for displaced pins.
    rule_inputs: frozenset = frozenset()
    rule_checked_at: float = NEVER
    copied_at: float = attrs.field(init=False)
    # Shards to check for displaced pins; a dict keeps their order.
    to_sweep: dict[int, None] = attrs.field(factory=dict)
    # The backups sent for each shard: key to (upstream's index, backup owner).
    copied: dict[int, dict] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.waiting_for = {name for name in self.peers if name != self.me}
        self.joined_at = self.copied_at = self.started_at
        self.handover = Handover(
            send=self.send,
            describe=self.describe_pin,
            dropped=self.pins.drop,
            refused=self.hand_again,
            budget=self.budget,
        )

    # View changes.

    def tick(self, now):
        """Apply a changed view, back up displaced pins, and continue the handover."""
        self.follow_news(now)
        self.sweep(now)
        self.handover.tick(now)

    def follow_news(self, now):
        """Apply the membership view if it has changed."""
        if self.dirty:
            self.dirty = False
            self.follow_view(now)

    def follow_view(self, now):
        """Recompute the ownership and queue the transfers that the changes need."""
        before = self.ownership
        self.ownership = after = Ownership.compute(self.membership.members.values())
        for name in list(self.handover.transfers):
            if not self.membership.is_reachable(name):
                self.handover.forget(name)
        claims = self.claims_by_shard()
        lost = self.find_lost()
        for shard in range(SHARDS):
            if after.owners[shard] != before.owners[shard]:
                was_lost = before.owners[shard] in lost
                self.follow_owner(shard, was_lost, after.owners[shard], now)
            if after.seconds[shard] != before.seconds[shard]:
                self.to_sweep[shard] = None
            if after.groups[shard] != before.groups[shard] and shard in claims:
                added = set(after.groups[shard]) - set(before.groups[shard])
                self.hand_claims(claims[shard], added)
        if lost:
            self.lost_lives |= lost
            self.promote_backups(now)
        self.inform_welcomed(claims)
        self.mark_new_owners()

    def find_lost(self):
        """
        Return the instances that have failed since the previous view.

        One that has restarted in the meantime shows a new incarnation.
        """
        members = self.membership.members
        lost = {
            name
            for name, incarnation in self.lives.items()
            if members[name].state == State.DEAD or members[name].incarnation != incarnation
        }
        self.lives = {
            name: member.incarnation
            for name, member in members.items()
            if member.state != State.LEFT
        }
        return lost

    def follow_owner(self, shard, was_lost, owner, now):
        """Record a takeover, or queue the shard's pins for its new owner."""
        if owner == self.me:
            if was_lost:
                self.taken_over[shard] = now
            return
        self.taken_over.pop(shard, None)
        self.copied.pop(shard, None)
        if owner and self.pins.shards[shard]:
            self.hand_shard(shard, owner, now)

    def promote_backups(self, now):
        """Restore the pins of the shards that were just taken over from their backups."""
        for key, (index, _) in list(self.backups.items()):
            upstream = self.upstreams.by_index.get(index)
            is_taken_over = self.taken_over.get(key & SHARD_MASK) == now
            if is_taken_over and upstream is not None:
                self.take_pin(key, upstream, False, now)

    def hand_shard(self, shard, name, now):
        """Queue a shard's pins for its new owner, displaced ones first."""
        keys = self.pins.shards[shard]
        off_rule = set(self.find_off_rule(shard, now))
        moves = self.handover.transfer(name).moves
        moves.extendleft(off_rule)
        moves.extend(key for key in keys if key not in off_rule)

    def claims_by_shard(self):
        """Return the (key, holder) pairs of the recorded claims, by shard."""
        result = {}
        for key, (holder, _) in self.claims.held.items():
            result.setdefault(key & SHARD_MASK, []).append((key, holder))
        return result

    def hand_claims(self, claims, names):
        """Queue claims for the instances that are new in their claim group."""
        for name in sorted(names - {self.me}):
            if self.membership.is_reachable(name):
                self.handover.transfer(name).claims.extend(claims)

    def welcome(self, name):
        """Record that an instance has requested a sync, which is answered later."""
        self.welcomed.add(name)
        self.dirty = True

    def inform_welcomed(self, claims):
        """Queue claims and end marks for the instances that have requested a sync."""
        for name in sorted(self.welcomed):
            if not self.membership.is_reachable(name):
                continue
            transfer = self.handover.transfer(name)
            if transfer.claims_complete:
                continue
            for shard, pairs in claims.items():
                if name in self.ownership.groups[shard]:
                    transfer.claims.extend(pairs)
            transfer.claims_complete = True
            transfer.former_life_lost = name in self.lost_lives
            self.lost_lives.discard(name)
            transfer.pins_complete = name in self.owners_before
        self.welcomed.clear()

    def mark_new_owners(self):
        """Queue the end mark of the pins for instances that have just become eligible."""
        owners = self.ownership.alive
        for name in sorted(owners - self.owners_before - {self.me}):
            self.handover.transfer(name).pins_complete = True
        self.owners_before = owners
        self.pins_from = set(filter(self.membership.is_reachable, self.pins_from))

    def update_informed(self, now):
        """
        Mark the claims as complete when no peer's are missing.

        After the takeover time they count as complete in any case, as older claims
        have expired.
        """
        gone = {member.name for member in self.membership.in_states(State.LEFT)}
        self.waiting_for -= gone
        waited = now - self.joined_at >= self.takeover_seconds
        if not self.waiting_for or waited:
            self.waiting_for = set()
            self.claims.informed = True
        if waited:
            self.pins_from = set()

    def thaw(self, now):
        """
        Handle a resume after a pause of the process.

        Other instances may have taken over the shards, so pins are demoted to
        backups, and the instance synchronises as after a start.
        """
        for key, index in self.pins.take_all().items():
            self.backups[key] = index, now
        self.expect_pins(now)
        self.waiting_for = set(self.pins_from)
        self.claims.informed = False

    def expect_pins(self, now):
        """Have pins queried at the other instances until they have handed them over."""
        self.joined_at = now
        self.pins_from = {
            member.name
            for member in self.membership.members.values()
            if member.state < State.DEAD and member.name != self.me
        }

    # Queries of other components.

    def owner(self, shard):
        """Return the name of a shard's owner, or ''."""
        return self.ownership.owners[shard]

    def claim_group(self, key):
        """Return the claim group of a key's shard."""
        return self.ownership.groups[key & SHARD_MASK]

    def count_owners(self):
        """Return how many instances are eligible to own shards, at least 1."""
        return max(1, len(self.ownership.alive))

    def previous_owners(self, shard):
        """Return the instances that may hold pins of a shard that this one owns."""
        return self.ownership.previous_owners(shard, self.me, self.pins_from)

    def refer(self, shard, asker):
        """Return another instance to query for pins of a shard, or ''."""
        owner = self.owner(shard)
        if owner not in ("", self.me, asker):
            return owner
        # This instance may itself still be waiting for the pins of the shard.
        others = [name for name in self.previous_owners(shard) if name != asker]
        return others[-1] if others else ""

    def is_taken_over(self, shard, now):
        """Return whether a shard was recently taken over without a handover."""
        since = self.joined_at if self.former_life_lost else NEVER
        since = max(since, self.taken_over.get(shard, NEVER))
        return now - since < self.takeover_seconds

    def is_handed_over(self):
        """Return whether no view change or handover is pending."""
        return not self.dirty and self.handover.is_done()

    # Handover.

    def describe_pin(self, key):
        """Return the (address, incarnation) of a pin's upstream, or None."""
        upstream = self.upstreams.by_index.get(self.pins.get(key))
        if upstream is None:
            return None
        return upstream.registration.address, upstream.registration.incarnation

    def handle_pins(self, sender, message, now):
        """Handle a chunk of pins, claims or end marks of another instance."""
        self.follow_news(now)
        refused = []
        for group in message.pins:
            upstream = self.upstreams.find(group.upstream, group.incarnation)
            for key in unpack_keys(group.keys):
                if not message.backup and self.owner(key & SHARD_MASK) != self.me:
                    refused.append(key)
                elif upstream is not None:
                    self.take_pin(key, upstream, message.backup, now)
        for key, holder in zip(message.claims, message.holders):
            self.claims.record(key, holder, now)
        if message.claims_complete:
            self.waiting_for.discard(sender)
        self.former_life_lost |= message.former_life_lost
        if message.pins_complete:
            self.pins_from.discard(sender)
        self.send(sender, PinsAck(message.number, refused))

    def take_pin(self, key, upstream, is_backup, now):
        """Store a received pin or backup; an existing pin of the flow is kept."""
        if is_backup:
            self.backups[key] = upstream.index, now
        elif not self.pins.get(key):
            self.pins.put(key, upstream, int(now))
            self.backups.pop(key, None)
            self.to_sweep[key & SHARD_MASK] = None

    def hand_again(self, key):
        """Queue a refused pin for the current owner of its shard."""
        owner = self.ownership.owners[key & SHARD_MASK]
        if owner not in ("", self.me) and self.pins.get(key):
            self.handover.transfer(owner).moves.append(key)

    def copy(self, key):
        """Queue a backup of a pin for the backup owner of its shard."""
        backup_owner = self.ownership.seconds[key & SHARD_MASK]
        if backup_owner and backup_owner != self.me:
            self.handover.transfer(backup_owner).copies.append(key)

    def check_rule(self, now):
        """Have all pins checked if the candidates changed or backups need a refresh."""
        if now - self.rule_checked_at < RULE_CHECK_SECONDS:
            return
        self.rule_checked_at = now
        candidates = self.upstreams.usable_indices(now)
        refresh = now - self.copied_at > COPY_AGAIN_SECONDS
        if refresh:
            self.copied_at = now
            self.copied.clear()
            self.forget_backups(now)
        if refresh or candidates != self.rule_inputs:
            self.rule_inputs = candidates
            owners = self.ownership.owners
            own = (shard for shard in range(SHARDS) if owners[shard] == self.me)
            self.to_sweep.update(dict.fromkeys(own))

    def forget_backups(self, now):
        """Drop the backups that their owner has not refreshed."""
        limit = now - 2 * COPY_AGAIN_SECONDS
        for key in [key for key, (_, at) in self.backups.items() if at < limit]:
            del self.backups[key]

    def sweep(self, now):
        """Back up the displaced pins of the next shards that are to be checked."""
        self.check_rule(now)
        checked = 0
        while self.to_sweep and checked < SWEEP_PINS:
            shard = next(iter(self.to_sweep))
            del self.to_sweep[shard]
            checked += len(self.pins.shards[shard])
            if self.ownership.owners[shard] == self.me:
                self.copy_shard(shard, now)

    def copy_shard(self, shard, now):
        """Queue backups of a shard's displaced pins that have changed."""
        before = self.copied.get(shard, {})
        backup_owner = self.ownership.seconds[shard]
        after = {
            key: (self.pins.get(key), backup_owner) for key in self.find_off_rule(shard, now)
        }
        for key, backup in after.items():
            if before.get(key) != backup:
                self.copy(key)
        if after:
            self.copied[shard] = after
        else:
            self.copied.pop(shard, None)

    def find_off_rule(self, shard, now):
        """Return the streams of a shard that are pinned to another than the first choice."""
        result = []
        usable = {}
        for key in self.pins.shards[shard]:
            upstream = self.upstreams.by_index.get(self.pins.get(key))
            if upstream is None or is_request_key(key):
                continue
            if upstream.service not in usable:
                usable[upstream.service] = self.upstreams.usable(upstream.service, now)
            if find_first_choice(key, usable[upstream.service]) is not upstream:
                result.append(key)
        return result

    def expire_pins(self, services, now):
        """Start a new window if it is due, and expire idle pins in the next shards."""
        self.pins.turn_window(now)
        idle = max((service.idle_seconds for service in services.values()), default=0)
        if not idle:
            return
        for _ in range(EXPIRE_SHARDS):
            shard = self.expire_at = (self.expire_at + 1) % SHARDS
            self.pins.expire_shard(shard, now - idle, now - REQUEST_IDLE_SECONDS)
