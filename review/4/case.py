"""A control replica is restarted as planned while two targets of its zone are at work."""

import asyncio
from pathlib import Path

from standins.clients import Client, FlowFailed, FlowReset
from standins.site import CannotRun, build_configuration, run_case
from standins.targets import Target

# Bands push their samples at the same moment, every so many seconds.
PUSH_SECONDS = 1.0
# The longest work of a band-upload and the mean one of a band-stream on the site.
UPLOAD_SECONDS = 0.43
STREAM_SECONDS = 0.055
# How long a machine stays stopped, and the pause before the next one.
STOPPED_SECONDS = 1.0
GAP_SECONDS = 1.3
TARGETS_PER_ZONE = 2
UPLOADS = 16
STREAMS = 16


def work(method, _):
    """Return the seconds that a request takes."""
    return UPLOAD_SECONDS if method == "POST" else STREAM_SECONDS


async def run_upload(site, flow, state, started_at):
    """Push samples on one flow, at the same moments as all others."""
    loop = asyncio.get_running_loop()
    while not state["over"]:
        elapsed = loop.time() - started_at
        await asyncio.sleep(PUSH_SECONDS - elapsed % PUSH_SECONDS)
        if not await run_request(site, flow, state, "POST", b"s" * 900):
            return


async def run_request(site, flow, state, method, body=b""):
    """Send one request; return False if the flow has ended."""
    try:
        _, headers, _, _ = await flow.request(method, "/samples", body)
        state["stamps"][flow] = headers["x-lycheevalve-server-stamp"]
    except (FlowReset, FlowFailed) as error:
        site.record("failed", flow.describe(), reason=str(error), method=method)
        return False
    return True


async def play(site, trouble):
    """Return why the rule was broken, or an empty string."""
    ip = f"127.{site.network}.9.9"
    routes = [
        ("band-stream", ip, 8443, "safe", "nightsync"),
        ("band-upload", ip, 8080, "unsafe", "nightsync"),
    ]
    await site.begin(build_configuration(1, routes, ["nightsync"]))
    targets = {}
    for number in range(TARGETS_PER_ZONE * len(site.zones)):
        zone = site.zones[number % len(site.zones)]
        address = (f"127.{site.network}.4.{number + 1}", site.packet_port)
        target = await Target(0x400 + number, "nightsync", address, zone, site, work).start()
        targets[f"{target.id}-{target.born}"] = target
    await site.await_ready()
    await asyncio.sleep(2.0)
    client = Client(
        f"127.{site.network}.8.1", site.packet_port, site.route_from(site.zones[0]), site.record
    )
    await client.start()
    loop = asyncio.get_running_loop()
    state = {"over": False, "stamps": {}}
    flows = []
    started_at = loop.time()
    for number in range(UPLOADS + STREAMS):
        is_upload = number < UPLOADS
        flow = await client.build_flow((ip, 8080 if is_upload else 8443)).open()
        flows.append(flow)
        await run_request(site, flow, state, "POST" if is_upload else "GET")
        if is_upload:
            site.tasks.append(loop.create_task(run_upload(site, flow, state, started_at)))
    zones = {}
    for flow in flows:
        if flow in state["stamps"]:
            target = targets[state["stamps"][flow]]
            zones.setdefault(target.zone, []).append(target.id)
    site.record("placed", "", zones=zones)
    await asyncio.sleep(3.0)
    if any(flow.reset_by for flow in flows):
        raise CannotRun("a flow was reset before the planned work")
    # The zone of the clients' own entry comes last.
    for number in (2, 3, 4, 1):
        name = f"core-{number}"
        if trouble:
            await site.terminate(name)
        await asyncio.sleep(STOPPED_SECONDS)
        if trouble:
            site.start(name)
        await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(3.0)
    state["over"] = True
    broken = []
    for flow in flows:
        target = targets.get(state["stamps"].get(flow))
        if flow.reset_by == "system" and target is not None and target.alive:
            broken.append(f"{flow.describe()} on {target.id} in {target.zone}")
    site.record("summary", "", resets=len(broken), flows=len(flows))
    return f"{len(broken)} open flows on living targets were reset: {broken}" if broken else ""


run_case(Path(__file__).parent, play)
