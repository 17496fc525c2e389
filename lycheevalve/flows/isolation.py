"""
Isolation: whether a data centre cut off from the others can carry its load alone.

During a network partition callers may still reach data centres that the instances
of their own can't reach: the fabric sends packets there once no instance here is
ready. That helps the callers if the local upstreams lack capacity. Otherwise it does
harm, since the flows on the local upstreams break.
"""

from lycheevalve.flows.passive_health import is_unresponsive

# An upstream of another data centre that answered within this time is reachable:
# callers retransmit a packet after 0.2 s and after 0.6 s.
REACHABLE_ANSWER_SECONDS = 0.6
# The part of its share of a service's slots that a data centre needs: if slots are busy
# three quarters of the time, this part of them, always busy, carries the whole load.
MIN_LOCAL_SHARE = 0.75
# Leases of upstreams behind a partition expire; these upstreams count for this long.
UNREACHABLE_RETENTION_SECONDS = 30.0


def reaches_other_data_centres(upstreams, data_centre, now):
    """Return whether an upstream of another data centre answered recently."""
    return any(
        now - upstream.answered_at < REACHABLE_ANSWER_SECONDS
        for upstream in upstreams.by_index.values()
        if upstream.registration.data_centre != data_centre
    )


def has_no_room(service, slots, now):
    """Return False: the requests of the data centre are not known."""
    return False


def has_local_capacity(upstreams, data_centre, services, now, has_room=has_no_room):
    """
    Return whether a data centre's own upstreams can carry its load of each service.

    They can if they have room for its requests: `has_room(service, slots, now)`. Otherwise
    the load is assumed to be divided equally among the data centres.
    """
    expected = [u for u in upstreams.by_index.values() if is_expected_to_serve(u, now)]
    data_centres = {u.registration.data_centre for u in expected} | {data_centre}
    for service in services:
        slots = count_local_slots(expected, service, data_centre, now)
        all_slots = count_slots(u for u in expected if u.service == service)
        has_share = slots * len(data_centres) >= MIN_LOCAL_SHARE * all_slots
        if not has_share and not (slots and has_room(service, slots, now)):
            return False
    return True


def is_expected_to_serve(upstream, now):
    """Return whether an upstream serves, or can be expected to behind a partition."""
    registration = upstream.registration
    if upstream.replaced or registration.draining or registration.leaving:
        return False
    if upstream.evacuated:
        return False
    return now < upstream.expires_at + UNREACHABLE_RETENTION_SECONDS


def count_local_slots(expected, service, data_centre, now):
    """Return the slots of a service's responsive upstreams in a data centre."""
    return count_slots(
        upstream
        for upstream in expected
        if upstream.service == service
        and upstream.registration.data_centre == data_centre
        and now < upstream.expires_at
        and not is_unresponsive(upstream, now)
    )


def count_slots(upstreams):
    """Return the total slots of upstreams; each has at least one."""
    return sum(max(1, upstream.registration.slots) for upstream in upstreams)
