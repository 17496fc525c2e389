"""Clients: each has an address of its own and opens flows to routes."""

import asyncio
import random

from standins import packets
from standins.http import find_message
from standins.stream import Stream

SYN_SECONDS = (0.2, 0.4, 0.8)


class FlowReset(Exception):
    """The flow was reset; `own` states whether the system and not the target sent it."""

    def __init__(self, own):
        super().__init__("reset by the system" if own else "reset by the target")
        self.own = own


class FlowFailed(Exception):
    """The flow did not open, or a request got no answer until its deadline."""


class Flow:
    """The client's end of one flow."""

    def __init__(self, client, port, front_door):
        self.client = client
        self.port = port
        self.front_door = front_door
        self.echo = 0
        self.initial = random.getrandbits(31)
        self.stream = None
        self.reset_by = None
        self.is_closed = False
        self.changed = asyncio.Event()

    def transmit(self, flags, seq, ack, data):
        """Send a packet through the routers."""
        source = (self.client.ip, self.port)
        raw = packets.build(self.echo, seq, ack, flags, source, self.front_door, data)
        self.client.send(raw, source, self.front_door)

    def handle(self, packet):
        """Handle a packet that arrived at the client."""
        if packet.flags & packets.RST:
            own = packet.sum == 0
            if own and self.stream is not None:
                ack = self.stream.expected
                if abs(packets.distance(packet.seq, ack)) > 76_800:
                    return
            if self.reset_by is None:
                self.reset_by = "system" if own else "target"
                self.client.record("client_reset", self.describe(), by=self.reset_by)
            if self.stream is not None:
                self.stream.close()
            self.wake()
            return
        if packet.flags & packets.SYN:
            if self.stream is None:
                self.echo = packet.echo
                self.stream = Stream(
                    self.transmit, (self.initial + 1) % packets.MODULUS, packet.seq + 1, 99
                )
                self.stream.acknowledge()
                self.wake()
            return
        if self.stream is None:
            return
        self.echo = packet.echo
        self.stream.handle(packet)
        if packet.flags & packets.FIN:
            self.is_closed = True
        self.wake()

    def wake(self):
        """Wake the task that waits for packets."""
        self.changed.set()
        if self.stream is not None:
            self.stream.has_data.set()

    def describe(self):
        """Return the flow as `client port`."""
        return f"{self.client.ip}:{self.port}"

    async def wait(self, seconds):
        """Wait for a packet; raise FlowReset if the flow was reset."""
        try:
            await asyncio.wait_for(self.changed.wait(), seconds)
        except TimeoutError:
            pass
        self.changed.clear()
        if self.reset_by:
            raise FlowReset(self.reset_by == "system")

    async def open(self):
        """Open the flow; raise FlowReset or FlowFailed."""
        loop = asyncio.get_running_loop()
        for copy, seconds in enumerate(SYN_SECONDS):
            self.transmit(packets.SYN, self.initial, copy, b"")
            until = loop.time() + seconds
            while (left := until - loop.time()) > 0 and self.stream is None:
                await self.wait(left)
            if self.stream is not None:
                return self
        raise FlowFailed("not opened")

    async def request(self, method, path, body=b"", deadline=3.0):
        """Send one request; return (status, headers, body, id)."""
        if self.reset_by:
            raise FlowReset(self.reset_by == "system")
        loop = asyncio.get_running_loop()
        request_id = self.client.new_id()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.front_door[0]}\r\n"
        head += f"X-Lycheevalve-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        self.client.record("sent", request_id, flow=self.describe(), method=method)
        self.stream.write(head.encode() + body)
        until = loop.time() + deadline
        while (found := find_message(self.stream.received)) is None:
            left = until - loop.time()
            if left <= 0:
                raise FlowFailed(f"no answer to {request_id} until its deadline")
            await self.wait(left)
        line, headers, answer, used = found
        del self.stream.received[:used]
        status = int(line.split(" ")[1])
        self.client.record("answered", request_id, status=status)
        return status, headers, answer, request_id

    def close(self):
        """End the flow."""
        if self.stream is not None and not self.reset_by:
            self.transmit(
                packets.FIN | packets.ACK, self.stream.next_seq, self.stream.expected, b""
            )
            self.stream.close()


class Client(asyncio.DatagramProtocol):
    """A client in a zone; `route(source, front_door)` names the entry for its packets."""

    def __init__(self, ip, port, route, record):
        self.ip = ip
        self.port = port
        self.route = route
        self.record = record
        self.flows = {}
        self.next_port = random.randint(20_000, 40_000)
        self.count = 0
        self.transport = None

    async def start(self):
        """Open the client's socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )
        return self

    def datagram_received(self, data, _):
        """Pass a packet to its flow."""
        packet = packets.read(data)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.sum != 0 and not packets.is_genuine(packet):
            self.record("forged", flow.describe())
            return
        flow.handle(packet)

    def send(self, raw, source, front_door):
        """Send a packet to the entry that the routers choose."""
        address = self.route(source, front_door)
        if address is not None:
            self.transport.sendto(raw, address)

    def new_id(self):
        """Return a new id of a request."""
        self.count += 1
        return f"{self.ip}-{self.count}"

    def build_flow(self, front_door):
        """Return a new flow from the next port."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, front_door)
        return flow
