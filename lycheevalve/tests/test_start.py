"""The startup of a process on the platform, before its tasks run."""

import signal

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

        def start(path, early_socket):
            handlers.append(signal.getsignal(signal.SIGHUP))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert handlers == [signal.SIG_IGN]
