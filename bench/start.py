"""
Measures the processor time from the start of an entry instance to its first packet.

A stand-in for a replica answers its lookups. The result is a ratio to the start of a bare
interpreter, whose times are taken in turn with it; the imports of the whole instance are
given for comparison. Prints a JSON line.
"""

import json
import os
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import fire

from lycheevalve.schema import lookups
from lycheevalve.tests.fakes.platform import ACK, Segment

KEY = "key-of-the-benchmark"
HOST = "127.0.0.1"
REPLICA_HOST = "127.0.0.2"
ROOT = Path(__file__).parents[1]
IMPORTS = (
    "import lycheevalve.daemon.entry, lycheevalve.platform.run, lycheevalve.platform.codec"
)
WAIT_TIMEOUT_SECONDS = 30.0
RETRANSMIT_SECONDS = 0.02
COOKIE = 7


def open_socket(host=HOST, port=0):
    """Return a UDP socket at an address of the loopback interface, by default a free one."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((host, port))
    return opened


def find_port():
    """Return a UDP port that is free."""
    with open_socket() as opened:
        return opened.getsockname()[1]


def measure_command(*arguments):
    """Return the processor time in seconds of a Python command."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, *arguments], check=True, cwd=ROOT)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def read_cpu_seconds(pid):
    """Return the processor time in seconds that the threads of a process have used."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def measure_first_packet(folder):
    """Return the processor time in seconds of an entry instance up to its first packet."""
    packets_port, link_port = find_port(), find_port()
    # The replica has the port of the instance's links, at another address.
    replica = open_socket(REPLICA_HOST, link_port)
    with replica, open_socket() as upstream, open_socket() as caller:
        words = {
            "packets": f"{HOST}:{packets_port}",
            "ip": HOST,
            "link_port": link_port,
            "seeds": f"{REPLICA_HOST}:1",
            "data_centre": "dc1",
            "key": KEY,
        }
        early = " ".join(f"{key}={value}" for key, value in words.items())
        process = subprocess.Popen(
            [sys.executable, "-m", "lycheevalve.platform", str(folder / "missing.toml")],
            env={**os.environ, "LYCHEEVALVE_EARLY": early},
            stderr=subprocess.DEVNULL,
            cwd=ROOT,
        )
        try:
            serve_first_packet(replica, upstream, caller, (HOST, packets_port))
            process.send_signal(signal.SIGSTOP)
            return read_cpu_seconds(process.pid)
        finally:
            process.kill()
            process.wait()


def serve_first_packet(replica, upstream, caller, address):
    """Send a packet until it reaches the upstream; answer the lookup for it."""
    key = lookups.derive_key(KEY.encode())
    ip, port = upstream.getsockname()
    target = lookups.Target(COOKIE, (socket.inet_aton(ip), port), 1, True, "i-1")
    packet = Segment(("100.64.0.7", 40001), ("198.18.0.1", 443), ACK, cookie=COOKIE).encode()
    replica.settimeout(RETRANSMIT_SECONDS)
    for _ in range(round(WAIT_TIMEOUT_SECONDS / RETRANSMIT_SECONDS)):
        caller.sendto(packet, address)
        try:
            data, source = replica.recvfrom(2000)
        except TimeoutError:
            continue
        lookup = lookups.decode_lookup(key, data)
        answer = lookups.Answer(lookup.nonce, 1, [target])
        replica.sendto(lookups.encode_answer(key, answer), source)
        upstream.settimeout(WAIT_TIMEOUT_SECONDS)
        upstream.recv(2000)
        return
    raise TimeoutError("the instance sent no lookup")


def measure(runs=15):
    """Print the medians of RUNS starts, in milliseconds of processor time, and their ratio."""
    bare, first, imports = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(runs):
            bare.append(measure_command("-c", "pass"))
            first.append(measure_first_packet(Path(folder)))
            imports.append(measure_command("-c", IMPORTS))
    medians = [statistics.median(times) * 1000 for times in (bare, first, imports)]
    line = dict(zip(("bare_ms", "first_packet_ms", "imports_ms"), map(round, medians)))
    line["ratio"] = round(medians[1] / medians[0], 2)
    line["imports_ratio"] = round(medians[2] / medians[0], 2)
    print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(measure)
