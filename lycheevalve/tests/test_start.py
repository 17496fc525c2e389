"""The startup of a process on the platform, before its tasks run."""

import functools
import signal
import subprocess
import sys

import pytest

from lycheevalve.platform import __main__ as program
from lycheevalve.platform import run


@pytest.fixture
def default_sighup():
    """Restore the default action of SIGHUP, which ends the process."""
    previous_handler = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, previous_handler)


class TestSignals:
    """Signals that arrive before the handlers are installed."""

    def test_sighup_during_startup_is_ignored(self, default_sighup, monkeypatch):
        """A SIGHUP during the imports ended four replicas without a log line (soak seed 15)."""
        handlers = []

        def start(path, early, early_error):
            handlers.append(signal.getsignal(signal.SIGHUP))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert handlers == [signal.SIG_IGN]

    @pytest.mark.parametrize(
        "program_arguments",
        [
            ["lycheevalve.platform", "missing.toml"],
            ["lycheevalve.daemon", "--settings", "missing.toml"],
        ],
    )
    def test_ignored_sighup_at_any_time_of_the_startup_ends_no_process(self, program_arguments):
        """Whoever starts a process ignores SIGHUP, as nohup does, until it is handled."""
        processes = []
        for _ in range(20):
            process = subprocess.Popen(
                [sys.executable, "-m", *program_arguments],
                stderr=subprocess.DEVNULL,
                preexec_fn=functools.partial(signal.signal, signal.SIGHUP, signal.SIG_IGN),
            )
            processes.append(process)
            # All processes started so far get the signal at different times of their start.
            for started in processes:
                started.send_signal(signal.SIGHUP)
        assert {process.wait() for process in processes} == {run.EXIT_INVALID_INPUT}
