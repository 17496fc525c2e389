"""Placement policies: the production one, and baselines to compare it with."""

import random
import types
from functools import lru_cache

import attrs
import xxhash

from lycheevalve.flows.placement import Placement, find_first_choice, score

MAGLEV_TABLE_SLOTS = 1021
VERSION_RETENTION_SECONDS = 60.0
_random = random.Random(7)
ENCODED_STREAM_PORT = (7001).to_bytes(2, "big")


@attrs.frozen
class Policy:
    """A named policy; `install(instance)` makes an instance follow it."""

    name: str
    install: object


def install_unchanged(instance):
    """Keep the production placement."""


def hash_modulo(key, candidates):
    """Return a candidate by the hash modulo the number of candidates."""
    ordered = sorted(candidates, key=lambda u: u.registration.address)
    return ordered[xxhash.xxh3_64_intdigest(key.to_bytes(8, "big")) % len(ordered)]


@lru_cache(maxsize=64)
def build_maglev(addresses):
    """Return a Maglev lookup table, which maps each slot to the index of an address."""
    permutations = []
    for address in addresses:
        name = address.encode()
        offset = xxhash.xxh3_64_intdigest(name, seed=1) % MAGLEV_TABLE_SLOTS
        skip = xxhash.xxh3_64_intdigest(name, seed=2) % (MAGLEV_TABLE_SLOTS - 1) + 1
        permutations.append(
            [(offset + j * skip) % MAGLEV_TABLE_SLOTS for j in range(MAGLEV_TABLE_SLOTS)]
        )
    table = [-1] * MAGLEV_TABLE_SLOTS
    positions = [0] * len(addresses)
    filled = 0
    while filled < MAGLEV_TABLE_SLOTS:
        for number, permutation in enumerate(permutations):
            while table[permutation[positions[number]]] >= 0:
                positions[number] += 1
            table[permutation[positions[number]]] = number
            filled += 1
            if filled == MAGLEV_TABLE_SLOTS:
                break
    return table


def hash_maglev(key, candidates):
    """Return a candidate by Maglev hashing."""
    ordered = sorted(candidates, key=lambda u: u.registration.address)
    table = build_maglev(tuple(u.registration.address for u in ordered))
    return ordered[table[key % MAGLEV_TABLE_SLOTS]]


def hash_rendezvous(key, candidates):
    """Return a candidate by rendezvous hashing."""
    return max(candidates, key=lambda upstream: score(key, upstream), default=None)


def build_stateless_installer(choose):
    """Return an install function: instances place every packet by `choose`, without pins."""

    def install(instance):
        def forward(self, key, service, datagram, now):
            candidates = self.upstreams.usable(service.name, now)
            if candidates:
                self.send_to_upstream(choose(key, candidates), datagram)

        replace_stream_forwarding(instance, forward)
        replace_request_placement(
            instance, lambda exchange, candidates, now: choose(exchange.key, candidates)
        )

    return install


def install_versioned(instance):
    """
    Place by versioned tables with daisy-chaining.

    Each instance pins the flows of which it has received a packet. A packet without
    a pin that does not open a flow is placed by the oldest table that is kept.
    """
    versions, pins = [], {}

    def forward(self, key, service, datagram, now):
        candidates = self.upstreams.usable(service.name, now)
        if not candidates:
            return
        if not versions or set(versions[-1][1]) != set(candidates):
            versions.append((now, candidates))
        while len(versions) > 1 and now - versions[1][0] > VERSION_RETENTION_SECONDS:
            versions.pop(0)
        upstream = pins.get(key)
        if upstream is None or not upstream.is_serving(now):
            opens_flow = datagram[28:29] == b"0"
            table = versions[-1 if opens_flow else 0][1]
            table = [u for u in table if u.is_serving(now)] or candidates
            upstream = pins[key] = hash_maglev(key, table)
        self.send_to_upstream(upstream, datagram)

    replace_stream_forwarding(instance, forward)
    replace_request_placement(
        instance, lambda exchange, candidates, now: hash_maglev(exchange.key, candidates)
    )


def build_pinned_installer(choose_stream, choose_request):
    """
    Return an install function: owners and pins as in production, another placement.

    New streams are placed by `choose_stream(key, candidates)` and requests by
    `choose_request(candidates)`.
    """

    def install(instance):
        def choose(self, key, service, now):
            candidates = self.upstreams.usable(service.name, now)
            if not candidates:
                return None
            chosen = choose_stream(key, candidates)
            return Placement(chosen, chosen is find_first_choice(key, candidates))

        replace_methods(instance.streams, choose=choose)
        replace_request_placement(
            instance, lambda exchange, candidates, now: choose_request(candidates)
        )

    return install


def replace_methods(part, **methods):
    """Replace methods of one object by giving it a subclass of its class."""
    cls = type(part)
    body = {"__slots__": (), **methods}
    part.__class__ = types.new_class(
        f"Bench{cls.__name__}", (cls,), exec_body=build_class_body(body)
    )


def build_class_body(names):
    """Return a function that fills a class namespace, for `types.new_class`."""
    return lambda namespace: namespace.update(names)


def replace_stream_forwarding(instance, forward):
    """Replace how streams are forwarded; each instance handles all packets it receives."""
    replace_methods(instance.streams, forward=forward)
    handle_caller = type(instance.router).handle_caller
    owner, own_name = instance.router.owner, instance.settings.name

    def handle(self, packet, hops, now):
        is_stream = packet.endpoints[10:12] == ENCODED_STREAM_PORT
        self.owner = (lambda shard: own_name) if is_stream else owner
        handle_caller(self, packet, hops, now)

    replace_methods(instance.router, handle_caller=handle)


def replace_request_placement(instance, choose):
    """Replace how the upstream of a request is chosen."""

    def chosen(self, exchange, candidates, now):
        return choose(exchange, candidates, now) if candidates else None

    replace_methods(instance.requests.admission, choose=chosen)


def least_reported_sessions(key, candidates):
    """Return the candidate that reports the fewest sessions."""
    return min(candidates, key=lambda u: (u.registration.sessions, u.registration.address))


def least_reported_busy(candidates):
    """Return the candidate that reports the fewest requests per slot."""
    return min(
        candidates,
        key=lambda u: (u.registration.busy + u.registration.queued) / u.registration.slots,
    )


def two_choices_sessions(key, candidates):
    """Return the better of two random candidates by this instance's active flows."""
    pair = random.Random(key).sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda upstream: upstream.active_streams)


def two_choices_busy(candidates):
    """Return the better of two random candidates by this instance's outstanding requests."""
    pair = _random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda upstream: upstream.outstanding)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("chosen", install_unchanged),
        Policy("modulo", build_stateless_installer(hash_modulo)),
        Policy("rendezvous", build_stateless_installer(hash_rendezvous)),
        Policy("maglev", build_stateless_installer(hash_maglev)),
        Policy("versioned", install_versioned),
        Policy(
            "least_reported",
            build_pinned_installer(least_reported_sessions, least_reported_busy),
        ),
        Policy("two_choices", build_pinned_installer(two_choices_sessions, two_choices_busy)),
    )
}
