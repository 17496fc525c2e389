"""
The thread that forwards packets while the modules of an instance are imported.

It owns the packet socket until the instance takes over. It is started before anything
else is imported and uses modules written in C; see flows/early_routing.py.
"""

import posix
import select
import time
from _socket import AF_INET, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET, inet_ntoa, socket
from _thread import allocate_lock, start_new_thread

from lycheevalve.flows.early_routing import EarlyRouter
from lycheevalve.schema.lookups import (
    MAX_COOKIES,
    MAX_FRONT_DOORS,
    NONCE,
    Lookup,
    decode_answer,
    derive_key,
    encode_lookup,
)

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535
# Packets handled before lookups and answers are: both wait for the processor together.
BATCH_DATAGRAMS = 64
POLL_MILLISECONDS = 25
# Lookups whose answers may still arrive.
MAX_PENDING_LOOKUPS = 64


def read_clock():
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def parse_host_and_port(text):
    """Return the (ip, port) of `ip:port`; raise ValueError for any other text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def open_datagram_socket(address):
    """Return a non-blocking UDP socket bound to an address."""
    opened = socket(AF_INET, SOCK_DGRAM)
    opened.setblocking(False)
    for option in (SO_RCVBUF, SO_SNDBUF):
        opened.setsockopt(SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    opened.bind(address)
    return opened


class EarlyForwarder:
    """
    Forwards packets in a thread of its own until `stop` is called.

    `packets` and `lookups` are the (ip, port) of the packet socket and of the one for
    lookups, `replicas` those of the control replicas. `codec` has `read_packet(data)`, which
    returns a Packet or raises ValueError, and `build_forward(target, packet)`, which returns
    a datagram to a lookups.Target.
    """

    def __init__(self, packets, lookups, replicas, key, data_centre, codec):
        self.replicas = replicas
        self.key = derive_key(key.encode())
        self.data_centre = data_centre
        self.codec = codec
        self.router = EarlyRouter(self.forward, self.draw)
        self.packet_socket = open_datagram_socket(packets)
        self.lookup_socket = open_datagram_socket(lookups)
        self.wake_reader, self.wake_writer = posix.pipe()
        self.stopped = allocate_lock()
        self.started_at = read_clock()
        self.nonce = 0
        self.pending = {}
        # Counters for the log, and the error that ended the thread.
        self.malformed = self.unsent = 0
        self.error = ""

    @staticmethod
    def draw():
        """Return a random number from 0 to 1."""
        return int.from_bytes(posix.urandom(4), "big") / (1 << 32)

    def start(self):
        """Start the thread."""
        self.stopped.acquire()
        start_new_thread(self.run, ())

    def age(self):
        """Return for how many seconds packets have been handled here."""
        return read_clock() - self.started_at

    def stop(self):
        """
        Stop the thread; return the held packets as (seconds held, encoded packet).

        The packet socket stays open for the instance.
        """
        posix.write(self.wake_writer, b"x")
        self.stopped.acquire()
        self.lookup_socket.close()
        posix.close(self.wake_reader)
        posix.close(self.wake_writer)
        now = read_clock()
        return [(now - since, packet.raw) for since, packet in self.router.held.values()]

    def run(self):
        """Handle packets and answers until the instance takes over."""
        try:
            self.serve()
        except Exception as error:
            # Packets wait in the socket until the instance has started.
            self.error = repr(error)
        finally:
            self.stopped.release()

    def serve(self):
        """Handle packets and answers until the wake-up arrives."""
        poll = select.poll()
        for descriptor in (self.packet_socket, self.lookup_socket, self.wake_reader):
            poll.register(descriptor, select.POLLIN)
        while True:
            ready = {descriptor for descriptor, _ in poll.poll(POLL_MILLISECONDS)}
            if self.wake_reader in ready:
                return
            now = read_clock()
            for data in self.read_datagrams(self.lookup_socket):
                self.handle_answer(data, now)
            for data in self.read_datagrams(self.packet_socket):
                self.handle_datagram(data, now)
            self.router.retry_held(now)
            self.send_lookups(now)

    @staticmethod
    def read_datagrams(source):
        """Return up to a batch of the datagrams that wait in a socket."""
        batch = []
        for _ in range(BATCH_DATAGRAMS):
            try:
                batch.append(source.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                break
            except ConnectionError:
                # An ICMP error for an earlier datagram: its receiver's port is closed.
                continue
        return batch

    def handle_datagram(self, data, now):
        """Handle a caller's packet."""
        try:
            packet = self.codec.read_packet(data)
        except ValueError:
            self.malformed += 1
            return
        self.router.handle_packet(packet, now)

    def handle_answer(self, data, now):
        """Handle a replica's answer to one of the lookups sent."""
        try:
            answer = decode_answer(self.key, data)
        except ValueError:
            self.malformed += 1
            return
        if answer.nonce in self.pending:
            self.router.handle_answer(answer, now)

    def send_lookups(self, now):
        """Ask all replicas for what the held packets need."""
        cookies, front_doors = self.router.take_lookup(now)
        while cookies or front_doors:
            # A nonce is never used twice, so that no recorded answer is accepted.
            (self.nonce,) = NONCE.unpack(posix.urandom(NONCE.size))
            self.pending[self.nonce] = now
            if len(self.pending) > MAX_PENDING_LOOKUPS:
                del self.pending[next(iter(self.pending))]
            lookup = Lookup(
                self.nonce,
                self.data_centre,
                cookies[:MAX_COOKIES],
                front_doors[:MAX_FRONT_DOORS],
            )
            cookies, front_doors = cookies[MAX_COOKIES:], front_doors[MAX_FRONT_DOORS:]
            datagram = encode_lookup(self.key, lookup)
            for replica in self.replicas:
                self.send(self.lookup_socket, datagram, replica)

    def forward(self, target, packet):
        """Send a packet to an upstream."""
        ip, port = target.address
        datagram = self.codec.build_forward(target, packet)
        self.send(self.packet_socket, datagram, (inet_ntoa(ip), port))

    def send(self, sender, datagram, address):
        """Send a datagram; count one that the system refuses, which is lost as in transit."""
        try:
            sender.sendto(datagram, address)
        except OSError:
            self.unsent += 1
