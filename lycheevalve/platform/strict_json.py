"""
JSON of operators and targets, read strictly.

Python's reader also accepts other encodings, lone surrogates, repeated keys, NaN and
infinite numbers, which other readers refuse or read differently, and its limit of nesting
depends on the caller's stack.
"""

import collections
import json
import math

MAX_NESTING = 32


def read_json(body):
    """Return the value of a JSON text in UTF-8; raise ValueError when it is not valid."""
    try:
        value = json.loads(body.decode(), object_pairs_hook=build_object)
    except RecursionError as error:
        raise ValueError(f"more than {MAX_NESTING} levels of nesting") from error
    check_values(value)
    return value


def build_object(pairs):
    """Return the dict of an object's members; raise ValueError for a repeated key."""
    members = dict(pairs)
    if len(members) < len(pairs):
        keys = [key for key, _ in pairs]
        counts = collections.Counter(keys)
        repeated = next(key for key in keys if counts[key] > 1)
        raise ValueError(f"repeated key {repeated!r}")
    return members


def check_values(value):
    """Raise ValueError for an invalid string or number, or too many levels of nesting."""
    level = [value]
    for _ in range(MAX_NESTING):
        inner = []
        for item in level:
            check = CHECKS.get(type(item))
            if check is not None:
                inner += check(item)
        if not inner:
            return
        level = inner
    raise ValueError(f"more than {MAX_NESTING} levels of nesting")


def check_string(text):
    """Return no inner values; raise ValueError for lone surrogates."""
    text.encode()
    return ()


def check_number(number):
    """Return no inner values; raise ValueError unless a double can hold the number."""
    try:
        is_finite = math.isfinite(number)
    except OverflowError:
        is_finite = False
    if not is_finite:
        raise ValueError("a number is infinite, too large or not a number")
    return ()


# Each check returns the values inside the one that it is called with.
CHECKS = {
    str: check_string,
    int: check_number,
    float: check_number,
    list: list,
    dict: lambda members: [*members.keys(), *members.values()],
}
