"""A small site: the programs of the deploy file on loopback, the routers and the operator."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path

from standins.http import call, encode

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-the-review-not-secret"
PROBE_SECONDS = 0.5
# The platform restarts a process that ended after a short delay.
RESTART_SECONDS = 0.5
MAX_SECONDS = 112


class CannotRun(Exception):
    """The case could not be run."""


class Node:
    """A machine with its role and its process."""

    def __init__(self, name, role, ip, zone):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.missed = 99
        self.wanted = False
        self.founding = True
        # The seeds in its settings file, or None for the first replicas.
        self.seeds = None
        # Ends of the process that nobody asked for, as exit codes.
        self.own_ends = []

    @property
    def in_rotation(self):
        """Return whether the routers send packets to it."""
        return self.missed < 2


class Site:
    """
    The processes of a site with the settings of a small deployment, and a record of events.

    `heartbeat_ms` is that of lmwu-sleeplog unless a case takes another site.
    """

    def __init__(self, case, zones=4, entries_per_zone=1, heartbeat_ms=770):
        self.heartbeat_ms = heartbeat_ms
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.log = (case / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.zones = [f"zone-{letter}" for letter in "abcdef"[:zones]]
        self.network, self.base = find_free_ports()
        self.link_port, self.ready_port = self.base, self.base + 1
        self.control_port, self.metrics_port = self.base + 2, self.base + 3
        self.packet_port = self.base + 4
        self.nodes = {}
        self.founding = True
        for number, zone in enumerate(self.zones):
            self.add_node(f"core-{number + 1}", "control", f"1.{number + 1}", zone)
        for number in range(zones * entries_per_zone):
            zone = self.zones[number % zones]
            self.add_node(f"entry-{number + 1}", "entry", f"2.{number + 1}", zone)
        self.tasks = []
        self.events = []

    def add_node(self, name, role, suffix, zone):
        """Add a machine."""
        self.nodes[name] = Node(name, role, f"127.{self.network}.{suffix}", zone)

    def record(self, event, subject="", **details):
        """Write an event to record.txt."""
        seconds = time.monotonic() - self.started_at
        self.events.append((seconds, event, subject, details))
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.log.write(f"{seconds:8.3f} {event} {subject} {text}".rstrip() + "\n")
        self.log.flush()

    def list_nodes(self, role):
        """Return the machines of a role."""
        return [node for node in self.nodes.values() if node.role == role]

    def control_addresses(self):
        """Return the (ip, port) of the control plane of all machines that serve it."""
        return [(node.ip, self.control_port) for node in self.list_nodes("control")]

    # Processes.

    def write_settings(self, node):
        """Write the settings file of a process; return its path."""
        if node.seeds is None:
            node.seeds = [f"{ip}:{port}" for ip, port in self.control_addresses()[:3]]
        seeds = node.seeds
        is_control = node.role == "control"
        folder = self.folder / f"data-{node.name}"
        values = {
            "role": node.role,
            "name": node.name,
            "data_centre": node.zone,
            "ip": node.ip,
            "link_port": self.link_port,
            "seeds": seeds,
            "packets": "" if is_control else f"{node.ip}:{self.packet_port}",
            "readiness": "" if is_control else f"{node.ip}:{self.ready_port}",
            "operators": f"{node.ip}:{self.control_port}" if is_control else "",
            "metrics": f"{node.ip}:{self.metrics_port}",
            "founding": self.founding and node.founding,
            "data_folder": str(folder) if is_control else "",
            "key": KEY,
            "data_centres": self.zones,
            "link_mbps": 1000.0,
            "heartbeat_ms": self.heartbeat_ms,
            "stop_seconds": 6,
            "tolerated_losses": 1,
        }
        if is_control:
            folder.mkdir(exist_ok=True)
        path = self.folder / f"{node.name}.toml"
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in values.items()]
        path.write_text("".join(lines))
        words = {"ip": node.ip, "link_port": self.link_port, "key": KEY}
        if is_control:
            words["data_folder"] = folder
        else:
            words["packets"] = values["packets"]
            words["seeds"] = ",".join(seeds)
            words["data_centre"] = node.zone
        return path, " ".join(f"{key}={value}" for key, value in words.items())

    def start(self, name):
        """Start the process of a machine with the command of the deploy file."""
        node = self.nodes[name]
        path, early = self.write_settings(node)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LYCHEEVALVE_NODE_FILE": str(path),
            "LYCHEEVALVE_EARLY": early,
        }
        output = (self.folder / f"{name}.log").open("ab")
        node.process = subprocess.Popen(
            ["python3", "-S", "target/app/role.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        node.wanted = True
        self.record("start", name)

    async def terminate(self, name):
        """Stop a process with SIGTERM and wait for its end; SIGKILL after graceS."""
        node = self.nodes[name]
        node.wanted = False
        self.record("sigterm", name)
        node.process.send_signal(signal.SIGTERM)
        for _ in range(120):
            if node.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            node.process.kill()
        node.process.wait()
        self.record("stopped", name, code=node.process.returncode)

    def remove(self, name):
        """Remove a machine for good, without SIGTERM."""
        node = self.nodes.pop(name)
        node.wanted = False
        node.process.kill()
        node.process.wait()
        self.record("removed", name)

    async def watch_processes(self):
        """Restart processes that ended by themselves, and count these ends."""
        while True:
            for node in list(self.nodes.values()):
                if not node.wanted or node.process.poll() is None:
                    continue
                code = node.process.returncode
                node.own_ends.append(code)
                node.wanted = False
                self.record("ended_by_itself", node.name, code=code)
                loop = asyncio.get_running_loop()
                loop.call_later(RESTART_SECONDS, self.start, node.name)
            await asyncio.sleep(0.05)

    # Routers.

    async def probe_entry(self, node):
        """Probe the readiness of an entry as the platform does."""
        address = (node.ip, self.ready_port)
        while True:
            status, _ = await call(address, "GET", "/ready", seconds=0.45)
            node.missed = 0 if status == 200 else node.missed + 1
            await asyncio.sleep(PROBE_SECONDS)

    def route_from(self, zone):
        """Return the function that chooses the entry for packets of clients of a zone."""

        def route(source, front_door):
            near = [node for node in self.list_nodes("entry") if node.zone == zone]
            ready = [node for node in near if node.in_rotation]
            if 2 * len(ready) < len(near):
                ready = near if ready else []
            if not ready:
                ready = [n for n in self.list_nodes("entry") if n.in_rotation] or near
            digest = zlib.crc32(f"{source}{front_door}".encode())
            return ready[digest % len(ready)].ip, self.packet_port

        return route

    # The operator.

    async def replace(self, body, attempts=20):
        """Send a configuration until it has a clear response; return the status."""
        status = 0
        for attempt in range(attempts):
            address = random.choice(self.control_addresses())
            status, _ = await call(address, "POST", "/Config.Replace", body)
            self.record("replace", f"{address[0]}", status=status)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(min(1.0, 0.1 * (attempt + 1)))
        return status

    # A run.

    async def begin(self, configuration):
        """Start all processes and send the first configuration; wait until all are ready."""
        for name in self.nodes:
            self.start(name)
        self.founding = False
        loop = asyncio.get_running_loop()
        for node in self.list_nodes("entry"):
            self.tasks.append(loop.create_task(self.probe_entry(node)))
        self.tasks.append(loop.create_task(self.watch_processes()))
        if await self.replace(encode(configuration), attempts=60) != 200:
            raise CannotRun("the first configuration was not accepted")

    async def await_ready(self, seconds=20.0):
        """Wait until all entries are in rotation."""
        until = time.monotonic() + seconds
        while not all(node.in_rotation for node in self.list_nodes("entry")):
            if time.monotonic() > until:
                raise CannotRun("not all entries became ready")
            await asyncio.sleep(0.1)

    def end(self):
        """End all processes that this run started, and remove its folder."""
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        for node in self.nodes.values():
            node.wanted = False
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def find_free_ports():
    """Return (second number of the loopback addresses, first of five free ports)."""
    for _ in range(200):
        network, base = random.randint(20, 250), random.randrange(10_000, 30_000, 10)
        if all(is_free(f"127.{network}.1.1", base + number) for number in range(5)):
            return network, base
    raise CannotRun("no free ports")


def is_free(ip, port):
    """Return whether a port is free for TCP and UDP on an address and on all."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        for host in (ip, "0.0.0.0"):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


def build_configuration(version, routes, services):
    """
    Return a configuration.

    `routes` are (name, ip, port, kind, service), `services` the names of the services.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": ip,
                "pathPrefix": f"/{port}/",
                "routeType": kind,
                "timeoutMs": 3000,
                "targetLatencyMs": 250,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for name, ip, port, kind, service in routes
        ],
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def run_case(case, play, **options):
    """
    Run `play(site, trouble)` on a new site; exit with its result.

    `play` returns why the rule was broken, or "". The exit code is 1 if it was broken, 0 if
    it held, and 2 if the case could not run.
    """
    if not (ROOT / "target" / "app" / "role.py").exists():
        print("not built: target/app is missing", file=sys.stderr)
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        site = Site(Path(case), **options)
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda *_: leave(site, 2))
    asyncio.run(play_to_end(site, play, trouble))


async def play_to_end(site, play, trouble):
    """Run `play`, end all processes and leave with the exit code of the case."""
    code = 2
    try:
        task = asyncio.create_task(play(site, trouble))
        done, _ = await asyncio.wait([task], timeout=MAX_SECONDS)
        if not done:
            raise CannotRun(f"not finished after {MAX_SECONDS} s")
        broken = task.result()
        code = 1 if broken else 0
        site.record("result", "broken" if broken else "held", reason=broken)
        print(f"{'BROKEN' if broken else 'held'}: {broken}")
    except Exception as error:
        # Any error of the stand-ins themselves: the case has no result.
        site.record("result", "cannot_run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
    leave(site, code)


def leave(site, code):
    """End all processes and this one, without waiting for the tasks of the stand-ins."""
    site.end()
    sys.stdout.flush()
    os._exit(code)
