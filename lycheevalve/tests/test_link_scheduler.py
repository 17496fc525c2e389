"""The schedule of packets before a small link: urgency, fairness, copies and age."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lycheevalve.flows import link_scheduler
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.flows.link_scheduler import build_scheduler
from lycheevalve.tests.fakes.control_cluster import ControlCluster
from lycheevalve.tests.fakes.entry import FRONT_DOOR, build_packet, build_registration

LINK_MBPS = 2.0
DATA_BYTES = 1200
HEADER_BYTES = 34
WINDOW_PACKETS = 16
FEED = FrontDoorRoute((("feed", 1),), True, priority=2, target_latency_seconds=0.3)
CONFIRM = FrontDoorRoute((("feed", 1),), priority=1, target_latency_seconds=0.4)
UPLOAD = FrontDoorRoute(
    (("intake", 1),),
    priority=2,
    uploads=True,
    target_latency_seconds=0.8,
    timeout_seconds=10.0,
)


class Link:
    """A scheduler, the time, and what it sent and dropped."""

    def __init__(self, mbps=LINK_MBPS):
        self.now = 100.0
        self.sent, self.departed, self.dropped = [], [], []
        self.scheduler = build_scheduler(
            mbps,
            transmit=lambda item: self.sent.append((self.now, item)),
            departed=lambda packet, now: self.departed.append(packet),
            drop=lambda packet, reason, since, now: self.dropped.append((packet, reason)),
        )

    def submit(self, flow, route, sequence=0, size=DATA_BYTES, **values):
        """Submit a packet of a flow; its item is the packet."""
        packet = build_packet(flow, sequence=sequence, size=size, **values)
        self.scheduler.submit(packet, route, packet, size + HEADER_BYTES, self.now)
        return packet

    def submit_window(self, flow, start=0, route=UPLOAD):
        """Submit a caller's whole window at once."""
        for number in range(WINDOW_PACKETS):
            self.submit(flow, route, (start + number) * DATA_BYTES)

    def run(self, seconds):
        """Release waiting packets as their time comes."""
        end = self.now + seconds
        while not self.scheduler.is_idle:
            due = self.scheduler.next_release(self.now)
            if due > end:
                break
            self.now = due
            self.scheduler.release(self.now)
        self.now = end

    def sent_bytes(self):
        """Return the bytes sent, with the overhead of each datagram."""
        overhead = HEADER_BYTES + link_scheduler.DATAGRAM_OVERHEAD_BYTES
        return sum(item.size + overhead for _, item in self.sent)


class TestPace:
    """Bursts leave at the pace of the link."""

    def test_window_leaves_at_the_pace_of_the_link(self):
        link = Link()
        link.submit_window(b"one")
        assert len(link.sent) < 5
        link.run(0.05)
        limit = link_scheduler.BURST_BYTES + 0.05 * LINK_MBPS * 1_000_000 / 8
        assert link.sent_bytes() <= limit
        link.run(0.1)
        assert len(link.sent) == WINDOW_PACKETS
        assert link.dropped == []

    def test_packets_of_a_flow_keep_their_order(self):
        link = Link()
        link.submit_window(b"one")
        link.run(1.0)
        assert [item.sequence for _, item in link.sent] == sorted(
            item.sequence for _, item in link.sent
        )

    @pytest.mark.parametrize("mbps", [0, 100.0, 1000.0])
    def test_fast_or_unknown_link_has_no_schedule(self, mbps):
        assert build_scheduler(mbps, transmit=None, departed=None, drop=None) is None

    def test_calm_link_adds_no_delay(self):
        link = Link()
        for number in range(100):
            link.submit(b"%d" % number, FEED, size=100)
            link.now += 0.01
        assert len(link.sent) == 100


class TestUrgency:
    """Load: windows of uploads fill the link when requests of feeds arrive."""

    def build_loaded_link(self, uploads=5):
        """Return a link with several waiting windows."""
        link = Link()
        for number in range(uploads):
            link.submit_window(b"upload-%d" % number)
        return link

    def measure_wait(self, link, packet):
        """Return for how many seconds a packet waits."""
        begun = link.now
        link.run(2.0)
        return next(at for at, item in link.sent if item is packet) - begun

    @pytest.mark.parametrize("route", [FEED, CONFIRM])
    def test_request_does_not_wait_behind_uploads(self, route):
        link = self.build_loaded_link()
        assert self.measure_wait(link, link.submit(b"feed", route, size=100)) < 0.03

    def test_opening_packet_does_not_wait_behind_uploads(self):
        link = self.build_loaded_link()
        packet = link.submit(b"new", UPLOAD, size=0, opens=True)
        assert self.measure_wait(link, packet) < 0.03

    def test_more_urgent_route_goes_first(self):
        link = self.build_loaded_link()
        feeds = [link.submit(b"feed-%d" % n, FEED, size=600) for n in range(20)]
        confirm = link.submit(b"confirm", CONFIRM, size=600)
        link.run(2.0)
        order = [item for _, item in link.sent]
        assert order.index(confirm) < min(order.index(feed) for feed in feeds)

    def test_established_flows_go_before_new_ones(self):
        link = self.build_loaded_link()
        opening = link.submit(b"new", CONFIRM, size=0, opens=True)
        feed = link.submit(b"feed", FEED, size=600)
        link.run(2.0)
        order = [item for _, item in link.sent]
        assert order.index(feed) < order.index(opening)

    def test_uploads_keep_their_share(self):
        link = self.build_loaded_link()
        before = len(link.sent)
        for number in range(1000):
            link.submit(b"feed-%d" % number, FEED, size=400)
            if number % 10 == 9:
                link.run(0.02)
        sent = [item for _, item in link.sent[before:]]
        bulk = sum(item.size for item in sent if item.flow_key.startswith(b"upload"))
        assert bulk >= 0.8 * link_scheduler.BULK_SHARE * sum(item.size for item in sent)


class TestFairness:
    """One caller with many packets does not delay the others' uploads."""

    def test_flows_take_turns(self):
        link = Link()
        for start in range(0, 5 * WINDOW_PACKETS, WINDOW_PACKETS):
            link.submit_window(b"greedy", start)
        link.submit_window(b"modest")
        link.run(0.2)
        modest = [item for _, item in link.sent if item.flow_key == b"modest"]
        assert len(modest) >= WINDOW_PACKETS - 2


class TestCopies:
    """Callers retransmit after 0.2 s what still waits here."""

    def test_copy_of_a_waiting_packet_is_not_sent(self):
        link = Link()
        for number in range(6):
            link.submit_window(b"upload-%d" % number)
        link.run(0.2)
        for number in range(6):
            link.submit_window(b"upload-%d" % number)
        link.run(1.0)
        copies = len(link.sent) - 6 * WINDOW_PACKETS
        sent_before_the_copies = 0.2 * LINK_MBPS * 1_000_000 / 8 / DATA_BYTES + 5
        assert 0 < copies <= sent_before_the_copies

    def test_copy_of_a_waiting_packet_takes_no_room(self):
        link = Link()
        link.submit_window(b"upload")
        waiting = dict(link.scheduler.queued_bytes)
        last = (WINDOW_PACKETS - 1) * DATA_BYTES
        link.submit(b"upload", UPLOAD, last)
        assert link.scheduler.queued_bytes == waiting

    def test_copy_of_a_sent_packet_is_sent(self):
        link = Link()
        for _ in range(2):
            link.submit(b"one", FEED)
        assert len(link.sent) == 2

    def test_copy_of_a_waiting_opening_packet_is_known(self):
        link = Link()
        link.submit_window(b"upload")
        link.submit(b"new", FEED, size=0, opens=True)
        assert link.scheduler.is_waiting(build_packet(b"new", opens=True, copy=1))


class TestBounds:
    """Queues are bounded in bytes and in time."""

    def test_packet_that_waited_too_long_is_dropped(self):
        link = Link()
        link.submit_window(b"upload")
        link.now += link_scheduler.MAX_WAIT_SECONDS + 0.1
        link.scheduler.release(link.now)
        assert {reason for _, reason in link.dropped} == {"link_backlog"}
        assert link.scheduler.is_idle

    def test_full_queue_drops_the_newest(self):
        link = Link()
        for number in range(40):
            link.submit_window(b"upload-%d" % number)
        waiting = sum(link.scheduler.queued_bytes.values())
        capacity = link.scheduler.bytes_per_second
        assert waiting <= link_scheduler.MAX_QUEUED_SECONDS * capacity
        assert {reason for _, reason in link.dropped} == {"link_full"}

    def test_upload_that_would_be_late_is_refused(self):
        link = Link()
        assert link.scheduler.can_accept(UPLOAD)
        for number in range(7):
            link.submit_window(b"upload-%d" % number)
        assert not link.scheduler.can_accept(UPLOAD)
        assert link.scheduler.can_accept(FEED)

    def test_route_without_a_target_is_not_refused(self):
        link = Link()
        for number in range(20):
            link.submit_window(b"upload-%d" % number)
        assert link.scheduler.can_accept(attrs.evolve(UPLOAD, target_latency_seconds=0.0))


class TestInstance:
    """An entry instance before a small link."""

    def build(self, mbps=LINK_MBPS):
        """Return a site whose instance has a small link and a route for uploads."""
        site = ControlCluster(2, 1)
        entry = site.running[site.entries[0]]
        entry.link_mbps = mbps
        entry.__attrs_post_init__()
        entry.subscriptions.set_seeds(site.seeds, site.now)
        site.commit(3)
        site.run(2.0)
        site.running[site.seeds[0]].handle_announcement(
            build_registration(1, "intake", lifetime_ms=60_000), "beat", site.now
        )
        site.run(0.5)
        entry.cookie_router.set_routes({FRONT_DOOR: UPLOAD}, site.now)
        return site, entry

    def upload(self, site, entry, flow=b"flow"):
        """Open a flow and send a window."""
        entry.handle_packet(build_packet(flow, opens=True), site.now)
        cookie = next(iter(entry.upstreams.by_index.values())).cookie
        for number in range(WINDOW_PACKETS):
            values = {"sequence": number * DATA_BYTES, "size": DATA_BYTES, "cookie": cookie}
            packet = build_packet(flow, raw=bytes(DATA_BYTES + HEADER_BYTES), **values)
            entry.handle_packet(packet, site.now)

    def test_window_is_paced(self):
        site, entry = self.build()
        self.upload(site, entry)
        assert len(site.sent) < 6
        site.run(0.3)
        assert len(site.sent) == WINDOW_PACKETS + 1

    def test_waiting_copies_are_no_evidence_against_the_upstream(self):
        site, entry = self.build()
        for number in range(4):
            self.upload(site, entry, b"flow-%d" % number)
        site.run(0.2)
        for number in range(4):
            self.upload(site, entry, b"flow-%d" % number)
        site.run(0.2)
        (upstream,) = entry.upstreams.by_index.values()
        assert upstream.unanswered == 0

    def test_new_upload_is_refused_at_once_while_the_link_is_full(self):
        site, entry = self.build()
        for number in range(9):
            self.upload(site, entry, b"flow-%d" % number)
        assert ("reset", "link_backlog") in entry.counters

    def test_pause_discards_what_waits(self):
        site, entry = self.build()
        self.upload(site, entry)
        entry.handle_resume(site.now)
        assert entry.link.is_idle

    def test_fast_link_sends_at_once(self):
        site, entry = self.build(1000.0)
        self.upload(site, entry)
        assert len(site.sent) == WINDOW_PACKETS + 1


class SchedulerMachine(RuleBasedStateMachine):
    """Nothing is lost, sent twice or sent faster than the link, whatever arrives."""

    @initialize()
    def start(self):
        self.link = Link()
        self.begun = self.link.now
        self.submitted = {}

    @rule(
        flow=st.integers(0, 5),
        route=st.sampled_from((FEED, CONFIRM, UPLOAD)),
        count=st.integers(1, WINDOW_PACKETS),
        size=st.sampled_from((0, 100, DATA_BYTES)),
        opens=st.booleans(),
    )
    def submit(self, flow, route, count, size, opens):
        for number in range(count):
            values = {"size": 0, "opens": True} if opens else {"size": size}
            packet = build_packet(
                b"%d" % flow, sequence=number * size, acknowledged=count, **values
            )
            if self.link.scheduler.is_waiting(packet):
                continue
            self.submitted[id(packet)] = packet
            self.link.scheduler.submit(
                packet, route, packet, packet.size + HEADER_BYTES, self.link.now
            )

    @rule(seconds=st.sampled_from((0.005, 0.05, 0.3, 2.0)))
    def advance(self, seconds):
        self.link.run(seconds)

    @invariant()
    def every_packet_is_sent_once_or_dropped_or_waits(self):
        link = self.link
        sent = [id(item) for _, item in link.sent]
        dropped = [id(packet) for packet, _ in link.dropped]
        assert len(set(sent + dropped)) == len(sent + dropped)
        waiting = len(link.scheduler.identities)
        assert len(sent) + len(dropped) + waiting == len(self.submitted)

    @invariant()
    def link_is_not_exceeded(self):
        elapsed = self.link.now - self.begun
        limit = link_scheduler.BURST_BYTES + elapsed * LINK_MBPS * 1_000_000 / 8
        assert self.link.sent_bytes() <= limit

    @invariant()
    def counts_match(self):
        scheduler = self.link.scheduler
        waiting = [w for f in scheduler.classes.values() for q in f.values() for w in q.packets]
        assert sum(w.size for w in waiting) == sum(scheduler.queued_bytes.values())
        assert len(waiting) == len(scheduler.identities)


TestScheduler = SchedulerMachine.TestCase
TestScheduler.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
