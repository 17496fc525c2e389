"""
Spreading of accepted configurations to all instances.

Instances tell each other which revision they apply and hold, by digests and on
the pings of the membership, and fetch what they lack from whoever holds it. A
revision is applied only when another instance of the data centre holds it too:
so an instance that restarts without a disk finds, among its neighbours, at
least what it had applied, and never goes back.
"""

import collections

import attrs

from lycheevalve.coordination.configuration import apply_change
from lycheevalve.schema.generated.messages import Configuration, Digest, Fetch, Fetched

FETCH_TIMEOUT_SECONDS = 0.4
# Instances of other data centres that hear at once of a new revision.
FANOUT = 3
# Changes kept to answer an instance that lacks only a few.
CHANGES_KEPT = 256
# How long a starting instance waits for the answers of all its peers.
START_SECONDS = 2.0


@attrs.define
class PeerRevision:
    """What a peer said last."""

    applied: int
    held: int
    heard_at: float
    # It has a quorum's word that it holds the newest.
    current: bool = False


@attrs.define
class Spreading:
    """
    The configuration that one instance holds and applies.

    `send(name, message)` sends; `neighbours()` names the live instances of the
    own data centre and `others()` all that are known, without this one;
    `bridges` are those outside the own group, whom no ping reaches;
    `apply(configuration, now)` puts a configuration in force.
    """

    send: object
    neighbours: object
    others: object
    apply: object
    random: object
    started_at: float
    bridges: tuple = ()
    applied: Configuration = attrs.field(factory=Configuration)
    held: Configuration = attrs.field(factory=Configuration)
    changes: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=CHANGES_KEPT)
    )
    peers: dict[str, PeerRevision] = attrs.field(factory=dict)
    fetching: str = ""
    fetch_at: float = float("-inf")
    ready: bool = False

    def digest(self):
        """Return what this instance tells others."""
        return Digest(self.applied.revision, self.held.revision)

    def learn(self, name, applied, held, now, current=False):
        """Take a peer's revisions; fetch from it what is newer."""
        self.peers[name] = PeerRevision(applied, held, now, current)
        if held > self.held.revision:
            self.fetch(name, now)
        self.apply_if_safe(now)

    def fetch(self, name, now):
        """Ask a peer for what it holds, unless another request is under way."""
        if self.fetching and now - self.fetch_at < FETCH_TIMEOUT_SECONDS:
            return
        self.fetching, self.fetch_at = name, now
        self.send(name, Fetch(self.held.revision))

    def handle_digest(self, sender, message, now):
        """Take a digest; one that is behind hears of the newer revision."""
        behind = message.held < self.held.revision
        self.learn(sender, message.applied, message.held, now)
        if behind:
            self.send(sender, self.digest())

    def handle_fetch(self, sender, message, now):
        """Answer with the changes that a peer lacks, or with everything."""
        if self.held.revision > message.revision:
            self.send(sender, self.build_fetched(message.revision))

    def build_fetched(self, revision):
        """Return what leads from a revision to the one held here."""
        missing = self.held.revision - revision
        answer = Fetched(revision=revision)
        if missing > len(self.changes):
            answer.whole = True
            answer.configuration = self.held
        elif missing > 0:
            answer.changes = list(self.changes)[-missing:]
        return answer

    def handle_fetched(self, sender, message, now):
        """Take what was fetched, if it is newer."""
        self.fetching = ""
        if message.whole:
            if message.configuration.revision > self.held.revision:
                self.changes.clear()
                self.hold(message.configuration, now)
        elif message.changes and message.revision == self.held.revision:
            configuration = self.held
            for change in message.changes:
                configuration = apply_change(configuration, change)
            self.changes.extend(message.changes)
            self.hold(configuration, now)

    def take_committed(self, configuration, changes, now):
        """Take what the replica of this instance has committed."""
        if configuration.revision <= self.held.revision:
            return
        if configuration.revision - self.held.revision == len(changes):
            self.changes.extend(changes)
        else:
            self.changes.clear()
        self.hold(configuration, now)

    def hold(self, configuration, now):
        """Hold a newer configuration, tell of it, and apply it when that is safe."""
        self.held = configuration
        digest = self.digest()
        near = list(self.neighbours())
        far = [name for name in self.others() if name not in near]
        far = self.random.sample(far, min(FANOUT, len(far)))
        for name in near + far:
            self.send(name, digest)
        self.apply_if_safe(now)

    def apply_if_safe(self, now):
        """Apply what is held when a neighbour holds it too, or there is none."""
        if not self.ready or self.held.revision <= self.applied.revision:
            return
        neighbours = list(self.neighbours())
        known = [self.peers[name] for name in neighbours if name in self.peers]
        backed = any(peer.held >= self.held.revision for peer in known)
        if backed or not neighbours:
            self.applied = self.held
            self.apply(self.applied, now)

    def tick(self, now):
        """Become ready, and repeat what may have been lost."""
        if not self.ready:
            self.become_ready(now)
        if self.bridges:
            self.send(self.random.choice(self.bridges), self.digest())
        behind = [
            name
            for name in self.others()
            if name in self.peers and self.peers[name].held > self.held.revision
        ]
        if behind:
            self.fetch(self.random.choice(behind), now)
        elif not self.ready or self.applied.revision < self.held.revision:
            for name in self.neighbours():
                self.send(name, self.digest())
        self.apply_if_safe(now)

    def become_ready(self, now):
        """End the start: all have told what they hold, and the newest is here."""
        others = list(self.others())
        answered = [name for name in others if name in self.peers]
        newest = max((self.peers[name].held for name in answered), default=0)
        if newest > self.held.revision:
            return
        if others and len(answered) == len(others):
            self.ready = True
        if any(self.peers[name].current for name in answered):
            self.ready = True
        self.ready = self.ready or now - self.started_at >= START_SECONDS
