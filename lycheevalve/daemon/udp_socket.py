"""The UDP socket of a process, read by one task in bounded batches."""

import trio

from lycheevalve.daemon.datagrams import read_datagrams
from lycheevalve.daemon.events import Batch


class UdpSocket:
    """
    One non-blocking UDP socket; `dropped` counts datagrams that could not be sent.

    `opened` is the socket of open_datagram_socket.
    """

    def __init__(self, opened):
        self.socket = opened
        self.dropped = 0

    def read_batch(self):
        """Return up to one batch of (datagram, source) without waiting."""
        batch, errors = read_datagrams(self.socket)
        self.dropped += errors
        return batch

    async def run(self, inbox):
        """Read batches and send them to `inbox` until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            batch = self.read_batch()
            if batch:
                await inbox.send(Batch(batch))

    def discard_backlog(self):
        """Drop all datagrams in the socket's buffer; return how many."""
        count = 0
        while batch := self.read_batch():
            count += len(batch)
        return count

    def send(self, datagram, address):
        """Send a datagram; count one that the system refuses, which is lost as in transit."""
        try:
            self.socket.sendto(datagram, address)
        except OSError:
            self.dropped += 1

    def close(self):
        """Close the socket."""
        self.socket.close()
