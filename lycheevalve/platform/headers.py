"""
The headers of the platform's packets.

A packet is a big-endian header of 34 bytes and up to 1,200 bytes of data. This module is
imported before all others, see early.py, and so imports little itself.
"""

import struct

from lycheevalve.flows.packets import Packet

# echo, seq, ack, sum, flags, pad, src, dport, sport, dst, len
HEADER = struct.Struct(">IIIIB3s4sHH4sH")
PORTS = struct.Struct(">HH")
MAX_DATA_BYTES = 1200
# The cookie is the first field of the header; the platform calls it echo.
COOKIE = struct.Struct(">I")
COOKIE_BYTES = 4
# The id of the intended target precedes each packet to a target.
TARGET = struct.Struct(">Q")
ANY_TARGET = 0

SYN, ACK, FIN, RST, BOUNCED = 8, 32, 1, 4, 2
KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED
ZERO_PADDING = bytes(3)


def read_packet(data):
    """Return the Packet in a datagram, without its request; raise ValueError if malformed."""
    if len(data) < HEADER.size:
        raise ValueError(f"a datagram of {len(data)} bytes is shorter than the header")
    cookie, sequence, ack, _, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(data)
    if size != len(data) - HEADER.size or size > MAX_DATA_BYTES:
        raise ValueError(f"invalid length {size} in a datagram of {len(data)} bytes")
    if flags & ~KNOWN_FLAGS:
        raise ValueError(f"unknown flags {flags:#x}")
    opens = flags & (SYN | ACK | RST) == SYN
    return Packet(
        flow_key=src + dst + PORTS.pack(sport, dport),
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
    )


def encode_target(name):
    """Return the 8 bytes of a target's id, or those of any target for an invalid id."""
    digits = name.rpartition("-")[2]
    try:
        return TARGET.pack(int(digits, 16))
    except (ValueError, struct.error):
        return TARGET.pack(ANY_TARGET)


def build_forward(target, cookie, packet):
    """Return the datagram that forwards a packet; `target` is the encoded id of its target."""
    data = packet.raw
    if packet.cookie != cookie:
        data = COOKIE.pack(cookie) + data[COOKIE_BYTES:]
    return target + data
