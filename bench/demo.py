"""
Runs a small site of one organisation; changes, drains and kills parts of it under traffic.

The last line is a JSON object with the figures that the fake callers and upstreams
count; the exit code is 1 if a check of them fails.
"""

import collections
import functools
import json
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import fire
import trio

from bench.deployment import Deployment
from lycheevalve.tests.fakes.caller import Outcomes, Requester, run_session
from lycheevalve.utils.addresses import parse_address

SESSIONS = 84
UPLOADERS = 12
READERS = 8
REPORT_BLOCKS = 4
START_TIMEOUT_SECONDS = 15.0
FAILURE_COUNTS = (
    "misrouted",
    "ran_twice",
    "said_not_run_but_ran",
    "lost_answers",
    "wrong_answers",
    "broken_flows",
)


def log(text):
    """Write a progress message to standard error."""
    print(f"demo: {text}", file=sys.stderr, flush=True)


async def run_in_thread(function, *arguments, **options):
    """Run a blocking function in a thread."""
    return await trio.to_thread.run_sync(functools.partial(function, *arguments, **options))


async def run_command(site, *arguments):
    """Run the command-line tool with --json; return its object, or raise RuntimeError."""
    done = await run_in_thread(site.run_command, *arguments, "--json")
    if done.returncode:
        raise RuntimeError(f"{arguments[0]} exited with code {done.returncode}: {done.stderr}")
    return json.loads(done.stdout)


async def apply(site, wait=15):
    """Apply the site's files; wait up to `wait` seconds until they are in force."""
    base, overlay = site.folder / "base.toml", site.folder / "overlay.toml"
    return await run_command(site, "apply", base, overlay, "--wait", wait)


async def apply_when_up(site):
    """Apply the site's files; retry until the instances answer."""
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            try:
                return await apply(site)
            except RuntimeError:
                await trio.sleep(0.5)


async def wait_until_ready(site):
    """Wait until the site's status reports all upstreams as up."""
    wanted = len(site.upstream_names())
    with trio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            status = await run_command(site, "status", site.folder / "overlay.toml")
            up = sum(states.get("up", 0) for states in status["upstreams"].values())
            if up == wanted:
                return
            await trio.sleep(0.2)


async def run_callers(site, seconds, outcomes, seed):
    """Run all callers for `seconds`."""
    stream, request, report = (
        parse_address(site.front_door_address(number)) for number in (1, 2, 3)
    )
    async with trio.open_nursery() as nursery:
        for number in range(SESSIONS):
            name = f"band-{number}"
            nursery.start_soon(run_session, name, stream, seconds, 0.15, outcomes)
            await trio.sleep(0.005)
        for number in range(UPLOADERS):
            caller = Requester(f"upload-{number}", outcomes, seed + number)
            nursery.start_soon(call_repeatedly, caller.upload, seconds - 2, (request,))
        for number in range(READERS):
            caller = Requester(f"report-{number}", outcomes, seed + 1000 + number)
            arguments = (report, REPORT_BLOCKS)
            nursery.start_soon(call_repeatedly, caller.fetch_report, seconds - 2, arguments)


async def call_repeatedly(function, seconds, arguments):
    """Call an async function repeatedly for `seconds`."""
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        await function(*arguments)
        await trio.sleep(0.1)


async def run_events(site, seconds, event_results):
    """Apply a change, drain an upstream, stop and kill instances, and restart them."""
    pause = seconds / 8
    await trio.sleep(pause)
    log("apply a change")
    site.write_overlay(deadline_ms=9000)
    event_results["change"] = await apply(site)
    await trio.sleep(pause / 2)
    drained = site.upstream_address("stream1", "stream")
    log(f"drain {drained}")
    overlay = site.folder / "overlay.toml"
    await run_command(site, "drain", overlay, drained, "--wait", 15)
    event_results["drained"], event_results["drained_at"] = drained, time.time()
    await trio.sleep(pause / 2)
    log("stop a5 gracefully")
    site.signal("a5", signal.SIGTERM)
    await run_in_thread(site.processes["a5"].wait)
    event_results["graceful_exit"] = site.processes["a5"].returncode
    log("kill a6")
    await run_in_thread(site.kill, "a6")
    await trio.sleep(pause)
    log("start a5 and a6 again")
    site.start_instance("a5")
    site.start_instance("a6")
    await trio.sleep(pause)


def build_summary(site, outcomes, event_results, status):
    """Return the figures that the fake callers and upstreams have counted."""
    events = site.read_upstream_events()
    runs = collections.Counter(e["request"] for e in events if e["event"] == "run")
    uploads = {name: count for name, count in runs.items() if name.startswith("upload")}
    sessions = collections.Counter(
        e["upstream"] for e in events if e["event"] == "session" and e["number"] == 0
    )
    loads = [
        sessions.get(site.upstream_address(n, k), 0)
        for n, k in site.upstream_names()
        if k == "stream"
    ]
    broken = outcomes.broken_sessions | {e["session"] for e in events if e["event"] == "broken"}
    late_work = [
        e
        for e in events
        if e["upstream"] == event_results.get("drained")
        and e["at"] > event_results["drained_at"] + 3
        and (e["event"] == "session" or (e["event"] == "run" and e["code"].startswith("0.02")))
    ]
    return {
        "site": site.site,
        "asked": outcomes.asked,
        "answered": outcomes.answered,
        "refused_not_run": len(outcomes.refused),
        "unknown": len(outcomes.unknown),
        "misrouted": sum(e["event"] == "misrouted" for e in events),
        "ran_twice": sum(count > 1 for count in uploads.values()),
        "said_not_run_but_ran": len(outcomes.refused & set(uploads)),
        "lost_answers": len(outcomes.lost),
        "wrong_answers": len(outcomes.wrong),
        "sessions": outcomes.sessions,
        "broken_flows": len(broken | outcomes.unanswered_sessions),
        "new_work_after_drain": len(late_work),
        "imbalance": round(max(loads) * len(loads) / max(1, sum(loads)), 3),
        "accepted_revision": status["accepted_revision"],
        "in_force": status["in_force"],
    }


async def run_demo(site, seconds, seed):
    """Run the site, the callers and the events; return the summary."""
    outcomes, event_results = Outcomes(), {}
    log(f"start {site.site}: 8 instances, {len(site.upstream_names())} upstreams")
    site.start_all(seed)
    await trio.sleep(1.0)
    await apply_when_up(site)
    await wait_until_ready(site)
    log("traffic starts")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_callers, site, seconds, outcomes, seed)
        nursery.start_soon(run_events, site, seconds, event_results)
    status = await run_command(site, "status", site.folder / "overlay.toml")
    return build_summary(site, outcomes, event_results, status)


def demo(site="lagos", seconds=16, seed=1, port=17000, keep=""):
    """
    Run the demo; KEEP names a folder in which its files and logs are kept.

    Example: scripts/demo --site hvelfing
    """
    folder = Path(keep or tempfile.mkdtemp(prefix="lycheevalve-demo-")).absolute()
    deployment = Deployment(site, folder, port)
    try:
        summary = trio.run(run_demo, deployment, seconds, seed)
    finally:
        deployment.stop_all()
        if not keep:
            shutil.rmtree(folder)
    failed = [name for name in (*FAILURE_COUNTS, "new_work_after_drain") if summary[name]]
    print(json.dumps(summary))
    if failed:
        log(f"failed checks: {', '.join(failed)}")
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(demo, serialize=lambda _: None)
