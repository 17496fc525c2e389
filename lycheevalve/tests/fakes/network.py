"""An in-memory network that loses, delays, duplicates, reorders and cuts off messages."""

import attrs


@attrs.define
class Network:
    """The messages in flight, as (sender, receiver, message)."""

    random: object
    loss: float = 0.0
    duplication: float = 0.0
    queue: list = attrs.field(factory=list)
    cuts: set = attrs.field(factory=set)

    def send(self, sender, receiver, message):
        """Queue a message, unless it is cut off or lost."""
        if self.is_cut(sender, receiver) or self.random.random() < self.loss:
            return
        self.queue.append((sender, receiver, message))
        if self.random.random() < self.duplication:
            self.queue.append((sender, receiver, message))

    def is_cut(self, one, other):
        """Return whether messages between two nodes are dropped."""
        return frozenset((one, other)) in self.cuts

    def cut(self, group, others):
        """Drop all messages between two groups, including those in flight."""
        self.cuts |= {frozenset((a, b)) for a in group for b in others if a != b}
        self.queue = [entry for entry in self.queue if not self.is_cut(*entry[:2])]

    def heal(self):
        """Remove all cuts."""
        self.cuts.clear()

    def pop(self, share=1.0):
        """Remove and return a share of the messages in flight, in random order."""
        self.random.shuffle(self.queue)
        count = max(1, int(len(self.queue) * share)) if self.queue else 0
        taken, self.queue = self.queue[:count], self.queue[count:]
        return taken
