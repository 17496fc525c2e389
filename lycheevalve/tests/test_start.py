"""The startup of a process on the platform, before its tasks run."""

import functools
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import trio
import trio.testing

from lycheevalve.config.files import read_toml
from lycheevalve.daemon import early as early_thread
from lycheevalve.exceptions import SettingsError
from lycheevalve.platform import __main__ as program
from lycheevalve.platform import run
from lycheevalve.tests.fakes.role_processes import build_control, wait_for

ROOT = Path(__file__).parent.parent.parent
EARLY_WORDS = (
    "packets=127.0.0.1:0 ip=127.0.0.1 link_port=0 seeds=127.0.0.1:9 data_centre=d key=k"
)


@pytest.fixture
def default_signals():
    """Set the actions with which a process starts; restore those of the test run."""
    actions = {
        signal.SIGHUP: signal.SIG_DFL,
        signal.SIGINT: signal.default_int_handler,
    }
    previous = {number: signal.signal(number, action) for number, action in actions.items()}
    yield
    for number, action in previous.items():
        signal.signal(number, action)


class TestSignals:
    """Signals that arrive before the handlers are installed."""

    def test_sighup_during_startup_is_ignored(self, default_signals, monkeypatch):
        """A SIGHUP during the imports ended four replicas without a log line (soak seed 15)."""
        handlers = []

        def start(path, early, early_error):
            handlers.append(signal.getsignal(signal.SIGHUP))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert handlers == [signal.SIG_IGN]

    def test_sigint_during_startup_ends_the_process_as_sigterm_does(
        self, default_signals, monkeypatch
    ):
        """The stack of an interrupted import looked like a fault of the process."""
        actions = []

        def start(path, early, early_error):
            actions.append(signal.getsignal(signal.SIGINT))
            return 0

        monkeypatch.setattr(run, "run", start)
        assert program.main(["settings.toml"]) == 0
        assert actions == [signal.SIG_DFL]

    @pytest.mark.parametrize(
        "program_arguments",
        [
            ["lycheevalve.platform", "missing.toml"],
            ["lycheevalve.daemon", "--settings", "missing.toml"],
        ],
    )
    def test_ignored_sighup_at_any_time_of_the_startup_ends_no_process(self, program_arguments):
        """Whoever starts a process ignores SIGHUP, as nohup does, until it is handled."""
        processes = []
        for _ in range(20):
            process = subprocess.Popen(
                [sys.executable, "-m", *program_arguments],
                stderr=subprocess.DEVNULL,
                preexec_fn=functools.partial(signal.signal, signal.SIGHUP, signal.SIG_IGN),
            )
            processes.append(process)
            # All processes started so far get the signal at different times of their start.
            for started in processes:
                started.send_signal(signal.SIGHUP)
        assert {process.wait() for process in processes} == {run.EXIT_INVALID_INPUT}


class TestStandardStreams:
    """Processes that are started with closed standard streams."""

    @pytest.mark.parametrize("closed", [(1,), (2,), (1, 2), (0, 1, 2)])
    def test_a_closed_stream_ends_no_process(self, tmp_path, closed):
        """
        Log lines were written to whatever had descriptor 1, as a socket or the log on the disk.

        A closed standard error ended the process.
        """
        replica = build_control(tmp_path)
        replica.limits = lambda: [os.close(descriptor) for descriptor in closed]
        replica.start()

        def connect():
            assert replica.is_running(), replica.read_output()
            with socket.socket() as client:
                return client.connect_ex(replica.address("operators")) == 0

        try:
            wait_for(connect)
            folder = Path(f"/proc/{replica.process.pid}/fd")
            names = {os.readlink(folder / str(descriptor)) for descriptor in closed}
            assert names == {"/dev/null"}
            replica.process.send_signal(signal.SIGTERM)
            assert replica.process.wait(timeout=60) == 0
        finally:
            replica.stop()


class TestImports:
    """Modules that can't be imported, as with an incomplete installation."""

    def test_the_last_line_says_which_module_is_missing(self):
        """Only a stack was printed, which readers of the log did not parse."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        process = subprocess.run(
            # Without site packages, trio is missing.
            [sys.executable, "-S", "role.py", "settings.toml"],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
        )
        assert process.returncode == program.EXIT_FAILED
        event = json.loads(process.stdout.splitlines()[-1])
        assert (event["event"], event["step"]) == ("ended", "import")
        assert "trio" in event["error"]
        assert "Traceback" in process.stderr


class TestLateImports:
    """Modules that are imported once the process serves."""

    def test_a_failed_import_of_the_log_library_ends_no_process(self, tmp_path):
        """A process without a free descriptor, or one whose files were replaced, ended."""
        library = tmp_path / "loguru.py"
        library.write_text(
            "import pathlib\n"
            "with open(pathlib.Path(__file__).with_name('imports'), 'a') as file:\n"
            "    file.write('x')\n"
            "raise ImportError('not found')\n"
        )
        replica = build_control(tmp_path)
        replica.environment = {"PYTHONPATH": str(tmp_path)}
        replica.start()

        def attempts():
            assert replica.is_running(), replica.read_output()
            path = tmp_path / "imports"
            return path.exists() and len(path.read_text()) > 2

        try:
            wait_for(attempts)
            # The file is read again and its events are written once it can be imported.
            library.unlink()
            wait_for(lambda: replica.read_events("started"))
            assert replica.read_events("task_failed")[0]["task"] == "log"
        finally:
            replica.stop()


class TestEarlyThread:
    """A process starts without its early thread when that fails for any reason."""

    @pytest.fixture
    def finders(self):
        """Return the list of import finders; restore it afterwards."""
        finders = list(sys.meta_path)
        yield sys.meta_path
        sys.meta_path[:] = finders

    def test_a_thread_that_cant_be_started_ends_no_process(self, finders, monkeypatch):
        """At the limit on processes of a user, RuntimeError ended the process at once."""

        def start_new_thread(function, arguments):
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(early_thread, "start_new_thread", start_new_thread)
        before, interval = list(finders), sys.getswitchinterval()
        assert program.start_early(EARLY_WORDS) == (None, "can't start new thread")
        # Imports would wait for packets that nothing forwards.
        assert finders == before
        assert sys.getswitchinterval() == interval

    def test_variables_of_any_bytes_end_no_process(self, monkeypatch):
        """Words that aren't UTF-8 ended the process with UnicodeDecodeError."""
        monkeypatch.setitem(program.posix.environ, program.EARLY_VARIABLE, b"ip=\xff key=k")
        early, reason = program.start_early(program.read_variable(program.EARLY_VARIABLE))
        assert early is None
        assert "missing link_port" in reason


class Reloads:
    """Stands in for reload_settings; records the content of the file at each reload."""

    def __init__(self, monkeypatch):
        self.contents = []
        monkeypatch.setattr(run, "reload_settings", self.reload)

    async def reload(self, process, path):
        """Record the content of the file."""
        self.contents.append(path.read_text() if path.exists() else None)


class TestSettingsFile:
    """A settings file that is replaced while a process starts or runs."""

    def watch(self, path, loaded_version, changes):
        """Apply each change between two checks of the file."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.watch_settings, None, path, loaded_version)
                await trio.sleep(run.SETTINGS_POLL_INTERVAL_SECONDS / 2)
                for change in changes:
                    change()
                    await trio.sleep(run.SETTINGS_POLL_INTERVAL_SECONDS)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_file_that_is_missing_for_a_moment_ends_no_process(self, tmp_path, monkeypatch):
        """FileNotFoundError ended a process whose file was replaced as it started."""
        path, reloads = tmp_path / "settings.toml", Reloads(monkeypatch)
        path.write_text("old")
        version = run.read_version(path)
        path.unlink()
        nothing = int
        self.watch(path, version, [nothing, nothing, lambda: path.write_text("new"), nothing])
        assert reloads.contents == [None, "new"]

    @pytest.mark.parametrize("content", [None, "", "cut"])
    def test_a_file_that_is_being_written_ends_no_process(self, tmp_path, monkeypatch, content):
        """A process that read the file at that moment ended with exit code 2."""
        replica = build_control(tmp_path)
        path, times = replica.write_settings(), []
        complete = path.read_text()

        def write(seconds):
            times.append(seconds)
            path.write_text(complete)

        if content is None:
            path.unlink()
        else:
            path.write_text(content and complete[: len(complete) // 2])
        monkeypatch.setattr(run.time, "sleep", write)
        settings, version, errors = run.load_settings(path)
        assert (settings.name, errors) == (replica.settings["name"], ())
        assert version == run.read_version(path)
        assert len(times) == 1

    def test_a_file_that_stays_invalid_is_reported(self, tmp_path, monkeypatch):
        monkeypatch.setattr(run, "SETTINGS_TIMEOUT_SECONDS", 0.0)
        path = tmp_path / "settings.toml"
        settings, version, errors = run.load_settings(path)
        assert (settings, version) == (None, None)
        assert str(path) in str(errors[0])

    def test_a_change_between_loading_and_watching_is_applied(self, tmp_path, monkeypatch):
        """A file replaced while the modules were imported stayed unread until the next."""
        path, reloads = tmp_path / "settings.toml", Reloads(monkeypatch)
        path.write_text("old")
        version = run.read_version(path)
        replacement = tmp_path / "replacement"
        replacement.write_text("new")
        # A replacement may have the time of the file that it replaces.
        os.utime(replacement, ns=(path.stat().st_atime_ns, path.stat().st_mtime_ns))
        replacement.rename(path)
        self.watch(path, version, [int])
        assert reloads.contents == ["new"]

    @pytest.mark.parametrize(
        "content",
        [b"", b"\xff\xfe\0", b"key = ", b"a = " + b"[" * 20_000, b"a = " + b"1" * 10_000],
        ids=["empty", "binary", "cut", "deep", "long number"],
    )
    def test_invalid_content_is_refused(self, tmp_path, content):
        """Deep nesting and long numbers ended processes that read the file again."""
        path = tmp_path / "settings.toml"
        path.write_bytes(content)
        if not content:
            assert read_toml(path) == {}
            return
        with pytest.raises(SettingsError) as raised:
            read_toml(path)
        assert str(path) in str(raised.value)
