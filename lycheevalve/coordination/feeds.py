"""
The feed of a control replica: versioned updates for its subscribers.

Subscribers use long polls: a poll is answered at once if there is an urgent
update, otherwise after LONG_POLL_SECONDS. Each update gets a version, and a poll
carries the last version received, so that no update is lost or repeated between
polls. A new, draining or leaving upstream and a new configuration are urgent; a
lease renewal is sent with the next answer.
"""

import attrs

from lycheevalve.schema.generated.messages import News

# A poll without urgent updates is answered after this time.
LONG_POLL_SECONDS = 0.5
# A subscriber that has missed three polls is not live.
SUBSCRIBER_TIMEOUT_SECONDS = 3 * LONG_POLL_SECONDS
# A renewal is published once it extends the published lease by this share of its lifetime.
RENEWAL_SHARE = 1 / 3
# After this time every healthy upstream has announced itself, so the table is complete.
SETTLE_SECONDS = 1.5


@attrs.define
class Subscriber:
    """A process that polls this replica, with its feed version and applied revision."""

    address: str
    data_centre: str
    is_control: bool
    incarnation: int
    version: int
    polled_at: float
    applied: int = 0


@attrs.define
class Feed:
    """
    The updates of one control replica. Times are seconds of the owner's clock.

    `number` identifies this start of the feed, since versions restart with it;
    `upstreams` is the table of flows/upstreams.py; `dissemination` holds the
    configuration.
    """

    number: int
    upstreams: object
    dissemination: object
    started_at: float
    data_centre: str = ""
    version: int = 0
    # The version of the latest urgent update.
    urgent_version: int = 0
    # By the upstream's address: version of its last update, and end of the lease in it.
    versions: dict[str, int] = attrs.field(factory=dict)
    published_until: dict[str, float] = attrs.field(factory=dict)
    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    settled: bool = False

    def publish(self, registration, previous, now):
        """Publish a registration; `previous` is the one that it replaced, or None."""
        address = registration.address
        until = now + registration.lifetime_ms / 1000
        if not is_renewal(registration, previous):
            self.assign_version(address, until)
            self.urgent_version = self.version
        elif until - self.published_until.get(address, 0.0) > (
            registration.lifetime_ms / 1000 * RENEWAL_SHARE
        ):
            self.assign_version(address, until)

    def assign_version(self, address, until):
        """Assign the next version to an upstream's registration."""
        self.version += 1
        self.versions[address] = self.version
        self.published_until[address] = until

    def record_poll(self, poll, now):
        """Update a subscriber from its poll; return the version that it has received."""
        version = poll.version if poll.feed == self.number else 0
        self.subscribers[poll.address] = Subscriber(
            poll.address,
            poll.data_centre,
            poll.is_control,
            poll.process,
            version,
            now,
            poll.applied,
        )
        return version

    def live_subscribers(self, now):
        """Return the subscribers that polled recently."""
        return [
            subscriber
            for subscriber in self.subscribers.values()
            if now - subscriber.polled_at < SUBSCRIBER_TIMEOUT_SECONDS
        ]

    def evict_subscribers(self, now):
        """Evict the subscribers that have not polled for ten times the timeout."""
        self.subscribers = {
            address: subscriber
            for address, subscriber in self.subscribers.items()
            if now - subscriber.polled_at < 10 * SUBSCRIBER_TIMEOUT_SECONDS
        }

    def has_updates(self, poll):
        """Return whether there is an urgent update, so that a poll is answered at once."""
        if poll.feed != self.number or poll.version < self.urgent_version:
            return True
        return poll.told < self.dissemination.held.revision

    def is_acknowledged(self, version, now):
        """Return whether all live subscribers have received a version of the feed."""
        return all(s.version >= version for s in self.live_subscribers(now))

    def is_settled(self, now):
        """Return whether the table of upstreams is complete."""
        self.settled = self.settled or now - self.started_at >= SETTLE_SECONDS
        return self.settled

    def build_news(self, poll, current, controls, now):
        """Return the News that answers a poll."""
        version = poll.version if poll.feed == self.number else 0
        addresses = {a for a, assigned in self.versions.items() if assigned > version}
        return News(
            applied=self.dissemination.applied.revision,
            held=self.dissemination.held.revision,
            current=current,
            feed=self.number,
            version=self.version,
            registrations=self.upstreams.live_leases(now, addresses),
            controls=controls,
            settled=self.is_settled(now),
            data_centre=self.data_centre,
        )


def is_renewal(registration, previous):
    """Return whether a registration only renews the lease of its upstream."""
    if previous is None:
        return False
    return urgent_fields(registration) == urgent_fields(previous)


def urgent_fields(registration):
    """Return the fields of a registration whose change is urgent."""
    return (
        registration.name,
        registration.service_name,
        registration.incarnation,
        registration.draining,
        registration.leaving,
    )
