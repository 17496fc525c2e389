"""
The memory for large messages of connections while they arrive or are sent.

A peer that sends or reads slowly keeps a message in memory for long, and there may be as many
of them as connections.
"""

import contextlib

import attrs

from lycheevalve.exceptions import UnavailableError
from lycheevalve.logs.queue import record

# Messages above the size that each connection may always buffer share the maximum.
SMALL_MESSAGE_BYTES = 16 * 1024
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


@attrs.define(eq=False)
class Buffers:
    """The bytes of large messages in the memory of a process, at most `limit`."""

    limit: int = MAX_BUFFERED_BYTES
    used: int = 0

    @contextlib.contextmanager
    def hold(self):
        """
        Return a function that counts the size of one message until the block ends.

        `count(size)` raises UnavailableError when the messages together are too large.
        """
        held = 0

        def count(size):
            nonlocal held
            added = max(0, size - SMALL_MESSAGE_BYTES) - held
            if added > 0 and self.used + added > self.limit:
                record("buffers_full", used=self.used)
                reason = f"large messages already take {self.used} bytes of memory"
                raise UnavailableError(reason, "buffer message")
            held += added
            self.used += added

        try:
            yield count
        finally:
            self.used -= held


# The buffers of this process.
buffers = Buffers()
