"""Simulated operator: it sends and reads configurations and checks the results."""

import json
import random

import trio

from bench.soak.callers import FlowError
from bench.soak.http_client import call
from bench.soak.site import SERVICES, ZONES
from lycheevalve.tests.fakes.platform import (
    EVACUATE_PATH,
    READ_PATH,
    REPLACE_PATH,
    RESTORE_PATH,
    build_configuration,
)

CHANGE_INTERVAL_SECONDS = 1.0
READ_INTERVAL_SECONDS = 0.7
# A data centre stays evacuated for half to one and a half times this long.
EVACUATION_SECONDS = 6.0
# An acknowledged version must be in force at all data centres within this time.
IN_FORCE_TIMEOUT_SECONDS = 3.0
MAX_ATTEMPTS = 8
FIRST_VERSION_PORT = 20_000


class Operator:
    """Sends configurations with increasing versions and reads them back."""

    def __init__(self, site, seed):
        self.site = site
        self.random = random.Random(seed)
        self.host = f"127.{site.network}.9.9"
        self.front_doors = {(self.host, 443): SERVICES[0], (self.host, 8443): SERVICES[1]}
        self.version = 0
        self.acknowledged_version = 0

    def build_body(self, version):
        """Return the body of a version; each valid one has a front door of its own."""
        front_doors = dict(self.front_doors)
        if version in range(1, self.version + 1):
            front_doors[self.host, FIRST_VERSION_PORT + version] = SERVICES[0]
        for front_door, service in front_doors.items():
            self.site.ledger.front_doors.setdefault(front_door, set()).add(service)
        return build_configuration(version, front_doors, unsafe_ports=(443,))

    async def send_next_version(self, is_due=True):
        """
        Send the next version, with retries; return whether it was acknowledged.

        It is a violation if a version that is due is not acknowledged.
        """
        self.version += self.random.randint(1, 4)
        version = self.version
        body = self.build_body(version)
        for attempt in range(MAX_ATTEMPTS):
            address = self.random.choice(self.site.control_addresses())
            status, _ = await call(address, "POST", REPLACE_PATH, body)
            if status == 200:
                self.acknowledged_version = max(self.acknowledged_version, version)
                return True
            if 400 <= status < 500:
                self.site.record_violation(
                    f"configuration version {version} was refused with status {status}"
                )
                return False
            await trio.sleep(0.1 * (attempt + 1))
        if is_due and self.site.is_calm():
            self.site.record_violation(f"configuration version {version} was not acknowledged")
        return False

    async def send_unusual_version(self, address, change):
        """Send the next version with a body that `change` returns; it may be refused."""
        self.version += 1
        version = self.version
        status, _ = await call(address, "POST", REPLACE_PATH, change(self.build_body(version)))
        if status == 200:
            self.acknowledged_version = max(self.acknowledged_version, version)

    async def send_first_version(self):
        """Send versions until one is acknowledged; none is due while processes start."""
        while not await self.send_next_version(is_due=False):
            pass

    async def run_changes(self):
        """Send versions at random intervals; after some, resend an earlier one."""
        while True:
            await trio.sleep(self.random.uniform(0.2, 2.0) * CHANGE_INTERVAL_SECONDS)
            await self.send_next_version()
            if self.random.random() < 0.2:
                await self.resend_version()

    async def resend_version(self):
        """Resend an earlier version: it may remain unanswered, but must not be refused."""
        version = self.random.randint(1, self.version)
        address = self.random.choice(self.site.control_addresses())
        status, _ = await call(address, "POST", REPLACE_PATH, self.build_body(version))
        if status not in (0, 200, 503):
            self.site.record_violation(
                f"resent configuration version {version} was answered with status {status}"
            )

    async def run_evacuations(self):
        """Evacuate one data centre after another and take it back, until cancelled."""
        while True:
            zone = self.random.choice(ZONES)
            await trio.sleep(self.random.uniform(0.5, 1.5) * CHANGE_INTERVAL_SECONDS)
            if await self.send_order(EVACUATE_PATH + zone):
                self.site.evacuated_at[zone] = trio.current_time()
                await trio.sleep(self.random.uniform(0.5, 1.5) * EVACUATION_SECONDS)
            # The withdrawal may be in force before it is acknowledged.
            self.site.evacuated_at.pop(zone, None)
            while not await self.send_order(RESTORE_PATH + zone):
                pass

    async def send_order(self, path):
        """Send an order about a data centre, with retries; return whether it was accepted."""
        for attempt in range(MAX_ATTEMPTS):
            address = self.random.choice(self.site.control_addresses())
            status, _ = await call(address, "POST", path, b"")
            if status == 200:
                return True
            if 400 <= status < 500:
                self.site.record_violation(f"order {path} was refused with status {status}")
                return False
            await trio.sleep(0.1 * (attempt + 1))
        if self.site.is_calm():
            self.site.record_violation(f"order {path} was not acknowledged")
        return False

    async def run_reads(self):
        """Read the configuration from random replicas until cancelled."""
        while True:
            await self.read_version(self.random.choice(self.site.control_addresses()))
            await trio.sleep(READ_INTERVAL_SECONDS)

    async def read_version(self, address):
        """Return the version at a replica, or 0; record a stale version as a violation."""
        minimum_version = self.acknowledged_version
        status, body = await call(address, "GET", READ_PATH)
        if status != 200:
            return 0
        version = json.loads(body)["version"]
        if version < minimum_version:
            self.site.record_violation(
                f"control replica {address} returned version {version} after version "
                f"{minimum_version} was acknowledged"
            )
        return version

    async def check_in_force(self, callers):
        """Check regularly that the newest version is in force at all data centres."""
        while True:
            await trio.sleep(2.0)
            version = self.acknowledged_version
            await trio.sleep(IN_FORCE_TIMEOUT_SECONDS)
            if version != self.version or not self.site.is_calm():
                continue
            for caller in callers:
                await self.check_front_door(caller, (self.host, FIRST_VERSION_PORT + version))

    async def check_front_door(self, caller, front_door):
        """Open a flow to a front door that must be in force; record a failure to do so."""
        flow = caller.build_flow(front_door)
        try:
            await flow.open()
        except FlowError as error:
            self.site.record_failed_session(
                caller, flow, f"front door not in force: {error}", False
            )
        finally:
            with trio.CancelScope(shield=True):
                await caller.close(flow)
