"""
Passive health checks: an upstream's health, inferred from callers' packets.

Answers bypass this instance, but callers' packets reflect them: acknowledgement
numbers advance while the upstream answers, and callers retransmit data that was
not acknowledged. Retransmissions without any answer mean that the upstream, or
the path to it, has failed.
"""

import attrs

from lycheevalve.flows.failure_evidence import record_silence
from lycheevalve.flows.load import record_failure

# A retransmission counts if the data was first forwarded at least this long ago:
# callers retransmit after 0.2 s, and a stalled process forwards copies back to back.
MIN_RETRANSMIT_INTERVAL_SECONDS = 0.15
# Unanswered retransmissions that make an upstream unresponsive; one may be a lost packet.
UNRESPONSIVE_RETRANSMISSIONS = 2
# An upstream that answered within this time is not unresponsive, despite retransmissions.
RECENT_ANSWER_SECONDS = 0.4
# Flows on an unresponsive upstream are reset only while callers retransmit, which they
# do at least this often.
MAX_RETRANSMIT_INTERVAL_SECONDS = 2.0
# An upstream that answered within this time, with no retransmission unanswered, is healthy.
HEALTHY_ANSWER_SECONDS = 1.0
# An unresponsive upstream that announces itself again gets at most one new flow per
# interval, as a probe. Retransmitted opening packets are not used for probes.
PROBE_INTERVAL_SECONDS = 1.0
SEQUENCE_MODULUS = 1 << 32
# A caller has at most this many bytes in flight: 16 packets with full data.
MAX_IN_FLIGHT_BYTES = 16 * 1200


# What a packet indicates about its upstream.
ANSWERED = "answered"
RETRANSMITTED = "repeated"


@attrs.define(eq=False)
class FlowRecord:
    """The state of a flow, used for health checks only; losing it breaks no flow."""

    upstream: object
    last_packet_at: float
    # The sequence number after the newest forwarded data, and when it was forwarded.
    sent: int | None = None
    sent_at: float = 0.0
    # The new data packets since the last answer: when the first was forwarded, their number.
    first_sent_at: float = 0.0
    unanswered_packets: int = 0
    # Data before this sequence number is known to be acknowledged.
    window_start: int | None = None
    acknowledged: int | None = None
    # Whether it was opened here and the upstream has not answered yet.
    opening: bool = False
    # Whether the newest data was answered, so that nothing seen here is in flight.
    idle: bool = False
    # The caller's last packet without data, from which a reset can be built.
    last_ack_packet: object = None
    # The id of the newest request found in its data, and how long the answer took.
    request: str = ""
    answer_seconds: float = 0.0


def is_after(one, other):
    """Return whether a sequence number follows another one, modulo 2**32."""
    return 0 < (one - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def update_from_packet(flow, packet, now):
    """Apply a packet of an open flow; return ANSWERED, RETRANSMITTED or None."""
    observation = None
    upstream, key = flow.upstream, packet.flow_key
    # Without data forwarded here, the acknowledged answer belongs to a request that another
    # instance forwarded; it does not prove that the upstream is reached from here.
    if flow.opening or (flow.sent is not None and advances_acknowledgement(flow, packet)):
        upstream.silences.pop(key, None)
        flow.unanswered_packets = 0
        # A new request also acknowledges the end of the previous answer, which may have
        # arrived at any time since the previous request.
        is_piggybacked = packet.size and not flow.opening
        record_answer(upstream, flow.sent_at if is_piggybacked else now)
        if not (is_piggybacked or flow.idle or flow.sent is None):
            flow.answer_seconds, observation = now - flow.sent_at, ANSWERED
        flow.idle = True
    flow.opening = False
    flow.acknowledged = packet.acknowledged
    if not packet.size:
        flow.last_ack_packet = packet
        return observation
    flow.idle = False
    end = (packet.sequence + packet.size) % SEQUENCE_MODULUS
    if flow.sent is None or is_after(end, flow.sent):
        if moves_window(flow, packet.sequence, end):
            upstream.silences.pop(key, None)
            record_answer(upstream, now)
        flow.sent, flow.sent_at = end, now
        if not flow.unanswered_packets:
            flow.first_sent_at = now
        flow.unanswered_packets += 1
        flow.request = packet.request or flow.request
    elif now - flow.sent_at >= MIN_RETRANSMIT_INTERVAL_SECONDS:
        record_retransmission(upstream, now)
        # An upstream acknowledges every second packet at once.
        record_silence(upstream, key, flow.sent_at, now, flow.unanswered_packets > 1)
        observation = RETRANSMITTED
    return observation


def moves_window(flow, start, end):
    """
    Return whether new data proves that the upstream acknowledged earlier data.

    The caller of an upload sends more than fits into its window only after that.
    """
    if flow.window_start is None:
        flow.window_start = start
    excess = (end - flow.window_start) % SEQUENCE_MODULUS - MAX_IN_FLIGHT_BYTES
    if excess <= 0:
        return False
    flow.window_start = (flow.window_start + excess) % SEQUENCE_MODULUS
    return True


def advances_acknowledgement(flow, packet):
    """Return whether a packet acknowledges more than the previous one."""
    previous = flow.acknowledged
    return previous is not None and is_after(packet.acknowledged, previous)


def record_answer(upstream, at):
    """Record that an upstream answered at the time `at` or later."""
    upstream.answered_at = max(upstream.answered_at, at)
    if at >= upstream.failed_at:
        upstream.failures = 0.0
        upstream.unanswered = 0


def record_retransmission(upstream, now):
    """Record that a caller retransmitted data that an upstream has not answered."""
    upstream.unanswered += 1
    record_failure(upstream, now)


def is_unresponsive(upstream, now):
    """Return whether retransmissions to an upstream remain unanswered at this instance."""
    return (
        upstream.unanswered >= UNRESPONSIVE_RETRANSMISSIONS
        and now - upstream.answered_at > RECENT_ANSWER_SECONDS
    )


def is_unresponsive_now(upstream, now):
    """
    Return whether an upstream is unresponsive and callers retransmitted recently.

    Without recent retransmissions, it may have recovered unnoticed.
    """
    return (
        is_unresponsive(upstream, now)
        and now - upstream.failed_at < MAX_RETRANSMIT_INTERVAL_SECONDS
    )


def is_healthy(upstream, now):
    """Return whether an upstream answered recently and left no retransmission unanswered."""
    return upstream.unanswered == 0 and now - upstream.answered_at < HEALTHY_ANSWER_SECONDS


def exclude_unresponsive(candidates, may_probe, now):
    """Return the responsive candidates, or only an unresponsive one that is due for a probe."""
    responsive = [u for u in candidates if not is_unresponsive(u, now)]
    if not responsive:
        # It is more likely that the path from here failed than that all of them did.
        return candidates
    due = [u for u in candidates if may_probe and is_probe_due(u, now)]
    return due[:1] or responsive


def is_probe_due(upstream, now):
    """Return whether an unresponsive upstream announced itself since and may be probed."""
    # A lease that holds was renewed within its lifetime, also where renewals are not reported.
    lifetime = upstream.registration.lifetime_ms / 1000
    announced = upstream.reported_at > upstream.failed_at or now - upstream.failed_at > lifetime
    return (
        is_unresponsive(upstream, now)
        and announced
        and now - upstream.probed_at > PROBE_INTERVAL_SECONDS
    )
