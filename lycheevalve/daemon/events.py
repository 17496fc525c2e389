"""What the tasks of a process tell each other."""

import attrs


@attrs.frozen
class Batch:
    """Datagrams read from the socket: (bytes, source address)."""

    datagrams: list


@attrs.frozen
class Received:
    """A message of another instance, received over a link."""

    sender: str
    message: object


@attrs.frozen
class Committed:
    """What the replica of this process committed."""

    configuration: object
    changes: list


@attrs.frozen
class ReplicaView:
    """What the replica of this process is and knows."""

    role: str = "none"
    leader: str = ""
    members: tuple = ()
    accepted: int = 0
    # It holds all that was accepted, as far as a leader with a quorum told it.
    current: bool = False


@attrs.frozen
class Query:
    """A request of an operator; the answer goes to `reply` (a send channel)."""

    message: object
    reply: object


@attrs.frozen
class Stop:
    """The order to stop gracefully."""


@attrs.frozen
class Reload:
    """New settings."""

    settings: object


@attrs.frozen
class Learners:
    """The processes that get the log beside its members."""

    names: frozenset


@attrs.frozen
class Thawed:
    """The process was frozen; what it heard before is old."""
