"""The packets of the platform's flows as callers and upstreams write and read them."""

import socket

import attrs

from lycheevalve.platform.packets import ACK, FIN, HEADER, NO_PAD, RST, SYN, TARGET

__all__ = ["ACK", "FIN", "RST", "SYN", "Segment", "read_segment", "split_target"]


@attrs.frozen
class Segment:
    """One packet of a flow; `sender` and `receiver` are its ends as (ip, port)."""

    sender: tuple
    receiver: tuple
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    data: bytes = b""

    def encode(self):
        """Return the segment as bytes; the sum is not checked by the stand-ins."""
        head = HEADER.pack(
            self.cookie,
            self.sequence,
            self.acknowledged,
            0,
            self.flags,
            NO_PAD,
            socket.inet_aton(self.sender[0]),
            self.receiver[1],
            self.sender[1],
            socket.inet_aton(self.receiver[0]),
            len(self.data),
        )
        return head + self.data


def read_segment(data):
    """Return the Segment in some bytes."""
    cookie, sequence, ack, _, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(data)
    return Segment(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        sequence,
        ack,
        cookie,
        data[HEADER.size : HEADER.size + size],
    )


def split_target(data):
    """Return (id of the intended upstream as a number, the packet)."""
    return TARGET.unpack_from(data)[0], data[TARGET.size :]
