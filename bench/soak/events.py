"""The soak's events: planned changes and faults, in series and overlapping."""

import random
import shutil
import signal

import trio

from bench.soak.site import SERVICES, ZONES
from bench.soak.upstreams import Upstream

UPSTREAM_PORT = 8080
UPSTREAM_COUNTS = {SERVICES[0]: 6, SERVICES[1]: 4}
# An address is given to another upstream after this time.
ADDRESS_REUSE_DELAY_SECONDS = 2.0


class EventScheduler:
    """Draws events from a seed and carries them out."""

    def __init__(self, site, nursery, seed, log):
        self.site = site
        self.nursery = nursery
        self.random = random.Random(seed)
        self.log = log
        self.upstreams = {}
        self.free_hosts = list(range(1, 200))
        self.upstream_count = 0
        # Machines whose process some event has in hand.
        self.busy = set()
        self.planned_changes = (
            self.restart_gracefully,
            self.replace_upstream,
            self.reload_settings,
        )
        self.faults = (
            self.kill_process,
            self.pause_process,
            self.kill_control_replicas,
            self.lose_disk,
            self.crash_upstream,
        )

    # Upstreams.

    def add_upstream(self, service):
        """Start an upstream of a service at a free address."""
        self.upstream_count += 1
        host = self.free_hosts.pop(0)
        zone = ZONES[self.upstream_count % len(ZONES)]
        address = (f"127.{self.site.network}.4.{host}", UPSTREAM_PORT)
        upstream = Upstream(self.upstream_count, service, address, zone, self.site)
        self.upstreams[upstream.name] = (upstream, host)
        self.nursery.start_soon(upstream.run)

    def add_upstreams(self):
        """Start all upstreams."""
        for service, count in UPSTREAM_COUNTS.items():
            for _ in range(count):
                self.add_upstream(service)

    async def replace_upstream(self):
        """A new upstream starts, an old one drains and leaves."""
        name = self.random.choice(sorted(self.upstreams))
        upstream, host = self.upstreams.pop(name)
        self.log(f"replace {name} of {upstream.service}")
        self.add_upstream(upstream.service)
        await trio.sleep(1.0)
        await upstream.drain_and_deregister()
        await trio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
        self.free_hosts.append(host)

    async def crash_upstream(self):
        """An upstream ends; its address goes to one of another service."""
        name = self.random.choice(sorted(self.upstreams))
        upstream, host = self.upstreams.pop(name)
        self.log(f"crash {name} of {upstream.service}")
        upstream.crash()
        await trio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
        self.free_hosts.insert(0, host)
        other = SERVICES[1 - SERVICES.index(upstream.service)]
        self.add_upstream(other)
        self.add_upstream(upstream.service)
        await trio.sleep(3.0)
        # One more of the other service than before leaves again.
        extra = [n for n, (u, _) in self.upstreams.items() if u.service == other]
        await self.upstreams.pop(self.random.choice(sorted(extra)))[0].drain_and_deregister()

    # Processes.

    def reserve_machine(self, role):
        """Return a machine of a role that no other event has in hand, or None."""
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
        """Processes are stopped gracefully and started again, one after the other."""
        for _ in range(self.random.randint(1, 3)):
            name = self.reserve_machine(self.random.choice(("entry", "entry", "control")))
            if name is None:
                return
            self.log(f"restart {name}")
            self.site.send_signal(name, signal.SIGTERM)
            await self.site.wait_for_exit(name)
            self.site.start_process(name)
            await trio.sleep(4.0)
            self.busy.discard(name)

    async def reload_settings(self):
        """Processes are told that their settings file has changed."""
        for name in self.site.machines:
            if name not in self.busy:
                self.site.send_signal(name, signal.SIGHUP)

    async def kill_process(self):
        """A process is killed and started again."""
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
        """A process stands still for a while."""
        name = self.reserve_machine(self.random.choice(("entry", "control")))
        if name is None:
            return
        self.log(f"freeze {name}")
        self.site.send_signal(name, signal.SIGSTOP)
        await trio.sleep(self.random.uniform(0.5, 5.0))
        self.site.send_signal(name, signal.SIGCONT)
        self.site.record_fault()
        self.busy.discard(name)

    async def kill_control_replicas(self):
        """All control replicas are killed at once and started again."""
        names = self.site.machine_names("control")
        if any(name in self.busy for name in names):
            return
        self.busy.update(names)
        self.log("kill all control replicas")
        for name in names:
            self.site.send_signal(name, signal.SIGKILL)
        for name in names:
            await self.site.wait_for_exit(name)
            self.site.start_process(name)
        self.site.record_fault()
        self.busy.difference_update(names)

    async def lose_disk(self):
        """A control replica is killed and comes back with an empty disk."""
        name = self.reserve_machine("control")
        if name is None:
            return
        self.log(f"lose the disk of {name}")
        self.site.send_signal(name, signal.SIGKILL)
        await self.site.wait_for_exit(name)
        shutil.rmtree(self.site.folder / f"data-{name}")
        self.site.start_process(name)
        self.site.record_fault()
        # No other disk may be lost before this one holds everything again.
        await trio.sleep(8.0)
        self.busy.discard(name)

    async def run(self, seconds):
        """Draw events until time is up; a third of the time only planned ones."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                left = end - trio.current_time()
                events = (
                    self.planned_changes
                    if left < seconds / 3
                    else (*self.planned_changes, *self.faults)
                )
                event = self.random.choice(events)
                if event in self.faults:
                    self.site.record_fault()
                nursery.start_soon(event)
                await trio.sleep(self.random.uniform(0.3, 3.0))
