"""Polling connections: how soon a control replica that is up again is reconnected."""

import pytest
import trio
import trio.testing

from lycheevalve.daemon import control, polling
from lycheevalve.exceptions import FrameError, UnavailableError
from lycheevalve.schema.generated.messages import (
    Failure,
    News,
    Poll,
    ReadRequest,
    ReadResult,
)

ADDRESS = "10.0.0.1:7000"
# A replica imports its modules, starts and elects a leader in less time than this, so a
# later reconnection would add to the time that callers wait.
MAX_RECONNECT_SECONDS = 0.5


class UnreachableMachine:
    """A machine without power: connections to it hang until `reachable_at`."""

    def __init__(self, reachable_at):
        self.reachable_at = reachable_at
        self.attempts = []

    async def open_connection(self, address, codec, seconds):
        """Hang until the timeout while the machine is off; refuse the connection."""
        self.attempts.append(trio.current_time())
        if trio.current_time() < self.reachable_at:
            await trio.sleep(seconds)
        raise UnavailableError("refused", "connect", address)


def run(machine, seconds):
    """Poll for some time; return the times of the connection attempts."""

    async def main():
        owner_inbox, owner_events = trio.open_memory_channel(1000)
        async with trio.open_nursery() as nursery:
            connections = polling.PollingConnections(lambda: None, owner_inbox, nursery)
            connections.set_addresses([ADDRESS])
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
    return machine.attempts


class TestReconnection:
    """Connection attempts to a replica that does not answer."""

    def test_reconnects_soon_after_power_returns(self, monkeypatch):
        machine = UnreachableMachine(reachable_at=0.7)
        monkeypatch.setattr(polling, "open_connection", machine.open_connection)
        attempts = run(machine, 3.0)
        assert (
            min(at for at in attempts if at >= machine.reachable_at) - machine.reachable_at
            < MAX_RECONNECT_SECONDS
        )

    def test_attempts_back_off(self, monkeypatch):
        machine = UnreachableMachine(reachable_at=0.0)
        monkeypatch.setattr(polling, "open_connection", machine.open_connection)
        early = len(run(machine, 0.5))
        machine.attempts.clear()
        late = [at for at in run(machine, 20.0) if at >= 10.0]
        assert early >= 3
        assert len(late) <= 10.0 / (polling.MAX_BACKOFF_SECONDS / 2)


class AnsweringConnection:
    """A connection on which each message gets the same answer."""

    def __init__(self, answer):
        self.answer = answer

    async def send(self, message):
        """Accept a message."""

    async def receive(self):
        """Return the header, which is not used, and the answer."""
        return None, self.answer


class TestAnswers:
    """Answers of a control replica."""

    # The instance took the failure for the answer to its poll, and sent no other: it got no
    # configuration any more while the connection lasted.
    def test_failure_to_handle_a_poll_fails_its_connection(self):
        failure = AnsweringConnection(Failure("ask", "", "did not answer in time"))
        with pytest.raises(UnavailableError, match="did not answer in time"):
            trio.run(polling.exchange, failure, Poll(), ADDRESS)

    def test_answer_is_returned(self):
        answered = AnsweringConnection(News())
        assert trio.run(polling.exchange, answered, Poll(), ADDRESS) == News()


class ResetConnection:
    """A connection that its peer resets while it waits for an answer."""

    def __init__(self):
        self.stream, _ = trio.testing.memory_stream_pair()

    async def send(self, message):
        """Send nothing."""

    async def receive(self):
        """Raise the error of a stream that was reset."""
        await self.fail()

    async def fail(self, *_):
        """Raise the error of a stream that was reset."""
        raise trio.BrokenResourceError("socket connection broken: connection reset by peer")


class TestAskOnce:
    """A question to the leader of the log."""

    # The error of the connection ended the operator's call without an answer; soak, seed 226.
    def test_leader_that_ends_before_it_answers_is_unavailable(self, monkeypatch):
        async def open_connection(address, codec):
            return ResetConnection()

        monkeypatch.setattr(polling, "open_connection", open_connection)
        with pytest.raises(UnavailableError):
            trio.run(polling.ask_once, ADDRESS, None, Poll(), 1.0)

    # A link that was open when the leader ended fails with the first message.
    def test_connection_that_breaks_while_a_message_is_sent(self):
        connection = ResetConnection()
        connection.send = connection.fail
        with pytest.raises(UnavailableError, match="the connection broke"):
            trio.run(polling.exchange, connection, Poll(), ADDRESS)


class FollowingReplica:
    """A control replica that refers to a leader at ADDRESS."""

    address = "10.0.0.2:7000"
    replica_inbox = None

    async def ask(self, inbox, event, message):
        """Return the answer of this replica's log."""
        return ReadResult(current=False, leader=ADDRESS)

    def make_codec(self):
        """Return no codec, as nothing is sent."""


class TestLeader:
    """A replica that passes an operator's call on to the leader."""

    # Any other error ended the operator's call without an answer, where another try follows.
    @pytest.mark.parametrize(
        "error",
        [
            UnavailableError("the connection broke", "exchange", ADDRESS),
            FrameError("the signature does not match", "decode"),
        ],
    )
    def test_answer_that_does_not_arrive_is_none(self, monkeypatch, error):
        async def ask_once(*_):
            raise error

        monkeypatch.setattr(control, "ask_once", ask_once)
        ask = control.ControlProcess.ask_leader_once
        assert trio.run(ask, FollowingReplica(), ReadRequest()) is None
