"""A short seeded soak of the real processes; its bounds of time are not checked here."""

import json
import os
import subprocess
import sys

import pytest

DISABLED_CALM_SECONDS = 1_000_000
# Runs beside each other on one machine must not share addresses.
FIRST_NETWORK, NETWORKS = 2, 248


class TestSoak:
    """The promises that need no clock, through faults of every kind."""

    @pytest.mark.parametrize("seed", [1, 4])
    def test_no_violations(self, seed):
        done = subprocess.run(
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
        summary = json.loads(done.stdout)
        assert summary["violations"] == []
        assert summary["answered"] > 0
        assert done.returncode == 0
