"""A deregistration that is held up arrives after its target started again under its id."""

import asyncio
import time
from pathlib import Path

from standins.clients import Client, FlowFailed, FlowReset
from standins.http import encode, find_message
from standins.site import CannotRun, build_configuration, run_case
from standins.targets import Target

CUT_SECONDS = 5.5
# When in the cut the target deregisters. TCP repeats what is not acknowledged 0.2, 0.6, 1.4,
# 3.0 and 6.2 s after it was sent: the first repetition after the cut is the last of these.
SENT_IN_CUT_SECONDS = 2.4
TCP_RETRY_SECONDS = (0.2, 0.6, 1.4, 3.0, 6.2)
CONTACT_SECONDS = 4.0
DRAIN_SECONDS = 3.0
RESTART_SECONDS = 2.5
# heartbeatMs of hvelfing-kef, and the mean work of its pass-feed.
HEARTBEAT_MS = 1200
WORK_SECONDS = 0.03
FLOWS = 6


class KeptConnection:
    """
    The connection of a target to one node, kept open, over a path that may be cut.

    What is sent during the cut arrives with TCP's first repetition after it.
    """

    def __init__(self, site, address):
        self.site = site
        self.address = address
        self.cut = (float("inf"), float("inf"))
        self.reader = self.writer = None

    def find_delay(self):
        """Return after how many seconds bytes that are sent now arrive."""
        now = time.monotonic()
        begin, end = self.cut
        if not begin <= now < end:
            return 0.0
        return next(s for s in TCP_RETRY_SECONDS if now + s >= end)

    async def open(self):
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def deliver(self, data, delay):
        """Deliver bytes to the node after a delay, whether or not the sender still waits."""
        await asyncio.sleep(delay)
        self.site.record("delivered", self.address[0], seconds=round(delay, 2))
        self.writer.write(data)
        await self.writer.drain()

    async def post(self, path, body):
        """Return whether the node acknowledged a call within a second."""
        head = f"POST {path} HTTP/1.1\r\nHost: {self.address[0]}\r\n"
        head += "Content-Type: application/json\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        loop = asyncio.get_running_loop()
        self.site.tasks.append(loop.create_task(self.deliver(data, self.find_delay())))
        try:
            return await asyncio.wait_for(self.read_status(), 1.0) == 200
        except TimeoutError:
            return False

    async def read_status(self):
        """Return the status of the next response."""
        data = bytearray()
        while (found := find_message(data)) is None:
            chunk = await self.reader.read(65536)
            if not chunk:
                return 0
            data += chunk
        return int(found[0].split(" ")[1])


async def run_session(site, flow, state):
    """Send a request every 0.3 s on one flow."""
    while not state["over"]:
        try:
            _, headers, _, _ = await flow.request("GET", "/feed")
            state["stamps"][flow] = headers["x-lycheevalve-server-stamp"]
        except FlowReset as error:
            state["resets"].append((flow, time.monotonic(), error.own))
            return
        except FlowFailed as error:
            site.record("failed", flow.describe(), reason=str(error))
            return
        await asyncio.sleep(0.3)


async def end_first_incarnation(site, target, kept, trouble):
    """Drain the target, deregister and end it; return when the cut ended."""
    target.state = "draining"
    if not await target.send_heartbeat():
        raise CannotRun("the drain was not acknowledged")
    site.record("drain_acknowledged", target.id)
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    now = time.monotonic()
    cut_ends = now + CUT_SECONDS
    if trouble:
        kept.cut = (now, cut_ends)
        site.record("cut", f"between {target.id} and {kept.address[0]}", seconds=CUT_SECONDS)
    await asyncio.sleep(SENT_IN_CUT_SECONDS)
    body = encode({"born": target.born, "sequence": target.sequence + 1})
    site.record("deregister", target.id, node=kept.address[0], born=target.born)
    if not await kept.post(f"/Instances.Deregister/{target.id}", body):
        site.record("no_response", target.id, node=kept.address[0])
        target.preferred = None
        target.controls = lambda: site.control_addresses()[1:]
        acknowledged = await target.deregister()
        site.record("deregistered", target.id, acknowledged=acknowledged)
    target.stop()
    return cut_ends


async def play(site, trouble):
    """Return why the rule was broken, or an empty string."""
    front_door = (f"127.{site.network}.9.9", 8443)
    routes = [("pass-feed", *front_door, "safe", "scheduler")]
    await site.begin(build_configuration(1, routes, ["scheduler"]))
    addresses = [(f"127.{site.network}.4.{n + 1}", site.packet_port) for n in range(2)]

    def build(number):
        target = Target(
            0x500 + number,
            "scheduler",
            addresses[number],
            site.zones[number],
            site,
            lambda *_: WORK_SECONDS,
            slots=2,
        )
        # A target calls the node of its own zone first.
        target.preferred = site.control_addresses()[number]
        return target

    first = await build(0).start()
    await build(1).start()
    await site.await_ready()
    kept = KeptConnection(site, site.control_addresses()[0])
    await kept.open()
    await asyncio.sleep(2.0)
    cut_ends = await end_first_incarnation(site, first, kept, trouble)
    await asyncio.sleep(RESTART_SECONDS)
    second = await build(0).start()
    site.record("target_started", second.id, born=second.born)
    await asyncio.sleep(1.0)
    state = {"over": False, "stamps": {}, "resets": []}
    client = Client(
        f"127.{site.network}.8.1", site.packet_port, site.route_from(site.zones[0]), site.record
    )
    await client.start()
    loop = asyncio.get_running_loop()
    for _ in range(FLOWS):
        flow = await client.build_flow(front_door).open()
        site.tasks.append(loop.create_task(run_session(site, flow, state)))
    await asyncio.sleep(max(0.0, cut_ends - time.monotonic()) + CONTACT_SECONDS + 5.0)
    state["over"] = True
    stamp = f"{second.id}-{second.born}"
    placed = [flow for flow, found in state["stamps"].items() if found == stamp]
    site.record("summary", "", on_second=len(placed), resets=len(state["resets"]))
    if not placed:
        raise CannotRun("no flow was placed on the new incarnation")
    broken = [
        f"{flow.describe()} {round(at - cut_ends, 1)} s after the cut"
        for flow, at, own in state["resets"]
        if own and flow in placed and at - cut_ends > CONTACT_SECONDS and second.alive
    ]
    return f"open flows were reset, their target {second.id} lives: {broken}" if broken else ""


run_case(Path(__file__).parent, play, heartbeat_ms=HEARTBEAT_MS)
