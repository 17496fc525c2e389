"""Exchanges: the records of callers' requests, with the states and events of each."""

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
    # Relayed to the instance that holds the claim, which answers.
    RELAYED = "elsewhere"


class Event(enum.Enum):
    """An event that may change the state of an exchange."""

    ARRIVED = "arrived"
    # A duplicate was relayed to this instance, which has no exchange for it.
    RECORD_MISSING = "orphaned"
    CLAIMED = "claimed"
    HELD_ELSEWHERE = "taken"
    UNCLAIMED = "unclaimed"
    DEADLINE_UNREACHABLE = "hopeless"
    ANSWER = "answer"
    SHED = "shed"
    TIMEOUT = "silence"
    UPSTREAM_LOST = "gone"


def identify(endpoints, request):
    """Return the deduplication key of a request, which its retransmissions share."""
    return endpoints, request.message_id, request.token


@attrs.define(eq=False)
class Exchange:
    """One request of a caller, its state and its reply; times in seconds."""

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
    times_out_at: float = 0.0
    attempts: int = 0
    tried: set[int] = attrs.field(factory=set)
    holder: str = ""
    reply: bytes = b""
    expires_at: float = 0.0

    @property
    def identity(self):
        """Return the deduplication key of the request."""
        return identify(self.endpoints, self.request)

    @property
    def is_final(self):
        """Return whether the exchange has a final reply."""
        return self.state in (State.ANSWERED, State.REFUSED, State.UNKNOWN)
