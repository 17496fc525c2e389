"""Requests during retransmissions, owner changes, shedding, timeouts and failures."""

import collections

from aiocoap.numbers import codes, types
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from lycheevalve.flows import coap
from lycheevalve.tests.fakes.machines import FailingSiteMachine, SiteMachine
from lycheevalve.tests.fakes.site import Site

DEADLINE_SECONDS = 4.0


def build_request(caller, number, code=codes.POST, deadline_ms=None, block2=None):
    """Return (name, bytes) of a caller's request; the name is its payload."""
    name = f"{caller[0]}:{caller[1]}/{number}".encode()
    message = coap.Message(
        _mtype=types.CON,
        _mid=number,
        _token=number.to_bytes(2, "big"),
        code=code,
        uri_path=("uploads",),
        payload=name,
    )
    if block2 is not None:
        message.opt.block2 = block2
    if deadline_ms is not None:
        coap.set_deadline(message, deadline_ms)
    return name, message.encode()


class Ledger:
    """The requests of callers and their replies, compared with what upstreams ran."""

    def __init__(self, site):
        self.site = site
        # Name -> (caller, message ID, encoded request, code).
        self.requests = {}
        self.reply_codes = {}
        self.seen_answers = 0

    def send(self, caller, number, code=codes.POST, **options):
        """Send a request for the first time; return its name."""
        name, data = build_request(caller, number, code, **options)
        self.requests[name] = (caller, number, data, code)
        self.retransmit(name)
        return name

    def retransmit(self, name):
        """Retransmit a request, as its caller does until it is answered."""
        caller, _, data, _ = self.requests[name]
        self.site.send(caller, "nightsync", "request", data)

    def runs(self):
        """Return how many times each request ran, summed over all upstreams."""
        return sum((u.runs for u in self.site.upstreams.values()), collections.Counter())

    def check(self):
        """
        Compare the replies to callers with what the upstreams ran.

        A non-idempotent request ran at most once, exactly once if a reply is successful,
        and never if one is a refusal; a successful reply is that of the caller's own
        request.
        """
        names = {(caller, number): name for name, (caller, number, *_) in self.requests.items()}
        for _, caller, _, payload in self.site.answers[self.seen_answers :]:
            message = coap.decode_message(payload)
            name = names[caller, message.mid]
            assert message.token == self.requests[name][1].to_bytes(2, "big")
            self.reply_codes.setdefault(name, []).append(message.code)
            if message.code == codes.CHANGED:
                assert message.payload == name
        self.seen_answers = len(self.site.answers)
        runs = self.runs()
        for name, (_, _, _, code) in self.requests.items():
            if code != codes.POST:
                continue
            assert runs[name] <= 1, f"{name} ran {runs[name]} times"
            if codes.SERVICE_UNAVAILABLE in self.reply_codes.get(name, ()):
                assert runs[name] == 0, f"{name} ran, but it was refused"
            if codes.CHANGED in self.reply_codes.get(name, ()):
                assert runs[name] == 1


class RequestMachine(FailingSiteMachine):
    """Callers that send and retransmit requests while instances and upstreams fail."""

    network = {"loss": 0.03, "duplication": 0.05}

    def on_started(self):
        self.ledger = Ledger(self.site)
        self.number = 0

    @precondition(SiteMachine.is_started)
    @rule(count=st.integers(1, 6), idempotent=st.booleans())
    def send_requests(self, count, idempotent):
        for _ in range(count):
            self.number += 1
            code = codes.PUT if idempotent else codes.POST
            self.ledger.send(self.next_caller(), self.number, code)

    @precondition(SiteMachine.is_started)
    @rule(copies=st.integers(1, 3))
    def retransmit(self, copies):
        for name in list(self.ledger.requests)[-12:]:
            for _ in range(copies):
                self.ledger.retransmit(name)
        self.site.run(0.05)

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 2), mode=st.sampled_from(["run", "shed", "swallow"]))
    def change_upstream(self, number, mode):
        list(self.site.upstreams.values())[number].mode = mode

    @precondition(SiteMachine.is_started)
    @rule(number=st.integers(0, 2), delay=st.sampled_from([0.02, 0.5, 3.0]))
    def slow_upstream(self, number, delay):
        list(self.site.upstreams.values())[number].delay = delay

    @precondition(SiteMachine.is_started)
    @rule()
    def check_ledger(self):
        self.ledger.check()

    def teardown(self):
        if self.site is not None:
            self.site.run(DEADLINE_SECONDS + 1.0)
            self.ledger.check()


TestRequests = RequestMachine.TestCase


def start(seed, **options):
    """Return a site that has settled, and its ledger."""
    site = Site(seed, **options)
    site.run_until_settled()
    return site, Ledger(site)


def start_with_request(seed, delay):
    """Return (site, ledger, caller, name, owner) with a request in flight at its owner."""
    site, ledger = start(seed)
    for upstream in site.upstreams.values():
        upstream.delay = delay
    caller = ("10.5.0.1", 5000)
    name = ledger.send(caller, 7)
    site.run(0.2)
    owner = next(n for n in site.names if site.running[n].requests.count_unfinished())
    return site, ledger, caller, name, owner


def answer_codes(site, caller):
    """Return the codes of a caller's answers."""
    return [coap.decode_message(payload).code for payload in site.answers_to(caller)]


class TestDuplicates:
    """Retransmissions of a request."""

    def test_duplicates_get_the_same_answer(self):
        site, ledger = start(1)
        caller = ("10.5.0.1", 5000)
        name = ledger.send(caller, 7)
        for _ in range(5):
            ledger.retransmit(name)
        site.run(0.5)
        ledger.retransmit(name)
        site.run(0.5)
        assert ledger.runs()[name] == 1
        assert set(answer_codes(site, caller)) == {codes.CHANGED}
        ledger.check()

    def test_duplicate_during_a_graceful_stop_gets_the_same_answer(self):
        site, ledger, caller, name, owner = start_with_request(2, 1.5)
        site.stop(owner)
        site.run(0.5)
        ledger.retransmit(name)
        site.run(3.0)
        assert ledger.runs()[name] == 1
        assert set(answer_codes(site, caller)) == {codes.CHANGED}

    def test_duplicate_after_owner_failure_has_an_unknown_outcome(self):
        site, ledger, caller, name, owner = start_with_request(3, 30.0)
        site.kill(owner)
        site.run(2.0)
        ledger.retransmit(name)
        site.run(0.5)
        assert ledger.runs()[name] == 1
        assert answer_codes(site, caller) == [codes.GATEWAY_TIMEOUT]

    def test_restarted_owner_does_not_reuse_its_previous_claim(self):
        site, ledger, caller, name, owner = start_with_request(13, 30.0)
        site.kill(owner)
        site.run(2.0)
        site.start(owner)
        site.run(4.0)
        assert site.running[owner].claims.informed
        ledger.retransmit(name)
        site.run(0.5)
        assert ledger.runs()[name] == 1
        assert answer_codes(site, caller) == [codes.GATEWAY_TIMEOUT]


class TestRefusalsAndTimeouts:
    """Requests that cannot be answered get a final reply early."""

    def test_refusal_is_immediate_with_jittered_max_age(self):
        """A refused request never runs, also if retransmitted when capacity returns."""
        site, ledger = start(4)
        for upstream in site.upstreams.values():
            upstream.draining = True
        site.run(2.0)
        callers = [(f"10.5.1.{number + 1}", 5000) for number in range(60)]
        sent_at = site.now
        for number, caller in enumerate(callers):
            ledger.send(caller, number)
        site.run(0.2)
        times = set()
        for at, _, _, payload in site.answers:
            message = coap.decode_message(payload)
            assert message.code == codes.SERVICE_UNAVAILABLE
            assert at - sent_at < 0.2
            times.add(message.opt.max_age)
        assert len(site.answers) == 60
        assert min(times) >= 1 and len(times) >= 3
        ledger.check()
        for upstream in site.upstreams.values():
            upstream.draining = False
        site.run(3.0)
        for name in ledger.requests:
            ledger.retransmit(name)
        site.run(1.0)
        ledger.check()

    def test_unanswered_request_has_an_unknown_outcome_before_the_deadline(self):
        site, ledger = start(5)
        for number in range(60):
            ledger.send((f"10.5.1.{number + 1}", 5000), number)
            site.run(0.1)
        for upstream in site.upstreams.values():
            upstream.mode = "swallow"
        caller = ("10.5.0.1", 5000)
        ledger.send(caller, 7)
        site.run(DEADLINE_SECONDS / 2)
        assert answer_codes(site, caller) == [codes.GATEWAY_TIMEOUT]
        assert any(upstream.cancelled for upstream in site.upstreams.values())

    def test_queued_request_is_refused_if_it_cannot_finish(self):
        site, ledger = start(6, nightsync=1)
        upstream = next(iter(site.upstreams.values()))
        upstream.delay = 1.0
        for number in range(40):
            ledger.send((f"10.5.1.{number + 1}", 5000), number, deadline_ms=1500)
        site.run(2.0)
        ledger.check()
        assert len(ledger.reply_codes) == 40
        kinds = {code for replies in ledger.reply_codes.values() for code in replies}
        assert codes.SERVICE_UNAVAILABLE in kinds


class TestRetries:
    """Retries of idempotent requests and of shed ones."""

    def test_idempotent_request_is_retried_at_another_upstream(self):
        site, ledger = start(7)
        for number in range(12):
            next(iter(site.upstreams.values())).mode = "swallow"
            ledger.send((f"10.5.1.{number + 1}", 5000), number, codes.PUT)
            site.run(0.05)
        site.run(3.0)
        reply_codes = [answer_codes(site, caller) for caller, *_ in ledger.requests.values()]
        assert all(codes.CHANGED in codes_ for codes_ in reply_codes)

    def test_retries_stay_within_the_budget_if_all_fail(self):
        """The limit is 10 % of the requests, and a burst of 10 for each instance."""
        site, ledger = start(8)
        for upstream in site.upstreams.values():
            upstream.mode = "shed"
        for number in range(1500):
            ledger.send((f"10.5.{number // 250}.{number % 250 + 1}", 5000), number)
            if number % 20 == 0:
                site.run(0.02)
        site.run(1.0)
        retried = sum(i.counters.get("retried", 0) for i in site.running.values())
        assert 0 < retried <= 1500 * 0.1 + 10 * len(site.names)
        ledger.check()


class TestBlocks:
    """Block-wise transfers."""

    def test_later_blocks_go_to_the_same_upstream(self):
        site, ledger = start(9)
        for start_number in range(0, 100, 10):
            caller = (f"10.5.1.{start_number + 1}", 5000)
            for block in range(4):
                number = start_number + block
                ledger.send(caller, number, codes.GET, block2=(block, False, 4))
                site.run(0.1)
        runs = [set(u.runs) for u in site.upstreams.values()]
        for start_number in range(0, 100, 10):
            caller = f"10.5.1.{start_number + 1}:".encode()
            served = [any(name.startswith(caller) for name in names) for names in runs]
            assert sum(served) == 1

    def test_block_transfer_of_a_lost_upstream_is_ended(self):
        site, ledger = start(10)
        caller = ("10.5.0.1", 5000)
        ledger.send(caller, 1, codes.GET, block2=(0, False, 4))
        site.run(0.2)
        for upstream in site.upstreams.values():
            upstream.up = False
        site.run(5.0)
        ledger.send(caller, 2, codes.GET, block2=(1, False, 4))
        site.run(0.2)
        assert answer_codes(site, caller)[-1] == codes.REQUEST_ENTITY_INCOMPLETE


class TestDrain:
    """Upstreams drained by operators."""

    def test_no_new_request_after_three_seconds(self):
        site, ledger = start(11)
        drained = next(iter(site.upstreams.values()))
        site.configure(drained=[drained.address])
        drained_at = site.now
        for number in range(100):
            ledger.send((f"10.5.1.{number + 1}", 5000), number)
            site.run(0.1)
        assert all(at <= drained_at + 3.0 for at in drained.new_work)


class TestPing:
    """CoAP pings."""

    def test_ping_is_answered_with_a_reset(self):
        site, _ = start(12)
        ping = coap.Message(_mtype=types.CON, _mid=9, code=codes.EMPTY).encode()
        site.send(("10.5.0.1", 5000), "nightsync", "request", ping)
        site.run(0.2)
        (payload,) = site.answers_to(("10.5.0.1", 5000))
        assert coap.decode_message(payload).mtype is types.RST
