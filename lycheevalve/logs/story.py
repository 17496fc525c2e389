"""
The story of one request or flow, from the logs of several processes.

Lines are merged by time, so the clocks of the machines must agree to within the
precision that the story needs.
"""

import itertools
import json
from datetime import datetime

import attrs

from lycheevalve.logs.schema import FLOW_EVENTS, find_mistakes

# What happened around a request matters for this long before and after it, in
# seconds: a start, an election and a lease are over within it.
BEFORE_SECONDS = 5.0
AFTER_SECONDS = 5.0
# Processes log more often than this while callers' packets come.
QUIET_SECONDS = 0.5
# After a loss of power the first process runs within this time of the first line.
START_SECONDS = 2.0
MAX_BAD_LINES = 10
FLOW_NAMES = frozenset(event.name for event in FLOW_EVENTS)
# Events of a process that bear on all of its flows.
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
    "no_front_door": "no front door at this address in the settings in force",
    "no_upstream": "no upstream of the service may get new flows",
    "upstream_gone": "another incarnation has the upstream's address, or it said farewell",
    "upstream_silent": "its upstream did not answer and another one did",
    "left_silent": "its upstream was silent and the flow lost nothing by moving",
}


@attrs.frozen
class Line:
    """One event of one process; `at` in Unix seconds."""

    at: float
    instance: str
    event: str
    fields: dict


@attrs.define
class Lines:
    """The events of several files in order, and what could not be read."""

    lines: list = attrs.field(factory=list)
    bad: int = 0
    bad_places: list = attrs.field(factory=list)

    def note_bad(self, place, reason):
        """Count a line that can't be read, and name the first ones."""
        self.bad += 1
        if len(self.bad_places) < MAX_BAD_LINES:
            self.bad_places.append(f"{place}: {reason}")


@attrs.define
class Story:
    """What the logs tell of one request or flow."""

    subject: str
    flows: list
    lines: list
    findings: list
    missing: list


def read_logs(files):
    """Return the Lines of {name: lines of text}; anything may stand before a line's JSON."""
    lines = Lines()
    for name, texts in files.items():
        for number, text in enumerate(texts, start=1):
            if text.strip():
                read_line(f"{name}:{number}", text, lines)
    lines.lines.sort(key=lambda line: line.at)
    return lines


def read_line(place, text, lines):
    """Add one line, or note why it can't be used."""
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
        lines.note_bad(place, f"no event: {error!r}")
        return
    value.pop("level", None)
    value.pop("site", None)
    mistakes = find_mistakes(line.event, value) if isinstance(line.event, str) else ["no name"]
    if mistakes:
        lines.note_bad(place, mistakes[0])
        return
    lines.lines.append(line)


def tell_story(subject, lines):
    """Return the Story of a request's id or of a flow."""
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
    """Return whether a line is about the subject, and not another request of its flow."""
    if line.event not in FLOW_NAMES or line.fields.get("flow") not in flows:
        return False
    return subject in flows or line.fields.get("request") in ("", None, subject)


def add_resets(own, lines, flows):
    """
    Return the lines with the resets of their flows, whatever request these name.

    An instance that resets a flow may not have seen its newest request.
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
    """Return whether a line bears on all flows of the instances."""
    return line.event in SURROUNDINGS and line.instance in instances


def is_news(line, upstreams):
    """Return whether a line is news of one of the upstreams."""
    return line.event == "upstream" and line.fields.get("upstream") in upstreams


def explain_absence(subject, lines):
    """Return why nothing may be known of a subject."""
    left_out = sum_left_out(lines, ("request", "placed"))
    return [
        f"no line names {subject}: its packets reached none of these processes, "
        f"or their lines are not here ({left_out} lines of its kinds were left out)"
    ]


def sum_left_out(lines, names):
    """Return how many lines of some kinds were left out."""
    counts = [line.fields.get("counts", {}) for line in lines if line.event == "left_out"]
    return sum(int(count.get(name, 0)) for count in counts for name in names)


def find_causes(own, near, instances):
    """Return what speaks for a cause, in order of time."""
    found = [finding for line in own for finding in describe_line(line)]
    found += describe_repetitions(own)
    found += describe_silence(near)
    starts = (line for line in near if line.event == "started" and line.instance in instances)
    found += [(line.at, f"{line.instance} started") for line in starts]
    return [text for _, text in sorted(found)] or [
        "nothing went wrong at these processes; answers do not pass through them"
    ]


def describe_line(line):
    """Return the finding of one line as a list of (time, text)."""
    reason = line.fields.get("reason", "")
    texts = {
        "reset": f"{line.instance} reset the flow: {RESET_MEANINGS.get(reason, reason)}",
        "dropped": f"{line.instance} dropped a packet that had waited ({reason})",
        "held": f"{line.instance} held a packet ({reason})",
    }
    return [(line.at, texts[line.event])] if line.event in texts else []


def describe_repetitions(own):
    """Return the finding that callers repeated in vain."""
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
    """Return the findings that no process at all logged for a while, and some started."""
    starts = [line.at for line in near if line.event == "started"]
    return [
        (one.at, f"no process logged for {other.at - one.at:.3f} s: all were down")
        for one, other in itertools.pairwise(near)
        if other.at - one.at > QUIET_SECONDS
        and any(other.at <= at <= other.at + START_SECONDS for at in starts)
    ]


def find_gaps(own, near, flows, instances):
    """Return what the story lacks."""
    placed = {line.fields["flow"] for line in own if line.event == "placed"}
    missing = [
        f"no line tells where flow {flow} was placed" for flow in flows if flow not in placed
    ]
    left_out = sum_left_out((n for n in near if n.instance in instances), FLOW_NAMES)
    if left_out:
        missing.append(f"{left_out} lines about flows were left out at these processes")
    return missing


def build_text(story, lines):
    """Return the story as lines of text."""
    begin = next((line.at for line in story.lines if line.event in FLOW_NAMES), 0.0)
    text = [f"{story.subject}: flows {', '.join(story.flows) or 'none'}"]
    for line in story.lines:
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if value != "")
        text.append(f"{line.at - begin:+9.3f} s  {line.instance}  {line.event}  {fields}")
    text += [f"found: {finding}" for finding in story.findings]
    text += [f"missing: {gap}" for gap in story.missing]
    if lines.bad:
        text.append(f"bad lines: {lines.bad}")
        text += [f"  {place}" for place in lines.bad_places]
    return text
