"""
Which open flows are reset because their upstream has failed, so that callers open others.

A reset breaks a flow, so it must help its caller: the flow is idle, and its next request
goes to another upstream at once, or its request is idempotent and is repeated. A request
that isn't idempotent is left alone, as it may have run. Each function takes the CookieRouter
and returns the flows that it concerns as (packet to reset, upstream).
"""

from lycheevalve.flows.passive_health import RETRANSMITTED, is_unresponsive_now

# A request to a lost upstream has been lost if it has no answer for this long.
LOST_REQUEST_SECONDS = 0.1
# An instance without a packet for this long may be out of the fabric's rotation, with
# its flows moved to another instance.
OUT_OF_ROTATION_SECONDS = 0.3


def should_reset(router, route, upstream, observation, now):
    """
    Return whether to reset the flow of a packet instead of forwarding it.

    Only a flow that is itself unanswered is reset: one that has just moved here from
    another instance brings no evidence, and what was seen here may be out of date. Where
    packets are known to be lost, the first one suffices.
    """
    if not route.idempotent:
        return False
    if router.lost.is_lost(upstream, now):
        return router.choice.has_usable(upstream.service, now)
    if observation != RETRANSMITTED or not is_failed(router, upstream, now):
        return False
    return router.choice.has_healthy(upstream.service, now)


def is_failed(router, upstream, now):
    """Return whether own evidence against an upstream suffices to reset its flows."""
    if router.failures.is_cut_off(upstream, now):
        return True
    return is_unresponsive_now(upstream, now) and router.failures.has_failed(upstream, now)


def list_flows(router, upstreams):
    """Return the flows on some upstreams for which a reset can be built."""
    if not upstreams:
        return []
    flows = [flow for flow in router.flows.values() if flow.upstream in upstreams]
    return [flow for flow in flows if flow.last_ack_packet is not None]


def find_lost_flows(router, now):
    """
    Find the flows on lost upstreams that are idle or whose idempotent request was lost.

    A flow that has moved to another instance has lost its upstream there, too.
    """
    lost = router.lost.find(now)
    found = []
    for flow in list_flows(
        router, [u for u in lost if router.choice.has_usable(u.service, now)]
    ):
        packet = flow.last_ack_packet
        is_overdue = now - flow.sent_at >= LOST_REQUEST_SECONDS
        if flow.idle or (is_overdue and not flow.opening and router.is_idempotent(packet)):
            found.append((packet, flow.upstream))
    return found


def find_unresponsive_flows(router, now):
    """
    Find the flows on unresponsive upstreams that are idle or have idempotent requests.

    A flow that may have moved to another instance is left.
    """
    if now - router.last_packet_at > OUT_OF_ROTATION_SECONDS:
        return []
    failed = [u for u in router.upstreams.by_index.values() if is_failed(router, u, now)]
    replaceable = [u for u in failed if u.flows and router.choice.has_healthy(u.service, now)]
    return [
        (flow.last_ack_packet, flow.upstream)
        for flow in list_flows(router, replaceable)
        if flow.last_packet_at >= router.rebalanced_at
        and (flow.idle or router.is_idempotent(flow.last_ack_packet))
    ]


def find_replaced_flows(router, now):
    """
    Find the idle flows on upstreams that have ended, before their callers' next requests.

    Such a request would get no answer, and a caller must not repeat one that isn't
    idempotent. Flows that may have moved to another instance are included: their
    upstream answers through no instance. An expired lease does not suffice: the
    upstream may announce itself to a replica that is cut off.
    """
    replaced = [u for u in router.upstreams.by_index.values() if u.flows and u.replaced]
    replaceable = [u for u in replaced if router.choice.candidates(u.service, now)]
    return [
        (flow.last_ack_packet, flow.upstream)
        for flow in list_flows(router, replaceable)
        if flow.idle
    ]


# The reasons of resets, and the functions that find their flows.
RESETS = {
    "upstream_cut_off": find_lost_flows,
    "left_silent": find_unresponsive_flows,
    "upstream_replaced": find_replaced_flows,
}
