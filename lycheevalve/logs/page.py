"""
The page of all events, docs/EVENTS.md.

Written by `python -m lycheevalve.logs.page`, compared by CI (`--check`).
"""

import sys
from pathlib import Path

from lycheevalve.logs.schema import EVENTS, LEVEL_NAMES

PAGE = Path(__file__).parents[2] / "docs" / "EVENTS.md"
HEAD = """# Events

Each line of a log is one event: `time`, `level`, `event`, `instance` and these fields.
Ages end in `_ms`; -1 means never. Generated from `logs/schema.py`.

| event | level | fields | meaning | lines a second |
|---|---|---|---|---|
"""


def build_row(event):
    """Return one row of the table."""
    fields = ", ".join(f"`{name}`" for name in event.fields) or "none"
    level = LEVEL_NAMES[event.level]
    return f"| `{event.name}` | {level} | {fields} | {event.meaning} | {event.per_second} |\n"


def build_page():
    """Return the page."""
    return HEAD + "".join(build_row(event) for event in EVENTS.values())


def main(arguments):
    """Write the page, or with `--check` compare it."""
    if "--check" not in arguments:
        PAGE.write_text(build_page())
        return 0
    if PAGE.exists() and PAGE.read_text() == build_page():
        return 0
    print("docs/EVENTS.md is not current", file=sys.stderr)
    print("run: python -m lycheevalve.logs.page", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
