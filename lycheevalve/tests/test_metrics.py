"""Metrics in the text format of Prometheus: names, units, labels, histograms."""

import pytest
import trio
from prometheus_client.parser import text_string_to_metric_families

from lycheevalve.daemon import exposition
from lycheevalve.daemon.exposition import Metric, counter, gauge
from lycheevalve.daemon.exposition_text import build_text
from lycheevalve.daemon.http import Request
from lycheevalve.reports.latencies import BUCKET_BOUNDS_SECONDS, Latencies


def parse(metrics):
    """Return the samples of metrics, parsed from their text."""
    text = build_text(metrics).decode()
    return {
        (sample.name, *sorted(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class TestText:
    """The response to a scrape."""

    def test_counters_and_gauges(self):
        samples = parse(
            [
                gauge("ready", "Ready.", 1),
                counter("events", "Events.", ("event", "reason"), {("reset", "x"): 3}),
            ]
        )
        assert samples["lycheevalve_ready",] == 1
        assert samples["lycheevalve_events_total", ("event", "reset"), ("reason", "x")] == 3

    def test_histogram_buckets_are_cumulative(self):
        latencies = Latencies()
        for seconds in (0.02, 0.02, 0.3, 99.0):
            latencies.observe("nightsync", seconds)
        samples = parse(
            [Metric("histogram", "answer_seconds", "T.", ("service",), latencies.samples())]
        )
        service = ("service", "nightsync")
        name = "lycheevalve_answer_seconds"
        assert samples[f"{name}_bucket", ("le", "0.025"), service] == 2
        assert samples[f"{name}_bucket", ("le", "0.5"), service] == 3
        assert samples[f"{name}_bucket", ("le", "+Inf"), service] == 4
        assert samples[f"{name}_sum", service] == pytest.approx(99.34)

    def test_bounds_increase(self):
        assert list(BUCKET_BOUNDS_SECONDS) == sorted(set(BUCKET_BOUNDS_SECONDS))

    def test_server_answers_only_its_path(self):
        server = exposition.make_server("127.0.0.1:1", lambda: [gauge("ready", "Ready.", 0)])
        response = trio.run(server.handle, Request("GET", exposition.METRICS_PATH, b"", "peer"))
        assert response.status == 200
        assert b"lycheevalve_ready 0.0" in response.body
        assert b"lycheevalve_build_info" in response.body
        other = trio.run(server.handle, Request("GET", "/", b"", "peer"))
        assert other.status == 404
