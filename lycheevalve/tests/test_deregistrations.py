"""Deregistrations that arrive late, after another incarnation has the name or the address."""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheevalve.flows.upstreams import DEREGISTRATION_GRACE_SECONDS, UpstreamState
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import build_registration

OTHER_ADDRESS = "10.128.0.99:8080"
LIFETIME_MS = 600_000


def build_cluster(*registrations):
    """Return a cluster of three replicas after the announcements of some upstreams."""
    cluster = ControlCluster(controls=3)
    cluster.run(1.0)
    for number, registration in enumerate(registrations):
        cluster.running[cluster.seeds[0]].handle_announcement(
            registration, f"beat-{number}", cluster.now
        )
    cluster.run(1.0)
    return cluster


def build(incarnation, **values):
    """Return the registration of an incarnation of one upstream."""
    values = {"name": "i-7", "lifetime_ms": LIFETIME_MS} | values
    return build_registration(1, incarnation=incarnation, **values)


def deregister(cluster, incarnation, replica=0):
    """Deregister an incarnation; return whether it was acknowledged."""
    control = cluster.running[cluster.seeds[replica]]
    control.deregister("i-7", incarnation, "end", cluster.now)
    cluster.run(1.0)
    return cluster.acknowledgements.pop("end")


def find_states(cluster, registration):
    """Return the states that the entry instances see of an upstream."""
    tables = [cluster.running[address].upstreams for address in cluster.entries]
    found = [t.find(registration.address, registration.incarnation) for t in tables]
    return {u.state(cluster.now) if u else None for u in found}


class TestEarlierIncarnation:
    """
    A deregistration that was held up on its way, while its name is in use again.

    Guards against open flows that are reset as their upstream, which runs, is taken for gone.
    """

    def test_next_one_at_the_same_address_stays(self):
        first, second = build(1, draining=True), build(2)
        cluster = build_cluster(first, second)
        assert deregister(cluster, 1) is True
        cluster.run(DEREGISTRATION_GRACE_SECONDS)
        assert find_states(cluster, second) == {UpstreamState.UP}

    def test_next_one_at_another_address_stays(self):
        first, second = build(1, draining=True), build(2, address=OTHER_ADDRESS)
        cluster = build_cluster(first, second)
        assert deregister(cluster, 1) is True
        assert find_states(cluster, second) == {UpstreamState.UP}
        assert find_states(cluster, first) == {UpstreamState.GONE}

    def test_call_that_names_no_incarnation_concerns_none_that_is_up(self):
        """Each upstream drains before it ends, so the call is not about this one."""
        registration = build(2)
        cluster = build_cluster(build(1, draining=True), registration)
        assert deregister(cluster, None) is False
        assert find_states(cluster, registration) == {UpstreamState.UP}

    def test_call_that_names_no_incarnation_ends_one_that_drains(self):
        registration = build(1, draining=True)
        cluster = build_cluster(registration)
        assert deregister(cluster, None) is True
        assert find_states(cluster, registration) == {UpstreamState.GONE}

    def test_repeated_call_is_acknowledged(self):
        cluster = build_cluster(build(1, draining=True))
        assert [deregister(cluster, 1, replica) for replica in (0, 1, 2)] == [True] * 3
        assert deregister(cluster, None) is True


class TestUnknownIncarnation:
    """A deregistration at a replica that can't know whether others use the upstream."""

    def test_incarnation_that_has_not_arrived_here_is_not_acknowledged(self):
        """The other replicas would go on sending it new flows."""
        registration = build(1)
        cluster = build_cluster(registration)
        assert deregister(cluster, 2) is False
        assert find_states(cluster, registration) == {UpstreamState.UP}

    def test_unknown_name_at_a_replica_that_has_just_started(self):
        registration = build(1)
        cluster = build_cluster(registration)
        lone = cluster.seeds[2]
        cluster.cuts = {frozenset((lone, other)) for other in cluster.seeds[:2]}
        cluster.start_control(lone)
        cluster.run(0.5)
        assert deregister(cluster, 1, replica=2) is False


class TestAfterTheEnd:
    """Heartbeats that were sent before a deregistration and arrive after it."""

    def test_late_heartbeat_does_not_bring_an_upstream_back(self):
        """Its sequence number may be the higher one, as other replicas had the last ones."""
        cluster = build_cluster(build(1, draining=True, sequence=3))
        assert deregister(cluster, 1) is True
        late = build(1, draining=False, sequence=30)
        for address in cluster.seeds:
            cluster.running[address].handle_announcement(late, "late", cluster.now)
        cluster.run(1.0)
        assert find_states(cluster, late) == {UpstreamState.GONE}


class DeregistrationMachine(RuleBasedStateMachine):
    """
    An upstream that starts, drains and ends again and again; its calls are delayed at random.

    After any order of arrival, an incarnation that runs and has not announced its end serves
    at all instances, and one whose end was acknowledged serves at none.
    """

    def __init__(self):
        super().__init__()
        self.cluster = ControlCluster(controls=3)
        self.cluster.run(1.0)
        self.incarnation, self.sequence, self.draining = 0, 0, False
        self.ended = set()
        self.delayed = collections.deque()
        self.start()

    def start(self):
        """Start the next incarnation, whose first heartbeat arrives at once."""
        self.incarnation, self.sequence, self.draining = self.incarnation + 1, 0, False
        self.deliver(self.build_heartbeat(), 0)

    def build_heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return build(self.incarnation, sequence=self.sequence, draining=self.draining)

    def deliver(self, call, replica):
        """Deliver a heartbeat, or the incarnation that a deregistration is about."""
        control = self.cluster.running[self.cluster.seeds[replica]]
        if isinstance(call, int):
            control.deregister("i-7", call, f"end-{call}", self.cluster.now)
        else:
            control.handle_announcement(call, "beat", self.cluster.now)
        self.cluster.run(0.6)

    @rule(replica=st.integers(0, 2))
    def announce(self, replica):
        self.deliver(self.build_heartbeat(), replica)

    @rule()
    def hold_up_heartbeat(self):
        self.delayed.append(self.build_heartbeat())

    @rule(replica=st.integers(0, 2), is_repeated_late=st.booleans())
    def end_and_start_again(self, replica, is_repeated_late):
        self.draining = True
        self.deliver(self.build_heartbeat(), replica)
        ended = self.incarnation
        self.deliver(ended, replica)
        assert self.cluster.acknowledgements[f"end-{ended}"] is True
        self.ended.add(ended)
        if is_repeated_late:
            self.delayed.append(ended)
        self.start()

    @rule(replica=st.integers(0, 2), order=st.sampled_from([0, -1]))
    def deliver_late(self, replica, order):
        if self.delayed:
            self.delayed.rotate(order)
            self.deliver(self.delayed.popleft(), replica)

    @invariant()
    def only_the_running_one_serves(self):
        assert find_states(self.cluster, build(self.incarnation)) == {UpstreamState.UP}
        for ended in self.ended:
            states = find_states(self.cluster, build(ended))
            assert states <= {UpstreamState.GONE, None}


TestDeregistrationMachine = DeregistrationMachine.TestCase
TestDeregistrationMachine.settings = settings(
    max_examples=25, stateful_step_count=15, deadline=None
)
