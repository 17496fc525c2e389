"""
The replicated state machine that holds the configuration of a site.

A change carries the revision it is based on and a unique id. Of two changes
with the same base revision only one is accepted; the result of the other names
the winner. Changes are idempotent: the same id always returns the same result.
A whole configuration is accepted if its revision is the highest so far.
Evacuations of data centres are part of the configuration, see evacuations.py.
"""

import collections
import enum

import attrs

from lycheevalve.coordination.evacuations import apply_orders, get_evacuations
from lycheevalve.schema.generated.messages import (
    Acceptance,
    Change,
    ChangeResult,
    Configuration,
)

# Results and acceptances kept for deduplication and conflict reports.
RESULTS_KEPT = 10_000


class Outcome(enum.IntEnum):
    """The result code of a change."""

    ACCEPTED = 1
    CONFLICT = 2
    INVALID = 3
    REDIRECT = 4
    UNAVAILABLE = 5
    # A whole configuration whose revision is not above the accepted one.
    SUPERSEDED = 6


def apply_change(configuration, change):
    """Return a new configuration with an accepted change applied."""
    evacuations = apply_orders(get_evacuations(configuration), change)
    if change.keeps_revision:
        return attrs.evolve(configuration, evacuations=evacuations)
    if change.target_revision:
        return Configuration(
            change.target_revision, document=change.document, evacuations=evacuations
        )
    services = {service.name: service for service in configuration.services}
    for service in change.puts:
        services[service.name] = service
    for name in change.deletes:
        services.pop(name, None)
    drained = (set(configuration.drained) | set(change.drains)) - set(change.undrains)
    return Configuration(
        revision=configuration.revision + 1,
        services=[services[name] for name in sorted(services)],
        drained=sorted(drained),
        evacuations=evacuations,
    )


def accept_all(configuration, change):
    """Return an empty reason, which accepts any change."""
    return ""


@attrs.define
class ConfigurationStateMachine:
    """The accepted configuration and the results of earlier changes."""

    configuration: Configuration = attrs.field(factory=Configuration)
    results: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    acceptances: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # Returns why a change is invalid, or "". Must be deterministic, since every
    # replica runs it.
    check: object = accept_all

    def apply(self, change: Change):
        """Apply a committed change; return its ChangeResult."""
        if change.target_revision:
            return self.apply_whole(change)
        previous = self.results.get(change.change_id)
        if previous is not None:
            return previous
        result = self.apply_incremental(change)
        self.store_bounded(self.results, change.change_id, result)
        return result

    def apply_whole(self, change):
        """
        Accept a whole configuration if its revision is the highest so far.

        Return the ChangeResult. The revision alone makes this idempotent, so no result
        is kept.
        """
        accepted = change.target_revision > self.configuration.revision
        if accepted:
            self.configuration = apply_change(self.configuration, change)
        outcome = Outcome.ACCEPTED if accepted else Outcome.SUPERSEDED
        return ChangeResult(change.change_id, outcome, self.configuration.revision)

    def apply_incremental(self, change):
        """Apply an incremental change unless it conflicts or is invalid; return its result."""
        revision = self.configuration.revision
        if change.keeps_revision:
            self.configuration = apply_change(self.configuration, change)
            return ChangeResult(change.change_id, Outcome.ACCEPTED, revision)
        if change.base_revision != revision and not change.ignore_base:
            winner = self.acceptances.get(change.base_revision + 1)
            name = f"{winner.change_id} by {winner.author}" if winner else ""
            reason = f"based on revision {change.base_revision}, accepted is {revision}"
            return ChangeResult(change.change_id, Outcome.CONFLICT, revision, name, reason)
        reason = self.check(self.configuration, change)
        if reason:
            return ChangeResult(change.change_id, Outcome.INVALID, revision, "", reason)
        self.configuration = apply_change(self.configuration, change)
        revision = self.configuration.revision
        acceptance = Acceptance(revision, change.change_id, change.author)
        self.store_bounded(self.acceptances, revision, acceptance)
        return ChangeResult(change.change_id, Outcome.ACCEPTED, revision)

    @staticmethod
    def store_bounded(store, key, value):
        """Add an item to a store and evict the oldest beyond RESULTS_KEPT."""
        store[key] = value
        if len(store) > RESULTS_KEPT:
            store.popitem(last=False)

    def restore(self, snapshot):
        """Replace the state with that of a snapshot."""
        self.configuration = snapshot.configuration or Configuration()
        self.results = collections.OrderedDict(
            (result.change_id, result) for result in snapshot.results
        )
        self.acceptances = collections.OrderedDict(
            (acceptance.revision, acceptance) for acceptance in snapshot.acceptances
        )
