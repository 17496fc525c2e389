"""
Subscriptions of a process to control replicas, and their latest updates.

A process starts with a few configured addresses (seeds), which may be down,
unreachable or no longer control replicas. Updates list further control replicas.

A control replica polls all others. An entry instance polls two, one of them in its own
data centre, so that its work does not grow with the number of replicas; which ones
depends on a hash, so that instances are spread over replicas. It polls all while one
of the two does not answer or is not up to date.
"""

import contextlib

import attrs
import xxhash

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS
from lycheevalve.schema.generated.messages import Poll

# A source is in contact if it answered within this time: two polls and a reconnection.
CONTACT_TIMEOUT_SECONDS = 2.0
# A poll is answered within LONG_POLL_SECONDS; after half as much again, the source has
# failed or cannot be reached.
SOURCE_TIMEOUT_SECONDS = 1.5 * LONG_POLL_SECONDS
# A source that has not been current for this long is replaced; an election is shorter.
CURRENT_TIMEOUT_SECONDS = 1.0
# Without any source, the leases of upstreams are extended by at most this long.
LEASE_EXTENSION_SECONDS = 30.0
# A source that no replica has listed and that has not answered for this long is evicted.
SOURCE_EVICTION_SECONDS = 30.0
# Limit on the sources that one process knows.
MAX_SOURCES = 9
# How many sources an entry instance polls.
ACTIVE_SOURCES = 2


@attrs.define
class Source:
    """One control replica, and what it last reported to this process."""

    # Its place in this process's order of sources.
    rank: int = 0
    # The number of its feed, the version and the revision last received.
    feed: int = 0
    version: int = 0
    reported_revision: int = 0
    data_centre: str = ""
    # See News.near_instances.
    near_instances: int = 0
    # The cookies of the upstreams that it reports as unreachable, and their number.
    unreachable: frozenset = frozenset()
    unreachable_number: int = 0
    # The control replicas that stop, as it reports them, and the number of that report.
    leaving: frozenset = frozenset()
    leaving_number: int = 0
    answered_at: float = float("-inf")
    # When it was last listed by a replica or answered.
    last_listed_at: float = float("-inf")
    current: bool = False
    # When it last reported that it is current.
    current_at: float = float("-inf")
    settled: bool = False
    poll_pending: bool = False
    # Whether the next poll requests all updates, not only those since the last version.
    requests_all: bool = False
    # Whether it is polled, and since when.
    active: bool = False
    active_since: float = float("-inf")
    # If it reports changes only: the incarnations whose leases hold, by upstream's address.
    changes_only: bool = False
    leases: dict[str, int] = attrs.field(factory=dict)

    def is_usable(self, now):
        """Return whether it answers and is up to date."""
        return (
            now - self.answered_at <= SOURCE_TIMEOUT_SECONDS
            and now - self.current_at <= CURRENT_TIMEOUT_SECONDS
        )

    def has_failed(self, now):
        """Return whether it has been polled for long enough to be usable, but is not."""
        if not self.active or now - self.active_since <= SOURCE_TIMEOUT_SECONDS:
            return False
        return not self.is_usable(now)


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
        self.choose_active(now)

    def add_sources(self, addresses, now, data_centres=()):
        """
        Add addresses of control replicas, up to MAX_SOURCES.

        `data_centres` are those of the addresses, with "" for an unknown one.
        """
        data_centres = data_centres or ("",) * len(addresses)
        for address, data_centre in zip(addresses, data_centres, strict=True):
            if address == self.own_address:
                continue
            source = self.sources.get(address)
            if source is None:
                if len(self.sources) >= MAX_SOURCES and not self.evict_unresponsive(now):
                    continue
                rank = xxhash.xxh32_intdigest(f"{self.own_address}|{address}".encode())
                source = self.sources[address] = Source(rank)
            source.last_listed_at = now
            source.data_centre = source.data_centre or data_centre

    def evict_unresponsive(self, now):
        """Evict the source without an answer for longest; return whether there is one."""
        failed = [
            address
            for address, source in self.sources.items()
            if address not in self.seeds and source.has_failed(now)
        ]
        if not failed:
            return False
        del self.sources[min(failed, key=lambda address: self.sources[address].answered_at)]
        return True

    def choose_active(self, now, started=False):
        """
        Choose the sources to poll.

        A control replica polls all, and an entry instance all its seeds until it has
        started.
        """
        chosen = set(self.sources) if self.is_control else self.find_usable(now)
        if not started:
            chosen |= self.sources.keys() & set(self.seeds)
        for address, source in self.sources.items():
            if source.active is (address in chosen):
                continue
            source.active = address in chosen
            source.poll_pending = False
            if source.active:
                source.active_since = now

    def find_usable(self, now):
        """
        Return the sources that an entry instance polls.

        These are the first by rank that have not failed, one of its own data centre
        first. Until a replacement of a failed one answers, all are polled, as in a
        partition the next one may not answer either.
        """
        ranked = sorted(self.sources, key=lambda address: self.sources[address].rank)
        local = [a for a in ranked if self.sources[a].data_centre == self.data_centre]
        remote = [a for a in ranked if a not in local]
        first, found = self.take_working(local, 1 if remote else ACTIVE_SOURCES, now)
        others, _ = self.take_working(remote, ACTIVE_SOURCES - found, now)
        chosen = {*first, *others}
        failed = [a for a in chosen if self.sources[a].has_failed(now)]
        usable = [a for a in chosen if self.sources[a].is_usable(now)]
        if failed and len(usable) < min(ACTIVE_SOURCES, len(self.sources)):
            return set(self.sources)
        return chosen

    def take_working(self, addresses, count, now):
        """Return the first addresses up to `count` that have not failed, and their number."""
        taken, found = [], 0
        for address in addresses:
            if found == count:
                break
            taken.append(address)
            found += not self.sources[address].has_failed(now)
        return taken, found

    def active(self):
        """Return the addresses of the sources to poll."""
        return [address for address, source in self.sources.items() if source.active]

    def build_poll(self, address, dissemination, evacuations_number):
        """Return the next poll of a source."""
        source = self.sources[address]
        source.poll_pending = True
        if source.requests_all:
            source.requests_all = False
            source.feed = source.version = 0
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
            changes_only=not self.is_control,
            evacuations_applied=evacuations_number + 1,
            unreachable_known=source.unreachable_number + 1,
            leaving_known=source.leaving_number + 1,
        )

    def request_all(self):
        """Request all updates of each source with its next poll."""
        for source in self.sources.values():
            source.requests_all = True

    @contextlib.contextmanager
    def handling(self, address):
        """Handle an update in the block; after an error, the next poll requests all of it."""
        try:
            yield
        except Exception:
            source = self.sources.get(address)
            if source is not None:
                source.feed = source.version = source.reported_revision = 0
                source.unreachable_number = source.leaving_number = 0
                source.leases = {}
            raise

    def handle_news(self, address, news, now):
        """Handle a source's update: its state and the addresses it lists."""
        source = self.sources.get(address)
        if source is None:
            return
        if source.feed != news.feed:
            source.leases = {}
        source.feed, source.version, source.reported_revision = (
            news.feed,
            news.version,
            news.held,
        )
        source.poll_pending = False
        source.answered_at = source.last_listed_at = now
        source.current, source.settled = news.current, news.settled
        source.current_at = now if news.current else source.current_at
        source.data_centre = news.data_centre
        source.near_instances = news.near_instances or 0
        source.unreachable = frozenset(news.unreachable or ())
        source.unreachable_number = news.unreachable_number or 0
        source.leaving = frozenset(news.leaving or ())
        source.leaving_number = news.leaving_number or 0
        source.changes_only = bool(news.changes_only)
        if source.changes_only:
            self.update_source_leases(source, news.registrations)
        self.add_sources(news.controls, now, news.control_data_centres or ())

    # Leases of upstreams.

    def update_source_leases(self, source, registrations):
        """Update the leases that a source reports; one with a lifetime of 0 has expired."""
        for registration in registrations:
            if registration.lifetime_ms > 0:
                source.leases[registration.address] = registration.incarnation
            else:
                source.leases.pop(registration.address, None)

    def lease_sources(self, now):
        """Return the sources in contact that report which leases have expired."""
        return [a for a in self.in_contact(now) if self.sources[a].changes_only]

    def is_leased(self, registration, sources):
        """Return whether one of these sources reports that an upstream's lease holds."""
        return any(
            self.sources[address].leases.get(registration.address) == registration.incarnation
            for address in sources
        )

    def in_contact(self, now):
        """Return the addresses of the sources that answered recently."""
        return [
            a for a, s in self.sources.items() if now - s.answered_at < CONTACT_TIMEOUT_SECONDS
        ]

    def near_sources(self, now):
        """Return the sources of this data centre in contact, by their addresses."""
        return {
            address: source
            for address, source in self.sources.items()
            if source.data_centre == self.data_centre
            and now - source.answered_at < CONTACT_TIMEOUT_SECONDS
        }

    def find_leaving(self, now):
        """Return the addresses of the control replicas that stop, as sources report them."""
        return frozenset().union(*(self.sources[a].leaving for a in self.in_contact(now)))

    def count_instances(self, now):
        """Return how many entry instances this data centre has, 0 if it is not known."""
        counts = [source.near_instances for source in self.near_sources(now).values()]
        return max(counts, default=0)

    def reaches_most(self, now):
        """Return whether this process and the sources in contact are most of all known."""
        return 2 * (len(self.in_contact(now)) + 1) > len(self.sources) + 1

    def has_lost_other_data_centres(self, now):
        """
        Return whether the sources of all other data centres have stopped answering.

        Those that stop as planned do not count.
        """
        leaving = self.find_leaving(now)
        others = [
            source
            for address, source in self.sources.items()
            if source.data_centre not in ("", self.data_centre) and address not in leaving
        ]
        return bool(others) and all(
            s.active and now - max(s.answered_at, s.active_since) > SOURCE_TIMEOUT_SECONDS
            for s in others
        )

    def lease_time(self, now):
        """
        Return the time against which leases of upstreams are checked.

        Without any source no renewals arrive, not even those of healthy upstreams, so
        the time of the last answer is used, for up to LEASE_EXTENSION_SECONDS.
        """
        answered_at = self.last_answer_at(default=now)
        if now - answered_at <= SOURCE_TIMEOUT_SECONDS:
            return now
        return max(answered_at, now - LEASE_EXTENSION_SECONDS)

    def last_answer_at(self, default):
        """Return when a source last answered."""
        return max((s.answered_at for s in self.sources.values()), default=default)

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
