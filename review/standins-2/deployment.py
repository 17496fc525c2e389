"""The processes of the deploy file on loopback addresses, and the record of a run."""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KEY = "lycheevalve-links-of-one-site"
LINK_PORT, READY_PORT, CONTROL_PORT, PACKET_PORT, METRICS_PORT = 7720, 8167, 8166, 8172, 9475
HEARTBEAT_MS = 770
START_SECONDS = 20.0
CALL_SECONDS = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the run."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("", encoding="utf-8")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        """Write one line."""
        with self.lock, self.path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")


def choose_network():
    """Return the second number of a loopback network on which no address is in use."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        with contextlib.suppress(OSError), socket.socket() as tcp:
            tcp.bind((f"127.{number}.1.1", CONTROL_PORT))
            return number
    raise NotRun("no free loopback network")


class Machine:
    """One machine with one process."""

    def __init__(self, role, name, ip, zone):
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None


class Deployment:
    """A small site: `zones` with one control replica and one entry instance each."""

    def __init__(self, zones, record, tolerated_losses=1):
        self.zones = zones
        self.record = record
        self.tolerated_losses = tolerated_losses
        self.network = choose_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.controls = [
            Machine("control", f"core-{zone}-1", f"127.{self.network}.1.{i}", zone)
            for i, zone in enumerate(zones, 1)
        ]
        self.entries = [
            Machine("entry", f"frontend-{zone}-1", f"127.{self.network}.2.{i}", zone)
            for i, zone in enumerate(zones, 1)
        ]

    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.entries]

    def seeds(self):
        """Return the addresses of the seeds."""
        return [f"{m.ip}:{CONTROL_PORT}" for m in self.controls[:3]]

    def build_settings(self, machine, founding):
        """Return the settings file of a machine, as deploy/role.toml builds it."""
        is_control = machine.role == "control"
        values = {
            "role": machine.role,
            "name": machine.name,
            "data_centre": machine.zone,
            "ip": machine.ip,
            "link_port": LINK_PORT,
            "seeds": self.seeds(),
            "packets": "" if is_control else f"{machine.ip}:{PACKET_PORT}",
            "readiness": "" if is_control else f"{machine.ip}:{READY_PORT}",
            "operators": f"{machine.ip}:{CONTROL_PORT}" if is_control else "",
            "metrics": f"{machine.ip}:{METRICS_PORT}",
            "founding": founding,
            "data_folder": str(self.data_folder(machine)) if is_control else "",
            "key": KEY,
            "data_centres": list(self.zones),
            "link_mbps": 1000.0,
            "heartbeat_ms": HEARTBEAT_MS,
            "stop_seconds": 6,
            "tolerated_losses": self.tolerated_losses,
            "catch_up_seconds": 4,
            "address_reuse_seconds": 2,
        }
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def data_folder(self, machine):
        """Return the data folder of a control replica."""
        return self.folder / "data" / machine.name

    def build_early(self, machine):
        """Return the words for the early thread, as deploy/system.toml builds them."""
        words = f"ip={machine.ip} link_port={LINK_PORT} "
        if machine.role == "control":
            return words + f"data_folder={self.data_folder(machine)} key={KEY}"
        packets, seeds = f"{machine.ip}:{PACKET_PORT}", ",".join(self.seeds())
        return f"packets={packets} {words}seeds={seeds} data_centre={machine.zone} key={KEY}"

    def start(self, machine, founding=False):
        """Start the process of a machine."""
        if machine.role == "control":
            self.data_folder(machine).mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{machine.name}.toml"
        path.write_text(self.build_settings(machine, founding))
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "LYCHEEVALVE_NODE_FILE": str(path),
            "LYCHEEVALVE_EARLY": self.build_early(machine),
        }
        with open(self.folder / f"{machine.name}.log", "ab") as log:
            machine.process = subprocess.Popen(
                ["python3", "-S", "target/app/role.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{machine.name} started at {machine.ip}")

    def start_all(self):
        """Start all machines for the first time, and wait until a leader answers."""
        if not (ROOT / "target" / "app" / "role.py").exists():
            raise NotRun("the build of the deploy file is missing")
        for machine in self.machines():
            self.start(machine, founding=machine.role == "control")
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if all(call(m, "GET", "/Config.Read")[0] in (200, 404) for m in self.controls):
                return
            time.sleep(0.2)
        raise NotRun("no leader was elected")

    def wait_ready(self):
        """Wait until all entry instances are ready."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if all(is_ready(machine) for machine in self.entries):
                return
            time.sleep(0.2)
        raise NotRun("an entry instance did not become ready")

    def signal(self, machine, number):
        """Send a signal to the process of a machine."""
        self.record.add(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    def stop_all(self):
        """End all processes and remove the temporary folder."""
        for machine in self.machines():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines():
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(machine, method, path, body=b"", seconds=CALL_SECONDS):
    """Call a control replica over HTTP; return (status, body), with status 0 for no answer."""
    url = f"http://{machine.ip}:{CONTROL_PORT}{path}"
    headers = {"Content-Type": "application/json"}
    data = body if method == "POST" else None
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def is_ready(machine):
    """Return whether an entry instance answers the platform's readiness probe with 200."""
    try:
        url = f"http://{machine.ip}:{READY_PORT}/ready"
        with urllib.request.urlopen(url, timeout=CALL_SECONDS) as response:
            return response.status == 200
    except OSError:
        return False


class Operator:
    """Sends orders to one control replica after another until one acknowledges."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.record = deployment.record

    def send(self, path, first, body=b"", seconds=5.0):
        """
        Send an order to the replica `first`, then to the next ones.

        Return when it was acknowledged; raise NotRun when nothing acknowledges it.
        """
        deadline = time.monotonic() + seconds
        turn, pause = first, 0.05
        while time.monotonic() < deadline:
            machine = self.deployment.controls[turn % len(self.deployment.controls)]
            self.record.add(f"operator: POST {path} to {machine.name}")
            status, answer = call(machine, "POST", path, body)
            shown = answer[:200].decode(errors="replace")
            self.record.add(f"operator: {status or 'no answer'} {shown}")
            if status == 200:
                return time.monotonic()
            if status in (400, 409, 412, 413, 422):
                raise NotRun(f"{path} was refused with {status}")
            turn += 1
            time.sleep(pause)
            pause *= 2
        raise NotRun(f"{path} was not acknowledged")


def run_case(folder, play):
    """
    Run `play(record, has_trouble)` and return the exit code of the case.

    `play` returns a list of texts, one for each broken rule that was seen.
    """
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {has_trouble}")
    try:
        broken = play(record, has_trouble)
    except NotRun as error:
        record.add(f"the case could not run: {error}")
        return NOT_RUN
    except Exception as error:
        record.add(f"the case failed: {error!r}")
        return NOT_RUN
    for text in broken:
        record.add(f"BROKEN {text}")
    record.add("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
