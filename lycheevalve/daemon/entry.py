"""The tasks of an entry instance: packets, readiness, subscriptions."""

import trio
from loguru import logger

from lycheevalve.daemon.events import Batch
from lycheevalve.daemon.http import Response, Server
from lycheevalve.daemon.roles import RoleProcess
from lycheevalve.daemon.traffic import Traffic
from lycheevalve.entry import Entry
from lycheevalve.exceptions import DatagramError
from lycheevalve.utils.addresses import parse_address

# A stopping instance forwards until the fabric has noticed and flows have moved:
# two missed probes half a second apart, and the packets under way.
LEAVE_SECONDS = 2.5
COUNTERS_SECONDS = 10.0
READINESS_PATH = "/ready"
# Events that are logged one by one; the others are only counted.
LOGGED = ("learned", "in_force")
logger = logger.bind(part="entry")


class EntryProcess(RoleProcess):
    """
    One entry instance.

    `codec` reads and builds packets: `read_packet(data)`, `build_forward(upstream,
    cookie, packet)` and `build_reset(packet)`, which return (data, address), and
    `read_doors(document)`.
    """

    def __init__(self, settings, codec, early_socket=None):
        super().__init__(settings)
        self.codec = codec
        self.early_socket = early_socket
        self.traffic = None
        self.left_at = 0.0
        self.counted_at = trio.current_time()
        self.decisions = Entry(
            address=self.address,
            data_centre=settings.data_centre,
            process=self.incarnation,
            random=self.random,
            now=trio.current_time(),
            read_doors=codec.read_doors,
            forward=self.forward,
            reset=self.reset,
            observe=self.observe,
        )
        self.events[Batch] = self.handle_batch

    async def start(self, nursery):
        """Start the tasks of packets and readiness."""
        self.traffic = Traffic(parse_address(self.settings.packets), self.early_socket)
        nursery.start_soon(self.traffic.run, self.inbox)
        server = Server(self.settings.readiness, self.answer_probe)
        await nursery.start(server.run)

    async def answer_probe(self, request):
        """Tell the fabric whether this instance may get packets."""
        if request.path != READINESS_PATH:
            return Response(404)
        is_ready = self.decisions.is_ready(trio.current_time())
        return Response(200 if is_ready else 503)

    async def handle_batch(self, batch):
        """Take packets of callers."""
        now = trio.current_time()
        for data, _ in batch.datagrams:
            try:
                packet = self.codec.read_packet(data)
            except DatagramError as error:
                self.decisions.count("bad_packets", str(error))
                continue
            self.decisions.steering.handle(packet, now)

    def forward(self, upstream, cookie, packet):
        """Send a packet to an upstream."""
        self.traffic.send(*self.codec.build_forward(upstream, cookie, packet))

    def reset(self, packet):
        """End a flow for its caller."""
        self.traffic.send(*self.codec.build_reset(packet))

    def handle_thaw(self):
        """Drop what waited in the socket: callers have sent it again or given up."""
        dropped = self.traffic.discard_backlog()
        logger.warning("dropped what had waited", packets=dropped)
        self.decisions.thaw(trio.current_time())

    def observe(self, name, *details):
        """Log what operators should see; the rest is counted."""
        if name in LOGGED:
            logger.info(name, details=[repr(detail) for detail in details])

    def flush(self):
        """Send what is queued, and log the counters now and then."""
        super().flush()
        now = trio.current_time()
        if now - self.counted_at >= COUNTERS_SECONDS:
            self.counted_at = now
            logger.info("counters", **self.decisions.counters)

    async def handle_stop(self, event):
        """Tell the fabric to send packets elsewhere."""
        if not self.left_at:
            self.left_at = trio.current_time()
            self.decisions.leaving = True
            logger.info("leaving")

    def is_over(self, now):
        """Return whether the fabric has turned elsewhere."""
        return bool(self.left_at) and now - self.left_at >= LEAVE_SECONDS
