"""Events of the soak: planned changes and faults, which may overlap."""

import random
import shutil
import signal

import trio

from bench.soak.http_client import call
from bench.soak.inputs import Intruder
from bench.soak.site import ADDRESS_REUSE_SECONDS, CONTROL_PORT, LINK_PORT, SERVICES, ZONES
from bench.soak.upstreams import UPSTREAM_HOST_LIMIT, UPSTREAM_PORT, Upstream
from lycheevalve.tests.fakes.platform import REPLACE_PATH

UPSTREAM_COUNTS = {SERVICES[0]: 6, SERVICES[1]: 4}
# Versions that no configuration may have.
INVALID_VERSIONS = (2**63, 10**30, -1, None, "7", 1.5)


class EventScheduler:
    """Draws events with a seeded random generator and runs them."""

    def __init__(self, site, operator, nursery, seed, log):
        self.site = site
        self.operator = operator
        self.nursery = nursery
        self.random = random.Random(seed)
        self.intruder = Intruder(site.intruder_ip, random.Random(seed))
        self.log = log
        self.upstreams = {}
        self.free_hosts = list(range(1, UPSTREAM_HOST_LIMIT))
        self.upstream_count = 0
        # Names of the machines that a running event uses.
        self.busy = set()
        self.planned_changes = (
            self.restart_gracefully,
            self.replace_upstream,
            self.reload_settings,
            self.reset_connections,
            self.send_malformed_input,
            self.send_malformed_calls,
        )
        if len(site.trees) > 1:
            self.planned_changes = (*self.planned_changes, self.change_version)
        self.faults = (
            self.kill_process,
            self.pause_process,
            self.kill_control_replicas,
            self.lose_power,
            self.lose_disk,
            self.crash_upstream,
            self.stop_while_starting,
            self.restart_together,
        )

    # Upstreams.

    def add_upstream(self, service):
        """Start an upstream of a service at the first free address."""
        self.upstream_count += 1
        host = self.free_hosts.pop(0)
        zone = ZONES[self.upstream_count % len(ZONES)]
        address = (f"127.{self.site.network}.4.{host}", UPSTREAM_PORT)
        upstream = Upstream(self.upstream_count, service, address, zone, self.site)
        self.upstreams[upstream.name] = (upstream, host)
        self.nursery.start_soon(upstream.run)

    def add_upstreams(self):
        """Start the initial upstreams of all services."""
        for service, count in UPSTREAM_COUNTS.items():
            for _ in range(count):
                self.add_upstream(service)

    async def replace_upstream(self):
        """Start a new upstream, then drain and deregister an old one of the same service."""
        name = self.random.choice(sorted(self.upstreams))
        upstream, host = self.upstreams.pop(name)
        self.log(f"replace {name} of {upstream.service}")
        self.add_upstream(upstream.service)
        await trio.sleep(1.0)
        await upstream.drain_and_deregister()
        await trio.sleep(ADDRESS_REUSE_SECONDS)
        self.free_hosts.append(host)

    async def crash_upstream(self):
        """Stop an upstream without notice; give its address to one of the other service."""
        name = self.random.choice(sorted(self.upstreams))
        upstream, host = self.upstreams.pop(name)
        self.log(f"crash {name} of {upstream.service}")
        upstream.crash()
        await trio.sleep(ADDRESS_REUSE_SECONDS)
        self.free_hosts.insert(0, host)
        other_service = SERVICES[1 - SERVICES.index(upstream.service)]
        self.add_upstream(other_service)
        self.add_upstream(upstream.service)
        await trio.sleep(3.0)
        # Drain one of the other service, which has one more than before.
        names = [n for n, (u, _) in self.upstreams.items() if u.service == other_service]
        await self.upstreams.pop(self.random.choice(sorted(names)))[0].drain_and_deregister()

    # Processes.

    def reserve_machine(self, role):
        """
        Mark a random machine of a role as busy and return its name.

        Returns None if fewer than two are free, or if any control replica is busy.
        """
        names = [name for name in self.site.machine_names(role) if name not in self.busy]
        if role == "control" and any(
            n in self.busy for n in self.site.machine_names("control")
        ):
            return None
        if len(names) < 2:
            return None
        name = self.random.choice(names)
        self.busy.add(name)
        return name

    async def restart_gracefully(self):
        """Stop up to three processes with SIGTERM and start them again, one after another."""
        for _ in range(self.random.randint(1, 3)):
            name = self.reserve_machine(self.random.choice(("entry", "entry", "control")))
            if name is None:
                return
            self.log(f"restart {name}")
            await self.replace_process(name, self.site.machines[name].tree)

    async def replace_process(self, name, tree):
        """Stop the process of a busy machine gracefully, and start one of a version there."""
        self.site.send_signal(name, signal.SIGTERM)
        await self.repeat_signals(name)
        await self.site.wait_for_exit(name)
        self.site.machines[name].tree = tree
        self.site.start_process(name)
        await trio.sleep(4.0)
        self.busy.discard(name)

    async def repeat_signals(self, name):
        """Send further signals to a process that stops."""
        for _ in range(self.random.randint(0, 4)):
            await trio.sleep(self.random.uniform(0.0, 0.2))
            self.site.send_signal(name, self.random.choice((signal.SIGTERM, signal.SIGHUP)))

    async def stop_while_starting(self):
        """Stop a process that has just been started, and start it again, several times."""
        name = self.reserve_machine(self.random.choice(("entry", "control")))
        if name is None:
            return
        self.log(f"stop {name} while it starts")
        for _ in range(self.random.randint(2, 4)):
            self.site.send_signal(name, signal.SIGTERM)
            await self.repeat_signals(name)
            await self.site.wait_for_exit(name)
            self.site.start_process(name)
            await trio.sleep(self.random.uniform(0.0, 1.5))
        self.site.record_fault()
        self.busy.discard(name)

    async def change_version(self):
        """Replace the process of a machine by one of another version, forward or back."""
        name = self.reserve_machine(self.random.choice(("entry", "entry", "control")))
        if name is None:
            return
        current = self.site.machines[name].tree
        tree = self.random.choice([tree for tree in self.site.trees if tree != current])
        self.log(f"replace {name} by {describe_tree(tree)}")
        await self.replace_process(name, tree)

    async def upgrade_all(self):
        """Replace the processes of all machines by the current version, one after another."""
        for name, machine in self.site.machines.items():
            while name in self.busy:
                await trio.sleep(0.1)
            if machine.tree is None:
                continue
            self.busy.add(name)
            self.log(f"replace {name} by {describe_tree(None)}")
            await self.replace_process(name, None)

    async def reload_settings(self):
        """Send SIGHUP to all free processes, which then reload their settings."""
        for name in self.site.machines:
            if name not in self.busy:
                self.site.send_signal(name, signal.SIGHUP)

    async def kill_process(self):
        """Kill a process and start it again after a random time."""
        name = self.reserve_machine(self.random.choice(("entry", "control")))
        if name is None:
            return
        self.log(f"kill {name}")
        self.site.send_signal(name, signal.SIGKILL)
        await self.site.wait_for_exit(name)
        await trio.sleep(self.random.uniform(0.0, 3.0))
        self.site.start_process(name)
        self.site.record_fault()
        self.busy.discard(name)

    async def pause_process(self):
        """Pause a process with SIGSTOP and resume it after a random time."""
        name = self.reserve_machine(self.random.choice(("entry", "control")))
        if name is None:
            return
        self.log(f"pause {name}")
        self.site.send_signal(name, signal.SIGSTOP)
        await trio.sleep(self.random.uniform(0.5, 5.0))
        self.site.send_signal(name, signal.SIGCONT)
        self.site.record_fault()
        self.busy.discard(name)

    async def kill_control_replicas(self):
        """Kill all control replicas at once and start them again."""
        await self.kill_together(self.site.machine_names("control"))

    async def lose_power(self):
        """
        Kill all processes, or all entry instances, at once and start them again.

        Callers go on: their packets reach instances that are still starting.
        """
        names = self.site.machine_names("entry")
        if self.random.random() < 0.5:
            names = list(self.site.machines)
        await self.kill_together(names)

    async def restart_together(self):
        """Stop several processes gracefully at once and start them again."""
        names = self.random.sample(sorted(self.site.machines), self.random.randint(2, 4))
        await self.kill_together(names, signal.SIGTERM)

    async def kill_together(self, names, number=signal.SIGKILL):
        """End processes with a signal at once and start them, unless one of them is busy."""
        if any(name in self.busy for name in names):
            return
        self.busy.update(names)
        self.log(f"send {number.name} to {', '.join(names)}")
        for name in names:
            self.site.send_signal(name, number)
        for name in names:
            await self.site.wait_for_exit(name)
            self.site.start_process(name)
        self.site.record_fault()
        self.busy.difference_update(names)

    async def lose_disk(self):
        """Kill a control replica and start it again with an empty disk."""
        name = self.reserve_machine("control")
        if name is None:
            return
        self.log(f"lose the disk of {name}")
        self.site.send_signal(name, signal.SIGKILL)
        await self.site.wait_for_exit(name)
        shutil.rmtree(self.site.folder / f"data-{name}")
        self.site.start_process(name)
        self.site.record_fault()
        # No other disk may be lost before this replica has recovered.
        await trio.sleep(8.0)
        self.busy.discard(name)

    # Malformed input. It goes to processes of the current version only.

    def choose_current(self, *roles):
        """Return a random machine of the roles that has the current version, or None."""
        machines = [m for m in self.site.machines.values() if m.role in roles and not m.tree]
        return self.random.choice(machines) if machines else None

    async def reset_connections(self):
        """Open connections in bulk at all ports of a process, and reset them."""
        machine = self.choose_current("entry", "control")
        if machine is None:
            return
        self.log(f"reset connections at {machine.name}")
        for address in machine.tcp_addresses():
            await self.intruder.attempt(self.intruder.reset_connections, address)

    async def send_malformed_input(self):
        """Send malformed input to all ports of a process."""
        machine = self.choose_current("entry", "control")
        if machine is None:
            return
        self.log(f"send malformed input to {machine.name}")
        ports = {"entry": (LINK_PORT, self.site.fabric_port), "control": (LINK_PORT,)}
        await self.intruder.send_everything(
            machine.tcp_addresses(),
            [(machine.ip, port) for port in ports[machine.role]],
            next(iter(self.operator.front_doors)),
        )

    async def send_malformed_calls(self):
        """
        Send heartbeats and configurations with invalid values to a control replica.

        What a replica accepts reaches all processes, so all have the current version.
        """
        if any(machine.tree for machine in self.site.machines.values()):
            return
        machine = self.choose_current("control")
        self.log(f"send malformed calls to {machine.name}")
        address = (machine.ip, CONTROL_PORT)
        for body in self.intruder.list_heartbeats():
            await call(address, "POST", self.intruder.heartbeat_path(), body)
        await self.operator.send_unusual_version(address, self.intruder.change_route)
        for version in INVALID_VERSIONS:
            body = self.operator.build_body(version)
            status, _ = await call(address, "POST", REPLACE_PATH, body)
            if status == 200:
                self.site.record_violation(f"configuration version {version} was accepted")

    async def run(self, seconds):
        """Run random events for a time; in its last third, only planned changes."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                remaining = deadline - trio.current_time()
                events = (
                    self.planned_changes
                    if remaining < seconds / 3
                    else (*self.planned_changes, *self.faults)
                )
                event = self.random.choice(events)
                if event in self.faults:
                    self.site.record_fault()
                nursery.start_soon(event)
                await trio.sleep(self.random.uniform(0.3, 3.0))


def describe_tree(tree):
    """Return the version in a folder, for the log."""
    return tree.name if tree is not None else "the current version"
