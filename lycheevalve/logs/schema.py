"""
The events that processes log: one schema for those that write and those that read.

A line is one event: its time, level, process and typed fields. Ages are in
milliseconds at the time of the event, flows and addresses are texts.
"""

import attrs

DEBUG, INFO, WARNING, ERROR = 10, 20, 30, 40
LEVELS = {"DEBUG": DEBUG, "INFO": INFO, "WARNING": WARNING, "ERROR": ERROR}
LEVEL_NAMES = {number: name for name, number in LEVELS.items()}

# Lines a second and process that one kind of event may take. A node of the size to
# design for opens 110 flows a second; those that succeed are sampled, failures are not
# as long as one flow in two fails.
SUCCESSES_PER_SECOND = 40
FAILURES_PER_SECOND = 60
CHANGES_PER_SECOND = 40
# Enough to see what it is; whoever sends it sends more of it.
BAD_INPUT_PER_SECOND = 5


@attrs.frozen(eq=False)
class Event:
    """One kind of event: what it means, its fields as {name: type}, its budget."""

    name: str
    level: int
    meaning: str
    fields: dict
    per_second: int = CHANGES_PER_SECOND


FLOW = {"flow": str, "request": str}
UPSTREAM = {"upstream": str, "address": str}
# What an entry instance knew of the upstream that it chose or left.
KNOWN = {
    **UPSTREAM,
    "report_age_ms": int,
    "answer_age_ms": int,
    "flows": int,
    "unanswered": int,
}

FLOW_EVENTS = (
    Event(
        "placed",
        INFO,
        "A flow was placed on an upstream; `copy` counts the repetitions of its first packet.",
        {**FLOW, **KNOWN, "copy": int, "revision": int},
        SUCCESSES_PER_SECOND,
    ),
    Event(
        "request",
        INFO,
        "The first packet of a request went to the upstream of its flow.",
        {**FLOW, **KNOWN},
        SUCCESSES_PER_SECOND,
    ),
    Event(
        "repeated",
        WARNING,
        "A caller repeated what its upstream has not answered.",
        {**FLOW, **KNOWN, "silent": bool},
        FAILURES_PER_SECOND,
    ),
    Event(
        "reset",
        WARNING,
        "A flow was ended for its caller; `reason` is a name of the counters.",
        {**FLOW, **KNOWN, "reason": str, "revision": int},
        FAILURES_PER_SECOND,
    ),
    Event(
        "held",
        INFO,
        "A packet waits: `reason` tells for what.",
        {**FLOW, "reason": str},
        SUCCESSES_PER_SECOND,
    ),
    Event(
        "dropped",
        WARNING,
        "A packet that waited in vain, or for which there was no room, was dropped.",
        {**FLOW, "reason": str, "waited_ms": int},
        FAILURES_PER_SECOND,
    ),
)
BELIEF_EVENTS = (
    Event(
        "upstream",
        INFO,
        "News of an upstream: up, draining or gone; `source` is the replica that told.",
        {**UPSTREAM, "service": str, "data_centre": str, "state": str, "source": str},
    ),
    Event("in_force", INFO, "A configuration came into force here.", {"revision": int}),
    Event(
        "ready",
        INFO,
        "Whether this instance asks the fabric for packets has changed.",
        {"ready": bool, "reason": str},
    ),
    Event(
        "replica",
        INFO,
        "The role or the leader of this replica has changed.",
        {"role": str, "leader": str, "members": list, "index": int},
    ),
    Event("source_reached", INFO, "A control replica can be polled.", {"peer": str}),
    Event(
        "source_lost", INFO, "A control replica can't be polled.", {"peer": str, "reason": str}
    ),
    Event("thawed", WARNING, "This process stood still.", {"gap_ms": int, "dropped": int}),
    Event("upstreams_recalled", INFO, "Upstreams were read from disk.", {"upstreams": int}),
    Event("upstreams_unreadable", WARNING, "Upstreams on disk can't be used.", {"reason": str}),
    Event("upstreams_unwritten", WARNING, "Upstreams could not be stored.", {"reason": str}),
    Event(
        "replica_replaced",
        WARNING,
        "The leader replaces a silent member of the log.",
        {"members": list},
    ),
    Event(
        "replica_stopped",
        ERROR,
        "The disk of this replica failed; it is read again after a while.",
        {"reason": str, "retry_ms": int},
    ),
    Event("files_damaged", ERROR, "Damaged files were set aside.", {"reason": str}),
    Event("leader_unreached", INFO, "The leader did not answer.", {"peer": str, "reason": str}),
)
OPERATOR_EVENTS = (
    Event("accepted", INFO, "A configuration was accepted.", {"revision": int, "held": int}),
    Event(
        "overtaken",
        INFO,
        "A configuration was acknowledged that a held one has overtaken.",
        {"revision": int, "held": int},
    ),
    Event("refused", WARNING, "A configuration was refused.", {"reason": str, "peer": str}),
    Event("unavailable", WARNING, "A call got no answer.", {"call": str, "reason": str}),
    Event("announcement_refused", WARNING, "An upstream's call was refused.", {"reason": str}),
)
PROCESS_EVENTS = (
    Event("started", INFO, "The process runs.", {"role": str, "address": str}),
    Event("leaving", INFO, "The graceful stop begins.", {}),
    Event(
        "stopping_early", WARNING, "The stop took too long; pins were not all handed over.", {}
    ),
    Event("stopped", INFO, "The process ends.", {}),
    Event("reloaded", INFO, "Settings were read again.", {"changed": list, "warnings": list}),
    Event("not_reloaded", ERROR, "Settings can't be used; the old ones stay.", {"reason": str}),
    Event("restart_needed", WARNING, "An option needs a restart.", {"option": str}),
    Event("setting_warning", WARNING, "A setting may be a mistake.", {"reason": str}),
    Event("counters", INFO, "The counters of this process since its start.", {"counts": dict}),
    Event(
        "counted",
        WARNING,
        "Bad input or a rare event, the `count`th.",
        {"counter": str, "count": int, "details": list},
    ),
    Event(
        "left_out",
        WARNING,
        "Events that were over their budget or did not fit, by kind.",
        {"counts": dict},
    ),
    Event("queue_full", WARNING, "A message was dropped.", {"peer": str}),
    Event("link_closed", WARNING, "A link ended for bad input.", {"peer": str, "reason": str}),
    Event("link_failed", DEBUG, "A link ended.", {"peer": str, "reason": str}),
    Event(
        "bad_packet",
        INFO,
        "A datagram that is no packet was dropped.",
        {"error": str},
        BAD_INPUT_PER_SECOND,
    ),
    Event("bad_call", INFO, "An HTTP request could not be read.", {"reason": str}),
)

EVENTS = {
    event.name: event
    for event in (*FLOW_EVENTS, *BELIEF_EVENTS, *OPERATOR_EVENTS, *PROCESS_EVENTS)
}


def find_mistakes(name, fields):
    """Return what is wrong with an event and its fields, as lines."""
    event = EVENTS.get(name)
    if event is None:
        return [f"no event {name!r}"]
    unknown = [f"{name}: no field {field!r}" for field in fields if field not in event.fields]
    return unknown + [
        f"{name}: {field} must be {event.fields[field].__name__}, not {value!r}"
        for field, value in fields.items()
        if field in event.fields and not isinstance(value, event.fields[field])
    ]
