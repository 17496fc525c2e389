"""
Metrics of one process for Prometheus.

The text format (exposition_text.py) is imported at the first scrape. Names and
units follow the conventions of Prometheus; every label has a bounded set of values.
"""

import attrs

from lycheevalve import __version__
from lycheevalve.coordination.run_record import REASONS
from lycheevalve.daemon.accepted import closed
from lycheevalve.daemon.boundaries import failures
from lycheevalve.daemon.ends import current_run
from lycheevalve.daemon.http import Response, Server
from lycheevalve.logs.queue import queue
from lycheevalve.utils.imports import load_module

METRICS_PATH = "/metrics"


@attrs.frozen
class Metric:
    """
    One metric; `samples` are (label values, value).

    The value of a histogram is (counts by upper bound in seconds, sum).
    """

    kind: str
    name: str
    help_text: str
    labels: tuple = ()
    samples: list = attrs.field(factory=list)


def gauge(name, help_text, value):
    """Return a gauge without labels."""
    return Metric("gauge", name, help_text, (), [((), value)])


def counter(name, help_text, labels, counts):
    """Return a counter with labels from {label values: count}."""
    return Metric("counter", name, help_text, labels, list(counts.items()))


def list_process_metrics():
    """Return the metrics that every process has."""
    left_out = {(name,): count for name, count in queue.left_out_total.items()}
    build = Metric("gauge", "build_info", "1, labelled with the version.", ("version",))
    build.samples.append(((__version__,), 1))
    # All reasons, since an increase from no sample is not visible to Prometheus.
    ends = {(reason,): current_run.previous_ends.get(reason, 0) for reason in REASONS}
    return [
        build,
        gauge(
            "start_time_seconds", "Unix time of the process's start.", current_run.started_at
        ),
        counter(
            "previous_ends",
            "Ends of earlier processes that used this data folder.",
            ("reason",),
            ends if current_run.folder is not None else {},
        ),
        counter(
            "log_lines_left_out",
            "Events left out of the log by the rate limit or a full queue.",
            ("event",),
            left_out,
        ),
        counter(
            "task_failures",
            "Connections, messages, timers and tasks that failed unexpectedly.",
            ("task", "error"),
            failures,
        ),
        counter(
            "connections_closed",
            "Connections closed because a listener had as many as it may keep open.",
            ("listener", "closed"),
            closed,
        ),
    ]


def count_upstreams(upstreams, now):
    """Return the Metric of upstreams by service and state."""
    metric = Metric("gauge", "upstreams", "Registered upstreams.", ("service", "state"))
    counts = {}
    for upstream in upstreams.by_address.values():
        key = (upstream.service, upstream.state(now).value)
        counts[key] = counts.get(key, 0) + 1
    metric.samples.extend(counts.items())
    return metric


def make_server(address, list_metrics):
    """Return the Server of a process's metrics; `list_metrics()` returns its Metrics."""

    async def handle(request):
        if request.path.partition("?")[0] != METRICS_PATH:
            return Response(404)
        text = await load_module("lycheevalve.daemon.exposition_text")
        metrics = [*list_process_metrics(), *list_metrics()]
        return Response(200, text.build_text(metrics), text.CONTENT_TYPE)

    return Server(address, handle, "listen for scrapes of metrics", "metrics")
