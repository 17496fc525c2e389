"""
Placement of new flows: weighted rendezvous hashing with bounded loads.

Every instance computes the same ranking of the upstreams for a flow. The flow
goes to the first of them, or to a lower one while that one exceeds its load
bound. Sources: weighted rendezvous hashing; Mirrokni, Thorup, Zadimoghaddam,
"Consistent Hashing with Bounded Loads" (2018).
"""

import math

import attrs
import xxhash

HASH_RANGE = 2**64


@attrs.frozen
class Placement:
    """The upstream of a flow, and whether it is the first choice of rendezvous hashing."""

    upstream: object
    is_first_choice: bool


def score(key, upstream):
    """Return the weighted rendezvous score of an upstream for a flow; the highest wins."""
    identity = upstream.registration.address.encode()
    digest = xxhash.xxh3_64_intdigest(identity, seed=key)
    weight = max(1, upstream.registration.connections)
    return -weight / math.log((digest + 1) / (HASH_RANGE + 1))


def rank_upstreams(key, candidates):
    """Return the candidates for a flow, highest score first."""
    return sorted(candidates, key=lambda upstream: score(key, upstream), reverse=True)


def find_first_choice(key, candidates):
    """Return the candidate with the highest score regardless of load, or None."""
    return max(candidates, key=lambda upstream: score(key, upstream), default=None)


def place(key, candidates, capacities, balance):
    """
    Return the Placement of a new flow, or None without candidates.

    `capacities` maps an upstream's index to its relative capacity, which is small
    while it warms up. No upstream gets more than `balance` times its share of the
    flows while another has room.
    """
    if not candidates:
        return None
    ranked = rank_upstreams(key, candidates)
    total_capacity = sum(capacities[upstream.index] for upstream in ranked)
    flows_per_share = (sum(upstream.active_streams for upstream in ranked) + 1) / total_capacity

    def has_room(upstream):
        share = flows_per_share * capacities[upstream.index]
        return upstream.active_streams < share * balance

    def load_ratio(upstream):
        return upstream.active_streams / capacities[upstream.index]

    chosen = next(filter(has_room, ranked), None) or min(ranked, key=load_ratio)
    return Placement(chosen, chosen is ranked[0])
