"""The soak's operator: changes, resends, reads; what was acknowledged must hold."""

import json
import random

import trio

from bench.soak.callers import FlowError
from bench.soak.calls import call
from bench.soak.site import SERVICES
from lycheevalve.tests.fakes.platform import READ_PATH, REPLACE_PATH, build_configuration

CHANGE_SECONDS = 1.0
READ_SECONDS = 0.7
# A change is in force everywhere after this time.
IN_FORCE_SECONDS = 3.0
ATTEMPTS = 8
FIRST_EXTRA_PORT = 20_000


class Operator:
    """Sends configurations under rising versions and reads them back."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.host = f"127.{site.network}.9.9"
        self.doors = {(self.host, 443): SERVICES[0], (self.host, 8443): SERVICES[1]}
        self.version = 0
        self.acknowledged = 0

    def build(self, version):
        """Return a configuration; each version has one door that no other has."""
        doors = self.doors | {(self.host, FIRST_EXTRA_PORT + version): SERVICES[0]}
        for door, service in doors.items():
            self.site.ledger.doors.setdefault(door, set()).add(service)
        return build_configuration(version, doors, unsafe_ports=(443,))

    async def change(self):
        """Send the next version until it is acknowledged or given up on."""
        self.version += self.random.randint(1, 4)
        version = self.version
        body = self.build(version)
        for attempt in range(ATTEMPTS):
            address = self.random.choice(self.site.control_addresses())
            status, _ = await call(address, "POST", REPLACE_PATH, body)
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if 400 <= status < 500:
                self.site.break_promise(f"version {version} was refused with {status}")
                return False
            await trio.sleep(0.1 * (attempt + 1))
        if self.site.is_calm():
            self.site.break_promise(f"version {version} was not acknowledged")
        return False

    async def send_first(self):
        """Send the first configuration until it is accepted."""
        while not await self.change():
            pass

    async def run(self):
        """Change now and then; some changes come twice or with an old number."""
        while True:
            await trio.sleep(self.random.uniform(0.2, 2.0) * CHANGE_SECONDS)
            await self.change()
            if self.random.random() < 0.2:
                await self.resend()

    async def resend(self):
        """Send an old version once more: acknowledged or unanswered, never refused."""
        version = self.random.randint(1, self.version)
        address = self.random.choice(self.site.control_addresses())
        status, _ = await call(address, "POST", REPLACE_PATH, self.build(version))
        if status not in (0, 200, 503):
            self.site.break_promise(f"version {version}, sent again, got {status}")

    async def read(self):
        """Read at any replica, for ever; older than acknowledged is a broken promise."""
        while True:
            await self.read_once(self.random.choice(self.site.control_addresses()))
            await trio.sleep(READ_SECONDS)

    async def read_once(self, address):
        """Read once; return the version, or 0 without an answer."""
        least = self.acknowledged
        status, body = await call(address, "GET", READ_PATH)
        if status != 200:
            return 0
        version = json.loads(body)["version"]
        if version < least:
            self.site.break_promise(f"{address} read {version}, {least} was acknowledged")
        return version

    async def check_in_force(self, callers):
        """Open flows to the newest front door at all data centres when it must be there."""
        while True:
            await trio.sleep(2.0)
            version = self.acknowledged
            await trio.sleep(IN_FORCE_SECONDS)
            if version != self.version or not self.site.is_calm():
                continue
            for caller in callers:
                await self.open_once(caller, (self.host, FIRST_EXTRA_PORT + version))

    async def open_once(self, caller, door):
        """Open a flow to a front door that must be in force."""
        flow = caller.build_flow(door)
        try:
            await flow.open()
        except FlowError as error:
            self.site.note_failure(caller, flow, f"front door not in force: {error}", False)
        finally:
            with trio.CancelScope(shield=True):
                await caller.close(flow)
