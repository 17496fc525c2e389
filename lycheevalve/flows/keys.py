"""
Keys of flows and requests, and the PROXY protocol header they are computed from.

Each datagram between the fabric, instances and upstreams starts with a header of
version 2. Its source is the caller and its destination the front door, in both
directions; only its fixed part is read.
Keys are hashes. The low 12 bits of a key are its shard: the partition of the key
space that one instance owns (see flows/ownership.py).
Source: the PROXY protocol, section 2.2.
"""

import xxhash
from proxyprotocol.v2 import ProxyProtocolV2

from lycheevalve.exceptions import DatagramError

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
# Version 2, command PROXY; datagrams over IPv4; 12 bytes of addresses.
IPV4_PREFIX = SIGNATURE + b"\x21\x12\x00\x0c"
PREFIX_BYTES = 16
ENDPOINTS_BYTES = 12
IPV4_HEADER_BYTES = PREFIX_BYTES + ENDPOINTS_BYTES

KEY_BITS = 52
SHARD_BITS = 12
SHARDS = 1 << SHARD_BITS
SHARD_MASK = SHARDS - 1
# Set in the keys of requests, to tell them from streams in the session table.
REQUEST_BIT = 1 << KEY_BITS

_parser = ProxyProtocolV2()


def split_header(datagram):
    """
    Return the (endpoints, payload offset) of a datagram.

    Endpoints are the 12 address bytes of the header: the caller's address, the
    front door's address, the caller's port, the front door's port. Raise
    DatagramError if the header is invalid.
    """
    if datagram[:PREFIX_BYTES] == IPV4_PREFIX and len(datagram) >= IPV4_HEADER_BYTES:
        return datagram[PREFIX_BYTES:IPV4_HEADER_BYTES], IPV4_HEADER_BYTES
    return split_extended_header(datagram)


def split_extended_header(datagram):
    """Return the same as `split_header` for a header with extensions."""
    if len(datagram) < IPV4_HEADER_BYTES or datagram[12:14] != b"\x21\x12":
        raise DatagramError("not a PROXY protocol header for IPv4 datagrams", "split header")
    try:
        length = _parser.unpack_header(datagram[:PREFIX_BYTES]).data_len
    except Exception as error:
        raise DatagramError(
            f"invalid PROXY protocol header: {error}", "split header"
        ) from error
    if length < ENDPOINTS_BYTES or PREFIX_BYTES + length > len(datagram):
        raise DatagramError("PROXY protocol header is truncated", "split header")
    return datagram[PREFIX_BYTES:IPV4_HEADER_BYTES], PREFIX_BYTES + length


def front_door_bytes(endpoints):
    """Return the front door of `endpoints` as 6 bytes: address and port."""
    return endpoints[4:8] + endpoints[10:12]


def flow_key(endpoints):
    """Return the 52-bit key of a flow; its low 12 bits are its shard."""
    return xxhash.xxh3_64_intdigest(endpoints) >> (64 - KEY_BITS)


def request_key(flow, path):
    """Return the key that a caller's requests for `path` share, in the flow's shard."""
    high = xxhash.xxh3_64_intdigest(path, seed=flow) >> (64 - KEY_BITS)
    return REQUEST_BIT | (high & ~SHARD_MASK) | (flow & SHARD_MASK)


def is_request_key(key):
    """Return whether a key is a request key."""
    return key & REQUEST_BIT != 0


def claim_key(endpoints, message_id, token):
    """Return the 52-bit key of the claim of one request, in the flow's shard."""
    flow = flow_key(endpoints)
    data = message_id.to_bytes(2, "big") + token
    high = xxhash.xxh3_64_intdigest(endpoints + data) >> (64 - KEY_BITS)
    return (high & ~SHARD_MASK) | (flow & SHARD_MASK)
