"""
The version that runs in production, which deploy/system.toml names.

    python -m bench.production check     checks that it can run beside the current version
    python -m bench.production extract   writes its package into target/ and prints the folder
"""

import json
import os
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
SAMPLES = ROOT / "lycheevalve" / "tests" / "samples"
PACKAGE = ("lycheevalve", "role.py", "requirements.txt")
BUILD_TIMEOUT_SECONDS = 120


class ProductionError(Exception):
    """The production version is unknown, is no ancestor, or does not work."""


def read_commit():
    """Return the commit that is in production."""
    commit = tomllib.loads(DEPLOY_FILE.read_text()).get("production", "")
    if not commit:
        raise ProductionError(f"{DEPLOY_FILE} names no production version")
    return commit


def run_git(*arguments):
    """Return what git prints; raise ProductionError if it fails."""
    done = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True)
    if done.returncode:
        message = done.stderr.decode(errors="replace").strip()
        raise ProductionError(f"git {' '.join(arguments)}: {message}")
    return done.stdout


def extract(commit, folder):
    """Write the package of a commit into a folder, unless it is there; return the folder."""
    if not (folder / "role.py").exists():
        folder.mkdir(parents=True, exist_ok=True)
        archive = run_git("archive", "--format=tar", commit, *PACKAGE)
        with tarfile.open(fileobj=BytesIO(archive)) as opened:
            opened.extractall(folder, filter="data")
    return folder


def extract_to_target(commit):
    """Write the package of a commit into target/; return the folder."""
    name = run_git("rev-parse", "--short=12", f"{commit}^{{commit}}").decode().strip()
    return extract(commit, ROOT / "target" / f"version-{name}")


def run_python(folder, *arguments):
    """Run Python with the package in a folder; return what it prints."""
    done = subprocess.run(
        [sys.executable, *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_SECONDS,
    )
    if done.returncode:
        raise ProductionError(f"{folder}: {' '.join(arguments)}: {done.stderr.strip()}")
    return done.stdout


def find_unread(expected, found, path=""):
    """
    Return where what one version has read differs from what another one has.

    Fields of messages that only one of them knows are left out.
    """
    if isinstance(expected, dict) and isinstance(found, dict):
        common = expected.keys() & found.keys()
        return [
            p for key in common for p in find_unread(expected[key], found[key], f"{path}/{key}")
        ]
    if isinstance(expected, list) and isinstance(found, list) and len(expected) == len(found):
        pairs = enumerate(zip(expected, found, strict=True))
        return [p for n, (e, f) in pairs for p in find_unread(e, f, f"{path}/{n}")]
    return [] if expected == found else [path]


def check_formats(folder):
    """Check that the package in a folder reads the samples of the current version alike."""
    script = str(ROOT / "bench" / "formats.py")
    samples = str(SAMPLES / "current")
    read_by = [json.loads(run_python(tree, script, "read", samples)) for tree in (ROOT, folder)]
    unread = find_unread(*read_by)
    if unread:
        raise ProductionError(f"{folder} reads {', '.join(sorted(unread))} in another way")


def check_version(folder):
    """Check that metrics and logs tell the package in a folder from the current one."""
    script = "import lycheevalve; print(lycheevalve.__version__)"
    old, new = (run_python(tree, "-c", script).strip() for tree in (folder, ROOT))
    if old == new:
        raise ProductionError(f"both versions are named {new}")


def check():
    """Check the production version; raise ProductionError."""
    commit = read_commit()
    if run_git("rev-parse", "--is-shallow-repository").strip() == b"true":
        print(f"production: {commit} not checked, the clone has no history")
        return
    run_git("merge-base", "--is-ancestor", commit, "HEAD")
    with tempfile.TemporaryDirectory() as name:
        folder = extract(commit, Path(name) / "tree")
        run_python(folder, "-m", "compileall", "-q", "lycheevalve", "role.py")
        run_python(folder, "-c", "import lycheevalve.platform.run")
        check_version(folder)
        check_formats(folder)
    print(f"production: {commit} builds, starts and reads the current formats")


def main(arguments):
    """Run a command; return the exit code."""
    try:
        if arguments == ["check"]:
            check()
        elif arguments == ["extract"]:
            print(extract_to_target(read_commit()))
        else:
            print(__doc__, file=sys.stderr)
            return 2
    except ProductionError as error:
        print(f"production: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
