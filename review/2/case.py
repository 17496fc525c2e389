"""Heartbeats of another writer, whose bytes can't be read, and what the core does then."""

import asyncio
import time
from pathlib import Path

from standins.clients import Client, FlowFailed, FlowReset
from standins.http import call, encode
from standins.site import build_configuration, run_case
from standins.targets import Target

# The name of a service in bytes that are not UTF-8.
UNREADABLE = b"night\xed\xa0\x80sync"
FOREIGN_SECONDS = 20.0
ENDS_IN_A_DAY = 3


def build_foreign_heartbeat(address, sequence):
    """Return a heartbeat whose service can't be read."""
    body = {
        "service": "SERVICE",
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": sequence,
        "born": time.time_ns() // 1_000_000,
    }
    return encode(body).replace(b"SERVICE", UNREADABLE)


async def run_foreign_writer(site):
    """Send such a heartbeat every heartbeatMs, to the next node without a 2xx response."""
    address = f"127.{site.network}.5.1:{site.packet_port}"
    sequence = 0
    while True:
        sequence += 1
        for node in site.control_addresses():
            body = build_foreign_heartbeat(address, sequence)
            status, _ = await call(node, "POST", "/Instances.Heartbeat/i-0badc0de", body)
            site.record("foreign_heartbeat", node[0], status=status)
            if 200 <= status < 300:
                break
        await asyncio.sleep(site.heartbeat_ms / 1000)


async def run_client(client, front_door, counts):
    """Send a request on a new flow at intervals."""
    while True:
        flow = client.build_flow(front_door)
        try:
            await flow.open()
            await flow.request("GET", "/stream")
            counts["served"] += 1
        except (FlowReset, FlowFailed) as error:
            counts["failed"] += 1
            site_record = client.record
            site_record("failed", flow.describe(), reason=str(error))
        finally:
            flow.close()
        await asyncio.sleep(0.4)


async def play(site, trouble):
    """Return why the rule was broken, or an empty string."""
    front_door = (f"127.{site.network}.9.9", 8443)
    routes = [("band-stream", *front_door, "safe", "nightsync")]
    await site.begin(build_configuration(1, routes, ["nightsync"]))
    targets = []
    for number, zone in enumerate(site.zones):
        address = (f"127.{site.network}.4.{number + 1}", site.packet_port)
        target = Target(0x200 + number, "nightsync", address, zone, site, lambda *_: 0.055)
        targets.append(await target.start())
    await site.await_ready()
    loop = asyncio.get_running_loop()
    counts = {"served": 0, "failed": 0}
    for number, zone in enumerate(site.zones):
        ip = f"127.{site.network}.8.{number + 1}"
        client = Client(ip, site.packet_port, site.route_from(zone), site.record)
        await client.start()
        site.tasks.append(loop.create_task(run_client(client, front_door, counts)))
    await asyncio.sleep(5.0)
    if trouble:
        site.tasks.append(loop.create_task(run_foreign_writer(site)))
    orders = []
    until = time.monotonic() + FOREIGN_SECONDS
    version = 1
    while time.monotonic() < until:
        version += 1
        body = encode(build_configuration(version, routes, ["nightsync"]))
        began = time.monotonic()
        status = await site.replace(body, attempts=8)
        orders.append((version, status, round(time.monotonic() - began, 1)))
        site.record("order", f"version {version}", status=status)
        await asyncio.sleep(2.0)
    ends = {node.name: len(node.own_ends) for node in site.nodes.values() if node.own_ends}
    site.record("summary", "", ends=ends, orders=orders, counts=counts)
    cores = len(site.list_nodes("control"))
    often = [name for name, count in ends.items() if count >= ENDS_IN_A_DAY]
    if len([name for name in often if name.startswith("core")]) >= cores / 2:
        return f"processes of the core ended by themselves: {ends}; orders {orders}; {counts}"
    return ""


run_case(Path(__file__).parent, play)
