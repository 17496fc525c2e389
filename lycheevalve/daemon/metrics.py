"""Metrics to statsd: counters once a second, answer times as they come."""

import statsd

from lycheevalve.utils.addresses import parse_address


class Metrics:
    """The statsd client of one process; without an address nothing is sent."""

    def __init__(self, address, name):
        self.name = name
        self.sent = {}
        self.client = None
        self.connect(address)

    def connect(self, address):
        """Send to another address from now on."""
        if address:
            host, port = parse_address(address)
            self.client = statsd.StatsClient(host, port, prefix=f"lycheevalve.{self.name}")
        else:
            self.client = None

    def flush(self, counters, gauges):
        """Send what the counters grew by, and the gauges."""
        if self.client is None:
            return
        with self.client.pipeline() as pipe:
            for key, value in counters.items():
                grown = value - self.sent.get(key, 0)
                if grown:
                    pipe.incr(key, grown)
            for key, value in gauges.items():
                pipe.gauge(key, value)
        self.sent = dict(counters)
