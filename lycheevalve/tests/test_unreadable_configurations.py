"""Stored configurations that instances can't read, as earlier versions accepted some."""

import zlib

import pytest

from lycheevalve.control import ControlReplica
from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.exceptions import SettingsError
from lycheevalve.platform.documents import read_routes
from lycheevalve.schema.generated.messages import Change, Configuration
from lycheevalve.schema.lookups import Lookup
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.operators import build_value, encode

FRONT_DOOR = (bytes([198, 18, 0, 1]), 443)


def compress_route(**changes):
    """Return the stored document of a configuration, whose route need not be valid."""
    return zlib.compress(encode(build_value(**changes)))


READABLE = compress_route()
UNREADABLE = {
    "not compressed": b"no document",
    "no JSON": zlib.compress(b"{"),
    "no object": zlib.compress(b"[]"),
    "too many levels of nesting": zlib.compress(b"[" * 100_000),
    "a time-out beyond a double": compress_route(timeoutMs=10**400),
    "a latency beyond a double": compress_route(targetLatencyMs=10**400),
    "a weight beyond a double": compress_route(
        weightedBackends=[{"service": "a", "weight": 10**400}]
    ),
    "no time-out": compress_route(timeoutMs=None),
    "no host": compress_route(host=None),
    "a host that is no address": compress_route(host="front.example"),
    "no service": compress_route(service=None),
}
unreadable = pytest.mark.parametrize("document", UNREADABLE.values(), ids=UNREADABLE)


def use_documents(cluster):
    """Make all processes read documents as those of the platform do."""
    for process in cluster.running.values():
        process.read_routes = read_routes


def commit(cluster, revision, document):
    """Commit a document at all control replicas."""
    change = Change(f"d{revision}", target_revision=revision, document=document)
    configuration = Configuration(revision, document=document)
    for address in cluster.seeds:
        cluster.running[address].handle_commit(configuration, [change], cluster.now)


def start_cluster():
    """Return a ControlCluster whose entry instances apply the readable revision 1."""
    cluster = ControlCluster()
    use_documents(cluster)
    commit(cluster, 1, READABLE)
    assert cluster.run_until(lambda: cluster.revisions() == [1, 1]) is not None
    return cluster


def list_refusals(cluster):
    """Return the sorted (address, revision) of the events of unreadable configurations."""
    return sorted(
        (address, details["revision"])
        for address, name, details in cluster.events
        if name == "not_applied" and details["reason"]
    )


class TestUnreadable:
    """An unreadable configuration leaves the earlier one in force and ends no process."""

    @unreadable
    def test_error_of_the_content_is_reported_as_one_kind(self, document):
        """Errors of other kinds left the task of the instance that read the document."""
        with pytest.raises(SettingsError, match="unreadable"):
            read_routes(document)

    @unreadable
    def test_entry_instances_keep_the_earlier_routes(self, document):
        """The error ended each entry instance; it is now logged once by each of them."""
        cluster = start_cluster()
        commit(cluster, 2, document)
        cluster.run(3.0)
        assert cluster.revisions() == [1, 1]
        for address in cluster.entries:
            assert set(cluster.running[address].cookie_router.routes) == {FRONT_DOOR}
            assert cluster.running[address].dissemination.held.revision == 2
        assert list_refusals(cluster) == [(address, 2) for address in cluster.entries]

    def test_next_readable_configuration_is_applied(self):
        """An unreadable revision must not block the ones after it."""
        cluster = start_cluster()
        commit(cluster, 2, UNREADABLE["no host"])
        cluster.run(1.0)
        commit(cluster, 3, UNREADABLE["no JSON"])
        cluster.run(1.0)
        commit(cluster, 4, READABLE)
        assert cluster.run_until(lambda: cluster.revisions() == [4, 4]) is not None
        assert len(list_refusals(cluster)) == 4

    def test_started_instance_waits_for_a_readable_configuration(self):
        """It ended at each start; it now reports that it isn't ready, until it has settings."""
        cluster = start_cluster()
        commit(cluster, 2, UNREADABLE["a time-out beyond a double"])
        cluster.run(1.0)
        address = cluster.entries[0]
        cluster.start_entry(address)
        use_documents(cluster)
        cluster.run(5.0)
        entry = cluster.running[address]
        assert entry.unready_reason(cluster.now) == "no settings"
        commit(cluster, 3, READABLE)
        assert cluster.run_until(lambda: cluster.revisions() == [3, 3]) is not None
        assert entry.unready_reason(cluster.now) != "no settings"

    @unreadable
    def test_replicas_answer_lookups_with_the_earlier_routes(self, document):
        """Each lookup of a starting instance raised the error again."""
        cluster = start_cluster()
        commit(cluster, 2, document)
        cluster.run(1.0)
        replica = cluster.running[cluster.seeds[0]]
        assert isinstance(replica, ControlReplica)
        lookup = Lookup(1, "dc1", front_doors=[FRONT_DOOR])
        answer = replica.answer_lookup(lookup, cluster.now)
        assert (answer.revision, list(answer.candidates)) == (1, [FRONT_DOOR])
        assert replica.dissemination.held.revision == 2


class TestFailures:
    """Errors other than an unreadable configuration."""

    def test_configuration_that_failed_is_not_reported_as_applied(self):
        """The revision counted as applied, and was never applied, after such an error."""
        errors = [MemoryError()]
        applied = []

        def apply(configuration, now):
            if errors:
                raise errors.pop()
            applied.append(configuration.revision)

        dissemination = Dissemination(
            send=lambda name, message: None,
            neighbours=list,
            others=list,
            apply=apply,
            random=None,
            started_at=0.0,
            ready=True,
        )
        dissemination.held = Configuration(5)
        with pytest.raises(MemoryError):
            dissemination.apply_if_safe(1.0)
        assert dissemination.applied.revision == 0
        dissemination.apply_if_safe(2.0)
        assert applied == [5]
