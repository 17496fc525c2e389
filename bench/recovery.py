"""
Measures how long replicas take to recover, by the number of committed changes.

One figure is the time from a kill until the replica is a full member again, the other
the same after the loss of its disk. Runs real processes with files; prints JSON lines
and slopes.
"""

import json
import shutil
import tempfile
import time
from pathlib import Path

import fire
import numpy
import trio

from bench.deployment import Deployment
from lycheevalve.commands.client import Client
from lycheevalve.daemon.links import open_connection
from lycheevalve.schema.generated.messages import Change, StatusRequest

FULL_MEMBER_ROLES = ("follower", "leader")
RECOVERY_TIMEOUT_SECONDS = 120.0
CONCURRENT_PROPOSALS = 16


async def wait_for_role(site, client, name, revision):
    """
    Return the seconds until a replica is a full member again.

    It must report a voter's role and a configuration of at least `revision`.
    """
    began = time.monotonic()
    with trio.fail_after(RECOVERY_TIMEOUT_SECONDS):
        while True:
            try:
                status = await client.request(site.instance_address(name), StatusRequest())
            except Exception:
                await trio.sleep(0.02)
                continue
            roles = {entry.name: entry.role for entry in status.instances}
            if (
                roles.get(name) in FULL_MEMBER_ROLES
                and status.configuration.revision >= revision
            ):
                return time.monotonic() - began
            await trio.sleep(0.02)


async def commit_changes(client, count):
    """Commit `count` changes, which drain and undrain one address in turn."""
    leader = (await client.status()).leader
    address = client.site.control[int(leader[1:]) - 1]
    numbers = iter(range(count))

    async def propose():
        connection = await open_connection(address, client.build_codec())
        async with connection.stream:
            for number in numbers:
                drained = ["10.0.0.1:1"]
                drains, undrains = (drained, []) if number % 2 else ([], drained)
                change = Change(
                    f"pile-{time.monotonic_ns()}-{number}",
                    0,
                    drains=drains,
                    undrains=undrains,
                    author="bench",
                    ignore_base=True,
                )
                await connection.send(change)
                await connection.receive()

    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT_PROPOSALS):
            nursery.start_soon(propose)


async def run(site, counts):
    """Measure recovery at each number of committed changes."""
    client = Client.from_overlay(site.folder / "overlay.toml")
    lines, committed = [], 1
    for count in counts:
        began = time.monotonic()
        await commit_changes(client, count - committed)
        seconds = time.monotonic() - began
        status = await client.status()
        committed = status.accepted
        name = next(name for name in ("a1", "a2", "a3") if name != status.leader)
        line = {
            "bench": "recovery",
            "changes": committed,
            "changes_per_second": round((count - 1) / seconds, 1),
        }
        site.kill(name)
        site.start_instance(name)
        restarted = await wait_for_role(site, client, name, committed)
        line["kill_to_full_seconds"] = round(restarted, 2)
        site.kill(name)
        shutil.rmtree(site.folder / f"data-{name}")
        site.start_instance(name)
        recovered = await wait_for_role(site, client, name, committed)
        line["lost_disk_to_full_seconds"] = round(recovered, 2)
        print(json.dumps(line), flush=True)
        lines.append(line)
    for key in ("kill_to_full_seconds", "lost_disk_to_full_seconds"):
        xs = [line["changes"] for line in lines]
        slope, base = numpy.polyfit(xs, [line[key] for line in lines], 1)
        summary = {"bench": "recovery", "slope_of": key, "by": "changes"}
        print(json.dumps(summary | {"slope": float(f"{slope:.3g}"), "base": round(base, 2)}))


def recovery(counts="100,1000,10000", port=19000):
    """
    Measure recovery at the given numbers of committed changes.

    Example: scripts/bench recovery
    """
    numbers = [int(n) for n in (counts.split(",") if isinstance(counts, str) else counts)]
    with tempfile.TemporaryDirectory() as folder:
        site = Deployment("lagos", Path(folder), port, instances=4)
        site.write_files()
        for name in site.instance_names():
            site.start_instance(name)
        try:
            files = site.folder / "base.toml", site.folder / "overlay.toml"
            while site.run_command("apply", *files, "--wait", 15).returncode:
                time.sleep(0.2)
            trio.run(run, site, numbers)
        finally:
            site.stop_all()


if __name__ == "__main__":
    fire.Fire(recovery, serialize=lambda _: None)
