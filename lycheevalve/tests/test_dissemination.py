"""Dissemination of configurations under partitions and restarts without a disk."""

import random

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.schema.generated.messages import Change, Configuration, Fetched
from lycheevalve.tests.fakes.machines import SiteMachine
from lycheevalve.tests.fakes.site import DATA_CENTRES, Site

IN_FORCE_SECONDS = 5.0


class RevisionsNeverDecrease(SiteMachine):
    """
    No instance applies a lower revision than it applied before.

    An instance that restarts without a disk counts as the same instance, as long as a
    neighbour in its data centre keeps running.
    """

    network = {"loss": 0.1, "duplication": 0.1}

    def on_started(self):
        self.highest = {}

    @precondition(SiteMachine.is_started)
    @rule(count=st.integers(1, 3))
    def change(self, count):
        for _ in range(count):
            self.site.configure()

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 4))
    def restart_without_disk(self, number):
        """Restart one instance without its state while a ready neighbour keeps running."""
        site = self.site
        name = site.names[number % len(site.names)]
        place = site.names.index(name) % 2
        neighbours = [
            other
            for other in site.running
            if other != name
            and site.names.index(other) % 2 == place
            and site.running[other].dissemination.ready
            and other not in site.leaving
        ]
        if neighbours and name in site.running and not site.network.cuts:
            site.kill(name)
            site.start(name)

    @precondition(SiteMachine.is_started)
    @rule()
    def partition_data_centres(self):
        names = self.site.names
        self.site.network.cut(names[0::2], names[1::2])

    @precondition(SiteMachine.is_started)
    @rule()
    def heal(self):
        self.site.network.heal()

    @invariant()
    def applied_revision_never_decreases(self):
        if self.site is None:
            return
        for name, instance in self.site.running.items():
            applied = instance.dissemination.applied.revision
            if not instance.dissemination.ready:
                continue
            assert applied >= self.highest.get(name, 0)
            self.highest[name] = max(applied, self.highest.get(name, 0))

    def teardown(self):
        """The newest revision is in force everywhere within IN_FORCE_SECONDS of the faults."""
        if self.site is None:
            return
        self.site.network.heal()
        self.site.network.loss = 0.0
        self.site.run(IN_FORCE_SECONDS)
        newest = max(i.dissemination.held.revision for i in self.site.running.values())
        for name in set(self.site.running) - self.site.leaving:
            assert self.site.running[name].dissemination.applied.revision == newest


TestRevisions = RevisionsNeverDecrease.TestCase


class TestPartitionedDataCentre:
    """A data centre that is partitioned from the others."""

    def test_keeps_serving_and_converges_after_the_partition(self):
        site = Site(1)
        site.run_until_settled()
        near = site.names[0::2]
        far = site.names[1::2]
        site.network.cut(near, far)
        site.run(3.0)
        caller = ("10.5.0.1", 5000)
        for _ in range(3):
            site.send(caller, "nightsync", "stream", b"x", instance=near[0])
            site.run(0.5)
        assert len(site.answers_to(caller)) >= 3
        newer = attrs.evolve(site.configuration, revision=7)
        site.running[far[0]].dissemination.handle_commit(newer, [], site.now)
        site.run(3.0)
        assert site.running[near[0]].dissemination.applied.revision == 1
        site.network.heal()
        site.run(IN_FORCE_SECONDS)
        assert all(i.dissemination.applied.revision == 7 for i in site.running.values())

    def test_accepts_announcements_of_its_own_upstreams(self):
        site = Site(2)
        site.run_until_settled()
        near = site.names[0::2]
        site.network.cut(near, site.names[1::2])
        site.run(5.0)
        for name in near:
            usable = site.running[name].upstreams.usable("nightsync", site.now)
            assert len(usable) == 3
        assert DATA_CENTRES[0] == site.running[near[0]].settings.data_centre


class TestRestartWithoutDisk:
    """An instance that restarts without its state."""

    def test_is_not_ready_before_it_holds_what_its_neighbours_hold(self):
        site = Site(3)
        site.run_until_settled()
        for _ in range(300):
            site.configure()
        site.run(2.0)
        site.kill("a1")
        site.start("a1")
        assert not site.running["a1"].dissemination.ready
        site.run(2.0)
        assert site.running["a1"].dissemination.applied.revision == 301

    def test_revision_is_applied_only_when_a_neighbour_holds_it(self):
        site = Site(4)
        site.run_until_settled()
        site.network.cut(["a1"], site.names[1:])
        newer = attrs.evolve(site.configuration, revision=9)
        site.running["a1"].dissemination.handle_commit(newer, [], site.now)
        site.run(0.5)
        assert site.running["a1"].dissemination.applied.revision == 1
        site.network.heal()
        site.run(2.0)
        assert site.running["a1"].dissemination.applied.revision == 9

    def test_applies_nothing_while_a_newer_revision_may_be_fetched(self):
        dissemination, applied = build_dissemination()
        old, new = Configuration(8), Configuration(9)
        dissemination.handle_fetched("a2", Fetched(True, old), 0.1)
        dissemination.update_peer("a2", 8, 8, 0.2)
        assert applied == []
        dissemination.update_peer("a3", 9, 9, 0.3)
        dissemination.tick(0.5)
        dissemination.handle_fetched("a3", Fetched(True, new), 0.6)
        dissemination.tick(1.0)
        assert [configuration.revision for configuration in applied] == [9]


class TestStaleUpdates:
    """Fetched configurations and changes that arrive late."""

    def test_lower_revision_is_ignored(self):
        dissemination, applied = build_dissemination()
        dissemination.handle_fetched("a2", Fetched(True, Configuration(9)), 0.1)
        dissemination.handle_fetched("a2", Fetched(True, Configuration(8)), 0.2)
        assert dissemination.held.revision == 9

    def test_changes_for_another_base_revision_are_ignored(self):
        dissemination, _ = build_dissemination()
        dissemination.handle_fetched("a2", Fetched(True, Configuration(9)), 0.1)
        late = Fetched(revision=7, changes=[Change("c8"), Change("c9")])
        dissemination.handle_fetched("a2", late, 0.2)
        assert dissemination.held.revision == 9


def build_dissemination():
    """Return a starting Dissemination with two neighbours, and the list of what it applies."""
    applied = []
    dissemination = Dissemination(
        send=lambda name, message: None,
        neighbours=lambda: ["a2", "a3"],
        others=lambda: ["a2", "a3"],
        apply=lambda configuration, now: applied.append(configuration),
        random=random.Random(1),
        started_at=0.0,
    )
    return dissemination, applied
