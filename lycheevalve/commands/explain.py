"""`lycheevalve explain`: timeline of a request or flow from logs."""

from pathlib import Path

import attrs

from lycheevalve.commands import output
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.logs.story import build_text, read_logs, tell_story


def explain(subject, *logs, json=False):
    """
    Show the timeline of a request (by its id) or flow from logs of any processes.

    Lines that can't be parsed are counted and listed.

    Example: lycheevalve explain 1c2e7a90b3d4 logs/*.jsonl
    """
    return output.call(show_story, str(subject), logs, json)


def show_story(subject, logs, as_json):
    """Read the files and print the timeline."""
    if not logs:
        raise LycheevalveError("at least one log file is required", "explain")
    lines = read_logs({name: read_text(name) for name in map(str, logs)})
    story = tell_story(subject, lines.lines)
    data = attrs.asdict(story) | {"bad_lines": lines.bad, "bad_places": lines.bad_places}
    output.show(data, build_text(story, lines), as_json)


def read_text(name):
    """Return the lines of a file; invalid UTF-8 is replaced."""
    try:
        return Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise LycheevalveError(f"can't read {name}: {error.strerror}", "explain") from error
