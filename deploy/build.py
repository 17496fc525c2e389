"""
Builds what processes run into target/: libraries into deps, the package into app.

Run: python3 deploy/build.py

A folder is built beside the present one, tried, and put in its place at once, so that
processes that run or start meanwhile find a whole one. Its stamp says from what it was
built: a folder whose stamp is right is left as it is, if the processes' modules can be
imported from it.
"""

import compileall
import ctypes
import fcntl
import hashlib
import os
import py_compile
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# What a process imports at its start or later; libraries that are written in C included.
MODULES = (
    "loguru",
    "lycheevalve.daemon.control",
    "lycheevalve.daemon.entry",
    "lycheevalve.daemon.exposition_text",
    "lycheevalve.daemon.http_connection",
    "lycheevalve.platform.__main__",
    "lycheevalve.platform.codec",
    "lycheevalve.platform.documents",
    "lycheevalve.platform.early",
    "lycheevalve.platform.operators",
    "lycheevalve.platform.run",
    "thrift.protocol.fastbinary",
)
LEFT_OUT = ("__pycache__", "tests")
STAMP_NAME = "built-from"
LOCK_NAME = "build.lock"
# Constants of renameat2.
AT_FDCWD = -100
RENAME_EXCHANGE = 2


class BuildError(Exception):
    """The build failed; what was built before is still in place."""


def describe_interpreter():
    """Return what compiled modules depend on: Python's version, the machine and its libc."""
    return sysconfig.get_config_var("SOABI")


def list_sources(root):
    """Return the files of the package, relative to the root, in a fixed order."""
    files = [p.relative_to(root) for p in (root / "lycheevalve").rglob("*") if p.is_file()]
    return [Path("role.py"), *sorted(p for p in files if not set(p.parts) & set(LEFT_OUT))]


def compute_stamp(root, files):
    """Return the stamp of a folder that is built from files of the root."""
    digest = hashlib.sha256(describe_interpreter().encode())
    for file in files:
        content = (root / file).read_bytes()
        digest.update(b"%s %d\n" % (os.fsencode(file), len(content)))
        digest.update(content)
    return digest.hexdigest()


def read_stamp(folder):
    """Return the stamp of a folder; empty if it has none."""
    path = folder / STAMP_NAME
    return path.read_text(errors="replace") if path.is_file() else ""


def install_libraries(root, folder):
    """Install the pinned libraries into a folder; raise BuildError on failure."""
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-compile"]
    command += ["--target", str(folder), "-r", str(root / "requirements.txt")]
    if subprocess.run(command).returncode:
        raise BuildError("the libraries of requirements.txt could not be installed")


def copy_package(root, folder):
    """Copy the package into a folder."""
    for file in list_sources(root):
        (folder / file).parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(root / file, folder / file)


def compile_folder(folder):
    """
    Compile the modules in a folder.

    Processes may not write there, and copies of the folder may have other file times.
    """
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    compileall.compile_dir(folder, quiet=2, invalidation_mode=mode)


def check_imports(deps, app, modules=MODULES):
    """Return why the modules of a process can't be imported; empty if they can."""
    # As in deploy/system.toml: -S leaves out the site packages of the machine.
    command = [sys.executable, "-S", "-c", f"import {', '.join(modules)}"]
    path = os.pathsep.join(map(str, (app, deps)))
    environment = os.environ | {"PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(
        command, env=environment, cwd=app, capture_output=True, text=True, errors="replace"
    )
    if not done.returncode:
        return ""
    return (done.stderr.strip().splitlines() or [f"exit code {done.returncode}"])[-1]


def exchange(first, second):
    """Exchange the names of two folders at once; return whether the system can do that."""
    rename = getattr(ctypes.CDLL(None), "renameat2", None)
    paths = (AT_FDCWD, os.fsencode(first), AT_FDCWD, os.fsencode(second))
    return rename is not None and rename(*paths, RENAME_EXCHANGE) == 0


def put_in_place(new, folder):
    """Put a new folder in the place of another one, and remove that."""
    if folder.is_dir() and not folder.is_symlink() and exchange(new, folder):
        shutil.rmtree(new)
        return
    remove(folder)
    new.rename(folder)


def remove(path):
    """Remove a folder or file, if it exists."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


class Build:
    """
    One build of the repository at `root`.

    `fill_deps(root, folder)` installs the libraries; `check(deps, app)` returns why two
    folders don't work together.
    """

    def __init__(self, root, fill_deps=install_libraries, check=check_imports):
        self.root = root
        self.target = root / "target"
        self.check = check
        self.fill = {"deps": fill_deps, "app": copy_package}
        self.stamps = {
            "deps": compute_stamp(root, [Path("requirements.txt")]),
            "app": compute_stamp(root, list_sources(root)),
        }

    def run(self):
        """Build what is out of date or doesn't work; raise BuildError on failure."""
        self.target.mkdir(exist_ok=True)
        with open(self.target / LOCK_NAME, "w") as lock:
            # Another build may be running; the lock is released when its process ends.
            fcntl.flock(lock, fcntl.LOCK_EX)
            for leftover in self.target.glob("new-*"):
                remove(leftover)
            for name, folder in self.make_outdated().items():
                put_in_place(folder, self.target / name)

    def make_outdated(self):
        """Return new folders by name; together with the present ones they work."""
        present = {name: self.target / name for name in self.stamps}
        made = {
            name: self.make(name)
            for name, folder in present.items()
            if read_stamp(folder) != self.stamps[name]
        }
        reason = self.check(**(present | made))
        if reason:
            # Files of a folder may have been lost since its stamp was written.
            made |= {name: self.make(name) for name in present.keys() - made.keys()}
            reason = self.check(**made)
        if reason:
            raise BuildError(f"the modules of a process can't be imported: {reason}")
        return made

    def make(self, name):
        """Build a folder beside its place; return its path. The stamp is written last."""
        new = self.target / f"new-{name}-{os.getpid()}"
        new.mkdir()
        self.fill[name](self.root, new)
        compile_folder(new)
        (new / STAMP_NAME).write_text(self.stamps[name])
        return new


def main():
    """Build; return the exit code."""
    try:
        Build(ROOT).run()
    except (BuildError, OSError) as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
