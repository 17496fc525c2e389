"""Output and exit codes of the commands."""

import base64
import json
import sys

import attrs
import trio

from lycheevalve.exceptions import ConflictError, LycheevalveError, UnavailableError

EXIT_SUCCESS = 0
EXIT_INVALID_INPUT = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4
EXIT_CODES = (
    (UnavailableError, EXIT_UNAVAILABLE),
    (ConflictError, EXIT_REFUSED),
    (LycheevalveError, EXIT_INVALID_INPUT),
)


def print_result(data, text, as_json):
    """Print `data` as JSON or the lines of `text`."""
    print(json.dumps(data, default=serialize) if as_json else "\n".join(text))


def serialize(value):
    """Return an attrs object as a dictionary for JSON, and bytes as base64."""
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    return attrs.asdict(value)


def run_async(function, *arguments):
    """Run an async function; on errors print them and exit with their code."""
    try:
        return trio.run(function, *arguments)
    except* LycheevalveError as group:
        exit_with_errors(group)


def run_sync(function, *arguments):
    """Run a plain function with the same error handling."""

    async def wrapped():
        return function(*arguments)

    return run_async(wrapped)


def exit_with_errors(group):
    """Print all errors of a group; exit with the code of the first kind in EXIT_CODES."""
    errors = list(flatten_errors(group))
    for error in errors:
        print(f"lycheevalve: {error}", file=sys.stderr)
    for kind, code in EXIT_CODES:
        if any(isinstance(error, kind) for error in errors):
            sys.exit(code)


def flatten_errors(group):
    """Yield the errors of nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten_errors(error)
        else:
            yield error
