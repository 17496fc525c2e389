"""
Dissemination of accepted configurations to all instances.

Instances send each other the revisions that they apply and hold, in digests and
on membership pings, and fetch missing changes from a peer that holds them. A
revision is applied only when another instance of the data centre holds it too.
An instance that restarts without a disk therefore finds at least the revision
that it had applied among its neighbours, and its revision never decreases.
"""

import collections

import attrs

from lycheevalve.coordination.configuration import apply_change
from lycheevalve.exceptions import SettingsError
from lycheevalve.schema.generated.messages import Configuration, Digest, Fetch, Fetched

FETCH_TIMEOUT_SECONDS = 0.4
# Instances of other data centres that are sent a new revision at once.
REMOTE_FANOUT = 3
# Changes kept for peers that are only a few revisions behind.
CHANGES_KEPT = 256
# A starting instance waits this long for answers from all its peers.
STARTUP_TIMEOUT_SECONDS = 2.0


@attrs.define
class PeerRevision:
    """The latest revisions that a peer has reported."""

    applied: int
    held: int
    received_at: float
    # A quorum has confirmed that the peer holds the newest revision.
    current: bool = False


@attrs.define
class Dissemination:
    """
    The configuration that one instance holds, and the one that it applies.

    `send(name, message)` sends a message; `neighbours()` returns the names of the
    live instances of its data centre and `others()` those of all peers, both
    without this instance; `bridges` are the peers outside its group, which
    membership pings do not reach; `apply(configuration, now)` puts a configuration
    in force, or raises SettingsError if it is unreadable; `observe(name, **details)`
    records an event.
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
    fetching_from: str = ""
    fetch_sent_at: float = float("-inf")
    # Whether the start is complete; nothing is applied before.
    ready: bool = False
    observe: object = lambda name, **details: None
    # The latest revision that turned out to be unreadable. The one before it stays applied.
    unreadable_revision: int = 0

    def build_digest(self):
        """Return the Digest of this instance's revisions."""
        return Digest(self.applied.revision, self.held.revision)

    def update_peer(self, name, applied, held, now, current=False):
        """Update a peer's revisions; fetch from it if it holds a newer one."""
        self.peers[name] = PeerRevision(applied, held, now, current)
        if held > self.held.revision:
            self.fetch(name, now)
        self.apply_if_safe(now)

    def fetch(self, name, now):
        """Request the missing changes from a peer, unless another request is pending."""
        if self.fetching_from and now - self.fetch_sent_at < FETCH_TIMEOUT_SECONDS:
            return
        self.fetching_from, self.fetch_sent_at = name, now
        self.send(name, Fetch(self.held.revision))

    def handle_digest(self, sender, message, now):
        """Handle a digest; answer with a digest if the sender is behind."""
        behind = message.held < self.held.revision
        self.update_peer(sender, message.applied, message.held, now)
        if behind:
            self.send(sender, self.build_digest())

    def handle_fetch(self, sender, message, now):
        """Answer with the changes that a peer lacks, or with the whole configuration."""
        if self.held.revision > message.revision:
            self.send(sender, self.build_fetched(message.revision))

    def build_fetched(self, revision):
        """Return the Fetched that leads from a revision to the held one."""
        missing = self.held.revision - revision
        answer = Fetched(revision=revision)
        if missing > len(self.changes):
            answer.whole = True
            answer.configuration = self.held
        elif missing > 0:
            answer.changes = list(self.changes)[-missing:]
        return answer

    def handle_fetched(self, sender, message, now):
        """Handle fetched changes or a whole configuration; stale ones are ignored."""
        self.fetching_from = ""
        if message.whole:
            if message.configuration.revision > self.held.revision:
                self.changes.clear()
                self.store_newer(message.configuration, now)
        elif message.changes and message.revision == self.held.revision:
            configuration = self.held
            for change in message.changes:
                configuration = apply_change(configuration, change)
            self.changes.extend(message.changes)
            self.store_newer(configuration, now)

    def handle_commit(self, configuration, changes, now):
        """Handle a configuration that the log replica of this process has committed."""
        if configuration.revision <= self.held.revision:
            return
        if configuration.revision - self.held.revision == len(changes):
            self.changes.extend(changes)
        else:
            self.changes.clear()
        self.store_newer(configuration, now)

    def store_newer(self, configuration, now):
        """Store a newer configuration, send digests, and apply it when that is safe."""
        self.held = configuration
        digest = self.build_digest()
        near = list(self.neighbours())
        far = [name for name in self.others() if name not in near]
        far = self.random.sample(far, min(REMOTE_FANOUT, len(far)))
        for name in near + far:
            self.send(name, digest)
        self.apply_if_safe(now)

    def apply_if_safe(self, now):
        """Apply the held configuration if a neighbour holds it too or there are none."""
        tried = max(self.applied.revision, self.unreadable_revision)
        if not self.ready or self.held.revision <= tried:
            return
        neighbours = list(self.neighbours())
        reported = [self.peers[name] for name in neighbours if name in self.peers]
        held_by_neighbour = any(peer.held >= self.held.revision for peer in reported)
        if held_by_neighbour or not neighbours:
            self.apply_held(now)

    def apply_held(self, now):
        """Apply the held configuration; keep the applied one if it is unreadable."""
        earlier, self.applied = self.applied, self.held
        try:
            self.apply(self.applied, now)
        except SettingsError as error:
            self.applied = earlier
            self.unreadable_revision = self.held.revision
            self.observe("not_applied", revision=self.held.revision, reason=str(error))
        except Exception:
            # The next attempt applies it again.
            self.applied = earlier
            raise

    def tick(self, now):
        """Update readiness, and repeat messages that may have been lost."""
        if not self.ready:
            self.update_readiness(now)
        if self.bridges:
            self.send(self.random.choice(self.bridges), self.build_digest())
        behind = [
            name
            for name in self.others()
            if name in self.peers and self.peers[name].held > self.held.revision
        ]
        if behind:
            self.fetch(self.random.choice(behind), now)
        elif not self.ready or self.applied.revision < self.held.revision:
            for name in self.neighbours():
                self.send(name, self.build_digest())
        self.apply_if_safe(now)

    def update_readiness(self, now):
        """
        Become ready once the newest reported revision is held.

        Requires reports from all peers, or one from a peer that is current, or
        the startup timeout.
        """
        others = list(self.others())
        answered = [name for name in others if name in self.peers]
        newest = max((self.peers[name].held for name in answered), default=0)
        if newest > self.held.revision:
            return
        if others and len(answered) == len(others):
            self.ready = True
        if any(self.peers[name].current for name in answered):
            self.ready = True
        self.ready = self.ready or now - self.started_at >= STARTUP_TIMEOUT_SECONDS
