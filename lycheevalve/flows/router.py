"""
The way of a datagram: from the fabric, another instance or an upstream.

Any instance may get any datagram. What belongs to a shard of another instance
is relayed to its owner; answers of upstreams go back through the fabric from
wherever they arrive.
"""

import attrs

from lycheevalve.exceptions import AnnouncementError, DatagramError
from lycheevalve.flows import announcements, coap
from lycheevalve.flows.keys import SHARD_MASK, flow_key, front_door_bytes, split_header

RELAY = 0x52
# How often a datagram may be relayed while views of the owner differ.
MAX_HOPS = 3
# Set in the hop count of a datagram that goes to the holder of its claim.
DIRECTED = 0x80

STREAM = "stream"
REQUEST = "request"
REGISTRY = "registry"


@attrs.define
class Packet:
    """A datagram of a caller or an upstream, split at its header."""

    endpoints: bytes
    offset: int
    datagram: bytes

    @property
    def header(self):
        """Return the PROXY protocol header."""
        return self.datagram[: self.offset]

    @property
    def payload(self):
        """Return what follows the header."""
        return self.datagram[self.offset :]


def split_packet(datagram):
    """Return the Packet of a datagram; raise DatagramError."""
    endpoints, offset = split_header(datagram)
    return Packet(endpoints, offset, datagram)


@attrs.frozen
class FrontDoorEntry:
    """What a front door leads to."""

    kind: str
    service: object = None


@attrs.define
class Router:
    """
    The routes of one instance.

    `owner(shard)` names the owner of a shard, `helper()` another instance while
    this one starts; `relay(name, datagram)` sends to
    an instance, `to_fabric(datagram)` to a caller; `announce(registration,
    now)` takes what an upstream said of itself.
    """

    me: str
    key: bytes
    fabric: frozenset
    upstreams: object
    streams: object
    requests: object
    owner: object
    helper: object
    relay: object
    to_fabric: object
    announce: object
    observe: object
    front_doors: dict[bytes, FrontDoorEntry] = attrs.field(factory=dict)
    services: dict[str, object] = attrs.field(factory=dict)

    def handle(self, datagram, source, now):
        """Take a datagram that starts with a PROXY protocol header."""
        upstream = self.upstreams.by_address.get(source)
        if upstream is not None:
            self.handle_upstream(upstream, split_packet(datagram), now)
        elif source in self.fabric:
            self.handle_caller(split_packet(datagram), 0, now)
        else:
            self.observe("foreign_datagrams")

    def handle_relayed(self, data, now):
        """Take a datagram that another instance relayed."""
        if len(data) < 2:
            raise DatagramError("truncated relay", "relay")
        self.handle_caller(split_packet(data[2:]), data[1], now)

    def handle_caller(self, packet, hops, now):
        """Serve a caller's datagram here, or relay it to its owner."""
        door = self.front_doors.get(front_door_bytes(packet.endpoints))
        if door is None:
            self.ask_helper(packet, hops)
            return
        if door.kind == REGISTRY:
            self.handle_announcement(packet, now)
            return
        key = flow_key(packet.endpoints)
        owner = self.owner(key & SHARD_MASK)
        if owner == self.me or hops & DIRECTED:
            self.serve(door, key, packet, hops, now)
        elif owner and hops < MAX_HOPS:
            self.relay(owner, bytes((RELAY, hops + 1)) + packet.datagram)
        else:
            self.observe("no_owner")

    def ask_helper(self, packet, hops):
        """Relay what an instance that has no settings yet can't judge."""
        helper = self.helper()
        if helper and hops < MAX_HOPS:
            self.relay(helper, bytes((RELAY, hops + 1)) + packet.datagram)
        else:
            self.observe("unknown_front_door")

    def serve(self, door, key, packet, hops, now):
        """Hand a datagram of an own shard to the streams or the requests."""
        if door.kind == STREAM:
            self.streams.forward(key, door.service, packet.datagram, now)
        else:
            directed = bool(hops & DIRECTED)
            self.requests.handle_request(packet, door.service, now, directed)

    def handle_upstream(self, upstream, packet, now):
        """Take an answer: only of the upstream's own service, and only while it serves."""
        door = self.front_doors.get(front_door_bytes(packet.endpoints))
        if door is None or door.kind == REGISTRY or door.service.name != upstream.service:
            self.observe("foreign_answers")
            return
        upstream.answered_at = now
        if door.kind == STREAM:
            self.to_fabric(packet.datagram)
        else:
            self.requests.handle_answer(upstream, packet, now)

    def handle_announcement(self, packet, now):
        """Take an upstream's announcement and answer it."""
        message = coap.decode_message(packet.payload)
        if not message.code.is_request():
            return
        code = coap.codes.CREATED
        reason = b""
        try:
            registration = announcements.read_announcement(self.key, message)
            announcements.check_registration(registration, self.services)
            self.announce(registration, now)
        except AnnouncementError as error:
            self.observe("refused_announcements", str(error))
            code, reason = coap.codes.BAD_REQUEST, str(error).encode()
        reply = coap.encode_reply(message.mid, message.token, code, reason)
        self.to_fabric(packet.header + reply)
