"""Calls of the platform's targets, converted to registrations of upstreams."""

from lycheevalve.exceptions import AnnouncementError
from lycheevalve.platform.strict_json import read_json
from lycheevalve.schema.encodable import find_error
from lycheevalve.schema.generated.messages import Registration
from lycheevalve.utils.addresses import format_address, parse_host_address

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
MAX_INTEGER = 2**31 - 1
# The year 2100: later heartbeats of a target that started before a larger time are ignored.
MAX_START_MS = 4_102_444_800_000


def read_heartbeat(name, body, heartbeat_ms):
    """Return the Registration of a heartbeat; raise AnnouncementError when it is invalid."""
    check_name(name)
    fields = read_fields(name, body)
    values = {key: read(fields, key, name) for key, read in HEARTBEAT_FIELDS.items()}
    registration = Registration(
        service_name=values["service"],
        address=values["address"],
        data_centre=values["zone"],
        # The start time of the target, since a restarted target may keep its id.
        incarnation=values["born"],
        sequence=values["sequence"],
        lifetime_ms=LEASE_HEARTBEATS * heartbeat_ms,
        slots=values["slots"],
        draining=values["state"] == "draining",
        name=name,
        warm_up_ms=values["warmupLeftMs"],
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
    return read_start_time(value, "born", name) if "born" in value else None


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


def read_state(value, key, name):
    """Return one of STATES; raise AnnouncementError for any other value."""
    state = read_string(value, key, name)
    if state not in STATES:
        raise AnnouncementError(f"{key} must be ready or draining, not {state!r}", STEP, name)
    return state


def read_address(value, key, name):
    """Return the address of a host as `ip:port`; raise AnnouncementError for other values."""
    try:
        # One spelling, since parts of an instance find upstreams by the text.
        return format_address(parse_host_address(read_string(value, key, name)))
    except ValueError as error:
        raise AnnouncementError(str(error), STEP, name) from error


def read_integer(value, key, name, limit=MAX_INTEGER):
    """Return an integer field from 0 to `limit`; raise AnnouncementError for other values."""
    number = value.get(key)
    if not isinstance(number, int) or isinstance(number, bool) or not 0 <= number <= limit:
        raise AnnouncementError(f"{key} must be an integer from 0 to {limit}", STEP, name)
    return number


def read_start_time(value, key, name):
    """Return a time in Unix milliseconds; raise AnnouncementError for other values."""
    return read_integer(value, key, name, MAX_START_MS)


# All fields are required: a heartbeat without one of them names no target to use. `version`,
# that of the target's software, is not used.
HEARTBEAT_FIELDS = {
    "service": read_string,
    "address": read_address,
    "zone": read_string,
    "version": read_string,
    "slots": read_integer,
    "state": read_state,
    "warmupLeftMs": read_integer,
    "sequence": read_integer,
    "born": read_start_time,
}
