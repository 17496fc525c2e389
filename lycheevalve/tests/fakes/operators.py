"""Calls of operators and targets, and a control process that records them."""

import json

import trio

from lycheevalve.coordination.configuration import Outcome
from lycheevalve.daemon.http import Request
from lycheevalve.exceptions import UnavailableError
from lycheevalve.platform import operators
from lycheevalve.platform.documents import read_document
from lycheevalve.schema.generated.messages import ChangeResult, Configuration


def build_value(version=7, **changes):
    """Return a valid configuration with changes to its only route."""
    route = {
        "name": "r-1",
        "host": "198.18.0.1",
        "pathPrefix": "/443/",
        "routeType": "safe",
        "timeoutMs": 1500,
        "service": "a",
    }
    route |= changes
    return {
        "version": version,
        "routes": [{k: v for k, v in route.items() if v is not None}],
        "services": [{"name": "a"}, {"name": "b"}],
        "limits": {"idleTimeoutMs": 15000},
    }


def encode(value):
    """Return a value as the JSON body of a request."""
    return json.dumps(value).encode()


def build_heartbeat(**changes):
    """Return a heartbeat's body."""
    value = {
        "service": "nightsync",
        "address": "10.128.0.9:8080",
        "zone": "ikeja-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
    } | changes
    return encode({k: v for k, v in value.items() if v is not None})


class FakeProcess:
    """A control process that records the calls made to it."""

    class Settings:
        """The settings that the calls read."""

        heartbeat_ms = 770
        data_centres = ("ikeja-a", "ikeja-b")

    def __init__(self, held=0, leaderless=False):
        self.settings = self.Settings()
        self.logic = self
        self.dissemination = self
        self.held = Configuration(held)
        self.leaderless = leaderless
        self.proposed = []
        self.announced = []
        self.deregistered = []
        self.counted = []
        self.outcome = Outcome.ACCEPTED

    async def propose(self, change):
        """Record a change and accept it."""
        self.require_leader()
        self.proposed.append(change)
        return ChangeResult(change.change_id, self.outcome, change.target_revision)

    async def read(self):
        """Return the newest configuration."""
        self.require_leader()
        return Configuration(7, document=read_document(encode(build_value())).text)

    async def announce(self, registration):
        """Record a registration."""
        self.announced.append(registration)

    async def deregister(self, name, incarnation):
        """Record a deregistration."""
        self.deregistered.append((name, incarnation))

    def count_call(self, name, status):
        """Record an answer."""
        self.counted.append((name, status))

    def require_leader(self):
        """Raise UnavailableError when the process has no leader."""
        if self.leaderless:
            raise UnavailableError("no leader", "ask leader", "r1")


def call(process, method, path, body=b""):
    """Return the Response to an API call."""
    return trio.run(operators.answer, process, Request(method, path, body, "peer"))
