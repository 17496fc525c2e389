"""
Membership and failure detection of the instances of a site: SWIM with graceful leave.

Every period an instance pings one other, in shuffled order. A missing ack leads
to indirect pings, then to the state SUSPECT, then to DEAD. Updates of members are
piggybacked on pings and acks. Source: Das, Gupta, Motivala, "SWIM" (DSN 2002). A
suspected instance refutes with a higher refutation number, and an instance that
was paused detects this by a gap in its own clock.
"""

import enum
import math

import attrs

from lycheevalve.schema.generated.messages import Ack, Member, Ping, PingRequest

PERIOD_SECONDS = 0.2
ACK_TIMEOUT_SECONDS = 0.15
SUSPICION_PERIODS = 4
INDIRECT_PINGS = 3
GOSSIP_MEMBERS_PER_MESSAGE = 8
GOSSIP_TRANSMISSION_FACTOR = 3
# A longer gap between two ticks means that the process was paused.
PAUSE_THRESHOLD_SECONDS = 1.0


class State(enum.IntEnum):
    """The state of a member; at equal incarnation and refutation the higher one wins."""

    ALIVE = 0
    # Started, but not ready to own shards yet.
    JOINING = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5


@attrs.define
class PendingPing:
    """A ping whose ack has not arrived."""

    target: str
    sent_at: float
    indirect: bool = False
    # Set if the ping was requested by another instance.
    origin: str = ""
    origin_number: int = 0


@attrs.define
class Membership:
    """
    One instance's view of the members of its site.

    `send(name, message)` sends a message to a member; `on_change(now)` is called
    after each change of the view.
    """

    local_member: Member
    send: object
    on_change: object
    random: object
    members: dict[str, Member] = attrs.field(factory=dict)
    state_since: dict[str, float] = attrs.field(factory=dict)
    # When joining and leaving members first failed to answer.
    unresponsive_since: dict[str, float] = attrs.field(factory=dict)
    pending_pings: dict[int, PendingPing] = attrs.field(factory=dict)
    # How many more messages the state of a member is attached to.
    transmissions_left: dict[str, int] = attrs.field(factory=dict)
    # The members still to be pinged in this round.
    ping_round: list[str] = attrs.field(factory=list)
    ping_number: int = 0
    last_tick: float = 0.0
    # How often a pause of this process was detected.
    pauses: int = 0

    def __attrs_post_init__(self):
        self.members[self.local_member.name] = self.local_member
        # Members with a previous incarnation in their view must receive this one.
        self.disseminate(self.local_member.name)

    def in_states(self, *states):
        """Return the members in one of `states`."""
        return [member for member in self.members.values() if member.state in states]

    def is_reachable(self, name):
        """Return whether a member is neither DEAD nor LEFT."""
        member = self.members.get(name)
        return member is not None and member.state < State.DEAD

    def tick(self, now):
        """Run one protocol period: check pending pings, then ping one member."""
        gap = now - self.last_tick if self.last_tick else 0.0
        self.last_tick = now
        if gap > PAUSE_THRESHOLD_SECONDS:
            self.handle_resume(now)
        self.expire_pings(now)
        self.declare_dead(now)
        target = self.next_target()
        if target is not None:
            self.ping(target, now)

    def handle_resume(self, now):
        """Discard pending pings after a pause, and refute suspicions raised during it."""
        self.pauses += 1
        self.pending_pings.clear()
        self.refute(now)

    def refute(self, now):
        """Announce that this instance is alive, under a higher refutation number."""
        self.local_member.refutation += 1
        self.disseminate(self.local_member.name)

    def next_target(self):
        """Return the next member to ping; each shuffled round has at most one dead member."""
        if not self.ping_round:
            self.ping_round = [
                member.name
                for member in self.members.values()
                if member.name != self.local_member.name and member.state < State.DEAD
            ]
            # Pinging one dead member a round detects the end of a network partition.
            dead = [member.name for member in self.in_states(State.DEAD)]
            if dead:
                self.ping_round.append(self.random.choice(dead))
            self.random.shuffle(self.ping_round)
        return self.ping_round.pop() if self.ping_round else None

    def ping(self, target, now, origin="", origin_number=0):
        """Send a ping and record it as pending until its ack."""
        self.ping_number += 1
        self.pending_pings[self.ping_number] = PendingPing(
            target, now, False, origin, origin_number
        )
        self.send(target, Ping(self.ping_number, self.select_gossip(target), origin))

    def expire_pings(self, now):
        """Follow a late ping with indirect pings, and suspect the target if they fail too."""
        for number, ping in list(self.pending_pings.items()):
            age = now - ping.sent_at
            if age < ACK_TIMEOUT_SECONDS:
                continue
            if ping.origin:
                if age > PERIOD_SECONDS * SUSPICION_PERIODS:
                    del self.pending_pings[number]
            elif not ping.indirect:
                ping.indirect = True
                self.request_indirect_pings(number, ping.target)
            elif age > ACK_TIMEOUT_SECONDS + PERIOD_SECONDS:
                del self.pending_pings[number]
                self.suspect(ping.target, now)

    def request_indirect_pings(self, number, target):
        """Ask INDIRECT_PINGS random members to ping `target`."""
        relays = [
            member.name
            for member in self.in_states(State.ALIVE, State.JOINING, State.LEAVING)
            if member.name not in (self.local_member.name, target)
        ]
        for name in self.random.sample(relays, min(INDIRECT_PINGS, len(relays))):
            self.send(name, PingRequest(number, target))

    def suspect(self, name, now):
        """Mark a member as suspect unless its state is SUSPECT or worse."""
        member = self.members.get(name)
        if member is None or member.state >= State.SUSPECT:
            return
        if member.state == State.ALIVE:
            self.set_state(member, State.SUSPECT, now)
        else:
            # A suspect still counts as an owner; a joining or leaving member must not.
            self.unresponsive_since.setdefault(name, now)

    def declare_dead(self, now):
        """Declare members dead that have been suspect or unresponsive for long enough."""
        limit = PERIOD_SECONDS * SUSPICION_PERIODS
        since = {
            m.name: self.state_since.get(m.name, now) for m in self.in_states(State.SUSPECT)
        }
        for name, start in [*since.items(), *self.unresponsive_since.items()]:
            if now - start >= limit:
                self.unresponsive_since.pop(name, None)
                self.set_state(self.members[name], State.DEAD, now)

    def set_state(self, member, state, now):
        """Change a member's state and disseminate it."""
        member.state = int(state)
        self.state_since[member.name] = now
        self.disseminate(member.name)
        self.on_change(now)

    def activate(self, now):
        """Finish joining: this instance may own shards from now on."""
        self.local_member.refutation += 1
        self.set_state(self.local_member, State.ALIVE, now)

    def leave(self, now):
        """Announce a graceful stop: the instance owns no shards but stays reachable."""
        self.local_member.refutation += 1
        self.set_state(self.local_member, State.LEAVING, now)

    def disseminate(self, name):
        """Attach the state of `name` to the next messages, O(log n) of them for n members."""
        count = max(2, len(self.members))
        self.transmissions_left[name] = GOSSIP_TRANSMISSION_FACTOR * math.ceil(
            math.log2(count) + 1
        )

    def select_gossip(self, receiver):
        """Return the members to attach to one message, those sent least often first."""
        names = sorted(self.transmissions_left, key=self.transmissions_left.get, reverse=True)
        names = names[:GOSSIP_MEMBERS_PER_MESSAGE]
        for name in names:
            self.transmissions_left[name] -= 1
            if self.transmissions_left[name] <= 0:
                del self.transmissions_left[name]
        member = self.members.get(receiver)
        if member is not None and member.state >= State.SUSPECT and receiver not in names:
            # A suspected receiver must be informed to be able to refute it.
            names.append(receiver)
        return [self.members[name] for name in names if name in self.members]

    def handle_ping(self, sender, message, now):
        """Answer a ping with an ack."""
        self.merge_all(message.gossip, now)
        self.send(sender, Ack(message.number, self.select_gossip(sender)))

    def handle_ack(self, sender, message, now):
        """Handle an ack; forward it if another instance requested the ping."""
        self.merge_all(message.gossip, now)
        ping = self.pending_pings.pop(message.number, None)
        if ping is None:
            return
        self.unresponsive_since.pop(ping.target, None)
        if ping.origin:
            self.send(ping.origin, Ack(ping.origin_number, []))

    def handle_ping_request(self, sender, message, now):
        """Ping a member on behalf of the sender."""
        if message.target in self.members:
            self.ping(message.target, now, sender, message.number)

    def merge_all(self, gossip, now):
        """Merge updates of members; call `on_change` once if the view changed."""
        changed = [self.merge(member, now) for member in gossip]
        if any(changed):
            self.on_change(now)

    def merge(self, update, now):
        """Merge one update; return whether the view changed."""
        if update.name == self.local_member.name:
            return self.merge_self(update, now)
        current = self.members.get(update.name)
        if current is not None and not self.is_newer(update, current):
            return False
        self.members[update.name] = attrs.evolve(update)
        self.unresponsive_since.pop(update.name, None)
        self.state_since[update.name] = now
        self.disseminate(update.name)
        return True

    def merge_self(self, update, now):
        """Refute an update that calls this instance suspect or dead."""
        if update.incarnation > self.local_member.incarnation:
            return False
        is_suspected = (
            update.incarnation == self.local_member.incarnation
            and update.state >= State.SUSPECT
        )
        if is_suspected and update.refutation >= self.local_member.refutation:
            self.local_member.refutation = update.refutation
            self.refute(now)
        return False

    @staticmethod
    def is_newer(update, current):
        """Return whether an update supersedes the current state of a member."""
        order = (update.incarnation, update.refutation, update.state)
        return order > (current.incarnation, current.refutation, current.state)
