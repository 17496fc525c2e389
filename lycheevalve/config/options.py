"""
Declared options of settings files, and checks of their values.

A check returns None for a valid value, and otherwise a description of the valid
values. All errors of a file are collected, so that they are reported together.
"""

import difflib

import attrs

from lycheevalve.utils.addresses import parse_address

# Default of options that must be set.
REQUIRED = object()


@attrs.frozen
class Option:
    """A key of a table: its check, its default and whether a reload applies changes to it."""

    check: object
    default: object = REQUIRED
    reloadable: bool = False


@attrs.define
class Findings:
    """Errors and warnings about one file, as lines of text."""

    file: str
    errors: list[str] = attrs.field(factory=list)
    warnings: list[str] = attrs.field(factory=list)

    def add_invalid_value(self, key, value, expected):
        """Add the error that the value of a key is invalid."""
        self.errors.append(f"{self.file}: {key} = {value!r}: must be {expected}")

    def add_error(self, key, reason):
        """Add an error that is not about a single value."""
        self.errors.append(f"{self.file}: {key}: {reason}")

    def add_warning(self, key, reason):
        """Add a warning about a possible mistake."""
        self.warnings.append(f"{self.file}: {key}: {reason}")


def check_text(value):
    """Allow a non-empty string."""
    return None if isinstance(value, str) and value else "a non-empty string"


def check_any_text(value):
    """Allow any string."""
    return None if isinstance(value, str) else "a string"


def check_name(value):
    """Allow a name of letters, digits, hyphens and underscores."""
    valid = isinstance(value, str) and value.replace("-", "").replace("_", "").isalnum()
    return None if valid else "a name of letters, digits, hyphens and underscores"


def check_address(value):
    """Allow `ip:port`."""
    expected = "an address of the form ip:port, such as 127.0.0.1:9001"
    if not isinstance(value, str):
        return expected
    try:
        parse_address(value)
    except ValueError:
        return expected
    return None


def check_optional_address(value):
    """Allow `ip:port` or an empty string."""
    return None if value == "" else check_address(value)


def check_peer(value):
    """Allow `name@ip:port`."""
    name, _, address = value.partition("@") if isinstance(value, str) else ("", "", "")
    valid = check_name(name) is None and check_address(address) is None
    return None if valid else "of the form name@ip:port"


def integer_between(minimum, maximum):
    """Return a check for integers from `minimum` to `maximum`."""

    def check(value):
        valid = isinstance(value, int) and not isinstance(value, bool)
        valid = valid and minimum <= value <= maximum
        return None if valid else f"an integer from {minimum} to {maximum}"

    return check


def number_between(minimum, maximum):
    """Return a check for numbers from `minimum` to `maximum`."""

    def check(value):
        valid = isinstance(value, (int, float)) and not isinstance(value, bool)
        valid = valid and minimum <= value <= maximum
        return None if valid else f"a number from {minimum} to {maximum}"

    return check


def one_of(*values):
    """Return a check for a fixed set of values."""

    def check(value):
        return None if value in values else "one of " + ", ".join(values)

    return check


def list_of(check, minimum=0):
    """Return a check for lists of `minimum` or more distinct entries that pass `check`."""

    def check_list(value):
        if not isinstance(value, list) or len(value) < minimum:
            return f"a list of at least {minimum} entries"
        faults = [check(entry) for entry in value if check(entry) is not None]
        if faults:
            return f"a list in which each entry is {faults[0]}"
        return None if len(set(value)) == len(value) else "a list without duplicates"

    return check_list


def read_table(table, options, findings, prefix=""):
    """Return the values of a table, with defaults; add its errors to `findings`."""
    if not isinstance(table, dict):
        findings.add_invalid_value(prefix.rstrip("."), table, "a table")
        return {}
    values = {}
    for key in sorted(set(table) - set(options)):
        similar = difflib.get_close_matches(key, options, 1)
        hint = f"; did you mean {similar[0]!r}?" if similar else ""
        findings.add_error(prefix + key, f"unknown key{hint}")
    for key, option in options.items():
        if key not in table:
            if option.default is REQUIRED:
                findings.add_error(prefix + key, f"missing; must be {option.check(None)}")
            else:
                values[key] = option.default
            continue
        expected = option.check(table[key])
        if expected is not None:
            findings.add_invalid_value(prefix + key, table[key], expected)
        values[key] = table[key]
    return values
