"""
The logic of a control replica apart from its log: upstreams and subscribers.

The logic does no I/O and reads no clock. Upstreams announce themselves to any
control replica. The replicas subscribe to each other, so that each publishes all
upstreams, and the newest configuration that any of them holds, to its subscribers.
"""

import collections

import attrs

from lycheevalve.coordination.departures import Departures
from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.coordination.evacuations import AppliedEvacuations, get_evacuations
from lycheevalve.coordination.feeds import LONG_POLL_SECONDS, Feed, is_renewal
from lycheevalve.coordination.subscriptions import Subscriptions
from lycheevalve.coordination.timers import Timers
from lycheevalve.coordination.upstream_checks import UpstreamChecks
from lycheevalve.flows.front_doors import list_services
from lycheevalve.flows.lookups import LookupTable
from lycheevalve.flows.registrations import (
    find_deregistered,
    find_objection,
    has_ended,
    report_left_out,
)
from lycheevalve.flows.upstreams import Upstreams, version_of
from lycheevalve.schema.generated import messages

TICK_INTERVAL_SECONDS = 0.05
EXPIRY_INTERVAL_SECONDS = 0.25
EVICTION_INTERVAL_SECONDS = 1.0
# A drain or deregistration is acknowledged when all subscribers have received it, or
# after this time, since it must be answered within a second.
DEREGISTRATION_ACK_TIMEOUT_SECONDS = 0.4


def ignore(*_, **__):
    """Discard an event; the default for `observe`."""


@attrs.define
class PendingReply:
    """A pending reply to a poll or an announcement."""

    reply: object
    deadline: float
    # The poll to answer; for an announcement, the version that subscribers must receive.
    poll: object = None
    version: int = 0


@attrs.define(eq=False, slots=False)
class ControlReplica:
    """
    The registrations, subscribers and subscriptions of one control replica.

    Answers are appended to `answers` as (reply, answer), where `reply` is the
    object that the owner passed with the request.
    """

    address: str
    data_centre: str
    incarnation: int
    random: object
    now: float
    observe: object = ignore
    heartbeat_seconds: float = 1.0
    # See UpstreamChecks.
    address_reuse_seconds: float = 0.0
    # Returns the routes of a configuration's document by front door.
    read_routes: object = lambda document: {}
    messages: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)
    # In the order of their deadlines.
    pending_polls: collections.deque = attrs.field(factory=collections.deque)
    # The latest urgent update and revision that the pending polls were checked for.
    checked_update: tuple = (0, 0, 0, 0, 0)
    pending_deregistrations: list = attrs.field(factory=list)
    # Set by the owner from its replica of the log: whether that is current, and its members.
    current: bool = False
    members: tuple = ()

    def __attrs_post_init__(self):
        self.timers = Timers()
        self.upstreams = Upstreams()
        self.lookups = LookupTable(self.upstreams, self.random, self.heartbeat_seconds)
        self.subscriptions = Subscriptions(
            self.address, self.data_centre, True, self.incarnation
        )
        self.dissemination = Dissemination(
            send=self.send_fetch,
            neighbours=list,
            others=list,
            apply=self.apply_configuration,
            random=self.random,
            started_at=self.now,
            ready=True,
            observe=self.observe,
        )
        self.evacuations = AppliedEvacuations(self.apply_evacuations)
        self.departures = Departures(self.address)
        self.checks = UpstreamChecks(
            self.lookups.cookies.find, self.list_serving, self.address_reuse_seconds
        )
        self.feed = Feed(
            self.incarnation,
            self.upstreams,
            self.dissemination,
            self.evacuations,
            self.checks,
            self.departures,
            self.observe,
            self.now,
            self.data_centre,
        )
        self.timers.subscribe(TICK_INTERVAL_SECONDS, self.answer_pending, self.now)
        self.timers.subscribe(EXPIRY_INTERVAL_SECONDS, self.feed.publish_expired, self.now)
        self.timers.subscribe(EXPIRY_INTERVAL_SECONDS, self.continue_checks, self.now)
        self.timers.subscribe(EVICTION_INTERVAL_SECONDS, self.evict_expired, self.now)

    def run_timers(self, now):
        """Run the due timers."""
        self.now = now
        self.timers.run_due(now)

    def evict_expired(self, now):
        """Evict expired upstreams, subscribers and sources."""
        self.upstreams.evict_expired(now)
        self.lookups.evict()
        self.feed.evict_expired(now)
        self.subscriptions.evict_lost(now)
        self.departures.retain(self.subscriptions.sources)
        self.subscriptions.choose_active(now)

    def leave(self, now):
        """Announce the graceful stop to all subscribers."""
        self.departures.add(self.address, self.incarnation)
        self.answer_pending(now)

    # Upstreams.

    def names_upstream(self, registration, now, source=""):
        """Return whether a registration names an upstream to use; log why not."""
        existing = self.upstreams.find_at(registration.address)
        is_known, is_complete = self.upstreams.is_known, self.feed.is_settled(now)
        reason = find_objection(registration, existing, now, is_known, is_complete)
        if reason:
            report_left_out(self.observe, registration, source, reason)
        return not reason

    def adopt_registration(self, registration, now, source=""):
        """Apply a registration of another replica or of the disk if it names an upstream."""
        if self.names_upstream(registration, now, source):
            self.apply_registration(registration, now, source)

    def apply_registration(self, registration, now, source=""):
        """Apply a registration that names an upstream; return whether it was newer."""
        existing = self.upstreams.find_at(registration.address)
        previous = existing.registration if existing is not None else None
        if not self.upstreams.update(registration, now):
            return False
        self.lookups.add(registration)
        self.feed.publish(registration, previous, now)
        if not is_renewal(registration, previous):
            self.observe("upstream", registration=registration, source=source)
        return True

    def handle_announcement(self, registration, reply, now):
        """
        Handle an upstream's announcement.

        A drain or deregistration is acknowledged when all subscribers have received
        it, any other announcement at once. Neither is acknowledged while this replica
        is cut off from the others: their subscribers would still send new flows, so
        the upstream has to announce it to another replica. A drain is applied
        nevertheless, a deregistration is not, as the upstream serves until it is
        acknowledged.
        """
        is_end = registration.draining or registration.leaving
        if not self.names_upstream(registration, now):
            self.answers.append((reply, False))
        elif is_end and not self.subscriptions.reaches_most(now):
            if not registration.leaving:
                self.apply_registration(registration, now)
            self.answers.append((reply, False))
        elif self.apply_registration(registration, now) and is_end:
            deadline = now + DEREGISTRATION_ACK_TIMEOUT_SECONDS
            self.pending_deregistrations.append(
                PendingReply(reply, deadline, version=self.feed.version)
            )
        else:
            self.answers.append((reply, True))
        self.answer_pending(now)

    def find_registrations(self, name):
        """Return the registrations with an upstream's name, the newest one last."""
        registrations = (u.registration for u in self.upstreams.by_address.values())
        return sorted((r for r in registrations if r.name == name), key=version_of)

    def deregister(self, name, incarnation, reply, now):
        """
        Deregister an incarnation of an upstream at its own request.

        The call may be late, and the name in use again. An incarnation that has ended is
        acknowledged; one that is not known here is not, as another replica may know more.
        """
        found = self.find_registrations(name)
        existing = find_deregistered(found, incarnation)
        if existing is None:
            is_ended = has_ended(found, incarnation)
            is_unknown = not found and self.subscriptions.reaches_most(now)
            self.answers.append((reply, is_ended or is_unknown))
            return
        deregistered = attrs.evolve(existing, leaving=True, sequence=existing.sequence + 1)
        self.handle_announcement(deregistered, reply, now)

    def answer_lookup(self, lookup, now):
        """Return the Answer to a Lookup of an instance that has just started."""
        # Registrations from disk may be those of upstreams that drain or have left: most other
        # replicas must have sent theirs.
        is_informed = self.current and self.subscriptions.reaches_most(now)
        return self.lookups.answer(lookup, is_informed, now)

    # Checks of upstreams, see coordination/upstream_checks.py.

    def request_check(self, cookie, now):
        """Check an upstream that an entry instance of this data centre gets no answer from."""
        return self.checks.request(cookie, now)

    def handle_check_result(self, cookie, is_reachable, now):
        """Handle the result of a check; subscribers get a changed one at once."""
        before = self.checks.number
        self.checks.record_result(cookie, is_reachable, now)
        if self.checks.number != before:
            self.observe("upstream_check", cookie=cookie, reachable=is_reachable)
        self.answer_pending(now)

    def list_serving(self, service):
        """Return the upstreams of a service with valid leases."""
        upstreams = self.upstreams.by_service.get(service, ())
        return [upstream for upstream in upstreams if upstream.is_serving(self.now)]

    def continue_checks(self, now):
        """Check unreachable upstreams again."""
        near = self.subscriptions.near_sources(now).keys()
        self.checks.tick(near - self.departures.feeds.keys(), now)

    # Subscribers.

    def handle_poll(self, poll, reply, now):
        """Handle a subscriber's poll; it is answered when there is an update."""
        self.now = now
        self.feed.record_poll(poll, now)
        if poll.is_control:
            self.departures.end(poll.address, poll.process)
            self.subscriptions.add_sources([poll.address], now, [poll.data_centre])
            self.subscriptions.choose_active(now)
        entry = PendingReply(reply, now + LONG_POLL_SECONDS, poll)
        if self.feed.has_updates(poll):
            self.answer_poll(entry, now)
        else:
            self.pending_polls.append(entry)
        self.answer_pending(now)

    def answer_pending(self, now):
        """Answer the pending requests that are complete or past their deadline."""
        held = self.dissemination.held.revision
        update = (
            self.feed.urgent_version,
            held,
            self.evacuations.number,
            self.checks.number,
            self.departures.number,
        )
        if update != self.checked_update:
            self.checked_update = update
            pending, self.pending_polls = self.pending_polls, collections.deque()
            for entry in pending:
                if self.feed.has_updates(entry.poll):
                    self.answer_poll(entry, now)
                else:
                    self.pending_polls.append(entry)
        while self.pending_polls and now >= self.pending_polls[0].deadline:
            self.answer_poll(self.pending_polls.popleft(), now)
        pending, self.pending_deregistrations = self.pending_deregistrations, []
        for entry in pending:
            if now >= entry.deadline or self.feed.is_acknowledged(entry.version, now):
                self.answers.append((entry.reply, True))
            else:
                self.pending_deregistrations.append(entry)

    def answer_poll(self, entry, now):
        """Answer a pending poll with the updates since the version that it carries."""
        near = self.subscriptions.near_sources(now).values()
        others_near = sum(source.near_instances for source in near)
        news = self.feed.build_news(
            entry.poll, self.current, self.find_controls(now), now, others_near
        )
        self.answers.append((entry.reply, news))

    def find_controls(self, now):
        """
        Return this replica, the ones in contact and the log's members.

        The result has the data centre, or "" if unknown, by the address.
        """
        found = {}
        for address in sorted({self.address, *self.learners(now), *self.members}):
            source = self.subscriptions.sources.get(address)
            subscriber = self.feed.subscribers.get(address)
            known = source.data_centre if source else ""
            found[address] = known or (subscriber.data_centre if subscriber else "")
        return found | {self.address: self.data_centre}

    def learners(self, now):
        """Return the other control replicas in contact, members of the log or not."""
        polling = self.feed.live_controls(now)
        return {*polling, *self.subscriptions.in_contact(now)} - {self.address}

    def find_last_contact(self, address):
        """Return when another control replica last polled or answered this one."""
        source = self.subscriptions.sources.get(address)
        subscriber = self.feed.subscribers.get(address)
        times = [source.answered_at] if source else []
        times += [subscriber.polled_at] if subscriber else []
        return max(times, default=float("-inf"))

    # Messages.

    def send(self, name, message):
        """Queue a message to another control replica."""
        self.messages.append((name, message))

    def send_fetch(self, name, message):
        """Queue a request for settings; other messages are omitted, as polls carry digests."""
        if isinstance(message, messages.Fetch):
            self.send(name, message)

    def start_polling(self, address, now):
        """Start polling a control replica after its connection opened."""
        if address in self.subscriptions.sources:
            self.send(address, self.build_poll(address))

    def build_poll(self, address):
        """Return the next poll of another replica."""
        number = self.evacuations.number
        return self.subscriptions.build_poll(address, self.dissemination, number)

    def handle_message(self, sender, message, now):
        """Handle another replica's answer to a poll."""
        self.now = now
        if sender not in self.subscriptions.sources:
            return
        if isinstance(message, messages.News):
            with self.subscriptions.handling(sender):
                self.handle_news(sender, message, now)
        elif isinstance(message, messages.Fetched):
            self.dissemination.handle_fetched(sender, message, now)
        self.answer_pending(now)
        if all(name != sender for name, _ in self.messages):
            # While a fetch is queued, the next poll follows the answer to it.
            self.send(sender, self.build_poll(sender))

    def handle_news(self, sender, news, now):
        """Handle the updates of another replica."""
        self.subscriptions.handle_news(sender, news, now)
        self.subscriptions.choose_active(now)
        for registration in news.registrations:
            self.adopt_registration(registration, now, sender)
        self.evacuations.adopt(news.evacuations, now)
        self.departures.end(sender, news.feed)
        if sender in (news.leaving or ()):
            self.departures.add(sender, news.feed)
        if news.data_centre == self.data_centre:
            self.checks.adopt(sender, news.unreachable or ())
        self.feed.settled = self.feed.settled or news.settled
        self.dissemination.update_peer(sender, news.applied, news.held, now, news.current)

    def handle_commit(self, configuration, changes, now):
        """Handle a configuration that the replica of the log has committed."""
        self.evacuations.adopt(get_evacuations(configuration), now)
        self.dissemination.handle_commit(configuration, changes, now)
        self.answer_pending(now)

    def apply_configuration(self, configuration, now):
        """
        Apply a configuration: answer lookups with its routes.

        Raise SettingsError, and keep the routes, if its document is unreadable.
        """
        routes = self.read_routes(configuration.document)
        self.lookups.set_routes(routes, configuration.revision)
        # Registrations that were left out come again, with their renewals.
        self.upstreams.set_services(list_services(routes))
        self.observe("in_force", revision=configuration.revision)

    def apply_evacuations(self, data_centres, now):
        """Apply the operators' evacuations."""
        self.upstreams.set_evacuated(data_centres, now)
        number = self.evacuations.number
        self.observe("evacuations", number=number, data_centres=sorted(data_centres))
