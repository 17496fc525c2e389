"""
The start of an entry instance, before its settings file is read.

What the early thread needs is in one environment variable, as parsing the settings file
takes longer than the thread needs for its first packets.
"""

from lycheevalve.daemon.early import EarlyForwarder, parse_host_and_port
from lycheevalve.platform import headers

KEYS = ("packets", "ip", "link_port", "seeds", "data_centre", "key")


class EarlyCodec:
    """The codec of the early thread."""

    read_packet = staticmethod(headers.read_packet)

    @staticmethod
    def build_forward(target, packet):
        """Return the datagram that forwards a packet to a lookups.Target."""
        return headers.build_forward(headers.encode_target(target.name), target.cookie, packet)


def start_early(words):
    """
    Return the running EarlyForwarder for `key=value` words.

    Raise ValueError or OSError if they are invalid; the instance then starts without it.
    """
    values = dict(word.split("=", 1) for word in words.split())
    missing = [key for key in KEYS if not values.get(key)]
    if missing:
        raise ValueError(f"missing {', '.join(missing)}")
    link_port = int(values["link_port"])
    hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in values["seeds"].split(","))
    forwarder = EarlyForwarder(
        packets=parse_host_and_port(values["packets"]),
        lookups=(values["ip"], link_port),
        replicas=[(host, link_port) for host in hosts],
        key=values["key"],
        data_centre=values["data_centre"],
        codec=EarlyCodec,
    )
    forwarder.start()
    return forwarder
