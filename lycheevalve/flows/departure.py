"""
The graceful stop of an entry instance: when its process may exit.

Load: instances of a data centre restart in turn, faster than each of them returns. The
fabric takes an instance out of its rotation after two failed readiness probes. While too
few instances of a data centre are ready, it sends packets to all of them, also to those that
are leaving or gone. So an instance exits as soon as its packets have ceased, to return
sooner, and stays while they go on.
"""

import attrs

# The fabric ignores an instance after this many failed probes.
FAILED_PROBES = 2
# Packets in flight when the fabric stopped to send arrive within this time, and so does the
# next packet of a busy data centre.
QUIET_SECONDS = 0.4
# Without probes the fabric is assumed to have noticed after this time.
UNPROBED_SECONDS = 2.5
# An instance must exit this long before the platform kills it, at most this part of its time.
EXIT_MARGIN_SECONDS = 1.0
MAX_EXIT_MARGIN_SHARE = 0.25


@attrs.define
class Departure:
    """One graceful stop, which began at `since` and may take `stop_seconds`."""

    since: float
    stop_seconds: float
    failed_probes: int = 0
    # When the fabric had its last failed probe that counts.
    ignored_since: float = float("inf")

    def record_probe(self, now):
        """Record that a readiness probe of the fabric has failed."""
        self.failed_probes += 1
        if self.failed_probes == FAILED_PROBES:
            self.ignored_since = now

    def is_complete(self, last_packet_at, now):
        """Return whether the process may exit; `last_packet_at` is that of the last packet."""
        margin = min(EXIT_MARGIN_SECONDS, MAX_EXIT_MARGIN_SHARE * self.stop_seconds)
        if now - self.since >= self.stop_seconds - margin:
            return True
        ignored_since = min(self.ignored_since, self.since + UNPROBED_SECONDS)
        return now - max(ignored_since, last_packet_at) >= QUIET_SECONDS
