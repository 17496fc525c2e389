"""
The feed of a control replica: versioned updates for its subscribers.

Subscribers use long polls: a poll is answered at once if there is an urgent
update, otherwise after LONG_POLL_SECONDS. Each update gets a version, and a poll
carries the last version received, so that no update is lost or repeated between
polls. A new, draining, leaving or expired upstream and a new configuration are
urgent. Lease renewals go to the other control replicas only, with the next answer:
for a subscriber of changes a lease holds until the feed reports its expiry, so that
the work for a subscriber grows with changes, not with the number of upstreams.
"""

import collections

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
# Polls from the same version share one answer for this long; its lease times age meanwhile.
ANSWER_REUSE_SECONDS = 0.1
# The role of a subscriber by `is_control`.
ROLE_NAMES = {False: "entry", True: "control"}


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

    `observe(name, **details)` logs an event.

    `number` identifies this start of the feed, since versions restart with it;
    `upstreams` is the table of flows/upstreams.py; `dissemination` holds the
    configuration, `evacuations` is the AppliedEvacuations of evacuations.py, and `checks` the
    UpstreamChecks of upstream_checks.py, `departures` the Departures of departures.py.
    """

    number: int
    upstreams: object
    dissemination: object
    evacuations: object
    checks: object
    departures: object
    observe: object
    started_at: float
    data_centre: str = ""
    version: int = 0
    # The version of the latest urgent update.
    urgent_version: int = 0
    # Version of the last update and of the last urgent one by the upstream's address, in
    # the order of versions.
    versions: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    urgent_versions: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # By address: end of the lease in the last update; the expired ones that were published.
    published_until: dict[str, float] = attrs.field(factory=dict)
    expired: set[str] = attrs.field(factory=set)
    subscribers: dict[str, Subscriber] = attrs.field(factory=dict)
    # The addresses of the subscribers that are control replicas.
    control_addresses: set[str] = attrs.field(factory=set)
    settled: bool = False
    # The number of restarts of subscribers by role.
    restarts: dict = attrs.field(factory=lambda: dict.fromkeys(ROLE_NAMES.values(), 0))
    # The last answers, by what they depend on, and when the first of them was built.
    answers: dict[tuple, News] = attrs.field(factory=dict)
    answers_since: float = float("-inf")

    def publish(self, registration, previous, now):
        """Publish a registration; `previous` is the one that it replaced, or None."""
        address = registration.address
        until = now + registration.lifetime_ms / 1000
        if address in self.expired or not is_renewal(registration, previous):
            self.expired.discard(address)
            self.assign_version(address, until)
            self.assign_urgent_version(address)
        elif until - self.published_until.get(address, 0.0) > (
            registration.lifetime_ms / 1000 * RENEWAL_SHARE
        ):
            self.assign_version(address, until)

    def publish_expired(self, now):
        """Publish the upstreams whose leases have expired."""
        for upstream in self.upstreams.by_address.values():
            address = upstream.registration.address
            if upstream.expires_at <= now and address not in self.expired:
                self.expired.add(address)
                self.version += 1
                self.assign_urgent_version(address)

    def assign_version(self, address, until):
        """Assign the next version to an upstream's registration."""
        self.version += 1
        self.versions[address] = self.version
        self.versions.move_to_end(address)
        self.published_until[address] = until

    def assign_urgent_version(self, address):
        """Make the latest update an urgent one about an upstream."""
        self.urgent_version = self.urgent_versions[address] = self.version
        self.urgent_versions.move_to_end(address)

    def record_poll(self, poll, now):
        """Update a subscriber from its poll; return the version that it has received."""
        version = poll.version if poll.feed == self.number else 0
        previous = self.subscribers.get(poll.address)
        if previous is not None and previous.incarnation != poll.process:
            self.report_restart(previous, now)
        self.subscribers[poll.address] = Subscriber(
            poll.address,
            poll.data_centre,
            poll.is_control,
            poll.process,
            version,
            now,
            poll.applied,
        )
        if poll.is_control:
            self.control_addresses.add(poll.address)
        return version

    def report_restart(self, previous, now):
        """Count and log that another process polls from the address of a subscriber."""
        role = ROLE_NAMES[previous.is_control]
        self.restarts[role] += 1
        self.observe(
            "instance_restarted",
            peer=previous.address,
            role=role,
            data_centre=previous.data_centre,
            silent_ms=round((now - previous.polled_at) * 1000),
        )

    def live_subscribers(self, now):
        """Return the subscribers that polled recently."""
        return [s for s in self.subscribers.values() if is_live(s, now)]

    def count_near_instances(self, now):
        """Return how many entry instances of this data centre polled recently."""
        return sum(
            s.data_centre == self.data_centre and not s.is_control
            for s in self.live_subscribers(now)
        )

    def live_controls(self, now):
        """Return the addresses of the control replicas that polled recently."""
        return [a for a in self.control_addresses if is_live(self.subscribers[a], now)]

    def evict_expired(self, now):
        """Evict subscribers that stopped polling, and updates about evicted upstreams."""
        self.subscribers = {
            address: subscriber
            for address, subscriber in self.subscribers.items()
            if now - subscriber.polled_at < 10 * SUBSCRIBER_TIMEOUT_SECONDS
        }
        self.control_addresses &= self.subscribers.keys()
        for address in [a for a in self.expired if not self.find_registration(a)]:
            self.expired.discard(address)
            for updates in (self.versions, self.urgent_versions, self.published_until):
                updates.pop(address, None)

    def has_updates(self, poll):
        """Return whether there is an urgent update, so that a poll is answered at once."""
        if poll.feed != self.number or poll.version < self.urgent_version:
            return True
        # A subscriber of an earlier version reports 0.
        if 0 < poll.evacuations_applied <= self.evacuations.number:
            return True
        if 0 < poll.unreachable_known <= self.checks.number:
            return True
        if 0 < poll.leaving_known <= self.departures.number:
            return True
        return poll.told < self.dissemination.held.revision

    def is_acknowledged(self, version, now):
        """Return whether all live subscribers have received a version of the feed."""
        return all(s.version >= version for s in self.live_subscribers(now))

    def is_settled(self, now):
        """Return whether the table of upstreams is complete."""
        self.settled = self.settled or now - self.started_at >= SETTLE_SECONDS
        return self.settled

    def build_news(self, poll, current, controls, now, others_near=0):
        """
        Return the News that answers a poll; polls from the same version may share it.

        `controls` has the data centre of each control replica by its address, `others_near`
        is how many entry instances poll the other replicas of this data centre.
        """
        if now - self.answers_since > ANSWER_REUSE_SECONDS:
            self.answers, self.answers_since = {}, now
        version = poll.version if poll.feed == self.number else 0
        held, applied = self.dissemination.held.revision, self.dissemination.applied.revision
        settled = self.is_settled(now)
        key = (version, self.version, poll.changes_only, current, held, applied, settled)
        key = (*key, tuple(controls), self.evacuations.number, self.checks.number)
        key = (*key, self.departures.number)
        if key not in self.answers:
            self.answers[key] = News(
                applied=applied,
                held=held,
                current=current,
                feed=self.number,
                version=self.version,
                registrations=self.list_updates(version, poll.changes_only, now),
                controls=list(controls),
                control_data_centres=list(controls.values()),
                settled=settled,
                data_centre=self.data_centre,
                changes_only=poll.changes_only,
                evacuations=self.evacuations.evacuations,
                near_instances=self.count_near_instances(now)
                + (others_near if poll.changes_only else 0),
                unreachable=self.checks.list_unreachable()
                if poll.changes_only
                else self.checks.list_found(),
                unreachable_number=self.checks.number,
                leaving=self.departures.list_leaving(),
                leaving_number=self.departures.number,
            )
        return self.answers[key]

    def list_updates(self, version, changes_only, now):
        """Return the registrations published after a version, expired ones if it is known."""
        versions = self.urgent_versions if changes_only else self.versions
        addresses = []
        for address in reversed(versions):
            if versions[address] <= version:
                break
            addresses.append(address)
        updates = self.upstreams.live_leases(now, addresses)
        if changes_only and version:
            updates += [
                attrs.evolve(registration, lifetime_ms=0)
                for address in addresses
                if address in self.expired
                and (registration := self.find_registration(address)) is not None
            ]
        return updates

    def find_registration(self, address):
        """Return the newest registration at an address, or None."""
        upstream = self.upstreams.find_at(address)
        return upstream.registration if upstream is not None else None


def is_live(subscriber, now):
    """Return whether a subscriber polled recently."""
    return now - subscriber.polled_at < SUBSCRIBER_TIMEOUT_SECONDS


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
        registration.warm_up_ms > 0,
    )
