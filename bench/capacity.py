"""
The table of docs/CAPACITY.md, from the JSON lines of the benches.

Run: scripts/bench capacity control.jsonl forward.jsonl
"""

import json
from pathlib import Path

import fire

NODES = 4200
DATA_CENTRES = 17
UPSTREAMS = 32_000
SERVICES = 3500
FLOWS = 61_000_000
NEW_FLOWS_PER_SECOND = 460_000
CHANGES_PER_DAY = 2700
RESTARTS_PER_DAY = 3300
FAILURES_PER_DAY = 64
DAY_SECONDS = 86_400
# What a node may spend on control.
CPU_SHARE_BUDGET = 0.013
MEMORY_BUDGET_BYTES = 256 * 2**20
TRAFFIC_BUDGET_BYTES_PER_SECOND = 26_000
# Announcements of each upstream at this size, and bytes around one datagram.
ANNOUNCEMENT_INTERVAL_SECONDS = 20
FRAME_BYTES = 45
# Streams that leave the rule, measured by the placement bench at 2,000 an upstream.
DISPLACED_STREAM_SHARE = 0.095
BACKUP_BYTES = 73 + FRAME_BYTES
# Changes of state that a restart and a failure bring to the members' view.
VIEWS_PER_RESTART = 4
VIEWS_PER_FAILURE = 2


def read_lines(path):
    """Return the JSON lines of a file."""
    return [json.loads(line) for line in Path(path).read_text().splitlines() if line[:1] == "{"]


def find_line(lines, **wanted):
    """Return the last line that has the wanted values."""
    found = [x for x in lines if all(x.get(key) == value for key, value in wanted.items())]
    return found[-1]


def evaluate_slope(lines, of, size):
    """Return a slope's value at a size."""
    line = find_line(lines, part="slope", of=of)
    return line["base"] + line["slope"] * size


def build_rows(control, forward):
    """Return (role, memory bytes, CPU share, bytes a second) for each role of a node."""
    group = NODES / DATA_CENTRES
    upstreams = UPSTREAMS / DATA_CENTRES
    flows = FLOWS / NODES
    views = RESTARTS_PER_DAY * VIEWS_PER_RESTART + FAILURES_PER_DAY * VIEWS_PER_FAILURE
    views_per_second = views / DATA_CENTRES / DAY_SECONDS
    replica = find_line(control, part="replica")
    registration = find_line(control, part="upstreams")
    summary = find_line(forward, name="summary")
    idle = find_line(forward, name="idle")
    news = upstreams / ANNOUNCEMENT_INTERVAL_SECONDS
    news_bytes = 2 * news * (registration["bytes_on_the_wire_each"] + FRAME_BYTES)
    copies = NEW_FLOWS_PER_SECOND / NODES * DISPLACED_STREAM_SHARE
    changes = CHANGES_PER_DAY / DAY_SECONDS
    return [
        ("process, idle", idle["resident_bytes"], idle["cpu_share"], 0),
        (
            "membership",
            group * 1000,
            evaluate_slope(control, "membership.cpu_share", group),
            2 * evaluate_slope(control, "membership.bytes_per_second", group),
        ),
        (
            "owner of shards: views",
            evaluate_slope(control, "ownership.bytes_held", group),
            evaluate_slope(control, "ownership.cpu_ms_per_view", group)
            / 1000
            * views_per_second,
            0,
        ),
        (
            "owner of flows: pins and copies",
            flows * summary["bytes_per_flow"],
            copies * 60e-6,
            2 * copies * BACKUP_BYTES,
        ),
        (
            "announcements and reports",
            upstreams * registration["bytes_held_each"],
            2 * news * (25 + registration["update_us"]) * 1e-6,
            news_bytes,
        ),
        (
            "relay of settings",
            SERVICES * 1500,
            changes * evaluate_slope(control, "spreading.cpu_ms_per_change", NODES) / 1000,
            evaluate_slope(control, "spreading.bytes_per_change", NODES) * changes + 180,
        ),
        (
            "control replica (7 nodes)",
            SERVICES * 1500 + 10_000 * replica["bytes_per_change_kept"],
            changes * replica["apply_us"] * 1e-6 + 2 * 6 / 0.15 * 60e-6,
            6 / 0.15 * 2 * 100,
        ),
    ]


def capacity(control, forward):
    """
    Print the table at the size to design for.

    Example: scripts/bench capacity control.jsonl forward.jsonl
    """
    rows = build_rows(read_lines(control), read_lines(forward))
    print("| role | memory | share of a core | bytes a second |")
    print("|---|---|---|---|")
    totals = [0.0, 0.0, 0.0]
    for role, *values in rows:
        totals = [total + value for total, value in zip(totals, values)]
        print(format_row(role, *values))
    print(format_row("**all of them on one node**", *totals))
    print(
        format_row(
            "budget", MEMORY_BUDGET_BYTES, CPU_SHARE_BUDGET, TRAFFIC_BUDGET_BYTES_PER_SECOND
        )
    )


def format_row(role, memory, share, rate):
    """Return one row of the table."""
    return f"| {role} | {memory / 2**20:.2f} MB | {share:.3%} | {rate:,.0f} |"


if __name__ == "__main__":
    fire.Fire(capacity, serialize=lambda _: None)
