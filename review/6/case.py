"""A withdrawal of an evacuation that a frozen replica applies after a later evacuation."""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import Deployment, Operator, run_case  # noqa: E402
from flows import Caller, Fabric, Target, build_configuration  # noqa: E402

ZONES = ("ikeja-a", "ikeja-b", "ikeja-c")
EVACUATED = 1
SERVICE = "nightsync"
FRONT_DOOR = ("198.18.0.1", 443)
TARGET_PORT = 8080
EVACUATE_SECONDS = 5.0
CONTACT_SECONDS = 5.0
FREEZE_SECONDS = 6.5
WATCHED_SECONDS = 10.0
REQUEST_INTERVAL_SECONDS = 0.1


def call_until(callers, end, count):
    """Send requests from all zones in turn until a time; return how many were sent."""
    while time.monotonic() < end:
        callers[count % len(callers)].request(FRONT_DOOR, f"request-{count}")
        count += 1
        time.sleep(REQUEST_INTERVAL_SECONDS)
    return count


def play(record, has_trouble):
    """Play the case; return the broken rules."""
    deployment = Deployment(ZONES, record)
    operator, fabric = Operator(deployment), Fabric(deployment)
    network = deployment.network
    targets = []
    try:
        deployment.start_all()
        body = build_configuration(1, [(FRONT_DOOR, SERVICE, "safe")])
        operator.send("/Config.Replace", 0, body)
        for i, zone in enumerate(ZONES):
            address = (f"127.{network}.3.{i + 1}", TARGET_PORT)
            targets.append(Target(deployment, 0x9E16B79E00 + i, SERVICE, zone, address, i))
            targets[-1].start()
        deployment.wait_ready()
        fabric.start()
        time.sleep(2.0)
        callers = [
            Caller(fabric, f"127.{network}.5.{i + 1}", zone) for i, zone in enumerate(ZONES)
        ]
        count = call_until(callers, time.monotonic() + 1.0, 0)
        return watch(deployment, operator, callers, targets, count, has_trouble)
    finally:
        fabric.stop()
        for target in targets:
            target.stop()
        deployment.stop_all()


def watch(deployment, operator, callers, targets, count, has_trouble):
    """Evacuate a zone, take it back, evacuate it again; return requests that came late."""
    zone = ZONES[EVACUATED]
    start, stop = f"/Evacuations.Start/{zone}", f"/Evacuations.Stop/{zone}"
    operator.send(start, 0)
    count = call_until(callers, time.monotonic() + 2.0, count)
    frozen = deployment.controls[2]
    frozen_at = time.monotonic()
    if has_trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    count = call_until(callers, time.monotonic() + 0.3, count)
    # The first replica that is asked is the frozen one; a second later the next one is.
    operator.send(stop, 2)
    count = call_until(callers, time.monotonic() + 2.0, count)
    acknowledged_at = operator.send(start, 0)
    count = call_until(callers, frozen_at + FREEZE_SECONDS, count)
    if has_trouble:
        deployment.signal(frozen, signal.SIGCONT)
    thawed_at = time.monotonic()
    judged_from = max(acknowledged_at + EVACUATE_SECONDS, thawed_at + CONTACT_SECONDS)
    call_until(callers, judged_from + WATCHED_SECONDS, count)
    late = [at for at, _ in targets[EVACUATED].openings if at > judged_from]
    if not late:
        return []
    seconds = late[0] - acknowledged_at
    return [
        f"EVAC: {len(late)} flows reached {targets[EVACUATED].name} in {zone}, the first "
        f"{seconds:.1f} s after the evacuation was acknowledged; it was not taken back since"
    ]


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
