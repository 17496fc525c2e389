"""Conversion of addresses between text (`ip:port`), socket addresses and bytes."""

import ipaddress
from functools import lru_cache

MAX_PORT_DIGITS = 5
# Addresses that no packet can be sent to (RFC 1122).
THIS_NETWORK = ipaddress.IPv4Network("0.0.0.0/8")


@lru_cache(maxsize=65536)
def parse_address(text):
    """Parse `ip:port` into the pair (ip, port); raise ValueError for any other text."""
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not separator or not is_number or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not of the form ip:port")
    return str(ipaddress.IPv4Address(host)), int(port)


def parse_host_address(text):
    """Parse `ip:port`, the address of one host; raise ValueError for any other text."""
    host, port = parse_address(text)
    ip = ipaddress.IPv4Address(host)
    if ip in THIS_NETWORK or ip.is_multicast or ip.is_reserved:
        raise ValueError(f"{text!r} is not the address of a host")
    return host, port


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
