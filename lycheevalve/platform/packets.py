"""
The platform's packets: parsed into packets.Packet and built as datagrams.

The header is parsed in headers.py.
"""

import functools
import re
import socket

from lycheevalve.exceptions import DatagramError
from lycheevalve.platform import headers
from lycheevalve.platform.headers import HEADER, RST, ZERO_PADDING

# Each request carries its id in this HTTP header.
REQUEST_ID = re.compile(rb"\r\nX-Lycheevalve-Request-Id:[ \t]*([!-~]{1,64})", re.IGNORECASE)


def read_packet(data):
    """Return the Packet in a datagram; raise DatagramError when it is malformed."""
    try:
        packet = headers.read_packet(data)
    except ValueError as error:
        raise DatagramError(str(error), "read packet") from error
    if packet.size:
        packet.request = find_request(data)
    return packet


def find_request(data):
    """Return the id of the request that begins in a packet, or an empty string."""
    found = REQUEST_ID.search(data, HEADER.size)
    return found[1].decode() if found else ""


def describe_flow(packet):
    """Return a flow as `caller-front door`, each as `ip:port`."""
    _, _, _, _, _, _, src, dport, sport, dst, _ = HEADER.unpack_from(packet.raw)
    return f"{socket.inet_ntoa(src)}:{sport}-{socket.inet_ntoa(dst)}:{dport}"


# The targets' ids are encoded once for each name.
encode_target = functools.lru_cache(maxsize=4096)(headers.encode_target)


def build_forward(upstream, cookie, packet):
    """Return the (datagram, address) that forwards a packet to its upstream."""
    target = encode_target(upstream.registration.name)
    return headers.build_forward(target, cookie, packet), upstream.address


def build_reset(packet, port):
    """Return the (datagram, address) of a reset to the packet's sender at `port`."""
    _, _, ack, _, _, _, src, dport, sport, dst, _ = HEADER.unpack_from(packet.raw)
    # The sender accepts a reset whose sequence number is close to its last acknowledgement.
    data = HEADER.pack(0, ack, 0, 0, RST, ZERO_PADDING, dst, sport, dport, src, 0)
    return data, (socket.inet_ntoa(src), port)
