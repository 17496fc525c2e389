"""
Spreading of the upstreams' leases among the instances.

News goes one hop to all others, soon after it came; an instance that has not
heard of a renewal asks one other at random.
"""

import attrs

from lycheevalve.schema.generated.messages import LeaseQuery, Registrations


@attrs.define
class Leases:
    """Tells others of announcements; `others()` names the reachable instances."""

    upstreams: object
    send: object
    others: object
    random: object
    pending: dict = attrs.field(factory=dict)

    def announce(self, registration, now):
        """Take an announcement and queue it for the other instances."""
        if self.upstreams.update(registration, now):
            self.pending[registration.address] = registration

    def tell(self, now):
        """Tell the others what upstreams announced since the last call."""
        if not self.pending:
            return
        registrations = list(self.pending.values())
        self.pending = {}
        for name in self.others():
            self.send(name, Registrations(registrations))

    def take(self, registrations, now):
        """Take what upstreams told another instance."""
        for registration in registrations:
            self.upstreams.update(registration, now)

    def query_late(self, now):
        """Ask another instance for leases that should have been renewed by now."""
        late = self.upstreams.late_leases(now)
        others = list(self.others())
        if late and others:
            self.send(self.random.choice(others), LeaseQuery(late))

    def handle_registrations(self, sender, message, now):
        """Take another instance's news."""
        self.take(message.registrations, now)

    def handle_query(self, sender, message, now):
        """Answer with the leases that are known here."""
        leases = self.upstreams.live_leases(now, message.addresses)
        if leases:
            self.send(sender, Registrations(leases))
