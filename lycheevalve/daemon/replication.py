"""The task that owns the replica of a process and its files."""

import random

import trio
from loguru import logger

from lycheevalve.config.site import check_change
from lycheevalve.coordination import consensus
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.storage import Storage
from lycheevalve.daemon.events import Committed, Query, Received, ReplicaView
from lycheevalve.exceptions import StorageError
from lycheevalve.schema.generated.messages import Change, ChangeMembers, ChangeResult

TICK_SECONDS = 0.1
logger = logger.bind(part="replica")


class ReplicaTask:
    """
    Owns one replica, its storage and the operators that wait for answers.

    `send(name, message)` sends to other replicas; `tell` is the channel to the
    instance.
    """

    def __init__(self, settings, folder, send, tell):
        self.settings = settings
        self.storage = Storage(folder)
        self.send = send
        self.tell = tell
        self.replica = None
        self.waiting = {}
        self.view = None

    async def run(self, inbox):
        """Run the replica until its disk fails."""
        try:
            stored = await trio.to_thread.run_sync(self.storage.load)
            self.start(stored)
            await self.carry_out()
            await self.publish(changes=[], is_new=True)
            while True:
                with trio.move_on_after(TICK_SECONDS):
                    event = await inbox.receive()
                    await self.handle(event)
                consensus.tick(self.replica, trio.current_time())
                await self.carry_out()
        except StorageError as error:
            await self.stop(error, inbox)

    def start(self, stored):
        """Make the replica from what the disk held."""
        if stored.damage:
            logger.error("damaged files set aside", reason=stored.damage)
        self.replica = consensus.start_replica(
            self.settings.name,
            self.settings.replicas,
            random.Random(),
            stored,
            trio.current_time(),
            check_change,
        )
        logger.info("replica started", role=self.replica.role.value)

    async def handle(self, event):
        """Take a message of another replica or a request of an operator."""
        now = trio.current_time()
        if isinstance(event, Received):
            consensus.handle(self.replica, event.sender, event.message, now)
        elif isinstance(event, Query):
            await self.handle_query(event, now)

    async def handle_query(self, query, now):
        """Propose what an operator asks for."""
        message = query.message
        if not consensus.can_propose(self.replica, now):
            await query.reply.send(self.redirect(message.change_id))
            return
        if isinstance(message, ChangeMembers):
            await query.reply.send(self.change_members(message, now))
            return
        result = consensus.propose(self.replica, message, now)
        if result is not None:
            await query.reply.send(result)
        else:
            self.waiting.setdefault(message.change_id, []).append(query.reply)

    def redirect(self, change_id):
        """Return the answer of a replica that is not the leader."""
        leader = self.replica.leader
        is_other = leader not in ("", self.replica.name)
        outcome = Outcome.REDIRECT if is_other else Outcome.UNAVAILABLE
        reason = "" if is_other else "no quorum of the replicas can be reached"
        return ChangeResult(change_id, outcome, 0, leader, reason)

    def change_members(self, message, now):
        """Propose other members; return the answer."""
        members = set(self.replica.members)
        members |= {message.add} if message.add else set()
        members -= {message.remove}
        reason = consensus.propose_members(self.replica, sorted(members), now)
        outcome = Outcome.INVALID if reason else Outcome.ACCEPTED
        return ChangeResult(message.change_id, outcome, 0, "", reason)

    async def carry_out(self):
        """Write and sync, then send, then answer and tell the instance."""
        effects = self.replica.take_effects()
        if effects.needs_sync():
            await trio.to_thread.run_sync(self.storage.write, effects)
        for name, message in effects.sends:
            self.send(name, message)
        for result in effects.results:
            for reply in self.waiting.pop(result.change_id, ()):
                reply.send_nowait(result)
        await self.publish(effects.accepted, effects.configuration_changed)

    async def publish(self, changes, is_new):
        """Tell the instance what changed."""
        replica = self.replica
        configuration = replica.machine.configuration
        view = ReplicaView(
            replica.role.value, replica.leader, tuple(replica.members), configuration.revision
        )
        if view != self.view:
            self.view = view
            await self.tell.send(view)
        if is_new:
            await self.tell.send(Committed(configuration, changes))

    async def stop(self, error, inbox):
        """Stop for good: a replica that can't write must not promise anything."""
        logger.error("replica stopped", reason=str(error))
        await self.tell.send(ReplicaView(role=Role.STOPPED.value))
        async for event in inbox:
            if isinstance(event, Query):
                reason = f"the disk of this replica failed: {error}"
                change_id = event.message.change_id
                result = ChangeResult(change_id, Outcome.UNAVAILABLE, 0, "", reason)
                await event.reply.send(result)


PROPOSALS = (Change, ChangeMembers)
