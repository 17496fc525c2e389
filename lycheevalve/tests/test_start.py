"""The start of a process on the platform, before its tasks run."""

import signal

import pytest

from lycheevalve.platform import __main__ as program
from lycheevalve.platform import run


@pytest.fixture
def default_hangup():
    """Let SIGHUP end the process, as it does at the start of every program."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


class TestSignals:
    """Signals that come before there is a handler."""

    def test_changed_settings_do_not_end_a_process_that_starts(
        self, default_hangup, monkeypatch
    ):
        """Found by the soak: four replicas ended without a word, seed 15."""
        seen = []

        def start(path, early_socket):
            seen.append(signal.getsignal(signal.SIGHUP))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert seen == [signal.SIG_IGN]
