"""Builders of registrations and packets, and a cookie router that records its output."""

import random

import attrs

from lycheevalve.flows.cookie_routing import CookieRouter
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.flows.packets import Packet
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.schema.generated.messages import Registration

LIFETIME_MS = 4000
FRONT_DOOR = (b"\xc6\x12\x00\x01", 443)
OTHER_FRONT_DOOR = (b"\xc6\x12\x00\x02", 8443)
ROUTES = {
    FRONT_DOOR: FrontDoorRoute((("nightsync", 1),), idempotent=True),
    OTHER_FRONT_DOOR: FrontDoorRoute((("restreport", 1),)),
}
CALLER_WINDOW_BYTES = 100


def build_registration(number=1, service="nightsync", **values):
    """Return an upstream's registration, with defaults for missing values."""
    defaults = {
        "service_name": service,
        "address": f"10.128.0.{number}:8080",
        "data_centre": "dc1",
        "incarnation": 1000 + number,
        "sequence": 1,
        "lifetime_ms": LIFETIME_MS,
        "slots": 2,
        "name": f"i-{number:08x}",
    }
    return Registration(**(defaults | values))


def build_packet(flow_key=b"flow-1", front_door=FRONT_DOOR, **values):
    """Return a caller's packet, with defaults for missing values."""
    defaults = {
        "cookie": 0,
        "opens": False,
        "copy": 0,
        "ends": False,
        "sequence": 0,
        "acknowledged": 0,
        "size": 0,
        "raw": b"",
    }
    return Packet(flow_key=flow_key, front_door=front_door, **(defaults | values))


@attrs.define(eq=False, slots=False)
class FakeEntry:
    """The cookie router of one entry instance, and a record of its output and events."""

    seed: int = 1
    synced: bool = True
    sent: list = attrs.field(factory=list)
    resets: list = attrs.field(factory=list)
    counters: dict = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.cookie_router = CookieRouter(
            upstreams=Upstreams(),
            random=random.Random(self.seed),
            forward=lambda upstream, cookie, packet: self.sent.append(
                (upstream, cookie, packet)
            ),
            reset=self.resets.append,
            observe=self.count,
            is_synced=lambda now: self.synced,
        )

    def count(self, name, **details):
        """Count and record an event."""
        self.counters[name] = self.counters.get(name, 0) + 1
        self.events.append((name, details))

    def update_upstreams(self, *registrations, now=0.0):
        """Apply registrations."""
        for registration in registrations:
            self.cookie_router.update_upstream(registration, now)

    def configure(self, routes=None, now=0.0):
        """Set the routes, by default ROUTES."""
        self.cookie_router.set_routes(ROUTES if routes is None else routes, now)

    def handle(self, packet, now=0.0):
        """Handle a packet; return what was forwarded, (upstream, cookie, packet), or None."""
        before = len(self.sent)
        self.cookie_router.handle_packet(packet, now)
        return self.sent[before] if len(self.sent) > before else None


def build_entry(count=2, **values):
    """Return an entry instance with routes and `count` upstreams of nightsync."""
    entry = FakeEntry(**values)
    entry.update_upstreams(*(build_registration(number) for number in range(1, count + 1)))
    entry.configure()
    return entry
