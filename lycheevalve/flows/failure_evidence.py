"""
Evidence that an upstream has failed, sound enough to reset its open flows.

Two unanswered retransmissions suffice to place new flows elsewhere, see
passive_health.py. A reset breaks an open flow, so it needs evidence against the
upstream itself. A caller also retransmits while its packets wait in this instance's own
link or process, and when an answer takes longer than its timeout:

- A packet counts only from the moment at which it has provably left this instance. The
  link is a queue: once any later packet has been answered, all earlier ones have left.
- Time counts up to the arrival of the last retransmission, or to the departure of the
  last packet that has been answered: packets to this instance queue too, and an answer
  may be on its way.
- Opening packets and every second data packet are acknowledged at once, by a busy
  upstream too. A single data packet is acknowledged by its answer or after its first copy.
- One caller or its path may fail, so two flows have to agree unless one waits for long.

An upstream that has failed is remembered until it answers: then one silent flow suffices.
Where few flows use each upstream, those of a data centre that is cut off agree with each
other: several of its upstreams are silent, and none of them answers anyone here. That does
not suffice against an upstream without a silent flow: several may have failed at once.
"""

import bisect

import attrs

# How long an upstream takes at most to acknowledge a packet that does not wait for a slot.
ACKNOWLEDGEMENT_SECONDS = 0.15
# How long an upstream takes at most to answer a request, with a full queue before it; a
# multiple of the service's mean time to an answer where that is longer.
ANSWER_SECONDS = 0.5
ANSWER_TIME_FACTOR = 4.0
# A single packet counts from this copy on.
MIN_COPIES = 2
# A single flow without any other evidence: three retransmissions and this long.
SINGLE_FLOW_SECONDS = 1.0
SINGLE_FLOW_COPIES = 3
AGREEING_FLOWS = 2
# The weight of an answer in the mean time to an answer of its service.
MEAN_WEIGHT = 0.05
# Evidence expires when the caller's next retransmission is overdue: the flow has been answered
# or has moved to another instance. Retransmissions are sent after 0.2, 0.6 and 1.4 s.
EVIDENCE_SECONDS = 0.8
FIRST_COPY_EVIDENCE_SECONDS = 0.5
# An upstream or data centre that has failed may have recovered unnoticed after this time.
MEMORY_SECONDS = 3.0
DELIVERY_RETENTION_SECONDS = 4.0
# A data centre is silent if this many flows on this many of its upstreams are.
DATA_CENTRE_FLOWS = 3
DATA_CENTRE_UPSTREAMS = 2
# A silent data centre gets no new flow for this long; then a few flows find out.
AVOIDANCE_SECONDS = 1.5


@attrs.define
class Deliveries:
    """
    Which packets of this instance have left it, as proved by answers.

    The lists hold pairs of times in seconds: a packet forwarded at `sent_at` was answered
    by `proved_at`. Both increase.
    """

    sent_at: list = attrs.field(factory=list)
    proved_at: list = attrs.field(factory=list)

    def record(self, sent_at, now):
        """Record that a packet forwarded at `sent_at` has been answered by now."""
        if self.sent_at and sent_at <= self.sent_at[-1]:
            return
        self.sent_at.append(sent_at)
        self.proved_at.append(now)
        if now - self.proved_at[0] > 2 * DELIVERY_RETENTION_SECONDS:
            kept = bisect.bisect(self.proved_at, now - DELIVERY_RETENTION_SECONDS)
            del self.sent_at[:kept], self.proved_at[:kept]

    def last_sent_at(self):
        """Return when the last packet that has been answered was forwarded."""
        return self.sent_at[-1] if self.sent_at else float("-inf")

    def left_by(self, sent_at):
        """Return by when a packet forwarded at `sent_at` had left, or None if unknown."""
        index = bisect.bisect_left(self.sent_at, sent_at)
        return self.proved_at[index] if index < len(self.sent_at) else None

    def clear(self):
        """Discard all records, after a pause of the process."""
        self.sent_at.clear()
        self.proved_at.clear()


@attrs.define
class Silence:
    """Packets of one flow that its upstream has not answered; times in seconds."""

    # When the newest of them was forwarded, and when the last retransmission arrived.
    sent_at: float
    repeated_at: float
    copies: int = 1
    # Whether the upstream acknowledges them without waiting for a slot.
    acknowledged_at_once: bool = False

    def is_unacknowledged(self):
        """
        Return whether the caller would not have sent the last copy to a working upstream.

        A single packet may be at work after its first copy. That copy is the second packet
        that the upstream gets, which it acknowledges at once.
        """
        return self.acknowledged_at_once or self.copies >= MIN_COPIES

    def is_valid(self, now):
        """Return whether the caller may still be waiting for an answer here."""
        is_first = self.copies == 1
        limit = FIRST_COPY_EVIDENCE_SECONDS if is_first else EVIDENCE_SECONDS
        return now - self.repeated_at <= limit


@attrs.define
class FailureDetector:
    """What one instance has seen of answers, and the failures that it concludes."""

    deliveries: Deliveries = attrs.field(factory=Deliveries)
    # The mean time from a request to its acknowledged answer, by service.
    mean_seconds: dict[str, float] = attrs.field(factory=dict)
    # When a data centre was last found silent.
    silent_since: dict[str, float] = attrs.field(factory=dict)

    def clear(self):
        """Discard what is out of date after a pause of the process."""
        self.deliveries.clear()
        self.silent_since.clear()

    def record_answer_time(self, service, seconds):
        """Update the mean time to an answer of a service."""
        mean = self.mean_seconds.get(service, seconds)
        self.mean_seconds[service] = mean + MEAN_WEIGHT * (seconds - mean)

    def is_overdue(self, upstream, silence, seconds):
        """Return whether a working upstream would have ended a silence of `seconds`."""
        mean = self.mean_seconds.get(upstream.service, 0.0)
        return silence.is_unacknowledged() and seconds >= answer_time(silence, mean)

    def list_waits(self, upstream, answered_at, now):
        """Return (silence, seconds it has provably lasted) of the silences that are valid."""
        return [
            (silence, measure_wait(silence, answered_at, self.deliveries))
            for silence in upstream.silences.values()
            if silence.is_valid(now)
        ]

    def list_overdue(self, upstream, waits):
        """Return the silences that a working upstream would have ended by now."""
        return [s for s, wait in waits if self.is_overdue(upstream, s, wait)]

    def has_failed(self, upstream, now):
        """
        Return whether an upstream has failed, on evidence of its silent flows.

        Expired evidence is removed.
        """
        for key, silence in list(upstream.silences.items()):
            if not silence.is_valid(now):
                del upstream.silences[key]
        mean = self.mean_seconds.get(upstream.service, 0.0)
        waits = self.list_waits(upstream, upstream.answered_at, now)
        overdue = self.list_overdue(upstream, waits)
        single_flow_seconds = max(SINGLE_FLOW_SECONDS, ANSWER_TIME_FACTOR * mean)
        failed = len(overdue) >= AGREEING_FLOWS or any(
            silence.copies >= SINGLE_FLOW_COPIES and wait >= single_flow_seconds
            for silence, wait in waits
        )
        if not failed and is_remembered(upstream.silent_since, upstream.answered_at, now):
            failed = any(wait >= ACKNOWLEDGEMENT_SECONDS for _, wait in waits)
        if failed:
            upstream.silent_since = now
        return failed

    def is_in_silent_data_centre(self, upstream, now):
        """Return whether an upstream's data centre was found silent and has not answered."""
        since = self.silent_since.get(upstream.registration.data_centre)
        if since is None or now - since > AVOIDANCE_SECONDS:
            return False
        return upstream.answered_at < since

    def is_cut_off(self, upstream, now):
        """
        Return whether an upstream is silent as its data centre is.

        Several upstreams of a data centre may fail at once while the others work, so a
        silent flow of its own is needed.
        """
        return self.is_in_silent_data_centre(upstream, now) and any(
            wait >= ACKNOWLEDGEMENT_SECONDS
            for _, wait in self.list_waits(upstream, upstream.answered_at, now)
        )

    def find_silent_data_centres(self, upstreams, now):
        """
        Find the data centres whose upstreams all seem unreachable.

        Return the names of those that were not known as silent.
        """
        answered_at, members = {}, {}
        for upstream in upstreams:
            name = upstream.registration.data_centre
            answered_at[name] = max(answered_at.get(name, 0.0), upstream.answered_at)
            if upstream.silences:
                members.setdefault(name, []).append(upstream)
        found = []
        for name, silent in members.items():
            if self.is_data_centre_silent(name, silent, answered_at[name], now):
                if now - self.silent_since.get(name, float("-inf")) > AVOIDANCE_SECONDS:
                    found.append(name)
                self.silent_since[name] = now
        return found

    def is_data_centre_silent(self, name, upstreams, answered_at, now):
        """
        Return whether enough flows on enough upstreams of a data centre are silent.

        One suffices if it is remembered as silent.
        """
        waits = [self.list_waits(upstream, answered_at, now) for upstream in upstreams]
        if is_remembered(self.silent_since.get(name, float("-inf")), answered_at, now):
            return any(wait >= ACKNOWLEDGEMENT_SECONDS for own in waits for _, wait in own)
        found = map(self.list_overdue, upstreams, waits)
        found = [silences for silences in found if not is_one_lost_packet(silences)]
        flows = sum(map(len, found))
        return flows >= DATA_CENTRE_FLOWS and len(found) >= DATA_CENTRE_UPSTREAMS


def is_one_lost_packet(silences):
    """Return whether there is no silence, or a single one that one lost packet explains."""
    return not silences or (len(silences) == 1 and silences[0].copies == 1)


def record_silence(upstream, key, sent_at, now, acknowledged_at_once):
    """Record that the caller of a flow retransmitted what an upstream has not answered."""
    silence = upstream.silences.get(key)
    if silence is None or silence.sent_at != sent_at:
        upstream.silences[key] = Silence(sent_at, now, 1, acknowledged_at_once)
        return
    silence.copies += 1
    silence.repeated_at = now
    silence.acknowledged_at_once = silence.acknowledged_at_once or acknowledged_at_once


def is_remembered(silent_since, answered_at, now):
    """Return whether what failed has not answered since, and that is not long ago."""
    return now - silent_since < MEMORY_SECONDS and answered_at < silent_since


def measure_wait(silence, answered_at, deliveries):
    """Return for how many seconds a packet has provably been unanswered."""
    left_by = deliveries.left_by(silence.sent_at)
    if left_by is None:
        return 0.0
    until = max(silence.repeated_at, deliveries.last_sent_at())
    return until - max(left_by, answered_at)


def answer_time(silence, mean_seconds):
    """Return how many seconds a working upstream may take to answer."""
    if silence.acknowledged_at_once:
        return ACKNOWLEDGEMENT_SECONDS
    return max(ANSWER_SECONDS, ANSWER_TIME_FACTOR * mean_seconds)
