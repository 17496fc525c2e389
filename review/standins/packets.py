"""The packets of the platform, as PROTOCOL.md gives them."""

import collections
import socket
import struct
import zlib

# echo, seq, ack, sum, flags, pad, src, dport, sport, dst, len
HEADER = struct.Struct(">IIIIB3s4sHH4sH")
TARGET = struct.Struct(">Q")
SYN, ACK, FIN, RST = 8, 32, 1, 4
MAX_DATA = 1200
MODULUS = 1 << 32
# Known to the ends only; the system's own resets carry 0.
SUM_KEY = b"ends-only"

Packet = collections.namedtuple("Packet", "echo seq ack sum flags src sport dst dport data")


def compute_sum(seq, ack, flags, src, sport, dst, dport, data):
    """Return the keyed sum over all fields but echo and pad; it is never 0."""
    fields = f"{seq}|{ack}|{flags}|{src}:{sport}|{dst}:{dport}|".encode()
    return zlib.crc32(SUM_KEY + fields + data) or 1


def build(echo, seq, ack, flags, source, destination, data=b""):
    """Return the packet of an end as bytes; `source` and `destination` are (ip, port)."""
    seq, ack = seq % MODULUS, ack % MODULUS
    total = compute_sum(seq, ack, flags, *source, *destination, data)
    (src, sport), (dst, dport) = source, destination
    packed = socket.inet_aton(src), dport, sport, socket.inet_aton(dst)
    return HEADER.pack(echo, seq, ack, total, flags, bytes(3), *packed, len(data)) + data


def read(raw):
    """Return the Packet in a datagram."""
    echo, seq, ack, total, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(raw)
    data = raw[HEADER.size : HEADER.size + size]
    return Packet(
        echo,
        seq,
        ack,
        total,
        flags,
        socket.inet_ntoa(src),
        sport,
        socket.inet_ntoa(dst),
        dport,
        data,
    )


def is_genuine(packet):
    """Return whether an end of a flow wrote this packet."""
    return packet.sum == compute_sum(
        packet.seq,
        packet.ack,
        packet.flags,
        packet.src,
        packet.sport,
        packet.dst,
        packet.dport,
        packet.data,
    )


def distance(one, other):
    """Return how far a sequence number is after another one, negative if before it."""
    return (one - other + MODULUS // 2) % MODULUS - MODULUS // 2
