"""
Runs one entry instance with one upstream, for `scripts/bench forward`.

It runs as in a deployment, but without control replicas: the route and the upstream
are set in its cookie router at the start.
"""

import socket
import sys

import trio

from lycheevalve.config.roles import ENTRY
from lycheevalve.daemon.entry import EntryProcess
from lycheevalve.flows.cookies import build_cookie
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.logs.queue import set_up_logs
from lycheevalve.platform.codec import Codec
from lycheevalve.platform.headers import ACK, HEADER, ZERO_PADDING
from lycheevalve.schema.generated.messages import Registration
from lycheevalve.schema.generated.settings import Role

HOST = "127.0.0.1"
FRONT_DOOR = (socket.inet_aton("198.18.0.1"), 443)
PAYLOAD = bytes(64)


def build_upstream(port):
    """Return the registration of the sink."""
    return Registration(
        service_name="nightsync",
        address=f"{HOST}:{port}",
        data_centre="dc1",
        incarnation=1,
        sequence=1,
        lifetime_ms=3_600_000,
        slots=3,
        name="i-1",
    )


def build_datagram(number, cookie):
    """Return a data packet of an established flow; each number is another caller."""
    caller = bytes((10, number >> 16, number >> 8 & 255, number & 255))
    head = HEADER.pack(
        cookie, 1, 1, 0, ACK, ZERO_PADDING, caller,
        FRONT_DOOR[1], 5000, FRONT_DOOR[0], len(PAYLOAD),
    )  # fmt: skip
    return head + PAYLOAD


def build_datagrams(sink_port, flows):
    """Return one datagram of each flow."""
    cookie = build_cookie(build_upstream(sink_port))
    return [build_datagram(number, cookie) for number in range(flows)]


async def run(port, sink_port):
    """Run the instance until it is killed."""
    settings = Role(
        role=ENTRY,
        name="e1",
        data_centre="dc1",
        ip=HOST,
        link_port=port + 1,
        packets=f"{HOST}:{port}",
        readiness=f"{HOST}:{port + 2}",
        key="a key of sixteen bytes",
    )
    process = EntryProcess(settings, Codec(settings))
    cookie_router, now = process.logic.cookie_router, trio.current_time()
    cookie_router.update_upstream(build_upstream(sink_port), now)
    cookie_router.set_routes(
        {FRONT_DOOR: FrontDoorRoute((("nightsync", 1),), idempotent=True)}, now
    )
    await process.run()


if __name__ == "__main__":
    set_up_logs("ERROR")
    trio.run(run, *map(int, sys.argv[1:]))
