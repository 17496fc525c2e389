"""
Evidence of silence: what callers' packets show about an upstream.

Answers do not pass here, but a caller's packets say what has reached it: its
acknowledgements move on while the upstream answers, and it repeats what was not
acknowledged. Repetitions of which none was answered mean that the upstream, or
the way to it, is gone.
"""

import attrs

from lycheevalve.flows.limits import note_failure

# A repetition counts when the first copy was forwarded at least this long ago:
# callers repeat after 0.2 s, and a stalled process forwards copies back to back.
REPEAT_SECONDS = 0.15
# So many unanswered repetitions mean silence; one may be a lost packet.
SILENT_REPEATS = 2
# An upstream that answered within this time is not silent, whatever is repeated.
ANSWER_SECONDS = 0.4
# Flows leave a silent upstream only while callers repeat: they do so at least this often.
REPEATED_SECONDS = 2.0
# One that answered within this time, and owes nothing, is known to answer.
ANSWERING_SECONDS = 1.0
# A silent upstream that announces itself gets one new flow in this time, to find
# out whether it is back; first packets that were sent before are not risked.
PROBE_SECONDS = 1.0
SEQUENCE_MODULUS = 1 << 32


# What a packet shows of its upstream.
ANSWERED = "answered"
REPEATED = "repeated"


@attrs.define(eq=False)
class Flow:
    """What this instance remembers of a flow; losing it breaks nothing."""

    upstream: object
    seen_at: float
    # The end of the newest data that was forwarded, and when that was.
    sent: int | None = None
    sent_at: float = 0.0
    acknowledged: int | None = None
    # Its first packet was placed here, and the upstream has not answered yet.
    opening: bool = False
    # The newest data was answered, so nothing is under way as far as seen from here.
    idle: bool = False
    # Its caller's last packet without data, from which a reset can be built.
    packet: object = None
    # The newest request that showed in its bytes, and how long its answer took.
    request: str = ""
    answer_seconds: float = 0.0


def is_after(one, other):
    """Return whether a sequence number comes after another one, around the wrap."""
    return 0 < (one - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def note_packet(flow, packet, now):
    """Learn from a packet of an open flow; return ANSWERED, REPEATED or None."""
    shown = None
    if flow.opening or is_progress(flow, packet):
        # A new request also acknowledges the end of the answer before it, which may
        # have come at any time since the request before it.
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
    """Return whether a packet acknowledges more than the one before."""
    known = flow.acknowledged
    return known is not None and is_after(packet.acknowledged, known)


def note_answer(upstream, at):
    """Note that an upstream answered, at a time or later."""
    upstream.answered_at = max(upstream.answered_at, at)
    if at >= upstream.failed_at:
        upstream.failures = 0.0
        upstream.unanswered = 0


def note_repeat(upstream, now):
    """Note that a caller repeated what an upstream has not answered."""
    upstream.unanswered += 1
    note_failure(upstream, now)


def is_silent(upstream, now):
    """Return whether an upstream, as far as seen from here, does not answer."""
    return upstream.unanswered >= SILENT_REPEATS and now - upstream.answered_at > ANSWER_SECONDS


def is_still_silent(upstream, now):
    """Return whether callers have repeated in vain just now; the upstream may be back since."""
    return is_silent(upstream, now) and now - upstream.failed_at < REPEATED_SECONDS


def is_answering(upstream, now):
    """Return whether an upstream answered lately and owes no answer."""
    return upstream.unanswered == 0 and now - upstream.answered_at < ANSWERING_SECONDS


def avoid_silent(candidates, may_probe, now):
    """Return the candidates that answer, or one that is due for another try."""
    answering = [u for u in candidates if not is_silent(u, now)]
    if not answering:
        # More likely the way from here is gone than all of them.
        return candidates
    due = [u for u in candidates if may_probe and is_due(u, now)]
    return due[:1] or answering


def is_due(upstream, now):
    """Return whether a silent upstream has announced itself since, and was not tried lately."""
    announced = upstream.reported_at > upstream.failed_at
    return is_silent(upstream, now) and announced and now - upstream.probed_at > PROBE_SECONDS
