"""Base classes of the stateful tests that run a simulated Site."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheevalve.tests.fakes.site import Site

SERVICES = ("nightsync", "restreport")


class SiteMachine(RuleBasedStateMachine):
    """A site that starts from a seed and goes through planned changes."""

    network = {}

    def __init__(self):
        super().__init__()
        self.site = None
        self.callers = 0

    def is_started(self):
        """Return whether the site has started."""
        return self.site is not None

    @precondition(lambda self: self.site is None)
    @rule(seed=st.integers(0, 2**32), instances=st.integers(3, 5))
    def start_site(self, seed, instances):
        self.site = Site(seed, instances, **self.network)
        self.site.run_until_settled()
        self.on_started()

    def on_started(self):
        """Set up the subclass once the site has started and settled."""

    @precondition(is_started)
    @rule(tenths=st.integers(1, 25))
    def pass_time(self, tenths):
        self.site.run(tenths / 10)

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def stop_or_start(self, number):
        """Stop an instance gracefully, or start it if it is down."""
        name = self.site.names[number % len(self.site.names)]
        staying = set(self.site.running) - self.site.paused - self.site.leaving
        if name not in self.site.running:
            self.site.start(name)
        elif name in staying and len(staying) > 2:
            self.site.stop(name)

    @precondition(is_started)
    @rule(numbers=st.sets(st.integers(0, 4), max_size=1))
    def drain(self, numbers):
        """Change the operators' set of drained upstreams."""
        addresses = [u.address for u in self.site.upstreams.values()]
        self.site.configure(drained=[addresses[number] for number in numbers])

    @precondition(is_started)
    @rule(number=st.integers(0, 4))
    def upstream_drains_itself(self, number):
        upstream = list(self.site.upstreams.values())[number]
        upstream.draining = not upstream.draining

    def next_caller(self):
        """Return the address of a new caller."""
        self.callers += 1
        return (f"10.5.{self.callers // 250}.{self.callers % 250 + 1}", 5000)

    @invariant()
    def nothing_is_misrouted(self):
        """Check that no packet has reached an upstream of another service."""
        if self.site is not None:
            assert self.site.misrouted() == []


class FailingSiteMachine(SiteMachine):
    """A site whose instances are also killed, paused and cut off."""

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 4))
    def kill(self, number):
        name = self.site.names[number % len(self.site.names)]
        if len(set(self.site.running) - self.site.paused - self.site.leaving) > 2:
            self.site.kill(name)

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 4))
    def pause_or_resume(self, number):
        name = self.site.names[number % len(self.site.names)]
        live = set(self.site.running) - self.site.paused - self.site.leaving
        if name in self.site.paused or (name in live and len(live) > 2):
            self.site.paused ^= {name}

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 4))
    def cut_or_heal(self, number):
        network = self.site.network
        if network.cuts:
            network.heal()
        else:
            name = self.site.names[number % len(self.site.names)]
            network.cut([name], [other for other in self.site.names if other != name])
