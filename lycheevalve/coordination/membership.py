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
GOSSIP_PER_MESSAGE = 8
GOSSIP_FACTOR = 3
# A longer gap between two ticks means that the process was paused.
FROZEN_SECONDS = 1.0


class State(enum.IntEnum):
    """The state of a member; at equal refutation numbers the higher state wins."""

    ALIVE = 0
    # Started, but not ready to own flows yet.
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

    `send(name, message)` sends a message to a member; `changed(now)` is called
    after each change of the view.
    """

    me: Member
    send: object
    changed: object
    random: object
    members: dict[str, Member] = attrs.field(factory=dict)
    state_since: dict[str, float] = attrs.field(factory=dict)
    # When joining and leaving members first missed a ping.
    doubts: dict[str, float] = attrs.field(factory=dict)
    outstanding: dict[int, PendingPing] = attrs.field(factory=dict)
    gossip_left: dict[str, int] = attrs.field(factory=dict)
    round: list[str] = attrs.field(factory=list)
    number: int = 0
    last_tick: float = 0.0
    frozen: int = 0

    def __attrs_post_init__(self):
        self.members[self.me.name] = self.me
        # Members with a previous incarnation in their view must receive this one.
        self.spread(self.me.name)

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
        if gap > FROZEN_SECONDS:
            self.thaw(now)
        self.expire(now)
        self.suspect_to_dead(now)
        target = self.next_target()
        if target is not None:
            self.ping(target, now)

    def thaw(self, now):
        """Discard pending pings after a pause of the process, and refute a suspicion."""
        self.frozen += 1
        self.outstanding.clear()
        self.refute(now)

    def refute(self, now):
        """Announce that this instance is alive, under a higher refutation number."""
        self.me.refutation += 1
        self.spread(self.me.name)

    def next_target(self):
        """Return the next member to ping; each shuffled round has at most one dead member."""
        if not self.round:
            self.round = [
                member.name
                for member in self.members.values()
                if member.name != self.me.name and member.state < State.DEAD
            ]
            # Pinging one dead member a round detects the end of a network partition.
            dead = [member.name for member in self.in_states(State.DEAD)]
            if dead:
                self.round.append(self.random.choice(dead))
            self.random.shuffle(self.round)
        return self.round.pop() if self.round else None

    def ping(self, target, now, origin="", origin_number=0):
        """Send a ping and record it as pending until its ack."""
        self.number += 1
        self.outstanding[self.number] = PendingPing(target, now, False, origin, origin_number)
        self.send(target, Ping(self.number, self.pick_gossip(target), origin))

    def expire(self, now):
        """Follow a late ping with indirect pings, and suspect the target if they fail too."""
        for number, ping in list(self.outstanding.items()):
            age = now - ping.sent_at
            if age < ACK_TIMEOUT_SECONDS:
                continue
            if ping.origin:
                if age > PERIOD_SECONDS * SUSPICION_PERIODS:
                    del self.outstanding[number]
            elif not ping.indirect:
                ping.indirect = True
                self.ask_others(number, ping.target)
            elif age > ACK_TIMEOUT_SECONDS + PERIOD_SECONDS:
                del self.outstanding[number]
                self.suspect(ping.target, now)

    def ask_others(self, number, target):
        """Ask INDIRECT_PINGS random members to ping `target`."""
        relays = [
            member.name
            for member in self.in_states(State.ALIVE, State.JOINING, State.LEAVING)
            if member.name not in (self.me.name, target)
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
            self.doubts.setdefault(name, now)

    def suspect_to_dead(self, now):
        """Declare members dead that have been suspect or unresponsive for long enough."""
        limit = PERIOD_SECONDS * SUSPICION_PERIODS
        since = {
            m.name: self.state_since.get(m.name, now) for m in self.in_states(State.SUSPECT)
        }
        for name, start in [*since.items(), *self.doubts.items()]:
            if now - start >= limit:
                self.doubts.pop(name, None)
                self.set_state(self.members[name], State.DEAD, now)

    def set_state(self, member, state, now):
        """Change a member's state and disseminate it."""
        member.state = int(state)
        self.state_since[member.name] = now
        self.spread(member.name)
        self.changed(now)

    def activate(self, now):
        """Finish joining: this instance may own flows from now on."""
        self.me.refutation += 1
        self.set_state(self.me, State.ALIVE, now)

    def leave(self, now):
        """Announce a graceful stop: the instance owns no flows but stays reachable."""
        self.me.refutation += 1
        self.set_state(self.me, State.LEAVING, now)

    def spread(self, name):
        """Attach the state of `name` to the next messages."""
        count = max(2, len(self.members))
        self.gossip_left[name] = GOSSIP_FACTOR * math.ceil(math.log2(count) + 1)

    def pick_gossip(self, receiver):
        """Return the members to attach to one message, those sent least often first."""
        names = sorted(self.gossip_left, key=self.gossip_left.get, reverse=True)
        names = names[:GOSSIP_PER_MESSAGE]
        for name in names:
            self.gossip_left[name] -= 1
            if self.gossip_left[name] <= 0:
                del self.gossip_left[name]
        doubted = self.members.get(receiver)
        if doubted is not None and doubted.state >= State.SUSPECT and receiver not in names:
            # A suspected receiver must be informed to be able to refute it.
            names.append(receiver)
        return [self.members[name] for name in names if name in self.members]

    def handle_ping(self, sender, message, now):
        """Answer a ping with an ack."""
        self.merge_all(message.gossip, now)
        self.send(sender, Ack(message.number, self.pick_gossip(sender)))

    def handle_ack(self, sender, message, now):
        """Handle an ack; forward it if another instance requested the ping."""
        self.merge_all(message.gossip, now)
        ping = self.outstanding.pop(message.number, None)
        if ping is None:
            return
        self.doubts.pop(ping.target, None)
        if ping.origin:
            self.send(ping.origin, Ack(ping.origin_number, []))

    def handle_ping_request(self, sender, message, now):
        """Ping a member on behalf of the sender."""
        if message.target in self.members:
            self.ping(message.target, now, sender, message.number)

    def merge_all(self, gossip, now):
        """Merge updates of members; call `changed` once if the view changed."""
        changed = [self.merge(member, now) for member in gossip]
        if any(changed):
            self.changed(now)

    def merge(self, news, now):
        """Merge one update; return whether the view changed."""
        if news.name == self.me.name:
            return self.merge_self(news, now)
        known = self.members.get(news.name)
        if known is not None and not self.is_newer(news, known):
            return False
        self.members[news.name] = attrs.evolve(news)
        self.doubts.pop(news.name, None)
        self.state_since[news.name] = now
        self.spread(news.name)
        return True

    def merge_self(self, news, now):
        """Refute an update that calls this instance suspect or dead."""
        if news.incarnation > self.me.incarnation:
            return False
        doubted = news.incarnation == self.me.incarnation and news.state >= State.SUSPECT
        if doubted and news.refutation >= self.me.refutation:
            self.me.refutation = news.refutation
            self.refute(now)
        return False

    @staticmethod
    def is_newer(news, known):
        """Return whether an update supersedes the current state of a member."""
        order = (news.incarnation, news.refutation, news.state)
        return order > (known.incarnation, known.refutation, known.state)
