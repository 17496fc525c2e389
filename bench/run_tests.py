"""Runs all tests except those listed in KNOWN-RED.txt, whose ids it prints."""

import subprocess
import sys
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    """Return the test ids of KNOWN-RED.txt: the text of each line before the first `|`."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def main(arguments):
    """Run pytest; return its exit code."""
    tests = read_known_red()
    for test in tests:
        print(f"known red, not run: {test}")
    deselect = [f"--deselect={test}" for test in tests]
    return subprocess.run([sys.executable, "-m", "pytest", *deselect, *arguments]).returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
