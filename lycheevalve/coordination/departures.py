"""
Departures: control replicas that stop as planned and have not started again.

Load: the control replicas of a site are restarted in turn while callers hold flows. The
silence of a replica is evidence that its data centre is cut off, and one that is restarted is
as silent. So a replica that stops says so to all that poll it. The others pass that on to the
entry instances, which count neither its silence nor what it last found as evidence, until a
new process at its address has polled or answered one of the others.
"""

import attrs


@attrs.define
class Departures:
    """The departures that one control replica knows; `address` is its own."""

    address: str
    # The number of the feed that stops, by the address of its replica.
    feeds: dict[str, int] = attrs.field(factory=dict)
    # Counts the changes of what is reported to subscribers.
    number: int = 0

    def add(self, address, feed):
        """Record that the replica with this feed stops."""
        if self.feeds.get(address) != feed:
            self.feeds[address] = feed
            self.number += 1

    def end(self, address, feed):
        """End the departure of an earlier process, as one with this feed runs."""
        if self.feeds.get(address, feed) != feed:
            del self.feeds[address]
            self.number += 1

    def retain(self, addresses):
        """Forget the departures of replicas that are not among these, but the own one."""
        for address in self.feeds.keys() - {self.address, *addresses}:
            del self.feeds[address]
            self.number += 1

    def list_leaving(self):
        """Return the addresses of all replicas that stop."""
        return sorted(self.feeds)
