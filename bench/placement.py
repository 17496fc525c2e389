"""
Measures broken flows, imbalance and late requests for each policy and scenario.

Drives the instances' logic without sockets in simulated time; every policy gets the
same arrivals. Prints a JSON line for each site, scenario and policy.
"""

import json
import math
from multiprocessing import Pool

import attrs
import fire

from bench.policies import POLICIES
from bench.simulation import SITE_SIZES, Simulation

FILL_SECONDS = 4.0
RUN_SECONDS = 24.0
PACKET_INTERVAL_SECONDS = 2.0
MEAN_LIFETIME_SECONDS = 20.0
# The offered request rate, as a share of the capacity of all slots.
REQUEST_LOAD_SHARE = 0.6
SAMPLE_INTERVAL_STEPS = 25
# The score's cost per percentage point of broken flows, imbalance, late and refused requests.
SCORE_WEIGHTS = {
    "lagos": {"broken_flows": 10.0, "imbalance": 1.0, "late": 2.0, "refused": 1.0},
    "hvelfing": {"broken_flows": 4.0, "imbalance": 4.0, "late": 4.0, "refused": 1.0},
}


def at(second, action):
    """Return an event: an action and the second of the run at which it takes place."""
    return second, action


def get_upstream(simulation, number):
    """Return an upstream by number."""
    return list(simulation.upstreams.values())[number]


def set_fault(number, **values):
    """Return an action that sets attributes of an upstream."""

    def set_attributes(simulation):
        for name, value in values.items():
            setattr(get_upstream(simulation, number), name, value)

    return set_attributes


def delay_reports(simulation):
    """Make all upstreams report their load of five seconds ago."""
    for each in simulation.upstreams.values():
        each.report_delay_seconds = 5.0


def drain(number):
    """Return an action that drains one upstream and undrains all others."""
    return lambda simulation: simulation.commit_drains(
        [get_upstream(simulation, number).address]
    )


def partition_network(simulation):
    """Partition the network between two groups of instances."""
    simulation.network.cut(simulation.names[:4], simulation.names[4:])


def build_restart(name):
    """Return the actions of a graceful restart: stop, and start after the stop completes."""

    def start(simulation):
        if name in simulation.running:
            simulation.pending_starts.add(name)
        else:
            simulation.start(name)

    return lambda simulation: simulation.stop(name), start


def build_rolling_restart(names, every):
    """Return the events of graceful restarts, one every `every` seconds."""
    events = []
    for number, name in enumerate(names):
        stop, start = build_restart(name)
        events += [at(3 + number * every, stop), at(3 + number * every + every * 0.75, start)]
    return events


def add_upstream(simulation):
    """Add a cold upstream."""
    simulation.add_upstream(len(simulation.upstreams))


INSTANCES = [f"a{number}" for number in range(1, 9)]
KILL_EVENTS = [at(8, lambda simulation: simulation.kill("a3"))]
DRAIN_EVENTS = [at(3 + 5 * number, drain(number)) for number in range(4)]
SCENARIOS = {
    "steady": [],
    "heavy_tailed": [],
    "rolling_restart": build_rolling_restart(INSTANCES, 2.6),
    "drains": DRAIN_EVENTS,
    "cold_start": [at(6, add_upstream)],
    "slow": [at(6, set_fault(2, slowness=4.0))],
    "lying": [at(0, set_fault(2, reports_no_load=True))],
    "silent": [at(8, set_fault(2, unresponsive=True))],
    "shedding": [at(6, set_fault(2, sheds_all=True))],
    "stale_reports": [at(0, delay_reports)],
    "kill": KILL_EVENTS,
    "rack": [at(8, lambda s: s.kill("a3")), at(8, lambda s: s.kill("a4"))],
    "disagreement": [at(6, partition_network), at(16, lambda s: s.network.heal())],
    "burst": [],
    "kill_and_drain": [at(4, drain(1)), *KILL_EVENTS],
}


def draw_lifetime(simulation, scenario):
    """Return a random lifetime of a stream in seconds."""
    if scenario == "heavy_tailed":
        return simulation.traffic_random.paretovariate(1.5) * MEAN_LIFETIME_SECONDS / 3
    return simulation.traffic_random.expovariate(1 / MEAN_LIFETIME_SECONDS)


def draw_arrivals(simulation, per_second):
    """Return a random number of arrivals in one step of 10 ms."""
    expected = per_second * 0.01
    whole = math.floor(expected)
    return whole + (simulation.traffic_random.random() < expected - whole)


def run(job):
    """Run one site, scenario and policy; return the JSON line."""
    site, scenario, policy, seed, streams = job
    size = attrs.evolve(SITE_SIZES[site], streams=streams)
    simulation = Simulation(size, POLICIES[policy], seed)
    simulation.run_until_settled()
    target = size.streams * size.upstreams
    stream_rate = target / MEAN_LIFETIME_SECONDS
    request_rate = REQUEST_LOAD_SHARE * size.slots * size.upstreams / size.service_seconds
    events = sorted(SCENARIOS[scenario], key=lambda event: event[0])
    for _ in range(int(FILL_SECONDS * 100)):
        for _ in range(draw_arrivals(simulation, target / FILL_SECONDS)):
            simulation.open_flow(draw_lifetime(simulation, scenario))
        simulation.run_flows(PACKET_INTERVAL_SECONDS)
        simulation.step()
    established = len(simulation.flows)
    sent_before = sum(i.shard_manager.handover.bytes_sent for i in simulation.running.values())
    for step in range(int(RUN_SECONDS * 100)):
        while events and events[0][0] <= step / 100:
            events.pop(0)[1](simulation)
        factor = 5 if scenario == "burst" and 600 <= step < 900 else 1
        for _ in range(draw_arrivals(simulation, stream_rate * factor)):
            simulation.open_flow(draw_lifetime(simulation, scenario))
        for _ in range(draw_arrivals(simulation, request_rate * (2.5 if factor > 1 else 1))):
            simulation.send_request(simulation.traffic_random.random() < 0.5)
        simulation.run_flows(PACKET_INTERVAL_SECONDS)
        simulation.step()
        if step % SAMPLE_INTERVAL_STEPS == 0:
            simulation.sample_imbalance()
    sent = sum(i.shard_manager.handover.bytes_sent for i in simulation.running.values())
    control_rate = max(0, sent - sent_before) / RUN_SECONDS / size.instances
    return build_summary(simulation, site, scenario, policy, established, control_rate)


def build_summary(simulation, site, scenario, policy, established, control_rate):
    """Return the JSON line of a run; `control_rate` is in bytes per second and instance."""
    outcomes = simulation.outcomes
    asked = max(1, outcomes["asked"])
    samples = sorted(simulation.imbalance_samples)
    flows = len(simulation.flows)
    reached = sum(each.arrivals for each in simulation.upstreams.values())
    line = {
        "bench": "placement",
        "site": site,
        "scenario": scenario,
        "policy": policy,
        "streams": flows,
        "broken_flows": round(len(simulation.broken_flows()) / max(1, flows), 5),
        "imbalance": round(samples[int(len(samples) * 0.99)], 3),
        "late": round((outcomes["late"] + outcomes["unknown"]) / asked, 4),
        "refused": round(outcomes["refused"] / asked, 4),
        "extra_load": round(max(0.0, reached / asked - 1), 4),
        "control_bytes_per_second": round(control_rate, 1),
    }
    costs = {**line, "imbalance": line["imbalance"] - 1}
    weights = SCORE_WEIGHTS[site]
    line["score"] = round(
        sum(100 * costs[name] * weight for name, weight in weights.items()), 2
    )
    return line


def placement(seed=1, site="", scenario="", policy="", streams=250, workers=8):
    """
    Run all sites, scenarios and policies, or those that are named.

    STREAMS is the average number of streams per upstream; 2000 is the current number
    in production.

    Example: scripts/bench placement --seed 1 --scenario kill
    """
    jobs = [
        (one_site, one_scenario, one_policy, seed, streams)
        for one_site in SITE_SIZES
        for one_scenario in SCENARIOS
        for one_policy in POLICIES
        if site in ("", one_site)
        and scenario in ("", one_scenario)
        and policy in ("", one_policy)
    ]
    with Pool(workers) as pool:
        for line in pool.imap(run, jobs):
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    fire.Fire(placement, serialize=lambda _: None)
