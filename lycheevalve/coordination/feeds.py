"""
Feeds: what a control replica tells its subscribers, and what they have seen.

A subscriber polls and is answered when there is news for it, or after a while.
A feed numbers its news; a subscriber names the last number it has, so nothing
is lost between two polls and nothing is told twice. What is urgent (an upstream
that came, drains or left, another configuration) wakes the polls that wait; a
mere renewal goes out with the next answer.
"""

import attrs

from lycheevalve.schema.generated.messages import News

# A poll without news is answered after this time, in seconds.
POLL_SECONDS = 0.5
# A subscriber that has not polled for three polls counts as away.
SUBSCRIBER_SECONDS = 3 * POLL_SECONDS
# Renewals are told once a third of the lease has passed since the last telling.
RENEWAL_SHARE = 1 / 3
# A feed is settled when every live upstream must have announced itself.
SETTLE_SECONDS = 1.5


@attrs.define
class Subscriber:
    """Who polls, and what it has seen."""

    address: str
    data_centre: str
    is_control: bool
    process: int
    version: int
    polled_at: float
    applied: int = 0


@attrs.define
class Feed:
    """
    The news of one control replica; times in seconds of the owner's clock.

    `upstreams` is the table of flows/upstreams.py, `spreading` what holds the
    configuration.
    """

    number: int
    upstreams: object
    spreading: object
    started_at: float
    data_centre: str = ""
    version: int = 0
    # The version at which something last could not wait for the next answer.
    urgent: int = 0
    stamps: dict[str, int] = attrs.field(factory=dict)
    told_until: dict[str, float] = attrs.field(factory=dict)
    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    settled: bool = False

    def note(self, registration, was, now):
        """Number the news that a registration brings; `was` is what it replaced, or None."""
        address = registration.address
        until = now + registration.lifetime_ms / 1000
        if not is_renewal(registration, was):
            self.stamp(address, until)
            self.urgent = self.version
        elif until - self.told_until.get(address, 0.0) > (
            registration.lifetime_ms / 1000 * RENEWAL_SHARE
        ):
            self.stamp(address, until)

    def stamp(self, address, until):
        """Give an upstream's registration the next version."""
        self.version += 1
        self.stamps[address] = self.version
        self.told_until[address] = until

    def subscribe(self, poll, now):
        """Note what a subscriber says it has."""
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
        """Return those that polled lately."""
        return [
            subscriber
            for subscriber in self.subscribers.values()
            if now - subscriber.polled_at < SUBSCRIBER_SECONDS
        ]

    def forget_subscribers(self, now):
        """Drop those that have been away for long."""
        self.subscribers = {
            address: subscriber
            for address, subscriber in self.subscribers.items()
            if now - subscriber.polled_at < 10 * SUBSCRIBER_SECONDS
        }

    def has_news(self, poll):
        """Return whether a poll is to be answered at once."""
        if poll.feed != self.number or poll.version < self.urgent:
            return True
        return poll.told < self.spreading.held.revision

    def is_seen(self, version, now):
        """Return whether all live subscribers have seen a version of the feed."""
        return all(s.version >= version for s in self.live_subscribers(now))

    def is_settled(self, now):
        """Return whether the table can be taken as whole."""
        self.settled = self.settled or now - self.started_at >= SETTLE_SECONDS
        return self.settled

    def build_news(self, poll, current, controls, now):
        """Return the News that answers a poll."""
        version = poll.version if poll.feed == self.number else 0
        addresses = {a for a, stamp in self.stamps.items() if stamp > version}
        return News(
            applied=self.spreading.applied.revision,
            held=self.spreading.held.revision,
            current=current,
            feed=self.number,
            version=self.version,
            registrations=self.upstreams.live_leases(now, addresses),
            controls=controls,
            settled=self.is_settled(now),
            data_centre=self.data_centre,
        )


def is_renewal(registration, was):
    """Return whether a registration says nothing new but that its upstream lives."""
    if was is None:
        return False
    return describe(registration) == describe(was)


def describe(registration):
    """Return what matters to others at once."""
    return (
        registration.name,
        registration.service_name,
        registration.incarnation,
        registration.draining,
        registration.leaving,
    )
