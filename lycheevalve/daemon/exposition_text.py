"""The text format of Prometheus, written by prometheus_client."""

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

CONTENT_TYPE = CONTENT_TYPE_LATEST
PREFIX = "lycheevalve"
FAMILIES = {
    "gauge": GaugeMetricFamily,
    "counter": CounterMetricFamily,
    "histogram": HistogramMetricFamily,
}


class Collector:
    """A prometheus_client collector of the given metrics."""

    def __init__(self, metrics):
        self.metrics = metrics

    def collect(self):
        """Return the metrics as metric families."""
        return [build_family(metric) for metric in self.metrics]


def build_family(metric):
    """Return the metric family of a metric."""
    name = f"{PREFIX}_{metric.name}"
    family = FAMILIES[metric.kind](name, metric.help_text, labels=metric.labels)
    for labels, value in metric.samples:
        if metric.kind == "histogram":
            buckets, total = value
            family.add_metric(labels, buckets, sum_value=total)
        else:
            family.add_metric(labels, value)
    return family


def build_text(metrics):
    """Return metrics in the text format, as bytes."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector(metrics))
    return generate_latest(registry)
