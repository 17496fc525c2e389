"""The task that runs a replica of the log with its files."""

import contextlib
import random

import trio

from lycheevalve.config.site import check_change
from lycheevalve.coordination import consensus
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.replacement import replace_lost_member
from lycheevalve.coordination.replica import Role
from lycheevalve.coordination.storage import Storage
from lycheevalve.daemon.boundaries import contain, report_failure
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
from lycheevalve.schema.encodable import find_error
from lycheevalve.schema.generated.messages import (
    Append,
    Change,
    ChangeMembers,
    ChangeResult,
    Install,
    ReadRequest,
    ReadResult,
)

MAX_TICK_INTERVAL_SECONDS = 0.1
# A replica that failed loads its files again after this time.
RETRY_DELAY_SECONDS = 0.5
# While the disk takes longer than this, queries are refused as after a failure.
STALL_SECONDS = 0.4
# Messages that only the leader of a term sends.
LEADER_MESSAGES = (Append, Install)


class ReplicaTask:
    """
    Owns one replica, its storage and the replies to pending requests.

    After an error of its disk, or an unexpected one of a message, the replica is
    created again from its files: what is not in the files was not acknowledged.
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
        catch_up_seconds=4.0,
    ):
        self.settings = settings
        self.folder = folder
        self.send = send
        self.owner_inbox = owner_inbox
        self.check = check
        self.founding = founding
        # Lost members are replaced to keep this many; 0 leaves replacement to operators.
        self.target_member_count = target_member_count
        self.catch_up_seconds = catch_up_seconds
        self.storage = None
        self.replica = None
        # Reply -> message of each query without an answer.
        self.pending = {}
        self.learners = frozenset()
        # The leader to which queries are referred while the replica is stopped.
        self.leader = ""
        # Whether the process resumed after a pause while the replica was stopped.
        self.is_resumed = False
        # Whether the process began to stop while the replica was stopped.
        self.is_stopping = False
        # What was written before a failure may not have reached the disk.
        self.has_failed = False
        self.inbox = None
        self.view = None

    async def run(self, inbox):
        """Run the replica until its inbox is closed; after an error start it again."""
        self.inbox = inbox
        with contextlib.suppress(trio.EndOfChannel):
            while True:
                reason = await self.run_until_failure()
                with contain("abdicate"):
                    self.abdicate()
                await self.refuse_until_retry(reason)

    async def run_until_failure(self):
        """Load the replica from its files and run it until an error; return its reason."""
        self.replica = None
        self.storage = Storage(self.folder)
        try:
            await self.run_from_files(self.has_failed)
        except StorageError as error:
            return str(error)
        except trio.EndOfChannel:
            raise
        except Exception as error:
            report_failure("replica", error)
            return repr(error)
        finally:
            self.has_failed = True
            with contain("close log"):
                self.storage.close()

    async def run_from_files(self, failed):
        """Load the replica from its files and run it."""
        stored = await self.use_disk(self.storage.load, failed)
        self.start(stored)
        if failed:
            # The messages in the inbox may be as old as the failure.
            consensus.handle_resume(self.replica, trio.current_time())
        await self.apply_effects()
        if self.founding is not None:
            # Files that are missing later were lost.
            self.founding = False
        await self.publish(changes=[], configuration_changed=True)
        while True:
            with trio.move_on_after(self.wait_seconds()):
                event = await self.inbox.receive()
                self.handle(event)
            self.tick(trio.current_time())
            await self.apply_effects()

    async def use_disk(self, function, *args):
        """Call a method of the storage in a thread; refuse queries while it takes long."""
        result = error = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.refuse_while_stalled)
            try:
                # A stop of the process does not wait for the disk: a thread that is cut off
                # leaves the files as a crash does.
                result = await trio.to_thread.run_sync(function, *args, abandon_on_cancel=True)
            except Exception as caught:
                # Raised below: the nursery would wrap it in a group.
                error = caught
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error
        if self.replica is not None:
            self.handle_deferred(trio.current_time())
        return result

    def handle_deferred(self, now):
        """Handle what the owner reported while the replica was stopped."""
        if self.is_resumed:
            self.is_resumed = False
            consensus.handle_resume(self.replica, now)
        if self.is_stopping:
            self.is_stopping = False
            consensus.transfer_leadership(self.replica, now)

    async def refuse_while_stalled(self):
        """Refuse queries once the disk has taken too long, until cancelled."""
        await trio.sleep(STALL_SECONDS)
        # An error here must not cut off the thread that uses the disk.
        with contain("replica"):
            await self.refuse_queries("the disk of this replica does not answer")

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
        self.replica.set_learners(self.learners, {})
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
            replace_lost_member(
                self.replica, self.target_member_count, self.catch_up_seconds, now
            )
            if self.target_member_count
            else None
        )
        if members is not None:
            record("replica_replaced", members=list(members))

    def handle(self, event):
        """Handle a message of another replica or an event of the owner."""
        now = trio.current_time()
        if isinstance(event, Resumed):
            consensus.handle_resume(self.replica, now)
            return
        if isinstance(event, Received):
            consensus.handle(self.replica, event.sender, event.message, now)
        elif isinstance(event, Query):
            self.pending[event.reply] = event.message
            self.handle_query(event, now)
        elif isinstance(event, Learners):
            self.set_learners(event)
        elif isinstance(event, Stop):
            consensus.transfer_leadership(self.replica, now)

    def set_learners(self, event):
        """Set the processes that receive the log without being members."""
        self.learners = event.names
        if self.replica is not None:
            self.replica.set_learners(event.names, event.silent_since)

    def answer(self, reply, result):
        """Answer a query, unless it has been answered or refused."""
        if self.pending.pop(reply, None) is not None:
            with contain("answer"):
                reply.send_nowait(result)

    def handle_query(self, query, now):
        """Handle a read, a change or a change of members."""
        message = query.message
        if isinstance(message, ReadRequest):
            self.read(query, now)
        elif not consensus.can_propose(self.replica, now):
            self.answer(query.reply, self.build_redirect(message.change_id))
        elif isinstance(message, ChangeMembers):
            self.answer(query.reply, self.change_members(message, now))
        else:
            self.propose(query, now)

    def propose(self, query, now):
        """Propose a change; its result is answered once it is committed."""
        change = query.message
        error = find_error(change)
        if error:
            # Each leader that wrote it to its log would fail in turn.
            reason = f"the change can't be stored: {error}"
            refusal = ChangeResult(change.change_id, Outcome.UNAVAILABLE, 0, "", reason)
            self.answer(query.reply, refusal)
            return
        result = consensus.propose(self.replica, change, now)
        if result is not None:
            self.answer(query.reply, result)

    def read(self, query, now):
        """Start a linearizable read; without leadership refer to the leader."""
        if self.replica.role is Role.LEADER:
            consensus.request_read(self.replica, query.reply, now)
        else:
            self.answer(query.reply, ReadResult(leader=self.replica.leader))

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
            await self.use_disk(self.storage.write, effects)
        for name, message in effects.sends:
            self.send(name, message)
        for result in effects.results:
            for reply in self.find_replies(result.change_id):
                self.answer(reply, result)
        for reply in effects.confirmed_reads:
            self.answer(reply, ReadResult(True, self.replica.state_machine.configuration))
        if self.replica.role is not Role.LEADER:
            # Another leader may commit the changes; the callers ask it.
            self.refuse_pending("this replica no longer leads", self.replica.leader)
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

    def find_replies(self, change_id):
        """Return the replies of the queries that wait for the result of a change."""
        return [
            reply
            for reply, message in self.pending.items()
            if getattr(message, "change_id", None) == change_id
        ]

    def refuse_pending(self, reason, leader=""):
        """Refuse all queries without an answer."""
        for reply, message in list(self.pending.items()):
            self.answer(reply, self.build_refusal(message, reason, leader))

    def abdicate(self):
        """As a failed leader, have another member campaign before its election timeout."""
        if self.replica is not None:
            # What is not written must not be sent.
            self.replica.take_effects()
            consensus.abdicate(self.replica, trio.current_time())
            for name, message in self.replica.take_effects().sends:
                self.send(name, message)

    async def refuse_until_retry(self, reason):
        """Refuse queries until the retry: what could not be written must not be confirmed."""
        retry_ms = round(RETRY_DELAY_SECONDS * 1000)
        record("replica_stopped", reason=reason, retry_ms=retry_ms)
        with trio.move_on_after(RETRY_DELAY_SECONDS):
            await self.refuse_queries(reason)

    async def refuse_queries(self, reason):
        """
        Refuse queries and drop the messages of other replicas, until cancelled.

        Queries are referred to the leader that sends messages in the meantime.
        """
        if self.replica is not None:
            is_other = self.replica.leader != self.settings.name
            self.leader = self.replica.leader if is_other else ""
        self.refuse_pending(reason, self.leader)
        self.view = ReplicaView(role=Role.STOPPED.value)
        await self.owner_inbox.send(self.view)
        while True:
            event = await self.inbox.receive()
            if isinstance(event, Query):
                self.pending[event.reply] = event.message
                self.refuse_pending(reason, self.leader)
            elif isinstance(event, Learners):
                self.set_learners(event)
            elif isinstance(event, Resumed):
                self.is_resumed = True
            elif isinstance(event, Stop):
                self.is_stopping = True
            elif isinstance(event, Received) and isinstance(event.message, LEADER_MESSAGES):
                self.leader = event.sender

    @staticmethod
    def build_refusal(message, reason, leader):
        """Return the refusal of a query; it refers to the leader, if there is one."""
        if isinstance(message, ReadRequest):
            return ReadResult(leader=leader)
        if leader:
            return ChangeResult(message.change_id, Outcome.REDIRECT, 0, leader)
        return ChangeResult(message.change_id, Outcome.UNAVAILABLE, 0, "", reason)


PROPOSALS = (Change, ChangeMembers)
REPLICA_MESSAGES = tuple(consensus.HANDLERS)
