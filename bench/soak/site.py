"""The site under test: entry and control processes, the fabric, and the checks."""

import collections
import functools
import hashlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import trio

from bench.soak.http_client import call, keep_calling
from bench.soak.upstreams import Ledger
from lycheevalve.logs.process_ends import find_error
from lycheevalve.tests.fakes.platform import READ_PATH, READY_PATH

ZONES = ("dc1", "dc2", "dc3", "dc4")
SERVICES = ("nightsync", "restreport")
LINK_PORT = 7600
READY_PORT = 7601
CONTROL_PORT = 7602
METRICS_PORT = 7603
KEY = "key-of-the-soak-not-secret"
PROBE_INTERVAL_SECONDS = 0.5
# The platform restarts an exited process after a short delay.
RESTART_INTERVAL_SECONDS = 0.3
CALL_INTERVAL_SECONDS = 0.3
STOP_TIMEOUT_SECONDS = 8.0
# Signals that end a process, with the exit codes that may follow: a process that is starting
# has no handler for SIGTERM.
EXIT_CODES = {signal.SIGTERM: (0, -signal.SIGTERM), signal.SIGKILL: (-signal.SIGKILL,)}
# Events that say that a process met an error that the soak did not cause.
FAILURE_EVENTS = ("task_failed", "ended")
# The address of a stopped upstream is in use again after this time.
ADDRESS_REUSE_SECONDS = 2.0
# An acknowledged evacuation must be in force at all instances within this time.
EVACUATE_SECONDS = 3.0


@attrs.define
class Machine:
    """A machine with its role, address, data centre and process."""

    name: str
    role: str
    ip: str
    zone: str
    process: object = None
    # The folder of the version that its process runs; None is the current one.
    tree: object = None
    ready: bool = False
    failed_probes: int = 0
    # The signals sent to the process, and whether its end was checked.
    signals: set = attrs.field(factory=set)
    is_exit_checked: bool = False

    def tcp_addresses(self):
        """Return the addresses at which the process accepts connections."""
        ports = {"entry": (READY_PORT,), "control": (LINK_PORT, CONTROL_PORT)}[self.role]
        return [(self.ip, port) for port in (*ports, METRICS_PORT)]


@attrs.define(eq=False)
class Site:
    """The machines, the fabric that routes packets to them, and the results of the checks."""

    folder: Path
    fabric_port: int
    # The loopback network of this run is 127.NETWORK.*.*.
    network: int
    entry_count: int
    control_count: int
    machines: dict = attrs.field(factory=dict)
    ledger: Ledger = attrs.field(factory=Ledger)
    failures: collections.Counter = attrs.field(factory=collections.Counter)
    answered: int = 0
    dropped_segments: int = 0
    last_fault_at: float = float("-inf")
    # When the evacuation of a data centre was acknowledged, until its withdrawal is sent.
    evacuated_at: dict = attrs.field(factory=dict)
    # Time bounds are checked only if no fault has occurred for this long.
    calm_seconds: float = 8.0
    founding: bool = True
    # The folders of the versions that run side by side; None is the current one.
    trees: tuple = (None,)

    def __attrs_post_init__(self):
        for number in range(self.control_count):
            zone = ZONES[number % len(ZONES)]
            ip = f"127.{self.network}.1.{number + 1}"
            self.add_machine(Machine(f"control-{number + 1}", "control", ip, zone))
        for number in range(self.entry_count):
            zone = ZONES[number % len(ZONES)]
            ip = f"127.{self.network}.2.{number + 1}"
            self.add_machine(Machine(f"entry-{number + 1}", "entry", ip, zone))

    def add_machine(self, machine):
        """Add a machine."""
        self.machines[machine.name] = machine

    @property
    def intruder_ip(self):
        """Return the address that malformed input is sent from."""
        return f"127.{self.network}.7.7"

    def machine_names(self, role):
        """Return the names of the machines of a role."""
        return [m.name for m in self.machines.values() if m.role == role]

    def control_addresses(self):
        """Return the (ip, port) of the HTTP servers of all control replicas."""
        return [(m.ip, CONTROL_PORT) for m in self.machines.values() if m.role == "control"]

    # Processes.

    def list_seeds(self):
        """Return the addresses of the first control replicas."""
        return [f"{ip}:{CONTROL_PORT}" for ip, _ in self.control_addresses()][:3]

    def write_settings(self, machine):
        """Write the settings file of a machine's process; return its path."""
        values = {
            "role": machine.role,
            "name": machine.name,
            "data_centre": machine.zone,
            "ip": machine.ip,
            "link_port": LINK_PORT,
            "seeds": self.list_seeds(),
            "founding": self.founding,
            "key": KEY,
            "heartbeat_ms": 500,
            "metrics": f"{machine.ip}:{METRICS_PORT}",
        }
        if machine.role == "entry":
            values["packets"] = f"{machine.ip}:{self.fabric_port}"
            values["readiness"] = f"{machine.ip}:{READY_PORT}"
        else:
            values["operators"] = f"{machine.ip}:{CONTROL_PORT}"
            values["data_folder"] = str(self.folder / f"data-{machine.name}")
            (self.folder / f"data-{machine.name}").mkdir(exist_ok=True)
            if machine.tree is None:
                # Earlier versions refuse settings that they don't have.
                values["address_reuse_seconds"] = ADDRESS_REUSE_SECONDS
        path = self.folder / f"{machine.name}.toml"
        path.write_text("".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items()))
        return path

    def build_environment(self, machine):
        """Return the variables from which a process starts its early thread."""
        words = {"ip": machine.ip, "link_port": LINK_PORT, "key": KEY}
        if machine.role == "entry":
            words["packets"] = f"{machine.ip}:{self.fabric_port}"
            words["seeds"] = ",".join(self.list_seeds())
            words["data_centre"] = machine.zone
        else:
            words["data_folder"] = self.folder / f"data-{machine.name}"
        early = " ".join(f"{key}={value}" for key, value in words.items())
        return {"LYCHEEVALVE_EARLY": early}

    def start_process(self, name):
        """
        Start a machine's process of its version; its output is appended to NAME.jsonl.

        SIGHUP is ignored until the process handles it, as under nohup: it could arrive
        before the interpreter runs any code of the process.
        """
        machine = self.machines[name]
        self.check_exit(machine)
        machine.signals, machine.is_exit_checked = set(), False
        path = self.write_settings(machine)
        # The package in the working directory takes precedence over the installed one.
        environment = {**os.environ, **self.build_environment(machine)}
        with open(self.folder / f"{name}.jsonl", "a") as output:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "lycheevalve.platform", str(path)],
                env=environment,
                cwd=machine.tree,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                preexec_fn=functools.partial(signal.signal, signal.SIGHUP, signal.SIG_IGN),
            )

    def send_signal(self, name, number):
        """Send a signal to a machine's process if it is running."""
        machine = self.machines[name]
        if machine.process is not None and machine.process.poll() is None:
            machine.signals.add(number)
            machine.process.send_signal(number)

    async def wait_for_exit(self, name):
        """Wait until a machine's process has exited; kill it after a timeout."""
        process = self.machines[name].process
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while process.poll() is None:
                await trio.sleep(0.05)
            return
        self.ledger.violations.append(f"{name} did not exit within {STOP_TIMEOUT_SECONDS} s")
        process.kill()
        process.wait()

    def kill_processes(self):
        """Kill all processes that this run started."""
        for name, machine in self.machines.items():
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)
            if machine.process is not None:
                machine.process.wait()

    async def restart_exited(self, busy):
        """Check the exits of processes; restart those that exit outside of events."""
        while True:
            for name, machine in self.machines.items():
                self.check_exit(machine)
                if name not in busy and machine.process.poll() is not None:
                    self.record_violation(f"{name} was not running outside of an event")
                    self.start_process(name)
            await trio.sleep(RESTART_INTERVAL_SECONDS)

    def check_exit(self, machine):
        """Record the exit of a process as a violation unless a signal of the run caused it."""
        process = machine.process
        if process is None or process.poll() is None or machine.is_exit_checked:
            return
        machine.is_exit_checked = True
        allowed = {code for n in machine.signals for code in EXIT_CODES.get(n, ())}
        if process.returncode not in allowed:
            names = sorted(signal.Signals(number).name for number in machine.signals)
            self.record_violation(
                f"{machine.name} exited with code {process.returncode} after signals {names}"
            )
            self.record_fault()

    async def stop_all(self, busy):
        """Stop all processes gracefully, and check their exits."""
        busy.update(self.machines)
        self.record_fault()
        for name in self.machines:
            self.send_signal(name, signal.SIGTERM)
        for name, machine in self.machines.items():
            await self.wait_for_exit(name)
            self.check_exit(machine)

    def check_logs(self):
        """Record errors in the logs of all processes that no malformed input explains."""
        for name in self.machines:
            for text in find_failures(self.folder / f"{name}.jsonl", self.intruder_ip):
                self.ledger.violations.append(f"{name} logged {text}")

    async def keep_connections(self):
        """Call all HTTP ports over connections that stay open until a process has exited."""
        async with trio.open_nursery() as nursery:
            for machine in self.machines.values():
                for ip, port in machine.tcp_addresses():
                    if port != LINK_PORT:
                        nursery.start_soon(
                            keep_calling, (ip, port), READ_PATH, CALL_INTERVAL_SECONDS
                        )

    # The fabric.

    async def probe_entries(self):
        """Probe the readiness of all entry instances, as the fabric does."""
        async with trio.open_nursery() as nursery:
            for name in self.machine_names("entry"):
                nursery.start_soon(self.probe_entry, self.machines[name])

    async def probe_entry(self, machine):
        """Probe an entry instance regularly; two failed probes take it out of rotation."""
        while True:
            status, _ = await call((machine.ip, READY_PORT), "GET", READY_PATH)
            machine.failed_probes = 0 if status == 200 else machine.failed_probes + 1
            machine.ready = status == 200 or (machine.ready and machine.failed_probes < 2)
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    def choose_entry(self, segment, zone):
        """
        Return the address of the entry instance that a segment is sent to.

        Ready instances of the caller's data centre come first, then ready ones of any
        data centre, then all. Among them a hash of the flow's addresses decides.
        """
        entries = [self.machines[name] for name in self.machine_names("entry")]
        near = [m for m in entries if m.zone == zone and m.ready]
        candidates = near or [m for m in entries if m.ready] or entries
        key = f"{segment.sender}{segment.receiver}".encode()
        digest = int.from_bytes(hashlib.sha256(key).digest()[:4], "big")
        return candidates[digest % len(candidates)].ip, self.fabric_port

    # Checks.

    def record_fault(self):
        """Record that a fault was injected or has ended just now."""
        self.last_fault_at = trio.current_time()

    def is_calm(self):
        """Return whether no fault was injected or has ended within `calm_seconds`."""
        return trio.current_time() - self.last_fault_at > self.calm_seconds

    def is_evacuated(self, zone):
        """Return whether no new flow may reach the upstreams of a data centre."""
        acknowledged_at = self.evacuated_at.get(zone, float("inf"))
        return trio.current_time() > acknowledged_at + EVACUATE_SECONDS and self.is_calm()

    def record_violation(self, text):
        """Record a violated guarantee with the current time."""
        self.ledger.violations.append(f"{trio.current_time():.3f} {text}")

    def record_failed_session(self, caller, flow, reason, is_open):
        """
        Count a failed session.

        Planned changes must not fail any, so without recent faults it is a violation.
        """
        self.failures[reason] += 1
        if self.is_calm():
            state = "open" if is_open else "opening"
            endpoints = f"{caller.ip}:{flow.port}-{flow.front_door[0]}:{flow.front_door[1]}"
            self.record_violation(f"{state} flow {endpoints} failed: {reason}")

    def check_answer(self, front_door, request, answer):
        """Check that an answer is for this request, from a service of the front door."""
        self.answered += 1
        service, _, answered_request = answer.decode().rpartition("\r\n")[2].partition(" ")
        if answered_request != request or service not in self.ledger.front_doors[front_door]:
            self.record_violation(
                f"request {request} to front door {front_door} got the wrong answer {answer!r}"
            )

    def check_duplicate_runs(self):
        """Check that no request ran twice."""
        for request, count in self.ledger.runs.items():
            if count > 1:
                self.record_violation(f"request {request} ran {count} times")


def find_failures(path, excused_ip):
    """
    Return the failures in a log: events about them, and text that is no event.

    Failures of connections from an address are excused, as malformed input caused them.
    """
    failures, texts = collections.Counter(), []
    for line in path.read_text(errors="replace").splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            # The line of a killed process may be cut.
            texts += [line] if line.strip() and not line.startswith("{") else []
            continue
        if event["event"] in FAILURE_EVENTS and excused_ip not in event.get("peer", ""):
            place = f"{event['event']}: {event['error']} at {event['place']}"
            failures[place] += 1
    if texts:
        failures[f"text that is no event: {find_error(texts)}"] += 1
    return [f"{text} ({count} times)" for text, count in failures.items()]
