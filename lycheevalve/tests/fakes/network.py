"""A queue in memory between decisions: it drops, delays, duplicates, reorders and cuts."""

import attrs


@attrs.define
class Network:
    """Messages under way as (sender, receiver, message)."""

    random: object
    loss: float = 0.0
    duplication: float = 0.0
    queue: list = attrs.field(factory=list)
    cuts: set = attrs.field(factory=set)

    def send(self, sender, receiver, message):
        """Put a message on its way, unless it is lost."""
        if self.is_cut(sender, receiver) or self.random.random() < self.loss:
            return
        self.queue.append((sender, receiver, message))
        if self.random.random() < self.duplication:
            self.queue.append((sender, receiver, message))

    def is_cut(self, one, other):
        """Return whether nothing passes between two."""
        return frozenset((one, other)) in self.cuts

    def cut(self, group, others):
        """Let nothing pass between two groups; what is under way is lost."""
        self.cuts |= {frozenset((a, b)) for a in group for b in others if a != b}
        self.queue = [entry for entry in self.queue if not self.is_cut(*entry[:2])]

    def heal(self):
        """Let everything pass again."""
        self.cuts.clear()

    def take(self, share=1.0):
        """Return some of the messages under way, in any order."""
        self.random.shuffle(self.queue)
        count = max(1, int(len(self.queue) * share)) if self.queue else 0
        taken, self.queue = self.queue[:count], self.queue[count:]
        return taken
