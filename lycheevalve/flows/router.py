"""
Routing of datagrams from the fabric, other instances and upstreams.

The fabric, the network in front of the instances, may send any caller's datagram to
any instance, which relays it to the owner of its flow's shard if that is another
instance. An upstream's answer returns to the fabric from the instance that receives it.
"""

import attrs

from lycheevalve.exceptions import AnnouncementError, DatagramError
from lycheevalve.flows import announcements, coap
from lycheevalve.flows.keys import SHARD_MASK, flow_key, front_door_bytes, split_header

# The first byte of a datagram relayed by another instance; the hop count follows.
RELAY = 0x52
# The limit of relays per datagram, reached if instances differ about the owner.
MAX_HOPS = 3
# Set in the hop count of a datagram that is relayed to the holder of its claim.
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
        """Return the bytes after the header."""
        return self.datagram[self.offset :]


def split_packet(datagram):
    """Return the Packet of a datagram; raise DatagramError if its header is invalid."""
    endpoints, offset = split_header(datagram)
    return Packet(endpoints, offset, datagram)


@attrs.frozen
class FrontDoorEntry:
    """The kind of a front door (STREAM, REQUEST, REGISTRY), and its service unless REGISTRY."""

    kind: str
    service: object = None


@attrs.define
class Router:
    """
    The routing of one instance.

    `key` verifies announcements; `fabric` holds the fabric's addresses. `owner(shard)`
    returns the owner of a shard; `choose_relay_target()` the instance to relay to while
    this one joins, or ''. `relay(name, datagram)` sends to an instance,
    `send_to_fabric(datagram)` to a caller. `announce(registration, now)` stores an
    upstream's registration.
    """

    local_name: str
    key: bytes
    fabric: frozenset
    upstreams: object
    streams: object
    requests: object
    owner: object
    choose_relay_target: object
    relay: object
    send_to_fabric: object
    announce: object
    observe: object
    front_doors: dict[bytes, FrontDoorEntry] = attrs.field(factory=dict)
    services: dict[str, object] = attrs.field(factory=dict)

    def handle(self, datagram, source, now):
        """Handle a datagram that starts with a PROXY protocol header."""
        upstream = self.upstreams.by_address.get(source)
        if upstream is not None:
            self.handle_upstream(upstream, split_packet(datagram), now)
        elif source in self.fabric:
            self.handle_caller(split_packet(datagram), 0, now)
        else:
            self.observe("foreign_datagrams")

    def handle_relayed(self, data, now):
        """Handle a datagram relayed by another instance."""
        if len(data) < 2:
            raise DatagramError("relayed datagram is truncated", "relay")
        self.handle_caller(split_packet(data[2:]), data[1], now)

    def handle_caller(self, packet, hops, now):
        """Serve a caller's datagram, or relay it to the owner of its shard."""
        front_door = self.front_doors.get(front_door_bytes(packet.endpoints))
        if front_door is None:
            self.relay_unconfigured(packet, hops)
            return
        if front_door.kind == REGISTRY:
            self.handle_announcement(packet, now)
            return
        key = flow_key(packet.endpoints)
        owner = self.owner(key & SHARD_MASK)
        if owner == self.local_name or hops & DIRECTED:
            self.serve(front_door, key, packet, hops, now)
        elif owner and hops < MAX_HOPS:
            self.relay(owner, bytes((RELAY, hops + 1)) + packet.datagram)
        else:
            self.observe("no_owner")

    def relay_unconfigured(self, packet, hops):
        """Relay a datagram for which this joining instance has no configuration."""
        target = self.choose_relay_target()
        if target and hops < MAX_HOPS:
            self.relay(target, bytes((RELAY, hops + 1)) + packet.datagram)
        else:
            self.observe("unknown_front_door")

    def serve(self, front_door, key, packet, hops, now):
        """Pass a caller's datagram to the streams or the requests."""
        if front_door.kind == STREAM:
            self.streams.forward(key, front_door.service, packet.datagram, now)
        else:
            directed = bool(hops & DIRECTED)
            self.requests.handle_request(packet, front_door.service, now, directed)

    def handle_upstream(self, upstream, packet, now):
        """Forward an upstream's answer if it is from a front door of its own service."""
        front_door = self.front_doors.get(front_door_bytes(packet.endpoints))
        if (
            front_door is None
            or front_door.kind == REGISTRY
            or front_door.service.name != upstream.service
        ):
            self.observe("foreign_answers")
            return
        upstream.answered_at = now
        if front_door.kind == STREAM:
            self.send_to_fabric(packet.datagram)
        else:
            self.requests.handle_answer(upstream, packet, now)

    def handle_announcement(self, packet, now):
        """Handle an upstream's announcement: store or refuse it, and reply."""
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
        self.send_to_fabric(packet.header + reply)
