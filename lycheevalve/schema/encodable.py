"""
Whether a message can be encoded, by the types of its fields in the schema.

Messages that are built from outside input are checked before they are accepted: an error
while a message is encoded would concern all its receivers.
"""

from thrift.Thrift import TType

TYPE_INDEX, NAME_INDEX, DETAIL_INDEX = 1, 2, 3


def check_integer(bits):
    """Return the check of a signed integer of `bits` bits."""
    limit = 2 ** (bits - 1)

    def check(value, _):
        if isinstance(value, int) and -limit <= value < limit:
            return ""
        return f"must be an integer of {bits} bits"

    return check


def check_bool(value, _):
    """Return why a value is not a boolean, or an empty string."""
    return "" if isinstance(value, bool) else "must be a boolean"


def check_double(value, _):
    """Return why a value is not a floating-point number, or an empty string."""
    return "" if isinstance(value, float) else "must be a floating-point number"


def check_string(value, encoding):
    """Return why a value is not bytes or a string of valid Unicode, or an empty string."""
    if encoding == "BINARY":
        return "" if isinstance(value, bytes) else "must be bytes"
    if not isinstance(value, str):
        return "must be a string"
    try:
        value.encode()
    except UnicodeEncodeError as error:
        return f"must be valid Unicode: {error.reason} at position {error.start}"
    return ""


def check_struct(value, detail):
    """Return why a value is not a valid struct, or an empty string."""
    cls, _ = detail
    return find_error(value) if isinstance(value, cls) else f"must be a {cls.__name__}"


def check_list(value, detail):
    """Return why a value is not a list of valid items, or an empty string."""
    item_type, item_detail, _ = detail
    if not isinstance(value, list):
        return "must be a list"
    reasons = (CHECKS[item_type](item, item_detail) for item in value)
    return next(filter(None, reasons), "")


CHECKS = {
    TType.BOOL: check_bool,
    TType.I16: check_integer(16),
    TType.I32: check_integer(32),
    TType.I64: check_integer(64),
    TType.DOUBLE: check_double,
    TType.STRING: check_string,
    TType.STRUCT: check_struct,
    TType.LIST: check_list,
}


def find_error(message):
    """Return which field of a message can't be encoded and why, or an empty string."""
    for spec in filter(None, message.thrift_spec):
        value = getattr(message, spec[NAME_INDEX])
        # A field without a value is not encoded.
        reason = "" if value is None else CHECKS[spec[TYPE_INDEX]](value, spec[DETAIL_INDEX])
        if reason:
            return f"{spec[NAME_INDEX]} {reason}"
    return ""
