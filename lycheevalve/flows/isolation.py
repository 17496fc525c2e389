"""
Isolation: what a data centre that is cut off from the others can still carry.

Callers may reach other data centres when the instances of theirs can't: the
fabric sends them there once no instance of their data centre is ready. That is
better for them than upstreams that can't take their load, and worse than
upstreams that can, since flows on those would be cut.
"""

from lycheevalve.flows.evidence import is_silent

# An upstream of another data centre that answered within this time is in reach:
# callers repeat a packet after 0.2 s and after 0.6 s.
REACH_SECONDS = 0.6
# The part of its share that a data centre must be able to carry: upstreams that are
# busy for three quarters of the time carry it all.
LEAST_SHARE = 0.75
# A cut hides upstreams, whose leases then end; they count for this long.
HIDDEN_SECONDS = 30.0


def reaches_others(upstreams, data_centre, now):
    """Return whether an upstream of another data centre has answered lately."""
    return any(
        now - upstream.answered_at < REACH_SECONDS
        for upstream in upstreams.by_index.values()
        if upstream.registration.data_centre != data_centre
    )


def has_own_share(upstreams, data_centre, services, now):
    """
    Return whether a data centre's own upstreams can carry its callers of each service.

    They are taken as one of as many equal parts as there are data centres.
    """
    known = [u for u in upstreams.by_index.values() if is_expected(u, now)]
    data_centres = {u.registration.data_centre for u in known} | {data_centre}
    return all(
        count_own_slots(known, service, data_centre, now) * len(data_centres)
        >= LEAST_SHARE * count_slots(u for u in known if u.service == service)
        for service in services
    )


def is_expected(upstream, now):
    """Return whether an upstream serves, or would be known to if it were in reach."""
    registration = upstream.registration
    if upstream.replaced or registration.draining or registration.leaving:
        return False
    return now < upstream.expires_at + HIDDEN_SECONDS


def count_own_slots(known, service, data_centre, now):
    """Return the slots of a service's upstreams in a data centre that answer."""
    return count_slots(
        upstream
        for upstream in known
        if upstream.service == service
        and upstream.registration.data_centre == data_centre
        and now < upstream.expires_at
        and not is_silent(upstream, now)
    )


def count_slots(upstreams):
    """Return the slots of upstreams."""
    return sum(max(1, upstream.registration.slots) for upstream in upstreams)
