"""
The cost of control: messages, bytes and processor time by number of nodes.

Runs the decisions in one process, in simulated time, with real frames where
bytes are counted. Prints JSON lines, the last ones slopes with their fit.
"""

import gc
import json
import random
import time
import tracemalloc

import attrs
import fire
import numpy

from lycheevalve.coordination import consensus
from lycheevalve.coordination.configuration import ConfigurationStateMachine
from lycheevalve.coordination.dissemination import Dissemination
from lycheevalve.coordination.membership import PERIOD_SECONDS, Membership, State
from lycheevalve.coordination.timers import Timers
from lycheevalve.flows.ownership import Ownership, compute_ownership
from lycheevalve.flows.upstreams import Upstreams
from lycheevalve.schema.frames import FrameCodec
from lycheevalve.schema.generated import messages
from lycheevalve.schema.generated.messages import Configuration, Member, Registration
from lycheevalve.tests.fakes.network import Network
from lycheevalve.tests.fakes.replicas import ReplicaCluster, build_change, build_service

STEP_SECONDS = 0.05
# Instances of other data centres that each one tells of new revisions.
BRIDGES_PER_INSTANCE = 3
MEMBERSHIP_HANDLERS = {
    messages.Ping: Membership.handle_ping,
    messages.Ack: Membership.handle_ack,
    messages.PingRequest: Membership.handle_ping_request,
}
DISSEMINATION_HANDLERS = {
    messages.Digest: Dissemination.handle_digest,
    messages.Fetch: Dissemination.handle_fetch,
    messages.Fetched: Dissemination.handle_fetched,
}


class CountingNetwork:
    """Counts the messages and bytes that pass between nodes."""

    def __init__(self, loss, seed):
        self.network = Network(random.Random(seed), loss=loss)
        self.codec = FrameCodec(b"a key of sixteen bytes", "a1", 1)
        self.count = 0
        self.bytes = 0

    def send(self, sender, receiver, message):
        """Count a message and put it on its way."""
        self.count += 1
        self.bytes += len(self.codec.encode(message))
        self.network.send(sender, receiver, message)


def build_members(count, places):
    """Return members over some data centres."""
    return [
        Member(f"a{n}", f"dc{n % places}", f"10.0.{n >> 8}.{n & 255}:7100", 1, State.ALIVE)
        for n in range(count)
    ]


def measure_membership(nodes, loss, seed=1, seconds=20.0):
    """Return bytes, processor time and the time to detect a death, for each node."""
    wire = CountingNetwork(loss, seed)
    members = build_members(nodes, 1)
    groups = {}
    for member in members:
        mine = attrs.evolve(member)
        send = lambda to, message, me=member.name: wire.send(me, to, message)  # noqa: E731
        groups[member.name] = Membership(mine, send, lambda now: None, random.Random(mine.name))
        groups[member.name].merge_all(members, 0.0)
    for group in groups.values():
        group.transmissions_left.clear()
    dead, detected, used, now = "a1", {}, 0.0, 0.0
    start_count, start_bytes = wire.count, wire.bytes
    died_at = seconds / 2
    while now < seconds:
        now += STEP_SECONDS
        began = time.process_time()
        for name, group in groups.items():
            if (name != dead or now < died_at) and now % PERIOD_SECONDS < STEP_SECONDS:
                group.tick(now)
        for sender, receiver, message in wire.network.pop():
            if receiver != dead or now < died_at:
                MEMBERSHIP_HANDLERS[type(message)](groups[receiver], sender, message, now)
        used += time.process_time() - began
        for name, group in groups.items():
            if name not in detected and group.members[dead].state == State.DEAD:
                detected[name] = now - died_at
    return {
        "bench": "control",
        "part": "membership",
        "nodes": nodes,
        "loss": loss,
        "bytes_per_second": round((wire.bytes - start_bytes) / nodes / seconds, 1),
        "messages_per_second": round((wire.count - start_count) / nodes / seconds, 2),
        "cpu_share": round(used / nodes / seconds, 6),
        "detected_by": len(detected),
        "all_detect_seconds": round(max(detected.values(), default=0.0), 2),
    }


def measure_dissemination(nodes, places, loss, changes=5, seed=1):
    """Return the time from accepted to in force everywhere, and its cost."""
    wire = CountingNetwork(loss, seed)
    members = build_members(nodes, places)
    by_place = {}
    for member in members:
        by_place.setdefault(member.data_centre, []).append(member.name)
    names = [member.name for member in members]
    base = Configuration(1, [build_service(f"s{n}", 7000 + n) for n in range(200)])
    parts, timers = {}, Timers()
    for member in members:
        name = member.name
        near = [other for other in by_place[member.data_centre] if other != name]
        outside = [other for other in names if other not in near and other != name]
        bridges = random.Random(name).sample(outside, min(BRIDGES_PER_INSTANCE, len(outside)))
        part = Dissemination(
            send=lambda to, message, me=name: wire.send(me, to, message),
            neighbours=lambda near=near: near,
            others=lambda known=(*near, *bridges): known,
            bridges=tuple(bridges),
            apply=lambda configuration, now: None,
            random=random.Random(name),
            started_at=0.0,
            applied=base,
            held=base,
            ready=True,
        )
        parts[name] = part
        timers.subscribe(0.5, part.tick, 0.0, random.Random(name).random() * 0.5)
    now, durations, used = 0.0, [], 0.0
    gossip = random.Random(seed)
    for revision in range(2, changes + 2):
        change = build_change(f"c{revision}", revision - 1)
        began_at = now
        seed_part = parts[names[0]]
        newer = Configuration(revision, base.services)
        seed_part.handle_commit(newer, [change], now)
        while any(part.applied.revision < revision for part in parts.values()):
            now += STEP_SECONDS
            began = time.process_time()
            timers.run_due(now)
            exchange_revisions(parts, by_place, now, gossip)
            for sender, receiver, message in wire.network.pop():
                DISSEMINATION_HANDLERS[type(message)](parts[receiver], sender, message, now)
            used += time.process_time() - began
            if now - began_at > 60:
                break
        durations.append(now - began_at)
    return {
        "bench": "control",
        "part": "spreading",
        "nodes": nodes,
        "data_centres": places,
        "loss": loss,
        "in_force_seconds": round(max(durations), 2),
        "bytes_per_change": round(wire.bytes / nodes / changes, 1),
        "cpu_ms_per_change": round(used / nodes / changes * 1000, 3),
    }


def exchange_revisions(parts, by_place, now, gossip):
    """Let each node hear of one other's revisions now and then, as its pings tell."""
    if now % PERIOD_SECONDS >= STEP_SECONDS:
        return
    for place in by_place.values():
        for name in place:
            other = gossip.choice(place)
            if other != name:
                told = parts[other]
                parts[name].update_peer(other, told.applied.revision, told.held.revision, now)


def measure_replica(changes):
    """Return processor time and memory of a replica by the changes piled up."""
    replicas = ReplicaCluster(3, random.Random(1))
    replicas.run_until(replicas.is_settled)
    (leader,) = replicas.leaders()

    def apply_changes():
        machine = ConfigurationStateMachine()
        for number in range(changes):
            machine.apply(build_change(f"c{number}", number, f"s{number % 500}"))
        return machine

    used, held = measure_cpu_and_memory(apply_changes)
    sizes = {}
    for count in (1, 11):
        change = build_change("x", 0)
        change.puts = change.puts * count
        sizes[count] = len(FrameCodec(b"k" * 16, "a1", 1).encode(change))
    replica = replicas.running[leader]
    return {
        "bench": "control",
        "part": "replica",
        "changes": changes,
        "apply_us": round(used / changes * 1e6, 1),
        "bytes_per_change_kept": round(held / changes, 1),
        "bytes_per_service_on_the_wire": (sizes[11] - sizes[1]) // 10,
        "heartbeat_messages_per_second": round(2 / 0.15, 1),
        "role": replica.role.value,
        "can_propose": consensus.can_propose(replica, replicas.now),
    }


def measure_ownership(nodes):
    """Return the processor time of one change of the view, and its memory."""
    members = build_members(nodes, 1)
    Ownership.compute(members)

    def compute():
        compute_ownership.cache_clear()
        return Ownership.compute(members)

    used, held = measure_cpu_and_memory(compute)
    return {
        "bench": "control",
        "part": "ownership",
        "nodes": nodes,
        "cpu_ms_per_view": round(used * 1000, 2),
        "bytes_held": held,
    }


def measure_upstreams(count):
    """Return the cost of a report, and the memory of an upstream."""
    registrations = [
        Registration(
            f"s{n % 3500}", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:7300", "dc1",
            1, 2, 30_000, 3, 2000, 1, 0, 100,
        )
        for n in range(count)
    ]  # fmt: skip

    def update(table, sequence):
        for registration in registrations:
            table.update(attrs.evolve(registration, sequence=sequence), 1.0)
        return table

    table = update(Upstreams(), 1)
    used, _ = measure_cpu_and_memory(lambda: update(table, 2))
    _, held = measure_cpu_and_memory(lambda: update(Upstreams(), 1))
    codec = FrameCodec(b"k" * 16, "a1", 1)
    sizes = [len(codec.encode(messages.Registrations(registrations[:n]))) for n in (1, 21)]
    return {
        "bench": "control",
        "part": "upstreams",
        "upstreams": count,
        "update_us": round(used / count * 1e6, 2),
        "bytes_held_each": round(held / count, 1),
        "bytes_on_the_wire_each": round((sizes[1] - sizes[0]) / 20, 1),
    }


def measure_cpu_and_memory(function):
    """Return (processor seconds, bytes held by the result) of two calls."""
    gc.collect()
    began = time.process_time()
    function()
    used = time.process_time() - began
    tracemalloc.start()
    result = function()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return used, held


def fit_line(lines, part, x, y):
    """Return the JSON line of a straight line through a part's figures."""
    points = [
        (line[x], line[y]) for line in lines if line["part"] == part and not line.get("loss")
    ]
    xs, ys = zip(*points)
    slope, base = numpy.polyfit(xs, ys, 1)
    expected = numpy.polyval((slope, base), xs)
    total = float(numpy.sum((numpy.array(ys) - numpy.mean(ys)) ** 2))
    rest = float(numpy.sum((numpy.array(ys) - expected) ** 2))
    return {
        "bench": "control",
        "part": "slope",
        "of": f"{part}.{y}",
        "by": x,
        "slope": float(f"{slope:.4g}"),
        "base": float(f"{base:.4g}"),
        "r2": round(1 - rest / total, 4) if total else 1.0,
    }


def control(largest=2000):
    """
    Measure all parts up to LARGEST nodes.

    Example: scripts/bench control
    """
    lines = []
    sizes = [n for n in (8, 30, 60, 120, 250, 500, 1000, 2000) if n <= largest]
    for nodes in sizes:
        lines += [measure_ownership(nodes)]
        if nodes <= 500:
            lines += [measure_membership(nodes, loss) for loss in (0.0, 0.05)]
        lines += [
            measure_dissemination(nodes, max(1, min(17, nodes // 4)), loss)
            for loss in (0.0, 0.05)
        ]
    lines += [measure_replica(changes) for changes in (100, 1000, 10_000)]
    lines += [measure_upstreams(count) for count in (100, 1000, 4000)]
    lines += [
        fit_line(lines, "membership", "nodes", "bytes_per_second"),
        fit_line(lines, "membership", "nodes", "cpu_share"),
        fit_line(lines, "spreading", "nodes", "bytes_per_change"),
        fit_line(lines, "spreading", "nodes", "cpu_ms_per_change"),
        fit_line(lines, "spreading", "nodes", "in_force_seconds"),
        fit_line(lines, "ownership", "nodes", "cpu_ms_per_view"),
        fit_line(lines, "ownership", "nodes", "bytes_held"),
        fit_line(lines, "upstreams", "upstreams", "bytes_held_each"),
    ]
    for line in lines:
        print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(control, serialize=lambda _: None)
