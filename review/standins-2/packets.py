"""The packets of callers and targets, as the platform's protocol defines them."""

import dataclasses
import socket
import struct

# echo, seq, ack, sum, flags, pad, src, dport, sport, dst, len
HEADER = struct.Struct(">IIIIB3s4sHH4sH")
TARGET = struct.Struct(">Q")
SYN, ACK, FIN, RST = 8, 32, 1, 4
SEQUENCE_MODULUS = 1 << 32


@dataclasses.dataclass
class Packet:
    """One packet; `source` and `destination` are (ip, port)."""

    source: tuple
    destination: tuple
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    data: bytes = b""

    def encode(self):
        """Return the packet as bytes; the keyed sum stays 0, as the stand-ins ignore it."""
        head = HEADER.pack(
            self.echo,
            self.sequence % SEQUENCE_MODULUS,
            self.acknowledged % SEQUENCE_MODULUS,
            0,
            self.flags,
            bytes(3),
            socket.inet_aton(self.source[0]),
            self.destination[1],
            self.source[1],
            socket.inet_aton(self.destination[0]),
            len(self.data),
        )
        return head + self.data


def read_packet(data):
    """Return the Packet in a datagram."""
    echo, sequence, ack, _, flags, _, src, dport, sport, dst, size = HEADER.unpack_from(data)
    body = data[HEADER.size : HEADER.size + size]
    source, destination = (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport)
    return Packet(source, destination, flags, sequence, ack, echo, body)
