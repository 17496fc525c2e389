"""
Steering: flows that are placed by cookies, for instances that share no pins.

The first packet of a flow is placed on an upstream and gets its cookie; later
ones carry it. What this instance remembers of flows serves the choice alone:
losing it breaks nothing. A packet whose cookie is not known is held for a
moment, since its upstream may be about to announce itself, and never guessed.
"""

import collections

import attrs

from lycheevalve.flows.cookies import Cookies
from lycheevalve.flows.evidence import (
    ANSWERED,
    REPEAT_SECONDS,
    REPEATED,
    Flow,
    avoid_silent,
    is_answering,
    is_silent,
    is_still_silent,
    note_packet,
    note_repeat,
)
from lycheevalve.flows.limits import weigh_failures

# A packet that can't be placed yet waits this long at most: a copy follows soon.
HOLD_SECONDS = 0.6
# A first packet is worth holding until its caller gives up, after 1.4 s.
OPENING_HOLD_SECONDS = 1.2
HOLD_PACKETS = 1024
# An opening packet's copies come within this time of the first one.
OPENING_SECONDS = 2.0
# An upstream of another data centre gets a flow when it has this many flows a slot
# less than those of the own: a cut between data centres then breaks fewer flows.
FAR_FLOWS_PER_SLOT = 1.0
# An instance without a packet for this long may be out of the fabric's rotation, and
# its flows at another one.
ROTATION_SECONDS = 0.3
# Flows that this instance keeps in mind, and for how long after their last packet.
FLOWS_KEPT = 65_536
FLOW_IDLE_SECONDS = 15.0


@attrs.define
class Packet:
    """
    One packet of a caller, as the codec read it.

    `flow` tells flows apart, `door` is the front door as (ip, port); `copy`
    counts the repetitions of an opening packet; `raw` is the packet itself.
    """

    flow: bytes
    door: tuple
    cookie: int
    opens: bool
    copy: int
    ends: bool
    sequence: int
    acknowledged: int
    size: int
    raw: bytes
    # The id of the request that begins in it, if one shows in its bytes.
    request: str = ""


@attrs.frozen
class Door:
    """
    A front door: the services behind it as ((name, weight), ...).

    Callers repeat idempotent requests by themselves when a flow is reset.
    """

    backends: tuple
    idempotent: bool = False


# What is known of a front door before there are settings.
UNKNOWN_DOOR = Door(())


@attrs.define
class Steering:
    """
    The placement of flows at one instance.

    `forward(upstream, cookie, packet)` sends a packet on, `reset(packet)` ends
    a flow for its caller, `observe(name, **details)` counts; its details are named
    as the fields of logs/schema.py, but for packet, upstream, flow and seconds.
    """

    upstreams: object
    random: object
    forward: object
    reset: object
    observe: object
    # Whether settings and upstreams are known well enough to refuse.
    is_informed: object
    # The time at which leases of upstreams are judged.
    lease_time: object = lambda now: now
    data_centre: str = ""
    cookies: Cookies = attrs.field(factory=Cookies)
    doors: dict[tuple, Door] | None = None
    # No flow is placed while the settings need a confirmation.
    paused: bool = False
    flows: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    openings: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    held: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # When the last packet came, and when the fabric last moved flows between instances.
    packet_at: float = float("-inf")
    moved_at: float = float("-inf")

    def learn(self, registration, now):
        """Take an upstream's registration; return whether it is news."""
        if not self.upstreams.update(registration, now):
            return False
        upstream = self.upstreams.find(registration.address, registration.incarnation)
        if upstream is not None:
            self.cookies.add(upstream)
        return True

    def put_in_force(self, doors, now):
        """Use other front doors from now on."""
        self.doors = doors
        self.retry_held(now)

    def services(self):
        """Return the names of the services behind the front doors."""
        doors = (self.doors or {}).values()
        return {service for door in doors for service, weight in door.backends if weight > 0}

    def handle(self, packet, now):
        """Take a packet of a caller."""
        self.packet_at = now
        if not self.try_handle(packet, now):
            self.hold(packet, now)

    def try_handle(self, packet, now):
        """Return whether a packet could be dealt with at once."""
        if self.doors is None:
            # Its cookie places the packet of an open flow without any settings.
            return not packet.opens and self.follow(packet, UNKNOWN_DOOR, now)
        door = self.doors.get(packet.door)
        if door is None:
            self.refuse(packet, "no_front_door")
            return True
        if packet.opens:
            return not self.paused and self.open(packet, door, now)
        return self.follow(packet, door, now)

    def refuse(self, packet, reason, upstream=None):
        """End a flow for its caller."""
        flow = self.flows.get(packet.flow)
        request = packet.request or (flow.request if flow else "")
        self.observe("reset", reason=reason, packet=packet, upstream=upstream, request=request)
        self.forget(packet.flow)
        self.reset(packet)

    # Packets of flows that were placed before.

    def follow(self, packet, door, now):
        """Forward a packet to the upstream that its cookie names."""
        upstream = self.cookies.find(packet.cookie)
        if upstream is None:
            return False
        if upstream.is_gone(now):
            # Its address may be another service's by now.
            self.refuse(packet, "upstream_gone", upstream)
            return True
        if packet.size and packet.flow not in self.flows:
            # It began at another instance: others of this one may now be there.
            self.moved_at = now
        flow = self.remember(packet, upstream, now)
        self.tell(note_packet(flow, packet, now), flow, packet)
        if packet.ends:
            self.forget(packet.flow)
        elif self.should_move(packet, door, upstream, now):
            self.refuse(packet, "upstream_silent", upstream)
            return True
        self.forward(upstream, packet.cookie, packet)
        return True

    def tell(self, shown, flow, packet):
        """Tell what a packet of an open flow shows."""
        upstream = flow.upstream
        if packet.request and shown != REPEATED:
            self.observe("request", packet=packet, upstream=upstream)
        if shown == ANSWERED:
            self.observe("answered", upstream=upstream, seconds=flow.answer_seconds)
        elif shown == REPEATED:
            self.observe("repeated", packet=packet, upstream=upstream, request=flow.request)

    def should_move(self, packet, door, upstream, now):
        """Return whether a caller is better off with another flow than with a silent one."""
        if not (packet.size and door.idempotent and is_still_silent(upstream, now)):
            return False
        return self.has_alternative(upstream, now)

    def has_alternative(self, upstream, now):
        """Return whether another upstream of the service is known to answer."""
        others = self.candidates(upstream.service, now)
        return any(is_answering(other, now) for other in others)

    def leave_silent(self, now):
        """
        End the flows on silent upstreams that lose nothing by it.

        Those are idle ones and those whose requests their callers may repeat:
        both then open another flow, instead of waiting on this one. A flow that may
        have gone on at another instance is let alone.
        """
        if now - self.packet_at > ROTATION_SECONDS:
            return
        silent = [u for u in self.upstreams.by_index.values() if is_still_silent(u, now)]
        left = [u for u in silent if u.flows and self.has_alternative(u, now)]
        if not left:
            return
        for flow in [flow for flow in self.flows.values() if flow.upstream in left]:
            packet = flow.packet
            if packet is None or flow.seen_at < self.moved_at:
                continue
            if flow.idle or self.is_idempotent(packet):
                self.refuse(packet, "left_silent", flow.upstream)

    def is_idempotent(self, packet):
        """Return whether the caller of a packet may repeat its requests."""
        return (self.doors or {}).get(packet.door, UNKNOWN_DOOR).idempotent

    def remember(self, packet, upstream, now):
        """Return the Flow of a packet, for the choice of upstreams."""
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.upstream is not upstream:
            self.forget(packet.flow)
            flow = None
        if flow is None:
            flow = self.flows[packet.flow] = Flow(upstream, now)
            upstream.flows += 1
            if len(self.flows) > FLOWS_KEPT:
                self.forget(next(iter(self.flows)))
        flow.seen_at = now
        self.flows.move_to_end(packet.flow)
        return flow

    def forget(self, key):
        """Forget a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            flow.upstream.flows -= 1

    # Packets that open a flow.

    def open(self, packet, door, now):
        """Place a flow; a copy goes elsewhere, since the first upstream was silent."""
        at, tried = self.openings.get(packet.flow, (now, ()))
        if packet.copy and now - at >= REPEAT_SECONDS:
            note_repeat(tried[-1], now)
        upstream = self.choose(door, tried, packet.copy == 0, now)
        if upstream is None:
            if self.is_informed(now):
                self.refuse(packet, "no_upstream")
                return True
            return False
        self.openings[packet.flow] = (now, (*tried, upstream))
        self.openings.move_to_end(packet.flow)
        self.remember(packet, upstream, now).opening = True
        self.observe("placed", packet=packet, upstream=upstream, copy=packet.copy)
        self.forward(upstream, upstream.cookie, packet)
        return True

    def choose(self, door, tried, may_probe, now):
        """Return the upstream for a new flow, or None."""
        usable = [
            (weight, candidates)
            for service, weight in door.backends
            if weight > 0 and (candidates := self.candidates(service, now))
        ]
        if not usable:
            return None
        weights = [weight for weight, _ in usable]
        candidates = self.random.choices([c for _, c in usable], weights)[0]
        candidates = avoid_silent(candidates, may_probe, now)
        fresh = [upstream for upstream in candidates if upstream not in tried]
        chosen = min(fresh or candidates, key=lambda u: self.cost(u, now))
        if is_silent(chosen, now):
            chosen.probed_at = now
        return chosen

    def candidates(self, service, now):
        """Return the upstreams of a service that may get a new flow."""
        usable = self.upstreams.usable(service, self.lease_time(now))
        return [upstream for upstream in usable if upstream.cookie]

    def cost(self, upstream, now):
        """Return how full an upstream looks from here; the lowest is chosen."""
        slots = max(1, upstream.registration.slots)
        load = (upstream.flows + 1) / slots * 2.0 ** weigh_failures(upstream, now)
        near = upstream.registration.data_centre == self.data_centre
        return load + (0.0 if near else FAR_FLOWS_PER_SLOT), self.random.random()

    # Packets that wait.

    def hold(self, packet, now):
        """Keep a packet until more is known, once for all its copies, or drop the oldest."""
        self.observe("held", packet=packet, reason=self.why_held(packet))
        key = (packet.flow, packet.opens, packet.sequence, packet.size)
        since, _ = self.held.pop(key, (now, None))
        self.held[key] = (since, packet)
        if len(self.held) > HOLD_PACKETS:
            self.drop(*self.held.popitem(last=False)[1], "no_room", now)

    def why_held(self, packet):
        """Return what a packet waits for."""
        if self.doors is None:
            return "no_settings"
        if not packet.opens:
            return "unknown_cookie"
        return "unconfirmed" if self.paused else "uninformed"

    def drop(self, since, packet, reason, now):
        """Give a held packet up."""
        waited_ms = round((now - since) * 1000)
        self.observe("dropped", packet=packet, reason=reason, waited_ms=waited_ms)

    def retry_held(self, now):
        """Try all that is held again; drop what has waited for too long."""
        waiting, self.held = self.held, collections.OrderedDict()
        for key, (since, packet) in waiting.items():
            limit = OPENING_HOLD_SECONDS if packet.opens else HOLD_SECONDS
            if now - since > limit:
                self.drop(since, packet, "waited", now)
            elif not self.try_handle(packet, now):
                self.held[key] = (since, packet)

    def tick(self, now):
        """Forget what is over."""
        self.retry_held(now)
        self.leave_silent(now)
        self.expire(self.openings, lambda opening: now - opening[0] > OPENING_SECONDS)
        for key in self.find_idle(now):
            self.forget(key)

    @staticmethod
    def expire(entries, is_over):
        """Drop entries from the oldest on."""
        while entries and is_over(next(iter(entries.values()))):
            entries.popitem(last=False)

    def find_idle(self, now):
        """Return the flows without a packet for long, oldest first."""
        idle = []
        for key, flow in self.flows.items():
            if now - flow.seen_at <= FLOW_IDLE_SECONDS:
                break
            idle.append(key)
        return idle

    def thaw(self):
        """Forget evidence: this instance was silent itself."""
        self.flows.clear()
        self.openings.clear()
        for upstream in self.upstreams.by_index.values():
            upstream.flows = upstream.unanswered = 0

    def keep_house(self, now):
        """Forget upstreams that are gone."""
        self.upstreams.forget_gone(now)
        self.cookies.forget(lambda u: u.index in self.upstreams.by_index)
