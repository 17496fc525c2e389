"""A region of data centres that may be cut off, as one entry instance sees it."""

import attrs

from lycheevalve.daemon.upstream_checks import CHECK_TIMEOUT_SECONDS
from lycheevalve.flows.failure_evidence import record_silence
from lycheevalve.flows.reachability import Reachability
from lycheevalve.tests.fakes.entry import (
    FRONT_DOOR,
    OTHER_FRONT_DOOR,
    ROUTES,
    FakeEntry,
    build_registration,
)

TICK_SECONDS = 0.05
ROUND_TRIP_SECONDS = 0.004
# How long a check takes at most, and the way of its result.
CHECK_SECONDS = CHECK_TIMEOUT_SECONDS + ROUND_TRIP_SECONDS
OWN = "dc1"
DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")


class Region:
    """
    Data centres with control replicas and upstreams, as one instance of dc1 sees them.

    `is_lost(data centre)` states whether packets to it are lost. `has_checks` states whether a
    control replica of dc1 checks upstreams, `repeats_openings` whether callers repeat opening
    packets instead of requests: these are evidence from their first copy on.
    """

    def __init__(
        self, replicas_each=2, upstreams_each=3, has_checks=True, repeats_openings=False
    ):
        self.now = 0.0
        self.repeats_openings = repeats_openings
        self.has_checks = has_checks
        self.entry = FakeEntry()
        self.router = self.entry.cookie_router
        self.router.data_centre = self.router.choice.data_centre = OWN
        self.replicas = {
            f"10.{number}.0.{replica}:1": name
            for number, name in enumerate(DATA_CENTRES, start=1)
            for replica in range(1, replicas_each + 1)
        }
        registrations = [
            build_registration(
                number * upstreams_each + upstream,
                data_centre=name,
                lifetime_ms=600_000,
            )
            for number, name in enumerate(DATA_CENTRES)
            for upstream in range(upstreams_each)
        ]
        self.entry.update_upstreams(*registrations)
        self.entry.configure(
            ROUTES | {OTHER_FRONT_DOOR: attrs.evolve(ROUTES[FRONT_DOOR], idempotent=False)}
        )
        self.upstreams = {name: [] for name in DATA_CENTRES}
        for upstream in self.router.upstreams.by_index.values():
            self.upstreams[upstream.registration.data_centre].append(upstream)
        self.cut, self.dead, self.dark = set(), set(), set()
        self.found, self.probes = [], []
        # (upstream, when the result arrives) of the checks by a control replica of dc1.
        self.checks = []
        self.reachability = self.router.lost.reachability = Reachability(
            OWN,
            lambda: dict(self.replicas),
            lambda: self.router.upstreams.by_index.values(),
            self.probes.append,
            self.router.lost.is_overdue,
        )
        self.introduce()

    def is_lost(self, name):
        """Return whether packets between this instance and a data centre are lost."""
        return name in self.cut

    def introduce(self):
        """Let all replicas answer once, as after the start."""
        self.reachability.introduce(self.now)
        self.deliver()
        self.now += 1.0

    def deliver(self):
        """Deliver the probes; reachable replicas answer."""
        probes, self.probes[:] = list(self.probes), []
        for address in probes:
            name = self.replicas.get(address)
            if name and not self.is_lost(name) and address not in self.dead:
                self.reachability.handle_answer(address, self.now + ROUND_TRIP_SECONDS)

    def answer_probes(self, name):
        """Let the replicas of one data centre answer."""
        for address, data_centre in self.replicas.items():
            if data_centre == name:
                self.reachability.handle_answer(address, self.now + ROUND_TRIP_SECONDS)

    def tick(self, seconds=TICK_SECONDS):
        """Pass the time of one tick; what was sent before is answered by then."""
        self.deliver()
        self.now += seconds
        self.finish_checks()
        self.found += self.reachability.tick(self.now)

    def run(self, seconds):
        """Tick for some seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()

    def repeat(self, upstream, key=b"flow"):
        """Let a caller repeat what the upstream has not answered."""
        silence = upstream.silences.get(key)
        sent_at = silence.sent_at if silence else self.now - 0.2
        record_silence(upstream, key, sent_at, self.now, self.repeats_openings)
        self.checks.append((upstream, self.now + CHECK_SECONDS))
        self.reachability.handle_silence(upstream, self.now)

    def finish_checks(self):
        """Apply the checks that have ended: a connection to a lost data centre fails."""
        ended = [upstream for upstream, at in self.checks if at <= self.now]
        self.checks = [(upstream, at) for upstream, at in self.checks if at > self.now]
        lost = self.router.lost
        failed = {u.cookie for u in ended if self.is_lost(u.registration.data_centre)}
        accepted = {u.cookie for u in ended} - failed
        if self.has_checks:
            lost.set_unreachable(failed | (lost.unreachable_since.keys() - accepted), self.now)

    def answer(self, upstream):
        """Let an upstream answer."""
        upstream.silences.clear()
        upstream.answered_at = self.now
