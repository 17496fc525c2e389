"""Leases reported by changes: upstreams, replicas and instances fail in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import LIFETIME_MS, build_registration

HEARTBEAT_SECONDS = LIFETIME_MS / 5000
CONTROLS, ENTRIES, UPSTREAMS = 4, 3, 5
# A lease may be relayed through every other replica before it expires, and the sources of
# an instance may have to be replaced.
CONVERGENCE_SECONDS = CONTROLS * LIFETIME_MS / 1000 + 4.0
numbers = st.integers(0, 100)


class LeaseReports(RuleBasedStateMachine):
    """
    Instances agree with the upstreams once the faults have ended.

    The oracle is the set of upstreams that send heartbeats, with their incarnations.
    """

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        centres = [f"dc{number + 1}" for number in range(CONTROLS)]
        self.cluster = ControlCluster(CONTROLS, ENTRIES, seed, centres)
        self.alive = set(range(1, UPSTREAMS + 1))
        self.incarnations = dict.fromkeys(self.alive, 1000)
        self.sequences = dict.fromkeys(self.alive, 0)
        self.paused = {}
        self.cluster.commit(3)
        self.run(4.0)

    def heartbeat(self, number, addresses):
        """Deliver an upstream's heartbeat to the first running replica of `addresses`."""
        running = [a for a in addresses if a in self.cluster.running]
        if running:
            self.sequences[number] += 1
            registration = build_registration(
                number,
                sequence=self.sequences[number],
                incarnation=self.incarnations[number],
            )
            control = self.cluster.running[running[0]]
            control.handle_announcement(registration, "beat", self.cluster.now)

    def run(self, seconds):
        """Advance the time while the upstreams that are alive send heartbeats."""
        for _ in range(round(seconds / HEARTBEAT_SECONDS)):
            for number in sorted(self.alive):
                addresses = list(self.cluster.seeds)
                self.cluster.random.shuffle(addresses)
                self.heartbeat(number, addresses)
            self.cluster.run(HEARTBEAT_SECONDS)

    def pick(self, addresses, number):
        """Return one of the running processes at these addresses, or None."""
        running = [a for a in addresses if a in self.cluster.running]
        return running[number % len(running)] if running else None

    @rule(seconds=st.sampled_from([0.8, 1.6, 4.0, 8.0]))
    def wait(self, seconds):
        self.run(seconds)

    @rule(number=numbers)
    def crash_upstream(self, number):
        self.alive.discard(1 + number % UPSTREAMS)

    @rule(number=numbers, is_new=st.booleans())
    def start_upstream(self, number, is_new):
        number = 1 + number % UPSTREAMS
        if number not in self.alive:
            self.alive.add(number)
            if is_new:
                self.incarnations[number] += 1
                self.sequences[number] = 0

    @rule(number=numbers)
    def restart_replica(self, number):
        address = self.pick(self.cluster.seeds, number)
        if address is not None:
            self.cluster.start_control(address)
            self.cluster.commit(3, controls=[address])

    @rule(number=numbers)
    def restart_entry(self, number):
        self.cluster.start_entry(self.cluster.entries[number % ENTRIES])

    @rule(number=numbers)
    def pause_replica(self, number):
        """Pause a replica; the steady clock of a paused machine stands still."""
        address = self.pick(self.cluster.seeds, number)
        if address is not None and len(self.paused) < CONTROLS - 2:
            self.paused[address] = (self.cluster.running.pop(address), self.cluster.now)

    @rule()
    def resume_replicas(self):
        for address, (process, since) in self.paused.items():
            for upstream in process.upstreams.by_address.values():
                upstream.expires_at += self.cluster.now - since
            self.cluster.running[address] = process
        self.paused = {}

    @rule(one=numbers, other=numbers)
    def cut(self, one, other):
        addresses = self.cluster.seeds + self.cluster.entries
        pair = (addresses[one % len(addresses)], addresses[other % len(addresses)])
        if pair[0] != pair[1]:
            self.cluster.cuts.add(frozenset(pair))

    @rule()
    def heal(self):
        self.cluster.cuts.clear()

    def usable(self, address):
        """Return the upstreams that an instance places flows on, as (number, incarnation)."""
        entry = self.cluster.running[address]
        found = entry.upstreams.usable("nightsync", self.cluster.now)
        return {(int(u.registration.name[2:], 16), u.registration.incarnation) for u in found}

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.resume_replicas()
        self.cluster.cuts.clear()
        self.run(CONVERGENCE_SECONDS)
        expected = {(number, self.incarnations[number]) for number in self.alive}
        for address in self.cluster.entries:
            assert self.usable(address) == expected
        assert self.cluster.revisions() == [3] * ENTRIES


TestLeaseReports = LeaseReports.TestCase
TestLeaseReports.settings = settings(stateful_step_count=15)


class TestFalseExpiry:
    """A replica that no longer receives heartbeats does not end leases for instances."""

    def test_instance_keeps_upstreams_of_the_sources_that_receive_heartbeats(self):
        machine = LeaseReports()
        machine.start(1)
        cluster = machine.cluster
        for address in cluster.seeds[1:]:
            cluster.cuts.add(frozenset((cluster.seeds[0], address)))
        for _ in range(20):
            for number in sorted(machine.alive):
                machine.heartbeat(number, cluster.seeds[1:])
            cluster.run(HEARTBEAT_SECONDS)
            for address in cluster.entries:
                assert len(machine.usable(address)) == UPSTREAMS

    def test_upstream_that_failed_while_all_replicas_restarted_expires(self):
        """No replica has a registration whose lease could expire (fuzz, seed 1)."""
        machine = LeaseReports()
        machine.start(297)
        machine.crash_upstream(0)
        for number in range(CONTROLS):
            machine.cluster.start_control(machine.cluster.seeds[number])
        machine.cluster.commit(3)
        machine.teardown()
