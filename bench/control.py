"""
Measures the cost of coordination by number of nodes: messages, bytes, CPU and memory.

Runs the nodes' logic in one process in simulated time, with encoded frames where
bytes are counted. Prints JSON lines; the last ones are linear fits (slope, base and
R squared) of the figures before.
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
# Peers in other data centres to which each instance sends new revisions.
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
    """A simulated network that counts the messages and bytes sent."""

    def __init__(self, loss, seed):
        self.network = Network(random.Random(seed), loss=loss)
        self.codec = FrameCodec(b"a key of sixteen bytes", "a1", 1)
        self.count = 0
        self.bytes = 0

    def send(self, sender, receiver, message):
        """Count a message and send it."""
        self.count += 1
        self.bytes += len(self.codec.encode(message))
        self.network.send(sender, receiver, message)


def build_members(count, data_centres):
    """Return live members, spread evenly over the data centres."""
    return [
        Member(
            f"a{n}", f"dc{n % data_centres}", f"10.0.{n >> 8}.{n & 255}:7100", 1, State.ALIVE
        )
        for n in range(count)
    ]


def measure_membership(nodes, loss, seed=1, seconds=20.0):
    """
    Measure the failure detector: traffic and CPU per node, and the detection time.

    One node fails halfway through the simulated time.
    """
    wire = CountingNetwork(loss, seed)
    members = build_members(nodes, 1)
    memberships = {}
    for member in members:
        own = attrs.evolve(member)
        send = lambda to, message, me=member.name: wire.send(me, to, message)  # noqa: E731
        memberships[member.name] = Membership(
            own, send, lambda now: None, random.Random(own.name)
        )
        memberships[member.name].merge_all(members, 0.0)
    for membership in memberships.values():
        membership.transmissions_left.clear()
    failed, detected, cpu_seconds, now = "a1", {}, 0.0, 0.0
    start_count, start_bytes = wire.count, wire.bytes
    failed_at = seconds / 2
    while now < seconds:
        now += STEP_SECONDS
        began = time.process_time()
        for name, membership in memberships.items():
            if (name != failed or now < failed_at) and now % PERIOD_SECONDS < STEP_SECONDS:
                membership.tick(now)
        for sender, receiver, message in wire.network.pop():
            if receiver != failed or now < failed_at:
                MEMBERSHIP_HANDLERS[type(message)](memberships[receiver], sender, message, now)
        cpu_seconds += time.process_time() - began
        for name, membership in memberships.items():
            if name not in detected and membership.members[failed].state == State.DEAD:
                detected[name] = now - failed_at
    return {
        "bench": "control",
        "part": "membership",
        "nodes": nodes,
        "loss": loss,
        "bytes_per_second": round((wire.bytes - start_bytes) / nodes / seconds, 1),
        "messages_per_second": round((wire.count - start_count) / nodes / seconds, 2),
        "cpu_share": round(cpu_seconds / nodes / seconds, 6),
        "detected_by": len(detected),
        "all_detect_seconds": round(max(detected.values(), default=0.0), 2),
    }


def measure_dissemination(nodes, data_centres, loss, changes=5, seed=1):
    """Measure the time from the commit of a change until all nodes apply it, and its cost."""
    wire = CountingNetwork(loss, seed)
    members = build_members(nodes, data_centres)
    by_data_centre = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member.name)
    names = [member.name for member in members]
    base = Configuration(1, [build_service(f"s{n}", 7000 + n) for n in range(200)])
    disseminations, timers = {}, Timers()
    for member in members:
        name = member.name
        neighbours = [other for other in by_data_centre[member.data_centre] if other != name]
        remote = [other for other in names if other not in neighbours and other != name]
        bridges = random.Random(name).sample(remote, min(BRIDGES_PER_INSTANCE, len(remote)))
        dissemination = Dissemination(
            send=lambda to, message, me=name: wire.send(me, to, message),
            neighbours=lambda names=neighbours: names,
            others=lambda names=(*neighbours, *bridges): names,
            bridges=tuple(bridges),
            apply=lambda configuration, now: None,
            random=random.Random(name),
            started_at=0.0,
            applied=base,
            held=base,
            ready=True,
        )
        disseminations[name] = dissemination
        timers.subscribe(0.5, dissemination.tick, 0.0, random.Random(name).random() * 0.5)
    now, durations, cpu_seconds = 0.0, [], 0.0
    gossip = random.Random(seed)
    for revision in range(2, changes + 2):
        change = build_change(f"c{revision}", revision - 1)
        began_at = now
        origin = disseminations[names[0]]
        newer = Configuration(revision, base.services)
        origin.handle_commit(newer, [change], now)
        while any(d.applied.revision < revision for d in disseminations.values()):
            now += STEP_SECONDS
            began = time.process_time()
            timers.run_due(now)
            exchange_revisions(disseminations, by_data_centre, now, gossip)
            for sender, receiver, message in wire.network.pop():
                DISSEMINATION_HANDLERS[type(message)](
                    disseminations[receiver], sender, message, now
                )
            cpu_seconds += time.process_time() - began
            if now - began_at > 60:
                break
        durations.append(now - began_at)
    return {
        "bench": "control",
        "part": "spreading",
        "nodes": nodes,
        "data_centres": data_centres,
        "loss": loss,
        "in_force_seconds": round(max(durations), 2),
        "bytes_per_change": round(wire.bytes / nodes / changes, 1),
        "cpu_ms_per_change": round(cpu_seconds / nodes / changes * 1000, 3),
    }


def exchange_revisions(disseminations, by_data_centre, now, gossip):
    """Once per membership period, pass one random neighbour's revisions to each node."""
    if now % PERIOD_SECONDS >= STEP_SECONDS:
        return
    for group in by_data_centre.values():
        for name in group:
            other = gossip.choice(group)
            if other != name:
                peer = disseminations[other]
                disseminations[name].update_peer(
                    other, peer.applied.revision, peer.held.revision, now
                )


def measure_replica(changes):
    """Measure the CPU time and memory of a control replica after a number of changes."""
    replicas = ReplicaCluster(3, random.Random(1))
    replicas.run_until(replicas.is_settled)
    (leader,) = replicas.leaders()

    def apply_changes():
        state_machine = ConfigurationStateMachine()
        for number in range(changes):
            state_machine.apply(build_change(f"c{number}", number, f"s{number % 500}"))
        return state_machine

    cpu_seconds, bytes_held = measure_cpu_and_memory(apply_changes)
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
        "apply_us": round(cpu_seconds / changes * 1e6, 1),
        "bytes_per_change_kept": round(bytes_held / changes, 1),
        "bytes_per_service_on_the_wire": (sizes[11] - sizes[1]) // 10,
        "heartbeat_messages_per_second": round(2 / 0.15, 1),
        "role": replica.role.value,
        "can_propose": consensus.can_propose(replica, replicas.now),
    }


def measure_ownership(nodes):
    """Measure the CPU time of computing shard ownership for a view, and its memory."""
    members = build_members(nodes, 1)
    Ownership.compute(members)

    def compute():
        compute_ownership.cache_clear()
        return Ownership.compute(members)

    cpu_seconds, bytes_held = measure_cpu_and_memory(compute)
    return {
        "bench": "control",
        "part": "ownership",
        "nodes": nodes,
        "cpu_ms_per_view": round(cpu_seconds * 1000, 2),
        "bytes_held": bytes_held,
    }


def measure_upstreams(count):
    """Measure the CPU time of an upstream's report, and the memory of an upstream."""
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
    cpu_seconds, _ = measure_cpu_and_memory(lambda: update(table, 2))
    _, bytes_held = measure_cpu_and_memory(lambda: update(Upstreams(), 1))
    codec = FrameCodec(b"k" * 16, "a1", 1)
    sizes = [len(codec.encode(messages.Registrations(registrations[:n]))) for n in (1, 21)]
    return {
        "bench": "control",
        "part": "upstreams",
        "upstreams": count,
        "update_us": round(cpu_seconds / count * 1e6, 2),
        "bytes_held_each": round(bytes_held / count, 1),
        "bytes_on_the_wire_each": round((sizes[1] - sizes[0]) / 20, 1),
    }


def measure_cpu_and_memory(function):
    """Call `function` twice; return (CPU seconds of the first, bytes held by the second)."""
    gc.collect()
    began = time.process_time()
    function()
    cpu_seconds = time.process_time() - began
    tracemalloc.start()
    result = function()
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return cpu_seconds, bytes_held


def fit_line(lines, part, x, y):
    """Fit a straight line through the figures of a part; return its JSON line."""
    points = [
        (line[x], line[y]) for line in lines if line["part"] == part and not line.get("loss")
    ]
    xs, ys = zip(*points)
    slope, base = numpy.polyfit(xs, ys, 1)
    expected = numpy.polyval((slope, base), xs)
    total = float(numpy.sum((numpy.array(ys) - numpy.mean(ys)) ** 2))
    residual = float(numpy.sum((numpy.array(ys) - expected) ** 2))
    return {
        "bench": "control",
        "part": "slope",
        "of": f"{part}.{y}",
        "by": x,
        "slope": float(f"{slope:.4g}"),
        "base": float(f"{base:.4g}"),
        "r2": round(1 - residual / total, 4) if total else 1.0,
    }


def control(largest=2000):
    """
    Measure all parts with up to LARGEST nodes.

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
