"""Lookups of instances that have just started: their format, and what a replica answers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.flows.lookups import LookupTable
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.schema import lookups
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    OTHER_FRONT_DOOR,
    ROUTES,
    build_registration,
)

KEY = lookups.derive_key(b"key of the site")
OTHER_KEY = lookups.derive_key(b"key of another site")

COOKIES = st.integers(1, 2**32 - 1)
ADDRESSES = st.tuples(st.binary(min_size=4, max_size=4), st.integers(1, 65_535))
TARGETS = st.builds(
    lookups.Target,
    COOKIES,
    ADDRESSES,
    st.integers(0, 255),
    st.booleans(),
    st.text(max_size=40),
)


def describe(target):
    """Return the fields of a Target."""
    return target.cookie, target.address, target.slots, target.is_local, target.name


def build_lookup():
    """Return a Lookup with both kinds of questions."""
    return lookups.Lookup(7, "dc1", [1, 2], [FRONT_DOOR])


class TestFormat:
    """The datagrams of lookups and answers."""

    @given(
        st.integers(0, 2**64 - 1),
        st.text(max_size=40),
        st.lists(COOKIES, max_size=24),
        st.lists(ADDRESSES, max_size=4),
    )
    def test_lookup_is_read_as_written(self, nonce, data_centre, cookies, front_doors):
        lookup = lookups.Lookup(nonce, data_centre, cookies, front_doors)
        read = lookups.decode_lookup(KEY, lookups.encode_lookup(KEY, lookup))
        assert (read.nonce, read.data_centre) == (nonce, data_centre)
        assert (read.cookies, read.front_doors) == (cookies, front_doors)

    @given(
        st.integers(0, 2**63),
        st.lists(TARGETS, max_size=8),
        st.dictionaries(ADDRESSES, st.lists(TARGETS, max_size=4), max_size=3),
    )
    def test_answer_is_read_as_written(self, revision, targets, candidates):
        answer = lookups.Answer(9, revision, targets, candidates)
        read = lookups.decode_answer(KEY, lookups.encode_answer(KEY, answer))
        assert (read.nonce, read.revision) == (9, revision)
        assert [*map(describe, read.targets)] == [*map(describe, targets)]
        assert {door: [*map(describe, found)] for door, found in read.candidates.items()} == {
            door: [*map(describe, found)] for door, found in candidates.items()
        }

    def test_largest_answer_fits_in_a_packet_of_the_network(self):
        target = lookups.Target(1, FRONT_DOOR, 2, True, "i-7f3a91c2d0")
        answer = lookups.Answer(
            1,
            1,
            [target] * lookups.MAX_COOKIES,
            {
                (bytes(4), number): [target] * lookups.MAX_TARGETS
                for number in range(lookups.MAX_FRONT_DOORS)
            },
        )
        assert len(lookups.encode_answer(KEY, answer)) <= 1472

    def test_another_site_is_refused(self):
        datagram = lookups.encode_lookup(OTHER_KEY, build_lookup())
        with pytest.raises(ValueError, match="wrong signature"):
            lookups.decode_lookup(KEY, datagram)

    def test_an_answer_is_no_lookup(self):
        datagram = lookups.encode_answer(KEY, lookups.Answer(1, 1))
        with pytest.raises(ValueError, match="unknown magic, version or kind"):
            lookups.decode_lookup(KEY, datagram)

    @given(st.binary(max_size=200))
    def test_signed_rubbish_is_refused_with_a_reason(self, body):
        prefix = lookups.PREFIX.pack(lookups.MAGIC, lookups.VERSION, lookups.ANSWER, 0)
        try:
            lookups.decode_answer(KEY, lookups.sign(KEY, prefix + body))
        except ValueError as error:
            assert str(error)

    def test_each_truncation_is_refused(self):
        datagram = lookups.encode_lookup(KEY, build_lookup())
        body = datagram[: -lookups.SIGNATURE_BYTES]
        for size in range(len(body)):
            with pytest.raises(ValueError):
                lookups.decode_lookup(KEY, lookups.sign(KEY, body[:size]))


def build_table(*registrations, now=0.0, **values):
    """Return a LookupTable with two routes and these registrations."""
    table = LookupTable(Upstreams(), random.Random(1), **values)
    for registration in registrations:
        table.upstreams.update(registration, now)
        table.add(registration)
    table.set_routes(
        {
            FRONT_DOOR: FrontDoorRoute((("nightsync", 1),)),
            OTHER_FRONT_DOOR: FrontDoorRoute((("nightsync", 1), ("restreport", 9))),
        },
        5,
    )
    return table


def find_cookie(table, number):
    """Return the cookie of an upstream by its number."""
    (cookie,) = (
        cookie
        for cookie, upstream in table.cookies.by_cookie.items()
        if upstream.registration.address == f"10.128.0.{number}:8080"
    )
    return cookie


def ask(table, now=1.0, cookies=(), front_doors=(), is_informed=True, data_centre="dc1"):
    """Return (names of the targets, names of the candidates by front door, revision)."""
    lookup = lookups.Lookup(1, data_centre, cookies, front_doors)
    answer = table.answer(lookup, is_informed, now)
    candidates = {
        door: [target.name for target in found] for door, found in answer.candidates.items()
    }
    return [target.name for target in answer.targets], candidates, answer.revision


class TestOpenFlows:
    """Upstreams of open flows, by their cookies."""

    def test_leased_upstream_is_named(self):
        table = build_table(build_registration(1), build_registration(2))
        cookie = find_cookie(table, 2)
        assert ask(table, cookies=[cookie])[0] == ["i-00000002"]

    def test_unknown_cookie_is_left_out(self):
        assert ask(build_table(build_registration(1)), cookies=[12345])[0] == []

    def test_draining_upstream_keeps_its_flows(self):
        table = build_table(build_registration(1, draining=True))
        assert ask(table, cookies=[find_cookie(table, 1)])[0] == ["i-00000001"]

    def test_expired_lease_is_not_vouched_for(self):
        table = build_table(build_registration(1))
        assert ask(table, now=4.1, cookies=[find_cookie(table, 1)])[0] == []

    def test_upstream_whose_address_another_one_took_is_not_named(self):
        """A reused address: its packets would reach another service."""
        table = build_table(build_registration(1))
        cookie = find_cookie(table, 1)
        successor = build_registration(1, service="restreport", incarnation=5000, name="i-9")
        table.upstreams.update(successor, 0.5)
        table.add(successor)
        assert ask(table, cookies=[cookie])[0] == []

    def test_deregistered_upstream_is_not_named(self):
        table = build_table(build_registration(1))
        cookie = find_cookie(table, 1)
        table.upstreams.update(build_registration(1, sequence=2, leaving=True), 0.5)
        assert ask(table, now=2.0, cookies=[cookie])[0] == []

    def test_a_replica_that_is_cut_off_names_upstreams_of_open_flows(self):
        """A data centre that is cut off goes on serving."""
        table = build_table(build_registration(1))
        cookies = [find_cookie(table, 1)]
        assert ask(table, cookies=cookies, is_informed=False)[0] == ["i-00000001"]


class TestNewFlows:
    """Upstreams for new flows, by front door."""

    def test_near_upstreams_come_first(self):
        table = build_table(
            *(build_registration(n, data_centre="dc2") for n in range(1, 5)),
            build_registration(5),
        )
        _, candidates, revision = ask(table, front_doors=[FRONT_DOOR])
        assert candidates[FRONT_DOOR][0] == "i-00000005"
        assert len(candidates[FRONT_DOOR]) == 5
        assert revision == 5

    def test_nothing_is_named_while_the_replica_is_not_informed(self):
        table = build_table(build_registration(1))
        _, candidates, revision = ask(table, front_doors=[FRONT_DOOR], is_informed=False)
        assert candidates == {}
        assert revision == 0

    def test_unknown_front_door_is_left_out(self):
        table = build_table(build_registration(1))
        assert ask(table, front_doors=[(bytes(4), 1)])[1] == {}

    def test_draining_evacuated_and_drained_upstreams_get_no_flows(self):
        table = build_table(
            build_registration(1, draining=True),
            build_registration(2, data_centre="dc2"),
            build_registration(3),
            build_registration(4),
        )
        table.upstreams.set_evacuated(["dc2"], 0.0)
        table.upstreams.set_drained(["10.128.0.3:8080"])
        assert ask(table, front_doors=[FRONT_DOOR])[1] == {FRONT_DOOR: ["i-00000004"]}

    def test_cold_upstreams_get_no_flows_of_a_warming_service(self):
        table = build_table(build_registration(1, warm_up_ms=5000), build_registration(2))
        route = FrontDoorRoute((("nightsync", 1),), warming_services=frozenset(["nightsync"]))
        table.set_routes({FRONT_DOOR: route}, 6)
        assert ask(table, front_doors=[FRONT_DOOR])[1] == {FRONT_DOOR: ["i-00000002"]}

    def test_services_are_chosen_by_weight(self):
        table = build_table(build_registration(1), build_registration(2, service="restreport"))
        named = [
            ask(table, front_doors=[OTHER_FRONT_DOOR])[1][OTHER_FRONT_DOOR] for _ in range(500)
        ]
        assert 20 < named.count(["i-00000001"]) < 90
        assert named.count(["i-00000002"]) == 500 - named.count(["i-00000001"])


def build_cluster():
    """Return a cluster of three control replicas, a front door and its service."""
    cluster = ControlCluster(controls=3, entries=0)
    cluster.commit(3, routes=(0,))
    front_door, route = next(iter(ROUTES.items()))
    return cluster, front_door, route.backends[0][0]


class TestRestartedReplica:
    """A replica that was down while an upstream started to drain."""

    def test_new_flows_wait_until_other_replicas_have_sent_their_tables(self):
        """Its disk still has the upstream as it was; the others know of the drain."""
        cluster, front_door, service = build_cluster()
        stored = build_registration(1, service, lifetime_ms=60_000)
        for address in cluster.seeds[1:]:
            draining = build_registration(
                1, service, lifetime_ms=60_000, sequence=2, draining=True
            )
            cluster.running[address].apply_registration(draining, cluster.now)
        restarted = cluster.running[cluster.seeds[0]]
        restarted.apply_registration(stored, cluster.now)
        lookup = lookups.Lookup(1, "dc1", (), [front_door])
        assert restarted.answer_lookup(lookup, cluster.now).candidates == {}
        cluster.run(1.0)
        assert restarted.subscriptions.reaches_most(cluster.now)
        assert restarted.answer_lookup(lookup, cluster.now).candidates == {front_door: []}

    def test_upstreams_are_named_once_they_have(self):
        cluster, front_door, service = build_cluster()
        registration = build_registration(1, service, lifetime_ms=60_000)
        cluster.running[cluster.seeds[1]].apply_registration(registration, cluster.now)
        cluster.run(1.0)
        answer = cluster.running[cluster.seeds[0]].answer_lookup(
            lookups.Lookup(1, "dc1", (), [front_door]), cluster.now
        )
        assert [target.name for target in answer.candidates[front_door]] == ["i-00000001"]
