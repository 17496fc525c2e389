"""
The logic of an entry instance, which forwards callers' packets to upstreams.

An entry instance polls the control replicas for settings and upstreams. The logic
does no I/O and reads no clock: its owner passes in packets, messages and the time,
sends what is queued in `messages`, and provides the functions that send packets.
"""

import attrs

from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.coordination.evacuations import AppliedEvacuations
from lycheevalve.coordination.feeds import is_renewal
from lycheevalve.coordination.subscriptions import Subscriptions
from lycheevalve.coordination.timers import Timers
from lycheevalve.flows.cookie_routing import CookieRouter
from lycheevalve.flows.failure_evidence import FailureDetector
from lycheevalve.flows.front_doors import UNKNOWN_ROUTE, list_services
from lycheevalve.flows.isolation import has_local_capacity, reaches_other_data_centres
from lycheevalve.flows.link_scheduler import build_scheduler
from lycheevalve.flows.lost_upstreams import LostUpstreams
from lycheevalve.flows.registrations import find_objection, report_left_out
from lycheevalve.flows.reported_leases import update_leases
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.reports.latencies import Latencies
from lycheevalve.schema.generated import messages

# All periodic work of an idle instance is done at the same time: each wake-up has a cost.
TICK_INTERVAL_SECONDS = 0.25
# The interval while packets are held or callers retransmit.
URGENT_TICK_INTERVAL_SECONDS = 0.05
EVICTION_INTERVAL_SECONDS = 1.0


def ignore(*_, **__):
    """Discard an event; the default for `observe`."""


@attrs.define(eq=False, slots=False)
class EntryInstance:
    """
    The state and logic of one entry instance.

    `read_routes(document)` returns the routes of the operators' configuration by
    front door; `forward` and `reset` send packets, see flows/cookie_routing.py.
    """

    address: str
    data_centre: str
    incarnation: int
    random: object
    now: float
    read_routes: object
    forward: object
    reset: object
    observe: object = ignore
    # Sends a probe to the control replica at an address, see flows/reachability.py.
    probe: object = ignore
    # Returns the addresses of the replicas whose answers to probes have arrived.
    collect_answers: object = tuple
    # Asks the control replica at an address to check the upstream of a cookie.
    request_check: object = ignore
    heartbeat_seconds: float = 1.0
    # Capacity of the own link; 0 if it is not known.
    link_mbps: float = 0.0
    messages: list = attrs.field(factory=list)
    counters: dict = attrs.field(factory=dict)
    leaving: bool = False
    # The newest configuration under which this process has placed flows elsewhere.
    required_revision: int = 0
    is_tick_urgent: bool = False
    is_release_due: bool = False
    # The sources that report leases.
    lease_sources: list = attrs.field(factory=list)
    # What all leases were last checked with: these sources, the numbers of their feeds, and
    # whether the table of one was complete.
    checked_reports: tuple = ()

    def __attrs_post_init__(self):
        self.started_at = self.now
        self.timers = Timers()
        self.latencies = Latencies()
        self.evacuations = AppliedEvacuations(self.apply_evacuations)
        self.upstreams = Upstreams()
        self.subscriptions = Subscriptions(
            self.address, self.data_centre, False, self.incarnation
        )
        self.link = build_scheduler(
            self.link_mbps,
            transmit=lambda item: self.forward(*item),
            departed=lambda packet, now: self.cookie_router.record_departure(packet, now),
            drop=self.drop_waiting,
        )
        failures = FailureDetector()
        self.cookie_router = CookieRouter(
            upstreams=self.upstreams,
            random=self.random,
            forward=self.forward if self.link is None else self.submit,
            link=self.link,
            reset=self.reset,
            observe=self.count,
            is_synced=self.is_synced,
            lease_time=self.subscriptions.lease_time,
            data_centre=self.data_centre,
            count_instances=self.subscriptions.count_instances,
            failures=failures,
            lost=LostUpstreams(
                self.upstreams,
                self.data_centre,
                self.report_silence,
                failures,
                self.list_replicas,
                self.probe,
                self.collect_answers,
            ),
            heartbeat_seconds=self.heartbeat_seconds,
        )
        self.reachability = self.cookie_router.lost.reachability
        self.dissemination = Dissemination(
            send=self.send_fetch,
            neighbours=lambda: list(self.subscriptions.sources),
            others=self.list_peers,
            apply=self.apply_configuration,
            random=self.random,
            started_at=self.now,
            observe=self.observe,
        )
        self.timers.subscribe(TICK_INTERVAL_SECONDS, self.cookie_router.tick, self.now)
        self.timers.subscribe(TICK_INTERVAL_SECONDS, self.dissemination.tick, self.now)
        self.timers.subscribe(TICK_INTERVAL_SECONDS, self.update_sources, self.now)
        self.timers.subscribe(EVICTION_INTERVAL_SECONDS, self.evict_expired, self.now)

    def run_timers(self, now):
        """Run the timers that are due; tick sooner while callers wait."""
        self.now = now
        self.timers.run_due(now)
        if not self.is_tick_urgent and self.cookie_router.has_pending_work(now):
            self.is_tick_urgent = True
            self.timers.call_once(self.run_urgent_tick, now + URGENT_TICK_INTERVAL_SECONDS)

    # Packets before the own link.

    def handle_packet(self, packet, now):
        """Handle a caller's packet."""
        self.now = now
        self.cookie_router.handle_packet(packet, now)

    def has_routes(self):
        """Return whether settings and upstreams have arrived, so that packets are routed."""
        return self.cookie_router.routes is not None and bool(self.upstreams.by_index)

    def take_over(self, packets, revision, now):
        """
        Handle the packets that the early thread held; each comes with the time of its arrival.

        New flows wait for the configuration `revision`, under which that thread placed
        flows: a process must not act on an older one later.
        """
        self.now = now
        self.required_revision = revision
        self.update_confirmation()
        self.cookie_router.adopt_held(packets, now)

    def update_confirmation(self):
        """Set whether new flows wait for settings."""
        applied = self.dissemination.applied.revision
        self.cookie_router.settings_unconfirmed = applied < self.required_revision

    def submit(self, upstream, cookie, packet):
        """Forward a packet through the schedule of the own link."""
        routes = self.cookie_router.routes or {}
        route = routes.get(packet.front_door, UNKNOWN_ROUTE)
        item = (upstream, cookie, packet)
        self.link.submit(packet, route, item, len(packet.raw), self.now)
        self.schedule_release()

    def schedule_release(self):
        """Call `release_waiting` when waiting packets may leave."""
        if not self.is_release_due and not self.link.is_idle:
            self.is_release_due = True
            self.timers.call_once(self.release_waiting, self.link.next_release(self.now))

    def release_waiting(self, now):
        """Send the waiting packets for which the own link has room."""
        self.is_release_due = False
        self.link.release(now)
        self.schedule_release()

    def drop_waiting(self, packet, reason, since, now):
        """Count a packet that was dropped before the own link."""
        self.cookie_router.drop_held(since, packet, reason, now)

    def run_urgent_tick(self, now):
        """Tick the cookie router between its periodic ticks."""
        self.is_tick_urgent = False
        self.cookie_router.tick(now)

    def evict_expired(self, now):
        """Evict expired upstreams and lost control replicas."""
        self.cookie_router.evict_expired(now)
        self.subscriptions.evict_lost(now)
        self.reachability.introduce(now)

    def list_replicas(self):
        """Return the data centres of the control replicas that don't stop, by address."""
        leaving = self.subscriptions.find_leaving(self.now)
        sources = self.subscriptions.sources.items()
        return {a: s.data_centre for a, s in sources if a not in leaving}

    def report_silence(self, upstream, now):
        """Ask the control replicas of this data centre to check an upstream."""
        for address in self.subscriptions.near_sources(now):
            self.request_check(address, upstream.cookie)

    def update_unreachable(self, now):
        """Apply what the control replicas of this data centre report as unreachable."""
        near = self.subscriptions.near_sources(now)
        found = [
            near[a].unreachable for a in near.keys() - self.subscriptions.find_leaving(now)
        ]
        cookies = frozenset().union(*found)
        if self.cookie_router.set_unreachable(cookies, now):
            self.observe("unreachable", upstreams=len(cookies))

    def list_peers(self):
        """Return the control replicas to wait for at the start, then those to fetch from."""
        if self.dissemination.ready:
            return self.subscriptions.active()
        return list(self.subscriptions.sources)

    def update_sources(self, now):
        """Choose the control replicas to poll; check all leases if their reports are new."""
        self.subscriptions.choose_active(now, started=self.dissemination.ready)
        self.update_unreachable(now)
        self.lease_sources = self.subscriptions.lease_sources(now)
        feeds = [self.subscriptions.sources[address].feed for address in self.lease_sources]
        reports = (*self.lease_sources, *feeds, self.subscriptions.is_settled(now))
        if reports != self.checked_reports or not self.lease_sources:
            self.checked_reports = reports
            self.update_leases(self.upstreams.by_address.values(), now)

    # Readiness.

    def is_synced(self, now):
        """Return whether settings and upstreams are complete enough to refuse flows."""
        if self.dissemination.applied.revision == 0:
            return False
        return self.subscriptions.is_settled(now) or not self.subscriptions.in_contact(now)

    def handle_resume(self, now):
        """Hold new flows until the next update: settings may have changed during the pause."""
        self.cookie_router.settings_unconfirmed = True
        if self.link is not None:
            self.link.discard_all()
        self.cookie_router.handle_resume()

    def is_ready(self, now):
        """Return whether the fabric may send packets to this instance."""
        return not self.unready_reason(now)

    def unready_reason(self, now):
        """Return why this instance is not ready for packets, or an empty string."""
        if self.leaving:
            return "leaving"
        if self.cookie_router.routes is None:
            return "no settings"
        if not self.is_synced(now):
            return "upstreams not known yet"
        return (
            "cut off with too few upstreams" if self.lacks_capacity_when_isolated(now) else ""
        )

    def lacks_capacity_when_isolated(self, now):
        """Return whether the data centre is cut off and its upstreams lack capacity."""
        is_lost = self.subscriptions.has_lost_other_data_centres(now)
        if not (is_lost or self.reachability.is_isolated()):
            return False
        if reaches_other_data_centres(self.upstreams, self.data_centre, now):
            return False
        services = self.cookie_router.services()
        return not has_local_capacity(
            self.upstreams, self.data_centre, services, now, self.has_room
        )

    def has_room(self, service, slots, now):
        """Return whether slots suffice for the requests of this data centre to a service."""
        instances = self.subscriptions.count_instances(now)
        return self.cookie_router.locality.has_room(service, slots, instances, now)

    # Messages.

    def send(self, name, message):
        """Queue a message to a control replica."""
        self.messages.append((name, message))

    def send_fetch(self, name, message):
        """Queue a request for settings; other messages are omitted, as polls carry digests."""
        if isinstance(message, messages.Fetch):
            self.send(name, message)

    def start_polling(self, address, now):
        """Start polling a control replica after its connection opened."""
        if address in self.subscriptions.active():
            self.subscriptions.sources[address].poll_pending = False
            self.poll(address)

    def poll(self, address):
        """Poll a control replica unless a poll is in flight."""
        if not self.subscriptions.sources[address].poll_pending:
            number = self.evacuations.number
            poll = self.subscriptions.build_poll(address, self.dissemination, number)
            self.send(address, poll)

    def handle_message(self, sender, message, now):
        """Handle a control replica's response."""
        self.now = now
        if sender not in self.subscriptions.active():
            return
        if isinstance(message, messages.News):
            with self.subscriptions.handling(sender):
                self.handle_updates(sender, message, now)
        elif isinstance(message, messages.Fetched):
            self.dissemination.handle_fetched(sender, message, now)
        if all(name != sender for name, _ in self.messages):
            # While a fetch is queued, the next poll follows the answer to it.
            self.poll(sender)

    def handle_updates(self, sender, update, now):
        """Handle an update of settings and upstreams."""
        self.subscriptions.handle_news(sender, update, now)
        self.reachability.handle_answer(sender, now)
        self.evacuations.adopt(update.evacuations, now)
        self.update_confirmation()
        for registration in update.registrations:
            if registration.lifetime_ms > 0:
                self.update_upstream(registration, sender, now)
            else:
                self.record_expiry(registration)
        self.update_sources(now)
        known = [self.upstreams.find_at(r.address) for r in update.registrations]
        self.update_leases(filter(None, known), now)
        self.dissemination.update_peer(sender, update.applied, update.held, now, update.current)
        if not self.dissemination.ready:
            self.dissemination.tick(now)
        self.cookie_router.retry_held(now)

    def update_leases(self, upstreams, now):
        """Set whether the leases of upstreams hold, as the sources report it."""
        update_leases(upstreams, self.subscriptions, self.lease_sources, now)

    def record_expiry(self, registration):
        """Record up to which announcement an upstream's lease has expired at a source."""
        upstream = self.upstreams.find(registration.address, registration.incarnation)
        if upstream is not None and upstream.registration.sequence < registration.sequence:
            upstream.registration = attrs.evolve(
                upstream.registration, sequence=registration.sequence
            )

    def update_upstream(self, registration, sender, now):
        """Apply an upstream's registration; record an event unless it only renews the lease."""
        current = self.upstreams.find_at(registration.address)
        # The control replicas have the newest services, and leave out the others.
        reason = find_objection(registration, current, now)
        if reason:
            report_left_out(self.observe, registration, sender, reason)
            return
        previous = current.registration if current is not None else None
        if self.cookie_router.update_upstream(registration, now) and not is_renewal(
            registration, previous
        ):
            self.observe("upstream", registration=registration, source=sender)

    def apply_configuration(self, configuration, now):
        """Replace the routes; raise SettingsError, and keep them, if they are unreadable."""
        routes = self.read_routes(configuration.document)
        self.cookie_router.set_routes(routes, now)
        if self.upstreams.set_services(list_services(routes)):
            self.subscriptions.request_all()
        self.observe("in_force", revision=configuration.revision)

    def apply_evacuations(self, data_centres, now):
        """Apply the operators' evacuations: no flow is placed on these data centres."""
        self.upstreams.set_evacuated(data_centres, now)
        number = self.evacuations.number
        self.observe("evacuations", number=number, data_centres=sorted(data_centres))

    def count(self, name, **details):
        """Count an event by name and reason, record an answer's latency, and call `observe`."""
        key = (name, details.get("reason", ""))
        self.counters[key] = self.counters.get(key, 0) + 1
        if name == "answered":
            self.latencies.observe(details["upstream"].service, details["seconds"])
        self.observe(name, **details)
