"""
Passive health checks: an upstream's health, inferred from callers' packets.

Answers bypass this instance, but callers' packets reflect them: acknowledgement
numbers advance while the upstream answers, and callers retransmit data that was
not acknowledged. Retransmissions without any answer mean that the upstream, or
the path to it, has failed.
"""

import attrs

from lycheevalve.flows.load import note_failure

# A retransmission counts if the data was first forwarded at least this long ago:
# callers retransmit after 0.2 s, and a stalled process forwards copies back to back.
REPEAT_SECONDS = 0.15
# Unanswered retransmissions that make an upstream unresponsive; one may be a lost packet.
SILENT_REPEATS = 2
# An upstream that answered within this time is not unresponsive, despite retransmissions.
ANSWER_SECONDS = 0.4
# Flows on an unresponsive upstream are reset only while callers retransmit, which they
# do at least this often.
REPEATED_SECONDS = 2.0
# An upstream that answered within this time, with no retransmission unanswered, is healthy.
ANSWERING_SECONDS = 1.0
# An unresponsive upstream that announces itself again gets at most one new flow per
# interval, as a probe. Retransmitted opening packets are not used for probes.
PROBE_SECONDS = 1.0
SEQUENCE_MODULUS = 1 << 32


# What a packet indicates about its upstream.
ANSWERED = "answered"
REPEATED = "repeated"


@attrs.define(eq=False)
class Flow:
    """The state of a flow, used for health checks only; losing it breaks no flow."""

    upstream: object
    seen_at: float
    # The sequence number after the newest forwarded data, and when it was forwarded.
    sent: int | None = None
    sent_at: float = 0.0
    acknowledged: int | None = None
    # Whether it was opened here and the upstream has not answered yet.
    opening: bool = False
    # Whether the newest data was answered, so that nothing seen here is in flight.
    idle: bool = False
    # The caller's last packet without data, from which a reset can be built.
    packet: object = None
    # The id of the newest request found in its data, and how long the answer took.
    request: str = ""
    answer_seconds: float = 0.0


def is_after(one, other):
    """Return whether a sequence number follows another one, modulo 2**32."""
    return 0 < (one - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def note_packet(flow, packet, now):
    """Update the state from a packet of an open flow; return ANSWERED, REPEATED or None."""
    shown = None
    if flow.opening or is_progress(flow, packet):
        # A new request also acknowledges the end of the previous answer, which may have
        # arrived at any time since the previous request.
        is_old = packet.size and not flow.opening
        note_answer(flow.upstream, flow.sent_at if is_old else now)
        if not (is_old or flow.idle or flow.sent is None):
            flow.answer_seconds, shown = now - flow.sent_at, ANSWERED
        flow.idle = True
    flow.opening = False
    flow.acknowledged = packet.acknowledged
    if not packet.size:
        flow.packet = packet
        return shown
    flow.idle = False
    end = (packet.sequence + packet.size) % SEQUENCE_MODULUS
    if flow.sent is None or is_after(end, flow.sent):
        flow.sent, flow.sent_at = end, now
        flow.request = packet.request or flow.request
    elif now - flow.sent_at >= REPEAT_SECONDS:
        note_repeat(flow.upstream, now)
        shown = REPEATED
    return shown


def is_progress(flow, packet):
    """Return whether a packet acknowledges more than the previous one."""
    known = flow.acknowledged
    return known is not None and is_after(packet.acknowledged, known)


def note_answer(upstream, at):
    """Record that an upstream answered at a time, or later."""
    upstream.answered_at = max(upstream.answered_at, at)
    if at >= upstream.failed_at:
        upstream.failures = 0.0
        upstream.unanswered = 0


def note_repeat(upstream, now):
    """Record that a caller retransmitted data that an upstream has not answered."""
    upstream.unanswered += 1
    note_failure(upstream, now)


def is_silent(upstream, now):
    """Return whether an upstream does not answer, as seen from this instance."""
    return upstream.unanswered >= SILENT_REPEATS and now - upstream.answered_at > ANSWER_SECONDS


def is_still_silent(upstream, now):
    """Return whether it is unresponsive and callers still retransmit; else it may be back."""
    return is_silent(upstream, now) and now - upstream.failed_at < REPEATED_SECONDS


def is_answering(upstream, now):
    """Return whether an upstream answered recently and left no retransmission unanswered."""
    return upstream.unanswered == 0 and now - upstream.answered_at < ANSWERING_SECONDS


def avoid_silent(candidates, may_probe, now):
    """Return the responsive candidates, or one unresponsive that is due for a probe."""
    answering = [u for u in candidates if not is_silent(u, now)]
    if not answering:
        # It is more likely that the path from here failed than that all of them did.
        return candidates
    due = [u for u in candidates if may_probe and is_due(u, now)]
    return due[:1] or answering


def is_due(upstream, now):
    """Return whether an unresponsive upstream announced itself since and may be probed."""
    announced = upstream.reported_at > upstream.failed_at
    return is_silent(upstream, now) and announced and now - upstream.probed_at > PROBE_SECONDS
