"""The leases of upstreams at an entry instance, as control replicas report them."""

import math

from lycheevalve.coordination.subscriptions import LEASE_EXTENSION_SECONDS


def update_leases(upstreams, subscriptions, sources, now):
    """
    Set whether the leases of upstreams hold, as the `sources` of the subscriptions report it.

    An expired lease holds again only after a newer registration: a replica that was paused
    still reports the leases of before. Without any source a lease holds for at most
    LEASE_EXTENSION_SECONDS; one that is renewed by registrations ends with its lifetime.
    """
    is_complete = subscriptions.is_settled(now)
    is_lost = now - subscriptions.last_answer_at(now) > LEASE_EXTENSION_SECONDS
    is_renewed = not sources and bool(subscriptions.in_contact(now))
    for upstream in upstreams:
        if subscriptions.is_leased(upstream.registration, sources):
            if upstream.expires_at > now:
                upstream.expires_at = math.inf
        elif upstream.expires_at < math.inf:
            continue
        elif is_renewed:
            upstream.expires_at = now + upstream.registration.lifetime_ms / 1000
        elif is_lost or (sources and is_complete):
            upstream.expires_at = now
