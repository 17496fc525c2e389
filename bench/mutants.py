"""
Checks that tests fail when the mechanism that they cover is removed.

Each mutant removes one mechanism from a temporary copy of the tree and runs the
test that covers it; the test must fail. Prints JSON lines.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from bench.mutations.coordination import COORDINATION_MUTANTS
from bench.mutations.flows import FLOW_MUTANTS
from bench.mutations.inputs import INPUT_MUTANTS
from bench.mutations.load import LOAD_MUTANTS

ROOT = Path(__file__).parent.parent
TEST_TIMEOUT_SECONDS = 300
WORKERS = 4
MUTANTS = COORDINATION_MUTANTS + FLOW_MUTANTS + LOAD_MUTANTS + INPUT_MUTANTS


def run_mutant(mutant):
    """Apply a mutant to a copy of the tree and run its test; return the JSON line."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(".venv", ".git", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / "lycheevalve" / mutant.file
        source = path.read_text()
        if source.count(mutant.old) != 1:
            return {"mutant": mutant.name, "result": "not applied"}
        path.write_text(source.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "pytest", "-x", f"lycheevalve/tests/{mutant.test}"]
        try:
            done = subprocess.run(
                command, cwd=copy, capture_output=True, text=True, timeout=TEST_TIMEOUT_SECONDS
            )
            result = {0: "survived", 1: "failed as it should"}.get(done.returncode, "error")
            failed = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
        except subprocess.TimeoutExpired:
            result, failed = "timeout", []
    return {"mutant": mutant.name, "test": mutant.test, "result": result, "failed": failed[:1]}


def mutants(only=""):
    """
    Run all mutants, or those whose names contain ONLY.

    Exits with code 1 unless every mutant applies and makes its test fail.

    Example: python -m bench.mutants --only claims
    """
    selected = [mutant for mutant in MUTANTS if only in mutant.name]
    missed = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for line in pool.map(run_mutant, selected):
            print(json.dumps(line), flush=True)
            missed += line["result"] != "failed as it should"
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    fire.Fire(mutants, serialize=lambda _: None)
