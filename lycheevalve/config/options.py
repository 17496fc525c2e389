"""
Declared options of settings files, and checks of their values.

A check returns None for a valid value, and otherwise a description of the valid
values. All errors of a file are collected, so that they are reported together.
"""

import difflib

import attrs

from lycheevalve.utils.addresses import parse_address

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

    def add(self, key, value, allowed):
        """Add the error that the value of a key is invalid."""
        self.errors.append(f"{self.file}: {key} = {value!r}: must be {allowed}")

    def note(self, key, reason):
        """Add an error that is not about a single value."""
        self.errors.append(f"{self.file}: {key}: {reason}")

    def warn(self, key, reason):
        """Add a warning about a possible mistake."""
        self.warnings.append(f"{self.file}: {key}: {reason}")


def is_text(value):
    """Allow a non-empty string."""
    return None if isinstance(value, str) and value else "a non-empty string"


def is_any_text(value):
    """Allow any string."""
    return None if isinstance(value, str) else "a string"


def is_name(value):
    """Allow a name of letters, digits, hyphens and underscores."""
    good = isinstance(value, str) and value.replace("-", "").replace("_", "").isalnum()
    return None if good else "a name of letters, digits, hyphens and underscores"


def is_address(value):
    """Allow `ip:port`."""
    allowed = "an address of the form ip:port, such as 127.0.0.1:9001"
    if not isinstance(value, str):
        return allowed
    try:
        parse_address(value)
    except ValueError:
        return allowed
    return None


def is_optional_address(value):
    """Allow `ip:port` or an empty string."""
    return None if value == "" else is_address(value)


def is_peer(value):
    """Allow `name@ip:port`."""
    name, _, address = value.partition("@") if isinstance(value, str) else ("", "", "")
    good = is_name(name) is None and is_address(address) is None
    return None if good else "of the form name@ip:port"


def is_integer(least, most):
    """Return a check for integers from `least` to `most`."""

    def check(value):
        good = isinstance(value, int) and not isinstance(value, bool)
        good = good and least <= value <= most
        return None if good else f"an integer from {least} to {most}"

    return check


def is_number(least, most):
    """Return a check for numbers from `least` to `most`."""

    def check(value):
        good = isinstance(value, (int, float)) and not isinstance(value, bool)
        good = good and least <= value <= most
        return None if good else f"a number from {least} to {most}"

    return check


def is_one_of(*values):
    """Return a check for a fixed set of values."""

    def check(value):
        return None if value in values else "one of " + ", ".join(values)

    return check


def is_list_of(check, least=0):
    """Return a check for lists of at least `least` distinct entries that all pass `check`."""

    def check_list(value):
        if not isinstance(value, list) or len(value) < least:
            return f"a list of at least {least} entries"
        wrong = [check(entry) for entry in value if check(entry) is not None]
        if wrong:
            return f"a list in which each entry is {wrong[0]}"
        return None if len(set(value)) == len(value) else "a list without duplicates"

    return check_list


def read_table(table, options, findings, prefix=""):
    """Return the values of a table, with defaults; add its errors to `findings`."""
    if not isinstance(table, dict):
        findings.add(prefix.rstrip("."), table, "a table")
        return {}
    values = {}
    for key in sorted(set(table) - set(options)):
        near = difflib.get_close_matches(key, options, 1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        findings.note(prefix + key, f"unknown key{hint}")
    for key, option in options.items():
        if key not in table:
            if option.default is REQUIRED:
                findings.note(prefix + key, f"missing; must be {option.check(None)}")
            else:
                values[key] = option.default
            continue
        allowed = option.check(table[key])
        if allowed is not None:
            findings.add(prefix + key, table[key], allowed)
        values[key] = table[key]
    return values
