"""The task that runs a replica of the log with its files."""

import random

import trio

from lycheevalve.config.site import check_change
from lycheevalve.coordination import consensus
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.replacement import replace_lost_member
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.storage import Storage
from lycheevalve.daemon.events import (
    Committed,
    Learners,
    Query,
    Received,
    ReplicaView,
    Resumed,
    Stop,
)
from lycheevalve.exceptions import StorageError
from lycheevalve.logs.queue import record
from lycheevalve.schema.generated.messages import (
    Change,
    ChangeMembers,
    ChangeResult,
    ReadRequest,
    ReadResult,
)

MAX_TICK_INTERVAL_SECONDS = 0.1
# A replica whose disk failed loads its files again after this time.
DISK_RETRY_DELAY_SECONDS = 0.5


class ReplicaTask:
    """
    Owns one replica, its storage and the replies to pending requests.

    `send(name, message)` sends to other replicas; events for the task that owns the
    process go to the channel `owner_inbox`.
    """

    def __init__(
        self,
        settings,
        folder,
        send,
        owner_inbox,
        check=check_change,
        founding=None,
        target_member_count=0,
    ):
        self.settings = settings
        self.folder = folder
        self.send = send
        self.owner_inbox = owner_inbox
        self.check = check
        self.founding = founding
        # Lost members are replaced to keep this many; 0 leaves replacement to operators.
        self.target_member_count = target_member_count
        self.storage = None
        self.replica = None
        self.pending_replies = {}
        self.learners = set()
        self.view = None

    async def run(self, inbox):
        """Run the replica; after a disk failure start it again from its files."""
        failed = False
        while True:
            try:
                await self.run_until_disk_failure(inbox, failed)
            except StorageError as error:
                failed = True
                await self.refuse_until_retry(error, inbox)

    async def run_until_disk_failure(self, inbox, failed):
        """Load the replica from its files and run it until the disk fails."""
        self.storage = Storage(self.folder)
        try:
            stored = await trio.to_thread.run_sync(self.storage.load, failed)
            self.start(stored)
            await self.apply_effects()
            await self.publish(changes=[], configuration_changed=True)
            while True:
                with trio.move_on_after(self.wait_seconds()):
                    event = await inbox.receive()
                    await self.handle(event)
                self.tick(trio.current_time())
                await self.apply_effects()
        finally:
            self.storage.close()

    def start(self, stored):
        """Create the replica from the stored state."""
        if stored.damage:
            record("files_damaged", reason=stored.damage)
        self.replica = consensus.start_replica(
            self.settings.name,
            self.settings.replicas,
            random.Random(),
            stored,
            trio.current_time(),
            self.check,
            self.founding,
        )
        self.replica.learners = self.learners
        record(
            "replica",
            role=self.replica.role.value,
            leader="",
            members=list(self.replica.members),
            index=self.replica.log.last_index(),
        )

    def wait_seconds(self):
        """
        Return the seconds until the replica's next timer, at most MAX_TICK_INTERVAL_SECONDS.

        A fixed interval would wake all replicas at the same time.
        """
        due = self.replica.next_due() - trio.current_time()
        return min(MAX_TICK_INTERVAL_SECONDS, max(0.0, due))

    def tick(self, now):
        """Run the replica's timers and replace lost members."""
        consensus.tick(self.replica, now)
        members = (
            replace_lost_member(self.replica, self.target_member_count, now)
            if self.target_member_count
            else None
        )
        if members is not None:
            record("replica_replaced", members=list(members))

    async def handle(self, event):
        """Handle a message of another replica or an event of the owner."""
        now = trio.current_time()
        if isinstance(event, Resumed):
            consensus.handle_resume(self.replica, now)
            return
        if isinstance(event, Received):
            consensus.handle(self.replica, event.sender, event.message, now)
        elif isinstance(event, Query):
            await self.handle_query(event, now)
        elif isinstance(event, Learners):
            self.learners = self.replica.learners = set(event.names)
        elif isinstance(event, Stop):
            consensus.transfer_leadership(self.replica, now)

    async def handle_query(self, query, now):
        """Handle a read, a change or a change of members."""
        message = query.message
        if isinstance(message, ReadRequest):
            await self.read(query, now)
            return
        if not consensus.can_propose(self.replica, now):
            await query.reply.send(self.build_redirect(message.change_id))
            return
        if isinstance(message, ChangeMembers):
            await query.reply.send(self.change_members(message, now))
            return
        result = consensus.propose(self.replica, message, now)
        if result is not None:
            await query.reply.send(result)
        else:
            self.pending_replies.setdefault(message.change_id, []).append(query.reply)

    async def read(self, query, now):
        """Start a linearizable read; without leadership refer to the leader."""
        if self.replica.role is Role.LEADER:
            consensus.request_read(self.replica, query.reply, now)
        else:
            query.reply.send_nowait(ReadResult(leader=self.replica.leader))

    def build_redirect(self, change_id):
        """Return the answer to a change that this replica can't propose."""
        leader = self.replica.leader
        is_other = leader not in ("", self.replica.name)
        outcome = Outcome.REDIRECT if is_other else Outcome.UNAVAILABLE
        reason = "" if is_other else "no quorum of replicas is reachable"
        return ChangeResult(change_id, outcome, 0, leader, reason)

    def change_members(self, message, now):
        """Propose a change of the members; return the answer."""
        members = set(self.replica.members)
        members |= {message.add} if message.add else set()
        members -= {message.remove}
        reason = consensus.propose_members(self.replica, sorted(members), now)
        outcome = Outcome.INVALID if reason else Outcome.ACCEPTED
        return ChangeResult(message.change_id, outcome, 0, "", reason)

    async def apply_effects(self):
        """Apply the replica's effects: write and sync, then send, then answer and publish."""
        effects = self.replica.take_effects()
        if effects.needs_sync():
            await trio.to_thread.run_sync(self.storage.write, effects)
        for name, message in effects.sends:
            self.send(name, message)
        for result in effects.results:
            for reply in self.pending_replies.pop(result.change_id, ()):
                reply.send_nowait(result)
        for reply in effects.confirmed_reads:
            reply.send_nowait(ReadResult(True, self.replica.state_machine.configuration))
        await self.publish(effects.accepted, effects.configuration_changed)

    async def publish(self, changes, configuration_changed):
        """Send the owner the ReplicaView and the configuration, each if it has changed."""
        replica = self.replica
        configuration = replica.state_machine.configuration
        view = ReplicaView(
            replica.role.value,
            replica.leader,
            tuple(replica.members),
            configuration.revision,
            consensus.is_current(replica, trio.current_time()),
        )
        if view != self.view:
            self.view = view
            await self.owner_inbox.send(view)
        if configuration_changed:
            await self.owner_inbox.send(Committed(configuration, changes))

    async def refuse_until_retry(self, error, inbox):
        """Refuse queries until the retry: what could not be written must not be confirmed."""
        retry_ms = round(DISK_RETRY_DELAY_SECONDS * 1000)
        record("replica_stopped", reason=str(error), retry_ms=retry_ms)
        self.pending_replies.clear()
        self.view = ReplicaView(role=Role.STOPPED.value)
        await self.owner_inbox.send(self.view)
        with trio.move_on_after(DISK_RETRY_DELAY_SECONDS):
            async for event in inbox:
                if isinstance(event, Query):
                    event.reply.send_nowait(self.build_refusal(event.message, error))
                elif isinstance(event, Learners):
                    self.learners = set(event.names)

    @staticmethod
    def build_refusal(message, error):
        """Return the answer of a replica whose disk failed."""
        if isinstance(message, ReadRequest):
            return ReadResult()
        reason = f"the disk of this replica failed: {error}"
        return ChangeResult(message.change_id, Outcome.UNAVAILABLE, 0, "", reason)


PROPOSALS = (Change, ChangeMembers)
REPLICA_MESSAGES = tuple(consensus.HANDLERS)
