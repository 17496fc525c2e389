"""
The schedule of the packets that an instance forwards over its own link.

A small link drops what exceeds its buffer, and a caller's whole window of 16 packets may
arrive at once. So packets leave at the pace of the link, and wait here in bounded queues:
requests and acknowledgements first, then opening packets, then the data of uploads; within
these by the priority of the route, and among flows by deficit round robin. Uploads keep a
share while more urgent packets wait. A copy of a packet that still waits is not sent twice.
Source of the round robin: Shreedhar and Varghese, "Efficient Fair Queuing Using Deficit
Round Robin" (1995).
"""

import collections

import attrs

# A link on which a caller's window of 16 packets takes more than 10 ms is paced; a faster
# one carries bursts without a queue.
MAX_PACED_MBPS = 16.0
# The rest of the link is left to control messages and readiness probes.
PACED_SHARE = 0.9
# Headers of IPv4 and UDP, and the id of the intended upstream before the packet.
DATAGRAM_OVERHEAD_BYTES = 36
# What may leave at once; the buffer of the link holds it.
BURST_BYTES = 4 * 1270
# Waiting packets leave in groups, as each wake-up of the process has a cost.
RELEASE_INTERVAL_SECONDS = 0.01
# The part of the link that uploads keep while more urgent packets wait.
BULK_SHARE = 0.25
# A flow sends this much in its turn: one packet with full data.
QUANTUM_BYTES = 1270
# A packet that has waited longer is useless: its caller has sent it again or given up.
MAX_WAIT_SECONDS = 1.6
MAX_OPENING_WAIT_SECONDS = 1.2
MAX_QUEUED_SECONDS = 2.0
# A flow is refused if its first data would wait here for this part of its target latency.
MAX_WAIT_SHARE = 0.5

INTERACTIVE, OPENING, BULK = range(3)


@attrs.define
class Waiting:
    """A packet that waits: `item` is what is sent, `limit` the time at which it is dropped."""

    identity: tuple
    packet: object
    item: object
    size: int
    since: float
    limit: float


@attrs.define
class FlowQueue:
    """The waiting packets of one flow, and the bytes that it may send in its turn."""

    packets: collections.deque = attrs.field(factory=collections.deque)
    deficit: int = 0


@attrs.define
class LinkScheduler:
    """
    The queues before one link.

    `transmit(item)` sends at once; `departed(packet, now)` is called for a packet that has
    waited, and `drop(packet, reason, since, now)` for one that is discarded.
    """

    bytes_per_second: float
    transmit: object
    departed: object
    drop: object
    tokens: float = BURST_BYTES
    refilled_at: float = float("-inf")
    # The flows that wait, by (kind, priority) and key, in the order of their turns.
    classes: dict = attrs.field(factory=dict)
    queued_bytes: dict = attrs.field(factory=lambda: {INTERACTIVE: 0, OPENING: 0, BULK: 0})
    identities: set = attrs.field(factory=set)
    # What uploads may send before more urgent packets, in bytes.
    bulk_credit: float = 0.0

    @property
    def is_idle(self):
        """Return whether no packet waits."""
        return not self.identities

    def submit(self, packet, route, item, size, now):
        """Send a packet at once if the link has room, or queue it."""
        identity = identify(packet)
        if identity in self.identities:
            # The item of the first copy is as good.
            return
        size += DATAGRAM_OVERHEAD_BYTES
        self.refill(now)
        kind = classify(packet, route)
        if self.tokens >= size and not self.has_waiting(kind, route.priority):
            self.tokens -= size
            self.count_credit(kind, size)
            self.transmit(item)
            return
        if sum(self.queued_bytes.values()) + size > MAX_QUEUED_SECONDS * self.bytes_per_second:
            self.drop(packet, "link_full", now, now)
            return
        wait = MAX_OPENING_WAIT_SECONDS if packet.opens else MAX_WAIT_SECONDS
        limit = now + min(wait, route.timeout_seconds or wait)
        flows = self.classes.setdefault((kind, route.priority), collections.OrderedDict())
        queue = flows.setdefault(packet.flow_key, FlowQueue())
        queue.packets.append(Waiting(identity, packet, item, size, now, limit))
        self.identities.add(identity)
        self.queued_bytes[kind] += size

    def is_waiting(self, packet):
        """Return whether an earlier copy of a packet waits."""
        return identify(packet) in self.identities

    def has_waiting(self, kind, priority):
        """Return whether packets wait that are as urgent or more urgent."""
        return any(flows and rank <= (kind, priority) for rank, flows in self.classes.items())

    def estimate_wait(self, kind):
        """Return for how many seconds a new packet of this kind would wait."""
        return sum(self.queued_bytes[k] for k in range(kind + 1)) / self.bytes_per_second

    def can_accept(self, route):
        """Return whether the data of a new flow would leave in time for its target latency."""
        if not route.target_latency_seconds:
            return True
        wait = self.estimate_wait(BULK if route.uploads else OPENING)
        return wait <= MAX_WAIT_SHARE * route.target_latency_seconds

    def next_release(self, now):
        """Return when the next group of waiting packets may leave."""
        missing = max(0.0, QUANTUM_BYTES - self.tokens)
        return now + max(RELEASE_INTERVAL_SECONDS, missing / self.bytes_per_second)

    def refill(self, now):
        """Add the tokens of the time since the last call."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(BURST_BYTES, self.tokens + elapsed * self.bytes_per_second)
        self.refilled_at = now

    def release(self, now):
        """Send the waiting packets for which the link has room; drop those out of date."""
        self.refill(now)
        while self.identities:
            rank = self.choose_class()
            waiting = self.take(rank)
            if now > waiting.limit:
                self.drop(waiting.packet, "link_backlog", waiting.since, now)
                continue
            if self.tokens < waiting.size:
                self.put_back(rank, waiting)
                return
            self.tokens -= waiting.size
            self.count_credit(rank[0], waiting.size)
            self.transmit(waiting.item)
            self.departed(waiting.packet, now)

    def choose_class(self):
        """Return the rank of the class whose turn it is."""
        ranks = sorted(rank for rank, flows in self.classes.items() if flows)
        bulk = [rank for rank in ranks if rank[0] == BULK]
        if bulk and self.bulk_credit >= QUANTUM_BYTES:
            return bulk[0]
        return ranks[0]

    def count_credit(self, kind, size):
        """Give uploads their share of what more urgent packets send while they wait."""
        if kind == BULK:
            self.bulk_credit = max(0.0, self.bulk_credit - size)
        elif self.queued_bytes[BULK]:
            share = BULK_SHARE / (1 - BULK_SHARE)
            self.bulk_credit = min(2 * QUANTUM_BYTES, self.bulk_credit + size * share)

    def take(self, rank):
        """Remove the next packet of a class by deficit round robin."""
        flows = self.classes[rank]
        while True:
            key, queue = next(iter(flows.items()))
            waiting = queue.packets[0]
            if queue.deficit < waiting.size:
                queue.deficit += QUANTUM_BYTES
                flows.move_to_end(key)
                continue
            queue.deficit -= waiting.size
            queue.packets.popleft()
            if not queue.packets:
                del flows[key]
            self.identities.discard(waiting.identity)
            self.queued_bytes[rank[0]] -= waiting.size
            return waiting

    def put_back(self, rank, waiting):
        """Return a packet to the head of its queue, with its deficit."""
        flows = self.classes[rank]
        queue = flows.setdefault(waiting.packet.flow_key, FlowQueue())
        queue.packets.appendleft(waiting)
        queue.deficit += waiting.size
        flows.move_to_end(waiting.packet.flow_key, last=False)
        self.identities.add(waiting.identity)
        self.queued_bytes[rank[0]] += waiting.size

    def discard_all(self):
        """Discard all waiting packets after a pause; callers have sent them again."""
        self.classes.clear()
        self.identities.clear()
        self.queued_bytes = dict.fromkeys(self.queued_bytes, 0)


def identify(packet):
    """Return what a packet and its copies have in common."""
    if packet.opens:
        return (packet.flow_key,)
    return packet.flow_key, packet.sequence, packet.size, packet.acknowledged, packet.ends


def classify(packet, route):
    """Return the kind of a packet."""
    if packet.opens:
        return OPENING
    return BULK if route.uploads and packet.size else INTERACTIVE


def build_scheduler(link_mbps, **functions):
    """Return the LinkScheduler of a link, or None if it is fast or its capacity not known."""
    if not 0 < link_mbps <= MAX_PACED_MBPS:
        return None
    return LinkScheduler(PACED_SHARE * link_mbps * 1_000_000 / 8, **functions)
