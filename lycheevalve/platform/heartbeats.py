"""Calls of the platform's targets, converted to registrations of upstreams."""

from lycheevalve.exceptions import AnnouncementError
from lycheevalve.platform.strict_json import read_json
from lycheevalve.schema.encodable import find_error
from lycheevalve.schema.generated.messages import Registration
from lycheevalve.utils.addresses import format_address, parse_address

STEP = "read call"
STATES = ("ready", "draining")
# The lease of a target, counted in heartbeat intervals: without a heartbeat for this long
# it gets no new flows.
LEASE_HEARTBEATS = 5
# The registrations of all targets are sent in one message, whose size is limited, and an
# answer to a lookup holds as many bytes of a name.
MAX_TEXT_LENGTH = 255
# JSON takes many times as much memory once it is read.
MAX_CALL_BYTES = 64 * 1024


def read_heartbeat(name, body, heartbeat_ms):
    """Return the Registration of a heartbeat; raise AnnouncementError when it is invalid."""
    check_name(name)
    value = read_fields(name, body)
    state = read_string(value, "state", name)
    if state not in STATES:
        raise AnnouncementError(f"state must be ready or draining, not {state!r}", STEP, name)
    address = read_string(value, "address", name)
    try:
        # One spelling, since parts of an instance find upstreams by the text.
        address = format_address(parse_address(address))
    except ValueError as error:
        raise AnnouncementError(str(error), STEP, name) from error
    registration = Registration(
        service_name=read_string(value, "service", name),
        address=address,
        data_centre=read_string(value, "zone", name),
        # The start time of the target, since a restarted target may keep its id.
        incarnation=read_integer(value, "born", name, default=0),
        sequence=read_integer(value, "sequence", name),
        lifetime_ms=LEASE_HEARTBEATS * heartbeat_ms,
        slots=read_integer(value, "slots", name),
        draining=state == "draining",
        name=name,
        warm_up_ms=read_integer(value, "warmupLeftMs", name, default=0),
    )
    reason = find_error(registration)
    if reason:
        raise AnnouncementError(reason, STEP, name)
    return registration


def read_deregistration(name, body):
    """
    Return the incarnation of the target that deregisters, None if it doesn't say which one.

    Raise AnnouncementError when the call is invalid.
    """
    check_name(name)
    value = read_fields(name, body) if body.strip() else {}
    return read_integer(value, "born", name) if "born" in value else None


def read_fields(name, body):
    """Return the fields of a call by name; raise AnnouncementError when it has none."""
    if len(body) > MAX_CALL_BYTES:
        reason = f"a call of {len(body)} bytes exceeds {MAX_CALL_BYTES}"
        raise AnnouncementError(reason, STEP, name)
    try:
        value = read_json(body)
    except ValueError as error:
        raise AnnouncementError(f"the call is not valid JSON: {error}", STEP, name) from error
    if not isinstance(value, dict):
        raise AnnouncementError("the call must be a JSON object", STEP, name)
    return value


def check_name(name):
    """Raise AnnouncementError when the id of a target is empty or too long."""
    if not 0 < len(name) <= MAX_TEXT_LENGTH:
        reason = f"the id must have 1 to {MAX_TEXT_LENGTH} characters, not {len(name)}"
        raise AnnouncementError(reason, "read id")


def read_string(value, key, name):
    """Return a string field; raise AnnouncementError for any other value."""
    text = value.get(key)
    if not isinstance(text, str) or not 0 < len(text) <= MAX_TEXT_LENGTH:
        reason = f"{key} must be a string of 1 to {MAX_TEXT_LENGTH} characters"
        raise AnnouncementError(reason, STEP, name)
    return text


def read_integer(value, key, name, default=None):
    """Return an integer field from 0 to 2**62 - 1; raise AnnouncementError for other values."""
    number = value.get(key, default)
    if not isinstance(number, int) or isinstance(number, bool) or not 0 <= number < 2**62:
        raise AnnouncementError(f"{key} must be an integer from 0 to 2**62 - 1", STEP, name)
    return number
