"""
Cookie routing: flows routed by the cookie in their packets, without shared state.

The opening packet of a flow is placed on an upstream and gets its cookie, which
later packets carry. The state kept for flows serves load balancing and health
checks only: losing it breaks no flow. A packet with an unknown cookie is held
briefly, since its upstream's announcement may be in transit; it is never
forwarded to a guessed upstream.
"""

import collections

import attrs

from lycheevalve.flows.cookies import CookieTable
from lycheevalve.flows.failure_evidence import FailureDetector, record_silence
from lycheevalve.flows.flow_resets import RESETS, should_reset
from lycheevalve.flows.front_doors import UNKNOWN_ROUTE, FrontDoorRoute
from lycheevalve.flows.held_packets import hold_packet, retry_packets
from lycheevalve.flows.locality import Locality
from lycheevalve.flows.lost_upstreams import LostUpstreams
from lycheevalve.flows.passive_health import (
    ANSWERED,
    MAX_RETRANSMIT_INTERVAL_SECONDS,
    MIN_RETRANSMIT_INTERVAL_SECONDS,
    RETRANSMITTED,
    FlowRecord,
    advances_acknowledgement,
    record_answer,
    record_retransmission,
    update_from_packet,
)
from lycheevalve.flows.upstream_choice import UpstreamChoice

# Retransmissions of an opening packet arrive within this time of each other.
OPENING_EXPIRY_SECONDS = 2.0
# How many flows are tracked, and for how long after their last packet.
MAX_TRACKED_FLOWS = 65_536
FLOW_IDLE_TIMEOUT_SECONDS = 15.0


@attrs.define
class CookieRouter:
    """
    Routes the flows of one instance.

    `forward(upstream, cookie, packet)` forwards a packet, `reset(packet)` resets the
    caller's flow, and `observe(name, **details)` records an event. The details are
    fields of logs/schema.py, except packet, upstream, flow and seconds.
    """

    upstreams: object
    random: object
    forward: object
    reset: object
    observe: object
    # `is_synced(now)`: settings and upstreams are complete enough to refuse flows.
    is_synced: object
    # The time against which leases are checked; it lags while no replica is reached.
    lease_time: object = lambda now: now
    data_centre: str = ""
    # `count_instances(now)`: how many instances the data centre has, 0 if it is not known.
    count_instances: object = lambda now: 0
    # The LinkScheduler before the own link, or None without one.
    link: object = None
    # How often upstreams announce themselves.
    heartbeat_seconds: float = 1.0
    cookies: CookieTable = attrs.field(factory=CookieTable)
    routes: dict[tuple, FrontDoorRoute] | None = None
    # No flow is placed until the settings are confirmed after a pause.
    settings_unconfirmed: bool = False
    flows: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # When a flow was last placed, and the upstreams tried, by its key.
    openings: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    # See held_packets.py.
    held: dict = attrs.field(factory=dict)
    failures: FailureDetector = attrs.field(factory=FailureDetector)
    # What is known of upstreams that packets do not reach, and the choice for new flows.
    lost: LostUpstreams = attrs.field(
        default=attrs.Factory(
            lambda self: LostUpstreams(
                self.upstreams, self.data_centre, failures=self.failures
            ),
            takes_self=True,
        )
    )
    locality: Locality = attrs.field(
        default=attrs.Factory(lambda self: Locality(self.data_centre), takes_self=True)
    )
    choice: UpstreamChoice = attrs.field(init=False)
    # When the last packet arrived, and when the fabric last moved flows between instances.
    last_packet_at: float = float("-inf")
    rebalanced_at: float = float("-inf")
    # When a caller last retransmitted.
    retransmitted_at: float = float("-inf")

    def __attrs_post_init__(self):
        self.choice = UpstreamChoice(
            self.upstreams,
            self.random,
            self.data_centre,
            self.failures,
            self.lost,
            self.locality,
            self.lease_time,
            self.count_instances,
            self.heartbeat_seconds,
        )

    def update_upstream(self, registration, now):
        """Apply an upstream's registration; return whether it is newer than the current one."""
        if not self.upstreams.update(registration, now):
            return False
        upstream = self.upstreams.find(registration.address, registration.incarnation)
        if upstream is not None:
            self.cookies.add(upstream)
        return True

    def set_routes(self, routes, now):
        """Replace the routes, and retry held packets with them."""
        self.routes = routes
        self.retry_held(now)

    def services(self):
        """Return the names of the services behind the front doors."""
        routes = (self.routes or {}).values()
        return {service for route in routes for service, weight in route.backends if weight > 0}

    def handle_packet(self, packet, now):
        """Route a caller's packet, or hold it."""
        self.last_packet_at = now
        if self.link is not None and self.link.is_waiting(packet):
            # The upstream has not received the first copy yet.
            self.observe("copy_dropped")
            return
        if not self.try_handle_packet(packet, now):
            self.hold(packet, now)

    def try_handle_packet(self, packet, now):
        """Forward a packet or reset its flow; return False to hold it."""
        if self.routes is None:
            # The cookie suffices to route packets of open flows without settings.
            return not packet.opens and self.forward_established(packet, UNKNOWN_ROUTE, now)
        route = self.routes.get(packet.front_door)
        if route is None:
            self.reset_flow(packet, "no_front_door")
            return True
        if packet.opens:
            return not self.settings_unconfirmed and self.open_flow(packet, route, now)
        return self.forward_established(packet, route, now)

    def reset_flow(self, packet, reason, upstream=None):
        """Reset a caller's flow."""
        flow = self.flows.get(packet.flow_key)
        request = packet.request or (flow.request if flow else "")
        self.observe("reset", reason=reason, packet=packet, upstream=upstream, request=request)
        self.untrack_flow(packet.flow_key)
        self.reset(packet)

    # Packets of established flows.

    def forward_established(self, packet, route, now):
        """Forward a packet by its cookie or reset its flow; return False to hold it."""
        upstream = self.cookies.find(packet.cookie)
        if upstream is None:
            return False
        if upstream.has_exited(now):
            # Its address may already belong to another service.
            self.reset_flow(packet, "upstream_gone", upstream)
            return True
        if packet.size and packet.flow_key not in self.flows:
            # The flow was opened at another instance, so some of this one's may have moved.
            self.rebalanced_at = now
        flow = self.track_flow(packet, upstream, now)
        self.record_delivery(flow, packet, now)
        observation = update_from_packet(flow, packet, now)
        self.report_observation(observation, flow, packet)
        if packet.ends:
            self.untrack_flow(packet.flow_key)
        elif packet.size and should_reset(self, route, upstream, observation, now):
            self.reset_flow(packet, "upstream_silent", upstream)
            return True
        self.forward(upstream, packet.cookie, packet)
        return True

    def record_delivery(self, flow, packet, now):
        """Record which packets an acknowledgement proves to have left this instance."""
        if flow.opening:
            at, tried = self.openings.get(packet.flow_key, (flow.last_packet_at, ()))
            self.failures.deliveries.record(at, now)
            if len(tried) == 1:
                self.locality.record_round_trip(now - at)
        elif flow.sent is not None and advances_acknowledgement(flow, packet):
            # Requests may be refused before all of their packets have arrived.
            self.failures.deliveries.record(flow.first_sent_at, now)
        elif packet.flow_key in self.openings and not flow.acknowledged:
            # Answered after another copy of the opening packet went elsewhere.
            flow.upstream.silences.pop(packet.flow_key, None)
            record_answer(flow.upstream, now)

    def report_observation(self, observation, flow, packet):
        """Record the events that a packet of an open flow indicates."""
        upstream = flow.upstream
        if packet.request and observation != RETRANSMITTED:
            self.observe("request", packet=packet, upstream=upstream)
        if observation == ANSWERED:
            self.observe("answered", upstream=upstream, seconds=flow.answer_seconds)
            self.failures.record_answer_time(upstream.service, flow.answer_seconds)
            self.locality.record_answer(
                upstream.service, flow.answer_seconds, flow.last_packet_at
            )
        elif observation == RETRANSMITTED:
            self.retransmitted_at = flow.last_packet_at
            self.observe("repeated", packet=packet, upstream=upstream, request=flow.request)
            self.lost.handle_silence(upstream, flow.last_packet_at)

    def set_unreachable(self, cookies, now):
        """Apply the cookies of unreachable upstreams; return whether there are new ones."""
        is_new = self.lost.set_unreachable(cookies, now)
        if is_new:
            self.reset_failed_flows(now)
        return is_new

    def reset_failed_flows(self, now):
        """Reset the flows whose callers are better served by another upstream."""
        for reason, find in RESETS.items():
            for packet, upstream in find(self, now):
                self.reset_flow(packet, reason, upstream)

    def find_silent_data_centres(self, now):
        """Find the data centres that are silent, while callers retransmit."""
        if now - self.retransmitted_at > MAX_RETRANSMIT_INTERVAL_SECONDS:
            return
        for name in self.failures.find_silent_data_centres(
            self.upstreams.by_index.values(), now
        ):
            self.observe("data_centre_silent", data_centre=name)

    def is_idempotent(self, packet):
        """Return whether requests to the packet's front door are idempotent."""
        return (self.routes or {}).get(packet.front_door, UNKNOWN_ROUTE).idempotent

    def track_flow(self, packet, upstream, now):
        """Return the record of a packet's flow, created or refreshed."""
        flow = self.flows.get(packet.flow_key)
        if flow is not None and flow.upstream is not upstream:
            self.untrack_flow(packet.flow_key)
            flow = None
        if flow is None:
            flow = self.flows[packet.flow_key] = FlowRecord(upstream, now)
            upstream.flows += 1
            if len(self.flows) > MAX_TRACKED_FLOWS:
                self.untrack_flow(next(iter(self.flows)))
        flow.last_packet_at = now
        self.flows.move_to_end(packet.flow_key)
        return flow

    def untrack_flow(self, key):
        """Stop tracking a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            flow.upstream.flows -= 1

    # Packets that open a flow.

    def open_flow(self, packet, route, now):
        """Place a flow; retransmissions go to other upstreams, as the first did not answer."""
        at, tried = self.openings.get(packet.flow_key, (now, ()))
        if packet.copy and now - at >= MIN_RETRANSMIT_INTERVAL_SECONDS:
            record_retransmission(tried[-1], now)
            record_silence(tried[-1], packet.flow_key, at, now, acknowledged_at_once=True)
            self.lost.handle_silence(tried[-1], now)
            self.retransmitted_at = now
        if not packet.copy and self.link is not None and not self.link.can_accept(route):
            self.reset_flow(packet, "link_backlog")
            return True
        upstream = self.choice.choose(route, tried, packet.copy == 0, now)
        if upstream is None:
            if self.is_synced(now):
                self.reset_flow(packet, self.choice.find_refusal_reason(route, now))
                return True
            return False
        self.openings[packet.flow_key] = (now, (*tried, upstream))
        self.openings.move_to_end(packet.flow_key)
        self.track_flow(packet, upstream, now).opening = True
        self.observe("placed", packet=packet, upstream=upstream, copy=packet.copy)
        self.forward(upstream, upstream.cookie, packet)
        return True

    def record_departure(self, packet, now):
        """Record when a packet that waited for the own link has left."""
        if packet.opens:
            if packet.flow_key in self.openings:
                self.openings[packet.flow_key] = (now, self.openings[packet.flow_key][1])
            return
        flow = self.flows.get(packet.flow_key)
        if flow is not None and packet.size:
            flow.sent_at = now

    # Held packets.

    def hold(self, packet, now):
        """Hold a packet in place of its earlier copies; drop the oldest if there is no room."""
        self.observe("held", packet=packet, reason=self.hold_reason(packet))
        hold_packet(self.held, packet, self.drop_held, now)

    def adopt_held(self, packets, now):
        """Handle packets that were held elsewhere since the time that comes with each."""
        for packet, since in packets:
            self.held[packet.identify()] = (since, packet)
        self.retry_held(now)

    def hold_reason(self, packet):
        """Return the reason why a packet is held."""
        if self.routes is None:
            return "no_settings"
        if not packet.opens:
            return "unknown_cookie"
        return "unconfirmed" if self.settings_unconfirmed else "uninformed"

    def drop_held(self, since, packet, reason, now):
        """Drop a held packet."""
        waited_ms = round((now - since) * 1000)
        self.observe("dropped", packet=packet, reason=reason, waited_ms=waited_ms)

    def retry_held(self, now):
        """Retry held packets; drop those held for too long."""
        retry_packets(self.held, self.try_handle_packet, self.drop_held, now)

    def has_pending_work(self, now):
        """Return whether packets are held or callers retransmit, so that ticks are urgent."""
        if self.held or self.lost.reachability.is_active:
            return True
        return now - self.retransmitted_at < MAX_RETRANSMIT_INTERVAL_SECONDS

    def tick(self, now):
        """Retry held packets, reset flows on unresponsive upstreams, evict idle records."""
        self.retry_held(now)
        for data_centre in self.lost.reachability.tick(now):
            self.observe("data_centre_cut", data_centre=data_centre)
        self.find_silent_data_centres(now)
        self.reset_failed_flows(now)
        self.evict_oldest(
            self.openings, lambda opening: now - opening[0] > OPENING_EXPIRY_SECONDS
        )
        for key in self.find_idle_flows(now):
            self.untrack_flow(key)

    @staticmethod
    def evict_oldest(entries, is_over):
        """Evict entries, oldest first, while `is_over(entry)` holds."""
        while entries and is_over(next(iter(entries.values()))):
            entries.popitem(last=False)

    def find_idle_flows(self, now):
        """Return the keys of flows idle beyond the timeout, oldest first."""
        idle = []
        for key, flow in self.flows.items():
            if now - flow.last_packet_at <= FLOW_IDLE_TIMEOUT_SECONDS:
                break
            idle.append(key)
        return idle

    def handle_resume(self):
        """Discard flow and health state: packets were missed while the process was paused."""
        self.flows.clear()
        self.openings.clear()
        self.failures.clear()
        self.locality.clear()
        self.lost.reachability.clear()
        for upstream in self.upstreams.by_index.values():
            upstream.flows = upstream.unanswered = 0
            upstream.silences.clear()
            upstream.silent_since = float("-inf")

    def evict_expired(self, now):
        """Evict upstreams that expired long ago, and their cookies."""
        self.upstreams.evict_expired(now)
        self.cookies.retain(lambda u: u.index in self.upstreams.by_index)
