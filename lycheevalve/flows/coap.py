"""
CoAP messages, as far as a balancer reads and writes them.

Sources: RFC 7252 (messages, 5.03 and 5.04), RFC 7959 (blocks). The remaining
time of a request travels in an elective option of the experimental range.
"""

import attrs
from aiocoap.error import Error
from aiocoap.message import Direction, Message
from aiocoap.numbers import codes, types
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import UintOption

from lycheevalve.exceptions import DatagramError

# Milliseconds that the caller still waits.
DEADLINE = OptionNumber(65002)
DEADLINE.format = UintOption

IDEMPOTENT = {codes.GET, codes.PUT, codes.DELETE, codes.FETCH, codes.iPATCH}
# The upstream says by this code that it did not run the request.
NOT_RUN = codes.SERVICE_UNAVAILABLE


@attrs.define
class Request:
    """What an instance needs to know of a request."""

    message: object
    idempotent: bool
    path: bytes
    continues: bool
    deadline_ms: int | None

    @property
    def message_id(self):
        """Return the message id, 16 bits."""
        return self.message.mid

    @property
    def token(self):
        """Return the token, up to 8 bytes."""
        return self.message.token


def decode_message(payload):
    """Return the CoAP message in `payload`; raise DatagramError."""
    try:
        message = Message.decode(payload)
    except (Error, ValueError, IndexError, UnicodeDecodeError) as error:
        raise DatagramError(f"not a CoAP message: {error!r}", "decode") from error
    # What is passed on is encoded again.
    message.direction = Direction.OUTGOING
    return message


def read_request(message):
    """Return the Request view of a CoAP request."""
    block1, block2 = message.opt.block1, message.opt.block2
    number = max(
        block1.block_number if block1 is not None else 0,
        block2.block_number if block2 is not None else 0,
    )
    deadline = message.opt.get_option(DEADLINE)
    return Request(
        message=message,
        idempotent=message.code in IDEMPOTENT,
        path="/".join(message.opt.uri_path).encode(),
        continues=number > 0,
        deadline_ms=deadline[0].value if deadline else None,
    )


def set_deadline(message, milliseconds):
    """Write the remaining time into a request."""
    message.opt.delete_option(DEADLINE)
    message.opt.add_option(UintOption(DEADLINE, milliseconds))


def encode_reply(message_id, token, code, payload=b"", max_age=None, confirmable=True):
    """Return the bytes of an answer; `max_age` (seconds) tells when to come back."""
    mtype = types.ACK if confirmable else types.NON
    reply = Message(_mtype=mtype, _mid=message_id, _token=token, code=code, payload=payload)
    if max_age is not None:
        reply.opt.max_age = max_age
    return reply.encode()


def encode_reset(message_id):
    """Return the bytes of a Reset of a message."""
    return Message(_mtype=types.RST, _mid=message_id, code=codes.EMPTY).encode()


def as_piggybacked(message, message_id):
    """Return a response as the acknowledgement of the request `message_id`."""
    message.mtype = types.ACK
    message.mid = message_id
    return message.encode()
