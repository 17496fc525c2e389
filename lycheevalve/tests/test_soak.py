"""Short soak runs of the real processes with fixed seeds, and the checks of the soak itself."""

import json
import os
import signal
import subprocess
import sys

import attrs
import pytest
import trio

from bench.soak import series
from bench.soak.site import Site, find_failures

# Time bounds are checked only after this time without faults; this value disables them.
DISABLED_CALM_SECONDS = 1_000_000
# Concurrent runs on one machine need different loopback networks.
FIRST_NETWORK, NETWORKS = 2, 248


class TestSoak:
    """Guarantees without time bounds hold during planned changes and faults."""

    @pytest.mark.parametrize("seed", [1, 4])
    def test_no_violations(self, seed):
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "bench.soak",
                f"--seed={seed}",
                "--minutes=0.15",
                f"--calm-seconds={DISABLED_CALM_SECONDS}",
                f"--network={FIRST_NETWORK + os.getpid() % NETWORKS}",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        summary = json.loads(completed.stdout)
        assert summary["violations"] == []
        assert summary["answered"] > 0
        assert completed.returncode == 0


@attrs.define
class ExitedProcess:
    """A process that has exited."""

    returncode: int

    def poll(self):
        """Return the exit code."""
        return self.returncode


class TestExits:
    """Which exits of processes are violations."""

    @pytest.mark.parametrize(
        ("signals", "code", "found"),
        [
            ({signal.SIGTERM}, 0, 0),
            ({signal.SIGTERM, signal.SIGHUP}, 0, 0),
            ({signal.SIGTERM}, -signal.SIGTERM, 0),
            ({signal.SIGKILL, signal.SIGCONT}, -signal.SIGKILL, 0),
            (set(), 0, 1),
            (set(), 1, 1),
            (set(), -signal.SIGKILL, 1),
            ({signal.SIGTERM}, 1, 1),
            ({signal.SIGTERM}, -signal.SIGSEGV, 1),
            ({signal.SIGKILL}, 1, 1),
            ({signal.SIGHUP}, -signal.SIGHUP, 1),
        ],
    )
    def test_exit_that_no_signal_explains(self, tmp_path, monkeypatch, signals, code, found):
        """Guards against processes that end by themselves while an event uses their machine."""
        site = Site(tmp_path, 7610, 2, entry_count=1, control_count=1)
        monkeypatch.setattr(trio, "current_time", lambda: 0.0)
        machine = site.machines["entry-1"]
        machine.process, machine.signals = ExitedProcess(code), signals
        site.check_exit(machine)
        site.check_exit(machine)
        assert len(site.ledger.violations) == found


class TestLogs:
    """Which lines in the logs of processes are violations."""

    def test_failures_are_found(self, tmp_path):
        """Guards against contained errors and tracebacks that the soak does not notice."""
        failure = {"event": "task_failed", "error": "OSError()", "place": "daemon.links:9"}
        lines = [
            json.dumps({"event": "started"}),
            json.dumps(failure | {"peer": "127.9.1.1:7"}),
            json.dumps(failure | {"peer": "127.9.1.1:8"}),
            json.dumps(failure | {"peer": "127.9.7.7:8"}),
            "Traceback (most recent call last):",
            "ValueError: no",
            '{"event": "cut by a k',
        ]
        path = tmp_path / "entry-1.jsonl"
        path.write_text("\n".join(lines))
        assert find_failures(path, "127.9.7.7") == [
            "task_failed: OSError() at daemon.links:9 (2 times)",
            "text that is no event: ValueError: no (1 times)",
        ]

    def test_log_without_failures(self, tmp_path):
        path = tmp_path / "entry-1.jsonl"
        path.write_text(json.dumps({"event": "stopped"}) + "\n")
        assert find_failures(path, "127.9.7.7") == []


class TestSeries:
    """Runs with a range of seeds."""

    def test_exit_code_and_lines(self, monkeypatch, capsys):
        """Guards against a series that succeeds although one of its runs has failed."""
        monkeypatch.setattr(series, "play_seed", lambda seed, options: (seed != 3, "text"))
        assert series.play_seeds("1-2", {}) == 0
        assert series.play_seeds("2-4", {}) == 1
        assert series.play_seeds(4, {}) == 0
        assert "seed 3: text\nseed 4: text\nfailed seeds: [3]" in capsys.readouterr().out
