"""
Timeline of one request or flow, merged from the logs of several processes.

Events are ordered by their time, so the precision of a timeline is that of the clock
synchronisation between the machines.
"""

import itertools
import json
from datetime import datetime

import attrs

from lycheevalve.logs.schema import FLOW_EVENTS, validate_event

# Events this long before and after a request are included; starts, elections and leases
# take less.
CONTEXT_BEFORE_SECONDS = 5.0
CONTEXT_AFTER_SECONDS = 5.0
# Processes log more often than this while packets of callers arrive.
MAX_LOG_GAP_SECONDS = 0.5
# After a power loss, a process start is logged within this time of the first event.
MAX_RESTART_SECONDS = 2.0
MAX_BAD_LINES = 10
FLOW_EVENT_NAMES = frozenset(event.name for event in FLOW_EVENTS)
# Events that affect all flows of a process.
PROCESS_WIDE_EVENTS = frozenset(
    (
        "started",
        "leaving",
        "stopped",
        "ended",
        "previous_end",
        "task_failed",
        "thawed",
        "ready",
        "in_force",
        "not_applied",
        "replica",
        "replica_stopped",
        "source_lost",
        "source_reached",
        "upstreams_recalled",
        "left_out",
    )
)

RESET_DESCRIPTIONS = {
    "no_front_door": "no front door with this address in the settings in force",
    "no_upstream": "no upstream of the service accepts new flows",
    "upstream_gone": "the upstream deregistered, or another incarnation has its address",
    "upstream_silent": "its upstream did not answer while another one did",
    "upstream_replaced": "another incarnation has the upstream's address; the flow was idle",
    "upstream_cut_off": "its upstream or the whole data centre of that was cut off",
    "left_silent": "its upstream was unresponsive, the flow idle or its requests idempotent",
}


@attrs.frozen
class Line:
    """One event of one process, with its place `file:number`; `at` is in Unix seconds."""

    at: float
    instance: str
    event: str
    fields: dict
    place: str = ""


@attrs.define
class ParsedLogs:
    """
    The events of several log files in order of time, and the lines that are invalid.

    `files` has the lines of each file in their order: a Line, or the text of an invalid one.
    """

    lines: list = attrs.field(factory=list)
    files: dict = attrs.field(factory=dict)
    bad_count: int = 0
    bad_places: list = attrs.field(factory=list)

    def add_bad_line(self, place, reason):
        """Count an invalid line, and record the place and reason of the first ones."""
        self.bad_count += 1
        if len(self.bad_places) < MAX_BAD_LINES:
            self.bad_places.append(f"{place}: {reason}")


@attrs.define
class Timeline:
    """Events and findings about one request or flow."""

    subject: str
    flows: list
    lines: list
    findings: list
    missing: list


def parse_logs(files):
    """Return the ParsedLogs of {name: lines}; text before the JSON of a line is skipped."""
    logs = ParsedLogs()
    for name, texts in files.items():
        logs.files[name] = [
            parse_line(f"{name}:{number}", text, logs) or text
            for number, text in enumerate(texts, start=1)
            if text.strip()
        ]
        logs.lines += [line for line in logs.files[name] if isinstance(line, Line)]
    logs.lines.sort(key=lambda line: line.at)
    return logs


def parse_line(place, text, logs):
    """Return the Line of a text, or None after the reason why it is invalid was recorded."""
    _, brace, rest = text.partition("{")
    try:
        value = json.loads(brace + rest)
        line = Line(
            at=datetime.fromisoformat(value.pop("time")).timestamp(),
            instance=str(value.pop("instance", "")),
            event=value.pop("event"),
            fields=value,
            place=place,
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        logs.add_bad_line(place, f"not an event: {error!r}")
        return None
    value.pop("level", None)
    value.pop("site", None)
    errors = (
        validate_event(line.event, value)
        if isinstance(line.event, str)
        else ["event must be a string"]
    )
    if errors:
        logs.add_bad_line(place, errors[0])
        return None
    return line


def build_timeline(subject, lines):
    """Return the Timeline of a request (by its id) or of a flow."""
    flows = sorted(
        {
            line.fields["flow"]
            for line in lines
            if line.event in FLOW_EVENT_NAMES
            and subject in (line.fields.get("request"), line.fields.get("flow"))
        }
    )
    matching = [line for line in lines if matches_subject(line, subject, flows)]
    if not matching:
        return Timeline(subject, [], [], [], describe_no_match(subject, lines))
    matching = add_resets(matching, lines, flows)
    begin, end = (
        matching[0].at - CONTEXT_BEFORE_SECONDS,
        matching[-1].at + CONTEXT_AFTER_SECONDS,
    )
    context = [line for line in lines if begin <= line.at <= end]
    instances = {line.instance for line in matching}
    upstreams = {line.fields["upstream"] for line in matching if line.fields.get("upstream")}
    shown = [
        line
        for line in context
        if line in matching
        or is_process_wide(line, instances)
        or is_upstream_update(line, upstreams)
    ]
    return Timeline(
        subject,
        flows,
        shown,
        find_likely_causes(matching, context, instances),
        find_missing(matching, context, flows, instances),
    )


def matches_subject(line, subject, flows):
    """Return whether a line concerns the subject and no other request of its flow."""
    if line.event not in FLOW_EVENT_NAMES or line.fields.get("flow") not in flows:
        return False
    return subject in flows or line.fields.get("request") in ("", None, subject)


def add_resets(matching, lines, flows):
    """
    Return the lines with all resets of their flows added.

    A reset may name an older request, because the instance that resets a flow may not
    have received its newest request.
    """
    first = min(
        (line.at for line in matching if line.event == "request"), default=matching[0].at
    )
    resets = [
        line
        for line in lines
        if line.event == "reset"
        and line not in matching
        and line.fields.get("flow") in flows
        and first <= line.at <= matching[-1].at + CONTEXT_AFTER_SECONDS
    ]
    return sorted([*matching, *resets], key=lambda line: line.at)


def is_process_wide(line, instances):
    """Return whether a line affects all flows of one of the instances."""
    return line.event in PROCESS_WIDE_EVENTS and line.instance in instances


def is_upstream_update(line, upstreams):
    """Return whether a line is an update of one of the upstreams."""
    return line.event == "upstream" and line.fields.get("upstream") in upstreams


def describe_no_match(subject, lines):
    """Return possible reasons why no line names the subject."""
    left_out = count_left_out(lines, ("request", "placed"))
    return [
        f"no line names {subject}: its packets reached none of these processes, "
        f"or its lines are not in these logs ({left_out} lines of these kinds were left out)"
    ]


def count_left_out(lines, names):
    """Return how many lines of the named events were left out by rate limits."""
    counts = [line.fields.get("counts", {}) for line in lines if line.event == "left_out"]
    return sum(int(count.get(name, 0)) for count in counts for name in names)


def find_likely_causes(matching, context, instances):
    """Return findings that hint at a cause, in order of time."""
    findings = [finding for line in matching for finding in describe_line(line)]
    findings += describe_repetitions(matching)
    findings += describe_outages(context)
    starts = (
        line for line in context if line.event == "started" and line.instance in instances
    )
    findings += [(line.at, f"{line.instance} started") for line in starts]
    return [text for _, text in sorted(findings)] or [
        "no fault found in these logs; answers don't pass through these processes"
    ]


def describe_line(line):
    """Return the finding of one line as a list of (time, text)."""
    reason = line.fields.get("reason", "")
    texts = {
        "reset": f"{line.instance} reset the flow: {RESET_DESCRIPTIONS.get(reason, reason)}",
        "dropped": f"{line.instance} dropped a held packet ({reason})",
        "held": f"{line.instance} held a packet ({reason})",
    }
    return [(line.at, texts[line.event])] if line.event in texts else []


def describe_repetitions(matching):
    """Return the finding about packets that callers repeated without an answer."""
    repeated = [line for line in matching if line.event == "repeated"]
    if not repeated:
        return []
    first, last = repeated[0], repeated[-1]
    text = (
        f"upstream {first.fields['upstream']} left {len(repeated)} repetitions unanswered "
        f"within {last.at - first.at:.3f} s; its last answer seen at {first.instance} was "
        f"{first.fields['answer_age_ms']} ms old (-1: none)"
    )
    return [(first.at, text)]


def describe_outages(context):
    """Return findings about gaps in all logs that are followed by a process start."""
    starts = [line.at for line in context if line.event == "started"]
    return [
        (
            previous.at,
            f"no process logged for {following.at - previous.at:.3f} s: all were down",
        )
        for previous, following in itertools.pairwise(context)
        if following.at - previous.at > MAX_LOG_GAP_SECONDS
        and any(following.at <= at <= following.at + MAX_RESTART_SECONDS for at in starts)
    ]


def find_missing(matching, context, flows, instances):
    """Return which events are missing from the timeline."""
    placed = {line.fields["flow"] for line in matching if line.event == "placed"}
    missing = [
        f"no line with the placement of flow {flow}" for flow in flows if flow not in placed
    ]
    left_out = count_left_out(
        (line for line in context if line.instance in instances), FLOW_EVENT_NAMES
    )
    if left_out:
        missing.append(f"{left_out} lines about flows were left out at these processes")
    return missing


def format_timeline(timeline, logs):
    """Format the timeline as lines of text."""
    start = next((line.at for line in timeline.lines if line.event in FLOW_EVENT_NAMES), 0.0)
    text = [f"{timeline.subject}: flows {', '.join(timeline.flows) or 'none'}"]
    for line in timeline.lines:
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if value != "")
        text.append(f"{line.at - start:+9.3f} s  {line.instance}  {line.event}  {fields}")
    text += [f"found: {finding}" for finding in timeline.findings]
    text += [f"missing: {missing}" for missing in timeline.missing]
    if logs.bad_count:
        text.append(f"invalid lines: {logs.bad_count}")
        text += [f"  {place}" for place in logs.bad_places]
    return text
