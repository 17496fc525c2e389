"""Polling connections: how soon a control replica that is up again is reconnected."""

import trio
import trio.testing

from lycheevalve.daemon import polling
from lycheevalve.exceptions import UnavailableError

ADDRESS = "10.0.0.1:7000"
# A start with its imports and an election takes less; callers wait for any delay beyond.
BACK_SECONDS = 0.5


class Dark:
    """A machine without power until a given time: connections to it hang until then."""

    def __init__(self, until):
        self.until = until
        self.attempts = []

    async def open_connection(self, address, codec, seconds):
        """Hang until the timeout while the machine is off; refuse the connection."""
        self.attempts.append(trio.current_time())
        if trio.current_time() < self.until:
            await trio.sleep(seconds)
        raise UnavailableError("refused", "connect", address)


def run(dark, seconds):
    """Poll for some time; return the times of the connection attempts."""

    async def main():
        owner_inbox, owner_events = trio.open_memory_channel(1000)
        async with trio.open_nursery() as nursery:
            connections = polling.PollingConnections(lambda: None, owner_inbox, nursery)
            connections.set_addresses([ADDRESS])
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return dark.attempts


class TestReconnection:
    """Connection attempts to a replica that does not answer."""

    def test_machine_that_gets_power_back_is_found_soon(self, monkeypatch):
        dark = Dark(until=0.7)
        monkeypatch.setattr(polling, "open_connection", dark.open_connection)
        attempts = run(dark, 3.0)
        assert min(at for at in attempts if at >= dark.until) - dark.until < BACK_SECONDS

    def test_attempts_become_rare(self, monkeypatch):
        dark = Dark(until=0.0)
        monkeypatch.setattr(polling, "open_connection", dark.open_connection)
        early = len(run(dark, 0.5))
        dark.attempts.clear()
        late = [at for at in run(dark, 20.0) if at >= 10.0]
        assert early >= 3
        assert len(late) <= 10.0 / (polling.MAX_BACKOFF_SECONDS / 2)
