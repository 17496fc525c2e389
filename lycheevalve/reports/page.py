"""HTML page of the burn-rate report, with plots."""

import html

# Sizes in pixels.
BAR_WIDTH = 300
ROW_HEIGHT = 26
# Bars of higher burn rates are cut off here.
MAX_PLOTTED_BURN_RATE = 15.0
COLOURS = {True: "#b3261e", False: "#386a20"}
HEAD = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Error-budget burn rates</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:left}</style>
</head><body><h1>Error-budget burn rates</h1>
<p>A burn rate of 1 (the marked line) uses up the error budget exactly.</p>
"""


def build_bar(row):
    """Return the bar of one burn rate as SVG."""
    width = min(row["burn_rate"], MAX_PLOTTED_BURN_RATE) / MAX_PLOTTED_BURN_RATE * BAR_WIDTH
    mark = BAR_WIDTH / MAX_PLOTTED_BURN_RATE
    return (
        f'<svg width="{BAR_WIDTH}" height="{ROW_HEIGHT}" role="img">'
        f'<rect y="5" height="16" width="{width:.1f}" fill="{COLOURS[row["alert"]]}"/>'
        f'<line x1="{mark:.1f}" x2="{mark:.1f}" y1="0" y2="{ROW_HEIGHT}" stroke="#444"/></svg>'
    )


def build_row(row):
    """Return the table row of one window as HTML."""
    cells = [
        html.escape(row["service"]),
        html.escape(row["data_centre"]),
        f"{row['window_minutes']} min",
        str(row["good"]),
        str(row["bad"]),
        f"{row['burn_rate']:.2f}",
        build_bar(row),
    ]
    return "<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>"


def build_page(rows):
    """Return the page with the rows of `lycheevalve report`."""
    names = ("service", "data centre", "window", "good", "bad", "burn rate", "")
    header = "".join(f"<th>{name}</th>" for name in names)
    body = "\n".join(build_row(row) for row in rows)
    return f"{HEAD}<table><tr>{header}</tr>\n{body}</table></body></html>\n"
