"""
Boundaries of units of work: one connection, message, event, timer or task.

An unexpected error in a unit is logged and counted, and that unit alone is given up:
trio would otherwise cancel all other tasks, and the process would end.
"""

import collections
import contextlib

import attrs
import trio

from lycheevalve.logs.queue import record

# The pause before a failed task is started again doubles from the first value to the second,
# and starts anew after the task has run for longer than the second.
MIN_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 3.0

MAX_ERROR_CHARACTERS = 1000
PACKAGE = __name__.partition(".")[0]

# How many units have failed, by (task, type of the error).
failures = collections.Counter()


def report_failure(task, error, peer=""):
    """Log and count the error of a unit; of a group, each of its errors."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            report_failure(task, inner, peer)
        return
    kind = type(error).__name__
    failures[task, kind] += 1
    text = repr(error)[:MAX_ERROR_CHARACTERS]
    record("task_failed", task=task, peer=peer, error=text, place=find_place(error))


def find_place(error):
    """Return the innermost line of this package that an error passed, as `module:line`."""
    place, step = "", error.__traceback__
    while step is not None:
        module = step.tb_frame.f_globals.get("__name__", "")
        if module.startswith(PACKAGE):
            place = f"{module}:{step.tb_lineno}"
        step = step.tb_next
    return place


@contextlib.contextmanager
def contain(task, peer=""):
    """Run the block as one unit of work; an error of it is reported and goes no further."""
    try:
        yield
    except Exception as error:
        report_failure(task, error, peer)


async def run_unit(task, function, *args):
    """Await `function(*args)` as one unit of work."""
    with contain(task):
        await function(*args)


async def keep_running(task, function, *args):
    """Await `function(*args)` until it returns; after an error start it again."""
    pause = MIN_RESTART_SECONDS
    while True:
        started_at = trio.current_time()
        with contain(task):
            await function(*args)
            return
        if trio.current_time() - started_at > MAX_RESTART_SECONDS:
            pause = MIN_RESTART_SECONDS
        await trio.sleep(pause)
        pause = min(MAX_RESTART_SECONDS, 2 * pause)


@attrs.define
class Start:
    """The start of a server, reported once however often the server is started."""

    task_status: object
    is_reported: bool = False

    def started(self, value=None):
        """Report the first start."""
        if not self.is_reported:
            self.is_reported = True
            self.task_status.started(value)


async def keep_serving(task, serve, *args, task_status=trio.TASK_STATUS_IGNORED):
    """
    Await `serve(*args, task_status)` as `keep_running` does.

    An error before the first start leaves this function: the caller can't go on without the
    server.
    """
    start = Start(task_status)

    async def serve_once():
        await serve(*args, task_status=start)

    try:
        await serve_once()
        return
    except Exception as error:
        if not start.is_reported:
            raise
        report_failure(task, error)
    await trio.sleep(MIN_RESTART_SECONDS)
    await keep_running(task, serve_once)
