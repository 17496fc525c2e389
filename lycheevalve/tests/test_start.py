"""The startup of a process on the platform, before its tasks run."""

import signal

import pytest

from lycheevalve.platform import __main__ as program
from lycheevalve.platform import run


@pytest.fixture
def default_hangup():
    """Restore the default action of SIGHUP, which ends the process."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


class TestSignals:
    """Signals that arrive before the handlers are installed."""

    def test_changed_settings_do_not_end_a_process_that_starts(
        self, default_hangup, monkeypatch
    ):
        """A SIGHUP during the imports ended four replicas silently (soak, seed 15)."""
        seen = []

        def start(path, early_socket):
            seen.append(signal.getsignal(signal.SIGHUP))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert seen == [signal.SIG_IGN]
