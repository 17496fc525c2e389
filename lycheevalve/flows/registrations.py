"""
Which upstream a registration or a deregistration is about, if any.

Registrations may name no upstream to use, although each field by itself is valid. They come
from another writer, from an earlier version of this program, or from the disk. Such a one is
left out, and all others hold: it must neither end the handling of a list nor take the place
of an upstream that serves.
"""

from lycheevalve.flows.upstreams import UpstreamState, find_address

# A larger sequence than this allows is not the upstream's own, and would hide its later calls.
# Upstreams may number their calls by milliseconds.
MAX_CALLS_PER_SECOND = 10_000


def find_objection(registration, current, now, is_known=lambda service: True, is_complete=True):
    """
    Return why a registration names no upstream, or an empty string.

    `current` is the upstream at its address or None; `is_known(service)` returns whether the
    configuration has a service, and `is_complete` states whether all upstreams that are in use
    are known.
    """
    if find_address(registration.address) is None:
        return f"{registration.address!r} is not the address of a host"
    is_new_known = is_known(registration.service_name)
    if current is None or current.state(now) is UpstreamState.GONE:
        is_acceptable = is_new_known or is_complete
        return "" if is_acceptable else "unknown service, at an address that may be in use"
    if is_new_known is not is_known(current.service):
        reason = f"unknown service at the address of an upstream of {current.service!r}"
        return "" if is_new_known else reason
    elapsed_seconds = max(0.0, now - current.reported_at)
    return find_contradiction(registration, current.registration, elapsed_seconds)


def find_contradiction(registration, current, elapsed_seconds):
    """
    Return why a registration can't be of the upstream at its address, or an empty string.

    `current` is what that announced `elapsed_seconds` ago.
    """
    if registration.incarnation != current.incarnation:
        return ""
    if registration.name != current.name:
        return f"{current.name!r} is at this address since the same start"
    if registration.service_name != current.service_name:
        return f"the same upstream serves {current.service_name!r} since its start"
    calls = registration.sequence - current.sequence
    if calls > MAX_CALLS_PER_SECOND * (elapsed_seconds + 1):
        return f"{calls} calls in {elapsed_seconds:.1f} s"
    return ""


def find_deregistered(registrations, incarnation):
    """
    Return which of the registrations with one name a deregistration ends, or None.

    A call that names no incarnation (None) ends an upstream that drains, as each does before
    its end: one that is up has come after the call.
    """
    for registration in reversed(registrations):
        is_named = registration.incarnation == incarnation
        is_draining = incarnation is None and registration.draining
        if (is_named or is_draining) and not registration.leaving:
            return registration
    return None


def has_ended(registrations, incarnation):
    """Return whether an incarnation, None for the newest, is known to have ended."""
    newest = registrations[-1] if registrations else None
    if newest is None or incarnation in (None, newest.incarnation):
        return newest is not None and newest.leaving
    return newest.incarnation > incarnation


def report_left_out(observe, registration, source, reason):
    """Log a registration that names no upstream; `source` is the replica that sent it."""
    observe(
        "registration_left_out",
        upstream=registration.name,
        address=registration.address,
        service=registration.service_name,
        source=source,
        reason=reason,
    )
