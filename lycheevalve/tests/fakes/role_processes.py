"""Real processes of roles on loopback, each with its settings, output and data folder."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import attrs

KEY = "key-of-the-tests-not-secret"
# A condition must hold within this time, which is far longer than any step takes.
WAIT_TIMEOUT_SECONDS = 60.0
PORTS = range(10_000, 32_000)


def find_port(host, kind=socket.SOCK_STREAM):
    """
    Return a port that is free at a loopback address until a process binds it.

    The system gives the ports above to connections, and the next one to another test.
    """
    generator = random.SystemRandom()
    while True:
        port = generator.choice(PORTS)
        with socket.socket(socket.AF_INET, kind) as opened, contextlib.suppress(OSError):
            opened.bind((host, port))
            return port


def wait_for(condition):
    """Wait until `condition()` returns a true value; return it."""
    end = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError("the condition did not hold in time")


@attrs.define
class RoleProcess:
    """
    One process of a role: `settings` are written to its file at each start.

    `command` runs it; `limits` is called in the new process before that.
    """

    folder: Path
    settings: dict
    command: tuple = (sys.executable, "-m", "lycheevalve.platform")
    environment: dict = attrs.field(factory=dict)
    limits: object = None
    process: object = None
    # How often the process had logged its start before the latest one.
    earlier_starts: int = 0

    @property
    def output_path(self):
        """Return the file that has the output of all starts."""
        return self.folder / f"{self.settings['name']}.jsonl"

    def address(self, key):
        """Return the (ip, port) of a setting."""
        host, _, port = self.settings[key].rpartition(":")
        return host, int(port)

    def link_address(self):
        """Return the (ip, port) at which the process accepts links."""
        return self.settings["ip"], self.settings["link_port"]

    def write_settings(self):
        """Write the settings file; return its path."""
        path = self.folder / f"{self.settings['name']}.toml"
        lines = (f"{key} = {json.dumps(value)}\n" for key, value in self.settings.items())
        path.write_text("".join(lines))
        return path

    def start(self):
        """Start the process; its output is appended to a file."""
        path = self.write_settings()
        self.earlier_starts = len(self.read_events("started"))
        with open(self.output_path, "a") as output:
            self.process = subprocess.Popen(
                [*self.command, str(path)],
                env={**os.environ, **self.environment},
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                preexec_fn=self.limits,
            )
        return self

    def is_running(self):
        """Return whether the process runs."""
        return self.process.poll() is None

    def read_output(self):
        """Return the output of all starts."""
        return self.output_path.read_text(errors="replace") if self.output_path.exists() else ""

    def read_events(self, name=None):
        """Return the events in the output, or those with a name."""
        events = []
        for line in self.read_output().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return [event for event in events if name in (None, event.get("event"))]

    def wait_until_started(self):
        """Wait until the process has logged its start; fail if it ends before."""

        def started():
            assert self.is_running(), self.read_output()
            return len(self.read_events("started")) > self.earlier_starts

        wait_for(started)
        return self

    def stop(self):
        """Kill the process if it runs."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def build_control(folder, host="127.0.0.1", name="control-1", **changes):
    """Return the RoleProcess of a control replica that founds a site of its own."""
    data_folder = folder / f"data-{name}"
    data_folder.mkdir(exist_ok=True)
    settings = {
        "role": "control",
        "name": name,
        "data_centre": "dc1",
        "ip": host,
        "link_port": find_port(host),
        "operators": f"{host}:{find_port(host)}",
        "metrics": f"{host}:{find_port(host)}",
        "data_folder": str(data_folder),
        "founding": True,
        "tolerated_losses": 0,
        "key": KEY,
        "heartbeat_ms": 500,
    }
    settings["seeds"] = [settings["operators"]]
    return RoleProcess(folder, settings | changes)


def build_entry(folder, replica, host="127.0.0.2", name="entry-1", **changes):
    """Return the RoleProcess of an entry instance that polls a control replica."""
    settings = {
        "role": "entry",
        "name": name,
        "data_centre": "dc1",
        "ip": host,
        "link_port": replica.settings["link_port"],
        "seeds": replica.settings["seeds"],
        "packets": f"{host}:{find_port(host, socket.SOCK_DGRAM)}",
        "readiness": f"{host}:{find_port(host)}",
        "metrics": f"{host}:{find_port(host)}",
        "key": KEY,
        "heartbeat_ms": 500,
    }
    return RoleProcess(folder, settings | changes)
