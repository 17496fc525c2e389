"""
Connections over which a process polls the control replicas, with one task for each.

A task keeps its connection open, sends the queued messages one at a time and
passes each answer to the owner. A connection without an answer in time is closed
and reopened with backoff.
"""

import random

import attrs
import trio

from lycheevalve.coordination.feeds import LONG_POLL_SECONDS
from lycheevalve.daemon.boundaries import report_failure
from lycheevalve.daemon.events import Received
from lycheevalve.daemon.links import BROKEN_CONNECTION_ERRORS, LINK_ERRORS, open_connection
from lycheevalve.exceptions import UnavailableError
from lycheevalve.logs.queue import record
from lycheevalve.schema.generated.messages import Failure

# A poll is answered after LONG_POLL_SECONDS at the latest; a connection without an answer for
# this long is considered broken.
ANSWER_TIMEOUT_SECONDS = LONG_POLL_SECONDS + 0.7
# A machine without power refuses no connections, and TCP retransmits a SYN only after
# a second; a new attempt reaches the machine sooner once it is back.
CONNECT_TIMEOUT_SECONDS = 0.4
# The backoff between attempts doubles from the first value to the second.
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.8
QUEUE_MESSAGES = 8


@attrs.frozen
class Opened:
    """The connection to a control replica was opened."""

    address: str


@attrs.frozen
class Closed:
    """The connection to a control replica was closed or failed to open."""

    address: str
    reason: str


class PollingConnections:
    """The polling connections of one process; events go to the channel `owner_inbox`."""

    def __init__(self, make_codec, owner_inbox, nursery):
        self.make_codec = make_codec
        self.owner_inbox = owner_inbox
        self.nursery = nursery
        self.queues = {}
        self.scopes = {}
        # The scope of each open connection.
        self.open_scopes = {}

    def set_addresses(self, addresses):
        """Keep connections to these addresses and close all others."""
        for address in addresses:
            if address not in self.scopes:
                self.scopes[address] = trio.CancelScope()
                self.nursery.start_soon(self.run, address, self.scopes[address])
        for address in set(self.scopes) - set(addresses):
            self.scopes.pop(address).cancel()
            self.queues.pop(address, None)
            self.open_scopes.pop(address, None)

    def send(self, address, message):
        """Queue a message; drop it without a connection or when the queue is full."""
        queue = self.queues.get(address)
        if queue is None:
            return
        try:
            queue.send_nowait(message)
        except trio.WouldBlock:
            record("queue_full", peer=address)

    def reopen(self, address):
        """Close the connection to an address; it is opened again after a longer pause."""
        if self.queues.pop(address, None) is not None:
            self.open_scopes[address].cancel()

    async def run(self, address, scope):
        """Keep a connection open, reconnecting with backoff, until the scope is cancelled."""
        backoff = MIN_BACKOFF_SECONDS
        with scope:
            while True:
                reason = "the owner has gone"
                try:
                    await self.use_connection(address)
                except LINK_ERRORS as error:
                    reason = repr(error)
                except Exception as error:
                    report_failure("polling", error, address)
                    reason = repr(error)
                backoff = (
                    MIN_BACKOFF_SECONDS if address in self.queues else next_backoff(backoff)
                )
                self.queues.pop(address, None)
                await self.owner_inbox.send(Closed(address, reason))
                await trio.sleep(backoff * random.uniform(0.5, 1.0))

    async def use_connection(self, address):
        """Open a connection and exchange the queued messages until it fails."""
        connection = await open_connection(address, self.make_codec(), CONNECT_TIMEOUT_SECONDS)
        async with connection.stream:
            with trio.CancelScope() as scope:
                self.open_scopes[address] = scope
                await self.poll(connection, address)
        raise UnavailableError("an answer could not be handled", "poll", address)

    async def poll(self, connection, address):
        """Exchange the queued messages over an open connection."""
        queue, receiver = trio.open_memory_channel(QUEUE_MESSAGES)
        self.queues[address] = queue
        await self.owner_inbox.send(Opened(address))
        async for message in receiver:
            answer = await exchange(connection, message, address)
            await self.owner_inbox.send(Received(address, answer))


def next_backoff(seconds):
    """Return the backoff after another failed attempt."""
    return min(MAX_BACKOFF_SECONDS, 2 * seconds)


async def exchange(connection, message, peer, seconds=ANSWER_TIMEOUT_SECONDS):
    """
    Send a message and return the answer; raise UnavailableError at the timeout.

    It is also raised when the connection breaks, as the peer's process may end at any time,
    and for a Failure: the peer could not handle the message, and what follows an answer would
    not happen.
    """
    with trio.move_on_after(seconds):
        try:
            await connection.send(message)
            _, answer = await connection.receive()
        except BROKEN_CONNECTION_ERRORS as error:
            reason = f"the connection broke: {error!r}"
            raise UnavailableError(reason, "exchange", peer) from error
        if isinstance(answer, Failure):
            raise UnavailableError(answer.reason, answer.step, answer.peer or peer)
        return answer
    raise UnavailableError("the peer did not answer in time", "exchange", peer)


async def ask_once(address, codec, message, seconds):
    """Send a message over a new connection; return the answer or raise UnavailableError."""
    with trio.move_on_after(seconds):
        connection = await open_connection(address, codec)
        async with connection.stream:
            return await exchange(connection, message, address, seconds)
    raise UnavailableError("no answer over a new connection in time", "ask", address)
