"""No open flow is reset while its upstream answers: random failures, simulated."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from lycheevalve.tests.fakes.world import RECOVERY_SECONDS, World


class EvidenceMachine(RuleBasedStateMachine):
    """Loss, congestion, pauses, slow and dark upstreams; no reset while an upstream answers."""

    counts_copies = False

    @initialize()
    def start(self):
        self.world = World(2, remote=2, counts_copies=self.counts_copies)
        for _ in range(12):
            self.world.start_flow()
        self.world.run(0.1)

    @rule(count=st.integers(1, 9))
    def open_flows(self, count):
        for _ in range(count):
            self.world.start_flow()

    @rule(share=st.integers(1, 4))
    def send_requests(self, share):
        for caller in self.world.callers[::share]:
            self.world.request(caller)

    @rule(delay=st.sampled_from((0.0, 0.0, 0.1, 0.4, 0.9, 1.8)))
    def congest(self, delay):
        self.world.link_delay = delay

    @rule(delay=st.sampled_from((0.0, 0.0, 0.1, 0.3, 0.7)))
    def congest_inbound(self, delay):
        self.world.inbound_delay = delay

    @rule(index=st.integers(1, 4), seconds=st.sampled_from((0.01, 0.05, 0.2, 0.45)))
    def change_speed(self, index, seconds):
        self.world.answer_seconds[index] = seconds

    @precondition(lambda self: self.world.now - self.world.lost_at > RECOVERY_SECONDS)
    @rule()
    def lose_packet(self):
        self.world.lose_next = True
        self.world.lost_at = self.world.now

    @rule(number=st.integers(0, 40))
    def move_flow(self, number):
        """Let the fabric send a flow's packets to another instance, or here again."""
        caller = self.world.callers[number % len(self.world.callers)]
        caller.moved = not caller.moved

    @rule(seconds=st.sampled_from((0.1, 0.3, 0.7, 0.95)))
    def pause(self, seconds):
        self.world.paused_until = self.world.now + seconds

    @rule(index=st.integers(1, 4))
    def darken(self, index):
        self.world.darken(index)

    @rule(index=st.integers(1, 4))
    def revive(self, index):
        self.world.revive(index)

    @rule(seconds=st.sampled_from((0.05, 0.15, 0.3, 0.7)))
    def advance(self, seconds):
        self.world.run(seconds)
        assert self.world.false_resets == []


TestEvidence = EvidenceMachine.TestCase
TestEvidence.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


class SlowRequestMachine(EvidenceMachine):
    """The same, with requests that are at work for longer and copies that are acknowledged."""

    counts_copies = True

    @rule(index=st.integers(1, 4), seconds=st.sampled_from((0.05, 0.45, 0.75, 1.2)))
    def change_speed(self, index, seconds):
        self.world.answer_seconds[index] = seconds


TestSlowRequests = SlowRequestMachine.TestCase
TestSlowRequests.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
