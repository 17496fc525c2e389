"""One end of a flow: ordered bytes over packets, with the timers of PROTOCOL.md."""

import asyncio

from standins import packets

RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
WINDOW_PACKETS = 16


class Stream:
    """
    The bytes of one end; `transmit(flags, seq, ack, data)` sends a packet.

    It acknowledges every second packet that it receives, repeated ones too.
    """

    def __init__(self, transmit, seq, expected, max_copies):
        self.transmit = transmit
        self.next_seq = seq
        self.expected = expected
        self.max_copies = max_copies
        self.received = bytearray()
        self.has_data = asyncio.Event()
        # Packets not yet sent, and those in flight as [seq, data].
        self.waiting = []
        self.flying = []
        self.timer = None
        self.delay = RETRANSMIT_SECONDS
        self.copies = 0
        self.unacknowledged = 0
        self.given_up = False

    def write(self, data):
        """Send bytes."""
        for start in range(0, len(data), packets.MAX_DATA):
            chunk = data[start : start + packets.MAX_DATA]
            self.waiting.append([self.next_seq, chunk])
            self.next_seq = (self.next_seq + len(chunk)) % packets.MODULUS
        self.fill_window()

    def fill_window(self):
        """Send the waiting packets for which there is room."""
        while self.waiting and len(self.flying) < WINDOW_PACKETS:
            packet = self.waiting.pop(0)
            self.flying.append(packet)
            self.send_packet(packet)
        if self.flying and self.timer is None:
            self.start_timer()

    def send_packet(self, packet):
        """Send one packet of data with the current acknowledgement."""
        self.unacknowledged = 0
        self.transmit(packets.ACK, packet[0], self.expected, packet[1])

    def start_timer(self):
        """Start the timer of the first packet in flight."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.delay, self.retransmit)

    def retransmit(self):
        """Send the first missing packet again, with a doubled interval."""
        self.timer = None
        if not self.flying:
            return
        self.copies += 1
        if self.copies > self.max_copies:
            self.given_up = True
            self.has_data.set()
            return
        self.send_packet(self.flying[0])
        self.delay = min(MAX_RETRANSMIT_SECONDS, 2 * self.delay)
        self.start_timer()

    def handle(self, packet):
        """Handle a packet with data or an acknowledgement."""
        before = len(self.flying)
        while self.flying:
            seq, data = self.flying[0]
            if packets.distance(packet.ack, seq + len(data)) < 0:
                break
            self.flying.pop(0)
        if len(self.flying) < before:
            self.copies, self.delay = 0, RETRANSMIT_SECONDS
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.fill_window()
        if not packet.data:
            return
        if packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) % packets.MODULUS
            self.received += packet.data
            self.has_data.set()
        self.unacknowledged += 1
        if self.unacknowledged >= 2:
            self.acknowledge()

    def acknowledge(self):
        """Send an acknowledgement without data."""
        self.unacknowledged = 0
        self.transmit(packets.ACK, self.next_seq, self.expected, b"")

    def close(self):
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.waiting, self.flying = [], []
