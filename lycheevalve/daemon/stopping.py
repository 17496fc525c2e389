"""The stop of a process at a signal, also of one that hasn't started yet."""

import trio

from lycheevalve.daemon.events import Stop
from lycheevalve.logs.queue import record

# A process that is still starting this long after the signal waits for an address.
START_TIMEOUT_SECONDS = 2.0


async def stop(process, scope):
    """
    Stop a process gracefully once it has started; cancel `scope` if it can't start.

    Until then it handles no events, and serves nothing.
    """
    with trio.move_on_after(START_TIMEOUT_SECONDS):
        await process.started.wait()
    if process.started.is_set():
        await process.inbox.send(Stop())
    else:
        record("stopped")
        scope.cancel()
