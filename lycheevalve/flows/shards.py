"""
Shard management: failover and handover of shards when the membership changes.

Shards change owners when instances join, leave, fail, or resume after a pause.
`ShardManager` recomputes the ownership, hands over pins and claims, and tracks
shards that were taken over without a handover. It also backs up displaced pins, which
cannot be recomputed: their upstream is not the first choice of rendezvous hashing.
"""

import attrs

from lycheevalve.coordination.membership import State
from lycheevalve.flows.handover import Handover, unpack_keys
from lycheevalve.flows.keys import SHARD_MASK, SHARDS, is_request_key
from lycheevalve.flows.ownership import Ownership
from lycheevalve.flows.placement import find_first_choice
from lycheevalve.schema.generated.messages import PinsAck

# Pins checked for displacement per tick, and shards checked for idle pins per eviction run.
SWEEP_PINS_PER_TICK = 500
EXPIRY_SHARDS_PER_RUN = 64
CANDIDATES_CHECK_INTERVAL_SECONDS = 0.25
# All backups are sent again at this interval, and dropped at twice this age.
BACKUP_REFRESH_INTERVAL_SECONDS = 3600.0
# The idle time after which the pin of a request key expires.
REQUEST_PIN_IDLE_SECONDS = 60
NEVER = float("-inf")


@attrs.define(eq=False)
class ShardManager:
    """The shards of one instance, and the transfers that view changes make necessary."""

    local_name: str
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
    sync_requests: set[str] = attrs.field(factory=set)
    # Peers that have not sent all their claims yet.
    awaiting_claims_from: set[str] = attrs.field(init=False)
    # Instances that may still hold pins of shards that this one has become owner of.
    awaiting_pins_from: set[str] = attrs.field(factory=set)
    last_owners: frozenset = frozenset()
    # The incarnation of each instance in the previous view.
    incarnations: dict[str, int] = attrs.field(factory=dict)
    # Failed instances that have not been notified of it since they restarted.
    unreported_failures: set[str] = attrs.field(factory=set)
    # Whether the previous incarnation of this instance failed without a handover.
    previous_incarnation_lost: bool = False
    joined_at: float = attrs.field(init=False)
    handover: Handover = attrs.field(init=False)
    dirty: bool = True
    expiry_cursor: int = 0
    # The indices of the usable upstreams at the last check for displaced pins.
    hash_candidates: frozenset = frozenset()
    candidates_checked_at: float = NEVER
    backups_refreshed_at: float = attrs.field(init=False)
    # Shards to check for displaced pins; a dict keeps their order.
    to_sweep: dict[int, None] = attrs.field(factory=dict)
    # The backups sent for each shard: key to (upstream's index, backup owner).
    backed_up: dict[int, dict] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.awaiting_claims_from = {name for name in self.peers if name != self.local_name}
        self.joined_at = self.backups_refreshed_at = self.started_at
        self.handover = Handover(
            send=self.send,
            identify_upstream=self.identify_upstream,
            on_moved=self.pins.remove,
            on_refused=self.requeue_refused,
            budget=self.budget,
        )

    # View changes.

    def tick(self, now):
        """Apply a changed view, back up displaced pins, and continue the handover."""
        self.apply_view_if_changed(now)
        self.sweep(now)
        self.handover.tick(now)

    def apply_view_if_changed(self, now):
        """Apply the membership view if it has changed."""
        if self.dirty:
            self.dirty = False
            self.apply_view(now)

    def apply_view(self, now):
        """Recompute the ownership and queue the transfers that the changes need."""
        before = self.ownership
        self.ownership = after = Ownership.compute(self.membership.members.values())
        for name in list(self.handover.transfers):
            if not self.membership.is_reachable(name):
                self.handover.discard(name)
        claims = self.claims_by_shard()
        failed = self.find_failed()
        for shard in range(SHARDS):
            if after.owners[shard] != before.owners[shard]:
                owner_failed = before.owners[shard] in failed
                self.apply_new_owner(shard, owner_failed, after.owners[shard], now)
            if after.backup_owners[shard] != before.backup_owners[shard]:
                self.to_sweep[shard] = None
            if after.claim_groups[shard] != before.claim_groups[shard] and shard in claims:
                added = set(after.claim_groups[shard]) - set(before.claim_groups[shard])
                self.queue_claims(claims[shard], added)
        if failed:
            self.unreported_failures |= failed
            self.promote_backups(now)
        self.answer_sync_requests(claims)
        self.queue_completion_markers()

    def find_failed(self):
        """Return the instances that failed, or failed and restarted, since the last view."""
        members = self.membership.members
        failed = {
            name
            for name, incarnation in self.incarnations.items()
            if members[name].state == State.DEAD or members[name].incarnation != incarnation
        }
        self.incarnations = {
            name: member.incarnation
            for name, member in members.items()
            if member.state != State.LEFT
        }
        return failed

    def apply_new_owner(self, shard, owner_failed, owner, now):
        """Record a takeover, or queue the shard's pins for its new owner."""
        if owner == self.local_name:
            if owner_failed:
                self.taken_over[shard] = now
            return
        self.taken_over.pop(shard, None)
        self.backed_up.pop(shard, None)
        if owner and self.pins.shards[shard]:
            self.queue_shard_moves(shard, owner, now)

    def promote_backups(self, now):
        """Restore the pins of the shards that were just taken over from their backups."""
        for key, (index, _) in list(self.backups.items()):
            upstream = self.upstreams.by_index.get(index)
            is_taken_over = self.taken_over.get(key & SHARD_MASK) == now
            if is_taken_over and upstream is not None:
                self.accept_pin(key, upstream, False, now)

    def queue_shard_moves(self, shard, name, now):
        """Queue a shard's pins for its new owner, displaced ones first."""
        keys = self.pins.shards[shard]
        displaced = set(self.find_displaced(shard, now))
        moves = self.handover.transfer(name).moves
        moves.extendleft(displaced)
        moves.extend(key for key in keys if key not in displaced)

    def claims_by_shard(self):
        """Return the (key, holder) pairs of the recorded claims, by shard."""
        result = {}
        for key, (holder, _) in self.claims.held.items():
            result.setdefault(key & SHARD_MASK, []).append((key, holder))
        return result

    def queue_claims(self, claims, names):
        """Queue claims for the instances that are new in their claim group."""
        for name in sorted(names - {self.local_name}):
            if self.membership.is_reachable(name):
                self.handover.transfer(name).claims.extend(claims)

    def record_sync_request(self, name):
        """Record that an instance has requested a sync; the next tick answers it."""
        self.sync_requests.add(name)
        self.dirty = True

    def answer_sync_requests(self, claims):
        """Queue claims and completion markers for instances that have requested a sync."""
        for name in sorted(self.sync_requests):
            if not self.membership.is_reachable(name):
                continue
            transfer = self.handover.transfer(name)
            if transfer.claims_complete:
                continue
            for shard, pairs in claims.items():
                if name in self.ownership.claim_groups[shard]:
                    transfer.claims.extend(pairs)
            transfer.claims_complete = True
            transfer.previous_incarnation_lost = name in self.unreported_failures
            self.unreported_failures.discard(name)
            transfer.pins_complete = name in self.last_owners
        self.sync_requests.clear()

    def queue_completion_markers(self):
        """Queue a completion marker for new owners, sent after all their pins."""
        owners = self.ownership.eligible
        for name in sorted(owners - self.last_owners - {self.local_name}):
            self.handover.transfer(name).pins_complete = True
        self.last_owners = owners
        self.awaiting_pins_from = set(
            filter(self.membership.is_reachable, self.awaiting_pins_from)
        )

    def update_informed(self, now):
        """Mark the claims as complete if none are missing, or older ones have expired."""
        gone = {member.name for member in self.membership.in_states(State.LEFT)}
        self.awaiting_claims_from -= gone
        waited = now - self.joined_at >= self.takeover_seconds
        if not self.awaiting_claims_from or waited:
            self.awaiting_claims_from = set()
            self.claims.informed = True
        if waited:
            self.awaiting_pins_from = set()

    def handle_resume(self, now):
        """
        Demote pins to backups after a pause, and synchronise as after a start.

        Other instances may have taken over the shards.
        """
        for key, index in self.pins.remove_all().items():
            self.backups[key] = index, now
        self.await_pins(now)
        self.awaiting_claims_from = set(self.awaiting_pins_from)
        self.claims.informed = False

    def await_pins(self, now):
        """Have pins queried from the other instances until these have handed them over."""
        self.joined_at = now
        self.awaiting_pins_from = {
            member.name
            for member in self.membership.members.values()
            if member.state < State.DEAD and member.name != self.local_name
        }

    # Queries of other components.

    def owner(self, shard):
        """Return the name of a shard's owner, or ''."""
        return self.ownership.owners[shard]

    def claim_group(self, key):
        """Return the claim group of a key's shard."""
        return self.ownership.claim_groups[key & SHARD_MASK]

    def count_owners(self):
        """Return how many instances are eligible to own shards, at least 1."""
        return max(1, len(self.ownership.eligible))

    def previous_owners(self, shard):
        """Return the instances that may hold pins of a shard that this one owns."""
        return self.ownership.previous_owners(shard, self.local_name, self.awaiting_pins_from)

    def find_referral(self, shard, requester):
        """Return another instance to query for pins of a shard, or ''."""
        owner = self.owner(shard)
        if owner not in ("", self.local_name, requester):
            return owner
        # This instance may not have received the pins of the shard yet.
        others = [name for name in self.previous_owners(shard) if name != requester]
        return others[-1] if others else ""

    def is_taken_over(self, shard, now):
        """Return whether a shard was recently taken over without a handover."""
        since = self.joined_at if self.previous_incarnation_lost else NEVER
        since = max(since, self.taken_over.get(shard, NEVER))
        return now - since < self.takeover_seconds

    def is_handed_over(self):
        """Return whether no view change or handover is pending."""
        return not self.dirty and self.handover.is_done()

    # Handover.

    def identify_upstream(self, key):
        """Return the (address, incarnation) of a pin's upstream, or None."""
        upstream = self.upstreams.by_index.get(self.pins.get(key))
        if upstream is None:
            return None
        return upstream.registration.address, upstream.registration.incarnation

    def handle_pins(self, sender, message, now):
        """Handle a chunk of pins, claims or completion markers of another instance."""
        self.apply_view_if_changed(now)
        refused = []
        for group in message.pins:
            upstream = self.upstreams.find(group.upstream, group.incarnation)
            for key in unpack_keys(group.keys):
                if not message.backup and self.owner(key & SHARD_MASK) != self.local_name:
                    refused.append(key)
                elif upstream is not None:
                    self.accept_pin(key, upstream, message.backup, now)
        for key, holder in zip(message.claims, message.holders):
            self.claims.record(key, holder, now)
        if message.claims_complete:
            self.awaiting_claims_from.discard(sender)
        self.previous_incarnation_lost |= message.former_life_lost
        if message.pins_complete:
            self.awaiting_pins_from.discard(sender)
        self.send(sender, PinsAck(message.number, refused))

    def accept_pin(self, key, upstream, is_backup, now):
        """Store a received pin or backup; an existing pin of the flow is kept."""
        if is_backup:
            self.backups[key] = upstream.index, now
        elif not self.pins.get(key):
            self.pins.put(key, upstream, int(now))
            self.backups.pop(key, None)
            self.to_sweep[key & SHARD_MASK] = None

    def requeue_refused(self, key):
        """Queue a refused pin for the current owner of its shard."""
        owner = self.ownership.owners[key & SHARD_MASK]
        if owner not in ("", self.local_name) and self.pins.get(key):
            self.handover.transfer(owner).moves.append(key)

    def queue_backup(self, key):
        """Queue a backup of a pin for the backup owner of its shard."""
        backup_owner = self.ownership.backup_owners[key & SHARD_MASK]
        if backup_owner and backup_owner != self.local_name:
            self.handover.transfer(backup_owner).backups.append(key)

    def check_candidates(self, now):
        """Have all pins checked if the candidates changed or backups need a refresh."""
        if now - self.candidates_checked_at < CANDIDATES_CHECK_INTERVAL_SECONDS:
            return
        self.candidates_checked_at = now
        candidates = self.upstreams.usable_indices(now)
        refresh = now - self.backups_refreshed_at > BACKUP_REFRESH_INTERVAL_SECONDS
        if refresh:
            self.backups_refreshed_at = now
            self.backed_up.clear()
            self.expire_backups(now)
        if refresh or candidates != self.hash_candidates:
            self.hash_candidates = candidates
            owners = self.ownership.owners
            own = (shard for shard in range(SHARDS) if owners[shard] == self.local_name)
            self.to_sweep.update(dict.fromkeys(own))

    def expire_backups(self, now):
        """Drop the backups that their owner has not refreshed."""
        limit = now - 2 * BACKUP_REFRESH_INTERVAL_SECONDS
        for key in [key for key, (_, at) in self.backups.items() if at < limit]:
            del self.backups[key]

    def sweep(self, now):
        """Back up the displaced pins of the next shards that are to be checked."""
        self.check_candidates(now)
        checked = 0
        while self.to_sweep and checked < SWEEP_PINS_PER_TICK:
            shard = next(iter(self.to_sweep))
            del self.to_sweep[shard]
            checked += len(self.pins.shards[shard])
            if self.ownership.owners[shard] == self.local_name:
                self.back_up_shard(shard, now)

    def back_up_shard(self, shard, now):
        """Queue backups of a shard's displaced pins that have changed."""
        before = self.backed_up.get(shard, {})
        backup_owner = self.ownership.backup_owners[shard]
        after = {
            key: (self.pins.get(key), backup_owner) for key in self.find_displaced(shard, now)
        }
        for key, backup in after.items():
            if before.get(key) != backup:
                self.queue_backup(key)
        if after:
            self.backed_up[shard] = after
        else:
            self.backed_up.pop(shard, None)

    def find_displaced(self, shard, now):
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
        self.pins.rotate_window(now)
        idle = max((service.idle_seconds for service in services.values()), default=0)
        if not idle:
            return
        for _ in range(EXPIRY_SHARDS_PER_RUN):
            shard = self.expiry_cursor = (self.expiry_cursor + 1) % SHARDS
            self.pins.expire_shard(shard, now - idle, now - REQUEST_PIN_IDLE_SECONDS)
