"""
Streams: flows whose packets are forwarded without being parsed.

The owner of a flow's shard pins the flow to an upstream. For a packet without a
pin it first queries the instances that may hold the pin, then looks for a backup of
the previous owner's pin, and only then places the flow.
"""

import collections

import attrs

from lycheevalve.flows.keys import SHARD_MASK
from lycheevalve.flows.placement import Placement, find_first_choice, place
from lycheevalve.schema.generated.messages import PinAnswer, PinQuery

# Long, because a busy instance answers late, and placing an established flow
# without its pin may break it.
QUERY_TIMEOUT_SECONDS = 0.5
QUERY_RETRY_SECONDS = 0.1
# Packets queued for a flow whose pin is being queried.
MAX_PENDING_PACKETS = 16
MAX_PENDING_FLOWS = 10_000
NO_BACKUP = (0, 0.0)


@attrs.define
class PendingQuery:
    """A query for the pin of a flow, and the flow's packets that wait for it."""

    service: object
    # The instances that have not answered, and all that need no query: those already
    # queried, this instance, and the empty name, which stands for no referral.
    unanswered: set[str]
    queried: set[str]
    started_at: float
    queried_at: float
    packets: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PENDING_PACKETS)
    )


@attrs.define
class Streams:
    """
    The streams of one instance.

    `owner(shard)` returns the owner of a shard, and `reroute(datagram, now)` routes a
    packet to it. `previous_owners(shard)` returns the instances to query for pins of a
    shard; `find_referral(shard, requester)` returns the instance to refer the requester to
    if the pin is unknown, or ''. `is_taken_over(shard, now)` returns whether the shard was
    recently taken over without a handover. `queue_backup(key)` queues a backup of a
    pin whose upstream is not the first choice of rendezvous hashing.
    """

    upstreams: object
    pins: object
    backups: dict[int, tuple[int, float]]
    send_to_upstream: object
    send: object
    queue_backup: object
    local_name: str
    owner: object
    reroute: object
    previous_owners: object
    find_referral: object
    is_taken_over: object
    observe: object
    pending: dict[int, PendingQuery] = attrs.field(factory=dict)

    def forward(self, key, service, datagram, now):
        """Forward a packet of a flow that this instance owns."""
        upstream = self.find_pinned(key, service, now)
        if upstream is not None:
            self.pins.touch(key, upstream, int(now))
            self.send_to_upstream(upstream, datagram)
            return
        pending = self.pending.get(key)
        if pending is not None:
            pending.packets.append(datagram)
            return
        previous = [] if self.pins.get(key) else self.previous_owners(key & SHARD_MASK)
        if previous and len(self.pending) < MAX_PENDING_FLOWS:
            self.query_pin(key, service, previous, datagram, now)
        else:
            self.resolve_and_forward(key, service, [datagram], now)

    def find_pinned(self, key, service, now):
        """Return the upstream that a flow is pinned to, or None if it is not serving."""
        upstream = self.upstreams.by_index.get(self.pins.get(key))
        if upstream is None or upstream.service != service.name:
            return None
        return upstream if upstream.is_serving(now) else None

    def restore_backup(self, key, now):
        """Pin a flow by the backup of a previous owner's pin, if there is one."""
        index, _ = self.backups.pop(key, NO_BACKUP)
        upstream = self.upstreams.by_index.get(index)
        if upstream is not None and not self.pins.get(key):
            self.pins.put(key, upstream, int(now))

    def query_pin(self, key, service, previous, datagram, now):
        """Query the instances that may hold the flow's pin; queue its packets."""
        pending = self.pending[key] = PendingQuery(
            service,
            set(previous),
            {*previous, self.local_name, ""},
            started_at=now,
            queried_at=now,
        )
        pending.packets.append(datagram)
        self.observe("pin_queries")
        for name in previous:
            self.send(name, PinQuery(key))

    def handle_query(self, sender, message, now):
        """Answer with the pin of a flow, or refer the sender to another instance."""
        upstream = self.upstreams.by_index.get(self.pins.get(message.key))
        if upstream is None:
            referral = self.find_referral(message.key & SHARD_MASK, sender)
            self.send(sender, PinAnswer(message.key, False, refer_to=referral))
            return
        registration = upstream.registration
        answer = PinAnswer(message.key, True, registration.address, registration.incarnation)
        self.send(sender, answer)

    def handle_answer(self, sender, message, now):
        """Handle the answer to a query; follow a referral, or end the query."""
        pending = self.pending.get(message.key)
        if pending is None:
            return
        pending.unanswered.discard(sender)
        if message.known:
            upstream = self.upstreams.find(message.upstream, message.incarnation)
            if upstream is not None:
                self.pins.put(message.key, upstream, int(now))
            self.release_pending(message.key, now)
            return
        referral = message.refer_to
        if referral not in pending.queried:
            pending.queried.add(referral)
            pending.unanswered.add(referral)
            self.send(referral, PinQuery(message.key))
        if not pending.unanswered:
            self.release_pending(message.key, now)

    def release_pending(self, key, now):
        """End a query: forward its packets, or reroute them if the owner has changed."""
        pending = self.pending.pop(key, None)
        if pending is None:
            return
        if self.owner(key & SHARD_MASK) == self.local_name:
            self.resolve_and_forward(key, pending.service, pending.packets, now)
            return
        # Another instance owns the shard now and must not find a pin here.
        for datagram in pending.packets:
            self.reroute(datagram, now)

    def resolve_and_forward(self, key, service, packets, now):
        """Pin a flow by its pin, its backup or a new placement; forward its packets."""
        self.restore_backup(key, now)
        upstream = self.find_pinned(key, service, now)
        if upstream is None:
            upstream = self.place(key, service, now)
        if upstream is None:
            self.observe("no_upstream")
            return
        for datagram in packets:
            self.send_to_upstream(upstream, datagram)

    def place(self, key, service, now):
        """Choose an upstream for a flow and pin it; return it or None."""
        choice = self.choose(key, service, now)
        if choice is None:
            return None
        self.observe("flows_lost" if self.pins.get(key) else "flows_placed")
        self.pins.put(key, choice.upstream, int(now))
        if not choice.is_first_choice:
            self.queue_backup(key)
        return choice.upstream

    def choose(self, key, service, now):
        """
        Return the Placement of a flow without a pin, or None.

        In a shard that was recently taken over, the flow may be an established one
        whose pin is lost. Its previous owner most likely used the first choice.
        """
        candidates = self.upstreams.usable(service.name, now)
        if candidates and self.is_taken_over(key & SHARD_MASK, now):
            return Placement(find_first_choice(key, candidates), True)
        capacities = {
            u.index: max(1, u.registration.connections)
            * u.warm_up_share(now, service.warm_up_seconds)
            for u in candidates
        }
        return place(key, candidates, capacities, service.balance)

    def tick(self, now):
        """Send queries again whose answers may be lost; end those that time out."""
        for key, pending in list(self.pending.items()):
            if now - pending.started_at >= QUERY_TIMEOUT_SECONDS:
                self.release_pending(key, now)
            elif now - pending.queried_at >= QUERY_RETRY_SECONDS:
                pending.queried_at = now
                for name in sorted(pending.unanswered):
                    self.send(name, PinQuery(key))
