"""
Starts and ends of processes from logs: how each run ended, and what preceded that.

A file may have the lines of several runs and instances. Text that is no event, such as a
traceback, belongs to the run whose line precedes it in its file.
"""

import collections
import re
from datetime import UTC, datetime
from pathlib import Path

import attrs

from lycheevalve.logs.schema import ERROR, EVENTS, OPERATOR_EVENTS, WARNING
from lycheevalve.logs.timeline import FLOW_EVENT_NAMES, Line

# Events this long before an end are shown, at most so many of them.
CONTEXT_SECONDS = 5.0
MAX_CONTEXT_LINES = 20
# Runs whose last lines are this close ended together.
TOGETHER_SECONDS = 2.0
# The last lines of a text that is no event.
MAX_TEXT_LINES = 60
LAST_EVENTS = ("stopped", "ended")
# Events that a process may log after them.
TRAILING_EVENTS = ("left_out", "run_not_recorded")
# Events that may have caused an end, besides those of level WARNING and above.
CAUSE_EVENTS = frozenset(
    (*(event.name for event in OPERATOR_EVENTS), "reloaded", "in_force", "leaving")
)
RUN_EVENTS = frozenset(("starting", "started", "leaving", "previous_end", *LAST_EVENTS))
ERROR_TEXT = re.compile(
    r"(?:^|[\s|])((?:Fatal Python error|[\w.]+(?:Error|Exception|Interrupt))(?::.*)?)$"
)
NO_LAST_LINE = "killed, out of memory or power lost"


@attrs.define(eq=False)
class ProcessRun:
    """The lines of one run of an instance; `texts` are the lines that are no events."""

    instance: str
    file: str
    lines: list = attrs.field(factory=list)
    texts: list = attrs.field(factory=list)
    # Whether a text is the last of all its lines.
    ends_with_text: bool = False
    # The run of the same instance that follows in the file, or None.
    successor: object = None

    def find(self, *names):
        """Return the last line of one of the named events, or None."""
        return next((line for line in reversed(self.lines) if line.event in names), None)

    def begins_another(self, line):
        """Return whether a line belongs to a later run of the instance."""
        if line.event == "starting":
            return bool(self.lines)
        if self.find(*LAST_EVENTS) is not None:
            return line.event not in TRAILING_EVENTS
        return line.event == "started" and self.find("started") is not None

    @property
    def last_at(self):
        """Return the time of the last line; 0 without any."""
        return self.lines[-1].at if self.lines else 0.0


@attrs.define
class EndsReport:
    """The ends of the processes of some instances, from their logs."""

    subject: str
    lines: list
    findings: list
    texts: dict
    missing: list


def find_error(texts):
    """Return the last error in lines of text, or the last line; empty without lines."""
    errors = [match[1] for text in texts if (match := ERROR_TEXT.search(text))]
    return errors[-1] if errors else "".join(texts[-1:]).strip()


def split_runs(logs):
    """Return the ProcessRuns of parsed logs, in the order of their first lines."""
    runs = [run for name, lines in logs.files.items() for run in split_file(name, lines)]
    return sorted(runs, key=lambda run: run.lines[0].at if run.lines else float("inf"))


def split_file(name, lines):
    """Return the ProcessRuns in a file; a run without any event has the file's name."""
    runs, latest, current = [], {}, None
    for line in lines:
        if isinstance(line, Line):
            previous = latest.get(line.instance)
            current = previous
            if previous is None or previous.begins_another(line):
                current = latest[line.instance] = ProcessRun(line.instance, name)
                runs.append(current)
                if previous is not None:
                    previous.successor = current
            current.lines.append(line)
            current.ends_with_text = False
        else:
            if current is None or current.find(*LAST_EVENTS) is not None:
                instance = current.instance if current is not None else Path(name).stem
                current = ProcessRun(instance, name)
                runs.append(current)
            current.texts = [*current.texts, line][-MAX_TEXT_LINES:]
            current.ends_with_text = True
    return runs


def build_report(subject, logs):
    """Return the EndsReport of an instance, or of all with an empty subject."""
    runs = [run for run in split_runs(logs) if subject in ("", run.instance)]
    shown = {}
    for run in runs:
        for line in select_lines(run, logs.lines):
            shown[line.place] = line
    findings = [finding for run in runs for finding in describe_run(run, logs.lines)]
    findings += describe_common_ends(runs)
    findings += describe_unlogged_restarts(subject, split_runs(logs), logs.lines)
    return EndsReport(
        subject or "all instances",
        sorted(shown.values(), key=lambda line: line.at),
        [text for _, text in sorted(findings)] or ["no end and no failed task in these logs"],
        {describe_text(run): run.texts for run in runs if run.texts},
        find_missing(subject, runs),
    )


def describe_text(run):
    """Return which run the texts of a run belong to."""
    until = f" until {format_time(run.last_at)}" if run.lines else ""
    return f"{run.instance}{until} in {run.file}"


def select_lines(run, lines):
    """Return the lines about a run's start, errors and end, and those that preceded its end."""
    own = [line for line in run.lines if line.event in RUN_EVENTS or get_level(line) >= ERROR]
    if not has_ended(run) or run.find("stopped"):
        return own
    names = {run.instance, find_address(run)}
    before = [
        line
        for line in lines
        if run.last_at - CONTEXT_SECONDS <= line.at <= run.last_at + TOGETHER_SECONDS
        and line.event not in FLOW_EVENT_NAMES
        and (
            get_level(line) >= WARNING
            or line.event in CAUSE_EVENTS
            or line.instance == run.instance
            or line.fields.get("peer") in names
        )
    ]
    return own + before[-MAX_CONTEXT_LINES:]


def get_level(line):
    """Return the level of a line's event."""
    return EVENTS[line.event].level


def has_ended(run):
    """Return whether a run has certainly ended."""
    return bool(run.successor or run.ends_with_text or run.find(*LAST_EVENTS))


def find_address(run):
    """Return the address of a run's process, or an empty string."""
    started = run.find("started")
    return started.fields.get("address", "") if started else ""


def describe_run(run, lines):
    """Return the findings about the failed tasks and the end of a run as (time, text)."""
    findings = describe_failed_tasks(run) + describe_addresses(run)
    at = run.last_at
    prefix = f"{format_time(at)} {run.instance}"
    ended, text = run.find("ended"), find_error(run.texts)
    recorded = run.successor.find("previous_end") if run.successor else None
    reason = recorded.fields.get("reason") if recorded else ""
    if ended:
        findings.append((at, f"{prefix} ended with {describe_error(ended)}"))
    elif run.find("stopped"):
        if text:
            findings.append((at, f"{prefix} stopped, and wrote: {text}"))
    elif not run.lines:
        findings.append((at, f"{run.instance} did not start, or {run.file} has no log: {text}"))
    elif run.ends_with_text:
        findings.append((at, f"{prefix} ended, its last line is text: {text}"))
    elif reason in ("error", "settings"):
        cause = describe_error(recorded)
        findings.append((at, f"{prefix} ended, its last line is missing: {cause}"))
    elif run.successor and reason != "stopped":
        findings.append((at, f"{prefix} ended without a last line: {describe_loss(run)}"))
    return findings


def describe_error(line):
    """Return the error, place and step of an end."""
    fields = line.fields
    code = f"code {fields['code']}: " if "code" in fields else ""
    place = f" at {fields['place']}" if fields.get("place") else ""
    return f"{code}{fields.get('error', '')}{place}, step {fields.get('step', '') or 'unknown'}"


def describe_loss(run):
    """Return what is known about an end without a last line."""
    seconds = run.successor.lines[0].at - run.last_at if run.successor.lines else 0.0
    step = "while it started; " if run.find("started") is None else ""
    step = "during its graceful stop; " if run.find("leaving") else step
    return f"{step}{NO_LAST_LINE}; next line {seconds:.3f} s later"


def describe_failed_tasks(run):
    """Return the findings about the failed tasks of a run, one for each cause."""
    failures = collections.defaultdict(list)
    for line in run.lines:
        if line.event == "task_failed":
            fields = line.fields
            cause = (fields.get("task"), fields.get("error"), fields.get("place"))
            failures[cause].append(line.at)
    return [
        (
            times[0],
            f"{format_time(times[0])} {run.instance} task {task} failed {len(times)} times "
            f"at {place}: {error}",
        )
        for (task, error, place), times in failures.items()
    ]


def describe_addresses(run):
    """Return the finding about an address that a process still waited for at its last line."""
    line = run.find("address_unavailable", "address_available")
    if line is None or line.event == "address_available":
        return []
    address, step, reason = (line.fields.get(k, "") for k in ("address", "step", "reason"))
    text = f"{run.instance} waits for {address} ({step}): {reason}"
    seconds = line.fields.get("waited_ms", 0) / 1000
    return [(line.at, f"{format_time(line.at)} {text}, for {seconds:.1f} s")]


def describe_common_ends(runs):
    """Return findings about instances that ended at the same time without last lines."""
    lost = sorted(
        (run for run in runs if run.lines and run.successor and not run.find(*LAST_EVENTS)),
        key=lambda run: run.last_at,
    )
    groups, findings = [], []
    for run in lost:
        if groups and run.last_at - groups[-1][0].last_at <= TOGETHER_SECONDS:
            groups[-1].append(run)
        else:
            groups.append([run])
    for group in groups:
        names = sorted({run.instance for run in group})
        if len(names) > 1:
            at = group[0].last_at
            text = f"{', '.join(names)} ended within {TOGETHER_SECONDS:g} s without a last line"
            findings.append((at, f"{format_time(at)} {text}: compare their machines"))
    return findings


def describe_unlogged_restarts(subject, runs, lines):
    """Return findings about restarts that control replicas saw of instances without a log."""
    instances = {find_address(run): run.instance for run in runs}
    first, counts = {}, collections.Counter()
    for line in lines:
        peer = line.fields.get("peer")
        if line.event == "instance_restarted" and peer and peer not in instances:
            first.setdefault(peer, line.at)
            counts[peer, line.instance] += 1
    return [
        (
            at,
            f"{format_time(at)} {peer} was restarted, at most "
            f"{max(n for (p, _), n in counts.items() if p == peer)} times at one replica; "
            "its log is not here",
        )
        for peer, at in first.items()
        if subject in ("", peer)
    ]


def find_missing(subject, runs):
    """Return what the logs lack for an answer."""
    if not runs:
        return [f"no line of {subject or 'any instance'} in these logs"]
    left_out = sum(line.event == "left_out" for run in runs for line in run.lines)
    return [f"{left_out} lines say that events were left out"] if left_out else []


def format_time(at):
    """Return Unix seconds as ISO time."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def format_report(report):
    """Format an EndsReport as lines of text."""
    text = [f"{report.subject}: starts, ends and what preceded them"]
    for line in report.lines:
        fields = " ".join(f"{key}={value}" for key, value in line.fields.items() if value != "")
        text.append(f"{format_time(line.at)}  {line.instance}  {line.event}  {fields}")
    for place, texts in report.texts.items():
        text += [f"text of {place}:", *(f"  {line}" for line in texts)]
    text += [f"found: {finding}" for finding in report.findings]
    return text + [f"missing: {missing}" for missing in report.missing]
