"""
Runs an experiment on copies of the tree, each with one decision under load switched off.

The decisions are listed in bench/mutations/ablations.py. Prints a JSON line for each copy,
with the exit code and the last lines of the experiment's output.
"""

import json
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from bench.mutations.ablations import ABLATIONS

ROOT = Path(__file__).parent.parent
IGNORED = (".venv", ".git", "__pycache__", ".hypothesis", "journal", "site")
OUTPUT_LINES = 3


def copy_tree(folder, ablation):
    """Return the path of a new copy of the tree with one decision switched off, or none."""
    copy = folder / (ablation.name if ablation else "nothing")
    shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(*IGNORED))
    if ablation:
        path = copy / "lycheevalve" / ablation.file
        source = path.read_text()
        if source.count(ablation.old) != 1:
            raise SystemExit(f"{ablation.name}: does not apply once to {ablation.file}")
        path.write_text(source.replace(ablation.old, ablation.new))
    return copy


def run_experiment(copy, command):
    """Run a shell command in a copy; return the JSON line."""
    done = subprocess.run(command, cwd=copy, shell=True, capture_output=True, text=True)
    lines = (done.stdout + done.stderr).splitlines()[-OUTPUT_LINES:]
    return {"without": copy.name, "exit": done.returncode, "output": lines}


def ablate(folder, command, only="", jobs=2):
    """
    Run COMMAND in copies below the new FOLDER, JOBS at a time; ONLY selects by name.

    Example: python -m bench.ablate /var/tmp/copies "scripts/soak --seed 1" --only early
    """
    folder = Path(folder)
    folder.mkdir(parents=True)
    selected = [ablation for ablation in ABLATIONS if only in ablation.name]
    copies = [copy_tree(folder, ablation) for ablation in (None, *selected)]
    with ThreadPoolExecutor(jobs) as pool:
        for line in pool.map(lambda copy: run_experiment(copy, command), copies):
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    sys.exit(fire.Fire(ablate))
