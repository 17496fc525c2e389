"""`lycheevalve explain`: requests, flows and ends of processes from logs."""

from pathlib import Path

import attrs

from lycheevalve.commands import output
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.logs.process_ends import build_report, format_report
from lycheevalve.logs.timeline import build_timeline, format_timeline, parse_logs

# The subject that stands for the ends of all instances.
ALL_ENDS = "ends"


def explain(subject, *logs, json=False):
    """
    Show the timeline of a request (by its id), flow or instance from logs of any processes.

    An instance's name shows its starts, failed tasks and ends, and what preceded them;
    SUBJECT "ends" shows those of all instances.
    Lines that can't be parsed are counted and listed.

    Example: lycheevalve explain 1c2e7a90b3d4 logs/*.jsonl
    """
    return output.run_sync(show_timeline, str(subject), logs, json)


def show_timeline(subject, logs, as_json):
    """Read the files and print the timeline, or the starts and ends of instances."""
    if not logs:
        raise LycheevalveError("at least one log file is required", "explain")
    parsed = parse_logs({name: read_text(name) for name in map(str, logs)})
    if subject == ALL_ENDS or subject in {line.instance for line in parsed.lines}:
        report = build_report("" if subject == ALL_ENDS else subject, parsed)
        output.print_result(attrs.asdict(report), format_report(report), as_json)
        return
    timeline = build_timeline(subject, parsed.lines)
    data = attrs.asdict(timeline) | {
        "bad_lines": parsed.bad_count,
        "bad_places": parsed.bad_places,
    }
    output.print_result(data, format_timeline(timeline, parsed), as_json)


def read_text(name):
    """Return the lines of a file; invalid UTF-8 is replaced."""
    try:
        return Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise LycheevalveError(f"can't read {name}: {error.strerror}", "explain") from error
