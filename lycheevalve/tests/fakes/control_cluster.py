"""Control replicas and entry instances connected in memory, without sockets or a log."""

import json
import random

from lycheevalve.control import ControlReplica
from lycheevalve.coordination.feeds import LONG_POLL_SECONDS
from lycheevalve.entry import EntryInstance
from lycheevalve.schema.generated.messages import Change, Configuration, Fetch, Poll
from lycheevalve.tests.fakes.entry import ROUTES

STEP_SECONDS = 0.02
# A connection without an answer for this long is dropped, as in daemon/polling.py.
ANSWER_TIMEOUT_SECONDS = LONG_POLL_SECONDS + 0.7


def read_routes(document):
    """Return the routes of a document, which lists indices of ROUTES."""
    return {
        list(ROUTES)[number]: list(ROUTES.values())[number] for number in json.loads(document)
    }


class ControlCluster:
    """
    Several processes; `cuts` holds the pairs that cannot reach each other.

    `data_centres` lists those of the control replicas, if they are not all "dc1".
    """

    def __init__(self, controls=2, entries=2, seed=1, data_centres=()):
        self.data_centres = data_centres
        self.random = random.Random(seed)
        self.now = 100.0
        self.incarnation = 0
        self.running = {}
        self.events = []
        # (upstream, packet) of each packet sent; a reset has None as its upstream.
        self.sent = []
        self.cuts = set()
        # (subscriber, source) -> start time of the pending exchange.
        self.pending_since = {}
        # Reply of an announcement -> time of its acknowledgement, and the answer.
        self.acknowledged = {}
        self.acknowledgements = {}
        # The replicas that have answered probes, by the address of the entry instance.
        self.probed = {}
        # The addresses (ip, port) of upstreams that accept no connection.
        self.dark = set()
        self.seeds = [f"10.0.0.{number}:7000" for number in range(1, controls + 1)]
        self.entries = [f"10.0.1.{number}:7000" for number in range(1, entries + 1)]
        for address in self.seeds:
            self.start_control(address)
        for address in self.entries:
            self.start_entry(address)

    def start_control(self, address):
        """Start a control replica with an empty table of upstreams."""
        self.incarnation += 1
        data_centre = dict(zip(self.seeds, self.data_centres, strict=False)).get(address, "dc1")
        control = ControlReplica(address, data_centre, self.incarnation, self.random, self.now)
        control.subscriptions.set_seeds(self.seeds, self.now)
        control.current = True
        control.read_routes = read_routes
        self.set_process(address, control)

    def start_entry(self, address):
        """Start an entry instance without configuration or upstreams."""
        self.incarnation += 1
        entry = EntryInstance(
            address=address,
            data_centre="dc1",
            incarnation=self.incarnation,
            random=self.random,
            now=self.now,
            read_routes=read_routes,
            forward=lambda upstream, cookie, packet: self.sent.append((upstream, packet)),
            reset=lambda packet: self.sent.append((None, packet)),
            observe=lambda name, **details: self.events.append((address, name, details)),
            probe=lambda replica: self.probe(address, replica),
            collect_answers=lambda: self.probed.pop(address, ()),
            request_check=self.request_check,
        )
        entry.subscriptions.set_seeds(self.seeds, self.now)
        self.set_process(address, entry)

    def set_process(self, address, process):
        """Set the process at an address and drop its pending exchanges."""
        self.running[address] = process
        self.pending_since = {
            pair: at for pair, at in self.pending_since.items() if address not in pair
        }

    def stop(self, address):
        """Stop a process."""
        self.set_process(address, None)
        del self.running[address]

    def is_cut(self, one, other):
        """Return whether the connection of two processes is cut."""
        return frozenset((one, other)) in self.cuts

    def step(self):
        """Advance the time: run timers, connect, deliver requests and answers."""
        self.now += STEP_SECONDS
        for address, process in list(self.running.items()):
            process.run_timers(self.now)
            for source in process.subscriptions.active():
                self.connect(address, source)
        for address in list(self.running):
            self.deliver_requests(address)
        for address in self.seeds:
            if address in self.running:
                self.run_checks(self.running[address])
                self.deliver_answers(address)

    def probe(self, address, replica):
        """Deliver an entry instance's probe, which a running replica answers at once."""
        if replica in self.running and not self.is_cut(address, replica):
            self.probed.setdefault(address, []).append(replica)

    def request_check(self, address, cookie):
        """Deliver an instance's request for a check of an upstream."""
        if address in self.running:
            self.running[address].request_check(cookie, self.now)

    def run_checks(self, control):
        """Finish the checks that a control replica has queued."""
        queued, control.checks.queue = control.checks.queue, []
        for cookie, address in queued:
            control.handle_check_result(cookie, address not in self.dark, self.now)

    def connect(self, address, source):
        """Open a connection to a source, and drop one whose answer is overdue."""
        pair = (address, source)
        begun = self.pending_since.get(pair)
        if begun is not None and self.now - begun < ANSWER_TIMEOUT_SECONDS:
            return
        if begun is not None:
            del self.pending_since[pair]
        elif source in self.running and not self.is_cut(*pair):
            self.pending_since[pair] = self.now
            self.running[address].start_polling(source, self.now)

    def deliver_requests(self, address):
        """Deliver the messages that a process has queued for its sources."""
        process = self.running[address]
        queued, process.messages = process.messages, []
        for source, message in queued:
            control = self.running.get(source)
            if control is None or self.is_cut(address, source):
                continue
            self.pending_since[address, source] = self.now
            if isinstance(message, Poll):
                control.handle_poll(message, (address, process), self.now)
            elif isinstance(message, Fetch):
                answer = control.dissemination.build_fetched(message.revision)
                process.handle_message(source, answer, self.now)

    def deliver_answers(self, source):
        """Deliver the answers of a control replica."""
        control = self.running[source]
        answers, control.answers = control.answers, []
        for reply, answer in answers:
            if isinstance(reply, str):
                self.acknowledgements[reply] = answer
                if answer:
                    self.acknowledged.setdefault(reply, self.now)
                continue
            address, process = reply
            if self.running.get(address) is process and not self.is_cut(address, source):
                process.handle_message(source, answer, self.now)

    def run(self, seconds):
        """Advance the time by some seconds."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def run_until(self, condition, seconds=5.0):
        """Step until a condition holds; return the seconds it took, or None on timeout."""
        begun = self.now
        while self.now - begun < seconds:
            if condition():
                return self.now - begun
            self.step()
        return None

    def commit(self, revision, routes=(0, 1), controls=None):
        """Commit a configuration at some or all control replicas."""
        document = json.dumps(list(routes)).encode()
        change = Change(f"d{revision}", target_revision=revision, document=document)
        configuration = Configuration(revision, document=document)
        for address in controls or self.seeds:
            if address in self.running:
                self.running[address].handle_commit(configuration, [change], self.now)

    def revisions(self):
        """Return the revision that each running entry instance applies."""
        return [
            self.running[address].dissemination.applied.revision
            for address in self.entries
            if address in self.running
        ]
