"""Base of the entry and control processes: inbox, polling connections, timers."""

import contextlib
import functools
import random
import time

import trio

from lycheevalve import __version__
from lycheevalve.config.roles import link_address, link_addresses
from lycheevalve.daemon.boundaries import contain, keep_running, keep_serving, report_failure
from lycheevalve.daemon.ends import record_start
from lycheevalve.daemon.events import Received, Reload, Stop
from lycheevalve.daemon.exposition import make_server
from lycheevalve.daemon.links import make_codec_factory, serve_links
from lycheevalve.daemon.polling import Closed, Opened, PollingConnections
from lycheevalve.logs.queue import record

INBOX_EVENTS = 64
# A longer gap between two iterations of the event loop means that the process was paused.
PAUSE_THRESHOLD_SECONDS = 1.0


class RoleProcess:
    """
    One process: its inbox, its polling connections and the event loop around `logic`.

    `logic` does no I/O. Subclasses create it (with `timers`, `messages`, `subscriptions`,
    `start_polling`, `handle_message`, `run_timers`) and add handlers to
    `event_handlers`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.address = link_address(settings)
        self.incarnation = time.time_ns() // 1_000_000
        self.random = random.Random()
        self.inbox, self.receiver = trio.open_memory_channel(INBOX_EVENTS)
        self.make_codec = make_codec_factory(
            settings.key.encode(), self.address, self.incarnation
        )
        self.started = trio.Event()
        self.connections = None
        self.logic = None
        self.last_iteration_at = 0.0
        self.event_handlers = {
            Received: self.handle_received,
            Opened: self.handle_opened,
            Closed: self.handle_closed,
            Stop: self.handle_stop,
            Reload: self.handle_reload,
        }

    async def run(self):
        """Run until the graceful stop is complete."""
        async with trio.open_nursery() as nursery:
            self.connections = PollingConnections(self.make_codec, self.inbox, nursery)
            now = trio.current_time()
            self.logic.timers.handle_error = functools.partial(report_failure, "timer")
            self.logic.subscriptions.set_seeds(link_addresses(self.settings), now)
            await self.start(nursery)
            if self.settings.metrics:
                # Service doesn't depend on metrics, whose address may be unavailable.
                server = make_server(self.settings.metrics, self.list_metrics)
                nursery.start_soon(keep_running, "metrics", server.run)
            record(
                "started", role=self.settings.role, address=self.address, version=__version__
            )
            nursery.start_soon(keep_running, "run record", record_start)
            self.started.set()
            await self.run_events()
            nursery.cancel_scope.cancel()
        record("stopped")

    def list_metrics(self):
        """Return the metrics of the role."""
        raise NotImplementedError

    async def start(self, nursery):
        """Start the tasks of the role."""
        raise NotImplementedError

    def is_stopped(self, now):
        """Return whether the graceful stop is complete."""
        raise NotImplementedError

    async def serve_links(self, nursery, handle):
        """Start to accept links of other processes."""
        await nursery.start(
            keep_serving, "links", serve_links, self.address, self.make_codec, handle
        )

    async def run_events(self):
        """
        Handle events and timers until the graceful stop is complete.

        Each event and each timer is a unit of its own, after an error of which the state
        stays: all of it is repeated by the peers, except the log, see replica_task.py.
        """
        while True:
            with trio.move_on_at(self.logic.timers.next_due()):
                await self.handle_event(await self.receiver.receive())
            now = trio.current_time()
            with contain("timers"):
                self.detect_pause()
                self.logic.run_timers(now)
            with contain("flush"):
                self.flush()
            if self.is_stopped(now):
                return

    async def handle_event(self, event):
        """Handle an event of another task."""
        with contain(type(event).__name__):
            self.detect_pause()
            await self.event_handlers[type(event)](event)

    def detect_pause(self):
        """Detect a pause of the process; only CLOCK_BOOTTIME counts the time of a suspend."""
        boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        gap, self.last_iteration_at = boot_time - self.last_iteration_at, boot_time
        # On the first iteration the gap equals the boot time.
        if gap > PAUSE_THRESHOLD_SECONDS and gap < boot_time:
            record("thawed", gap_ms=round(gap * 1000), dropped=self.handle_resume())

    def observe(self, name, **details):
        """Log an event; a registration is expanded into its fields."""
        registration = details.pop("registration", None)
        if registration is not None:
            details |= describe_registration(registration)
        record(name, **details)

    def handle_resume(self):
        """
        Mark state from before a pause as outdated.

        Return how many packets of the socket's backlog were dropped.
        """
        return 0

    def flush(self):
        """Update the polling connections and send the queued messages."""
        self.connections.set_addresses(self.logic.subscriptions.active())
        queued, self.logic.messages = self.logic.messages, []
        for address, message in queued:
            self.connections.send(address, message)

    # Events.

    async def handle_received(self, event):
        """Handle an answer of a control replica."""
        with self.reopening(event.sender):
            self.logic.handle_message(event.sender, event.message, trio.current_time())

    @contextlib.contextmanager
    def reopening(self, address):
        """
        Handle an event of a polling connection in the block.

        After an error the connection is opened again, as no poll may follow otherwise.
        """
        try:
            yield
        except Exception as error:
            report_failure("message", error, address)
            self.connections.reopen(address)

    async def handle_opened(self, event):
        """Start to poll a control replica whose connection was opened."""
        record("source_reached", peer=event.address)
        with self.reopening(event.address):
            self.logic.start_polling(event.address, trio.current_time())

    async def handle_closed(self, event):
        """Log that the connection to a control replica was lost."""
        record("source_lost", peer=event.address, reason=event.reason)

    async def handle_reload(self, event):
        """Apply reloaded settings."""
        self.settings = event.settings
        seeds = link_addresses(self.settings)
        self.logic.subscriptions.set_seeds(seeds, trio.current_time())

    async def handle_stop(self, event):
        """Start the graceful stop."""
        raise NotImplementedError


def describe_registration(registration):
    """Return the fields of an event about an upstream."""
    states = ((registration.leaving, "gone"), (registration.draining, "draining"))
    return {
        "upstream": registration.name,
        "address": registration.address,
        "service": registration.service_name,
        "data_centre": registration.data_centre,
        "state": next((state for applies, state in states if applies), "up"),
    }
