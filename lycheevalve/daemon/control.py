"""The process of a control replica: tasks for the log, links, operators and upstreams."""

from pathlib import Path

import trio

from lycheevalve.config.roles import ReplicaSettings, link_addresses
from lycheevalve.control import ControlReplica
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.coordination.configuration import accept_all as accept_checked
from lycheevalve.coordination.replacement import count_target_members
from lycheevalve.daemon.boundaries import (
    contain,
    keep_running,
    keep_serving,
    report_failure,
    run_unit,
)
from lycheevalve.daemon.events import (
    Announcement,
    Batch,
    Committed,
    Deregistration,
    Learners,
    Query,
    Received,
    ReplicaView,
    Resumed,
    Stop,
)
from lycheevalve.daemon.exposition import Metric, count_upstreams, counter, gauge
from lycheevalve.daemon.links import Links
from lycheevalve.daemon.listeners import open_receiver
from lycheevalve.daemon.polling import ask_once
from lycheevalve.daemon.replica_task import PROPOSALS, REPLICA_MESSAGES, ReplicaTask
from lycheevalve.daemon.role_process import INBOX_EVENTS, RoleProcess
from lycheevalve.daemon.udp_socket import UdpSocket
from lycheevalve.daemon.upstream_checks import UpstreamChecked, check_upstream
from lycheevalve.daemon.upstream_store import UpstreamStore
from lycheevalve.exceptions import LycheevalveError, UnavailableError
from lycheevalve.logs.queue import record
from lycheevalve.schema.generated.messages import (
    ChangeResult,
    Fetch,
    Poll,
    ReadRequest,
    ReadResult,
)
from lycheevalve.schema.lookups import (
    decode_check,
    decode_lookup,
    derive_key,
    encode_answer,
    is_check,
)
from lycheevalve.utils.addresses import format_address

# Operators try another replica when they get no answer within a second.
ANSWER_TIMEOUT_SECONDS = 0.85
LEADER_RETRY_INTERVAL_SECONDS = 0.1
# A stopping replica runs this long: a leader hands over its leadership, and the last
# answers are sent.
SHUTDOWN_SECONDS = 0.4


class ControlProcess(RoleProcess):
    """
    One control replica.

    `make_server(process)` returns the Server for operators and upstreams, and
    `read_routes(document)` the routes of a configuration by front door, see platform/.
    `early` is the EarlyResponder that answers lookups until this process does, or None.
    """

    def __init__(self, settings, make_server, read_routes, early=None):
        super().__init__(settings)
        self.logic = ControlReplica(
            address=self.address,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            random=self.random,
            now=trio.current_time(),
            observe=self.observe,
            heartbeat_seconds=settings.heartbeat_ms / 1000,
            address_reuse_seconds=settings.address_reuse_seconds,
            read_routes=read_routes,
        )
        self.lookup_key = derive_key(settings.key.encode())
        self.lookup_socket = None
        self.nursery = None
        self.make_server = make_server
        self.early = early
        self.view = ReplicaView()
        self.calls = {}
        self.links = None
        self.replica_inbox = None
        self.learners = frozenset()
        self.stopping_since = 0.0
        self.event_handlers |= {
            Query: self.handle_query,
            Committed: self.handle_committed,
            ReplicaView: self.handle_view,
            Announcement: self.handle_announcement,
            Deregistration: self.handle_deregistration,
            Batch: self.handle_datagrams,
            UpstreamChecked: self.handle_check_result,
        }

    async def start(self, nursery):
        """Start the tasks of the log, the links and the server."""
        self.nursery = nursery
        # The name of a replica is its address, so `str` returns the address of a name.
        self.links = Links(self.make_codec, str, nursery)
        self.replica_inbox, receiver = trio.open_memory_channel(INBOX_EVENTS)
        replica_settings = ReplicaSettings(self.address, link_addresses(self.settings))
        task = ReplicaTask(
            replica_settings,
            Path(self.settings.data_folder),
            self.links.send,
            self.inbox,
            check=accept_checked,
            founding=self.settings.founding,
            target_member_count=count_target_members(self.settings.tolerated_losses),
            catch_up_seconds=self.settings.catch_up_seconds,
        )
        nursery.start_soon(keep_running, "replica", task.run, receiver)
        store = UpstreamStore(Path(self.settings.data_folder), self.logic, self.lookup_key)
        with contain("stored upstreams"):
            await store.load()
        await self.take_over_lookups()
        nursery.start_soon(keep_running, "lookups", self.lookup_socket.run, self.inbox)
        nursery.start_soon(keep_running, "upstream store", store.run)
        await self.serve_links(nursery, self.handle_link_message)
        await nursery.start(keep_serving, "operators", self.make_server(self).run)

    async def take_over_lookups(self):
        """Stop the early thread, and answer lookups here from now on."""
        early, self.early = self.early, None
        if early is None:
            self.lookup_socket = UdpSocket(
                await open_receiver("listen for lookups", self.address)
            )
            return
        early.stop()
        record(
            "early_lookups",
            duration_ms=round(early.thread.age() * 1000),
            answered=early.answered,
            malformed=early.malformed,
            upstreams=len(early.targets),
            unsent=early.unsent,
            error=early.table_error or early.thread.error,
        )
        self.lookup_socket = UdpSocket(early.socket)

    def count_call(self, name, status):
        """Count an answer to an operator or upstream by call and status."""
        key = (name, str(status))
        self.calls[key] = self.calls.get(key, 0) + 1

    def list_metrics(self):
        """Return the metrics of a control replica."""
        now, logic, view = trio.current_time(), self.logic, self.view
        role = Metric("gauge", "replica_role", "1 for the current role.", ("role",))
        role.samples.append(((view.role,), 1))
        subscribers = len(logic.feed.live_subscribers(now))
        return [
            role,
            gauge("replica_current", "1 when the replica is up to date.", int(view.current)),
            gauge("leader_known", "1 when a leader is known.", int(bool(view.leader))),
            gauge(
                "revision_held",
                "The newest configuration revision held.",
                logic.dissemination.held.revision,
            ),
            gauge("subscribers", "Processes that poll here.", subscribers),
            counter(
                "instance_restarts",
                "Restarts of processes that poll here.",
                ("role",),
                {(role,): count for role, count in logic.feed.restarts.items()},
            ),
            counter("calls", "Answers to API calls.", ("call", "status"), self.calls),
            count_upstreams(logic.upstreams, now),
        ]

    # Links of other processes.

    async def handle_link_message(self, sender, message):
        """Handle a message of a link; return the answer, or None for messages of the log."""
        if isinstance(message, REPLICA_MESSAGES):
            await self.replica_inbox.send(Received(sender, message))
            return None
        if isinstance(message, (*PROPOSALS, ReadRequest)):
            return await self.ask(self.replica_inbox, Query, message)
        return await self.ask(self.inbox, Query, message)

    async def ask(self, inbox, event, *details):
        """Send an event to a task and return the answer; raise UnavailableError."""
        reply, answers = trio.open_memory_channel(1)
        with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            await inbox.send(event(*details, reply))
            return await answers.receive()
        raise UnavailableError("this replica did not answer in time", "ask", self.address)

    # Operators and upstreams.

    async def propose(self, change):
        """Return the leader's ChangeResult; raise UnavailableError at the timeout."""
        return await self.ask_leader(
            change, lambda result: result.outcome not in NO_LEADER_OUTCOMES
        )

    async def read(self):
        """Return the newest configuration; raise UnavailableError without a confirmed one."""
        result = await self.ask_leader(ReadRequest(), lambda result: result.current)
        return result.configuration

    async def ask_leader(self, message, is_final):
        """
        Send a message to the leader until the answer is final; return that answer.

        Raise UnavailableError at the timeout.
        """
        with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            while True:
                answer = await self.ask_leader_once(message)
                if answer is not None and is_final(answer):
                    return answer
                await trio.sleep(LEADER_RETRY_INTERVAL_SECONDS)
        raise UnavailableError("no leader with a quorum answered", "ask leader", self.address)

    async def ask_leader_once(self, message):
        """
        Return this replica's answer or, when it refers to a leader, the leader's.

        Return None when the leader can't be reached.
        """
        answer = await self.ask(self.replica_inbox, Query, message)
        leader = get_leader_hint(answer)
        if not leader or leader == self.address:
            return answer
        try:
            return await ask_once(leader, self.make_codec(), message, ANSWER_TIMEOUT_SECONDS)
        except LycheevalveError as error:
            # Also an answer that can't be read, as that of a leader with another key.
            record("leader_unreached", peer=leader, reason=str(error))
            return None

    async def announce(self, registration):
        """Handle an upstream's announcement; raise UnavailableError if not acknowledged."""
        await self.ask_acknowledgement(Announcement, registration)

    async def deregister(self, name, incarnation):
        """Handle an upstream's deregistration; raise UnavailableError if not acknowledged."""
        await self.ask_acknowledgement(Deregistration, name, incarnation)

    async def ask_acknowledgement(self, event, *details):
        """Wait for an acknowledgement; raise UnavailableError if there is none."""
        if not await self.ask(self.inbox, event, *details):
            reason = (
                "this replica is cut off from others, or does not know this upstream's state"
            )
            raise UnavailableError(reason, "acknowledge", self.address)

    # Events.

    async def handle_query(self, event):
        """Handle a subscriber's poll or its request for a configuration."""
        message = event.message
        if isinstance(message, Poll):
            self.logic.handle_poll(message, event.reply, trio.current_time())
        elif isinstance(message, Fetch):
            fetched = self.logic.dissemination.build_fetched(message.revision)
            event.reply.send_nowait(fetched)

    async def handle_datagrams(self, batch):
        """Handle lookups and requests for checks of instances; count invalid ones."""
        now = trio.current_time()
        for data, source in batch.datagrams:
            kind = "check" if is_check(data) else "lookup"
            try:
                if kind == "check":
                    self.logic.request_check(decode_check(self.lookup_key, data), now)
                else:
                    self.answer_lookup(data, source, now)
            except ValueError as error:
                self.count_call(kind, "malformed")
                record("lookup_refused", peer=format_address(source), reason=str(error))
                continue
            except Exception as error:
                report_failure(kind, error, format_address(source))
                continue
            self.count_call(kind, "answered")

    def answer_lookup(self, data, source, now):
        """Answer the lookup in a datagram; raise ValueError if it is not a valid one."""
        answer = self.logic.answer_lookup(decode_lookup(self.lookup_key, data), now)
        self.lookup_socket.send(encode_answer(self.lookup_key, answer), source)

    async def handle_check_result(self, event):
        """Handle the result of the check of an upstream."""
        now = trio.current_time()
        self.logic.handle_check_result(event.cookie, event.is_reachable, now)

    async def handle_announcement(self, event):
        """Handle an upstream's announcement."""
        self.logic.handle_announcement(event.registration, event.reply, trio.current_time())

    async def handle_deregistration(self, event):
        """Handle an upstream's deregistration."""
        now = trio.current_time()
        self.logic.deregister(event.name, event.incarnation, event.reply, now)

    async def handle_committed(self, event):
        """Apply what the replica has committed."""
        now = trio.current_time()
        self.logic.handle_commit(event.configuration, event.changes, now)

    async def handle_view(self, view):
        """Store the replica's role, leader and members; log a changed role or leader."""
        if (view.role, view.leader) != (self.view.role, self.view.leader):
            members = list(view.members)
            record("replica", role=view.role, leader=view.leader, members=members)
        self.view = view
        self.logic.current = view.current
        self.logic.members = view.members

    def flush(self):
        """Send the queued messages and answers, and pass changed learners to the replica."""
        super().flush()
        answers, self.logic.answers = self.logic.answers, []
        for reply, answer in answers:
            reply.send_nowait(answer)
        queued, self.logic.checks.queue = self.logic.checks.queue, []
        for cookie, address in queued:
            self.nursery.start_soon(
                run_unit, "check", check_upstream, cookie, address, self.inbox
            )
        learners = frozenset(self.logic.learners(trio.current_time()))
        if learners != self.learners:
            silent = self.learners - learners
            silent_since = {name: self.logic.find_last_contact(name) for name in silent}
            try:
                self.replica_inbox.send_nowait(Learners(learners, silent_since))
                self.learners = learners
            except trio.WouldBlock:
                record("queue_full", peer="replica")

    def handle_resume(self):
        """Mark the replica's state as outdated after a pause; no packets are dropped."""
        self.logic.current = False
        try:
            self.replica_inbox.send_nowait(Resumed())
        except trio.WouldBlock:
            record("queue_full", peer="replica")
        return 0

    async def handle_stop(self, event):
        """Start the graceful stop: a leader hands its leadership to another replica."""
        if not self.stopping_since:
            self.stopping_since = trio.current_time()
            record("leaving")
            self.logic.leave(self.stopping_since)
            try:
                self.replica_inbox.send_nowait(Stop())
            except trio.WouldBlock:
                # The others elect a leader at their timeout.
                record("queue_full", peer="replica")

    def is_stopped(self, now):
        """Return whether the graceful stop is complete."""
        return bool(self.stopping_since) and now - self.stopping_since >= SHUTDOWN_SECONDS


NO_LEADER_OUTCOMES = (Outcome.REDIRECT, Outcome.UNAVAILABLE)


def get_leader_hint(answer):
    """Return the leader that an answer refers to, or an empty string."""
    if isinstance(answer, ReadResult):
        return "" if answer.current else answer.leader
    if isinstance(answer, ChangeResult) and answer.outcome == Outcome.REDIRECT:
        return answer.winner
    return ""
