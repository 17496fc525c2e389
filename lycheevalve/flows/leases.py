"""
Distribution of upstreams' leases among the instances.

The instance that receives an announcement publishes it to all others directly.
An instance that misses a renewal queries one other instance, chosen at random.
"""

import attrs

from lycheevalve.flows.upstreams import find_address
from lycheevalve.schema.generated.messages import LeaseQuery, Registrations


@attrs.define
class Leases:
    """
    Publishes announcements to the other instances.

    `send(name, message)` queues a message to an instance; `others()` returns the
    names of the reachable ones. `observe(name, *details)` counts an event.
    """

    upstreams: object
    send: object
    others: object
    random: object
    observe: object = lambda name, *details: None
    pending: dict = attrs.field(factory=dict)

    def announce(self, registration, now):
        """Apply an announcement, and queue it for the other instances if it is new."""
        if self.upstreams.update(registration, now):
            self.pending[registration.address] = registration

    def publish(self, now):
        """Send the announcements since the last call to the other instances."""
        if not self.pending:
            return
        registrations = list(self.pending.values())
        self.pending = {}
        for name in self.others():
            self.send(name, Registrations(registrations))

    def apply(self, sender, registrations, now):
        """Apply registrations that another instance received; leave out those of no host."""
        for registration in registrations:
            if find_address(registration.address) is None:
                details = (registration.name, registration.address)
                self.observe("bad_registrations", sender, *details)
                continue
            self.upstreams.update(registration, now)

    def query_overdue(self, now):
        """Query another instance for the leases whose renewal is overdue."""
        overdue = self.upstreams.overdue_leases(now)
        others = list(self.others())
        if overdue and others:
            self.send(self.random.choice(others), LeaseQuery(overdue))

    def handle_registrations(self, sender, message, now):
        """Handle the registrations that another instance published."""
        self.apply(sender, message.registrations, now)

    def handle_query(self, sender, message, now):
        """Answer a query with the valid leases of the requested addresses, if there are any."""
        leases = self.upstreams.live_leases(now, message.addresses)
        if leases:
            self.send(sender, Registrations(leases))
