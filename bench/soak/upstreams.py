"""The soak's upstreams: they answer flows, announce themselves and keep a ledger."""

import collections
import random
import socket

import attrs
import trio

from bench.soak.calls import call
from lycheevalve.tests.fakes.platform import (
    ACK,
    DEREGISTER_PATH,
    FIN,
    HEARTBEAT_PATH,
    RST,
    SYN,
    Segment,
    build_heartbeat,
    read_request,
    read_segment,
    split_target,
)
from lycheevalve.utils.addresses import format_address

HEARTBEAT_SECONDS = 0.5
WORK_SECONDS = 0.01
REPEAT_SECONDS = (0.2, 0.4, 0.8, 1.6)
# After its farewell is acknowledged an upstream goes on for this long.
DRAIN_SECONDS = 3.0
# It waits for its flows for this long at most; the soak's sessions are shorter.
FLOW_SECONDS = 20.0
MAX_DATAGRAM_BYTES = 2048


@attrs.define
class Ledger:
    """What happened at all upstreams: runs by request, and broken promises."""

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)
    # Service by front door, as configurations ever said.
    doors: dict = attrs.field(factory=dict)


@attrs.define
class Flow:
    """One flow at an upstream."""

    # Where its own bytes begin, the next one, and the next one of the caller.
    initial: int
    following: int
    expected: int
    # How far the caller has acknowledged.
    answered: int = 0


class Upstream:
    """One incarnation of an upstream; `is_calm()` says whether time bounds hold."""

    def __init__(self, number, service, address, zone, site):
        self.number = number
        self.name = f"i-{number:08x}"
        self.service = service
        self.address = address
        self.zone = zone
        self.site = site
        self.born = int(trio.current_time() * 1000) + number
        self.sequence = 0
        self.state = "ready"
        self.drained_at = None
        self.flows = {}
        self.scope = trio.CancelScope()
        self.random = random.Random(number)

    async def run(self):
        """Serve until the upstream ends."""
        with self.scope, trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.socket:
            await self.socket.bind(self.address)
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.announce)
                while True:
                    data, _ = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
                    await self.handle(data)

    def crash(self):
        """End at once."""
        self.scope.cancel()

    async def leave(self):
        """Say farewell, serve on for a while, then end."""
        self.state = "draining"
        if await self.beat():
            self.drained_at = trio.current_time()
        await trio.sleep(DRAIN_SECONDS + 1.0)
        with trio.move_on_after(FLOW_SECONDS):
            while self.flows:
                await trio.sleep(0.1)
        await self.tell_control(DEREGISTER_PATH + self.name, b"")
        self.scope.cancel()

    # Announcements.

    async def announce(self):
        """Announce this upstream now and then."""
        while True:
            await self.beat()
            await trio.sleep(HEARTBEAT_SECONDS)

    async def beat(self):
        """Announce this upstream once; return whether that was acknowledged."""
        self.sequence += 1
        body = build_heartbeat(
            self.service,
            format_address(self.address),
            self.zone,
            self.state,
            self.sequence,
            self.born,
        )
        return await self.tell_control(HEARTBEAT_PATH + self.name, body)

    async def tell_control(self, path, body):
        """Call one control replica after the other until one acknowledges."""
        controls = list(self.site.control_addresses())
        self.random.shuffle(controls)
        for address in controls:
            status, _ = await call(address, "POST", path, body)
            if status == 200:
                return True
        return False

    # Flows.

    async def handle(self, data):
        """Take a datagram of an entry instance."""
        target, packet = split_target(data)
        if target not in (0, self.number):
            return
        segment = read_segment(packet)
        key = (segment.sender, segment.receiver)
        flow = self.flows.get(key)
        if segment.flags & (SYN | ACK) == SYN:
            await self.open(key, segment)
        elif flow is None:
            await self.send(segment, RST, 0, 0)
        elif segment.flags & (FIN | RST):
            await self.send(segment, FIN | ACK, flow.following, segment.sequence + 1)
            del self.flows[key]
        else:
            await self.take(flow, segment)

    async def open(self, key, segment):
        """Take a flow, unless it is for another service."""
        ledger = self.site.ledger
        if self.service not in ledger.doors.get(segment.receiver, ()):
            ledger.violations.append(f"{segment.receiver} opened at {self.service}")
        late = self.drained_at is not None and trio.current_time() > self.drained_at + (
            DRAIN_SECONDS
        )
        if late and self.site.is_calm():
            ledger.violations.append(f"new flow at {self.name} after its farewell")
        initial = self.random.getrandbits(31)
        fresh = Flow(initial, initial + 1, segment.sequence + 1)
        flow = self.flows.setdefault(key, fresh)
        await self.send(segment, SYN | ACK, flow.initial, flow.expected)

    async def take(self, flow, segment):
        """Take data or an acknowledgement."""
        flow.answered = max(flow.answered, segment.acknowledged)
        if not segment.data:
            return
        if segment.sequence == flow.expected:
            flow.expected += len(segment.data)
            self.nursery.start_soon(self.answer, flow, segment)
        await self.send(segment, ACK, flow.following, flow.expected)

    async def answer(self, flow, segment):
        """Run a request and send its answer until it is acknowledged."""
        request = read_request(segment.data)
        self.site.ledger.runs[request] += 1
        await trio.sleep(WORK_SECONDS)
        answer = f"HTTP/1.1 200 OK\r\n\r\n{self.service} {request}".encode()
        start = flow.following
        end = flow.following = start + len(answer)
        # A draining upstream closes a flow with its next answer.
        closes = self.state == "draining"
        for pause in REPEAT_SECONDS:
            await self.send(segment, ACK, start, flow.expected, answer)
            if closes:
                await self.send(segment, FIN | ACK, end, flow.expected)
            await trio.sleep(pause)
            if flow.answered >= end:
                return

    async def send(self, segment, flags, sequence, acknowledged, data=b""):
        """Send a segment to the caller, past the entry instances."""
        reply = Segment(
            segment.receiver,
            segment.sender,
            flags,
            sequence,
            acknowledged,
            segment.cookie,
            data,
        )
        await self.socket.sendto(reply.encode(), (segment.sender[0], self.site.fabric_port))
