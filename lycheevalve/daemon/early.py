"""
Threads that work while the modules of a process are imported, which takes long.

An entry instance forwards packets, see flows/early_routing.py, and a control replica
answers the lookups for that from the table on its disk. A thread is started before anything
else is imported, uses modules written in C, and owns its sockets until the process takes
over.
"""

import posix
import select
import sys
import time
from _socket import inet_ntoa
from _thread import allocate_lock, start_new_thread

from lycheevalve.daemon.datagrams import open_datagram_socket, read_datagrams
from lycheevalve.flows.early_routing import EarlyRouter, ImportDelay
from lycheevalve.schema.lookups import (
    MAX_COOKIES,
    MAX_FRONT_DOORS,
    NONCE,
    RESTORED_LEASE_SECONDS,
    Answer,
    Lookup,
    decode_answer,
    decode_lookup,
    decode_table,
    derive_key,
    encode_answer,
    encode_lookup,
)

POLL_MILLISECONDS = 25
READ_BYTES = 1 << 20
# Each datagram received or sent hands the interpreter's lock to the thread that imports
# modules, which returns it after this time.
SWITCH_INTERVAL_SECONDS = 0.0005
# Lookups whose answers may still arrive, and until when after the lookup.
MAX_PENDING_LOOKUPS = 64
MAX_ANSWER_SECONDS = 0.5


def read_clock():
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def parse_host_and_port(text):
    """
    Return the (ip, port) of `ip:port`; raise ValueError for any other text.

    utils/addresses.py imports more than the early stage has time for.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class EarlyThread:
    """
    A thread that calls `handle(now)` when one of its sockets is readable, and regularly.

    `error` describes the error that ended it, if any: the datagrams then wait in the
    sockets until the process has started.
    """

    def __init__(self, sockets, handle):
        self.sockets = sockets
        self.handle = handle
        self.wake_reader, self.wake_writer = posix.pipe()
        self.stopped = allocate_lock()
        self.started_at = read_clock()
        self.switch_interval = sys.getswitchinterval()
        self.error = ""

    def start(self):
        """Start the thread."""
        self.stopped.acquire()
        start_new_thread(self.run, ())
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)

    def stop(self):
        """Stop the thread, and return once it has ended; its sockets stay open."""
        sys.setswitchinterval(self.switch_interval)
        posix.write(self.wake_writer, b"x")
        self.stopped.acquire()
        posix.close(self.wake_reader)
        posix.close(self.wake_writer)

    def age(self):
        """Return for how many seconds the thread has existed."""
        return read_clock() - self.started_at

    def run(self):
        """Serve until `stop` is called."""
        try:
            self.serve()
        except Exception as error:
            self.error = repr(error)
        finally:
            self.stopped.release()

    def serve(self):
        """Wait for datagrams and handle them until the wake-up arrives."""
        poll = select.poll()
        for descriptor in (*self.sockets, self.wake_reader):
            poll.register(descriptor, select.POLLIN)
        while self.wake_reader not in dict(poll.poll(POLL_MILLISECONDS)):
            self.handle(read_clock())


class ImportGate:
    """A finder of modules that finds none: imports wait in it as an ImportDelay decides."""

    def __init__(self, delay):
        self.delay = delay

    def find_spec(self, name, path=None, target=None):
        """Wait for the packets that are being forwarded."""
        while seconds := self.delay.next_wait():
            time.sleep(seconds)


class EarlyForwarder:
    """
    Forwards the packets of an entry instance until `stop` is called.

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
        self.import_gate = ImportGate(ImportDelay(self.router))
        self.packet_socket = open_datagram_socket(packets)
        self.lookup_socket = open_datagram_socket(lookups)
        self.thread = EarlyThread((self.packet_socket, self.lookup_socket), self.handle)
        # When the last lookups were sent, by nonce.
        self.pending = {}
        # Counters for the log.
        self.malformed = self.unsent = 0

    @staticmethod
    def draw():
        """Return a random number from 0 to 1."""
        return int.from_bytes(posix.urandom(4), "big") / (1 << 32)

    def start(self):
        """Start the thread; imports wait for its packets from now on."""
        self.thread.start()
        sys.meta_path.insert(0, self.import_gate)

    def stop(self):
        """
        Stop the thread; return the held packets as (seconds held, encoded packet).

        The packet socket stays open for the instance.
        """
        sys.meta_path.remove(self.import_gate)
        self.thread.stop()
        self.lookup_socket.close()
        now = read_clock()
        return [(now - since, packet.raw) for since, packet in self.router.held.values()]

    def handle(self, now):
        """Handle the answers and packets that have arrived, and what is due."""
        for data in self.read(self.lookup_socket):
            self.handle_answer(data, now)
        for data in self.read(self.packet_socket):
            self.handle_datagram(data, now)
        self.router.retry_held(now)
        self.send_lookups(now)

    def read(self, source):
        """Return the datagrams that wait in a socket; count those that were not received."""
        batch, errors = read_datagrams(source)
        self.unsent += errors
        return [data for data, _ in batch]

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
        # After a pause an answer that waited in the socket may be out of date.
        if now - self.pending.get(answer.nonce, float("-inf")) <= MAX_ANSWER_SECONDS:
            self.router.handle_answer(answer, now)

    def send_lookups(self, now):
        """Ask all replicas for what the held packets need."""
        cookies, front_doors = self.router.take_lookup(now)
        while cookies or front_doors:
            # A nonce is never used twice, so that no recorded answer is accepted.
            (nonce,) = NONCE.unpack(posix.urandom(NONCE.size))
            self.pending[nonce] = now
            if len(self.pending) > MAX_PENDING_LOOKUPS:
                del self.pending[next(iter(self.pending))]
            lookup = Lookup(
                nonce,
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


class EarlyResponder:
    """
    Answers lookups of a control replica from the table on its disk until `stop` is called.

    It names upstreams of open flows only, as it may have missed drains and configurations,
    and no longer than the leases last that the replica restores from its disk.
    """

    def __init__(self, address, table_path, key):
        self.key = derive_key(key.encode())
        # Why the table on the disk is not used, if it is damaged.
        self.targets, self.table_error = read_table(table_path, self.key)
        self.socket = open_datagram_socket(address)
        self.thread = EarlyThread((self.socket,), self.handle)
        self.answered = self.malformed = self.unsent = 0

    def start(self):
        """Start the thread."""
        self.thread.start()

    def stop(self):
        """Stop the thread; the socket stays open for the replica."""
        self.thread.stop()

    def handle(self, now):
        """Answer the lookups that have arrived."""
        batch, errors = read_datagrams(self.socket)
        self.unsent += errors
        for data, source in batch:
            try:
                lookup = decode_lookup(self.key, data)
            except ValueError:
                self.malformed += 1
                continue
            found = [self.targets[c] for c in lookup.cookies if c in self.targets]
            is_probe = not (lookup.cookies or lookup.front_doors)
            is_leased = now - self.thread.started_at <= RESTORED_LEASE_SECONDS
            if not (is_probe or (found and is_leased)):
                continue
            try:
                answer = encode_answer(self.key, Answer(lookup.nonce, 0, found))
                self.socket.sendto(answer, source)
                self.answered += 1
            except OSError:
                # Lost as in transit; the instance asks again.
                self.unsent += 1


def read_table(path, key):
    """Return (the Targets in a file by cookie, why it is not used); a missing one is empty."""
    try:
        descriptor = posix.open(path, posix.O_RDONLY)
    except FileNotFoundError:
        return {}, ""
    try:
        chunks = []
        while chunk := posix.read(descriptor, READ_BYTES):
            chunks.append(chunk)
    finally:
        posix.close(descriptor)
    try:
        targets = decode_table(key, b"".join(chunks))
    except ValueError as error:
        return {}, f"{path}: {error}"
    return {target.cookie: target for target in targets}, ""
