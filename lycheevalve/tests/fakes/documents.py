"""Helpers for replicas that hold whole configurations: founding members and spares."""

import random

from lycheevalve.tests.fakes.replicas import ReplicaCluster, build_document

FOUNDING_MEMBERS = ["r1", "r2", "r3"]


def start_cluster(count=4, seed=1, target_member_count=3, **network):
    """Return a cluster with the founding members; further replicas are learners."""
    replicas = ReplicaCluster(
        count, random.Random(seed), FOUNDING_MEMBERS, target_member_count, **network
    )
    assert replicas.run_until(lambda: is_settled(replicas))
    return replicas


def is_settled(replicas):
    """Return whether there is one leader and all running replicas have its commit index."""
    leaders = replicas.leaders()
    if len(leaders) != 1:
        return False
    leader = replicas.running[leaders[0]]
    held = [r.commit for r in replicas.running.values()]
    return leader.has_committed_in_term() and min(held) == leader.commit


def commit_document(replicas, revision, text=b"text"):
    """Propose a whole configuration until there is a result; return the ChangeResult."""
    change = build_document(revision, text)
    before = len(replicas.results)

    def find():
        answers = [result for _, result in replicas.results[before:]]
        return next((r for r in answers if r.change_id == change.change_id), None)

    for _ in range(40):
        for name in replicas.leaders():
            replicas.propose(name, change)
        if replicas.run_until(find, 10):
            return find()
    raise AssertionError("the configuration was not accepted by any leader")


def applied_document(replicas, name):
    """Return (revision, document) of the configuration that a replica has applied."""
    configuration = replicas.running[name].state_machine.configuration
    return configuration.revision, configuration.document
