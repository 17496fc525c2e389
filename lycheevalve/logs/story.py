"""
Timeline of one request or flow, merged from the logs of several processes.

Events are ordered by their time, so the precision of a timeline is that of the clock
synchronisation between the machines.
"""

import itertools
import json
from datetime import datetime

import attrs

from lycheevalve.logs.schema import FLOW_EVENTS, find_mistakes

# Events this long before and after a request are included; starts, elections and leases
# take less.
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 5.0
# Processes log more often than this while packets of callers arrive.
QUIET_SECONDS = 0.5
# After a power loss, a process start is logged within this time of the first event.
START_SECONDS = 2.0
MAX_BAD_LINES = 10
FLOW_NAMES = frozenset(event.name for event in FLOW_EVENTS)
# Events that affect all flows of a process.
SURROUNDINGS = frozenset(
    (
        "started",
        "leaving",
        "stopped",
        "thawed",
        "ready",
        "in_force",
        "replica",
        "replica_stopped",
        "source_lost",
        "source_reached",
        "upstreams_recalled",
        "left_out",
    )
)

RESET_MEANINGS = {
    "no_front_door": "no front door with this address in the settings in force",
    "no_upstream": "no upstream of the service accepts new flows",
    "upstream_gone": "the upstream deregistered, or another incarnation has its address",
    "upstream_silent": "its upstream did not answer while another one did",
    "left_silent": "its upstream was unresponsive and the flow had no state to lose by moving",
}


@attrs.frozen
class Line:
    """One event of one process; `at` is in Unix seconds."""

    at: float
    instance: str
    event: str
    fields: dict


@attrs.define
class Lines:
    """The events of several log files in order of time, and the lines that are invalid."""

    lines: list = attrs.field(factory=list)
    bad: int = 0
    bad_places: list = attrs.field(factory=list)

    def note_bad(self, place, reason):
        """Count an invalid line, and record the place and reason of the first ones."""
        self.bad += 1
        if len(self.bad_places) < MAX_BAD_LINES:
            self.bad_places.append(f"{place}: {reason}")


@attrs.define
class Story:
    """Events and findings about one request or flow."""

    subject: str
    flows: list
    lines: list
    findings: list
    missing: list


def read_logs(files):
    """Parse {name: lines of text}; any text before the JSON of a line is skipped."""
    lines = Lines()
    for name, texts in files.items():
        for number, text in enumerate(texts, start=1):
            if text.strip():
                read_line(f"{name}:{number}", text, lines)
    lines.lines.sort(key=lambda line: line.at)
    return lines


def read_line(place, text, lines):
    """Parse one line; record the reason if it is invalid."""
    _, brace, rest = text.partition("{")
    try:
        value = json.loads(brace + rest)
        line = Line(
            at=datetime.fromisoformat(value.pop("time")).timestamp(),
            instance=str(value.pop("instance", "")),
            event=value.pop("event"),
            fields=value,
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        lines.note_bad(place, f"not an event: {error!r}")
        return
    value.pop("level", None)
    value.pop("site", None)
    mistakes = (
        find_mistakes(line.event, value)
        if isinstance(line.event, str)
        else ["event name is no string"]
    )
    if mistakes:
        lines.note_bad(place, mistakes[0])
        return
    lines.lines.append(line)


def tell_story(subject, lines):
    """Build the timeline of a request (by its id) or of a flow."""
    flows = sorted(
        {
            line.fields["flow"]
            for line in lines
            if line.event in FLOW_NAMES
            and subject in (line.fields.get("request"), line.fields.get("flow"))
        }
    )
    own = [line for line in lines if is_about(line, subject, flows)]
    if not own:
        return Story(subject, [], [], [], explain_absence(subject, lines))
    own = add_resets(own, lines, flows)
    begin, end = own[0].at - BEFORE_SECONDS, own[-1].at + AFTER_SECONDS
    near = [line for line in lines if begin <= line.at <= end]
    instances = {line.instance for line in own}
    upstreams = {line.fields["upstream"] for line in own if line.fields.get("upstream")}
    told = [
        line
        for line in near
        if line in own or is_surrounding(line, instances) or is_news(line, upstreams)
    ]
    return Story(
        subject,
        flows,
        told,
        find_causes(own, near, instances),
        find_gaps(own, near, flows, instances),
    )


def is_about(line, subject, flows):
    """Return whether a line concerns the subject and no other request of its flow."""
    if line.event not in FLOW_NAMES or line.fields.get("flow") not in flows:
        return False
    return subject in flows or line.fields.get("request") in ("", None, subject)


def add_resets(own, lines, flows):
    """
    Return the lines with all resets of their flows added.

    A reset may name an older request, because the instance that resets a flow may not
    have received its newest request.
    """
    first = min((line.at for line in own if line.event == "request"), default=own[0].at)
    resets = [
        line
        for line in lines
        if line.event == "reset"
        and line not in own
        and line.fields.get("flow") in flows
        and first <= line.at <= own[-1].at + AFTER_SECONDS
    ]
    return sorted([*own, *resets], key=lambda line: line.at)


def is_surrounding(line, instances):
    """Return whether a line affects all flows of one of the instances."""
    return line.event in SURROUNDINGS and line.instance in instances


def is_news(line, upstreams):
    """Return whether a line is an update of one of the upstreams."""
    return line.event == "upstream" and line.fields.get("upstream") in upstreams


def explain_absence(subject, lines):
    """Return possible reasons why no line names the subject."""
    left_out = sum_left_out(lines, ("request", "placed"))
    return [
        f"no line names {subject}: its packets reached none of these processes, "
        f"or its lines are not in these logs ({left_out} lines of these kinds were left out)"
    ]


def sum_left_out(lines, names):
    """Return how many lines of the named events were left out by rate limits."""
    counts = [line.fields.get("counts", {}) for line in lines if line.event == "left_out"]
    return sum(int(count.get(name, 0)) for count in counts for name in names)


def find_causes(own, near, instances):
    """Return findings that hint at a cause, in order of time."""
    found = [finding for line in own for finding in describe_line(line)]
    found += describe_repetitions(own)
    found += describe_silence(near)
    starts = (line for line in near if line.event == "started" and line.instance in instances)
    found += [(line.at, f"{line.instance} started") for line in starts]
    return [text for _, text in sorted(found)] or [
        "no fault found in these logs; answers don't pass through these processes"
    ]


def describe_line(line):
    """Return the finding of one line as a list of (time, text)."""
    reason = line.fields.get("reason", "")
    texts = {
        "reset": f"{line.instance} reset the flow: {RESET_MEANINGS.get(reason, reason)}",
        "dropped": f"{line.instance} dropped a held packet ({reason})",
        "held": f"{line.instance} held a packet ({reason})",
    }
    return [(line.at, texts[line.event])] if line.event in texts else []


def describe_repetitions(own):
    """Return the finding about packets that callers repeated without an answer."""
    repeated = [line for line in own if line.event == "repeated"]
    if not repeated:
        return []
    first, last = repeated[0], repeated[-1]
    text = (
        f"upstream {first.fields['upstream']} left {len(repeated)} repetitions unanswered "
        f"within {last.at - first.at:.3f} s; its last answer seen at {first.instance} was "
        f"{first.fields['answer_age_ms']} ms old (-1: none)"
    )
    return [(first.at, text)]


def describe_silence(near):
    """Return findings about gaps in all logs that are followed by a process start."""
    starts = [line.at for line in near if line.event == "started"]
    return [
        (one.at, f"no process logged for {other.at - one.at:.3f} s: all were down")
        for one, other in itertools.pairwise(near)
        if other.at - one.at > QUIET_SECONDS
        and any(other.at <= at <= other.at + START_SECONDS for at in starts)
    ]


def find_gaps(own, near, flows, instances):
    """Return which events are missing from the timeline."""
    placed = {line.fields["flow"] for line in own if line.event == "placed"}
    missing = [
        f"no line with the placement of flow {flow}" for flow in flows if flow not in placed
    ]
    left_out = sum_left_out((n for n in near if n.instance in instances), FLOW_NAMES)
    if left_out:
        missing.append(f"{left_out} lines about flows were left out at these processes")
    return missing


def build_text(story, lines):
    """Format the timeline as lines of text."""
    begin = next((line.at for line in story.lines if line.event in FLOW_NAMES), 0.0)
    text = [f"{story.subject}: flows {', '.join(story.flows) or 'none'}"]
    for line in story.lines:
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if value != "")
        text.append(f"{line.at - begin:+9.3f} s  {line.instance}  {line.event}  {fields}")
    text += [f"found: {finding}" for finding in story.findings]
    text += [f"missing: {gap}" for gap in story.missing]
    if lines.bad:
        text.append(f"invalid lines: {lines.bad}")
        text += [f"  {place}" for place in lines.bad_places]
    return text
