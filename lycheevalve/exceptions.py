"""Exceptions of lycheevalve, with messages that users can act on."""

import attrs


@attrs.define(slots=False)
class LycheevalveError(Exception):
    """An error with the step at which it occurred and the peer or file concerned."""

    reason: str
    step: str = ""
    peer: str = ""

    def __str__(self):
        context = ", ".join(part for part in (self.step, self.peer) if part)
        return f"{context}: {self.reason}" if context else self.reason


class SettingsError(LycheevalveError):
    """A settings file or a configuration is invalid."""


class FrameError(LycheevalveError):
    """A frame does not parse, or its sender can't be verified."""


class DatagramError(LycheevalveError):
    """A datagram from a caller or an upstream does not parse."""


class AnnouncementError(LycheevalveError):
    """An announcement of an upstream is refused."""


class StorageError(LycheevalveError):
    """The data folder is damaged or can't be written."""


class ConflictError(LycheevalveError):
    """A change conflicts with an accepted one or was refused."""


class AddressError(LycheevalveError):
    """A process can't listen on one of its addresses."""


class UnavailableError(LycheevalveError):
    """There is no quorum, or a peer can't be reached."""
