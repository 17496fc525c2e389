"""A large fleet in memory: replicas in six data centres, and upstreams with heartbeats."""

import collections

from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import LIFETIME_MS, build_registration

HEARTBEAT_SECONDS = LIFETIME_MS / 5000
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4", "dc5", "dc6")


class Fleet(ControlCluster):
    """Six replicas in as many data centres, and upstreams that send heartbeats to them."""

    def __init__(self, entries=8, upstreams=20):
        super().__init__(6, entries, data_centres=DATA_CENTRES)
        self.numbers = list(range(1, upstreams + 1))
        self.sequence = 0
        self.received = collections.Counter()
        self.polls = collections.Counter()
        for address, process in self.running.items():
            if address in self.entries:
                self.count_registrations(process)
            else:
                self.count_polls(address, process)

    def count_registrations(self, process):
        """Count the registrations that an entry instance receives."""
        handle = process.handle_updates

        def count(sender, update, now):
            self.received[process.address] += len(update.registrations)
            handle(sender, update, now)

        process.handle_updates = count

    def count_polls(self, address, process):
        """Count the polls of entry instances at a replica."""
        handle = process.handle_poll

        def count(poll, reply, now):
            self.polls[address] += not poll.is_control
            handle(poll, reply, now)

        process.handle_poll = count

    def announce(self):
        """Deliver a heartbeat of each upstream, each to one running replica."""
        self.sequence += 1
        running = [a for a in self.seeds if a in self.running]
        for number in self.numbers:
            control = self.running[running[number % len(running)]]
            registration = build_registration(number, sequence=self.sequence)
            control.handle_announcement(registration, f"beat-{number}", self.now)

    def run_heartbeats(self, seconds):
        """Advance the time while all upstreams send heartbeats."""
        for _ in range(round(seconds / HEARTBEAT_SECONDS)):
            self.announce()
            self.run(HEARTBEAT_SECONDS)

    def usable(self, address):
        """Return the number of upstreams that an entry instance places flows on."""
        entry = self.running[address]
        return len(entry.upstreams.usable("nightsync", self.now))


def build_fleet(**values):
    """Return a fleet whose instances hold a configuration and all upstreams."""
    fleet = Fleet(**values)
    fleet.commit(3)
    fleet.run_heartbeats(4.0)
    return fleet
