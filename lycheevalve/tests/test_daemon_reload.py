"""SIGHUP to lycheevalved when reading its settings fails in an unexpected way."""

import os
import signal
import time

import trio

from lycheevalve.daemon import main
from lycheevalve.daemon.boundaries import MAX_RESTART_SECONDS, keep_running


class TestReload:
    """Repeated signals to reload."""

    # The handlers are removed until the failed task is started again: SIGHUP ended the process.
    def test_second_sighup_after_an_unexpected_error_is_handled(self, monkeypatch):
        def fail(path):
            raise MemoryError

        monkeypatch.setattr(main, "load_instance_settings", fail)
        seen = []
        previous = signal.signal(signal.SIGHUP, lambda *_: seen.append("not handled"))

        async def run():
            with trio.move_on_after(2 * MAX_RESTART_SECONDS):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        keep_running,
                        "signals",
                        main.watch_signals,
                        None,
                        "a.toml",
                        nursery.cancel_scope,
                    )
                    for _ in range(6):
                        await trio.sleep(0.02)
                        os.kill(os.getpid(), signal.SIGHUP)
                    # A signal that is still queued at the end would reach the previous handler.
                    await trio.sleep(0.1)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(run)
            time.sleep(0.01)
        finally:
            signal.signal(signal.SIGHUP, previous)
        assert seen == []
