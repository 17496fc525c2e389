"""
Links: TCP connections that carry signed frames between processes and from operators.

The accepting side sends a greeting with a nonce that is part of every signature
on the link, which prevents replay. On an idle link the opening side requests
another greeting as a heartbeat; a link without an answer is closed and reopened.
"""

import math
import os
import struct

import trio

from lycheevalve.daemon.accepted import Connections, limit_connections
from lycheevalve.daemon.boundaries import contain
from lycheevalve.daemon.buffers import buffers
from lycheevalve.daemon.listeners import open_listener
from lycheevalve.exceptions import FrameError, LycheevalveError, UnavailableError
from lycheevalve.logs.queue import record
from lycheevalve.schema.frames import FrameCodec
from lycheevalve.schema.generated.messages import Failure, Greeting
from lycheevalve.utils.addresses import format_peer, parse_address

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
STALLED = "the rest of a frame did not arrive in time"
NONCE_BYTES = 16
CONNECT_TIMEOUT_SECONDS = 1.0
HEARTBEAT_INTERVAL_SECONDS = 0.5
LINK_TIMEOUT_SECONDS = 2.0
# The opening side sends a message, a poll or a heartbeat more often; the accepting side closes
# a link without any, as that of a machine without power.
SILENCE_TIMEOUT_SECONDS = 15.0
QUEUE_MESSAGES = 256
# What a connection raises that its peer has reset.
BROKEN_CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# Errors that close one link and affect nothing else.
LINK_ERRORS = (LycheevalveError, *BROKEN_CONNECTION_ERRORS, trio.TooSlowError)


async def read_exactly(stream, count, seconds=math.inf):
    """
    Return `count` bytes, or raise UnavailableError when the stream ends.

    It is also raised when nothing arrives for some seconds, and when there is no memory left
    for large messages.
    """
    data = bytearray()
    with buffers.hold() as count_bytes:
        while len(data) < count:
            chunk = None
            with trio.move_on_after(seconds):
                chunk = await stream.receive_some(min(READ_BYTES, count - len(data)))
            if not chunk:
                reason = "the connection was closed" if chunk is not None else STALLED
                raise UnavailableError(reason, "read link")
            data += chunk
            count_bytes(len(data))
    return bytes(data)


async def read_frame(stream):
    """Return one frame; raise FrameError when it is too long."""
    (length,) = LENGTH.unpack(await read_exactly(stream, LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes exceeds the size limit", "read link")
    return await read_exactly(stream, length, LINK_TIMEOUT_SECONDS)


async def write_frame(stream, frame):
    """Send one frame."""
    await stream.send_all(LENGTH.pack(len(frame)) + frame)


class Connection:
    """One link with a codec of its own; both sides sign with the greeting's nonce."""

    def __init__(self, stream, codec, nonce=b""):
        self.stream = stream
        self.codec = codec
        self.nonce = nonce
        self.lock = trio.Lock()

    async def send(self, message):
        """Send a message."""
        frame = self.codec.encode(message, self.nonce)
        async with self.lock:
            await write_frame(self.stream, frame)

    async def receive(self):
        """Return (header, message)."""
        return self.codec.decode(await read_frame(self.stream), self.nonce)


async def open_connection(address, codec, seconds=CONNECT_TIMEOUT_SECONDS):
    """Return a Connection to `ip:port`; raise UnavailableError on errors and timeout."""
    host, port = parse_address(address)
    try:
        with trio.fail_after(seconds):
            stream = await trio.open_tcp_stream(host, port)
            connection = Connection(stream, codec)
            _, greeting = await connection.receive()
    except (OSError, trio.TooSlowError, trio.BrokenResourceError, LycheevalveError) as error:
        raise UnavailableError(f"can't connect: {error!r}", "connect", address) from error
    if not isinstance(greeting, Greeting):
        raise UnavailableError("the first message is not a greeting", "connect", address)
    connection.nonce = greeting.nonce
    return connection


class Links:
    """
    The outgoing links of a process, with one task and one queue for each peer.

    `address_of(name)` returns the `ip:port` of a peer, or an empty string.
    """

    def __init__(self, make_codec, address_of, nursery):
        self.make_codec = make_codec
        self.address_of = address_of
        self.nursery = nursery
        self.queues = {}

    def send(self, name, message):
        """Queue a message for a peer; drop it when the queue is full."""
        if name not in self.queues:
            queue, receiver = trio.open_memory_channel(QUEUE_MESSAGES)
            self.queues[name] = queue
            self.nursery.start_soon(self.run_link, name, receiver)
        try:
            self.queues[name].send_nowait(message)
        except trio.WouldBlock:
            record("queue_full", peer=name)

    async def run_link(self, name, receiver):
        """Send the messages of a queue to a peer; open its link when there is one to send."""
        async for message in receiver:
            address = self.address_of(name)
            if not address:
                continue
            with contain("link", name):
                await self.use_link(name, address, message, receiver)

    async def use_link(self, name, address, message, receiver):
        """Open a link and send the queued messages until it fails."""
        try:
            connection = await open_connection(address, self.make_codec())
            await self.send_queued(connection, message, receiver)
        except* LINK_ERRORS as group:
            for error in group.exceptions:
                record("link_failed", peer=name, reason=str(error))

    async def send_queued(self, connection, message, receiver):
        """Send the first message and those queued after it until the link fails."""
        async with connection.stream, trio.open_nursery() as nursery:
            heartbeat_sender, heartbeat_receiver = trio.open_memory_channel(1)
            nursery.start_soon(
                self.read_greetings, connection, heartbeat_sender, nursery.cancel_scope
            )
            while True:
                with trio.fail_after(LINK_TIMEOUT_SECONDS):
                    await connection.send(message)
                message = await self.next_message(connection, receiver, heartbeat_receiver)

    async def next_message(self, connection, receiver, heartbeat_receiver):
        """Return the next queued message; send heartbeats while the queue is empty."""
        while True:
            with trio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
                return await receiver.receive()
            await self.check_alive(connection, heartbeat_receiver)

    @staticmethod
    async def check_alive(connection, heartbeat_receiver):
        """Request a greeting as a heartbeat; raise UnavailableError without an answer."""
        with trio.move_on_after(LINK_TIMEOUT_SECONDS) as scope:
            await connection.send(Greeting())
            await heartbeat_receiver.receive()
        if scope.cancelled_caught:
            raise UnavailableError("the heartbeat was not answered in time", "heartbeat")

    @staticmethod
    async def read_greetings(connection, heartbeat_sender, scope):
        """Signal each received greeting; cancel the link when its stream ends."""
        try:
            while True:
                await connection.receive()
                try:
                    heartbeat_sender.send_nowait(None)
                except trio.WouldBlock:
                    pass
        except LINK_ERRORS:
            scope.cancel()


async def serve_links(address, make_codec, handle, task_status=trio.TASK_STATUS_IGNORED):
    """
    Accept links on `ip:port` until cancelled.

    `handle(sender, message)` returns the answer to a message, or None.
    """
    connections = Connections("links", limit_connections("links"))

    async def serve(stream):
        with contain("link", format_peer(stream.socket)):
            await connections.serve(stream, serve_link, handle)

    async def serve_link(stream, handle):
        peer = format_peer(stream.socket)
        try:
            await serve_connection(stream, make_codec(), handle)
        except FrameError as error:
            record("link_closed", peer=peer, reason=str(error))
        except LINK_ERRORS as error:
            record("link_failed", peer=peer, reason=str(error))

    async with await open_listener("listen for links", address) as listener:
        task_status.started()
        await trio.serve_listeners(serve, [listener])


async def serve_connection(stream, codec, handle):
    """Send the greeting, then handle the messages of one link."""
    nonce = os.urandom(NONCE_BYTES)
    connection = Connection(stream, codec)
    await connection.send(Greeting(nonce))
    connection.nonce = nonce
    while True:
        with trio.fail_after(SILENCE_TIMEOUT_SECONDS):
            header, message = await connection.receive()
        if isinstance(message, Greeting):
            await connection.send(Greeting())
            continue
        try:
            answer = await handle(header.sender, message)
        except LycheevalveError as error:
            answer = Failure(error.step, error.peer, error.reason)
        if answer is not None:
            await connection.send(answer)


def make_codec_factory(key, name, incarnation):
    """Return a function that makes the FrameCodec of a new link."""
    return lambda: FrameCodec(key, name, incarnation)
