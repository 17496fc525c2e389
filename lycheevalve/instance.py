"""
The logic of one load balancer instance, which creates and connects its components.

The logic does no I/O and reads no clock: its owner (the daemon, or a test with an
in-memory queue) passes in datagrams, messages and the time, and sends what is queued
in `datagrams` and `messages`.
"""

import attrs

from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.coordination.evacuations import get_evacuations
from lycheevalve.coordination.membership import (
    PAUSE_THRESHOLD_SECONDS,
    PERIOD_SECONDS,
    Membership,
    State,
)
from lycheevalve.coordination.timers import Timers
from lycheevalve.exceptions import DatagramError
from lycheevalve.flows.admission import Admission
from lycheevalve.flows.claims import Claims, parse_holder
from lycheevalve.flows.handover import TokenBucket
from lycheevalve.flows.leases import Leases
from lycheevalve.flows.ownership import Ownership
from lycheevalve.flows.pins import Pins
from lycheevalve.flows.requests import Requests
from lycheevalve.flows.router import (
    DIRECTED,
    REGISTRY,
    RELAY,
    FrontDoorEntry,
    Router,
    split_packet,
)
from lycheevalve.flows.shards import ShardManager
from lycheevalve.flows.streams import Streams
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.reports.burn import BurnCounters
from lycheevalve.schema.generated import messages
from lycheevalve.schema.generated.messages import Member
from lycheevalve.utils.addresses import pack_address, parse_address

GOOD_STATES = ("answered",)
FINAL_STATES = ("answered", "refused", "unknown")

TICK_INTERVAL_SECONDS = 0.05
SHARDS_INTERVAL_SECONDS = 0.1
DISSEMINATION_INTERVAL_SECONDS = 0.5
REGISTRATIONS_INTERVAL_SECONDS = 0.1
LEASE_QUERY_INTERVAL_SECONDS = 0.3
JOIN_INTERVAL_SECONDS = 0.1
EVICTION_INTERVAL_SECONDS = 1.0
SYNC_INTERVAL_SECONDS = 0.5
# A leaving instance runs at least this long, to handle packets in flight to it.
MIN_LEAVE_SECONDS = 1.0


def ignore(*_):
    """Discard an event; the default for `observe`."""


@attrs.define(eq=False, slots=False)
class Instance:
    """The state and logic of one instance, and the output it queues."""

    settings: object
    key: bytes
    incarnation: int
    random: object
    now: float
    # Called with (name of the event, details...) for metrics and logs.
    observe: object = ignore
    datagrams: list = attrs.field(factory=list)
    messages: list = attrs.field(factory=list)
    counters: dict = attrs.field(factory=dict)
    # Whether another instance has sent its members and upstreams.
    synced: bool = False
    left_at: float = 0.0
    observed_at: float = 0.0

    def __attrs_post_init__(self):
        settings = self.settings
        local_member = Member(
            name=settings.name,
            data_centre=settings.data_centre,
            address=settings.address,
            incarnation=self.incarnation,
            state=State.JOINING,
        )
        self.peers = dict(peer.split("@", 1) for peer in settings.peers)
        # Instances of other groups; groups exchange only configurations.
        self.bridges = dict(peer.split("@", 1) for peer in settings.bridges)
        self.membership = Membership(
            local_member, self.send, self.handle_view_change, self.random
        )
        self.burn = BurnCounters()
        self.timers = Timers()
        self.build_flows()
        self.dissemination = Dissemination(
            send=self.send,
            neighbours=self.reachable_in_data_centre,
            others=lambda: [*self.reachable_others(), *self.bridges],
            bridges=tuple(self.bridges),
            apply=self.apply_configuration,
            random=self.random,
            started_at=self.now,
        )
        self.subscribe()

    def build_flows(self):
        """Build the components that handle the datagrams of callers and upstreams."""
        settings, local_name = self.settings, self.settings.name
        self.upstreams = Upstreams()
        self.leases = Leases(
            self.upstreams, self.send, self.reachable_others, self.random, self.count
        )
        self.pins = Pins(self.upstreams.by_index)
        self.claims = Claims(local_name, self.incarnation, self.send, settings.takeover_seconds)
        self.shard_manager = ShardManager(
            local_name=local_name,
            membership=self.membership,
            upstreams=self.upstreams,
            pins=self.pins,
            claims=self.claims,
            send=self.send,
            budget=TokenBucket(settings.control_bytes_per_second),
            peers=tuple(self.peers),
            takeover_seconds=settings.takeover_seconds,
            started_at=self.now,
            ownership=Ownership.compute([self.membership.local_member]),
        )
        self.streams = Streams(
            upstreams=self.upstreams,
            pins=self.pins,
            backups=self.shard_manager.backups,
            send_to_upstream=self.send_to_upstream,
            send=self.send,
            queue_backup=self.shard_manager.queue_backup,
            local_name=local_name,
            owner=self.shard_manager.owner,
            reroute=lambda data, now: self.router.handle_caller(split_packet(data), 0, now),
            previous_owners=self.shard_manager.previous_owners,
            find_referral=self.shard_manager.find_referral,
            is_taken_over=self.shard_manager.is_taken_over,
            observe=self.count,
        )
        self.requests = Requests(
            upstreams=self.upstreams,
            pins=self.pins,
            claims=self.claims,
            send_to_upstream=self.send_to_upstream,
            send_to_caller=self.send_to_fabric,
            relay=self.relay_to_holder,
            claim_group=self.shard_manager.claim_group,
            admission=Admission(self.upstreams, self.shard_manager.count_owners, self.random),
            observe=self.count,
            random=self.random,
            lifetime=settings.takeover_seconds,
        )
        self.router = Router(
            local_name=local_name,
            key=self.key,
            fabric=frozenset(map(parse_address, settings.fabric)),
            upstreams=self.upstreams,
            streams=self.streams,
            requests=self.requests,
            owner=self.shard_manager.owner,
            choose_relay_target=self.choose_relay_target,
            relay=self.relay,
            send_to_fabric=self.send_to_fabric,
            announce=self.leases.announce,
            observe=self.count,
        )

    def subscribe(self):
        """Subscribe the components to the timer service."""
        now, timers = self.now, self.timers
        for component in (self.claims, self.requests, self.streams):
            timers.subscribe(TICK_INTERVAL_SECONDS, component.tick, now)
        timers.subscribe(SHARDS_INTERVAL_SECONDS, self.shard_manager.tick, now)
        timers.subscribe(PERIOD_SECONDS, self.membership.tick, now, self.random.random())
        timers.subscribe(DISSEMINATION_INTERVAL_SECONDS, self.dissemination.tick, now, 0.0)
        timers.subscribe(REGISTRATIONS_INTERVAL_SECONDS, self.leases.publish, now)
        timers.subscribe(LEASE_QUERY_INTERVAL_SECONDS, self.leases.query_overdue, now)
        timers.subscribe(SYNC_INTERVAL_SECONDS, self.sync_peers, now, 0.0)
        timers.subscribe(JOIN_INTERVAL_SECONDS, self.finish_joining, now)
        timers.subscribe(EVICTION_INTERVAL_SECONDS, self.evict_expired, now)

    # Time.

    def observe_time(self, now):
        """
        Record the time before anything is handled; detect that the process was paused.

        Other instances may have taken over its shards, so pins and claims may be stale.
        """
        if self.observed_at and now - self.observed_at > PAUSE_THRESHOLD_SECONDS:
            self.count("thawed")
            self.shard_manager.handle_resume(now)
            self.claims.informed = False
        self.observed_at = self.now = now

    def run_timers(self, now):
        """Run the timers that are due."""
        self.observe_time(now)
        self.timers.run_due(now)

    def evict_expired(self, now):
        """Evict expired exchanges, claims, upstreams, report windows and pins."""
        self.requests.evict_expired(now)
        self.claims.evict_expired(now)
        self.upstreams.evict_expired(now)
        self.burn.prune(now)
        self.shard_manager.expire_pins(self.router.services, now)

    def address_of(self, name):
        """Return the address of an instance as `ip:port`, or an empty string."""
        member = self.membership.members.get(name)
        if member is not None:
            return member.address
        return self.peers.get(name, "") or self.bridges.get(name, "")

    # Datagrams of callers and upstreams.

    def handle_datagram(self, datagram, source, now):
        """Handle a datagram that is not a frame; count and drop an invalid one."""
        self.now = now
        try:
            if datagram[:1] == bytes((RELAY,)):
                self.router.handle_relayed(datagram, now)
            else:
                self.router.handle(datagram, source, now)
        except DatagramError as error:
            self.count("bad_datagrams", str(error))

    def send_to_upstream(self, upstream, datagram):
        """Queue a datagram to an upstream."""
        self.datagrams.append((datagram, upstream.address))

    def send_to_fabric(self, datagram):
        """Queue a datagram to a caller, sent through the fabric."""
        self.datagrams.append((datagram, parse_address(self.settings.fabric[0])))

    def relay(self, name, data):
        """Queue a datagram to another instance."""
        address = self.address_of(name)
        if address:
            self.datagrams.append((data, parse_address(address)))

    def relay_to_holder(self, holder, datagram):
        """Queue a duplicate to the incarnation that holds its claim; False if unreachable."""
        name, incarnation = parse_holder(holder)
        member = self.membership.members.get(name)
        same = member is not None and member.incarnation == incarnation
        if not same or not self.membership.is_reachable(name):
            return False
        self.relay(name, bytes((RELAY, DIRECTED)) + datagram)
        return True

    # Messages of other instances.

    def send(self, name, message):
        """Queue a message to another instance."""
        if isinstance(message, (messages.Ping, messages.Ack)):
            message.applied = self.dissemination.applied.revision
            message.held = self.dissemination.held.revision
        self.messages.append((name, message))

    def handle_message(self, sender, message, now):
        """Handle a message of another instance."""
        self.now = now
        if isinstance(message, (messages.Ping, messages.Ack)):
            self.dissemination.update_peer(sender, message.applied, message.held, now)
        handler = HANDLERS.get(type(message))
        if handler is None:
            self.count("unexpected_messages", type(message).__name__)
            return
        handler(self, sender, message, now)

    def handle_sync(self, sender, message, now):
        """Merge another instance's members and upstreams; reply with this one's on request."""
        self.membership.merge_all(message.members, now)
        self.leases.apply(sender, message.registrations, now)
        if message.reply_wanted:
            self.send(sender, self.build_sync(now, False))
            self.shard_manager.record_sync_request(sender)
        else:
            self.synced = True

    def build_sync(self, now, reply_wanted):
        """Return a Sync with all members and unexpired registrations."""
        members = list(self.membership.members.values())
        return messages.Sync(members, self.upstreams.live_leases(now), reply_wanted)

    def sync_peers(self, now):
        """Request members, upstreams and claims from the peers that have not sent theirs."""
        self.shard_manager.update_informed(now)
        missing = self.shard_manager.awaiting_claims_from
        if self.left_at:
            return
        for name in sorted(missing):
            self.send(name, self.build_sync(now, True))

    def finish_joining(self, now):
        """Become an owner of shards once the configuration and upstreams are received."""
        if self.membership.local_member.state != State.JOINING or not self.dissemination.ready:
            return
        has_settings = self.dissemination.applied.revision == self.dissemination.held.revision
        if has_settings and (self.synced or not self.reachable_others()):
            self.shard_manager.await_pins(now)
            self.membership.activate(now)

    def choose_relay_target(self):
        """Return the instance that handles datagrams while this one joins, or ''."""
        if self.membership.local_member.state != State.JOINING:
            return ""
        alive = [member.name for member in self.membership.in_states(State.ALIVE)]
        candidates = alive or sorted(self.peers)
        return self.random.choice(candidates) if candidates else ""

    # Membership view and configuration.

    def handle_view_change(self, now):
        """Have the shard ownership recomputed after a membership change."""
        self.shard_manager.dirty = True

    def reachable_others(self):
        """Return the names of the other reachable instances."""
        local_name = self.settings.name
        members = self.membership.members.values()
        return [m.name for m in members if m.state < State.DEAD and m.name != local_name]

    def reachable_in_data_centre(self):
        """Return the names of the other reachable instances of this data centre."""
        members = self.membership.members
        local = self.settings.data_centre
        return [name for name in self.reachable_others() if members[name].data_centre == local]

    def apply_configuration(self, configuration, now):
        """Replace the front doors, services and drains with those of a configuration."""
        front_doors = {}
        for service in configuration.services:
            for front_door in service.front_doors:
                address = pack_address(parse_address(front_door.address))
                front_doors[address] = FrontDoorEntry(front_door.kind, service)
        registry = pack_address(parse_address(self.settings.registry))
        front_doors[registry] = FrontDoorEntry(REGISTRY)
        self.router.front_doors = front_doors
        self.router.services = {service.name: service for service in configuration.services}
        self.upstreams.set_drained(configuration.drained)
        self.upstreams.set_evacuated(get_evacuations(configuration).data_centres, now)
        self.membership.local_member.applied = configuration.revision
        self.count("in_force", configuration.revision)

    # Graceful stop.

    def leave(self, now):
        """Start the graceful stop: give up all shards, and hand over pins and claims."""
        self.left_at = now
        self.membership.leave(now)

    def has_left(self, now):
        """Return whether the graceful stop is complete and the process may exit."""
        if not self.left_at or now - self.left_at < MIN_LEAVE_SECONDS:
            return False
        handed_over = self.shard_manager.is_handed_over()
        return handed_over and not self.requests.count_unfinished() and not self.claims.pending

    def announce_left(self, now):
        """Announce to all reachable instances that this one has left."""
        self.membership.set_state(self.membership.local_member, State.LEFT, now)
        member = attrs.evolve(self.membership.local_member)
        for name in self.reachable_others():
            self.send(name, messages.Ping(0, [member]))

    # Counters.

    def count(self, name, *details):
        """Count an event; final answers also enter the burn report."""
        self.counters[name] = self.counters.get(name, 0) + 1
        if name in FINAL_STATES and details:
            self.burn.count(details[0], name in GOOD_STATES, self.now)
        self.observe(name, *details)


HANDLERS = {
    messages.Ping: lambda self, *call: self.membership.handle_ping(*call),
    messages.Ack: lambda self, *call: self.membership.handle_ack(*call),
    messages.PingRequest: lambda self, *call: self.membership.handle_ping_request(*call),
    messages.Sync: Instance.handle_sync,
    messages.Registrations: lambda self, *call: self.leases.handle_registrations(*call),
    messages.LeaseQuery: lambda self, *call: self.leases.handle_query(*call),
    messages.Claim: lambda self, *call: self.claims.handle_claim(*call),
    messages.ClaimAck: lambda self, *call: self.claims.handle_ack(*call),
    messages.PinQuery: lambda self, *call: self.streams.handle_query(*call),
    messages.PinAnswer: lambda self, *call: self.streams.handle_answer(*call),
    messages.Pins: lambda self, *call: self.shard_manager.handle_pins(*call),
    messages.PinsAck: lambda self, *call: self.shard_manager.handover.handle_ack(*call),
    messages.Digest: lambda self, *call: self.dissemination.handle_digest(*call),
    messages.Fetch: lambda self, *call: self.dissemination.handle_fetch(*call),
    messages.Fetched: lambda self, *call: self.dissemination.handle_fetched(*call),
}
