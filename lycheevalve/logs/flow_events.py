"""Schema of the events about flows and their requests."""

from lycheevalve.logs.event import (
    INFO,
    MAX_FAILURE_LINES_PER_SECOND,
    MAX_SUCCESS_LINES_PER_SECOND,
    WARNING,
    Event,
)

FLOW_FIELDS = {"flow": str, "request": str}
UPSTREAM_FIELDS = {"upstream": str, "address": str}
# State of the chosen or replaced upstream, as recorded by the entry instance.
UPSTREAM_STATE_FIELDS = {
    **UPSTREAM_FIELDS,
    "report_age_ms": int,
    "answer_age_ms": int,
    "flows": int,
    "unanswered": int,
}

FLOW_EVENTS = (
    Event(
        "placed",
        INFO,
        "A flow was placed on an upstream; `copy` counts repetitions of its first packet.",
        {**FLOW_FIELDS, **UPSTREAM_STATE_FIELDS, "copy": int, "revision": int},
        MAX_SUCCESS_LINES_PER_SECOND,
    ),
    Event(
        "request",
        INFO,
        "The first packet of a request was forwarded to the upstream of its flow.",
        {**FLOW_FIELDS, **UPSTREAM_STATE_FIELDS},
        MAX_SUCCESS_LINES_PER_SECOND,
    ),
    Event(
        "repeated",
        WARNING,
        "A caller repeated a packet that its upstream has not answered.",
        {**FLOW_FIELDS, **UPSTREAM_STATE_FIELDS, "silent": bool},
        MAX_FAILURE_LINES_PER_SECOND,
    ),
    Event(
        "reset",
        WARNING,
        "A flow was reset towards its caller; `reason` is the name of a counter.",
        {**FLOW_FIELDS, **UPSTREAM_STATE_FIELDS, "reason": str, "revision": int},
        MAX_FAILURE_LINES_PER_SECOND,
    ),
    Event(
        "held",
        INFO,
        "A packet is held; `reason` says what it waits for.",
        {**FLOW_FIELDS, "reason": str},
        MAX_SUCCESS_LINES_PER_SECOND,
    ),
    Event(
        "dropped",
        WARNING,
        "A held packet timed out, or there was no room to hold it, and it was dropped.",
        {**FLOW_FIELDS, "reason": str, "waited_ms": int},
        MAX_FAILURE_LINES_PER_SECOND,
    ),
)
