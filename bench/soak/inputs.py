"""Malformed input and reset connections, at all ports of a process."""

import json
import socket
import struct

import attrs
import trio

from lycheevalve.tests.fakes.platform import (
    HEARTBEAT_PATH,
    READ_PATH,
    READY_PATH,
    SYN,
    Segment,
    build_heartbeat,
)

TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 65_536
# Closing a socket with this option resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_CONNECTIONS = 150
METRICS_PATH = "/metrics"
PATHS = (READ_PATH, READY_PATH, METRICS_PATH, "/", HEARTBEAT_PATH + "i-1", "/%ff", "//")
# A service that no front door has, so that no flow reaches an upstream of it.
SERVICE = "nowhere"

HEADS = (
    "HEAD {path} HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET {path}\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET {path} HTTP/1.1\r\n\r\n",
    "GET {path} HTTP/9.9\r\nHost: a\r\n\r\n",
    "POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
    "POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{{",
    "POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "POST {path} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
    "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    "GET {path} HTTP/1.1\r\nHost: a\r\nX: " + 70_000 * "x" + "\r\n\r\n",
    20 * "GET {path} HTTP/1.1\r\nHost: a\r\n\r\n",
)
FRAMES = (
    b"\xff" * 100,
    b"\0" * 100,
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"\x00\x00\x00\x05hello",
    b"\x7f\xff\xff\xff" + b"x" * 50_000,
)
VALUES = (
    None,
    True,
    -1,
    2**31,
    2**63,
    10**400,
    1e308,
    "",
    "\ud800",
    "a" * 100_000,
    [],
    {},
    ["x"],
)
DEEP = b'{"x": ' + 900 * b"[" + 900 * b"]" + b"}"
NOT_JSON = (b"", b"{", b"\xff\xfe", b"null", b"[]", DEEP, 100_000 * b"[", b'{"version": NaN}')
# Keys of a route whose values have no influence on where its flows go.
ROUTE_KEYS = ("timeoutMs", "targetLatencyMs", "priority", "attempts", "unknown")


@attrs.frozen
class Intruder:
    """Sends input that no correct client sends, from an address of its own."""

    ip: str
    random: object

    def list_tcp_payloads(self):
        """Return payloads for a TCP port, some of them cut."""
        heads = [
            head.format(path=self.random.choice(PATHS)).encode("latin-1") for head in HEADS
        ]
        payloads = [*heads, *FRAMES, self.random.randbytes(200)]
        return [p[: self.random.randint(0, len(p))] for p in payloads] + payloads

    def list_datagrams(self, receiver):
        """Return invalid datagrams for the packets of an (ip, port), some of them cut."""
        packet = Segment((self.ip, 1024), receiver, SYN).encode()
        cuts = [packet[:end] for end in range(0, len(packet), 3)]
        return [*cuts, *(self.random.randbytes(size) for size in range(0, 1400, 100))]

    def list_heartbeats(self):
        """Return bodies of heartbeats with one invalid or unusual value each."""
        valid = json.loads(
            build_heartbeat(SERVICE, f"{self.ip}:9000", "dc9", "ready", 1, 1_000)
        )
        key = self.random.choice(sorted(valid))
        return [json.dumps(valid | {key: value}).encode() for value in VALUES] + list(NOT_JSON)

    def change_route(self, body):
        """Return a configuration with an invalid or unusual value in one of its routes."""
        configuration = json.loads(body)
        route = self.random.choice(configuration["routes"])
        route[self.random.choice(ROUTE_KEYS)] = self.random.choice(VALUES)
        return json.dumps(configuration).encode()

    def connect(self, address):
        """Return a socket that is connected from the intruder's address."""
        return socket.create_connection(address, TIMEOUT_SECONDS, (self.ip, 0))

    def send_payload(self, address, payload):
        """Send a payload over a new connection and read until it is closed, or reset it."""
        with self.connect(address) as connection:
            connection.sendall(payload)
            if self.random.random() < 0.5:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                return
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(MAX_ANSWER_BYTES):
                pass

    def reset_connections(self, address):
        """Open connections in bulk and reset each at once, some after a part of a request."""
        for _ in range(self.random.randint(20, MAX_CONNECTIONS)):
            with self.connect(address) as connection:
                if self.random.random() < 0.3:
                    connection.sendall(b"GET / HTTP/1.1\r\nHo")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def send_datagrams(self, address, receiver):
        """Send invalid datagrams."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((self.ip, 0))
            for data in self.list_datagrams(receiver):
                sender.sendto(data, address)

    async def attempt(self, function, *args):
        """Call a blocking function; a process may refuse and close connections."""
        try:
            await trio.to_thread.run_sync(function, *args)
        except OSError:
            return

    async def send_everything(self, tcp_addresses, udp_addresses, receiver):
        """Send invalid payloads to TCP ports and invalid datagrams to UDP ports."""
        for address in tcp_addresses:
            for payload in self.list_tcp_payloads():
                await self.attempt(self.send_payload, address, payload)
        for address in udp_addresses:
            await self.attempt(self.send_datagrams, address, receiver)

    def heartbeat_path(self):
        """Return the path of a heartbeat, with a valid or an unusual name."""
        number = 0xBAD0000 + self.random.randint(0, 9)
        names = (f"i-{number:08x}", f"i-{number:08x}", "%ff", "i-" + "f" * 40, "")
        return HEARTBEAT_PATH + self.random.choice(names)
