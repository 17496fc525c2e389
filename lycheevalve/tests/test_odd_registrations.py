"""Registrations that name no upstream, from an earlier version, over links and from disk."""

import attrs
import pytest

from lycheevalve.coordination.feeds import Feed
from lycheevalve.coordination.upstream_cache import read_upstream_cache, write_upstream_cache
from lycheevalve.flows.leases import Leases
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.logs.schema import validate_event
from lycheevalve.schema.generated.messages import LeaseQuery, Registrations
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import build_registration

LIFETIME_MS = 600_000
ODD_ADDRESSES = [
    "",
    "nowhere",
    "10.0.0.1:0",
    "10.0.0.1:70000",
    "0.0.0.0:1",
    "255.255.255.255:1",
]


def list_found(cluster):
    """Return the names of the upstreams that each entry instance may use."""
    tables = [cluster.running[address].upstreams for address in cluster.entries]
    return [
        sorted(u.registration.name for u in t.usable("nightsync", cluster.now)) for t in tables
    ]


class TestLists:
    """
    Lists of registrations with an odd one among them.

    Guards against a list that is not followed any more: the error of one entry kept all later
    ones from being applied, again at each poll.
    """

    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    def test_others_are_followed(self, monkeypatch, address):
        cluster = ControlCluster(controls=2)
        cluster.run(1.0)
        earlier = cluster.running[cluster.seeds[0]]
        odd = build_registration(5, address=address, lifetime_ms=LIFETIME_MS)
        sound = build_registration(6, lifetime_ms=LIFETIME_MS)
        # An earlier version lists what it has accepted.
        list_updates = Feed.list_updates
        monkeypatch.setattr(Feed, "list_updates", lambda *args: [odd, *list_updates(*args)])
        earlier.handle_announcement(sound, "beat", cluster.now)
        cluster.run(1.0)
        assert list_found(cluster) == [[sound.name]] * 2
        other = cluster.running[cluster.seeds[1]]
        assert list(other.upstreams.by_identity) == [(sound.address, sound.incarnation)]
        left_out = [d for _, name, d in cluster.events if name == "registration_left_out"]
        assert left_out
        assert validate_event("registration_left_out", left_out[0]) == []

    def test_stored_ones(self, tmp_path):
        cluster = ControlCluster(controls=1)
        odd = [build_registration(5, address=address) for address in ODD_ADDRESSES]
        sound = build_registration(6)
        write_upstream_cache(tmp_path, [*odd, sound])
        replica = cluster.running[cluster.seeds[0]]
        for registration in read_upstream_cache(tmp_path):
            replica.adopt_registration(registration, cluster.now)
        cluster.run(1.0)
        assert list_found(cluster) == [[sound.name]] * 2

    def test_instances_without_control_replicas(self):
        """They send each other registrations, and queries for leases by address."""
        cluster = ControlCluster(controls=1, entries=0)
        upstreams = cluster.running[cluster.seeds[0]].upstreams
        odd = [build_registration(5, address=address) for address in ODD_ADDRESSES]
        sound = build_registration(6, lifetime_ms=LIFETIME_MS)
        message = Registrations([*odd, sound])
        left_out = []
        leases = Leases(upstreams, None, None, None, lambda *event: left_out.append(event))
        leases.handle_registrations("a2", message, cluster.now)
        assert left_out == [
            ("bad_registrations", "a2", odd[0].name, address) for address in ODD_ADDRESSES
        ]
        query = LeaseQuery([*ODD_ADDRESSES, sound.address])
        found = upstreams.live_leases(cluster.now, query.addresses)
        assert [registration.name for registration in found] == [sound.name]


class TestTakenAddresses:
    """Registrations at the address of an upstream in use."""

    SOUND = build_registration(1, lifetime_ms=LIFETIME_MS)

    def announce_in_turn(self, **registrations):
        """Announce registrations to a replica, answered by their keys; return the cluster."""
        cluster = ControlCluster(controls=2)
        cluster.run(2.0)
        cluster.commit(3)
        replica = cluster.running[cluster.seeds[0]]
        for reply, registration in registrations.items():
            replica.handle_announcement(registration, reply, cluster.now)
        cluster.run(1.0)
        return cluster

    def announce(self, **values):
        """Announce a sound upstream and another one at its address; return what is found."""
        other = build_registration(1, **({"lifetime_ms": LIFETIME_MS} | values))
        cluster = self.announce_in_turn(sound=self.SOUND, other=other)
        return cluster.acknowledgements["other"], list_found(cluster)

    def test_unknown_service_takes_none(self):
        found = self.announce(service="never seen", name="i-odd", incarnation=9000)
        assert found == (False, [["i-00000001"]] * 2)

    def test_unknown_service_takes_none_from_a_replica_that_has_just_started(self):
        """Its table was empty, so that the address seemed to be free."""
        cluster = ControlCluster(controls=2)
        cluster.run(1.0)
        sound = build_registration(1, lifetime_ms=LIFETIME_MS)
        cluster.running[cluster.seeds[0]].handle_announcement(sound, "sound", cluster.now)
        cluster.run(1.0)
        cluster.start_control(cluster.seeds[1])
        cluster.commit(3)
        odd = build_registration(1, service="never seen", incarnation=9000)
        cluster.running[cluster.seeds[1]].handle_announcement(odd, "odd", cluster.now)
        cluster.run(1.0)
        assert cluster.acknowledgements["odd"] is False
        assert list_found(cluster) == [[sound.name]] * 2

    def test_target_is_found_after_an_unknown_service_took_its_free_address(self):
        """It was announced first, with a later start, and hides the target; soak, seed 226."""
        odd = build_registration(1, service="never seen", name="i-odd", incarnation=9000)
        cluster = self.announce_in_turn(odd=odd, sound=self.SOUND)
        assert list_found(cluster) == [[self.SOUND.name]] * 2

    def test_target_is_found_after_the_configuration_names_its_service(self):
        """No replica had a configuration yet, so that the later start held the address."""
        cluster = ControlCluster(controls=2)
        cluster.run(2.0)
        replica = cluster.running[cluster.seeds[0]]
        odd = build_registration(1, service="never seen", name="i-odd", incarnation=9000)
        replica.handle_announcement(odd, "odd", cluster.now)
        cluster.run(1.0)
        cluster.commit(3)
        # Entry instances get this heartbeat with the news of the configuration, before that.
        sound = build_registration(1, lifetime_ms=LIFETIME_MS)
        replica.handle_announcement(sound, "sound", cluster.now)
        cluster.run(1.0)
        assert list_found(cluster) == [[sound.name]] * 2

    def test_service_that_is_configured_later_holds_its_address_again(self):
        """An entry instance had left the registration out, and the feed does not repeat it."""
        cluster = ControlCluster(controls=2)
        cluster.run(2.0)
        cluster.commit(3, routes=[1])
        cluster.run(1.0)
        entry = cluster.running[cluster.entries[0]]
        sound = build_registration(1, lifetime_ms=LIFETIME_MS, incarnation=9000)
        former = build_registration(1, service="restreport", name="i-former")
        for address in cluster.seeds:
            cluster.running[address].adopt_registration(sound, cluster.now)
        cluster.run(1.0)
        # A replica that was cut off still lists the former upstream of the address.
        entry.update_upstream(former, cluster.seeds[1], cluster.now)
        assert entry.upstreams.find_at(sound.address).registration.name == former.name
        cluster.commit(4, routes=[0, 1])
        cluster.run(1.0)
        assert entry.upstreams.find_at(sound.address).registration.name == sound.name

    def test_copied_start_under_another_name_takes_none(self):
        """Packets with the other name's id were dropped by the target."""
        found = self.announce(name="i-odd", sequence=9)
        assert found == (False, [["i-00000001"]] * 2)

    @pytest.mark.parametrize("sequence", [100_000, 2**31 - 1])
    def test_sequence_far_ahead_hides_no_heartbeat(self, sequence):
        """The target's own heartbeats were ignored until its next start, its drain too."""
        odd = attrs.evolve(self.SOUND, sequence=sequence)
        cluster = self.announce_in_turn(sound=self.SOUND, odd=odd)
        replica = cluster.running[cluster.seeds[0]]
        drained = attrs.evolve(self.SOUND, sequence=2, draining=True)
        replica.handle_announcement(drained, "drained", cluster.now)
        cluster.run(1.0)
        assert cluster.acknowledgements == {"sound": True, "odd": False, "drained": True}
        assert list_found(cluster) == [[]] * 2

    def test_sequence_may_be_a_time(self):
        """An upstream that was cut off for a minute numbers its calls by milliseconds."""
        cluster = ControlCluster(controls=2)
        cluster.run(2.0)
        replica = cluster.running[cluster.seeds[0]]
        sound = build_registration(1, lifetime_ms=LIFETIME_MS)
        replica.handle_announcement(sound, "sound", cluster.now)
        later = attrs.evolve(sound, sequence=sound.sequence + 60_000)
        replica.handle_announcement(later, "later", cluster.now + 60.0)
        cluster.run(0.1)
        assert cluster.acknowledgements["later"]

    def test_start_copied_by_an_unknown_service_hides_no_target(self):
        odd = build_registration(1, service="never seen", sequence=9)
        cluster = self.announce_in_turn(odd=odd, sound=self.SOUND)
        assert list_found(cluster) == [[self.SOUND.name]] * 2

    def test_eviction_of_the_hidden_upstream_keeps_the_target(self):
        """Both had the same address and start, by which upstreams are found."""
        table = Upstreams(services=frozenset(["nightsync"]))
        odd = build_registration(1, service="never seen")
        sound = build_registration(1)
        assert table.update(odd, 0.0)
        assert table.update(sound, 0.0)
        assert not table.update(attrs.evolve(odd, sequence=9), 0.0)
        (hidden,) = table.by_service["never seen"]
        table.evict(hidden)
        assert table.find(sound.address, sound.incarnation).registration == sound

    def test_same_process_does_not_change_its_service(self):
        """A copy of a heartbeat with another service and a later number displaced it."""
        found = self.announce(service="restreport", sequence=9)
        assert found == (False, [["i-00000001"]] * 2)

    def test_address_is_reused_by_another_service(self):
        found = self.announce(service="restreport", name="i-next", incarnation=9000)
        assert found == (True, [[]] * 2)

    def test_address_is_reused_by_the_same_service(self):
        assert self.announce(name="i-next", incarnation=9000) == (True, [["i-next"]] * 2)
