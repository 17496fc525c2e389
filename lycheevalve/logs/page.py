"""
Generate docs/EVENTS.md, the reference of all log events.

`python -m lycheevalve.logs.page` writes the page; CI compares it (`--check`).
"""

import sys
from pathlib import Path

from lycheevalve.logs.schema import EVENTS, LEVEL_NAMES

PAGE = Path(__file__).parents[2] / "docs" / "EVENTS.md"
HEAD = """# Events

Each log line is one event with `time`, `level`, `event`, `instance` and the fields below.
The names of ages and durations end in `_ms`; an age of -1 means never.
Generated from `logs/schema.py`.

| event | level | fields | meaning | max lines per second |
|---|---|---|---|---|
"""


def build_row(event):
    """Return the table row of an event."""
    fields = ", ".join(f"`{name}`" for name in event.fields) or "none"
    level = LEVEL_NAMES[event.level]
    return (
        f"| `{event.name}` | {level} | {fields} | {event.meaning} "
        f"| {event.max_lines_per_second} |\n"
    )


def build_page():
    """Return the page as Markdown."""
    return HEAD + "".join(build_row(event) for event in EVENTS.values())


def main(arguments):
    """Write the page, or with `--check` compare it; return the exit code."""
    if "--check" not in arguments:
        PAGE.write_text(build_page())
        return 0
    if PAGE.exists() and PAGE.read_text() == build_page():
        return 0
    print("docs/EVENTS.md is out of date", file=sys.stderr)
    print("run: python -m lycheevalve.logs.page", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
