"""The build of target/ with a package and a library of the tests, without any network."""

import ast
import functools
import importlib.util
import os
import subprocess
import sys
import sysconfig
import threading
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
LIBRARY = "VALUE = 1\n"


def load_program():
    """Return the module deploy/build.py, which is in no package."""
    spec = importlib.util.spec_from_file_location("deploy_build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


program = load_program()


class Checkout:
    """A repository with a package that imports one library."""

    def __init__(self, root):
        self.root = root
        (root / "lycheevalve").mkdir()
        (root / "lycheevalve" / "__init__.py").write_text("import library\n")
        (root / "role.py").write_text("import lycheevalve\n")
        (root / "requirements.txt").write_text("library==1\n")
        self.installs = 0

    def install(self, root, folder):
        """Install the library."""
        self.installs += 1
        (folder / "library.py").write_text(LIBRARY)

    def build(self, install=None):
        """Build as deploy/build.py does."""
        check = functools.partial(program.check_imports, modules=("lycheevalve",))
        program.Build(self.root, install or self.install, check).run()

    def starts(self):
        """Return whether a process starts with the command of deploy/system.toml."""
        process = subprocess.run(
            [sys.executable, "-S", "target/app/role.py"],
            cwd=self.root,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps"},
            stderr=subprocess.DEVNULL,
        )
        return process.returncode == 0

    def list_files(self):
        """Return the inode and modification time of all that was built, by path."""
        paths = [
            path for path in (self.root / "target").rglob("*") if path.name != "build.lock"
        ]
        return {path: (path.stat().st_ino, path.stat().st_mtime_ns) for path in paths}


@pytest.fixture
def checkout(tmp_path):
    """Return a Checkout that was built once."""
    checkout = Checkout(tmp_path)
    checkout.build()
    assert checkout.starts()
    return checkout


class TestUpToDate:
    """A build of what is built already."""

    def test_nothing_is_touched(self, checkout):
        """Each build removed target/app, from which processes import modules late."""
        before = checkout.list_files()
        checkout.build()
        assert checkout.list_files() == before
        assert checkout.installs == 1

    def test_file_times_don_t_matter(self, checkout):
        """A checkout may be newer than target/, as when that is kept between clones."""
        os.utime(checkout.root / "requirements.txt")
        os.utime(checkout.root / "role.py")
        before = checkout.list_files()
        checkout.build()
        assert checkout.list_files() == before


class TestOutdated:
    """Folders that were built from something else, or are incomplete."""

    def test_an_older_file_with_other_requirements_is_installed(self, checkout):
        """Files of an archive keep their times; only these were compared."""
        path = checkout.root / "requirements.txt"
        path.write_text("library==2\n")
        os.utime(path, (0, 0))
        checkout.build()
        assert checkout.installs == 2

    @pytest.mark.parametrize("content", [(), ("library.py",), ("other.py",)])
    def test_an_installation_without_stamp_is_replaced(self, checkout, content):
        """One that was cut passed for complete, and no process started."""
        deps = checkout.root / "target" / "deps"
        for path in deps.rglob("*"):
            if path.is_file() and path.name not in content:
                path.unlink()
        checkout.build()
        assert checkout.installs == 2
        assert checkout.starts()

    def test_libraries_of_another_interpreter_are_replaced(self, checkout, monkeypatch):
        """Modules in C for another machine or Python passed for complete."""
        with monkeypatch.context() as patch:
            patch.setattr(program, "describe_interpreter", lambda: "cpython-39-sparc")
            checkout.build()
        assert checkout.installs == 2
        checkout.build()
        assert checkout.installs == 3

    @pytest.mark.parametrize("name", ["deps/library.py", "app/lycheevalve/__init__.py"])
    @pytest.mark.parametrize("is_changed", [False, True])
    def test_files_lost_after_the_build_are_restored(self, checkout, name, is_changed):
        path = checkout.root / "target" / name
        path.unlink()
        for compiled in path.parent.rglob("*.pyc"):
            compiled.unlink()
        if is_changed:
            (checkout.root / "role.py").write_text("import lycheevalve, library\n")
        checkout.build()
        assert checkout.starts()

    @pytest.mark.parametrize("kind", ["file", "link"])
    def test_anything_else_in_place_of_a_folder_is_replaced(self, checkout, kind):
        deps = checkout.root / "target" / "deps"
        program.remove(deps)
        deps.write_text("") if kind == "file" else deps.symlink_to("/nowhere")
        checkout.build()
        assert checkout.starts()

    def test_a_removed_module_doesn_t_stay(self, checkout):
        (checkout.root / "lycheevalve" / "old.py").write_text("")
        checkout.build()
        (checkout.root / "lycheevalve" / "old.py").unlink()
        checkout.build()
        assert not list((checkout.root / "target" / "app").rglob("old*"))


class TestFailures:
    """Builds that fail or are killed."""

    def test_a_failed_installation_leaves_the_present_one(self, checkout):
        """Pip replaced the libraries one after the other, so half of them were new."""

        def fail(root, folder):
            (folder / "library.py").write_text("")
            raise program.BuildError("no network")

        (checkout.root / "requirements.txt").write_text("library==2\n")
        before = checkout.list_files().items()
        with pytest.raises(program.BuildError):
            checkout.build(fail)
        assert before <= checkout.list_files().items()
        assert checkout.starts()

    def test_libraries_that_can_t_be_imported_fail_the_build(self, checkout):
        """The build reported success and no process started."""
        (checkout.root / "requirements.txt").write_text("library==2\n")
        with pytest.raises(program.BuildError) as raised:
            checkout.build(lambda root, folder: None)
        assert "No module named 'library'" in str(raised.value)
        assert checkout.starts()

    def test_a_build_killed_half_way_is_repeated(self, checkout):
        """What it had installed passed for complete at the next build."""

        def install_half(root, folder):
            (folder / "half.py").write_text("")
            raise KeyboardInterrupt

        (checkout.root / "requirements.txt").write_text("library==2\n")
        with pytest.raises(KeyboardInterrupt):
            checkout.build(install_half)
        assert checkout.starts()
        checkout.build()
        assert checkout.starts()
        names = {path.name for path in (checkout.root / "target").iterdir()}
        assert names == {"app", "deps", "build.lock"}

    def test_a_missing_installer_fails_the_program(self, tmp_path, monkeypatch, capsys):
        Checkout(tmp_path)
        monkeypatch.setattr(program, "ROOT", tmp_path)
        monkeypatch.setattr(sys, "executable", "/bin/false")
        assert program.main() == 1
        assert "could not be installed" in capsys.readouterr().err


class TestConcurrency:
    """Builds beside each other and beside processes."""

    def test_two_builds_at_once_follow_each_other(self, tmp_path):
        """One removed target/app while the other copied into it, and failed."""
        checkout = Checkout(tmp_path)
        started = threading.Event()
        installing = []

        def install(root, folder):
            installing.append(folder)
            started.set()
            # Gives another build time to reach this point if nothing prevents that.
            threading.Event().wait(0.2)
            assert len(installing) == 1
            checkout.install(root, folder)
            installing.clear()

        first = threading.Thread(target=checkout.build, args=(install,))
        first.start()
        started.wait(60)
        checkout.build(install)
        first.join()
        assert checkout.installs == 1
        assert checkout.starts()

    def test_processes_find_all_files_during_a_build(self, checkout):
        """A process that imported a module while target/app was copied ended."""
        paths = [
            checkout.root / "target" / name
            for name in ("app/lycheevalve/__init__.py", "deps/library.py")
        ]
        is_over = threading.Event()
        missing = []

        def watch():
            while not is_over.is_set():
                missing.extend(path for path in paths if not path.exists())

        watcher = threading.Thread(target=watch)
        watcher.start()
        for number in range(2, 6):
            (checkout.root / "requirements.txt").write_text(f"library=={number}\n")
            (checkout.root / "role.py").write_text(f"import lycheevalve\n# {number}\n")
            checkout.build()
        is_over.set()
        watcher.join()
        assert checkout.installs == 5
        assert missing == []

    def test_files_are_readable_for_other_users(self, tmp_path):
        """Processes run as another user than the build."""
        checkout = Checkout(tmp_path)
        previous = os.umask(0o022)
        try:
            checkout.build()
        finally:
            os.umask(previous)
        for path in (checkout.root / "target").rglob("*"):
            bits = 0o005 if path.is_dir() else 0o004
            assert path.stat().st_mode & bits == bits, path


class TestProgram:
    """deploy/build.py and the package that it builds."""

    def test_the_deploy_file_runs_it(self):
        settings = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        assert settings["build"].split() == ["python3", "deploy/build.py"]

    def test_modules_of_processes_can_be_imported(self):
        """With the libraries of the tests, which are those of requirements.txt and others."""
        deps = sysconfig.get_path("platlib")
        assert program.check_imports(deps, ROOT) == ""

    def test_late_imports_are_checked(self):
        """A module that is imported late would be found missing while a process serves."""
        late = set()
        for folder in ("daemon", "logs", "platform"):
            for path in (ROOT / "lycheevalve" / folder).glob("*.py"):
                late |= find_late_imports(ast.parse(path.read_text()))
        late = {name for name in late if name.partition(".")[0] not in sys.stdlib_module_names}
        assert "lycheevalve.daemon.http_connection" in late
        assert "lycheevalve.daemon.entry" in late
        assert late <= set(program.MODULES) | {"lycheevalve.platform"}


def find_late_imports(tree):
    """Return the modules that functions of a module import."""
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    found = set()
    for function in (node for node in ast.walk(tree) if isinstance(node, functions)):
        for node in ast.walk(function):
            if isinstance(node, ast.Import):
                found |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                found.add(node.module)
            elif isinstance(node, ast.Call) and getattr(node.func, "id", "") == "load_module":
                found |= {a.value for a in node.args if isinstance(a, ast.Constant)}
    return found
