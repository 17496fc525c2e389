"""
An upstream that starts again under its name, while its earlier calls arrive late.

It draws from a generator of its own, so that the events of a seed stay the same.
"""

import json
import random

import trio

from bench.soak.http_client import call
from bench.soak.inputs import DEEP
from bench.soak.site import SERVICES, ZONES
from bench.soak.upstreams import UPSTREAM_HOST_LIMIT, UPSTREAM_PORT, Upstream
from lycheevalve.tests.fakes.platform import DEREGISTER_PATH, HEARTBEAT_PATH, build_heartbeat
from lycheevalve.utils.addresses import format_address

NUMBER = 0x9000
# A late call was sent before the end of its incarnation.
MAX_LATE_SECONDS = 2.0
MAX_SERVING_SECONDS = 5.0
RESTART_SECONDS = 0.3
# Changes that make a heartbeat one that names no upstream; None removes the field.
ODD_CHANGES = (
    {"version": None},
    {"born": None},
    {"sequence": 10**30},
    {"slots": "2"},
    {"address": "0.0.0.0:8080"},
    {"address": "127.0.0.1:99999"},
    {"state": "asleep"},
)


async def run_reborn_upstream(site, seed):
    """Start, drain, end and start an upstream again until cancelled; send its late calls."""
    generator = random.Random(f"late {seed}")
    address = (f"127.{site.network}.4.{UPSTREAM_HOST_LIMIT}", UPSTREAM_PORT)
    ended = None
    while True:
        upstream = Upstream(NUMBER, SERVICES[0], address, ZONES[0], site)
        # Its address is free only once its last heartbeat has been answered or given up.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upstream.run)
            if ended is not None:
                await send_late_calls(site, ended, generator)
            await send_odd_heartbeats(site, upstream, generator)
            await trio.sleep(generator.uniform(1.0, MAX_SERVING_SECONDS))
            await upstream.drain_and_deregister()
        ended = upstream
        await trio.sleep(RESTART_SECONDS)


async def send_late_calls(site, ended, generator):
    """Send calls that an upstream that has ended may have sent, each to some replica."""
    deregistration = json.dumps({"born": ended.born}).encode()
    late = build_body(ended, ended.sequence + 50)
    calls = [
        (DEREGISTER_PATH, deregistration),
        (DEREGISTER_PATH, b""),
        (HEARTBEAT_PATH, late),
    ]
    generator.shuffle(calls)
    for path, body in calls:
        await trio.sleep(generator.uniform(0.0, MAX_LATE_SECONDS / len(calls)))
        replica = generator.choice(site.control_addresses())
        await call(replica, "POST", path + ended.name, body)


async def send_odd_heartbeats(site, upstream, generator):
    """Send heartbeats with one odd field each for an upstream that runs."""
    valid = json.loads(build_body(upstream, upstream.sequence + 1000)) | {
        "born": upstream.born + 1
    }
    bodies = [valid | changes for changes in ODD_CHANGES]
    # Refused where the upstream is known.
    unknown_service = json.dumps(valid | {"service": "never seen"}).encode()
    await call(
        generator.choice(site.control_addresses()),
        "POST",
        HEARTBEAT_PATH + upstream.name,
        unknown_service,
    )
    texts = [
        json.dumps({key: value for key, value in body.items() if value is not None}).encode()
        for body in bodies
    ]
    for text in [*texts, DEEP]:
        replica = generator.choice(site.control_addresses())
        status, _ = await call(replica, "POST", HEARTBEAT_PATH + upstream.name, text)
        if status == 200:
            site.record_violation(f"odd heartbeat was acknowledged: {text.decode()}")


def build_body(upstream, sequence):
    """Return the body of a heartbeat of an upstream that is ready."""
    return build_heartbeat(
        upstream.service,
        format_address(upstream.address),
        upstream.zone,
        "ready",
        sequence,
        upstream.born,
    )
