"""
The platform's packets: parsed into front_doors.Packet and built as datagrams.

A packet is a big-endian header of 34 bytes and up to 1,200 bytes of data.
"""

import functools
import re
import socket
import struct

from lycheevalve.exceptions import DatagramError
from lycheevalve.flows.front_doors import Packet

# echo, seq, ack, sum, flags, pad, src, dport, sport, dst, len
HEADER = struct.Struct(">IIIIB3s4sHH4sH")
MAX_DATA_BYTES = 1200
# The cookie is the first field of the header; the platform calls it echo.
COOKIE = struct.Struct(">I")
COOKIE_BYTES = 4
# The id of the intended target precedes each packet to a target.
TARGET = struct.Struct(">Q")
ANY_TARGET = 0

# Each request carries its id in this HTTP header.
REQUEST_ID = re.compile(rb"\r\nX-Lycheevalve-Request-Id:[ \t]*([!-~]{1,64})", re.IGNORECASE)

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 1, 4, 2
KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED
ZERO_PADDING = bytes(3)


def read_packet(data):
    """Return the Packet in a datagram; raise DatagramError when it is malformed."""
    if len(data) < HEADER.size:
        raise DatagramError(
            f"a datagram of {len(data)} bytes is shorter than the header", "read packet"
        )
    cookie, sequence, ack, _, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(data)
    if size != len(data) - HEADER.size or size > MAX_DATA_BYTES:
        reason = f"invalid length {size} in a datagram of {len(data)} bytes"
        raise DatagramError(reason, "read packet")
    if flags & ~KNOWN_FLAGS:
        raise DatagramError(f"unknown flags {flags:#x}", "read packet")
    opens = flags & (SYN | ACK | RST) == SYN
    return Packet(
        flow_key=src + dst + struct.pack(">HH", sport, dport),
        front_door=(dst, dport),
        cookie=cookie,
        opens=opens,
        # In an opening packet this field counts the earlier transmissions.
        copy=ack if opens else 0,
        ends=bool(flags & (FIN | RST)),
        sequence=sequence,
        acknowledged=ack,
        size=size,
        raw=data,
        request=find_request(data) if size else "",
    )


def find_request(data):
    """Return the id of the request that begins in a packet, or an empty string."""
    found = REQUEST_ID.search(data, HEADER.size)
    return found[1].decode() if found else ""


def describe_flow(packet):
    """Return a flow as `caller-front door`, each as `ip:port`."""
    _, _, _, _, _, _, src, dport, sport, dst, _ = HEADER.unpack_from(packet.raw)
    return f"{socket.inet_ntoa(src)}:{sport}-{socket.inet_ntoa(dst)}:{dport}"


@functools.lru_cache(maxsize=4096)
def encode_target(name):
    """Return the 8 bytes of a target's id, or those of any target for an invalid id."""
    digits = name.rpartition("-")[2]
    try:
        return TARGET.pack(int(digits, 16))
    except (ValueError, struct.error):
        return TARGET.pack(ANY_TARGET)


def build_forward(upstream, cookie, packet):
    """Return the (datagram, address) that forwards a packet to its upstream."""
    data = packet.raw
    if packet.cookie != cookie:
        data = COOKIE.pack(cookie) + data[COOKIE_BYTES:]
    return encode_target(upstream.registration.name) + data, upstream.address


def build_reset(packet, port):
    """Return the (datagram, address) of a reset to the packet's sender at `port`."""
    _, _, ack, _, _, _, src, dport, sport, dst, _ = HEADER.unpack_from(packet.raw)
    # The sender accepts a reset whose sequence number is close to its last acknowledgement.
    data = HEADER.pack(0, ack, 0, 0, RST, ZERO_PADDING, dst, sport, dport, src, 0)
    return data, (socket.inet_ntoa(src), port)
