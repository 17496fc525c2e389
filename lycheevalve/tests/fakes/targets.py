"""Targets of lookups."""

from lycheevalve.schema import lookups


def build_target(number, is_local=True, slots=2):
    """Return the Target of an upstream; its cookie is its number."""
    name = f"i-{number:08x}"
    return lookups.Target(number, (bytes([10, 0, 0, number]), 80), slots, is_local, name)
