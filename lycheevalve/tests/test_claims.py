"""Claims: at most one instance acquires the claim of a request and sends it."""

import itertools

from lycheevalve.flows.claims import QUORUM_TIMEOUT_SECONDS, Claims
from lycheevalve.schema.generated.messages import Claim

GROUP = ("a", "b", "c")
KEY = 77


class ClaimGroup:
    """The three instances of a claim group, connected by an in-memory queue."""

    def __init__(self, down=(), cuts=(), uninformed=()):
        self.down, self.cuts = set(down), {frozenset(pair) for pair in cuts}
        self.queue = []
        self.outcomes = {}
        self.claims = {}
        for name in GROUP:
            claims = Claims(
                name, 1, self.build_send(name), 60.0, informed=name not in uninformed
            )
            self.claims[name] = claims

    def build_send(self, sender):
        def send(receiver, message):
            if receiver not in self.down and frozenset((sender, receiver)) not in self.cuts:
                self.queue.append((sender, receiver, message))

        return send

    def acquire(self, name, now=0.0):
        self.claims[name].acquire(
            KEY, GROUP, lambda holder, at: self.outcomes.update({name: holder}), now
        )

    def run(self, now=0.0):
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            claims = self.claims[receiver]
            handle = claims.handle_claim if isinstance(message, Claim) else claims.handle_ack
            handle(sender, message, now)

    def winners(self):
        return [name for name, holder in self.outcomes.items() if holder == f"{name}#1"]


class TestQuorum:
    """A claim must be recorded by two of three instances."""

    def test_two_owners_that_share_one_recorder(self):
        group = ClaimGroup(cuts=[("a", "c")])
        group.acquire("a")
        group.acquire("c")
        group.run()
        assert group.winners() == ["a"]
        assert group.outcomes["c"] == "a#1"

    def test_any_order_and_any_cut_gives_one_winner_at_most(self):
        pairs = list(itertools.combinations(GROUP, 2))
        for count in range(4):
            for cuts in itertools.combinations(pairs, count):
                for order in itertools.permutations(GROUP):
                    group = ClaimGroup(cuts=cuts)
                    for name in order:
                        group.acquire(name)
                    group.run()
                    assert len(group.winners()) <= 1

    def test_uninformed_recorder_does_not_count(self):
        group = ClaimGroup(down=["a"], uninformed=["b"])
        group.acquire("c")
        group.run()
        assert group.winners() == []
        group.claims["c"].tick(QUORUM_TIMEOUT_SECONDS)
        assert group.outcomes == {"c": ""}

    def test_quorum_with_one_recorder_down(self):
        group = ClaimGroup(down=["a"])
        group.acquire("c")
        group.run()
        assert group.winners() == ["c"]

    def test_duplicate_at_another_owner_gets_the_holder(self):
        group = ClaimGroup()
        group.acquire("a")
        group.run()
        group.acquire("b")
        group.run()
        assert group.outcomes == {"a": "a#1", "b": "a#1"}

    def test_claims_expire_after_their_lifetime(self):
        group = ClaimGroup()
        group.acquire("a")
        group.run()
        for claims in group.claims.values():
            claims.evict_expired(61.0)
            assert claims.held == {}
