"""Source edits that switch one decision under load off, for bench.ablate."""

import attrs


@attrs.frozen
class Ablation:
    """A decision that is switched off by one source edit; `old` occurs once in `file`."""

    name: str
    file: str
    old: str
    new: str


ABLATIONS = (
    Ablation("early-thread", "platform/__main__.py", "    if not words:", "    if True:"),
    Ablation(
        "early-lookups-from-disk",
        "platform/early.py",
        "    build = build_responder if is_control else build_forwarder\n",
        '    if is_control:\n        raise ValueError("off")\n    build = build_forwarder\n',
    ),
    Ablation("early-new-flows", "flows/lookups.py", "if not is_informed:", "if True:"),
    Ablation(
        "import-delay",
        "flows/early_routing.py",
        "is_spent = self.waited + QUIET_SECONDS > MAX_IMPORT_DELAY_SECONDS",
        "is_spent = True",
    ),
    Ablation(
        "departure-by-packets",
        "flows/departure.py",
        "        if now - self.since >= self.stop_seconds - margin:\n",
        "        return now - self.since >= UNPROBED_SECONDS\n        if True:\n",
    ),
    Ablation(
        "slow-start", "flows/upstreams.py", "        if now >= ends_at:", "        if True:"
    ),
    Ablation(
        "near-upstreams-first",
        "flows/costs.py",
        "REMOTE_PENALTY_FLOWS_PER_SLOT = 1.0",
        "REMOTE_PENALTY_FLOWS_PER_SLOT = 0.0",
    ),
    Ablation(
        "memory-of-failed-upstreams",
        "flows/failure_evidence.py",
        "if not failed and is_remembered(",
        "if False and is_remembered(",
    ),
    Ablation(
        "silent-data-centres",
        "flows/cookie_routing.py",
        "        if now - self.retransmitted_at > MAX_RETRANSMIT_INTERVAL_SECONDS:\n",
        "        if True:\n",
    ),
    Ablation(
        "leaving-the-rotation-when-cut-off",
        "entry.py",
        '"cut off with too few upstreams" if self.lacks_capacity_when_isolated(now) else ""',
        '""',
    ),
    Ablation(
        "held-opening-packets",
        "flows/held_packets.py",
        "MAX_OPENING_HOLD_SECONDS = 1.2",
        "MAX_OPENING_HOLD_SECONDS = 0.0",
    ),
    Ablation(
        "cache-of-upstreams",
        "daemon/upstream_store.py",
        "for registration in registrations:",
        "for registration in ():",
    ),
    Ablation(
        "resets-on-failed-upstreams",
        "flows/flow_resets.py",
        "if is_failed(router, u, now)]",
        "if False]",
    ),
    Ablation(
        "failures-in-the-choice",
        "flows/upstream_choice.py",
        "failure_factor = 2.0 ** decayed_failure_count(upstream, now)",
        "failure_factor = 1.0",
    ),
    Ablation(
        "probes-of-data-centres",
        "flows/lost_upstreams.py",
        "        self.reachability.handle_silence(upstream, now)\n",
        "",
    ),
    Ablation(
        "checks-of-upstreams",
        "entry.py",
        "            self.request_check(address, upstream.cookie)",
        "            pass",
    ),
    Ablation(
        "near-while-there-is-room",
        "flows/locality.py",
        "return near if self.has_room(near[0].service, slots, instances, now) else upstreams",
        "return upstreams",
    ),
)
