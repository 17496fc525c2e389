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
from lycheevalve.flows.costs import estimate_cost
from lycheevalve.flows.failure_evidence import FailureDetector, record_silence
from lycheevalve.flows.front_doors import UNKNOWN_ROUTE, FrontDoorRoute
from lycheevalve.flows.held_packets import hold_packet, retry_packets
from lycheevalve.flows.load import decayed_failure_count
from lycheevalve.flows.locality import Locality
from lycheevalve.flows.passive_health import (
    ANSWERED,
    HEALTHY_ANSWER_SECONDS,
    MAX_RETRANSMIT_INTERVAL_SECONDS,
    MIN_RETRANSMIT_INTERVAL_SECONDS,
    RETRANSMITTED,
    FlowRecord,
    advances_acknowledgement,
    exclude_unresponsive,
    is_healthy,
    is_unresponsive,
    is_unresponsive_now,
    record_answer,
    record_retransmission,
    update_from_packet,
)
from lycheevalve.flows.reachability import Reachability

# Retransmissions of an opening packet arrive within this time of each other.
OPENING_EXPIRY_SECONDS = 2.0
# An instance without a packet for this long may be out of the fabric's rotation, with
# its flows moved to another instance.
OUT_OF_ROTATION_SECONDS = 0.3
# An upstream that is reported as unreachable has not answered for at least this long: from
# a request to its first copy, and during the check.
UNREACHABLE_REPORT_SECONDS = 0.25
# Of the copies of an opening packet these go to near upstreams; all those may have failed.
MAX_NEAR_ATTEMPTS = 2
# A request to an upstream that is cut off has been lost if it has no answer for this long.
LOST_REQUEST_SECONDS = 0.1
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
    # `report_silence(upstream, now)`: an upstream has left a caller without an answer.
    report_silence: object = lambda upstream, now: None
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
    reachability: Reachability = attrs.field(
        default=attrs.Factory(lambda self: self.make_reachability(), takes_self=True)
    )
    locality: Locality = attrs.field(
        default=attrs.Factory(lambda self: Locality(self.data_centre), takes_self=True)
    )
    # Since when control replicas report upstreams as unreachable, by cookie.
    unreachable_since: dict[int, float] = attrs.field(factory=dict)
    # When the last packet arrived, and when the fabric last moved flows between instances.
    last_packet_at: float = float("-inf")
    rebalanced_at: float = float("-inf")
    # When a caller last retransmitted.
    retransmitted_at: float = float("-inf")

    def make_reachability(self, list_replicas=dict, probe=lambda address: None):
        """Return a Reachability of this router's upstreams; see its class."""
        return Reachability(
            self.data_centre, list_replicas, lambda: self.upstreams.by_index.values(), probe
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
        elif packet.size and self.should_reset(route, upstream, observation, now):
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
            self.handle_silence(upstream, flow.last_packet_at)

    def handle_silence(self, upstream, now):
        """Have a silent upstream and its data centre checked."""
        self.reachability.handle_silence(upstream, now)
        if not self.is_lost(upstream, now):
            self.report_silence(upstream, now)

    def set_unreachable(self, cookies, now):
        """Apply the cookies of unreachable upstreams; return whether there are new ones."""
        new = cookies - self.unreachable_since.keys()
        since = now - UNREACHABLE_REPORT_SECONDS
        self.unreachable_since = {c: self.unreachable_since.get(c, since) for c in cookies}
        if new:
            self.reset_lost_flows(now)
        return bool(new)

    def is_lost(self, upstream, now):
        """Return whether packets to an upstream are lost: it or its data centre is cut off."""
        if self.reachability.is_cut(upstream):
            return True
        since = self.unreachable_since.get(upstream.cookie)
        if since is None:
            return False
        # An upstream that answers here is not lost: the replica may be the one cut off.
        return upstream.answered_at < max(since, now - HEALTHY_ANSWER_SECONDS)

    def should_reset(self, route, upstream, observation, now):
        """
        Return whether to reset a flow so that its caller opens one on a healthy upstream.

        Only a flow that is itself unanswered is reset: one that has just moved here from
        another instance brings no evidence, and what was seen here may be out of date. Where
        packets are known to be lost, the first one suffices.
        """
        if self.is_lost(upstream, now):
            return route.idempotent and self.has_usable_alternative(upstream, now)
        if observation != RETRANSMITTED:
            return False
        if not (route.idempotent and self.is_failed(upstream, now)):
            return False
        return self.has_alternative(upstream, now)

    def is_failed(self, upstream, now):
        """Return whether an upstream has failed beyond doubt, so that flows may be reset."""
        if self.is_lost(upstream, now) or self.failures.is_cut_off(upstream, now):
            return True
        return is_unresponsive_now(upstream, now) and self.failures.has_failed(upstream, now)

    def find_silent_data_centres(self, now):
        """Find the data centres that are silent, while callers retransmit."""
        if now - self.retransmitted_at > MAX_RETRANSMIT_INTERVAL_SECONDS:
            return
        for name in self.failures.find_silent_data_centres(
            self.upstreams.by_index.values(), now
        ):
            self.observe("data_centre_silent", data_centre=name)

    def has_alternative(self, upstream, now):
        """Return whether another upstream of the service is healthy."""
        others = self.candidates(upstream.service, now)
        return any(is_healthy(other, now) and not self.is_lost(other, now) for other in others)

    def has_usable_alternative(self, upstream, now):
        """Return whether another upstream of the service is not known to have failed."""
        others = self.candidates(upstream.service, now)
        return any(not (is_unresponsive(u, now) or self.is_lost(u, now)) for u in others)

    def reset_lost_flows(self, now):
        """
        Reset the flows on upstreams that are cut off, where their callers lose nothing.

        These are idle flows, before their callers' next requests, and those whose idempotent
        request has been lost. A flow that has moved to another instance is cut off there too.
        """
        if not (self.reachability.cut_since or self.unreachable_since):
            return
        lost = [u for u in self.upstreams.by_index.values() if u.flows and self.is_lost(u, now)]
        replaceable = [u for u in lost if self.has_usable_alternative(u, now)]
        if not replaceable:
            return
        for flow in [flow for flow in self.flows.values() if flow.upstream in replaceable]:
            packet = flow.last_ack_packet
            if packet is None or flow.opening:
                continue
            is_lost = now - flow.sent_at >= LOST_REQUEST_SECONDS and self.is_idempotent(packet)
            if flow.idle or is_lost:
                self.reset_flow(packet, "upstream_cut_off", flow.upstream)

    def reset_unresponsive_flows(self, now):
        """
        Reset flows on unresponsive upstreams if their callers lose nothing.

        These are idle flows and those with idempotent requests: the caller opens
        another flow instead of waiting for a timeout. A flow that may have moved to
        another instance is not reset.
        """
        if now - self.last_packet_at > OUT_OF_ROTATION_SECONDS:
            return
        failed = [u for u in self.upstreams.by_index.values() if self.is_failed(u, now)]
        replaceable = [u for u in failed if u.flows and self.has_alternative(u, now)]
        if not replaceable:
            return
        for flow in [flow for flow in self.flows.values() if flow.upstream in replaceable]:
            packet = flow.last_ack_packet
            if packet is None or flow.last_packet_at < self.rebalanced_at:
                continue
            if flow.idle or self.is_idempotent(packet):
                self.reset_flow(packet, "left_silent", flow.upstream)

    def reset_flows_of_replaced_upstreams(self, now):
        """
        Reset idle flows on upstreams that have ended, before their callers' next requests.

        Such a request would get no answer, and a caller must not repeat one that isn't
        idempotent. Flows that may have moved to another instance are reset too: their
        upstream answers through no instance. An expired lease does not suffice: the
        upstream may announce itself to a replica that is cut off.
        """
        replaced = [u for u in self.upstreams.by_index.values() if u.flows and u.replaced]
        replaceable = [u for u in replaced if self.candidates(u.service, now)]
        if not replaceable:
            return
        for flow in [flow for flow in self.flows.values() if flow.upstream in replaceable]:
            if flow.idle and flow.last_ack_packet is not None:
                self.reset_flow(flow.last_ack_packet, "upstream_replaced", flow.upstream)

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
            self.handle_silence(tried[-1], now)
            self.retransmitted_at = now
        if not packet.copy and self.link is not None and not self.link.can_accept(route):
            self.reset_flow(packet, "link_backlog")
            return True
        upstream = self.choose_upstream(route, tried, packet.copy == 0, now)
        if upstream is None:
            if self.is_synced(now):
                self.reset_flow(packet, self.find_refusal_reason(route, now))
                return True
            return False
        self.openings[packet.flow_key] = (now, (*tried, upstream))
        self.openings.move_to_end(packet.flow_key)
        self.track_flow(packet, upstream, now).opening = True
        self.observe("placed", packet=packet, upstream=upstream, copy=packet.copy)
        self.forward(upstream, upstream.cookie, packet)
        return True

    def choose_upstream(self, route, tried, may_probe, now):
        """Return the least loaded upstream of a service chosen by weight, or None."""
        usable = [
            (weight, candidates)
            for service, weight in route.backends
            if weight > 0 and (candidates := self.find_warm(route, service, now))
        ]
        if not usable:
            return None
        weights = [weight for weight, _ in usable]
        candidates = self.random.choices([c for _, c in usable], weights)[0]
        is_silent = self.failures.is_in_silent_data_centre
        reached = [u for u in candidates if not (self.is_lost(u, now) or is_silent(u, now))]
        candidates = exclude_unresponsive(reached or candidates, may_probe, now)
        if len(tried) < MAX_NEAR_ATTEMPTS:
            candidates = self.locality.select_near(candidates, self.count_instances(now), now)
        untried = [upstream for upstream in candidates if upstream not in tried]
        chosen = min(untried or candidates, key=lambda u: self.cost(u, now))
        if is_unresponsive(chosen, now):
            chosen.probed_at = now
        return chosen

    def record_departure(self, packet, now):
        """Record when a packet that waited for the own link has left."""
        if packet.opens:
            if packet.flow_key in self.openings:
                self.openings[packet.flow_key] = (now, self.openings[packet.flow_key][1])
            return
        flow = self.flows.get(packet.flow_key)
        if flow is not None and packet.size:
            flow.sent_at = now

    def find_warm(self, route, service, now):
        """
        Return the upstreams of a service that may get new flows and have warmed up.

        A cold upstream bears few requests of all instances together, and no instance has
        the number of the others. The warm ones carry the load until it is warm.
        """
        candidates = self.candidates(service, now)
        if service not in route.warming_services:
            return candidates
        return self.upstreams.exclude_warming_up(candidates, now, self.heartbeat_seconds)

    def find_refusal_reason(self, route, now):
        """Return why no upstream of a route may get a new flow."""
        services = [service for service, weight in route.backends if weight > 0]
        if any(self.candidates(service, now) for service in services):
            return "warming_up"
        upstreams = [u for s in services for u in self.upstreams.by_service.get(s, ())]
        lease_time = self.lease_time(now)
        evacuated = any(u.evacuated and lease_time < u.expires_at for u in upstreams)
        return "evacuated" if evacuated else "no_upstream"

    def candidates(self, service, now):
        """Return the upstreams of a service that may get new flows."""
        usable = self.upstreams.usable(service, self.lease_time(now))
        return [upstream for upstream in usable if upstream.cookie]

    def cost(self, upstream, now):
        """Return an upstream's load as seen from here, with a random tie-break; lowest wins."""
        slots = max(1, upstream.registration.slots) * upstream.announced_share(now)
        is_local = upstream.registration.data_centre == self.data_centre
        failure_factor = 2.0 ** decayed_failure_count(upstream, now)
        cost = estimate_cost(upstream.flows, slots, is_local, failure_factor)
        return cost, self.random.random()

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
        if self.held or self.reachability.is_active:
            return True
        return now - self.retransmitted_at < MAX_RETRANSMIT_INTERVAL_SECONDS

    def tick(self, now):
        """Retry held packets, reset flows on unresponsive upstreams, evict idle records."""
        self.retry_held(now)
        for data_centre in self.reachability.tick(now):
            self.observe("data_centre_cut", data_centre=data_centre)
        self.find_silent_data_centres(now)
        self.reset_lost_flows(now)
        self.reset_unresponsive_flows(now)
        self.reset_flows_of_replaced_upstreams(now)
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
        self.reachability.clear()
        for upstream in self.upstreams.by_index.values():
            upstream.flows = upstream.unanswered = 0
            upstream.silences.clear()
            upstream.silent_since = float("-inf")

    def evict_expired(self, now):
        """Evict upstreams that expired long ago, and their cookies."""
        self.upstreams.evict_expired(now)
        self.cookies.retain(lambda u: u.index in self.upstreams.by_index)
