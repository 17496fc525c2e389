"""The process of an entry instance: tasks for packets, readiness and subscriptions."""

import math

import trio

from lycheevalve.daemon.boundaries import contain, keep_running, keep_serving, report_failure
from lycheevalve.daemon.events import Batch
from lycheevalve.daemon.exposition import Metric, count_upstreams, counter, gauge
from lycheevalve.daemon.http import Response, Server
from lycheevalve.daemon.listeners import open_receiver
from lycheevalve.daemon.probes import open_probe_socket
from lycheevalve.daemon.role_process import RoleProcess
from lycheevalve.daemon.udp_socket import UdpSocket
from lycheevalve.entry import EntryInstance
from lycheevalve.exceptions import DatagramError
from lycheevalve.flows.departure import Departure
from lycheevalve.logs.queue import record
from lycheevalve.logs.schema import EVENTS
from lycheevalve.utils.addresses import format_address, parse_address

# Without settings from a replica the early thread forwards for at most this long.
MAX_EARLY_SECONDS = 3.0
COUNTERS_INTERVAL_SECONDS = 10.0
PROBE_SOCKET_RETRY_SECONDS = 5.0
READINESS_PATH = "/ready"


class EntryProcess(RoleProcess):
    """
    One entry instance.

    `codec` has `read_packet(data)`, `build_forward(upstream, cookie, packet)` and
    `build_reset(packet)`, which return (data, address), `describe_flow(packet)` and
    `read_routes(document)`. `early` is the EarlyForwarder that owns the packet socket until
    this process takes over, or None.
    """

    def __init__(self, settings, codec, early=None):
        super().__init__(settings)
        self.codec = codec
        self.early = early
        self.nursery = None
        self.udp_socket = None
        # Opened once the early thread has closed its socket at the same address.
        self.probe_socket = None
        # The reason in the last answer to a readiness probe: empty when ready.
        self.unready_reason = None
        self.departure = None
        self.counters_logged_at = trio.current_time()
        self.logic = EntryInstance(
            address=self.address,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            random=self.random,
            now=trio.current_time(),
            read_routes=codec.read_routes,
            forward=self.forward,
            reset=self.reset,
            observe=self.observe,
            probe=self.probe,
            collect_answers=self.collect_answers,
            request_check=self.request_check,
            heartbeat_seconds=settings.heartbeat_ms / 1000,
            link_mbps=settings.link_mbps,
        )
        self.event_handlers[Batch] = self.handle_batch

    async def start(self, nursery):
        """Start the tasks of the UDP socket and the readiness server."""
        self.nursery = nursery
        packets = self.settings.packets
        early = self.early
        if early is not None and early.packet_socket.getsockname() != parse_address(packets):
            early.stop()
            early.packet_socket.close()
            self.early = None
            record("early_unavailable", reason=f"its socket is not at {packets}")
        if self.early is None:
            self.udp_socket = UdpSocket(await open_receiver("listen for packets", packets))
            self.start_sockets()
        else:
            self.udp_socket = UdpSocket(self.early.packet_socket)
        server = Server(
            self.settings.readiness, self.answer_probe, "listen for readiness probes"
        )
        await nursery.start(keep_serving, "readiness", server.run)

    def start_sockets(self):
        """Start the task that reads the packet socket, and open the socket for probes."""
        self.open_probe_socket()
        if self.probe_socket is None:
            self.nursery.start_soon(keep_running, "probes", self.retry_probe_socket)
        self.nursery.start_soon(keep_running, "packets", self.udp_socket.run, self.inbox)

    def open_probe_socket(self):
        """Open the socket for probes, if its address is available."""
        settings = self.settings
        self.probe_socket = open_probe_socket(self.address, settings.key, settings.data_centre)

    async def retry_probe_socket(self):
        """Open the socket for probes once its address is available."""
        while self.probe_socket is None:
            await trio.sleep(PROBE_SOCKET_RETRY_SECONDS)
            self.open_probe_socket()

    def probe(self, address):
        """Probe a control replica, once the early thread has ended."""
        if self.probe_socket is not None:
            self.probe_socket.send(address)

    def request_check(self, address, cookie):
        """Ask a control replica to check an upstream."""
        if self.probe_socket is not None:
            self.probe_socket.request_check(address, cookie)

    def collect_answers(self):
        """
        Return the addresses of the control replicas that have answered probes.

        They are read here and not by a task, so that none waits behind callers' packets.
        """
        return self.probe_socket.read_answers() if self.probe_socket is not None else ()

    def can_take_over(self, now):
        """Return whether this process can route packets as well as the early thread."""
        if now - self.logic.started_at > MAX_EARLY_SECONDS:
            return True
        applied = self.logic.dissemination.applied.revision
        return self.logic.has_routes() and applied >= self.early.router.revision

    def take_over(self, now):
        """Stop the early thread, and handle its held packets before those in the socket."""
        early, self.early = self.early, None
        held = early.stop()
        router = early.router
        record(
            "early_forwarding",
            duration_ms=round(early.thread.age() * 1000),
            forwarded=router.forwarded,
            opened=router.opened,
            held=len(held),
            dropped=router.dropped,
            malformed=early.malformed,
            unsent=early.unsent,
            lookups=router.lookups,
            error=early.thread.error,
        )
        with contain("held packets"):
            packets = [(self.codec.read_packet(data), now - seconds) for seconds, data in held]
            self.logic.take_over(packets, router.revision, now)
        self.start_sockets()

    async def answer_probe(self, request):
        """Return the Response to a readiness probe of the fabric; log a changed reason."""
        if request.path != READINESS_PATH:
            return Response(404)
        now = trio.current_time()
        if self.departure is not None:
            self.departure.record_probe(now)
        reason = self.logic.unready_reason(now)
        if reason != self.unready_reason:
            self.unready_reason = reason
            record("ready", ready=not reason, reason=reason)
        return Response(503 if reason else 200)

    async def handle_batch(self, batch):
        """Handle a batch of callers' packets; count those that can't be parsed."""
        now = trio.current_time()
        for data, source in batch.datagrams:
            try:
                self.logic.handle_packet(self.codec.read_packet(data), now)
            except DatagramError as error:
                self.logic.count("bad_packet", error=error.reason)
            except Exception as error:
                report_failure("packet", error, format_address(source))

    def list_metrics(self):
        """Return the metrics of an entry instance."""
        now, logic = trio.current_time(), self.logic
        latencies = Metric(
            "histogram",
            "answer_seconds",
            "From a request's first packet to its first acknowledged answer.",
            ("service",),
            logic.latencies.samples(),
        )
        ready = not logic.unready_reason(now)
        revision = logic.dissemination.applied.revision
        reached = len(logic.subscriptions.in_contact(now))
        cut_off = logic.reachability.cut_since
        return [
            counter(
                "events", "Events by name and reason.", ("event", "reason"), logic.counters
            ),
            latencies,
            gauge("ready", "1 when the fabric may send packets.", int(ready)),
            gauge("revision_in_force", "The configuration in force.", revision),
            gauge("flows", "Entries in the session table.", len(logic.cookie_router.flows)),
            gauge(
                "packets_held",
                "Packets waiting for an upstream.",
                len(logic.cookie_router.held),
            ),
            gauge("control_replicas_reached", "Control replicas in contact.", reached),
            gauge("data_centres_cut_off", "Data centres found cut off.", len(cut_off)),
            gauge(
                "upstreams_unreachable",
                "Upstreams that replicas of this data centre report as unreachable.",
                len(logic.cookie_router.lost.unreachable_since),
            ),
            counter(
                "send_failures",
                "Datagrams that could not be sent.",
                (),
                {(): self.udp_socket.dropped},
            ),
            count_upstreams(logic.upstreams, now),
        ]

    def forward(self, upstream, cookie, packet):
        """Send a packet to an upstream."""
        self.udp_socket.send(*self.codec.build_forward(upstream, cookie, packet))

    def reset(self, packet):
        """Send a reset of the packet's flow to the caller."""
        self.udp_socket.send(*self.codec.build_reset(packet))

    def handle_resume(self):
        """
        Drop the packets queued in the socket during a pause; return how many.

        Callers have retransmitted them or given up.
        """
        dropped = self.udp_socket.discard_backlog()
        self.logic.handle_resume(trio.current_time())
        return dropped

    def observe(self, name, **details):
        """Log an event that is listed in EVENTS; all others are only counted."""
        if name not in EVENTS:
            return
        packet, upstream = details.pop("packet", None), details.pop("upstream", None)
        if packet is not None:
            details["flow"] = self.codec.describe_flow(packet)
            details.setdefault("request", packet.request)
        if upstream is not None:
            details |= describe_upstream(upstream, trio.current_time())
        if "revision" in EVENTS[name].fields:
            details.setdefault("revision", self.logic.dissemination.applied.revision)
        super().observe(name, **details)

    def flush(self):
        """Send the queued messages, and log the counters at their interval."""
        super().flush()
        now = trio.current_time()
        if self.early is not None and self.can_take_over(now):
            self.take_over(now)
        if now - self.counters_logged_at >= COUNTERS_INTERVAL_SECONDS:
            self.counters_logged_at = now
            counts = self.logic.counters.items()
            named = {"_".join(filter(None, key)): count for key, count in counts}
            record("counters", counts=named)

    async def handle_stop(self, event):
        """Start the graceful stop: readiness probes fail from now on."""
        if self.departure is None:
            self.departure = Departure(trio.current_time(), self.settings.stop_seconds)
            self.logic.leaving = True
            record("leaving")

    def is_stopped(self, now):
        """Return whether the graceful stop is complete."""
        if self.departure is None:
            return False
        return self.departure.is_complete(self.logic.cookie_router.last_packet_at, now)


def describe_upstream(upstream, now):
    """Return the fields of an event about an upstream; an answer age of -1 is never."""
    registration = upstream.registration
    answered = math.isfinite(upstream.answered_at)
    return {
        "upstream": registration.name,
        "address": registration.address,
        "report_age_ms": round((now - upstream.reported_at) * 1000),
        "answer_age_ms": round((now - upstream.answered_at) * 1000) if answered else -1,
        "flows": upstream.flows,
        "unanswered": upstream.unanswered,
    }
