"""
A fake upstream process with request slots, a bounded queue, cold start and drain.

It announces itself through the fabric and serves streams and CoAP requests. It
records what it received and ran in a ledger of JSON lines, which the demo and the
tests check.
Run: python -m lycheevalve.tests.fakes.upstream OPTIONS (a JSON object)
"""

import json
import random
import signal
import sys
import time
from pathlib import Path

import attrs
import trio
from aiocoap.numbers import codes, types

from lycheevalve.flows import coap
from lycheevalve.flows.announcements import build_announcement
from lycheevalve.tests.fakes.fabric import open_socket, read_datagrams
from lycheevalve.tests.fakes.proxy import build_header, split_header
from lycheevalve.utils.addresses import parse_address

ANNOUNCE_INTERVAL_SECONDS = 1.0
LIFETIME_SECONDS = 3
MAX_QUEUED_REQUESTS = 6
COLD_START_SECONDS = 2.0
BLOCK_BYTES = 256


@attrs.define
class Options:
    """The options of an upstream, given as JSON on its command line."""

    address: str
    service: str
    data_centre: str
    front_doors: list[str]
    registry: str
    key: str
    ledger: str
    slots: int = 3
    connections: int = 2000
    service_seconds: float = 0.05
    report_blocks: int = 4
    seed: int = 1


@attrs.define
class Job:
    """A request that is queued or running."""

    caller: tuple
    front_door: tuple
    message: object


class Upstream:
    """A fake upstream: its socket, sessions, queued requests and ledger."""

    def __init__(self, options):
        self.options = options
        self.socket = open_socket(parse_address(options.address))
        self.front_doors = {parse_address(front_door) for front_door in options.front_doors}
        self.random = random.Random(options.seed)
        self.incarnation = time.time_ns() // 1_000_000
        self.started_at = time.monotonic()
        self.sequence = 0
        self.draining = False
        self.busy = 0
        self.sessions = {}
        self.answers = {}
        self.cancelled = set()
        self.job_sender, self.job_receiver = trio.open_memory_channel(MAX_QUEUED_REQUESTS)
        self.ledger = Path(options.ledger)

    def log_event(self, event, **details):
        """Append an event to the ledger."""
        line = {"event": event, "upstream": self.options.address, "at": time.time(), **details}
        with self.ledger.open("a") as file:
            file.write(json.dumps(line) + "\n")

    async def run(self):
        """Serve until SIGTERM, then until sessions and requests have ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.read)
            nursery.start_soon(self.announce_periodically)
            for _ in range(self.options.slots):
                nursery.start_soon(self.serve_slot)
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                await signals.__anext__()
            self.draining = True
            while (
                self.active_sessions()
                or self.busy
                or self.job_receiver.statistics().current_buffer_used
            ):
                await trio.sleep(0.1)
            self.announce(leaving=True)
            nursery.cancel_scope.cancel()

    def active_sessions(self):
        """Return how many sessions have sent a packet in the last 3 seconds."""
        now = time.monotonic()
        return sum(now - at < 3.0 for _, at in self.sessions.values())

    def queued(self):
        """Return how many requests are queued for a slot."""
        return self.job_receiver.statistics().current_buffer_used

    # Announcements.

    async def announce_periodically(self):
        """Send announcements periodically."""
        while True:
            self.announce()
            await trio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    def announce(self, leaving=False):
        """Send one announcement through the fabric."""
        self.sequence += 1
        options = self.options
        parameters = {
            "ep": options.address,
            "d": options.service,
            "base": f"coap://{options.address}",
            "dc": options.data_centre,
            "lt": LIFETIME_SECONDS,
            "inc": self.incarnation,
            "seq": self.sequence,
            "slots": options.slots,
            "conn": options.connections,
            "busy": self.busy,
            "queued": self.queued(),
            "sessions": self.active_sessions(),
            "draining": int(self.draining),
            "leaving": int(leaving),
        }
        token = self.sequence.to_bytes(4, "big")
        mid = self.sequence & 0xFFFF
        data = build_announcement(options.key.encode(), mid, token, parameters)
        self.socket.sendto(data, parse_address(options.registry))

    # Datagrams.

    async def read(self):
        """Read and handle the datagrams of instances."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            for data, source in read_datagrams(self.socket):
                if data.startswith(b"\r\n\r\n"):
                    self.handle(data, source)
            await trio.lowlevel.checkpoint()

    def handle(self, data, source):
        """Handle a datagram with a PROXY protocol header."""
        caller, front_door, payload = split_header(data)
        if front_door not in self.front_doors:
            self.log_event("misrouted", front_door=list(front_door))
        elif payload.startswith(b"S|"):
            self.handle_stream(caller, front_door, payload, source)
        else:
            self.handle_request(caller, front_door, coap.decode_message(payload), source)

    def handle_stream(self, caller, front_door, payload, source):
        """Answer a packet of a session: `S|session|number`."""
        _, session, number = payload.decode().split("|")
        if session not in self.sessions:
            self.log_event("session", session=session, number=int(number))
            if int(number) > 0:
                self.log_event("broken", session=session, number=int(number))
        self.sessions[session] = (caller, time.monotonic())
        answer = f"A|{session}|{number}|{self.options.address}".encode()
        self.socket.sendto(build_header(caller, front_door) + answer, source)

    def handle_request(self, caller, front_door, message, source):
        """Queue a request, or shed it if the queue is full; deduplicate it."""
        if message.mtype is types.RST:
            self.cancelled.add((caller, message.mid))
            return
        if not message.code.is_request():
            return
        identity = (caller, message.mid)
        if identity in self.answers:
            if self.answers[identity]:
                self.socket.sendto(self.answers[identity], source)
            return
        self.answers[identity] = b""
        try:
            self.job_sender.send_nowait((Job(caller, front_door, message), source))
        except trio.WouldBlock:
            self.log_event("shed", request=message.payload.decode())
            self.reply(Job(caller, front_door, message), source, codes.SERVICE_UNAVAILABLE)

    async def serve_slot(self):
        """Run queued requests in one slot."""
        async for job, source in self.job_receiver:
            request = job.message.payload.decode()
            if (job.caller, job.message.mid) in self.cancelled:
                self.log_event("cancelled", request=request)
                continue
            self.busy += 1
            self.log_event("run", request=request, code=str(job.message.code))
            cold = max(0.0, 1 - (time.monotonic() - self.started_at) / COLD_START_SECONDS)
            mean = self.options.service_seconds * (1 + 4 * cold)
            await trio.sleep(self.random.uniform(0.5, 1.5) * mean)
            self.busy -= 1
            self.answer(job, source)

    def answer(self, job, source):
        """Answer a completed request with a block of the report, or a receipt."""
        if job.message.code != codes.GET:
            self.reply(job, source, codes.CHANGED, job.message.payload)
            return
        block = job.message.opt.block2
        number = block.block_number if block is not None else 0
        body = build_report(job.message.opt.uri_path[-1], self.options.report_blocks)
        part = body[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES]
        more = (number + 1) * BLOCK_BYTES < len(body)
        self.reply(job, source, codes.CONTENT, part, (number, more, 4))

    def reply(self, job, source, code, payload=b"", block2=None):
        """Send an answer and store it, to answer duplicates of the request."""
        request = job.message
        message = coap.Message(
            _mtype=types.ACK, _mid=request.mid, _token=request.token, code=code, payload=payload
        )
        if block2 is not None:
            message.opt.block2 = block2
        data = build_header(job.caller, job.front_door) + message.encode()
        self.answers[job.caller, request.mid] = data
        self.socket.sendto(data, source)


def build_report(name, blocks):
    """Return the complete report `name`, `blocks` blocks of BLOCK_BYTES."""
    return (name.encode() * (BLOCK_BYTES * blocks // len(name) + 1))[: BLOCK_BYTES * blocks]


if __name__ == "__main__":
    trio.run(Upstream(Options(**json.loads(sys.argv[1]))).run)
