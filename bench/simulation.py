"""
A simulated site under load, for the placement and request benches.

Runs the instances' production logic in simulated time with simulated upstreams that
have slots and a queue.
"""

import collections
import heapq
import itertools
import random

import attrs
from aiocoap.numbers import codes, types

from lycheevalve.flows import coap
from lycheevalve.schema.generated.messages import Configuration, Registration
from lycheevalve.schema.generated.settings import FrontDoor, Service
from lycheevalve.tests.fakes.proxy import build_header
from lycheevalve.tests.fakes.site import DATA_CENTRES, FABRIC, Site
from lycheevalve.utils.addresses import parse_address

STREAM_FRONT_DOOR = "10.8.0.1:7001"
REQUEST_FRONT_DOOR = "10.8.0.1:7002"
ENCODED_STREAM_PORT = (7001).to_bytes(2, "big")
REGISTRATION_LIFETIME_SECONDS = 4.0
MAX_QUEUED_REQUESTS = 6
# After a start, requests take up to 5 times as long; the factor falls to 1 in this time.
COLD_START_SECONDS = 3.0


@attrs.define
class SiteSize:
    """The size of the site of one organisation, and its request times."""

    name: str
    instances: int
    upstreams: int
    slots: int
    # The average number of streams per upstream.
    streams: int
    service_seconds: float
    deadline_seconds: float


SITE_SIZES = {
    "lagos": SiteSize("lagos", 8, 7, 3, 250, 0.08, 2.0),
    "hvelfing": SiteSize("hvelfing", 8, 7, 2, 250, 0.05, 1.0),
}


@attrs.define(eq=False)
class SimulatedUpstream:
    """An upstream with slots, a limited queue, load reports, and faults."""

    address: str
    slots: int
    service_seconds: float
    random: random.Random
    # The flows of which any upstream has received a packet; shared by all upstreams.
    established: set
    service: str = "bench"
    up: bool = True
    started_at: float = 0.0
    incarnation: int = 1
    sequence: int = 0
    draining: bool = False
    # Faults: a factor on service times, reports of zero load, no answers, all requests
    # shed, and reports of the load that long ago.
    slowness: float = 1.0
    reports_no_load: bool = False
    unresponsive: bool = False
    sheds_all: bool = False
    report_delay_seconds: float = 0.0
    announce_at: float = 0.0
    sessions: dict = attrs.field(factory=dict)
    broken: set = attrs.field(factory=set)
    running: list = attrs.field(factory=list)
    queue: collections.deque = attrs.field(factory=collections.deque)
    cancelled: set = attrs.field(factory=set)
    past_reports: collections.deque = attrs.field(factory=collections.deque)
    arrivals: int = 0
    misrouted: list = attrs.field(factory=list)

    def next_registration(self, now, leaving=False):
        """Return the registration of the next announcement, with the load that it reports."""
        self.sequence += 1
        self.past_reports.append((now, len(self.running), len(self.queue), len(self.sessions)))
        while (
            len(self.past_reports) > 1
            and self.past_reports[1][0] <= now - self.report_delay_seconds
        ):
            self.past_reports.popleft()
        _, busy, queued, sessions = self.past_reports[0]
        if self.reports_no_load:
            busy = queued = sessions = 0
        return Registration(
            "bench", self.address, "dc1", self.incarnation, self.sequence,
            int(REGISTRATION_LIFETIME_SECONDS * 1000), self.slots, 2000, busy, queued, sessions,
            self.draining, leaving,
        )  # fmt: skip

    def handle(self, datagram, source, now):
        """Handle a stream's packet or a request; return the answers to send at once."""
        if datagram[26:28] == ENCODED_STREAM_PORT:
            self.handle_packet(datagram[16:28], datagram[28:29], now)
            return [datagram]
        return self.handle_request(datagram, source, now)

    def handle_packet(self, flow, kind, now):
        """
        Record a packet: `0` opens a flow, `1` continues it, `2` ends it.

        A flow whose opening packet is lost is opened by its next packet. An established
        flow without a session here is recorded as broken.
        """
        if flow not in self.sessions and flow in self.established:
            self.broken.add(flow)
        self.established.add(flow)
        if kind == b"2":
            self.sessions.pop(flow, None)
        else:
            self.sessions[flow] = now

    def handle_request(self, datagram, source, now):
        """Queue or shed a request; drop it if this upstream is unresponsive."""
        header, message = datagram[:28], coap.decode_message(datagram[28:])
        if message.mtype is types.RST:
            self.cancelled.add((header, message.mid))
            return []
        self.arrivals += 1
        if self.unresponsive:
            return []
        if self.sheds_all or len(self.queue) >= MAX_QUEUED_REQUESTS:
            return [header + coap.encode_reply(message.mid, message.token, coap.NOT_RUN)]
        self.queue.append((header, message, source))
        self.fill_slots(now)
        return []

    def fill_slots(self, now):
        """Start queued requests while there are free slots."""
        while self.queue and len(self.running) < self.slots:
            header, message, source = self.queue.popleft()
            if (header, message.mid) in self.cancelled:
                continue
            cold = max(0.0, 1 - (now - self.started_at) / COLD_START_SECONDS)
            mean = self.service_seconds * self.slowness * (1 + 4 * cold)
            end = now + self.random.uniform(0.5, 1.5) * mean
            reply = coap.encode_reply(message.mid, message.token, codes.CHANGED)
            heapq.heappush(self.running, (end, message.mid, header + reply, source))

    def pop_due(self, now):
        """Remove the requests that are due; return their (answer, receiver)."""
        done = []
        while self.running and self.running[0][0] <= now:
            _, _, answer, source = heapq.heappop(self.running)
            done.append((answer, source))
        self.fill_slots(now)
        return done


class Simulation(Site):
    """A site with simulated upstreams, one service, and callers of streams and requests."""

    def __init__(self, size, policy, seed):
        self.size = size
        self.policy = policy
        self.pending_starts = set()
        super().__init__(seed, size.instances, 0, 0)
        front_doors = [
            FrontDoor(STREAM_FRONT_DOOR, "stream"),
            FrontDoor(REQUEST_FRONT_DOOR, "request"),
        ]
        self.service = Service(
            "bench", front_doors, list(DATA_CENTRES),
            deadline_ms=int(size.deadline_seconds * 1000), warm_up_seconds=3,
        )  # fmt: skip
        self.configuration = Configuration(1, [self.service])
        self.traffic_random = random.Random(seed + 1)
        self.established = set()
        for number in range(size.upstreams):
            self.add_upstream(number)
        self.flows = {}
        self.flow_numbers = itertools.count()
        self.scheduled_packets = []
        self.request_number = 0
        self.pending = {}
        self.outcomes = collections.Counter()
        self.imbalance_samples = []

    def add_upstream(self, number):
        """Add an upstream; one beyond the site's initial number starts cold."""
        address = f"10.1.0.{number + 1}:7300"
        seeded = random.Random(number)
        size = self.size
        upstream = SimulatedUpstream(
            address, size.slots, size.service_seconds, seeded, self.established
        )
        upstream.started_at = self.now if number >= size.upstreams else self.now - 100
        self.upstreams[parse_address(address)] = upstream
        return upstream

    def start(self, name):
        """Start an instance with the policy under test."""
        super().start(name)
        self.policy.install(self.running[name])

    def step(self):
        """Run one step; start the pending instances whose graceful stop is complete."""
        super().step()
        for name in self.pending_starts - set(self.running):
            self.pending_starts.discard(name)
            self.start(name)

    def commit_drains(self, drained=()):
        """Commit a configuration that drains exactly the given addresses."""
        revision = self.configuration.revision + 1
        self.configuration = Configuration(revision, [self.service], sorted(drained))
        self.commit()

    def announce(self, registration):
        """Deliver an announcement to a random running instance, also during a partition."""
        live = sorted(set(self.running) - self.paused - self.leaving)
        self.running[self.random.choice(live)].leases.announce(registration, self.now)

    def run_upstream(self, address, upstream):
        """Send an upstream's announcement if it is due, and its due answers."""
        if not upstream.up:
            return
        if self.now >= upstream.announce_at:
            upstream.announce_at = self.now + 1.0
            self.announce(upstream.next_registration(self.now))
        for answer, receiver in upstream.pop_due(self.now):
            self.network.send(address, self.by_address[receiver], answer)

    def deliver(self, source, receiver, content):
        """Handle the answers that reach the fabric; deliver all else as `Site` does."""
        if receiver == FABRIC:
            self.handle_answer(content)
            return
        super().deliver(source, receiver, content)

    # Streams.

    def open_flow(self, lifetime):
        """Open a stream that ends after `lifetime` seconds."""
        number = next(self.flow_numbers)
        caller = (f"10.{5 + (number >> 16)}.{number >> 8 & 255}.{number & 255}", 5000)
        header = build_header(caller, parse_address(STREAM_FRONT_DOOR))
        self.flows[header] = self.now + lifetime
        self.send_to_random_instance(header + b"0")
        heapq.heappush(
            self.scheduled_packets, (self.now + self.traffic_random.uniform(0.5, 2.0), header)
        )

    def run_flows(self, interval):
        """Send the packets that are due; the last packet of a stream ends it."""
        while self.scheduled_packets and self.scheduled_packets[0][0] <= self.now:
            _, header = heapq.heappop(self.scheduled_packets)
            if self.now >= self.flows[header]:
                self.send_to_random_instance(header + b"2")
                continue
            self.send_to_random_instance(header + b"1")
            following = self.now + self.traffic_random.uniform(0.5, 1.5) * interval
            heapq.heappush(self.scheduled_packets, (following, header))

    def send_to_random_instance(self, datagram):
        """Send a caller's datagram to a random running instance."""
        live = sorted(set(self.running) - self.paused - self.leaving)
        self.network.queue.append((FABRIC, self.traffic_random.choice(live), datagram))

    # Requests.

    def send_request(self, idempotent):
        """Send a request from a new caller."""
        self.request_number += 1
        number = self.request_number
        caller = (f"10.{100 + (number >> 16)}.{number >> 8 & 255}.{number & 255}", 6000)
        header = build_header(caller, parse_address(REQUEST_FRONT_DOOR))
        message = coap.Message(
            _mtype=types.CON, _mid=number & 0xFFFF, _token=b"t",
            code=codes.PUT if idempotent else codes.POST, uri_path=("r",),
        )  # fmt: skip
        self.pending[header] = self.now
        self.outcomes["asked"] += 1
        self.send_to_random_instance(header + message.encode())

    def handle_answer(self, datagram):
        """Count the first answer to a request as good, late, refused or unknown."""
        if datagram[26:28] == ENCODED_STREAM_PORT:
            return
        asked_at = self.pending.pop(datagram[:28], None)
        if asked_at is None:
            return
        code = coap.decode_message(datagram[28:]).code
        late = self.now - asked_at > self.size.deadline_seconds
        outcome_by_code = {codes.CHANGED: "late" if late else "good", coap.NOT_RUN: "refused"}
        self.outcomes[outcome_by_code.get(code, "unknown")] += 1
        if code == coap.NOT_RUN:
            self.outcomes["refused_within_100ms"] += self.now - asked_at <= 0.1

    # Measurements.

    def sample_imbalance(self):
        """Record the imbalance of streams over the upstreams that accept new ones."""
        drained = set(self.configuration.drained)
        loads = [
            len(u.sessions)
            for u in self.upstreams.values()
            if u.up and not u.draining and u.address not in drained
        ]
        if sum(loads):
            self.imbalance_samples.append(max(loads) * len(loads) / sum(loads))

    def broken_flows(self):
        """Return the established streams that reached an upstream without their session."""
        return set().union(*(upstream.broken for upstream in self.upstreams.values()))
