"""Simulated upstreams: they answer requests, send heartbeats and record what they run."""

import collections
import random
import socket

import attrs
import trio

from bench.soak.http_client import call
from lycheevalve.tests.fakes.platform import (
    ACK,
    DEREGISTER_PATH,
    FIN,
    HEARTBEAT_PATH,
    RST,
    SYN,
    Segment,
    build_heartbeat,
    read_request_id,
    read_segment,
    split_target,
)
from lycheevalve.utils.addresses import format_address

UPSTREAM_PORT = 8080
# The last number of the addresses of upstreams is below this one.
UPSTREAM_HOST_LIMIT = 200
HEARTBEAT_INTERVAL_SECONDS = 0.5
REQUEST_DURATION_SECONDS = 0.01
# A few requests take longer than a caller's second retransmission; no flow may break.
SLOW_REQUEST_SHARE = 0.03
SLOW_REQUEST_SECONDS = 0.75
RETRANSMIT_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8, 1.6)
PACKETS_PER_ACKNOWLEDGEMENT = 2
# An upstream accepts new flows for this long after its draining state is acknowledged.
DRAIN_SECONDS = 3.0
# Maximum time that an upstream waits for its flows to end; the soak's sessions are shorter.
FLOW_DRAIN_TIMEOUT_SECONDS = 20.0
MAX_DATAGRAM_BYTES = 2048
# Services whose upstreams accept connections; those of the others answer callers only.
CONNECTED_SERVICES = ("nightsync",)


@attrs.define
class Ledger:
    """The requests that all upstreams have run, and the violations found."""

    # Number of runs by request id.
    runs: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)
    # Services by front door, according to any configuration that was sent.
    front_doors: dict = attrs.field(factory=dict)


@attrs.define
class Flow:
    """The upstream's side of a flow."""

    # Sequence numbers of the opening answer, of the next byte sent, and of the next byte
    # expected from the caller.
    initial_sequence: int
    next_sequence: int
    expected_sequence: int
    # The highest acknowledgement number received from the caller.
    acknowledged: int = 0
    # Packets with data, copies too, since this side last sent an acknowledgement.
    unacknowledged: int = 0
    # Whether the caller has acknowledged the opening answer of this upstream: a copy of its
    # first packet may have reached another one, whose answer it acknowledged instead.
    is_open: bool = False


class Upstream:
    """One incarnation of an upstream, with an address of its own."""

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
        self.cancel_scope = trio.CancelScope()
        self.random = random.Random(number)

    async def run(self):
        """Serve until the upstream is cancelled."""
        with (
            self.cancel_scope,
            trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.socket,
        ):
            await self.socket.bind(self.address)
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.send_heartbeats)
                if self.service in CONNECTED_SERVICES:
                    self.nursery.start_soon(self.accept_connections)
                while True:
                    data, _ = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
                    await self.handle_datagram(data)

    async def accept_connections(self):
        """Accept connections, which carry health checks, and close them."""

        async def close(stream):
            await stream.aclose()

        host, port = self.address
        await trio.serve_tcp(close, port, host=host)

    def crash(self):
        """Stop without draining or deregistering."""
        self.cancel_scope.cancel()

    async def drain_and_deregister(self):
        """Drain, wait until all flows have ended, deregister and stop."""
        self.state = "draining"
        if await self.send_heartbeat():
            self.drained_at = trio.current_time()
        await trio.sleep(DRAIN_SECONDS + 1.0)
        with trio.move_on_after(FLOW_DRAIN_TIMEOUT_SECONDS):
            while any(flow.is_open for flow in self.flows.values()):
                await trio.sleep(0.1)
        await self.post_to_control(DEREGISTER_PATH + self.name, b"")
        self.cancel_scope.cancel()

    # Registration.

    async def send_heartbeats(self):
        """Send heartbeats at a fixed interval."""
        while True:
            await self.send_heartbeat()
            await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def send_heartbeat(self):
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = build_heartbeat(
            self.service,
            format_address(self.address),
            self.zone,
            self.state,
            self.sequence,
            self.born,
        )
        return await self.post_to_control(HEARTBEAT_PATH + self.name, body)

    async def post_to_control(self, path, body):
        """Post to control replicas in random order; return whether one acknowledged."""
        controls = list(self.site.control_addresses())
        self.random.shuffle(controls)
        for address in controls:
            status, _ = await call(address, "POST", path, body)
            if status == 200:
                return True
        return False

    # Flows.

    async def handle_datagram(self, data):
        """Handle a datagram of an entry instance."""
        target, packet = split_target(data)
        if target not in (0, self.number):
            return
        segment = read_segment(packet)
        key = (segment.sender, segment.receiver)
        flow = self.flows.get(key)
        if segment.flags & (SYN | ACK) == SYN:
            await self.accept_flow(key, segment)
        elif flow is None:
            await self.send(segment, RST, 0, 0)
        elif segment.flags & (FIN | RST):
            await self.send(segment, FIN | ACK, flow.next_sequence, segment.sequence + 1)
            del self.flows[key]
        else:
            await self.handle_segment(flow, segment)

    async def accept_flow(self, key, segment):
        """Accept a flow; one for another service or after the drain time is a violation."""
        ledger = self.site.ledger
        if self.service not in ledger.front_doors.get(segment.receiver, ()):
            ledger.violations.append(
                f"flow to front door {segment.receiver} reached an upstream of {self.service}"
            )
        late = self.drained_at is not None and trio.current_time() > self.drained_at + (
            DRAIN_SECONDS
        )
        if late and self.site.is_calm():
            ledger.violations.append(f"new flow at {self.name} after its drain time")
        if self.site.is_evacuated(self.zone):
            ledger.violations.append(f"new flow at {self.name} in evacuated {self.zone}")
        initial_sequence = self.random.getrandbits(31)
        new_flow = Flow(initial_sequence, initial_sequence + 1, segment.sequence + 1)
        flow = self.flows.setdefault(key, new_flow)
        await self.send(segment, SYN | ACK, flow.initial_sequence, flow.expected_sequence)

    async def handle_segment(self, flow, segment):
        """Handle data or an acknowledgement of an open flow."""
        is_acknowledged = flow.initial_sequence < segment.acknowledged <= flow.next_sequence
        if not (flow.is_open or is_acknowledged):
            # The flow opened at another upstream; this one does not hold it.
            await self.send(segment, RST, segment.acknowledged, 0)
            return
        flow.is_open = True
        flow.acknowledged = max(flow.acknowledged, segment.acknowledged)
        if not segment.data:
            return
        if segment.sequence == flow.expected_sequence:
            flow.expected_sequence += len(segment.data)
            self.nursery.start_soon(self.answer_request, flow, segment)
        flow.unacknowledged += 1
        if flow.unacknowledged >= PACKETS_PER_ACKNOWLEDGEMENT:
            flow.unacknowledged = 0
            await self.send(segment, ACK, flow.next_sequence, flow.expected_sequence)

    async def answer_request(self, flow, segment):
        """Run a request; retransmit its answer until it is acknowledged."""
        request = read_request_id(segment.data)
        self.site.ledger.runs[request] += 1
        is_slow = self.random.random() < SLOW_REQUEST_SHARE
        await trio.sleep(SLOW_REQUEST_SECONDS if is_slow else REQUEST_DURATION_SECONDS)
        answer = f"HTTP/1.1 200 OK\r\n\r\n{self.service} {request}".encode()
        start = flow.next_sequence
        end = flow.next_sequence = start + len(answer)
        # A draining upstream closes a flow with its next answer.
        closes = self.state == "draining"
        for seconds in RETRANSMIT_TIMEOUTS_SECONDS:
            flow.unacknowledged = 0
            await self.send(segment, ACK, start, flow.expected_sequence, answer)
            if closes:
                await self.send(segment, FIN | ACK, end, flow.expected_sequence)
            await trio.sleep(seconds)
            if flow.acknowledged >= end:
                return

    async def send(self, segment, flags, sequence, acknowledged, data=b""):
        """Send a segment directly to the caller, bypassing the entry instances."""
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
