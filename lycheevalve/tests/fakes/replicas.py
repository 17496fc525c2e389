"""A cluster of log replicas with in-memory disks, connected by a Network."""

import copy

import attrs

from lycheevalve.coordination import consensus
from lycheevalve.coordination.replacement import replace_lost_member
from lycheevalve.coordination.replica import Effects, Role
from lycheevalve.coordination.storage import Stored
from lycheevalve.schema.generated.messages import Change
from lycheevalve.schema.generated.settings import FrontDoor, Service
from lycheevalve.tests.fakes.network import Network

STEP_SECONDS = 0.05
# As in daemon/replica_task.py.
DISK_RETRY_DELAY_SECONDS = 0.5
# Without contact for this long a process is no learner, as in coordination/subscriptions.py.
CONTACT_TIMEOUT_SECONDS = 2.0
CATCH_UP_SECONDS = 4.0


def build_service(name, port=7001):
    """Return a valid service."""
    front_doors = [FrontDoor(f"127.0.0.1:{port}", "stream")]
    return Service(name=name, front_doors=front_doors, data_centres=["dc1"])


def build_change(change_id, base, name="nightsync"):
    """Return a change that puts one service."""
    return Change(change_id, base, [build_service(name)], author="student")


def build_document(revision, text=b"text"):
    """Return a change that replaces the whole configuration."""
    return Change(f"d{revision}", target_revision=revision, document=text)


class Disk:
    """
    An in-memory replacement for Storage that holds the synced state.

    A disk that is `full` stores a part of the records of a write and fails.
    """

    def __init__(self):
        self.stored = Stored()
        self.full = False

    def write_part(self, effects, random):
        """Store the snapshot, or the first of the records that replace the tail of the log."""
        snapshot = effects.snapshot if random.random() < 0.5 else None
        if effects.snapshot is not None:
            self.write(Effects(snapshot=snapshot))
            return
        entries = effects.entries[: random.randint(0, len(effects.entries))]
        if entries or random.random() < 0.5:
            self.write(Effects(truncate_from=effects.truncate_from, entries=entries))

    def write(self, effects):
        """Store a copy of the stored part of `effects`."""
        stored = self.stored
        if effects.truncate_from:
            stored.entries = [e for e in stored.entries if e.index < effects.truncate_from]
        stored.entries += copy.deepcopy(effects.entries)
        if effects.hard_state is not None:
            stored.hard_state = attrs.evolve(effects.hard_state)
        if effects.snapshot is not None:
            stored.snapshot = copy.deepcopy(effects.snapshot)
            index = effects.snapshot.index
            stored.entries = [e for e in stored.entries if e.index > index]


class ReplicaCluster:
    """
    Several replicas, their disks, and the results and reads that operators received.

    `results` holds (replica, result), `reads` (replica, token, configuration).
    """

    def __init__(self, count, random, founding_members=None, target_member_count=0, **network):
        self.random = random
        # The members of a site that starts for the first time; further processes are
        # spares. None lets the replicas probe each other, see start_replica.
        self.founding_members = founding_members
        self.target_member_count = target_member_count
        self.network = Network(random, **network)
        self.names = [f"r{number}" for number in range(1, count + 1)]
        self.disks = {name: Disk() for name in self.names}
        self.running = {}
        self.paused = set()
        # Name of a replica whose disk failed -> time when it loads its files again.
        self.retries = {}
        # (replica, other) -> time of their last contact; their polls do not use the network.
        self.contacts = {}
        self.now = 100.0
        self.results = []
        self.reads = []
        self.started = False
        for name in self.names:
            self.restart(name)
        self.started = True

    def restart(self, name):
        """Start a replica from its disk."""
        self.retries.pop(name, None)
        stored = copy.deepcopy(self.disks[name].stored)
        members = self.names if self.founding_members is None else self.founding_members
        self.running[name] = consensus.start_replica(
            name,
            members,
            self.random,
            stored,
            self.now,
            founding=None if self.founding_members is None else not self.started,
        )
        if self.founding_members is not None:
            self.running[name].set_learners(set(self.names) - {name}, {})

    def add_empty(self):
        """Start a further process with an empty disk; return its name."""
        name = f"r{len(self.disks) + 1}"
        self.names.append(name)
        self.disks[name] = Disk()
        self.restart(name)
        return name

    def crash(self, name):
        """Stop a replica and keep its disk."""
        self.running.pop(name, None)
        self.retries.pop(name, None)
        self.paused.discard(name)

    def lose_disk(self, name):
        """Stop a replica and empty its disk."""
        self.crash(name)
        self.disks[name] = Disk()

    def has_voting_disk(self, name):
        """Return whether a replica's disk holds its votes and entries."""
        hard_state = self.disks[name].stored.hard_state
        return hard_state is not None and not hard_state.recovering

    def apply_effects(self, name, crash=False):
        """Write and send the effects of a replica; `crash` stops it between the two."""
        replica = self.running[name]
        effects = replica.take_effects()
        disk = self.disks[name]
        if effects.needs_sync() and disk.full:
            disk.write_part(effects, self.random)
            self.crash(name)
            self.retries[name] = self.now + DISK_RETRY_DELAY_SECONDS
            return
        disk.write(effects)
        if crash:
            self.crash(name)
            return
        for receiver, message in effects.sends:
            self.network.send(name, receiver, copy.deepcopy(message))
        for result in effects.results:
            self.results.append((name, result))
        self.reads += [
            (name, token, replica.state_machine.configuration)
            for token in effects.confirmed_reads
        ]

    def retry_failed(self):
        """Restart the replicas whose disk failed and has room again."""
        for name, at in list(self.retries.items()):
            if self.now < at:
                continue
            self.retries[name] = at + DISK_RETRY_DELAY_SECONDS
            if not self.disks[name].full:
                self.restart(name)

    def step(self, seconds=STEP_SECONDS, share=1.0):
        """Advance the time, tick all replicas and deliver a share of the messages."""
        self.now += seconds
        self.retry_failed()
        if self.founding_members is not None:
            self.update_learners()
        for name in list(self.running):
            if name not in self.paused:
                consensus.tick(self.running[name], self.now)
                if self.target_member_count:
                    replace_lost_member(
                        self.running[name],
                        self.target_member_count,
                        CATCH_UP_SECONDS,
                        self.now,
                    )
                self.apply_effects(name)
        for sender, receiver, message in self.network.pop(share):
            if receiver in self.paused:
                self.network.queue.append((sender, receiver, message))
            elif receiver in self.running:
                consensus.handle(self.running[receiver], sender, message, self.now)
                self.apply_effects(receiver)

    def update_learners(self):
        """Update which replicas are in contact with each other."""
        active = [name for name in self.running if name not in self.paused]
        for name in active:
            others = [n for n in active if n != name and not self.network.is_cut(name, n)]
            self.contacts |= {(name, other): self.now for other in others}
            replica = self.running[name]
            silent_since = {
                other: self.contacts.get((name, other), self.now)
                for other in replica.learners
                if self.now - self.contacts.get((name, other), self.now)
                > CONTACT_TIMEOUT_SECONDS
            }
            replica.set_learners({*replica.learners, *others} - set(silent_since), silent_since)

    def leaders(self):
        """Return the names of the replicas that can propose a change now."""
        return [
            name
            for name, replica in self.running.items()
            if name not in self.paused and consensus.can_propose(replica, self.now)
        ]

    def propose(self, name, change):
        """Propose a change at a replica; return the result if it is available at once."""
        result = consensus.propose(self.running[name], change, self.now)
        self.apply_effects(name)
        return result

    def run_until(self, condition, steps=400):
        """Run up to `steps` steps until `condition()` holds; return whether it did."""
        for _ in range(steps):
            if condition():
                return True
            self.step()
        return condition()

    def read(self, name, token):
        """Request the newest configuration from a replica; `token` identifies the read."""
        consensus.request_read(self.running[name], token, self.now)
        self.apply_effects(name)

    def recover_all(self):
        """End all faults and restart the stopped replicas."""
        for disk in self.disks.values():
            disk.full = False
        self.network.heal()
        self.network.loss = self.network.duplication = 0.0
        self.paused.clear()
        for name in self.names:
            if name not in self.running:
                self.restart(name)

    def names_in_role(self, role):
        """Return the names of the replicas in a role."""
        return [name for name, replica in self.running.items() if replica.role is role]

    def is_settled(self):
        """Return whether there is a leader and no replica is blank or recovering."""
        unsettled = self.names_in_role(Role.BLANK) + self.names_in_role(Role.RECOVERING)
        return bool(self.leaders()) and not unsettled
