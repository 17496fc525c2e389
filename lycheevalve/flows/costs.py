"""
The cost of an upstream in the choice for a new flow; the lowest wins.

Imports nothing, as early_routing.py uses it.
"""

# An upstream of another data centre gets a flow only if it has this many flows per
# slot fewer than the local ones: a network partition then breaks fewer flows.
REMOTE_PENALTY_FLOWS_PER_SLOT = 1.0


def estimate_cost(flows, slots, is_local, failure_factor=1.0):
    """Return the cost of one more flow; `slots` may be a fraction while it warms up."""
    load = (flows + 1) / slots * failure_factor
    return load + (0.0 if is_local else REMOTE_PENALTY_FLOWS_PER_SLOT)
