"""Conversion of addresses between text (`ip:port`), socket addresses and bytes."""

import ipaddress
from functools import lru_cache


@lru_cache(maxsize=65536)
def parse_address(text):
    """Parse `ip:port` into the pair (ip, port); raise ValueError for any other text."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form ip:port")
    return str(ipaddress.IPv4Address(host)), int(port)


def format_address(address):
    """Return a socket address as `ip:port`."""
    return f"{address[0]}:{address[1]}"


def format_peer(connected):
    """Return the `ip:port` of the peer of a socket, or "" if it has closed the connection."""
    try:
        return format_address(connected.getpeername())
    except OSError:
        return ""


@lru_cache(maxsize=65536)
def pack_address(address):
    """Return a socket address as 6 bytes: IPv4 address, port (big-endian)."""
    ip = ipaddress.IPv4Address(address[0]).packed
    return ip + address[1].to_bytes(2, "big")
