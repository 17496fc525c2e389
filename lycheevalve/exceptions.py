"""The exceptions of lycheevalve; each message can be acted on by a user."""

import attrs


@attrs.define(slots=False)
class LycheevalveError(Exception):
    """An error with the step and the peer at which it arose."""

    reason: str
    step: str = ""
    peer: str = ""

    def __str__(self):
        place = ", ".join(part for part in (self.step, self.peer) if part)
        return f"{place}: {self.reason}" if place else self.reason


class SettingsError(LycheevalveError):
    """A settings file or a configuration that can't be used."""


class FrameError(LycheevalveError):
    """A frame that does not parse or whose sender can't be verified."""


class DatagramError(LycheevalveError):
    """A datagram of callers or upstreams that does not parse."""


class AnnouncementError(LycheevalveError):
    """An announcement of an upstream that is refused."""


class StorageError(LycheevalveError):
    """The data folder can't be trusted or written."""


class ConflictError(LycheevalveError):
    """A change that lost against another one or was refused."""


class UnavailableError(LycheevalveError):
    """No quorum, or a peer that can't be reached."""
