"""Simulated callers: they open flows and send several requests on each."""

import random
import socket

import attrs
import trio

from lycheevalve.tests.fakes.platform import (
    ACK,
    FIN,
    RST,
    SYN,
    Segment,
    build_request,
    read_segment,
)

SYN_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8)
RETRANSMIT_TIMEOUTS_SECONDS = (0.2, 0.4, 0.8, 1.6)
MAX_DATAGRAM_BYTES = 2048
MAX_PORT = 60_000


class FlowError(Exception):
    """A flow was reset or not opened, or a request was not answered."""


class FlowClosed(Exception):
    """The upstream closed the flow between two requests."""


@attrs.define(eq=False)
class Flow:
    """The caller's side of a flow."""

    caller: object
    port: int
    front_door: tuple
    sequence: int
    acknowledged: int = 0
    cookie: int = 0
    segments: object = None
    is_open: bool = False

    async def send(self, flags, data=b"", sequence=None):
        """Send a segment to an entry instance."""
        segment = Segment(
            (self.caller.ip, self.port),
            self.front_door,
            flags,
            self.sequence if sequence is None else sequence,
            self.acknowledged,
            self.cookie,
            data,
        )
        await self.caller.send(segment)

    async def receive(self, seconds):
        """Return the next segment, or None after a timeout; raise FlowError for a reset."""
        with trio.move_on_after(seconds):
            return self.accept_segment(await self.segments.receive())
        return None

    def accept_segment(self, segment):
        """Store the cookie of a received segment and return it; raise FlowError for a reset."""
        if segment.flags & RST:
            raise FlowError("reset")
        # Another upstream that took a copy of the first packet is not part of an open flow.
        if not (self.is_open and segment.flags & SYN):
            self.cookie = segment.cookie
        return segment

    async def open(self):
        """Open the flow; raise FlowError when it is reset or not answered."""
        for attempt, seconds in enumerate(SYN_TIMEOUTS_SECONDS):
            # An opening packet carries the number of its earlier copies in this field.
            self.acknowledged = attempt
            await self.send(SYN)
            segment = await self.receive(seconds)
            if segment is not None and segment.flags & SYN:
                self.sequence += 1
                self.acknowledged = segment.sequence + 1
                self.is_open = True
                await self.send(ACK)
                return
        raise FlowError("not opened")

    async def send_request(self, request):
        """Send a request with retransmissions; return its answer or raise FlowError."""
        self.check_open()
        data, start = build_request(request), self.sequence
        self.sequence += len(data)
        is_acknowledged = False
        for seconds in RETRANSMIT_TIMEOUTS_SECONDS:
            if not is_acknowledged:
                await self.send(ACK, data, start)
            deadline = trio.current_time() + seconds
            while (remaining := deadline - trio.current_time()) > 0:
                segment = await self.receive(remaining)
                if segment is None:
                    continue
                is_acknowledged = is_acknowledged or segment.acknowledged >= self.sequence
                if segment.data:
                    answer = await self.acknowledge_data(segment)
                    if answer is not None:
                        return answer
        raise FlowError("no answer")

    def check_open(self):
        """Raise FlowClosed if the upstream has closed the flow."""
        while True:
            try:
                segment = self.accept_segment(self.segments.receive_nowait())
            except trio.WouldBlock:
                return
            if segment.flags & FIN:
                raise FlowClosed

    async def acknowledge_data(self, segment):
        """Acknowledge received data; return it if it is the next expected, else None."""
        is_new = segment.sequence == self.acknowledged
        if is_new:
            self.acknowledged += len(segment.data)
        await self.send(ACK)
        return segment.data if is_new else None


class Caller:
    """A caller with its own address in a data centre, which runs flows concurrently."""

    def __init__(self, ip, zone, site, seed):
        self.ip = ip
        self.zone = zone
        self.site = site
        self.random = random.Random(seed)
        self.flows = {}
        self.next_port = 1024
        self.request_count = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Receive segments and pass them to their flows."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as self.socket:
            await self.socket.bind((self.ip, self.site.fabric_port))
            task_status.started()
            while True:
                data, _ = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
                segment = read_segment(data)
                flow = self.flows.get(segment.receiver[1])
                if flow is not None:
                    try:
                        flow.send_nowait(segment)
                    except (trio.WouldBlock, trio.BrokenResourceError):
                        self.site.dropped_segments += 1

    async def send(self, segment):
        """Send a segment to the entry instance that the fabric chooses."""
        address = self.site.choose_entry(segment, self.zone)
        if address is not None:
            await self.socket.sendto(segment.encode(), address)

    def build_flow(self, front_door):
        """Return a new flow from the next local port to a front door."""
        self.next_port = self.next_port + 1 if self.next_port < MAX_PORT else 1024
        sender, receiver = trio.open_memory_channel(64)
        self.flows[self.next_port] = sender
        return Flow(
            self, self.next_port, front_door, self.random.getrandbits(31), segments=receiver
        )

    async def close(self, flow):
        """Close a flow; the socket may already be closed at the end of the run."""
        self.flows.pop(flow.port, None)
        if self.socket.fileno() >= 0:
            await flow.send(FIN | ACK)

    async def run_session(self, front_door, requests, max_pause):
        """Open a flow, send requests with pauses, and record a failure with the site."""
        flow, is_open = self.build_flow(front_door), False
        try:
            await flow.open()
            is_open = True
            for _ in range(requests):
                await self.check_request(flow, front_door)
                await trio.sleep(self.random.uniform(0.2, 1.0) * max_pause)
        except FlowClosed:
            return
        except FlowError as error:
            self.site.record_failed_session(self, flow, str(error), is_open)
        finally:
            with trio.CancelScope(shield=True):
                await self.close(flow)

    async def check_request(self, flow, front_door):
        """Send one request on a flow and check its answer."""
        self.request_count += 1
        request = f"{self.ip}-{self.request_count}"
        answer = await flow.send_request(request)
        self.site.check_answer(front_door, request, answer)
