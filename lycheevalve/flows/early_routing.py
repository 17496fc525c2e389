"""
Early routing: packets that arrive while an instance is still starting.

Load: power or processes return, and all callers send at once, most of them on open
flows. Importing an instance's modules takes longer than callers wait. Until that is done, a
thread routes packets with the modules of the interpreter alone: it asks control replicas
for the upstream of each cookie, and for upstreams of each front door, and holds a packet
until one of them has answered.

- An answer is used for a short time, so that an upstream that leaves gets no new flows.
- No flow is placed under an older configuration than one already seen in use.
- Whatever no replica vouches for is held, for the instance to handle once it has started.

Nothing here does I/O or reads a clock; times are seconds of a clock that counts pauses.
"""

from lycheevalve.flows.costs import estimate_cost
from lycheevalve.flows.held_packets import hold_packet, retry_packets

# How long an answer of a replica is used. Upstreams that leave must get no new flows after
# seconds, and are still served by open flows.
TARGET_SECONDS = 1.0
CANDIDATES_SECONDS = 0.5
# Lookups are repeated after the first interval, which doubles up to the second, while
# something is missing: a whole site that starts must not overload its replicas.
MIN_LOOKUP_INTERVAL_SECONDS = 0.05
MAX_LOOKUP_INTERVAL_SECONDS = 0.4
# Imports wait until no packet was forwarded for the first time, for up to the second in all.
QUIET_SECONDS = 0.025
MAX_IMPORT_DELAY_SECONDS = 2.0
# How many opening packets are remembered, to send their copies to other upstreams.
MAX_OPENINGS = 4096


class EarlyRouter:
    """
    Routes packets of a starting instance.

    `forward(target, packet)` sends a packet to a lookups.Target. `random()` returns a
    number from 0 to 1.
    """

    def __init__(self, forward, random):
        self.forward = forward
        self.random = random
        # (Target, time until which it is used) by cookie.
        self.targets = {}
        # (Targets, time until which they are used) by front door.
        self.candidates = {}
        # See held_packets.py.
        self.held = {}
        # The cookies of the upstreams that got a copy of an opening packet, by flow.
        self.openings = {}
        # The flows placed here, by cookie.
        self.placed = {}
        # The newest configuration under which a flow was placed.
        self.revision = 0
        # What replicas were last asked for and have not answered, and when to ask again.
        self.asked = set()
        self.interval = MIN_LOOKUP_INTERVAL_SECONDS
        self.lookup_due = float("inf")
        # Counters for the log.
        self.forwarded = self.opened = self.dropped = self.lookups = 0

    def handle_packet(self, packet, now):
        """Forward a packet, or hold it in place of its earlier copies."""
        if self.try_forward(packet, now):
            return
        hold_packet(self.held, packet, self.count_dropped, now)
        if wanted_by(packet) not in self.asked:
            self.interval, self.lookup_due = MIN_LOOKUP_INTERVAL_SECONDS, now

    def try_forward(self, packet, now):
        """Forward a packet if its upstream is known; return whether it was."""
        if packet.opens:
            return self.open_flow(packet, now)
        target, until = self.targets.get(packet.cookie, (None, now))
        if now >= until:
            return False
        self.forwarded += 1
        self.forward(target, packet)
        return True

    def open_flow(self, packet, now):
        """Place a flow on the least loaded candidate; copies go to other ones."""
        candidates, until = self.candidates.get(packet.front_door, ((), now))
        if now >= until or not candidates:
            return False
        tried = self.openings.pop(packet.flow_key, ())
        untried = [target for target in candidates if target.cookie not in tried]
        target = min(untried or candidates, key=self.cost)
        self.openings[packet.flow_key] = (*tried, target.cookie)
        if len(self.openings) > MAX_OPENINGS:
            del self.openings[next(iter(self.openings))]
        self.placed[target.cookie] = self.placed.get(target.cookie, 0) + 1
        self.opened += 1
        self.forward(target, packet)
        return True

    def cost(self, target):
        """Return an upstream's load as seen from here, with a random tie-break."""
        placed = self.placed.get(target.cookie, 0)
        return estimate_cost(placed, max(1, target.slots), target.is_local), self.random()

    def handle_answer(self, answer, now):
        """Use a replica's answer, and forward the held packets that it resolves."""
        for target in answer.targets:
            self.targets[target.cookie] = (target, now + TARGET_SECONDS)
            self.asked.discard(target.cookie)
        if answer.revision >= self.revision:
            for front_door, targets in answer.candidates.items():
                if targets:
                    self.revision = answer.revision
                    self.candidates[front_door] = (targets, now + CANDIDATES_SECONDS)
                    self.asked.discard(front_door)
                for target in targets:
                    self.targets[target.cookie] = (target, now + TARGET_SECONDS)
        self.retry_held(now)

    def retry_held(self, now):
        """Retry the held packets in the order of their arrival; drop those held too long."""
        retry_packets(self.held, self.try_forward, self.count_dropped, now)

    def count_dropped(self, *_):
        """Count a held packet that was dropped."""
        self.dropped += 1

    def take_lookup(self, now):
        """
        Return the (cookies, front doors) to ask for now, those of the held packets.

        Both are empty when there is nothing to ask for.
        """
        if now < self.lookup_due:
            return (), ()
        packets = [packet for _, packet in self.held.values()]
        cookies = {wanted_by(packet): None for packet in packets if not packet.opens}
        front_doors = {wanted_by(packet): None for packet in packets if packet.opens}
        self.asked = {*cookies, *front_doors}
        if not self.asked:
            self.lookup_due = float("inf")
            return (), ()
        self.lookup_due = now + self.interval * (0.5 + 0.5 * self.random())
        self.interval = min(MAX_LOOKUP_INTERVAL_SECONDS, 2 * self.interval)
        self.lookups += 1
        return tuple(cookies), tuple(front_doors)


class ImportDelay:
    """
    Decides how long imports wait for the packets that are being forwarded.

    Load: all callers send at once when power returns, and imports take the processor that
    their packets need. Nothing depends on the imports while packets are forwarded without
    them, so each import waits until none was forwarded for a moment, within a limit.
    """

    def __init__(self, router):
        self.router = router
        self.forwarded = 0
        self.waited = 0.0

    def next_wait(self):
        """Return for how many seconds an import has to wait before the next check, or 0."""
        forwarded = self.router.forwarded + self.router.opened
        is_spent = self.waited + QUIET_SECONDS > MAX_IMPORT_DELAY_SECONDS
        if forwarded == self.forwarded or is_spent:
            return 0.0
        self.forwarded = forwarded
        self.waited += QUIET_SECONDS
        return QUIET_SECONDS


def wanted_by(packet):
    """Return what has to be known to forward a packet: its cookie or its front door."""
    return packet.front_door if packet.opens else packet.cookie
