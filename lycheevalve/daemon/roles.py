"""What the processes of a site with cookies have in common: inbox, pumps, timers."""

import random
import time

import trio

from lycheevalve.config.roles import link_address, link_addresses
from lycheevalve.daemon.events import Received, Reload, Stop
from lycheevalve.daemon.exposition import make_server
from lycheevalve.daemon.links import make_codec_factory, serve_links
from lycheevalve.daemon.pumps import Closed, Opened, Pumps
from lycheevalve.logs.queue import record

INBOX_EVENTS = 64
# A longer gap between two turns of a process means that it was frozen.
FROZEN_SECONDS = 1.0


class RoleProcess:
    """
    One process: its inbox, its pumps and the loop around its decisions.

    Subclasses make `decisions` (with `timers`, `messages`, `subscriptions`,
    `open_source`, `handle_message`, `run_timers`) and add handlers to `events`.
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
        self.pumps = None
        self.decisions = None
        self.turn_at = 0.0
        self.events = {
            Received: self.handle_received,
            Opened: self.handle_opened,
            Closed: self.handle_closed,
            Stop: self.handle_stop,
            Reload: self.handle_reload,
        }

    async def run(self):
        """Run until the graceful stop is complete."""
        async with trio.open_nursery() as nursery:
            self.pumps = Pumps(self.make_codec, self.inbox, nursery)
            now = trio.current_time()
            self.decisions.subscriptions.use_seeds(link_addresses(self.settings), now)
            await self.start(nursery)
            if self.settings.metrics:
                server = make_server(self.settings.metrics, self.list_metrics)
                await nursery.start(server.run)
            record("started", role=self.settings.role, address=self.address)
            await self.run_events()
            nursery.cancel_scope.cancel()
        record("stopped")

    def list_metrics(self):
        """Return the metrics of the role."""
        raise NotImplementedError

    async def start(self, nursery):
        """Start the tasks of the role."""
        raise NotImplementedError

    def is_over(self, now):
        """Return whether the process may end."""
        raise NotImplementedError

    async def serve_links(self, nursery, handle):
        """Take links of other processes."""
        await nursery.start(serve_links, self.address, self.make_codec, handle)

    async def run_events(self):
        """Handle events and timers until the process is over."""
        while True:
            with trio.move_on_at(self.decisions.timers.next_due()):
                event = await self.receiver.receive()
                self.note_turn()
                await self.events[type(event)](event)
            self.note_turn()
            now = trio.current_time()
            self.decisions.run_timers(now)
            self.flush()
            if self.is_over(now):
                return

    def note_turn(self):
        """Notice that the process was frozen; only the boot clock counts that time."""
        at = time.clock_gettime(time.CLOCK_BOOTTIME)
        gap, self.turn_at = at - self.turn_at, at
        if gap > FROZEN_SECONDS and gap < at:
            record("thawed", gap_ms=round(gap * 1000), dropped=self.handle_thaw())

    def observe(self, name, **details):
        """Log what operators should see."""
        registration = details.pop("registration", None)
        if registration is not None:
            details |= describe_registration(registration)
        record(name, **details)

    def handle_thaw(self):
        """
        Trust nothing that was known before the process was frozen.

        Return how many packets that had waited were dropped.
        """
        return 0

    def flush(self):
        """Send what the decisions have queued."""
        self.pumps.keep(list(self.decisions.subscriptions.sources))
        queued, self.decisions.messages = self.decisions.messages, []
        for address, message in queued:
            self.pumps.send(address, message)

    # Events.

    async def handle_received(self, event):
        """Take the answer of a control replica."""
        self.decisions.handle_message(event.sender, event.message, trio.current_time())

    async def handle_opened(self, event):
        """Poll a control replica that can be reached."""
        record("source_reached", peer=event.address)
        self.decisions.open_source(event.address, trio.current_time())

    async def handle_closed(self, event):
        """Note that a control replica can't be reached."""
        record("source_lost", peer=event.address, reason=event.reason)

    async def handle_reload(self, event):
        """Take new settings."""
        self.settings = event.settings
        seeds = link_addresses(self.settings)
        self.decisions.subscriptions.use_seeds(seeds, trio.current_time())

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
        "state": next((state for holds, state in states if holds), "up"),
    }
