"""
Computes the table of docs/CAPACITY.md from the JSON lines of the benches.

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
# The limits for the control work of one node.
CPU_SHARE_BUDGET = 0.013
MEMORY_BUDGET_BYTES = 256 * 2**20
TRAFFIC_BUDGET_BYTES_PER_SECOND = 26_000
# The interval at which each upstream announces itself at this site size.
ANNOUNCEMENT_INTERVAL_SECONDS = 20
# Bytes that the frame adds to a message.
FRAME_OVERHEAD_BYTES = 45
# The share of streams that are not on their rendezvous choice: the result of the
# placement bench at 2,000 streams per upstream.
DISPLACED_STREAM_SHARE = 0.095
BACKUP_BYTES = 73 + FRAME_OVERHEAD_BYTES
# Changes of a member's state, and so of the membership view, per restart and failure.
VIEWS_PER_RESTART = 4
VIEWS_PER_FAILURE = 2


def read_lines(path):
    """Return the parsed JSON lines of a file."""
    return [json.loads(line) for line in Path(path).read_text().splitlines() if line[:1] == "{"]


def find_line(lines, **wanted):
    """Return the last line that has all the values in `wanted`."""
    matches = [x for x in lines if all(x.get(key) == value for key, value in wanted.items())]
    return matches[-1]


def evaluate_slope(lines, of, size):
    """Return the value of the fitted line of `of` at a size."""
    line = find_line(lines, part="slope", of=of)
    return line["base"] + line["slope"] * size


def build_rows(control, forward):
    """Return (role, memory bytes, CPU share, bytes per second) for each role of a node."""
    nodes_per_data_centre = NODES / DATA_CENTRES
    upstreams_per_data_centre = UPSTREAMS / DATA_CENTRES
    flows_per_node = FLOWS / NODES
    views = RESTARTS_PER_DAY * VIEWS_PER_RESTART + FAILURES_PER_DAY * VIEWS_PER_FAILURE
    views_per_second = views / DATA_CENTRES / DAY_SECONDS
    replica = find_line(control, part="replica")
    registration = find_line(control, part="upstreams")
    summary = find_line(forward, name="summary")
    idle = find_line(forward, name="idle")
    announcements_per_second = upstreams_per_data_centre / ANNOUNCEMENT_INTERVAL_SECONDS
    announcement_bytes = (
        2
        * announcements_per_second
        * (registration["bytes_on_the_wire_each"] + FRAME_OVERHEAD_BYTES)
    )
    backups_per_second = NEW_FLOWS_PER_SECOND / NODES * DISPLACED_STREAM_SHARE
    changes_per_second = CHANGES_PER_DAY / DAY_SECONDS
    return [
        ("process, idle", idle["resident_bytes"], idle["cpu_share"], 0),
        (
            "membership",
            nodes_per_data_centre * 1000,
            evaluate_slope(control, "membership.cpu_share", nodes_per_data_centre),
            2 * evaluate_slope(control, "membership.bytes_per_second", nodes_per_data_centre),
        ),
        (
            "owner of shards: views",
            evaluate_slope(control, "ownership.bytes_held", nodes_per_data_centre),
            evaluate_slope(control, "ownership.cpu_ms_per_view", nodes_per_data_centre)
            / 1000
            * views_per_second,
            0,
        ),
        (
            "owner of flows: pins and copies",
            flows_per_node * summary["bytes_per_flow"],
            backups_per_second * 60e-6,
            2 * backups_per_second * BACKUP_BYTES,
        ),
        (
            "announcements and reports",
            upstreams_per_data_centre * registration["bytes_held_each"],
            2 * announcements_per_second * (25 + registration["update_us"]) * 1e-6,
            announcement_bytes,
        ),
        (
            "relay of settings",
            SERVICES * 1500,
            changes_per_second
            * evaluate_slope(control, "spreading.cpu_ms_per_change", NODES)
            / 1000,
            evaluate_slope(control, "spreading.bytes_per_change", NODES) * changes_per_second
            + 180,
        ),
        (
            "control replica (7 nodes)",
            SERVICES * 1500 + 10_000 * replica["bytes_per_change_kept"],
            changes_per_second * replica["apply_us"] * 1e-6 + 2 * 6 / 0.15 * 60e-6,
            6 / 0.15 * 2 * 100,
        ),
    ]


def capacity(control, forward):
    """
    Print the table for the site size of the constants above.

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
    """Return one row of the Markdown table."""
    return f"| {role} | {memory / 2**20:.2f} MB | {share:.3%} | {rate:,.0f} |"


if __name__ == "__main__":
    fire.Fire(capacity, serialize=lambda _: None)
