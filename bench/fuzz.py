"""Runs the Hypothesis tests of state machines and inputs with new seeds for a given time."""

import json
import os
import subprocess
import sys
import time

import fire

STATE_MACHINE_TESTS = (
    "test_consensus.py::TestAcceptedConfiguration",
    "test_flows.py::TestPlannedChanges",
    "test_flows.py::TestFailures",
    "test_requests.py::TestRequests",
    "test_dissemination.py::TestRevisions",
    "test_lease_reports.py::TestLeaseReports",
    "test_inputs.py",
    "test_storage.py::TestDamage",
)


def run_state_machine(test, seed):
    """Run a test with a seed; return the JSON line of the run."""
    command = [
        sys.executable, "-m", "pytest", "-x", f"lycheevalve/tests/{test}",
        f"--hypothesis-seed={seed}",
    ]  # fmt: skip
    environment = os.environ | {"LYCHEEVALVE_PROFILE": "fuzz"}
    started = time.monotonic()
    done = subprocess.run(command, env=environment, capture_output=True, text=True)
    line = {
        "test": test,
        "seed": seed,
        "passed": done.returncode == 0,
        "seconds": round(time.monotonic() - started, 1),
    }
    if done.returncode:
        line["repeat"] = "LYCHEEVALVE_PROFILE=fuzz " + " ".join(["python", *command[1:]])
        line["output"] = done.stdout[-4000:]
    return line


def fuzz(minutes=10, seed=1):
    """
    Run the tests in turn, each round with the next seed, and print JSON lines.

    The line of a failed run contains the command that repeats it.

    Example: scripts/fuzz --minutes 10 --seed 7
    """
    end = time.monotonic() + minutes * 60
    failed = runs = 0
    while time.monotonic() < end:
        test = STATE_MACHINE_TESTS[runs % len(STATE_MACHINE_TESTS)]
        line = run_state_machine(test, seed + runs // len(STATE_MACHINE_TESTS))
        print(json.dumps(line), flush=True)
        runs += 1
        failed += not line["passed"]
    print(json.dumps({"runs": runs, "failed": failed, "minutes": minutes, "seed": seed}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(fuzz, serialize=lambda _: None)
