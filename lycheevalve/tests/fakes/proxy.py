"""PROXY protocol v2 headers for the fakes."""

import socket
from functools import lru_cache
from ipaddress import IPv4Address

from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.v2 import ProxyProtocolV2

_parser = ProxyProtocolV2()


@lru_cache(maxsize=65536)
def build_header(caller, front_door):
    """Return the header of a caller and a front door, each (ip, port)."""
    source = (IPv4Address(caller[0]), caller[1])
    target = (IPv4Address(front_door[0]), front_door[1])
    return _parser.pack(ProxyResultIPv4(source, target, protocol=socket.SOCK_DGRAM))


def split_header(datagram):
    """Return (caller, front door, payload) of a datagram with a header."""
    head = _parser.unpack_header(datagram[:16])
    end = 16 + head.data_len
    result = _parser.unpack(datagram[:end])
    caller = str(result.source[0]), result.source[1]
    front_door = str(result.dest[0]), result.dest[1]
    return caller, front_door, datagram[end:]
