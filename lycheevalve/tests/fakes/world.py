"""Callers, the links of one entry instance and upstreams, in simulated time."""

import heapq
import itertools

from lycheevalve.tests.fakes.entry import build_entry, build_packet, build_registration

RETRANSMISSIONS_SECONDS = (0.2, 0.6, 1.4)
OPENING_COPIES_SECONDS = (0.2, 0.6)
PACKET_BYTES = 1200
ROUND_TRIP_SECONDS = 0.01
TICK_SECONDS = 0.05
# Resets of flows on an upstream that was dark this recently are no fault.
RECOVERY_SECONDS = 3.0
EVIDENCE_RESETS = ("upstream_silent", "left_silent")


class Caller:
    """One flow of a caller: its packets in flight and the timer of each."""

    def __init__(self, number):
        self.key = b"flow-%d" % number
        self.upstream = None
        self.cookie = self.sequence = 0
        self.acknowledged = 1
        self.waiting = 0
        self.closed = False
        # Whether the fabric sends its packets to another instance.
        self.moved = False
        # The packets with data that its upstream got since it last sent some, and the highest
        # sequence of those that it has acknowledged without data.
        self.received = 0
        self.acknowledged_sequence = -1


class World:
    """
    Callers, one entry instance with a link that may be congested, and upstreams.

    The link is a queue: a packet leaves it after all earlier ones. `answer_seconds` is how
    long an upstream works on a request. `counts_copies` states whether an upstream that
    acknowledges every second packet also counts copies.
    """

    def __init__(self, upstreams=3, remote=0, counts_copies=False):
        self.counts_copies = counts_copies
        self.entry = build_entry(upstreams)
        for number in range(upstreams + 1, upstreams + remote + 1):
            self.entry.update_upstreams(build_registration(number, data_centre="dc2"))
        self.now = 0.0
        self.events, self.numbers = [], itertools.count()
        self.callers = []
        self.link_delay, self.link_free_at = 0.0, 0.0
        self.inbound_delay, self.inbound_free_at = 0.0, 0.0
        self.paused_until = 0.0
        self.dark, self.dark_until, self.answer_seconds = set(), {}, {}
        self.lost_at, self.lose_next = -10.0, False
        self.entry.cookie_router.forward = self.forward
        self.entry.cookie_router.reset = self.reset
        self.false_resets, self.sound_resets = [], []
        self.at(TICK_SECONDS, self.tick)

    def at(self, delay, action, *arguments):
        """Run an action after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action, arguments))

    def run(self, seconds):
        """Run all events of the next seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = end

    def tick(self):
        """Run the timer of the entry instance."""
        if self.now >= self.paused_until:
            self.entry.cookie_router.tick(self.now)
        self.at(TICK_SECONDS, self.tick)

    def send(self, packet):
        """Queue a caller's packet at the link to the instance, unless its flow has moved."""
        if any(caller.key == packet.flow_key and caller.moved for caller in self.callers):
            return
        self.inbound_free_at = max(self.inbound_free_at, self.now + self.inbound_delay)
        self.at(self.inbound_free_at - self.now, self.arrive, packet)

    def arrive(self, packet):
        """Handle a caller's packet, after the pause if the process is paused."""
        if self.now < self.paused_until:
            self.at(self.paused_until - self.now, self.arrive, packet)
            return
        self.entry.cookie_router.handle_packet(packet, self.now)

    def forward(self, upstream, cookie, packet):
        """Queue a packet at the link; a dark upstream or a loss on the way drops it."""
        self.link_free_at = max(self.link_free_at, self.now + self.link_delay)
        if self.lose_next:
            self.lose_next, self.lost_at = False, self.now
            return
        self.at(self.link_free_at - self.now, self.receive, upstream, packet)

    def receive(self, upstream, packet):
        """Answer a packet as an upstream does."""
        if upstream.index in self.dark:
            return
        caller = next(c for c in self.callers if c.key == packet.flow_key)
        if packet.opens:
            self.at(ROUND_TRIP_SECONDS, self.open, caller, upstream)
        elif packet.size:
            seconds = self.answer_seconds.get(upstream.index, 0.05)
            self.at(seconds + ROUND_TRIP_SECONDS, self.answer, caller, packet.sequence)
            caller.received += 1
            if self.counts_copies and caller.received % 2 == 0:
                self.at(ROUND_TRIP_SECONDS, self.acknowledge, caller, packet.sequence)

    def acknowledge(self, caller, sequence):
        """Handle an acknowledgement without data at the caller, which sends no more copies."""
        caller.acknowledged_sequence = max(caller.acknowledged_sequence, sequence)

    def open(self, caller, upstream):
        """Handle the upstream's answer to an opening packet at the caller."""
        if caller.upstream is None and not caller.closed:
            caller.upstream, caller.cookie = upstream, upstream.cookie
            self.send(self.build(caller))

    def answer(self, caller, sequence):
        """Handle an answer at the caller, which acknowledges it."""
        caller.received = 0
        if caller.closed or sequence < caller.sequence or not caller.waiting:
            return
        caller.waiting = 0
        caller.sequence += PACKET_BYTES
        caller.acknowledged += 500
        self.send(self.build(caller))

    def build(self, caller, **values):
        """Return a packet of a caller."""
        defaults = {
            "cookie": caller.cookie,
            "sequence": caller.sequence,
            "acknowledged": caller.acknowledged,
        }
        return build_packet(caller.key, **(defaults | values))

    def reset(self, packet):
        """Close the flow of a caller; record whether its upstream answers."""
        caller = next(c for c in self.callers if c.key == packet.flow_key)
        caller.closed = True
        reason = self.entry.events[-1][1]["reason"]
        if reason not in EVIDENCE_RESETS or caller.upstream is None:
            return
        index = caller.upstream.index
        is_dark = index in self.dark or self.now < self.dark_until.get(index, -1.0)
        (self.sound_resets if is_dark else self.false_resets).append((self.now, index))

    def start_flow(self):
        """Open a flow; its caller repeats the opening packet until it is answered."""
        caller = Caller(len(self.callers))
        self.callers.append(caller)
        self.send(self.build(caller, opens=True))
        for copy, delay in enumerate(OPENING_COPIES_SECONDS, 1):
            self.at(delay, self.repeat_opening, caller, copy)
        return caller

    def repeat_opening(self, caller, copy):
        """Repeat an opening packet that has not been answered."""
        if caller.upstream is None and not caller.closed:
            self.send(self.build(caller, opens=True, copy=copy))

    def request(self, caller):
        """Send a request of one packet; repeat it until it is answered."""
        if caller.upstream is None or caller.waiting or caller.closed:
            return
        caller.waiting = 1
        self.send_request(caller, caller.sequence)
        for delay in RETRANSMISSIONS_SECONDS:
            self.at(delay, self.send_request, caller, caller.sequence)

    def send_request(self, caller, sequence):
        """Send the packet of a request unless it has been acknowledged."""
        is_acknowledged = sequence <= caller.acknowledged_sequence
        if (
            caller.waiting
            and caller.sequence == sequence
            and not (is_acknowledged or caller.closed)
        ):
            self.send(self.build(caller, sequence=sequence, size=PACKET_BYTES))

    def darken(self, index):
        """Let an upstream fail without a word."""
        self.dark.add(index)

    def revive(self, index):
        """Let an upstream answer again."""
        self.dark.discard(index)
        self.dark_until[index] = self.now + RECOVERY_SECONDS


def build_busy_world(flows=24, counts_copies=False):
    """Return a world with open flows that have been answered."""
    world = World(counts_copies=counts_copies)
    for _ in range(flows):
        world.start_flow()
    world.run(0.1)
    for caller in world.callers:
        world.request(caller)
    world.run(0.3)
    return world
