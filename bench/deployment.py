"""Runs a small site as separate processes on loopback: a fabric, upstreams and instances."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import attrs

HOST = "127.0.0.1"
REPLICAS = 3
SITES = {
    "lagos": {
        "data_centres": ["ikeja-1", "ikeja-2", "ikeja-3", "ikeja-4"],
        "stream": "nightsync",
        "report": "restreport",
        "slots": 3,
    },
    "hvelfing": {
        "data_centres": ["keflavik-1", "keflavik-2", "grindavik", "sandgerdi"],
        "stream": "scheduler",
        "report": "planstore",
        "slots": 2,
    },
}
UPSTREAM_COUNTS = {"stream": 7, "report": 4}
STOP_TIMEOUT_SECONDS = 10.0


@attrs.define
class Deployment:
    """The processes of one site, with its files in `folder` and its ports from `port` on."""

    site: str
    folder: Path
    port: int = 17000
    takeover_seconds: int = 60
    instances: int = 8
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    # Addresses.

    def address(self, offset):
        """Return `ip:port` at an offset from the first port."""
        return f"{HOST}:{self.port + offset}"

    def data_centres(self):
        """Return the data centres."""
        return SITES[self.site]["data_centres"]

    def instance_names(self):
        """Return the names of the instances."""
        return [f"a{number}" for number in range(1, self.instances + 1)]

    def instance_address(self, name):
        """Return the address of an instance."""
        return self.address(100 + int(name[1:]))

    def instance_data_centre(self, name):
        """Return the data centre of an instance; each replica is in a different one."""
        return self.data_centres()[(int(name[1:]) - 1) % len(self.data_centres())]

    def front_door_address(self, number):
        """Return a front door's address: 1 streams, 2 requests, 3 reports, 4 announcements."""
        return self.address(number)

    def upstream_names(self):
        """Return (name, service kind) of each upstream."""
        return [
            (f"{kind}{n}", kind)
            for kind, count in UPSTREAM_COUNTS.items()
            for n in range(count)
        ]

    def upstream_address(self, name, kind):
        """Return the address of an upstream."""
        base = {"stream": 300, "report": 400}[kind]
        return self.address(base + int(name.removeprefix(kind)))

    def service_name(self, kind):
        """Return the name of the site's service of a kind."""
        return SITES[self.site][kind]

    # Files.

    def write_files(self):
        """Write the key, the instances' settings, the base and the overlay."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "site.key").write_text("demonstration key, not secret")
        for name in self.instance_names():
            (self.folder / f"{name}.toml").write_text(self.instance_settings(name))
        (self.folder / "base.toml").write_text("[defaults]\nwarm_up_seconds = 2\n")
        self.write_overlay(deadline_ms=8000)

    def instance_settings(self, name):
        """Return the settings of one instance as TOML."""
        names = self.instance_names()
        peers = [f"{peer}@{self.instance_address(peer)}" for peer in names if peer != name]
        replicas = names[:REPLICAS]
        values = {
            "name": name,
            "data_centre": self.instance_data_centre(name),
            "site": self.site,
            "address": self.instance_address(name),
            "peers": peers,
            "fabric": [self.address(0)],
            "registry": self.front_door_address(4),
            "key_file": str(self.folder / "site.key"),
            "replicas": replicas,
            "data_folder": str(self.folder / f"data-{name}") if name in replicas else "",
            "takeover_seconds": self.takeover_seconds,
        }
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    def write_overlay(self, deadline_ms):
        """Write the overlay; the demo changes the deadline of the stream service."""
        control = [self.instance_address(name) for name in self.instance_names()]
        data_centres = json.dumps(self.data_centres())
        (self.folder / "overlay.toml").write_text(
            f"[site]\nname = {json.dumps(self.site)}\ndata_centres = {data_centres}\n"
            f"control = {json.dumps(control)}\n"
            f"key_file = {json.dumps(str(self.folder / 'site.key'))}\n"
            f"[services.{self.service_name('stream')}]\n"
            f"stream = {json.dumps(self.front_door_address(1))}\n"
            f"request = {json.dumps(self.front_door_address(2))}\n"
            f"data_centres = {data_centres}\ndeadline_ms = {deadline_ms}\n"
            f"[services.{self.service_name('report')}]\n"
            f"request = {json.dumps(self.front_door_address(3))}\n"
            f"data_centres = {data_centres}\n"
            f"deadline_ms = 5000\n"
        )

    # Processes.

    def start_process(self, name, arguments):
        """Start a process; its output is appended to a file named after it."""
        with open(self.folder / f"{name}.out", "a") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
            )

    def start_instance(self, name):
        """Start an instance."""
        settings = str(self.folder / f"{name}.toml")
        self.start_process(name, ["lycheevalve.daemon", "--settings", settings])

    def start_fabric(self, seed):
        """Start the fabric."""
        instances = ",".join(self.instance_address(name) for name in self.instance_names())
        front_doors = ",".join(self.front_door_address(number) for number in (1, 2, 3, 4))
        module = "lycheevalve.tests.fakes.fabric"
        self.start_process(
            "fabric", [module, self.address(0), instances, front_doors, str(seed)]
        )

    def start_upstream(self, name, kind):
        """Start an upstream."""
        number = int(name.removeprefix(kind))
        front_doors = (
            [self.front_door_address(1), self.front_door_address(2)]
            if kind == "stream"
            else [self.front_door_address(3)]
        )
        options = {
            "address": self.upstream_address(name, kind),
            "service": self.service_name(kind),
            "data_centre": self.data_centres()[number % len(self.data_centres())],
            "front_doors": front_doors,
            "registry": self.front_door_address(4),
            "key": (self.folder / "site.key").read_text(),
            "ledger": str(self.folder / f"{name}.ledger"),
            "slots": SITES[self.site]["slots"],
            "seed": number,
        }
        self.start_process(name, ["lycheevalve.tests.fakes.upstream", json.dumps(options)])

    def start_all(self, seed):
        """Write the files and start all processes."""
        self.write_files()
        self.start_fabric(seed)
        for name in self.instance_names():
            self.start_instance(name)
        for name, kind in self.upstream_names():
            self.start_upstream(name, kind)

    def signal(self, name, number):
        """Send a signal to a process, unless it has exited."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process and wait until it exits."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop_all(self):
        """Resume and stop all processes; kill those that do not exit in time."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_SECONDS
        for name, process in self.processes.items():
            try:
                process.wait(max(0.1, end - time.monotonic()) if name != "fabric" else 0.1)
            except subprocess.TimeoutExpired:
                self.kill(name)

    def read_upstream_events(self):
        """Return the events that all upstreams have recorded, each with its service kind."""
        events = []
        for name, kind in self.upstream_names():
            path = self.folder / f"{name}.ledger"
            lines = path.read_text().splitlines() if path.exists() else []
            events += [json.loads(line) | {"kind": kind} for line in lines]
        return events

    def run_command(self, *arguments, timeout=30):
        """Run the command-line tool; return the finished process."""
        return subprocess.run(
            [sys.executable, "-m", "lycheevalve", *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=timeout,
        )
