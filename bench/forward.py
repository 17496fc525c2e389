"""
Measures datagrams per CPU second through an instance, an entry and a bare relay.

All forwarders are separate processes and get the same number of datagrams, of
100,000 flows by default. Rates are per second of the process's own CPU time, so
other load on the machine has little effect. Prints JSON lines.
"""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import fire

from bench import steered
from bench.deployment import Deployment
from lycheevalve.flows.announcements import build_announcement
from lycheevalve.tests.fakes.proxy import build_header
from lycheevalve.utils.addresses import parse_address

WINDOW_DATAGRAMS = 256
IDLE_MEASUREMENT_SECONDS = 8.0
PAYLOAD = bytes(64)
BARE_RELAY = """
import select, socket, sys
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
sock.bind(("127.0.0.1", int(sys.argv[1])))
sock.setblocking(False)
target = ("127.0.0.1", int(sys.argv[2]))
while True:
    select.select([sock], [], [])
    try:
        while True:
            data, _ = sock.recvfrom(65535)
            sock.sendto(data, target)
    except BlockingIOError:
        pass
"""


def read_cpu_seconds(pid):
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def send_and_count(source, sink, target, datagrams, count):
    """
    Send `count` datagrams; return how many arrive at the sink.

    At most a window of datagrams is in flight. Gives up after a second without an
    arrival.
    """
    sent = received = 0
    idle_since = time.monotonic()
    while received < count and time.monotonic() - idle_since < 1.0:
        while sent < count and sent - received < WINDOW_DATAGRAMS:
            source.sendto(datagrams[sent % len(datagrams)], target)
            sent += 1
        try:
            while True:
                sink.recv(65535)
                received += 1
                idle_since = time.monotonic()
        except BlockingIOError:
            time.sleep(0)
    return received


def measure(name, process, source, sink, target, datagrams, count):
    """Return the JSON line of one forwarder's rate."""
    before = read_cpu_seconds(process.pid)
    received = send_and_count(source, sink, target, datagrams, count)
    used = read_cpu_seconds(process.pid) - before
    return {
        "bench": "forward",
        "name": name,
        "datagrams": received,
        "lost": count - received,
        "cpu_seconds": round(used, 3),
        "per_cpu_second": round(received / used),
    }


def measure_idle(process):
    """Return the JSON line of an instance's CPU share and memory without traffic."""
    before, began = read_cpu_seconds(process.pid), time.monotonic()
    time.sleep(IDLE_MEASUREMENT_SECONDS)
    used = read_cpu_seconds(process.pid) - before
    return {
        "bench": "forward",
        "name": "idle",
        "cpu_share": round(used / (time.monotonic() - began), 4),
        "resident_bytes": read_resident_bytes(process.pid),
    }


def open_socket(address):
    """Return a bound non-blocking UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    sock.bind(parse_address(address))
    sock.setblocking(False)
    return sock


def announce_upstream(site, source, target, sequence):
    """Announce the sink as the only upstream of the service."""
    parameters = {
        "ep": "u1", "d": site.service_name("stream"), "base": f"coap://{site.address(300)}",
        "dc": site.data_centres()[0], "lt": 3600, "inc": 1, "seq": sequence, "slots": 3,
        "conn": 2000, "busy": 0, "queued": 0, "sessions": 0,
    }  # fmt: skip
    key = (site.folder / "site.key").read_bytes()
    message = build_announcement(key, sequence, b"t", parameters)
    header = build_header(
        parse_address(site.address(300)), parse_address(site.front_door_address(4))
    )
    source.sendto(header + message, target)


def build_datagrams(site, flows):
    """Return one datagram of each flow, in random order."""
    front_door = parse_address(site.front_door_address(1))
    datagrams = [
        build_header((f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 5000), front_door) + PAYLOAD
        for n in range(flows)
    ]
    random.Random(1).shuffle(datagrams)
    return datagrams


def forward(flows=100_000, count=200_000, port=18000):
    """
    Measure the rate and the memory of an instance that has FLOWS flows.

    Example: scripts/bench forward
    """
    with tempfile.TemporaryDirectory() as folder:
        site = Deployment("lagos", Path(folder), port, instances=1)
        site.write_files()
        settings = Path(folder) / "a1.toml"
        replicas = settings.read_text().replace('"a1", "a2", "a3"', '"a1"')
        settings.write_text(replicas)
        source, sink = open_socket(site.address(0)), open_socket(site.address(300))
        relay_port = port + 200
        arguments = [sys.executable, "-c", BARE_RELAY, str(relay_port), str(port + 300)]
        relay = subprocess.Popen(arguments)
        steered_port = port + 250
        arguments = [sys.executable, "-m", "bench.steered", str(steered_port), str(port + 300)]
        entry = subprocess.Popen(arguments)
        site.start_instance("a1")
        try:
            run(site, relay, entry, source, sink, relay_port, steered_port, flows, count)
        finally:
            for process in (relay, entry):
                process.kill()
                process.wait()
            site.stop_all()


def run(site, relay, entry, source, sink, relay_port, steered_port, flows, count):
    """Configure the instance, measure the forwarders in turn, and print the lines."""
    files = site.folder / "base.toml", site.folder / "overlay.toml"
    while site.run_command("apply", *files, "--wait", 15).returncode:
        time.sleep(0.2)
    target = parse_address(site.instance_address("a1"))
    announce_upstream(site, source, target, 1)
    time.sleep(4.0)
    process = site.processes["a1"]
    print(json.dumps(measure_idle(process)))
    datagrams = build_datagrams(site, flows)
    before = read_resident_bytes(process.pid)
    placed = send_and_count(source, sink, target, datagrams, flows)
    time.sleep(1.0)
    per_flow = (read_resident_bytes(process.pid) - before) / max(1, placed)
    steered_datagrams = steered.build_datagrams(parse_address(site.address(300))[1], flows)
    lines = []
    for _ in range(2):
        bare = measure(
            "bare relay", relay, source, sink, ("127.0.0.1", relay_port), datagrams, count
        )
        lines += [
            bare,
            measure("instance", process, source, sink, target, datagrams, count),
            measure(
                "steered",
                entry,
                source,
                sink,
                ("127.0.0.1", steered_port),
                steered_datagrams,
                count,
            ),
        ]
    for line in lines:
        print(json.dumps(line))
    rates = {
        name: max(x["per_cpu_second"] for x in lines if x["name"] == name)
        for name in ("bare relay", "instance", "steered")
    }
    summary = {
        "bench": "forward",
        "name": "summary",
        "flows": placed,
        "bytes_per_flow": round(per_flow, 1),
        "ratio": round(rates["instance"] / rates["bare relay"], 3),
        "steered_ratio": round(rates["steered"] / rates["bare relay"], 3),
        "wanted_ratio": 0.333,
        "wanted_steered_ratio": 0.5,
        "wanted_bytes_per_flow": 200,
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    fire.Fire(forward, serialize=lambda _: None)
