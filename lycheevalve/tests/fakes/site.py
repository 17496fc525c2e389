"""
Instances connected by an in-memory queue, with fake upstreams.

The upstreams record what they ran and received, for the tests to check against.
"""

import collections
import random

import attrs
from aiocoap.numbers import codes, types

from lycheevalve.flows import coap
from lycheevalve.flows.upstreams import MAX_TRANSIT_SECONDS
from lycheevalve.instance import Instance
from lycheevalve.schema.generated.messages import Configuration, Registration
from lycheevalve.schema.generated.settings import FrontDoor, Service
from lycheevalve.schema.generated.settings import Instance as Settings
from lycheevalve.tests.fakes.network import Network
from lycheevalve.tests.fakes.proxy import build_header, split_header
from lycheevalve.utils.addresses import parse_address

STEP_SECONDS = 0.01
ANNOUNCE_INTERVAL_SECONDS = 1.0
LIFETIME_MS = 3000
FABRIC = ("10.9.0.1", 7000)
FRONT_DOORS = {
    ("nightsync", "stream"): "10.8.0.1:7001",
    ("nightsync", "request"): "10.8.0.1:7002",
    ("restreport", "stream"): "10.8.0.2:7001",
    ("restreport", "request"): "10.8.0.2:7002",
}
DATA_CENTRES = ("dc1", "dc2")


def build_configuration(revision=1, drained=(), deadline_ms=4000):
    """Return a configuration with two services of both kinds."""
    services = []
    for name in ("nightsync", "restreport"):
        front_doors = [
            FrontDoor(FRONT_DOORS[name, kind], kind) for kind in ("stream", "request")
        ]
        services.append(
            Service(
                name,
                front_doors,
                list(DATA_CENTRES),
                deadline_ms=deadline_ms,
                warm_up_seconds=1,
            )
        )
    return Configuration(revision, services, sorted(drained))


@attrs.define(eq=False)
class FakeUpstream:
    """An upstream that records the requests that it ran and the sessions it served."""

    address: str
    service: str
    incarnation: int = 1
    sequence: int = 0
    slots: int = 3
    delay: float = 0.02
    # How it handles requests: "run", "shed", or "swallow" (run without an answer).
    mode: str = "run"
    draining: bool = False
    up: bool = True
    announce_at: float = 0.0
    returns_at: float = 0.0
    sessions: dict = attrs.field(factory=dict)
    runs: collections.Counter = attrs.field(factory=collections.Counter)
    misrouted: list = attrs.field(factory=list)
    replies: dict = attrs.field(factory=dict)
    # Running requests: (time of the answer, (caller, message ID), answer, receiver).
    due: list = attrs.field(factory=list)
    cancelled: set = attrs.field(factory=set)
    # Times at which new sessions or requests arrived.
    new_work: list = attrs.field(factory=list)

    def next_registration(self, leaving=False):
        """Increment the sequence number; return the next announcement's registration."""
        self.sequence += 1
        return Registration(
            service_name=self.service,
            address=self.address,
            data_centre="dc1",
            incarnation=self.incarnation,
            sequence=self.sequence,
            lifetime_ms=LIFETIME_MS,
            slots=self.slots,
            connections=2000,
            busy=len(self.due),
            sessions=len(self.sessions),
            draining=self.draining,
            leaving=leaving,
        )

    def change_service(self, service, now):
        """Stop, and return with another service once the lease has expired."""
        self.up = False
        self.returns_at = now + LIFETIME_MS / 1000 + MAX_TRANSIT_SECONDS
        self.service = service
        self.incarnation += 1
        self.sessions, self.replies, self.due = {}, {}, []
        self.announce_at = 0.0

    def handle(self, datagram, source, now):
        """Handle a datagram; return the answers to send at once."""
        caller, front_door, payload = split_header(datagram)
        kinds = [
            kind
            for kind in ("stream", "request")
            if parse_address(FRONT_DOORS[self.service, kind]) == front_door
        ]
        if not kinds:
            self.misrouted.append((now, front_door, payload))
            return []
        if kinds == ["stream"]:
            session = (caller, payload.partition(b"|")[0])
            if session not in self.sessions:
                self.new_work.append(now)
            self.sessions[session] = now
            return [build_header(caller, front_door) + payload + b"|" + self.address.encode()]
        return self.handle_request(caller, front_door, payload, source, now)

    def handle_request(self, caller, front_door, payload, source, now):
        """Run, shed or swallow a request; answer a duplicate as the first one."""
        message = coap.decode_message(payload)
        identity = caller, message.mid
        if message.mtype is types.RST:
            self.cancelled.add(identity)
            return []
        if identity in self.replies:
            return [self.replies[identity]] if self.replies[identity] else []
        self.new_work.append(now)
        if self.mode == "shed":
            code = codes.SERVICE_UNAVAILABLE
            reply = coap.encode_reply(message.mid, message.token, code)
            self.replies[identity] = build_header(caller, front_door) + reply
            return [self.replies[identity]]
        self.replies[identity] = b""
        self.runs[message.payload] += 1
        reply = coap.encode_reply(message.mid, message.token, codes.CHANGED, message.payload)
        if self.mode != "swallow":
            answer = build_header(caller, front_door) + reply
            self.due.append((now + self.delay, identity, answer, source))
        return []

    def pop_due(self, now):
        """Remove the requests that are due; return their (answer, receiver)."""
        done = [job for job in self.due if job[0] <= now]
        self.due = [job for job in self.due if job[0] > now]
        for _, identity, answer, _ in done:
            self.replies[identity] = answer
        return [(answer, source) for _, _, answer, source in done]


class Site:
    """A simulated site of instances and fake upstreams; a caller is only an address."""

    def __init__(self, seed, instances=4, nightsync=3, restreport=2, **network):
        self.random = random.Random(seed)
        self.network = Network(self.random, **network)
        self.now = 1000.0
        self.names = [f"a{number}" for number in range(1, instances + 1)]
        self.addresses = {n: f"10.0.0.{i}:7100" for i, n in enumerate(self.names, 1)}
        self.by_address = {parse_address(a): n for n, a in self.addresses.items()}
        self.running = {}
        self.paused = set()
        self.leaving = set()
        self.incarnation = 0
        self.configuration = build_configuration()
        services = ["nightsync"] * nightsync + ["restreport"] * restreport
        self.upstreams = {
            parse_address(f"10.1.0.{i}:7300"): FakeUpstream(f"10.1.0.{i}:7300", service)
            for i, service in enumerate(services, 1)
        }
        # The answers to callers: (time, caller, front door, payload).
        self.answers = []
        for name in self.names:
            self.start(name)

    # Events.

    def start(self, name):
        """Start an instance with a new incarnation and without state."""
        self.incarnation += 1
        settings = Settings(
            name=name,
            data_centre=DATA_CENTRES[self.names.index(name) % 2],
            site="test",
            address=self.addresses[name],
            peers=[f"{n}@{a}" for n, a in self.addresses.items() if n != name],
            fabric=["10.9.0.1:7000"],
            registry="10.8.0.3:5683",
            control_bytes_per_second=4096,
            takeover_seconds=20,
        )
        seeded = random.Random(self.random.random())
        instance = Instance(settings, b"key", self.incarnation, seeded, self.now)
        self.running[name] = instance

    def kill(self, name):
        """Stop an instance at once, without a graceful stop."""
        self.running.pop(name, None)
        self.paused.discard(name)
        self.leaving.discard(name)

    def stop(self, name):
        """Start the graceful stop of an instance."""
        self.running[name].leave(self.now)
        self.leaving.add(name)

    def configure(self, **options):
        """Build the next configuration from `options` and commit it at one instance."""
        revision = self.configuration.revision + 1
        self.configuration = build_configuration(revision, **options)
        self.commit()

    def commit(self):
        """Pass the committed configuration to one random instance, as its replica would."""
        name = self.random.choice(sorted(set(self.running) - self.paused))
        dissemination = self.running[name].dissemination
        dissemination.handle_commit(self.configuration, [], self.now)

    def send(self, caller, service, kind, payload, instance=None):
        """Send a caller's datagram to one instance, random by default; return its name."""
        live = sorted(set(self.running) - self.paused - self.leaving)
        name = instance or self.random.choice(live)
        front_door = parse_address(FRONT_DOORS[service, kind])
        self.network.queue.append((FABRIC, name, build_header(caller, front_door) + payload))
        return name

    # Time.

    def run(self, seconds):
        """Advance the simulated time by some seconds."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self):
        """Run one step: timers, upstreams, then the messages in flight."""
        self.now += STEP_SECONDS
        for name in list(self.running):
            if name not in self.paused:
                self.running[name].run_timers(self.now)
                self.flush(name)
                self.end_leaving(name)
        for address, upstream in self.upstreams.items():
            self.run_upstream(address, upstream)
        for source, receiver, content in self.network.pop():
            self.deliver(source, receiver, content)

    def end_leaving(self, name):
        """Remove an instance whose graceful stop is complete."""
        if name in self.leaving and self.running[name].has_left(self.now):
            self.running[name].announce_left(self.now)
            self.flush(name)
            self.kill(name)

    def run_upstream(self, address, upstream):
        """Send an upstream's announcement if it is due, and its due answers."""
        if not upstream.up:
            upstream.up = bool(upstream.returns_at) and self.now >= upstream.returns_at
            return
        if self.now >= upstream.announce_at:
            upstream.announce_at = self.now + ANNOUNCE_INTERVAL_SECONDS
            self.announce(upstream.next_registration())
        for answer, receiver in upstream.pop_due(self.now):
            self.network.send(address, self.by_address[receiver], answer)

    def announce(self, registration):
        """Deliver an announcement to a random instance; during a cut, in its data centre."""
        live = sorted(set(self.running) - self.paused - self.leaving)
        if self.network.cuts:
            local = registration.data_centre
            live = [n for n in live if self.running[n].settings.data_centre == local]
        if live:
            self.running[self.random.choice(live)].leases.announce(registration, self.now)

    def deliver(self, source, receiver, content):
        """Deliver a datagram or message to its receiver."""
        if receiver in self.upstreams:
            upstream = self.upstreams[receiver]
            if upstream.up:
                for answer in upstream.handle(content, source, self.now):
                    self.network.send(receiver, self.by_address[source], answer)
        elif receiver == FABRIC:
            caller, front_door, payload = split_header(content)
            self.answers.append((self.now, caller, front_door, payload))
        elif receiver in self.running and receiver not in self.paused:
            instance = self.running[receiver]
            instance.observe_time(self.now)
            if isinstance(content, bytes):
                instance.handle_datagram(content, source, self.now)
            else:
                instance.handle_message(source, content, self.now)
            self.flush(receiver)

    def flush(self, name):
        """Move the datagrams and messages that an instance has queued to the network."""
        instance = self.running[name]
        own = parse_address(self.addresses[name])
        datagrams, instance.datagrams = instance.datagrams, []
        for datagram, address in datagrams:
            target = self.by_address.get(address, address)
            source = name if target in self.addresses else own
            self.network.send(source, target, datagram)
        queued, instance.messages = instance.messages, []
        for receiver, message in queued:
            self.network.send(name, receiver, message)

    # Queries.

    def run_until_settled(self, seconds=3.0):
        """Run until all instances have applied the configuration and are informed."""
        self.run(0.5)
        self.commit()
        self.run(seconds)
        for instance in self.running.values():
            assert instance.dissemination.applied.revision == self.configuration.revision
            assert instance.claims.informed

    def answers_to(self, caller):
        """Return the payloads of a caller's answers."""
        return [payload for _, to, _, payload in self.answers if to == caller]

    def misrouted(self):
        """Return the datagrams that reached an upstream of another service."""
        return [entry for upstream in self.upstreams.values() for entry in upstream.misrouted]
