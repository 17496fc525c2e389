"""Faults of log replicas as rules of a stateful test; subclasses add changes and checks."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lycheevalve.coordination import consensus


class ReplicaFaults(RuleBasedStateMachine):
    """
    Crashes, full and lost disks, partitions and pauses.

    Subclasses set `replicas` at their start.
    """

    def __init__(self):
        super().__init__()
        self.replicas = None

    def is_started(self):
        """Return whether the replicas have been started."""
        return self.replicas is not None

    def collect(self):
        """Check the results and reads received since the last call."""
        raise NotImplementedError

    @precondition(is_started)
    @rule(steps=st.integers(1, 40), share=st.sampled_from([0.3, 1.0, 1.0]))
    def pass_time(self, steps, share):
        for _ in range(steps):
            self.replicas.step(share=share)
            self.collect()

    @precondition(is_started)
    @rule(number=st.integers(0, 4), after_sync=st.booleans())
    def crash(self, number, after_sync):
        name = self.pick(number)
        if name in self.replicas.running:
            consensus.tick(self.replicas.running[name], self.replicas.now)
            self.replicas.apply_effects(name, crash=after_sync)
            self.replicas.crash(name)

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def restart(self, number):
        name = self.pick(number)
        if name not in self.replicas.running:
            self.replicas.restart(name)

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def lose_disk(self, number):
        """Lose a disk unless another replica is still recovering from a loss."""
        name = self.pick(number)
        others = [other for other in self.replicas.names if other != name]
        if all(map(self.replicas.has_voting_disk, others)):
            self.replicas.lose_disk(name)
            self.replicas.restart(name)

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def fill_disk_or_free_space(self, number):
        disk = self.replicas.disks[self.pick(number)]
        disk.full = not disk.full

    @precondition(is_started)
    @rule(number=st.integers(0, 4), size=st.integers(1, 2))
    def partition(self, number, size):
        names = self.replicas.names
        start = number % len(names)
        group = (names + names)[start : start + size]
        self.replicas.network.cut(group, [name for name in names if name not in group])

    @precondition(is_started)
    @rule()
    def heal(self):
        self.replicas.network.heal()

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def pause_or_resume(self, number):
        name = self.pick(number)
        if name in self.replicas.running:
            self.replicas.paused ^= {name}

    def pick(self, number):
        return self.replicas.names[number % len(self.replicas.names)]
