"""
The start of a process, before its settings file is read.

What the early thread needs is in one environment variable, as parsing the settings file
takes longer than the thread needs for its first packets.
"""

from lycheevalve.daemon.early import EarlyForwarder, EarlyResponder, parse_host_and_port
from lycheevalve.platform import headers
from lycheevalve.schema.lookups import TABLE_FILE_NAME

COMMON_KEYS = ("ip", "link_port", "key")
ENTRY_KEYS = ("packets", "seeds", "data_centre")


class EarlyCodec:
    """The codec of the early thread."""

    read_packet = staticmethod(headers.read_packet)

    @staticmethod
    def build_forward(target, packet):
        """Return the datagram that forwards a packet to a lookups.Target."""
        return headers.build_forward(headers.encode_target(target.name), target.cookie, packet)


def start_early(words):
    """
    Return the running EarlyForwarder or EarlyResponder for `key=value` words.

    A control replica has `data_folder` among them. Raise ValueError or OSError if they are
    invalid; the process then starts without it.
    """
    values = dict(word.split("=", 1) for word in words.split())
    is_control = bool(values.get("data_folder"))
    keys = COMMON_KEYS if is_control else (*COMMON_KEYS, *ENTRY_KEYS)
    missing = [key for key in keys if not values.get(key)]
    if missing:
        raise ValueError(f"missing {', '.join(missing)}")
    build = build_responder if is_control else build_forwarder
    early = build(values, (values["ip"], int(values["link_port"])))
    early.start()
    return early


def build_responder(values, address):
    """Return the EarlyResponder of a control replica."""
    path = f"{values['data_folder']}/{TABLE_FILE_NAME}"
    return EarlyResponder(address, path, values["key"])


def build_forwarder(values, address):
    """Return the EarlyForwarder of an entry instance."""
    hosts = dict.fromkeys(seed.rpartition(":")[0] for seed in values["seeds"].split(","))
    return EarlyForwarder(
        packets=parse_host_and_port(values["packets"]),
        lookups=address,
        replicas=[(host, address[1]) for host in hosts],
        key=values["key"],
        data_centre=values["data_centre"],
        codec=EarlyCodec,
    )
