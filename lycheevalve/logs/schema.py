"""
Schema of the log events, shared by writers and readers.

A log line is one event with its time, level, instance and typed fields. Ages are in
milliseconds at the time of the event; flows and addresses are strings.
"""

from lycheevalve.logs.event import (
    DEBUG,
    ERROR,
    INFO,
    MAX_BAD_INPUT_LINES_PER_SECOND,
    WARNING,
    Event,
)
from lycheevalve.logs.flow_events import FLOW_EVENTS, UPSTREAM_FIELDS

LEVELS = {"DEBUG": DEBUG, "INFO": INFO, "WARNING": WARNING, "ERROR": ERROR}
LEVEL_NAMES = {number: name for name, number in LEVELS.items()}

STATE_EVENTS = (
    Event(
        "upstream",
        INFO,
        "Update of an upstream: up, draining or gone; `source` is the replica that sent it.",
        {**UPSTREAM_FIELDS, "service": str, "data_centre": str, "state": str, "source": str},
    ),
    Event(
        "registration_left_out",
        INFO,
        "A registration names no upstream to use; `source` is the replica that sent it.",
        {"upstream": str, "address": str, "service": str, "source": str, "reason": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event(
        "evacuations",
        INFO,
        "The evacuated data centres changed; `number` counts the operators' orders.",
        {"number": int, "data_centres": list},
    ),
    Event(
        "data_centre_silent",
        WARNING,
        "No upstream of a data centre answers this instance, while others do.",
        {"data_centre": str},
    ),
    Event(
        "data_centre_cut",
        WARNING,
        "No control replica and no upstream of a data centre answers this instance any more.",
        {"data_centre": str},
    ),
    Event(
        "probes_unavailable",
        WARNING,
        "The address for probes is in use: lost data centres are found by silent flows only.",
        {"address": str, "reason": str},
    ),
    Event(
        "unreachable",
        WARNING,
        "Control replicas of this data centre report further upstreams as unreachable.",
        {"upstreams": int},
    ),
    Event(
        "upstream_check",
        WARNING,
        "A control replica has found an upstream unreachable, or reachable again.",
        {"cookie": int, "reachable": bool},
    ),
    Event("in_force", INFO, "A configuration took effect on this instance.", {"revision": int}),
    Event(
        "not_applied",
        ERROR,
        "A configuration is unreadable; the earlier one stays in effect on this instance.",
        {"revision": int, "reason": str},
    ),
    Event(
        "ready",
        INFO,
        "The readiness of this instance for packets of the fabric changed.",
        {"ready": bool, "reason": str},
    ),
    Event(
        "replica",
        INFO,
        "The role or the leader of this replica changed.",
        {"role": str, "leader": str, "members": list, "index": int},
    ),
    Event(
        "source_reached", INFO, "A control replica became reachable for polls.", {"peer": str}
    ),
    Event(
        "source_lost",
        INFO,
        "A control replica became unreachable for polls.",
        {"peer": str, "reason": str},
    ),
    Event(
        "thawed",
        WARNING,
        "The process was paused for `gap_ms` and runs again.",
        {"gap_ms": int, "dropped": int},
    ),
    Event(
        "early_forwarding",
        INFO,
        "The instance took over from the thread that forwarded packets during its start.",
        {
            "duration_ms": int,
            "forwarded": int,
            "opened": int,
            "held": int,
            "dropped": int,
            "malformed": int,
            "unsent": int,
            "lookups": int,
            "error": str,
        },
    ),
    Event(
        "early_lookups",
        INFO,
        "The replica took over from the thread that answered lookups during its start.",
        {
            "duration_ms": int,
            "answered": int,
            "malformed": int,
            "unsent": int,
            "upstreams": int,
            "error": str,
        },
    ),
    Event(
        "early_unavailable",
        WARNING,
        "Nothing is forwarded or answered until the process has started.",
        {"reason": str},
    ),
    Event(
        "lookup_refused",
        WARNING,
        "A lookup of a starting instance is invalid.",
        {"peer": str, "reason": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event(
        "upstreams_recalled",
        INFO,
        "Upstream records were loaded from disk.",
        {"upstreams": int},
    ),
    Event(
        "upstreams_unreadable",
        WARNING,
        "Upstream records on disk can't be used.",
        {"reason": str},
    ),
    Event(
        "upstreams_unwritten",
        WARNING,
        "Upstream records could not be written to disk.",
        {"reason": str},
    ),
    Event(
        "replica_replaced",
        WARNING,
        "The leader replaces an unresponsive replica.",
        {"members": list},
    ),
    Event(
        "replica_stopped",
        ERROR,
        "This replica failed, mostly by its disk; it reads its files again after `retry_ms`.",
        {"reason": str, "retry_ms": int},
    ),
    Event(
        "files_damaged",
        ERROR,
        "Damaged files in the data folder were set aside.",
        {"reason": str},
    ),
    Event("leader_unreached", INFO, "The leader did not answer.", {"peer": str, "reason": str}),
)
OPERATOR_EVENTS = (
    Event("accepted", INFO, "A configuration was accepted.", {"revision": int, "held": int}),
    Event(
        "overtaken",
        INFO,
        "A configuration was acknowledged although the same or a newer one is held.",
        {"revision": int, "held": int},
    ),
    Event(
        "ordered",
        INFO,
        "An order about the evacuation of a data centre was accepted.",
        {"order": str, "data_centre": str},
    ),
    Event(
        "refused",
        WARNING,
        "A configuration or an order was refused.",
        {"reason": str, "peer": str},
    ),
    Event(
        "unavailable",
        WARNING,
        "An HTTP call could not be answered.",
        {"call": str, "reason": str},
    ),
    Event(
        "announcement_refused",
        WARNING,
        "An announcement of an upstream was refused.",
        {"reason": str, "peer": str},
    ),
)
PROCESS_EVENTS = (
    Event(
        "starting",
        INFO,
        "The first line of a process, before it opens its addresses and files.",
        {"pid": int, "version": str},
    ),
    Event(
        "started", INFO, "The process started.", {"role": str, "address": str, "version": str}
    ),
    Event(
        "address_unavailable",
        WARNING,
        "The process can't listen on an address yet, and tries again.",
        {"step": str, "address": str, "reason": str, "waited_ms": int},
    ),
    Event(
        "address_available",
        INFO,
        "The process listens on an address that was unavailable at first.",
        {"step": str, "address": str, "waited_ms": int},
    ),
    Event("leaving", INFO, "The graceful stop started.", {}),
    Event(
        "stopping_early",
        WARNING,
        "The graceful stop timed out before all pins were handed over.",
        {},
    ),
    Event("stopped", INFO, "The process stopped.", {}),
    Event(
        "ended",
        ERROR,
        "The last line of a process that an error ended while it did `step`.",
        {"code": int, "reason": str, "error": str, "place": str, "step": str},
    ),
    Event(
        "previous_end",
        INFO,
        "How the previous process of this data folder ended; `lost` without a last line.",
        {"reason": str, "error": str, "place": str, "step": str},
    ),
    Event(
        "run_not_recorded",
        WARNING,
        "The start or end of this process could not be recorded in its data folder.",
        {"reason": str},
    ),
    Event(
        "instance_restarted",
        INFO,
        "Another process polls from this address, `silent_ms` after the previous one.",
        {"peer": str, "role": str, "data_centre": str, "silent_ms": int},
    ),
    Event("reloaded", INFO, "Settings were reloaded.", {"changed": list, "warnings": list}),
    Event(
        "not_reloaded",
        ERROR,
        "Invalid settings were not loaded; the previous ones stay in effect.",
        {"reason": str},
    ),
    Event(
        "restart_needed",
        WARNING,
        "A changed option takes effect only after a restart.",
        {"option": str},
    ),
    Event("setting_warning", WARNING, "A setting may be a mistake.", {"reason": str}),
    Event("counters", INFO, "The counters of this process since its start.", {"counts": dict}),
    Event(
        "counted",
        WARNING,
        "Invalid input or a rare event; `count` is its number so far.",
        {"counter": str, "count": int, "details": list},
    ),
    Event(
        "left_out",
        WARNING,
        "Events dropped by rate limits or a full queue, by kind.",
        {"counts": dict},
    ),
    Event(
        "queue_full", WARNING, "A message was dropped because its queue is full.", {"peer": str}
    ),
    Event(
        "link_closed",
        WARNING,
        "A link was closed because of invalid input.",
        {"peer": str, "reason": str},
    ),
    Event(
        "link_failed",
        DEBUG,
        "A link or an HTTP connection failed.",
        {"peer": str, "reason": str},
    ),
    Event(
        "bad_packet",
        INFO,
        "An invalid datagram was dropped.",
        {"error": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event("bad_call", INFO, "An HTTP request could not be parsed.", {"reason": str}),
    Event(
        "connections_full",
        WARNING,
        "A listener has all connections it may keep open: one was closed, `idle` or the `new`.",
        {"listener": str, "limit": int, "closed": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event(
        "buffers_full",
        WARNING,
        "A message was refused, as large ones take all the memory reserved for them.",
        {"used": int},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event(
        "lines_lost",
        WARNING,
        "The output refused lines, and accepts them again.",
        {"lines": int},
    ),
    Event(
        "unformattable",
        WARNING,
        "An event could not be formatted as a line; `name` is its kind.",
        {"name": str, "reason": str},
    ),
    Event(
        "library_warning",
        WARNING,
        "A warning of a library, for instance of one that accepts connections.",
        {"logger": str, "reason": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
    Event(
        "task_failed",
        ERROR,
        "An error ended one unit of work; `place` is the module and line that it passed last.",
        {"task": str, "peer": str, "error": str, "place": str},
    ),
    Event(
        "answer_failed",
        WARNING,
        "An HTTP answer could not be written; its connection was closed.",
        {"peer": str, "reason": str},
        MAX_BAD_INPUT_LINES_PER_SECOND,
    ),
)

EVENTS = {
    event.name: event
    for event in (*FLOW_EVENTS, *STATE_EVENTS, *OPERATOR_EVENTS, *PROCESS_EVENTS)
}


def validate_event(name, fields):
    """Return the errors of an event and its fields as lines of text."""
    event = EVENTS.get(name)
    if event is None:
        return [f"unknown event {name!r}"]
    unknown = [
        f"{name}: unknown field {field!r}" for field in fields if field not in event.fields
    ]
    return unknown + [
        f"{name}: {field} must be {event.fields[field].__name__}, not {value!r}"
        for field, value in fields.items()
        if field in event.fields and not isinstance(value, event.fields[field])
    ]
