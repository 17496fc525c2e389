"""
A fabric: receives callers' datagrams at the front doors and sends each to a random instance.

It probes the instances' TCP ports and leaves out unreachable ones.
Run: python -m lycheevalve.tests.fakes.fabric ADDRESS INSTANCES FRONT_DOORS SEED
"""

import random
import socket
import sys

import trio

from lycheevalve.tests.fakes.proxy import build_header, split_header
from lycheevalve.utils.addresses import parse_address

PROBE_INTERVAL_SECONDS = 0.2


def open_socket(address):
    """Return a bound non-blocking UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind(address)
    sock.setblocking(False)
    return sock


def read_datagrams(sock):
    """Yield the datagrams in a socket's buffer, as (data, address)."""
    while True:
        try:
            yield sock.recvfrom(65535)
        except ConnectionError:
            continue
        except BlockingIOError:
            return


class Fabric:
    """One socket for each front door and one for the instances."""

    def __init__(self, address, instances, front_doors, seed):
        self.instance_socket = open_socket(address)
        self.front_doors = {front_door: open_socket(front_door) for front_door in front_doors}
        self.instances = instances
        self.reachable = set(instances)
        self.random = random.Random(seed)

    async def run(self):
        """Forward in both directions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.forward_answers)
            for front_door, sock in self.front_doors.items():
                nursery.start_soon(self.forward_packets, front_door, sock)
            for instance in self.instances:
                nursery.start_soon(self.probe, instance)

    async def probe(self, instance):
        """Leave an instance out while its TCP port is unreachable."""
        while True:
            try:
                stream = await trio.open_tcp_stream(*instance)
                await stream.aclose()
                self.reachable.add(instance)
            except OSError:
                self.reachable.discard(instance)
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def forward_packets(self, front_door, sock):
        """Send each datagram of callers to a random reachable instance."""
        while True:
            await trio.lowlevel.wait_readable(sock)
            for data, caller in read_datagrams(sock):
                if self.reachable:
                    target = self.random.choice(sorted(self.reachable))
                    self.instance_socket.sendto(build_header(caller, front_door) + data, target)
            await trio.lowlevel.checkpoint()

    async def forward_answers(self):
        """Send answers to their callers from the socket of their front door."""
        while True:
            await trio.lowlevel.wait_readable(self.instance_socket)
            for data, _ in read_datagrams(self.instance_socket):
                caller, front_door, payload = split_header(data)
                if front_door in self.front_doors:
                    self.front_doors[front_door].sendto(payload, caller)
            await trio.lowlevel.checkpoint()


def main(address, instances, front_doors, seed):
    """Run a fabric; the arguments are strings, lists are separated by commas."""
    fabric = Fabric(
        parse_address(address),
        [parse_address(text) for text in instances.split(",")],
        [parse_address(text) for text in front_doors.split(",")],
        int(seed),
    )
    trio.run(fabric.run)


if __name__ == "__main__":
    main(*sys.argv[1:])
