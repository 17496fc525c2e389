"""Targets and callers that speak the platform's protocol in flows."""

import json
import random
import socket
import threading
import time

from deployment import HEARTBEAT_MS, PACKET_PORT, call, is_ready
from packets import ACK, FIN, RST, SYN, TARGET, Packet, read_packet

READ_SECONDS = 0.1
MAX_DATAGRAM_BYTES = 2048
# A caller sends copies of its first packet after these times, and gives up after the last.
OPENING_SECONDS = (0.2, 0.4, 0.8)
# Copies of a request without an acknowledgement.
REQUEST_SECONDS = (0.2, 0.4, 0.8)


class Target:
    """One target: it sends heartbeats, answers flows, and records what it runs."""

    def __init__(self, deployment, number, service, zone, address, order=0):
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.name = f"i-{number:010x}"
        self.service = service
        self.zone = zone
        self.address = address
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.order = order
        self.heartbeat_machine = None
        self.stopped = threading.Event()
        # (time, caller's end) of each opening packet, and (time, id) of each request.
        self.openings = []
        self.requests = []
        # State by flow: [own sequence, expected sequence, whether it is open].
        self.flows = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(address)
        self.socket.settimeout(READ_SECONDS)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(64)
        self.listener.settimeout(READ_SECONDS)
        self.threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self.run_flows, self.run_health, self.run_heartbeats)
        ]

    def start(self):
        """Start to serve."""
        self.record.add(f"target {self.name} of {self.service} in {self.zone} starts")
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End without a word, and free the address."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.socket.close()
        self.listener.close()
        self.record.add(f"target {self.name} has ended")

    def build_heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        host, port = self.address
        value = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(value).encode()

    def send_call(self, path, body):
        """Call one control replica after another; return when one acknowledged, or None."""
        controls = self.deployment.controls
        for turn in range(len(controls)):
            machine = controls[(self.order + turn) % len(controls)]
            status, _ = call(machine, "POST", path, body)
            if status == 200:
                return time.monotonic()
        return None

    def send_heartbeat(self):
        """Send a heartbeat; return when it was acknowledged, or None."""
        return self.send_call(f"/Instances.Heartbeat/{self.name}", self.build_heartbeat())

    def run_heartbeats(self):
        """Send heartbeats until the end."""
        while not self.stopped.is_set():
            self.send_heartbeat()
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def run_health(self):
        """Answer health checks."""
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            threading.Thread(target=self.answer_health, args=(connection,), daemon=True).start()

    def answer_health(self, connection):
        """Answer the health check of one connection."""
        status = "200 OK" if self.state == "ready" else "503 Unavailable"
        with connection:
            connection.settimeout(1.0)
            try:
                if connection.recv(4096):
                    answer = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"
                    connection.sendall(answer.encode())
            except OSError:
                return

    def run_flows(self):
        """Answer the packets of flows."""
        while not self.stopped.is_set():
            try:
                data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            (number,) = TARGET.unpack_from(data)
            if number in (0, self.number):
                self.handle(read_packet(data[TARGET.size :]))

    def handle(self, packet):
        """Handle one packet."""
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & (SYN | ACK | RST) == SYN:
            if flow is None:
                own = random.getrandbits(31)
                flow = self.flows[key] = [own + 1, packet.sequence + 1, False]
                self.openings.append((time.monotonic(), packet.source))
                self.record.add(f"{self.name} took the first packet of {packet.source}")
            self.send(packet, SYN | ACK, flow[0] - 1, flow[1])
        elif packet.flags & RST:
            self.flows.pop(key, None)
        elif flow is None:
            self.send(packet, RST, packet.acknowledged, 0)
        elif packet.flags & FIN:
            self.send(packet, FIN | ACK, flow[0], packet.sequence + 1)
            del self.flows[key]
        else:
            self.handle_data(packet, flow)

    def handle_data(self, packet, flow):
        """Handle data or an acknowledgement of a flow; a request is one packet."""
        flow[2] = flow[2] or packet.acknowledged == flow[0]
        if not flow[2] or not packet.data:
            return
        if packet.sequence != flow[1]:
            self.send(packet, ACK, flow[0], flow[1])
            return
        flow[1] += len(packet.data)
        request = packet.data.decode()
        self.requests.append((time.monotonic(), request))
        self.record.add(f"{self.name} runs {request}")
        answer = f"{self.service} {request}".encode()
        self.send(packet, ACK, flow[0], flow[1], answer)
        flow[0] += len(answer)

    def send(self, packet, flags, sequence, acknowledged, data=b""):
        """Send a packet to the caller of `packet`."""
        reply = Packet(
            packet.destination, packet.source, flags, sequence, acknowledged, packet.echo, data
        )
        self.socket.sendto(reply.encode(), (packet.source[0], PACKET_PORT))


class Fabric:
    """Chooses the entry instance of a packet as the platform's routers do."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {machine.name: 2 for machine in deployment.entries}
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.probe, args=(machine,), daemon=True)
            for machine in deployment.entries
        ]

    def start(self):
        """Start to probe the entry instances."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """End the probes."""
        self.stopped.set()

    def probe(self, machine):
        """Probe an entry instance twice a second."""
        while not self.stopped.is_set():
            self.misses[machine.name] = (
                0 if is_ready(machine) else self.misses[machine.name] + 1
            )
            self.stopped.wait(0.5)

    def choose(self, source, destination, zone):
        """Return the address of the entry instance for a packet of a zone's caller."""
        entries = self.deployment.entries
        ready = [machine for machine in entries if self.misses[machine.name] < 2]
        near = [machine for machine in entries if machine.zone == zone]
        ready_near = [machine for machine in near if machine in ready]
        if 2 * len(ready_near) < len(near):
            ready_near = near if ready_near else []
        candidates = ready_near or ready or entries
        return candidates[hash((source, destination)) % len(candidates)]


class Caller:
    """A caller at one address; each call of `request` opens a flow of its own."""

    def __init__(self, fabric, ip, zone):
        self.fabric = fabric
        self.record = fabric.deployment.record
        self.ip = ip
        self.zone = zone
        self.port = random.randint(20_000, 30_000)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, PACKET_PORT))
        self.entry = ""

    def send(self, front_door, port, flags, sequence, acknowledged, echo, data=b""):
        """Send a packet to the entry instance that the fabric chooses."""
        source = (self.ip, port)
        machine = self.fabric.choose(source, front_door, self.zone)
        self.entry = machine.name
        packet = Packet(source, front_door, flags, sequence, acknowledged, echo, data)
        self.socket.sendto(packet.encode(), (machine.ip, PACKET_PORT))

    def receive(self, port, deadline):
        """Return the next packet for a port, or None at the deadline."""
        while (remaining := deadline - time.monotonic()) > 0:
            self.socket.settimeout(remaining)
            try:
                data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (TimeoutError, BlockingIOError):
                return None
            packet = read_packet(data)
            if packet.destination[1] == port:
                return packet
        return None

    def open(self, front_door):
        """Open a flow; return (port, own sequence, acknowledged, echo) or why it failed."""
        self.port += 1
        sequence = random.getrandbits(31)
        for copy, seconds in enumerate(OPENING_SECONDS):
            self.send(front_door, self.port, SYN, sequence, copy, 0)
            packet = self.receive(self.port, time.monotonic() + seconds)
            if packet is None:
                continue
            if packet.flags & RST:
                return "reset"
            if packet.flags & SYN:
                return self.port, sequence + 1, packet.sequence + 1, packet.echo
        return "not opened"

    def request(self, front_door, request):
        """Send one request on a flow of its own; return the answer, or why there is none."""
        opened = self.open(front_door)
        if isinstance(opened, str):
            self.record.add(f"caller {request} via {self.entry}: {opened}")
            return opened
        port, sequence, acknowledged, echo = opened
        data = request.encode()
        outcome = "no answer"
        for seconds in REQUEST_SECONDS:
            self.send(front_door, port, ACK, sequence, acknowledged, echo, data)
            packet = self.receive(port, time.monotonic() + seconds)
            if packet is None:
                continue
            if packet.flags & RST:
                outcome = "reset on an open flow"
                break
            if packet.data:
                outcome = packet.data.decode()
                acknowledged += len(packet.data)
                break
        end = sequence + len(data)
        self.send(front_door, port, FIN | ACK, end, acknowledged, echo)
        self.record.add(f"caller {request} via {self.entry}: {outcome}")
        return outcome


def build_configuration(version, routes):
    """Return the body of a configuration; `routes` is [((ip, port), service, kind)]."""
    services = sorted({service for _, service, _ in routes})
    value = {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}-{port}",
                "host": host,
                "pathPrefix": f"/{port}/",
                "routeType": kind,
                "timeoutMs": 2000,
                "targetLatencyMs": 250,
                "priority": 2,
                "service": service,
                "attempts": 2,
            }
            for (host, port), service, kind in routes
        ],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "idleTimeoutMs": 15000},
    }
    return json.dumps(value).encode()
