"""Latency histograms of answers, one for each service."""

import bisect
import itertools
import math

import attrs

# Upper bounds of the buckets; latency objectives of services lie between 0.1 and 5 s.
BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, math.inf)


@attrs.define
class Latencies:
    """Answer times by service: counts by bucket, and sums in seconds."""

    counts: dict = attrs.field(factory=dict)
    sums: dict = attrs.field(factory=dict)

    def observe(self, service, seconds):
        """Count one answer."""
        counts = self.counts.setdefault(service, [0] * len(BUCKET_BOUNDS_SECONDS))
        counts[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sums[service] = self.sums.get(service, 0.0) + seconds

    def samples(self):
        """Return ((service,), ([(bound, cumulative count)], sum)) of each service."""
        return [
            (
                (service,),
                (list(zip(BUCKET_LABELS, itertools.accumulate(counts))), self.sums[service]),
            )
            for service, counts in self.counts.items()
        ]


# Bounds as the Prometheus text format writes them.
BUCKET_LABELS = tuple(
    "+Inf" if math.isinf(bound) else str(bound) for bound in BUCKET_BOUNDS_SECONDS
)
