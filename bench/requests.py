"""
Measures goodput and late answers by offered load, with mechanisms disabled in turn.

Runs in simulated time; the offered load goes from 0.5 to 3 times the capacity of all
slots. Prints JSON lines.
"""

import json
from multiprocessing import Pool

import attrs
import fire
from aiocoap.numbers import types

from bench.placement import draw_arrivals
from bench.policies import POLICIES, Policy, replace_methods
from bench.simulation import SITE_SIZES, Simulation
from lycheevalve.flows import coap

RUN_SECONDS = 20.0
WARM_UP_SECONDS = 4.0
OFFERED_LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)


def disable_admission(instance):
    """Disable admission control: queue each request until its deadline."""

    def can_meet_deadline(self, exchange, candidates, ahead, now):
        return bool(candidates) and now < exchange.deadline

    replace_methods(instance.requests.admission, can_meet_deadline=can_meet_deadline)


def disable_retry_budget(instance):
    """Allow a retry at another upstream for every failed request."""
    instance.requests.admission.budgets["bench"] = UnlimitedRetryBudget()


class UnlimitedRetryBudget:
    """A retry budget without a limit."""

    def add_credit(self):
        """Do nothing; the budget is unlimited."""

    def spend(self):
        """Allow every retry."""
        return True


def disable_deadlines(instance):
    """
    Drop cancellations, so that upstreams run requests past their deadline as well.

    The simulated upstreams ignore the deadline option.
    """

    def send_to_upstream(upstream, datagram):
        message = coap.decode_message(datagram[28:])
        if message.mtype is types.RST:
            return
        instance.send_to_upstream(upstream, datagram)

    instance.requests.send_to_upstream = send_to_upstream


VARIANTS = {
    "all": POLICIES["chosen"],
    "no_admission": Policy("no_admission", disable_admission),
    "no_retry_budget": Policy("no_retry_budget", disable_retry_budget),
    "no_deadlines": Policy("no_deadlines", disable_deadlines),
}


def run(job):
    """Run one site, variant and load; return the JSON line."""
    site, variant, load, seed = job
    size = attrs.evolve(SITE_SIZES[site], streams=0)
    simulation = Simulation(size, VARIANTS[variant], seed)
    simulation.run_until_settled()
    capacity = size.slots * size.upstreams / size.service_seconds
    for step in range(int(RUN_SECONDS * 100)):
        if step == int(WARM_UP_SECONDS * 100):
            simulation.outcomes.clear()
        for _ in range(draw_arrivals(simulation, capacity * load)):
            simulation.send_request(simulation.traffic_random.random() < 0.5)
        simulation.step()
    outcomes = simulation.outcomes
    measured = RUN_SECONDS - WARM_UP_SECONDS
    asked = max(1, outcomes["asked"])
    return {
        "bench": "requests",
        "site": site,
        "variant": variant,
        "load": load,
        "goodput": round(outcomes["good"] / measured / capacity, 3),
        "late": round(outcomes["late"] / asked, 4),
        "unknown": round(outcomes["unknown"] / asked, 4),
        "refused": round(outcomes["refused"] / asked, 4),
        "refused_within_100ms": round(
            outcomes["refused_within_100ms"] / max(1, outcomes["refused"]), 3
        ),
    }


def requests(seed=1, site="", workers=8):
    """
    Run all loads and variants for both sites.

    Example: scripts/bench requests --site lagos
    """
    jobs = [
        (one_site, variant, load, seed)
        for one_site in SITE_SIZES
        for variant in VARIANTS
        for load in OFFERED_LOADS
        if site in ("", one_site)
    ]
    with Pool(workers) as pool:
        lines = list(pool.imap(run, jobs))
    for line in lines:
        print(json.dumps(line))
    for one_site in sorted({line["site"] for line in lines}):
        for variant in VARIANTS:
            results = [x for x in lines if x["site"] == one_site and x["variant"] == variant]
            best = max(line["goodput"] for line in results)
            last = results[-1]
            summary = {
                "bench": "requests",
                "part": "summary",
                "site": one_site,
                "variant": variant,
                "goodput_at_3_over_peak": round(last["goodput"] / best, 3),
                "late_at_3": last["late"],
                "wanted_over_peak": 0.9,
            }
            print(json.dumps(summary))


if __name__ == "__main__":
    fire.Fire(requests, serialize=lambda _: None)
