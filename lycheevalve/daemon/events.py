"""Events that the tasks of a process send each other."""

import attrs


@attrs.frozen
class Batch:
    """Datagrams read from the socket, as (bytes, source address)."""

    datagrams: list


@attrs.frozen
class Received:
    """A message of another instance, received over a link."""

    sender: str
    message: object


@attrs.frozen
class Committed:
    """A configuration and changes that the replica of this process has committed."""

    configuration: object
    changes: list


@attrs.frozen
class ReplicaView:
    """The state of this process's replica."""

    role: str = "none"
    leader: str = ""
    members: tuple = ()
    accepted: int = 0
    # Whether it holds all that was committed, as confirmed by a leader with a quorum.
    current: bool = False


@attrs.frozen
class Query:
    """A request; its answer is sent to `reply`, a send channel."""

    message: object
    reply: object


@attrs.frozen
class Stop:
    """Start the graceful stop."""


@attrs.frozen
class Reload:
    """Apply settings that were read again."""

    settings: object


@attrs.frozen
class Learners:
    """
    The processes that receive the log without being members.

    `silent_since` has the last contact with each process that was one of them before.
    """

    names: frozenset
    silent_since: dict = attrs.field(factory=dict)


@attrs.frozen
class Resumed:
    """The process resumed after a pause; what it received before may be outdated."""


@attrs.frozen
class Announcement:
    """An upstream's registration; the answer goes to `reply`."""

    registration: object
    reply: object


@attrs.frozen
class Deregistration:
    """
    The deregistration of an upstream; the answer goes to `reply`.

    `incarnation` is None if the upstream does not say which one of that name it is.
    """

    name: str
    incarnation: int | None
    reply: object
