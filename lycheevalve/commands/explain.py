"""`lycheevalve explain`: timeline of a request or flow from logs."""

from pathlib import Path

import attrs

from lycheevalve.commands import output
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.logs.timeline import build_timeline, format_timeline, parse_logs


def explain(subject, *logs, json=False):
    """
    Show the timeline of a request (by its id) or flow from logs of any processes.

    Lines that can't be parsed are counted and listed.

    Example: lycheevalve explain 1c2e7a90b3d4 logs/*.jsonl
    """
    return output.run_sync(show_timeline, str(subject), logs, json)


def show_timeline(subject, logs, as_json):
    """Read the files and print the timeline."""
    if not logs:
        raise LycheevalveError("at least one log file is required", "explain")
    parsed = parse_logs({name: read_text(name) for name in map(str, logs)})
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
