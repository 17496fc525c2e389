"""Two machines of the core are replaced, the second when the first is repaired."""

import asyncio
import json
import random
import time
from pathlib import Path

from standins.clients import Client, FlowFailed, FlowReset
from standins.http import call, encode
from standins.site import build_configuration, run_case
from standins.targets import Target

# Bounds and heartbeatMs of koelkamer-sa.
CATCH_UP_SECONDS = 4.0
CONTACT_SECONDS = 4.0
RECOVERY_SECONDS = 12.0
HEARTBEAT_MS = 1200
# When a new machine starts after the one that it replaces was removed.
START_SECONDS = 0.1
# The second loss comes this long after the first successor has had catchUpS.
MARGIN_SECONDS = 0.2
# The operator asks at the end of the day for at least contactMs; here for much longer.
READ_SECONDS = 20.0


async def find_leader(site):
    """Return the name of the core machine whose process says that it leads the log."""
    for node in site.list_nodes("control"):
        _, text = await call((node.ip, site.metrics_port), "GET", "/metrics")
        for line in text.decode().splitlines():
            if "replica_role" in line and '"leader"' in line and line.endswith(" 1.0"):
                return node.name
    return site.list_nodes("control")[0].name


async def replace_machine(site, name, new_name, suffix):
    """Remove a core machine for good and start an empty one at another address."""
    zone = site.nodes[name].zone
    # The operator's list lags, so it still has the machine that is removed.
    seeds = [f"{ip}:{port}" for ip, port in site.control_addresses()[:3]]
    site.remove(name)
    await asyncio.sleep(START_SECONDS)
    site.add_node(new_name, "control", suffix, zone)
    site.nodes[new_name].seeds = seeds
    site.start(new_name)


async def run_client(client, front_door, counts):
    """Send a request on a new flow at intervals."""
    while True:
        flow = client.build_flow(front_door)
        try:
            await flow.open()
            await flow.request("GET", "/dash")
            counts["served"] += 1
        except (FlowReset, FlowFailed) as error:
            counts["failed"] += 1
            client.record("failed", flow.describe(), reason=str(error))
        finally:
            flow.close()
        await asyncio.sleep(0.5)


async def read_back(site, seconds):
    """Ask all nodes for the configuration; return the highest version that came, or 0."""
    until = time.monotonic() + seconds
    highest = 0
    while time.monotonic() < until and not highest:
        for address in random.sample(site.control_addresses(), len(site.control_addresses())):
            status, body = await call(address, "GET", "/Config.Read")
            version = json.loads(body)["version"] if status == 200 else 0
            site.record("read", address[0], status=status, version=version)
            highest = max(highest, version)
        await asyncio.sleep(0.5)
    return highest


async def play(site, trouble):
    """Return why the rule was broken, or an empty string."""
    front_door = (f"127.{site.network}.9.9", 8443)
    routes = [("live-dash", *front_door, "safe", "coldlog")]
    await site.begin(build_configuration(1, routes, ["coldlog"]))
    for number, zone in enumerate(site.zones):
        address = (f"127.{site.network}.4.{number + 1}", site.packet_port)
        target = Target(
            0x100 + number, "coldlog", address, zone, site, lambda *_: 0.03, slots=2
        )
        await target.start()
    await site.await_ready()
    counts = {"served": 0, "failed": 0}
    loop = asyncio.get_running_loop()
    for number, zone in enumerate(site.zones):
        ip = f"127.{site.network}.8.{number + 1}"
        client = Client(ip, site.packet_port, site.route_from(zone), site.record)
        await client.start()
        site.tasks.append(loop.create_task(run_client(client, front_door, counts)))
    await asyncio.sleep(CATCH_UP_SECONDS + 2.0)
    acknowledged = 2
    body = encode(build_configuration(acknowledged, routes, ["coldlog"]))
    if await site.replace(body) != 200:
        return "a configuration was not acknowledged before the disruption"
    if trouble:
        first = await find_leader(site)
        await replace_machine(site, first, "core-4", "1.4")
        await asyncio.sleep(CATCH_UP_SECONDS + MARGIN_SECONDS)
        second = next(n.name for n in site.list_nodes("control") if n.name != "core-4")
        await replace_machine(site, second, "core-5", "1.5")
    await asyncio.sleep(CATCH_UP_SECONDS + CONTACT_SECONDS + RECOVERY_SECONDS)
    site.record("calm", "", machines=[node.name for node in site.list_nodes("control")])
    order = encode(build_configuration(3, routes, ["coldlog"]))
    status = await site.replace(order, attempts=10)
    held = await read_back(site, READ_SECONDS)
    site.record("summary", "", order=status, read_back=held, counts=counts)
    if held < acknowledged:
        return f"version {acknowledged} was acknowledged, read back: {held}; order: {status}"
    return ""


run_case(Path(__file__).parent, play, zones=3, heartbeat_ms=HEARTBEAT_MS)
