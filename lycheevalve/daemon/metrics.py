"""Counters and gauges of an instance, sent to statsd once a second."""

import statsd

from lycheevalve.utils.addresses import parse_address


class StatsdMetrics:
    """The statsd client of one process; sends nothing without an address."""

    def __init__(self, address, name):
        self.name = name
        self.sent = {}
        self.client = None
        self.connect(address)

    def connect(self, address):
        """Use another statsd address; an empty one stops sending."""
        if address:
            host, port = parse_address(address)
            self.client = statsd.StatsClient(host, port, prefix=f"lycheevalve.{self.name}")
        else:
            self.client = None

    def flush(self, counters, gauges):
        """Send the counters' increments since the last call, and the gauges."""
        if self.client is None:
            return
        with self.client.pipeline() as pipe:
            for key, value in counters.items():
                increment = value - self.sent.get(key, 0)
                if increment:
                    pipe.incr(key, increment)
            for key, value in gauges.items():
                pipe.gauge(key, value)
        self.sent = dict(counters)
