"""The UDP socket of a process, read by one task in bounded batches."""

import socket

import trio

from lycheevalve.daemon.events import Batch

MAX_DATAGRAM_BYTES = 65_535
BATCH_DATAGRAMS = 64
# Holds bursts that arrive between two reads.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


class UdpSocket:
    """
    One non-blocking UDP socket; `dropped` counts datagrams that could not be sent.

    `early_socket` is a socket that is already bound; without it one is opened.
    """

    def __init__(self, address, early_socket=None):
        self.socket = early_socket or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        if early_socket is None:
            self.socket.bind(address)
        self.dropped = 0

    def read_batch(self):
        """Return up to one batch of (datagram, source) without waiting."""
        batch = []
        while len(batch) < BATCH_DATAGRAMS:
            try:
                batch.append(self.socket.recvfrom(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except ConnectionError:
                # An ICMP error for an earlier datagram: its receiver's port is closed.
                self.dropped += 1
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
