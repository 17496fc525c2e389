"""Soak runs with a range of seeds, one after another."""

import json
import subprocess
import sys


def play_seeds(seeds, options):
    """Run the soak with each seed of FIRST-LAST; return 0 if no run has violations, else 1."""
    first, _, last = str(seeds).partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        is_clean, text = play_seed(seed, options)
        print(f"seed {seed}: {text}", flush=True)
        if not is_clean:
            failed.append(seed)
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


def play_seed(seed, options):
    """Run the soak with a seed; return whether it has no violations, and a line of result."""
    words = [f"--{name}={value}" for name, value in options.items() if value != ""]
    done = subprocess.run(
        [sys.executable, "-m", "bench.soak", f"--seed={seed}", *words],
        capture_output=True,
        text=True,
        check=False,
    )
    try:
        summary = json.loads(done.stdout)
    except ValueError:
        error = "".join(done.stderr.splitlines()[-1:])
        return False, f"the soak ended with code {done.returncode}: {error}"
    text = f"{summary['answered']} answered, {summary['broken']} violations"
    if done.returncode == 0:
        return True, text
    # The last lines name the folder of the logs and the command that repeats the run.
    ending = " ".join(done.stderr.splitlines()[-2:])
    return False, f"{text}, first: {summary['violations'][:1]}; {ending}"
