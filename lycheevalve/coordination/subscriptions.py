"""
Subscriptions: the control replicas that a process polls, and what each told.

A process starts with a few addresses (its seeds), which may be down, cut off or
no longer control replicas; the replicas themselves name the others.
"""

import attrs

from lycheevalve.coordination.feeds import POLL_SECONDS
from lycheevalve.schema.generated.messages import Poll

# A source that answered within this time is in contact: two polls and a reconnection.
CONTACT_SECONDS = 2.0
# A poll is answered within POLL_SECONDS; after half as much again the source or the
# way to it is gone.
SILENT_SECONDS = 1.5 * POLL_SECONDS
# Without any source, upstreams are taken to live on for this long.
BLIND_SECONDS = 30.0
# A source that nobody names and that has been silent for this long is given up.
FORGET_SECONDS = 30.0
# The most sources that one process polls; more would not make news arrive sooner.
MAX_SOURCES = 9


@attrs.define
class Source:
    """One control replica, as seen from a subscriber."""

    feed: int = 0
    version: int = 0
    told: int = 0
    data_centre: str = ""
    heard_at: float = float("-inf")
    # Since when it may have been named or polled in vain.
    named_at: float = float("-inf")
    current: bool = False
    settled: bool = False
    # A poll is under way.
    polled: bool = False


@attrs.define
class Subscriptions:
    """
    The sources of one process.

    `me` is its own address, `process` tells its starts apart.
    """

    me: str
    data_centre: str
    is_control: bool
    process: int
    sources: dict[str, Source] = attrs.field(factory=dict)
    seeds: tuple = ()

    def use_seeds(self, seeds, now):
        """Poll these addresses from now on, beside those that replicas name."""
        self.seeds = tuple(seed for seed in seeds if seed != self.me)
        self.name_sources(self.seeds, now)

    def name_sources(self, addresses, now):
        """Note addresses of control replicas."""
        for address in addresses:
            if address == self.me:
                continue
            if address in self.sources:
                self.sources[address].named_at = now
            elif len(self.sources) < MAX_SOURCES:
                self.sources[address] = Source(named_at=now)

    def build_poll(self, address, spreading):
        """Return the next poll of a source."""
        source = self.sources[address]
        source.polled = True
        return Poll(
            address=self.me,
            data_centre=self.data_centre,
            is_control=self.is_control,
            applied=spreading.applied.revision,
            held=spreading.held.revision,
            feed=source.feed,
            version=source.version,
            process=self.process,
            told=source.told,
        )

    def take(self, address, news, now):
        """Note what a source told of itself and of others."""
        source = self.sources.get(address)
        if source is None:
            return
        source.feed, source.version, source.told = news.feed, news.version, news.held
        source.polled = False
        source.heard_at = source.named_at = now
        source.current, source.settled = news.current, news.settled
        source.data_centre = news.data_centre
        self.name_sources(news.controls, now)

    def in_contact(self, now):
        """Return the addresses of the sources that answered lately."""
        return [a for a, s in self.sources.items() if now - s.heard_at < CONTACT_SECONDS]

    def has_lost_others(self, now):
        """Return whether the sources of all other data centres have gone silent."""
        others = [
            s for s in self.sources.values() if s.data_centre not in ("", self.data_centre)
        ]
        return bool(others) and all(now - s.heard_at > SILENT_SECONDS for s in others)

    def trusted_until(self, now):
        """
        Return the time up to which it is known who renews and who does not.

        Without any source no news comes at all, of those that live either; what was
        known then holds for BLIND_SECONDS.
        """
        heard_at = max((s.heard_at for s in self.sources.values()), default=now)
        if now - heard_at <= SILENT_SECONDS:
            return now
        return max(heard_at, now - BLIND_SECONDS)

    def is_settled(self, now):
        """Return whether a source in contact knows the upstreams."""
        return any(self.sources[address].settled for address in self.in_contact(now))

    def forget_lost(self, now):
        """Give up sources that are silent and named by nobody; return them."""
        lost = [
            address
            for address, source in self.sources.items()
            if address not in self.seeds and now - source.named_at > FORGET_SECONDS
        ]
        for address in lost:
            del self.sources[address]
        return lost
