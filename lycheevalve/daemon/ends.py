"""
How the process ends: its last log line, and a record for the next start.

A process with a data folder records there that it runs, once it has started, and at its end
why it ended. The next start logs and counts that end.
"""

import faulthandler
import os
import signal
import sys
import time
import traceback
from pathlib import Path

import attrs
import trio

from lycheevalve import __version__
from lycheevalve.coordination.run_record import (
    ERROR,
    RUNNING,
    SETTINGS,
    STOPPED,
    RunRecord,
    count_ends,
    get_reason,
    read_run_record,
    write_run_record,
)
from lycheevalve.daemon.boundaries import find_place
from lycheevalve.exceptions import LycheevalveError, SettingsError
from lycheevalve.logs.queue import record, writer

# Exit code and reason by the type of the error; the first match counts.
EXITS = (
    (type(None), 0, STOPPED),
    (KeyboardInterrupt, 128 + signal.SIGINT, STOPPED),
    (SettingsError, 2, SETTINGS),
    (BaseException, 1, ERROR),
)
# The message of these errors says what operators need; others are printed with their stack.
EXPLAINED_ERRORS = (LycheevalveError, KeyboardInterrupt)
# A record that can't be written, as on a full disk, is tried again after this time.
RETRY_INTERVAL_SECONDS = 5.0
MAX_ERROR_CHARACTERS = 1000


@attrs.define(eq=False)
class Run:
    """The run of this process, with the ends of earlier ones in its data folder by reason."""

    started_at: float = attrs.field(factory=time.time)
    # "start" or "run".
    step: str = "start"
    folder: object = None
    previous_ends: dict = attrs.field(factory=dict)
    is_recorded: bool = False

    def record_state(self, state, details):
        """
        Write the state of this run; raise OSError on failure.

        Return the RunRecord of the previous run the first time, if there is one. Blocks,
        and may run in a thread.
        """
        previous = None if self.is_recorded else read_run_record(self.folder)
        ends = count_ends(previous) if previous is not None else self.previous_ends
        write_run_record(self.folder, RunRecord(state, details, ends))
        self.previous_ends, self.is_recorded = ends, True
        return previous


# The run of this process.
current_run = Run()


def run_to_end(function, folder=""):
    """
    Log the start, call `function()`, log how it ended, and return the exit code.

    `folder` is the data folder, or empty.
    """
    current_run.folder = Path(folder) if folder else None
    record("starting", pid=os.getpid(), version=__version__)
    if sys.__stderr__ is not None:
        # A crash in native code writes its stack to standard error.
        faulthandler.enable(sys.__stderr__)
    try:
        function()
    except BaseException as error:
        return finish(error)
    return finish()


def finish(error=None):
    """Log and record the end of the process, by an error or not; return its exit code."""
    cause = find_cause(error)
    code, reason = next((c, r) for kind, c, r in EXITS if isinstance(cause, kind))
    # What preceded the end comes before the stack, and before a disk that may not answer.
    write_log()
    if cause is not None and not isinstance(cause, EXPLAINED_ERRORS):
        traceback.print_exception(error)
    details = {
        "code": code,
        "error": describe_error(cause),
        "place": "" if cause is None else find_place(cause) or find_place(error),
        "step": current_run.step,
    }
    record_end(reason, details)
    if cause is not None:
        record(
            "ended",
            code=code,
            reason=reason,
            error=details["error"],
            place=details["place"],
            step=details["step"],
        )
    failure = write_log()
    if failure is not None:
        print(f"lycheevalve: ended, {reason}: {details}; no log: {failure!r}", file=sys.stderr)
    return code


def write_log():
    """Write the queued events; return the error if they can't be written, or None."""
    try:
        writer.close()
    except Exception as error:
        # Formatting needs memory and descriptors, which may be what is missing.
        return error
    return None


def find_cause(error):
    """Return the first error of nested groups that is not a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe_error(error):
    """Return the type and message of an error; empty without one."""
    if error is None:
        return ""
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]


async def record_start():
    """Record in the data folder that the process has started."""
    current_run.step = "run"
    while current_run.folder is not None:
        try:
            previous = await trio.to_thread.run_sync(current_run.record_state, RUNNING, {})
        except OSError as error:
            record("run_not_recorded", reason=str(error))
            await trio.sleep(RETRY_INTERVAL_SECONDS)
        else:
            log_previous_end(previous)
            return


def record_end(reason, details):
    """Record the end of this run in the data folder; a failure is logged."""
    if current_run.folder is None:
        return
    try:
        log_previous_end(current_run.record_state(reason, details))
    except OSError as error:
        record("run_not_recorded", reason=str(error))


def log_previous_end(previous):
    """Log how the previous run in the data folder ended, if there was one."""
    if previous is None:
        return
    details = previous.details
    record(
        "previous_end",
        reason=get_reason(previous),
        error=str(details.get("error", "")),
        place=str(details.get("place", "")),
        step=str(details.get("step", "")),
    )
