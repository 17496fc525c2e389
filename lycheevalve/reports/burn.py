"""
Error-budget burn rates of services.

Answers are counted as good or bad in buckets of one minute. The burn rate of a
window is its share of bad answers divided by the share that the objective allows.
Windows and thresholds follow "The Site Reliability Workbook", chapter 5.
"""

import attrs

from lycheevalve.schema.generated.messages import BurnWindow

BUCKET_SECONDS = 60
WINDOWS_MS = (300_000, 3_600_000, 21_600_000, 259_200_000)
# Burn rate from which on a window raises an alert, by window in milliseconds.
BURN_RATE_THRESHOLDS = {300_000: 14.4, 3_600_000: 14.4, 21_600_000: 6.0, 259_200_000: 1.0}


@attrs.define
class BurnCounters:
    """Counts of good and bad answers of one instance, by service and minute."""

    buckets: dict[tuple[str, int], list[int]] = attrs.field(factory=dict)

    def count(self, service, is_good, now):
        """Count one answer."""
        bucket = self.buckets.setdefault((service, int(now // BUCKET_SECONDS)), [0, 0])
        bucket[0 if is_good else 1] += 1

    def prune(self, now):
        """Remove the buckets before the longest window."""
        first = (now - WINDOWS_MS[-1] / 1000) // BUCKET_SECONDS
        for key in [key for key in self.buckets if key[1] < first]:
            del self.buckets[key]

    def build_windows(self, services, data_centre, now):
        """Return a BurnWindow for each service and window."""
        result = []
        for service in services:
            for window_ms in WINDOWS_MS:
                first = (now - window_ms / 1000) // BUCKET_SECONDS
                counts = [
                    count
                    for (name, minute), count in self.buckets.items()
                    if name == service.name and minute >= first
                ]
                good = sum(count[0] for count in counts)
                bad = sum(count[1] for count in counts)
                result.append(
                    BurnWindow(
                        service.name, data_centre, window_ms, good, bad, service.objective
                    )
                )
        return result


def burn_rate(window):
    """Return the burn rate of a BurnWindow; 1 uses up the error budget exactly."""
    total = window.good + window.bad
    if not total:
        return 0.0
    allowed_share = max(1e-9, 1 - window.target)
    return window.bad / total / allowed_share


def merge_windows(windows):
    """Return BurnWindows, with the counts summed by service, data centre and length."""
    merged = {}
    for window in windows:
        key = window.service_name, window.data_centre, window.window_ms
        existing = merged.get(key)
        if existing is None:
            merged[key] = attrs.evolve(window)
        else:
            existing.good += window.good
            existing.bad += window.bad
    return [merged[key] for key in sorted(merged)]
