"""`lycheevalve report`: error-budget burn rates over several windows."""

from pathlib import Path

from lycheevalve.commands import output
from lycheevalve.commands.client import Client
from lycheevalve.reports.burn import BURN_RATE_THRESHOLDS, burn_rate, merge_windows
from lycheevalve.reports.page import build_page


def report(overlay, html="", json=False):
    """
    Show the error-budget burn rate of each service, by data centre.

    HTML is the path of a page with plots to write. A burn rate of 1 uses up the
    error budget exactly.

    Example: lycheevalve report examples/lagos.toml --html burn.html
    """
    return output.run_async(show_report, overlay, html, json)


async def show_report(overlay, html, as_json):
    """Sum the counts of all instances and print the burn rates."""
    status = await Client.from_overlay(overlay).status()
    rows = [describe_window(window) for window in merge_windows(status.burn)]
    text = [
        f"{row['service']} in {row['data_centre']}, {row['window_minutes']} min: "
        f"burn {row['burn_rate']:.2f}{' ALERT' if row['alert'] else ''} "
        f"({row['bad']} bad of {row['good'] + row['bad']})"
        for row in rows
    ]
    if html:
        Path(html).write_text(build_page(rows))
        text.append(f"page written to {html}")
    output.print_result(rows, text or ["no answers counted yet"], as_json)


def describe_window(window):
    """Return the report row of a BurnWindow."""
    rate = burn_rate(window)
    return {
        "service": window.service_name,
        "data_centre": window.data_centre,
        "window_minutes": window.window_ms // 60_000,
        "good": window.good,
        "bad": window.bad,
        "objective": window.target,
        "burn_rate": round(rate, 3),
        "alert": rate >= BURN_RATE_THRESHOLDS[window.window_ms],
    }
