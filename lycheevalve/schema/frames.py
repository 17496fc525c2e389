"""
Frames: signed Thrift messages between the processes of a site.

A frame is a fixed prefix (magic, version, kind, length of the header), the
header, the message and a truncated HMAC-SHA256 over all of it and a context.
The context is empty for datagrams and the nonce of the greeting for links.
"""

import hmac
import struct

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from lycheevalve.exceptions import FrameError
from lycheevalve.schema.generated.messages import CLASSES, KINDS, Header

MAGIC = 0x4C
VERSION = 1
PREFIX = struct.Struct(">BBBB")
SIGNATURE_BYTES = 16
# Frames this far behind the highest sequence number are refused as replayed.
REPLAY_WINDOW_FRAMES = 4096

_factory = TCompactProtocolAcceleratedFactory(fallback=False)


def encode_struct(message):
    """Encode a struct of the schema in Thrift's compact protocol."""
    buffer = TMemoryBuffer()
    protocol = _factory.getProtocol(buffer)
    cls = type(message)
    return protocol._fast_encode(message, [cls, cls.thrift_spec])


def decode_struct(cls, data):
    """Decode a struct of class `cls`; raise FrameError if `data` doesn't parse."""
    protocol = _factory.getProtocol(TMemoryBuffer(data))
    try:
        message = protocol._fast_decode(None, protocol, [cls, cls.thrift_spec])
    except Exception as error:
        raise FrameError(f"{cls.__name__} does not parse: {error!r}", "decode") from error
    return message


def sign(key, context, data):
    """Return the truncated HMAC of `context` and `data`."""
    return hmac.digest(key, context + data, "sha256")[:SIGNATURE_BYTES]


@attrs.define
class ReplayWindow:
    """Sequence numbers received from the latest incarnation of one sender."""

    incarnation: int = 0
    highest: int = 0
    seen: set[int] = attrs.field(factory=set)

    def accept(self, incarnation, sequence):
        """Record the pair and return whether it is new."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation:
            self.incarnation, self.highest, self.seen = incarnation, 0, set()
        floor = self.highest - REPLAY_WINDOW_FRAMES
        if sequence <= floor or sequence in self.seen:
            return False
        self.seen.add(sequence)
        self.highest = max(self.highest, sequence)
        if len(self.seen) > 2 * REPLAY_WINDOW_FRAMES:
            floor = self.highest - REPLAY_WINDOW_FRAMES
            self.seen = {number for number in self.seen if number > floor}
        return True


@attrs.define
class FrameCodec:
    """Encodes frames of one process and verifies frames of others."""

    key: bytes
    sender: str
    incarnation: int
    sequence: int = 0
    windows: dict[str, ReplayWindow] = attrs.field(factory=dict)

    def encode(self, message, context=b""):
        """Return the signed frame of `message`."""
        self.sequence += 1
        header = encode_struct(Header(self.sender, self.incarnation, self.sequence))
        prefix = PREFIX.pack(MAGIC, VERSION, KINDS[type(message)], len(header))
        data = prefix + header + encode_struct(message)
        return data + sign(self.key, context, data)

    def decode(self, frame, context=b""):
        """
        Return (header, message) of a frame.

        Raise FrameError for a truncated or unknown frame, a wrong signature or a replay.
        """
        if len(frame) < PREFIX.size + SIGNATURE_BYTES:
            raise FrameError("truncated frame", "decode")
        data, signature = frame[:-SIGNATURE_BYTES], frame[-SIGNATURE_BYTES:]
        magic, version, kind, header_bytes = PREFIX.unpack_from(data)
        if magic != MAGIC or version != VERSION or kind not in CLASSES:
            raise FrameError("unknown magic, version or kind", "decode")
        if not hmac.compare_digest(sign(self.key, context, data), signature):
            raise FrameError("wrong signature", "decode")
        body = PREFIX.size + header_bytes
        header = decode_struct(Header, data[PREFIX.size : body])
        window = self.windows.setdefault(header.sender, ReplayWindow())
        if not window.accept(header.incarnation, header.sequence):
            raise FrameError("replayed frame", "decode", header.sender)
        return header, decode_struct(CLASSES[kind], data[body:])
