"""
Subscriptions of a process to control replicas, and their latest updates.

A process starts with a few configured addresses (seeds), which may be down,
unreachable or no longer control replicas. Updates list further control replicas.
"""

import attrs

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS
from lycheevalve.schema.generated.messages import Poll

# A source is in contact if it answered within this time: two polls and a reconnection.
CONTACT_TIMEOUT_SECONDS = 2.0
# A poll is answered within LONG_POLL_SECONDS; after half as much again, the source has
# failed or cannot be reached.
SOURCE_TIMEOUT_SECONDS = 1.5 * LONG_POLL_SECONDS
# Without any source, the leases of upstreams are extended by at most this long.
LEASE_EXTENSION_SECONDS = 30.0
# A source that no replica has listed and that has not answered for this long is evicted.
SOURCE_EVICTION_SECONDS = 30.0
# Limit on the sources that one process polls; more would not make updates arrive sooner.
MAX_SOURCES = 9


@attrs.define
class Source:
    """One control replica that this process polls, and what it last reported."""

    # The number of its feed, the version and the revision last received.
    feed: int = 0
    version: int = 0
    reported_revision: int = 0
    data_centre: str = ""
    answered_at: float = float("-inf")
    # When it was last listed by a replica or answered.
    last_listed_at: float = float("-inf")
    current: bool = False
    settled: bool = False
    poll_pending: bool = False


@attrs.define
class Subscriptions:
    """
    The sources of one process.

    `incarnation` is a number that differs at each start of the process.
    """

    own_address: str
    data_centre: str
    is_control: bool
    incarnation: int
    sources: dict[str, Source] = attrs.field(factory=dict)
    seeds: tuple = ()

    def set_seeds(self, seeds, now):
        """Poll these addresses in addition to those that replicas list."""
        self.seeds = tuple(seed for seed in seeds if seed != self.own_address)
        self.add_sources(self.seeds, now)

    def add_sources(self, addresses, now):
        """Add addresses of control replicas, up to MAX_SOURCES."""
        for address in addresses:
            if address == self.own_address:
                continue
            if address in self.sources:
                self.sources[address].last_listed_at = now
            elif len(self.sources) < MAX_SOURCES:
                self.sources[address] = Source(last_listed_at=now)

    def build_poll(self, address, dissemination):
        """Return the next poll of a source."""
        source = self.sources[address]
        source.poll_pending = True
        return Poll(
            address=self.own_address,
            data_centre=self.data_centre,
            is_control=self.is_control,
            applied=dissemination.applied.revision,
            held=dissemination.held.revision,
            feed=source.feed,
            version=source.version,
            process=self.incarnation,
            told=source.reported_revision,
        )

    def handle_news(self, address, news, now):
        """Handle a source's update: its state and the addresses it lists."""
        source = self.sources.get(address)
        if source is None:
            return
        source.feed, source.version, source.reported_revision = (
            news.feed,
            news.version,
            news.held,
        )
        source.poll_pending = False
        source.answered_at = source.last_listed_at = now
        source.current, source.settled = news.current, news.settled
        source.data_centre = news.data_centre
        self.add_sources(news.controls, now)

    def in_contact(self, now):
        """Return the addresses of the sources that answered recently."""
        return [
            a for a, s in self.sources.items() if now - s.answered_at < CONTACT_TIMEOUT_SECONDS
        ]

    def has_lost_other_data_centres(self, now):
        """Return whether the sources of all other data centres have stopped answering."""
        others = [
            s for s in self.sources.values() if s.data_centre not in ("", self.data_centre)
        ]
        return bool(others) and all(
            now - s.answered_at > SOURCE_TIMEOUT_SECONDS for s in others
        )

    def lease_time(self, now):
        """
        Return the time against which leases of upstreams are checked.

        Without any source no renewals arrive, not even those of healthy upstreams, so
        the time of the last answer is used, for up to LEASE_EXTENSION_SECONDS.
        """
        answered_at = max((s.answered_at for s in self.sources.values()), default=now)
        if now - answered_at <= SOURCE_TIMEOUT_SECONDS:
            return now
        return max(answered_at, now - LEASE_EXTENSION_SECONDS)

    def is_settled(self, now):
        """Return whether a source in contact has a complete table of upstreams."""
        return any(self.sources[address].settled for address in self.in_contact(now))

    def evict_lost(self, now):
        """Evict sources that neither answer nor are listed by a replica; return them."""
        lost = [
            address
            for address, source in self.sources.items()
            if address not in self.seeds
            and now - source.last_listed_at > SOURCE_EVICTION_SECONDS
        ]
        for address in lost:
            del self.sources[address]
        return lost
