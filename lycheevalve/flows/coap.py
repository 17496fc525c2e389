"""
Parsing and building of the CoAP messages that a load balancer reads and writes.

Sources: RFC 7252 (messages, 5.03 and 5.04), RFC 7959 (block-wise transfers). An
elective option of the experimental range carries the remaining time of a request.
"""

import attrs
from aiocoap.error import Error
from aiocoap.message import Direction, Message
from aiocoap.numbers import codes, types
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.optiontypes import UintOption

from lycheevalve.exceptions import DatagramError

# The number of milliseconds for which the caller still waits for a response.
DEADLINE_OPTION = OptionNumber(65002)
DEADLINE_OPTION.format = UintOption

IDEMPOTENT_CODES = {codes.GET, codes.PUT, codes.DELETE, codes.FETCH, codes.iPATCH}
# The response code by which an upstream or an instance reports a request as not run.
NOT_RUN = codes.SERVICE_UNAVAILABLE


@attrs.define
class Request:
    """The properties of a request that an instance uses."""

    message: object
    idempotent: bool
    path: bytes
    is_later_block: bool
    deadline_ms: int | None

    @property
    def message_id(self):
        """Return the 16-bit message ID."""
        return self.message.mid

    @property
    def token(self):
        """Return the token, at most 8 bytes."""
        return self.message.token


def decode_message(payload):
    """Return the CoAP message in `payload`; raise DatagramError if it is invalid."""
    try:
        message = Message.decode(payload)
    except (Error, ValueError, IndexError, UnicodeDecodeError) as error:
        raise DatagramError(f"not a CoAP message: {error!r}", "decode") from error
    # The message is encoded again when it is forwarded.
    message.direction = Direction.OUTGOING
    return message


def parse_request(message):
    """Return the Request for a CoAP request message."""
    block1, block2 = message.opt.block1, message.opt.block2
    number = max(
        block1.block_number if block1 is not None else 0,
        block2.block_number if block2 is not None else 0,
    )
    deadline = message.opt.get_option(DEADLINE_OPTION)
    return Request(
        message=message,
        idempotent=message.code in IDEMPOTENT_CODES,
        path="/".join(message.opt.uri_path).encode(),
        is_later_block=number > 0,
        deadline_ms=deadline[0].value if deadline else None,
    )


def set_deadline(message, milliseconds):
    """Set the deadline option of a request to the remaining time."""
    message.opt.delete_option(DEADLINE_OPTION)
    message.opt.add_option(UintOption(DEADLINE_OPTION, milliseconds))


def encode_reply(message_id, token, code, payload=b"", max_age=None, confirmable=True):
    """Return an encoded response; `max_age` is the seconds after which to retry."""
    mtype = types.ACK if confirmable else types.NON
    reply = Message(_mtype=mtype, _mid=message_id, _token=token, code=code, payload=payload)
    if max_age is not None:
        reply.opt.max_age = max_age
    return reply.encode()


def encode_reset(message_id):
    """Return an encoded Reset for the message `message_id`."""
    return Message(_mtype=types.RST, _mid=message_id, code=codes.EMPTY).encode()


def encode_piggybacked(message, message_id):
    """Return a response encoded as the acknowledgement of the request `message_id`."""
    message.mtype = types.ACK
    message.mid = message_id
    return message.encode()
