"""Exchanges: one request of a caller each, their states and events."""

import enum

import attrs

from lycheevalve.flows import coap


class State(enum.Enum):
    """The state of an exchange."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    # Another instance holds the claim and answers.
    ELSEWHERE = "elsewhere"


class Event(enum.Enum):
    """What can happen to an exchange."""

    ARRIVED = "arrived"
    ORPHANED = "orphaned"
    CLAIMED = "claimed"
    TAKEN = "taken"
    UNCLAIMED = "unclaimed"
    ROOM = "room"
    HOPELESS = "hopeless"
    ANSWER = "answer"
    SHED = "shed"
    SILENCE = "silence"
    GONE = "gone"


def identify(endpoints, request):
    """Return what duplicates of a request share."""
    return endpoints, request.message_id, request.token


@attrs.define(eq=False)
class Exchange:
    """One request of a caller and its fate; times in seconds."""

    endpoints: bytes
    header: bytes
    request: coap.Request
    service: object
    key: int
    arrived_at: float
    deadline: float
    datagram: bytes
    state: State = State.NEW
    upstream: object = None
    sent_at: float = 0.0
    silent_at: float = 0.0
    attempts: int = 0
    tried: set[int] = attrs.field(factory=set)
    holder: str = ""
    reply: bytes = b""
    expires_at: float = 0.0

    @property
    def identity(self):
        """Return what duplicates of the request share."""
        return identify(self.endpoints, self.request)

    @property
    def is_final(self):
        """Return whether the exchange has its final answer."""
        return self.state in (State.ANSWERED, State.REFUSED, State.UNKNOWN)
