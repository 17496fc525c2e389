"""Short soak runs of the real processes with fixed seeds, without time bounds."""

import json
import os
import subprocess
import sys

import pytest

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
