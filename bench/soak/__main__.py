"""
Soak test: real processes on loopback, with planned changes and faults from a seed.

Simulated callers, upstreams and operators check the guarantees of the load balancer
from outside. The last line is JSON; a run with violations also prints the command
that repeats it.
"""

import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import fire
import trio

from bench.production import ProductionError, extract_to_target, read_commit
from bench.soak.callers import Caller
from bench.soak.events import EventScheduler
from bench.soak.late_calls import run_reborn_upstream
from bench.soak.operator import Operator
from bench.soak.series import play_seeds
from bench.soak.site import ZONES, Site

FABRIC_PORT = 7610
START_TIMEOUT_SECONDS = 30.0
MAX_REQUEST_PAUSE_SECONDS = 0.6
CALLERS_PER_ZONE = 2
SESSIONS_PER_CALLER = 3
# All processes must serve again within this time after the last event.
RECOVERY_SECONDS = 8.0
FINAL_CHECK_SECONDS = 4.0


def log(text):
    """Print a line with the time to standard error."""
    print(f"{trio.current_time():.3f} {text}", file=sys.stderr, flush=True)


async def run_sessions(caller, front_doors):
    """Run sessions one after another to random front doors, until cancelled."""
    while True:
        front_door = caller.random.choice(front_doors)
        requests = caller.random.randint(1, 12)
        await caller.run_session(front_door, requests, MAX_REQUEST_PAUSE_SECONDS)


async def run_soak(site, seed, seconds):
    """Run the site with simulated callers, upstreams and operator, and the events."""
    async with trio.open_nursery() as nursery:
        operator = Operator(site, seed)
        events = EventScheduler(site, operator, nursery, seed, log)
        for name, machine in site.machines.items():
            machine.tree = site.trees[-1]
            site.start_process(name)
        site.founding = False
        events.add_upstreams()
        nursery.start_soon(site.probe_entries)
        nursery.start_soon(site.restart_exited, events.busy)
        with trio.fail_after(START_TIMEOUT_SECONDS):
            await operator.send_first_version()
            while not all(site.machines[name].ready for name in site.machine_names("entry")):
                await trio.sleep(0.2)
        site.record_fault()
        callers = await start_callers(site, nursery, seed, list(operator.front_doors))
        for task in (operator.run_changes, operator.run_reads, operator.run_evacuations):
            nursery.start_soon(task)
        nursery.start_soon(operator.check_in_force, callers)
        if len(site.trees) == 1:
            # Earlier versions act on late calls and odd heartbeats.
            nursery.start_soon(run_reborn_upstream, site, seed)
        nursery.start_soon(site.keep_connections)
        await events.run(seconds)
        await events.upgrade_all()
        await trio.sleep(RECOVERY_SECONDS)
        await check_final_state(site, operator)
        await site.stop_all(events.busy)
        site.check_logs()
        nursery.cancel_scope.cancel()


async def start_callers(site, nursery, seed, front_doors):
    """Start all callers and their sessions; return the callers."""
    callers = []
    for number in range(CALLERS_PER_ZONE * len(ZONES)):
        zone = ZONES[number % len(ZONES)]
        caller = Caller(f"127.{site.network}.8.{number + 1}", zone, site, seed + number)
        callers.append(caller)
        await nursery.start(caller.run)
        for _ in range(SESSIONS_PER_CALLER):
            nursery.start_soon(run_sessions, caller, front_doors)
    return callers


async def check_final_state(site, operator):
    """Check that requests are answered again and that acknowledged versions are kept."""
    before = site.answered
    await trio.sleep(FINAL_CHECK_SECONDS)
    if site.answered - before < FINAL_CHECK_SECONDS:
        site.record_violation("fewer than one answer per second after the last fault")
    addresses = site.control_addresses()
    versions = [await operator.read_version(address) for address in addresses]
    if max(versions) < operator.acknowledged_version:
        site.record_violation(
            f"control replicas returned versions {versions} after version "
            f"{operator.acknowledged_version} was acknowledged"
        )
    site.check_duplicate_runs()


def build_version(commit):
    """Return the folder of the package of a commit; exit if there is none."""
    try:
        return extract_to_target(read_commit() if commit == "production" else commit)
    except ProductionError as error:
        sys.exit(f"soak: {error}")


def soak(
    seed=1,
    minutes=1.0,
    keep="",
    network=0,
    calm_seconds=8.0,
    upgrade="",
    entries=4,
    controls=4,
    seeds="",
):
    """
    Run the soak once; KEEP names a new folder for settings, logs and data.

    SEEDS is a range such as 1-50: they run one after another, with a line of result each.

    ENTRIES and CONTROLS are the numbers of entry instances and control replicas.

    UPGRADE is a commit, or "production" for the one in deploy/system.toml: all processes
    start with that version, are replaced by the current one and back at random, and run the
    current one at the end.

    Time bounds are checked only while no fault has occurred for CALM_SECONDS.

    NETWORK is the second number of the loopback addresses, 2 to 250; concurrent
    runs need different ones.

    Example: scripts/soak --seed 7 --minutes 2
    """
    if seeds:
        options = {"minutes": minutes, "calm-seconds": calm_seconds, "upgrade": upgrade}
        sys.exit(play_seeds(seeds, options | {"entries": entries, "controls": controls}))
    folder = Path(keep or tempfile.mkdtemp(prefix="lycheevalve-soak-")).absolute()
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        # The processes would load the data of an earlier run.
        sys.exit(f"folder {folder} of --keep is not empty")
    network = network or 2 + seed % 248
    trees = (None, build_version(upgrade)) if upgrade else (None,)
    site = Site(
        folder,
        FABRIC_PORT,
        network,
        entries,
        controls,
        calm_seconds=calm_seconds,
        trees=trees,
    )
    # Ends the run through `finally`, so that no process of the site is left.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        trio.run(run_soak, site, seed, minutes * 60)
    finally:
        site.kill_processes()
    violations = site.ledger.violations
    summary = {
        "seed": seed,
        "minutes": minutes,
        "answered": site.answered,
        "failed": dict(site.failures),
        "dropped_segments": site.dropped_segments,
        "violations": violations[:20],
        "broken": len(violations),
    }
    print(json.dumps(summary))
    if violations:
        print(f"logs: {folder}", file=sys.stderr)
        options = f" --upgrade {upgrade}" if upgrade else ""
        options += f" --entries {entries} --controls {controls}"
        repeat = f"scripts/soak --seed {seed} --minutes {minutes}{options}"
        print(f"repeat with: {repeat}", file=sys.stderr)
        sys.exit(1)
    if not keep:
        shutil.rmtree(folder)


if __name__ == "__main__":
    fire.Fire(soak, serialize=lambda _: None)
