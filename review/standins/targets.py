"""Targets: servers that take packets of flows, run requests and announce themselves."""

import asyncio
import random
import time

from standins import packets
from standins.http import call, encode, find_message
from standins.stream import Stream

# A target gives up after this many retransmissions.
MAX_COPIES = 8


class ServerFlow:
    """The target's end of one flow."""

    def __init__(self, target, client, route, seq, expected, echo):
        self.target = target
        self.client = client
        self.route = route
        self.initial = seq
        self.echo = echo
        self.is_open = False
        self.stream = Stream(self.transmit, seq + 1, expected, MAX_COPIES)

    def transmit(self, flags, seq, ack, data):
        """Send a packet to the client directly."""
        self.target.send(self.echo, seq, ack, flags, self.route, self.client, data)

    def answer_opening(self):
        """Answer an opening packet."""
        flags = packets.SYN | packets.ACK
        self.transmit(flags, self.initial, self.stream.expected, b"")


class Target(asyncio.DatagramProtocol):
    """
    One incarnation of a target.

    `work(method, path)` returns the seconds that a request takes; `controls` are the
    addresses of the nodes that serve the control plane.
    """

    def __init__(self, number, service, address, zone, site, work, controls=None, slots=3):
        self.number = number
        self.id = f"i-{number:08x}"
        self.service = service
        self.address = address
        self.zone = zone
        self.site = site
        self.work = work
        self.controls = controls or site.control_addresses
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.transport = None
        self.server = None
        self.tasks = set()
        self.preferred = None
        self.alive = False

    def spawn(self, coroutine):
        """Run a task that ends with the target."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self):
        """Listen, and announce the target from now on."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self.server = await asyncio.start_server(self.answer_health, *self.address)
        self.alive = True
        self.spawn(self.send_heartbeats())
        return self

    def stop(self):
        """End the process of the target: flows and connections are gone."""
        self.alive = False
        for task in list(self.tasks):
            task.cancel()
        for flow in self.flows.values():
            flow.stream.close()
        self.flows.clear()
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()
        self.site.record("target_ended", self.id, born=self.born)

    async def answer_health(self, reader, writer):
        """Answer a health check over TCP."""
        try:
            data = bytearray()
            while (found := find_message(data)) is None:
                chunk = await asyncio.wait_for(reader.read(4096), 5.0)
                if not chunk:
                    return
                data += chunk
            healthy = self.state == "ready" and found[0].startswith("GET /health ")
            status = "200 OK" if healthy else "503 Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (TimeoutError, OSError):
            pass
        finally:
            writer.close()

    # Announcements.

    def build_heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return encode(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slot_count,
                "state": self.state,
                "warmupLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        )

    async def send_heartbeats(self):
        """Send heartbeats until the target ends."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.site.heartbeat_ms / 1000 * random.uniform(0.95, 1.05))

    async def send_heartbeat(self):
        """Send one heartbeat; return whether a node acknowledged it."""
        return await self.post(f"/Instances.Heartbeat/{self.id}", self.build_heartbeat())

    async def post(self, path, body):
        """Post to the node that answered last, then to the others; return whether one did."""
        addresses = list(self.controls())
        random.shuffle(addresses)
        if self.preferred in addresses:
            addresses.remove(self.preferred)
            addresses.insert(0, self.preferred)
        for address in addresses:
            status, _ = await call(address, "POST", path, body)
            if 200 <= status < 300:
                self.preferred = address
                return True
        return False

    async def deregister(self):
        """Say that the target ends; the body has what a target says of itself at all times."""
        body = encode({"born": self.born, "sequence": self.sequence + 1})
        return await self.post(f"/Instances.Deregister/{self.id}", body)

    # Flows.

    def send(self, echo, seq, ack, flags, source, destination, data=b""):
        """Send a packet to a client."""
        if self.transport is None or self.transport.is_closing():
            return
        raw = packets.build(echo, seq, ack, flags, source, destination, data)
        self.transport.sendto(raw, (destination[0], self.site.packet_port))

    def datagram_received(self, data, _):
        """Handle a datagram of a node."""
        (intended,) = packets.TARGET.unpack_from(data)
        packet = packets.read(data[packets.TARGET.size :])
        if intended not in (0, self.number):
            self.site.record("not_intended", self.id)
            return
        if not packets.is_genuine(packet):
            self.site.record("forged", self.id)
            return
        client, route = (packet.src, packet.sport), (packet.dst, packet.dport)
        flow = self.flows.get((client, route))
        if packet.flags & (packets.SYN | packets.ACK) == packets.SYN:
            if flow is None:
                seq = random.getrandbits(31)
                flow = ServerFlow(self, client, route, seq, packet.seq + 1, packet.echo)
                self.flows[client, route] = flow
            flow.answer_opening()
            return
        if flow is None:
            if not packet.flags & packets.RST:
                self.send(packet.echo, packet.ack, packet.seq, packets.RST, route, client)
            return
        flow.echo = packet.echo
        if not flow.is_open:
            if packet.ack != (flow.initial + 1) % packets.MODULUS:
                return
            flow.is_open = True
            self.spawn(self.serve(flow))
        flow.stream.handle(packet)
        if packet.flags & packets.FIN:
            flow.transmit(packets.FIN | packets.ACK, flow.stream.next_seq, packet.seq + 1, b"")
            flow.stream.close()
            del self.flows[client, route]

    async def serve(self, flow):
        """Run the requests of a flow, one after another."""
        while not flow.stream.given_up:
            found = find_message(flow.stream.received)
            if found is None:
                await flow.stream.has_data.wait()
                flow.stream.has_data.clear()
                continue
            line, headers, body, used = found
            del flow.stream.received[:used]
            request_id = headers.get("x-lycheevalve-request-id", "")
            method, path, _ = line.split(" ")
            async with self.slots:
                self.site.record("run", request_id, target=self.id, service=self.service)
                await asyncio.sleep(self.work(method, path))
            size = 4000 if method == "GET" else 600
            head = "HTTP/1.1 200 OK\r\n"
            head += f"X-Lycheevalve-Server-Stamp: {self.id}-{self.born}\r\n"
            head += f"Content-Length: {size}\r\n\r\n"
            flow.stream.write(head.encode() + b"x" * size)
