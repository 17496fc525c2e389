"""Output and exit codes of the commands."""

import json
import sys

import attrs
import trio

from lycheevalve.exceptions import ConflictError, LycheevalveError, UnavailableError

EXIT_DONE = 0
EXIT_WRONG_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
EXIT_CODES = (
    (UnavailableError, EXIT_UNAVAILABLE),
    (ConflictError, EXIT_REFUSED),
    (LycheevalveError, EXIT_WRONG_INPUT),
)


def show(data, text, as_json):
    """Print `data` as JSON or the lines of `text`."""
    print(json.dumps(data, default=serialize) if as_json else "\n".join(text))


def serialize(value):
    """Return an attrs object as a dictionary for JSON."""
    return attrs.asdict(value)


def run(function, *arguments):
    """Run an async function; on errors print them and exit with their code."""
    try:
        return trio.run(function, *arguments)
    except* LycheevalveError as group:
        fail(group)


def call(function, *arguments):
    """Run a plain function with the same error handling."""

    async def wrapped():
        return function(*arguments)

    return run(wrapped)


def fail(group):
    """Print all errors of a group; exit with the code of the first kind in EXIT_CODES."""
    errors = list(flatten(group))
    for error in errors:
        print(f"lycheevalve: {error}", file=sys.stderr)
    for kind, code in EXIT_CODES:
        if any(isinstance(error, kind) for error in errors):
            sys.exit(code)


def flatten(group):
    """Yield the errors of nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten(error)
        else:
            yield error
