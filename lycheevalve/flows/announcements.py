"""
Announcements of upstreams: signed CoAP registrations as in RFC 9176.

An upstream posts to `/rd` with its endpoint name (`ep`), service (`d`),
lifetime in seconds (`lt`), address (`base`), data centre (`dc`), incarnation
(`inc`), sequence number (`seq`), load and state, and a signature (`mac`) over
these parameters.
"""

import hmac

from aiocoap.numbers import codes, types

from lycheevalve.exceptions import AnnouncementError
from lycheevalve.flows import coap
from lycheevalve.schema.encodable import find_error
from lycheevalve.schema.generated.messages import Registration
from lycheevalve.utils.addresses import parse_host_address

PATH = ("rd",)
MAX_LIFETIME_SECONDS = 3600
TEXT_PARAMETERS = ("ep", "d", "base", "dc")
NUMBER_PARAMETERS = ("lt", "inc", "seq", "slots", "conn", "busy", "queued", "sessions")
FLAG_PARAMETERS = ("draining", "leaving")


def sign_parameters(key, parameters):
    """Return 128 bits of the HMAC-SHA-256 of the parameters (`name=value` strings), as hex."""
    data = "&".join(sorted(parameters)).encode()
    return hmac.new(key, data, "sha256").hexdigest()[:32]


def build_announcement(key, message_id, token, parameters):
    """Return the encoded CoAP request that announces a mapping of parameters."""
    texts = [f"{name}={value}" for name, value in parameters.items()]
    message = coap.Message(
        _mtype=types.CON, _mid=message_id, _token=token, code=codes.POST, uri_path=PATH
    )
    message.opt.uri_query = [*texts, f"mac={sign_parameters(key, texts)}"]
    return message.encode()


def read_announcement(key, message):
    """
    Return the Registration that a CoAP message announces.

    Raise AnnouncementError if the request, its signature or a parameter is invalid.
    """
    if message.code != codes.POST or message.opt.uri_path != PATH:
        raise AnnouncementError("request must be a POST to /rd", "read announcement")
    texts = [text for text in message.opt.uri_query if not text.startswith("mac=")]
    signature = "".join(text[4:] for text in message.opt.uri_query if text.startswith("mac="))
    if not hmac.compare_digest(signature.encode(), sign_parameters(key, texts).encode()):
        raise AnnouncementError(
            "signature (mac) does not match the parameters", "read announcement"
        )
    values = dict(text.split("=", 1) for text in texts if "=" in text)
    return read_registration(values)


def read_registration(values):
    """Return a Registration of the parameters; raise AnnouncementError if one is invalid."""
    missing = [name for name in TEXT_PARAMETERS + NUMBER_PARAMETERS if name not in values]
    if missing:
        raise AnnouncementError(
            f"missing parameters: {', '.join(missing)}", "read announcement"
        )
    try:
        numbers = {name: int(values[name]) for name in NUMBER_PARAMETERS}
        address = values["base"].removeprefix("coap://")
        parse_host_address(address)
    except ValueError as error:
        raise AnnouncementError(
            f"invalid number or address: {error}", "read announcement"
        ) from error
    if not 0 < numbers["lt"] <= MAX_LIFETIME_SECONDS or min(numbers.values()) < 0:
        raise AnnouncementError(
            f"lt must be from 1 to {MAX_LIFETIME_SECONDS}, other numbers at least 0",
            "read announcement",
        )
    registration = Registration(
        service_name=values["d"],
        address=address,
        data_centre=values["dc"],
        incarnation=numbers["inc"],
        sequence=numbers["seq"],
        lifetime_ms=numbers["lt"] * 1000,
        slots=numbers["slots"],
        connections=numbers["conn"],
        busy=numbers["busy"],
        queued=numbers["queued"],
        sessions=numbers["sessions"],
        **{name: values.get(name) == "1" for name in FLAG_PARAMETERS},
    )
    reason = find_error(registration)
    if reason:
        raise AnnouncementError(reason, "read announcement")
    return registration


def check_registration(registration, services):
    """Raise AnnouncementError unless the service exists in the upstream's data centre."""
    service = services.get(registration.service_name)
    if service is None:
        raise AnnouncementError(f"unknown service {registration.service_name!r}", "announce")
    if registration.data_centre not in service.data_centres:
        reason = f"service {service.name!r} is not offered in {registration.data_centre!r}"
        raise AnnouncementError(reason, "announce")
