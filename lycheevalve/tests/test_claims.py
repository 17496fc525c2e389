"""Claims: at most one instance acquires the claim of a request."""

import itertools

from lycheevalve.flows.claims import QUORUM_TIMEOUT_SECONDS, Claims
from lycheevalve.schema.generated.messages import Claim

GROUP = ("a", "b", "c")
KEY = 77


class Trio:
    """The three instances of a claim group, connected by an in-memory queue."""

    def __init__(self, down=(), cuts=(), uninformed=()):
        self.down, self.cuts = set(down), {frozenset(pair) for pair in cuts}
        self.queue = []
        self.outcomes = {}
        self.claims = {}
        for name in GROUP:
            claims = Claims(name, 1, self.sender(name), 60.0, informed=name not in uninformed)
            self.claims[name] = claims

    def sender(self, sender):
        def send(receiver, message):
            if receiver not in self.down and frozenset((sender, receiver)) not in self.cuts:
                self.queue.append((sender, receiver, message))

        return send

    def ask(self, name, now=0.0):
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
        trio = Trio(cuts=[("a", "c")])
        trio.ask("a")
        trio.ask("c")
        trio.run()
        assert trio.winners() == ["a"]
        assert trio.outcomes["c"] == "a#1"

    def test_any_order_and_any_cut_gives_one_winner_at_most(self):
        pairs = list(itertools.combinations(GROUP, 2))
        for count in range(4):
            for cuts in itertools.combinations(pairs, count):
                for order in itertools.permutations(GROUP):
                    trio = Trio(cuts=cuts)
                    for name in order:
                        trio.ask(name)
                    trio.run()
                    assert len(trio.winners()) <= 1

    def test_recorder_without_memory_does_not_count(self):
        trio = Trio(down=["a"], uninformed=["b"])
        trio.ask("c")
        trio.run()
        assert trio.winners() == []
        trio.claims["c"].tick(QUORUM_TIMEOUT_SECONDS)
        assert trio.outcomes == {"c": ""}

    def test_one_recorder_down_is_enough_left(self):
        trio = Trio(down=["a"])
        trio.ask("c")
        trio.run()
        assert trio.winners() == ["c"]

    def test_duplicate_at_another_owner_learns_the_holder(self):
        trio = Trio()
        trio.ask("a")
        trio.run()
        trio.ask("b")
        trio.run()
        assert trio.outcomes == {"a": "a#1", "b": "a#1"}

    def test_claims_end_with_their_lifetime(self):
        trio = Trio()
        trio.ask("a")
        trio.run()
        for claims in trio.claims.values():
            claims.evict_expired(61.0)
            assert claims.held == {}
