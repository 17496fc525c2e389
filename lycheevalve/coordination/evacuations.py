"""
Evacuations: operators' orders that the upstreams of a data centre get no new work.

The evacuated data centres are part of the replicated configuration. Each accepted order
that changes them gets the next number, and a process applies the highest number that it
has received. A replica that is behind or was paused therefore reverses no order. Where
operators number the revisions of the configuration themselves, an order leaves the
revision as it is. Of two orders about a data centre the one accepted later holds.
"""

import attrs

from lycheevalve.schema.generated.messages import Evacuations

NONE = Evacuations(data_centres=[])


def get_evacuations(configuration):
    """Return the Evacuations of a configuration; one stored by an earlier version has none."""
    return configuration.evacuations or NONE


def apply_orders(evacuations, change):
    """Return the Evacuations after a change; they are the same if it changes none."""
    current = set(evacuations.data_centres)
    wanted = (current | set(change.evacuates)) - set(change.restores)
    if wanted == current:
        return evacuations
    return Evacuations(evacuations.number + 1, sorted(wanted))


@attrs.define
class AppliedEvacuations:
    """
    The evacuations that one process applies; `apply(data_centres, now)` puts them in force.
    """

    apply: object
    evacuations: Evacuations = NONE

    @property
    def number(self):
        """Return the number of the newest order."""
        return self.evacuations.number

    def adopt(self, evacuations, now):
        """Apply evacuations unless the same or newer ones are in force; return whether new."""
        if evacuations is None or evacuations.number <= self.number:
            return False
        earlier, self.evacuations = self.evacuations, evacuations
        try:
            self.apply(evacuations.data_centres, now)
        except Exception:
            # The next update has the same order, which is applied then.
            self.evacuations = earlier
            raise
        return True
