"""
Bounded queue of log events, written to standard output as JSON lines.

Recording an event never blocks. Events over the rate limit of their kind, and events
that don't fit because the output isn't read, are dropped and counted.
"""

import collections
import json
import logging
import os
import select
import sys
import time
from datetime import UTC, datetime

import attrs
import trio

from lycheevalve.logs.schema import EVENTS, INFO, LEVEL_NAMES, LEVELS, WARNING
from lycheevalve.utils.imports import load_module

# Events queued for the next write; the last quarter is reserved for warnings and errors.
MAX_QUEUED_RECORDS = 2000
MAX_QUEUED_INFO_RECORDS = MAX_QUEUED_RECORDS * 3 // 4
# Formatted lines buffered while the output isn't read.
MAX_BUFFER_BYTES = 256 * 1024
# Importing loguru takes a seventh of the process's start, so it is delayed until after
# the first packets.
START_DELAY_SECONDS = 1.0
WRITE_INTERVAL_SECONDS = 0.1
# A writable pipe accepts this many bytes without blocking (PIPE_BUF on Linux).
CHUNK_BYTES = 4096
# Longer texts are shortened: a reason may quote a whole request, and events may wait for long.
MAX_FIELD_CHARACTERS = 2000
# How long a stopping process waits for its output to be read.
CLOSE_TIMEOUT_SECONDS = 0.2


@attrs.define
class RateWindow:
    """Number of events of one kind in the current second."""

    second: int = 0
    lines: int = 0


@attrs.define(eq=False)
class LogQueue:
    """Bounded queue of events to be written; `clock` returns Unix seconds."""

    clock: object = time.time
    level: int = INFO
    records: collections.deque = attrs.field(factory=collections.deque)
    rate_windows: dict = attrs.field(factory=lambda: collections.defaultdict(RateWindow))
    left_out: collections.Counter = attrs.field(factory=collections.Counter)
    left_out_total: collections.Counter = attrs.field(factory=collections.Counter)
    # Called when an event was queued or left out; replaced by the writer.
    wake: object = lambda: None

    def record(self, name, **fields):
        """Queue an event, unless its level is below the queue's."""
        event = EVENTS[name]
        if event.level < self.level:
            return
        now = self.clock()
        if self.has_room(event) and self.consume_budget(event, now):
            self.records.append((now, event, shorten_texts(fields)))
        else:
            self.left_out[name] += 1
            self.left_out_total[name] += 1
        self.wake()

    def has_room(self, event):
        """Return whether the queue has room for an event of this level."""
        limit = MAX_QUEUED_RECORDS if event.level >= WARNING else MAX_QUEUED_INFO_RECORDS
        return len(self.records) < limit

    def consume_budget(self, event, now):
        """Count an event and return whether it is within the limit of the current second."""
        window = self.rate_windows[event.name]
        if window.second != int(now):
            window.second, window.lines = int(now), 0
        window.lines += 1
        return window.lines <= event.max_lines_per_second

    def pop_all(self):
        """Return and clear the queued events; counts of dropped events come last."""
        records, self.records = self.records, collections.deque()
        if self.left_out:
            counts, self.left_out = dict(self.left_out), collections.Counter()
            records.append((self.clock(), EVENTS["left_out"], {"counts": counts}))
        return records


def shorten_texts(fields):
    """Return the fields of an event with texts of at most MAX_FIELD_CHARACTERS."""
    return {
        key: f"{value[:MAX_FIELD_CHARACTERS]}... ({len(value)} characters)"
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS
        else value
        for key, value in fields.items()
    }


class LibraryHandler(logging.Handler):
    """
    Records the warnings of libraries as events.

    Without a handler, `logging` writes them to standard error, which blocks when it isn't read.
    """

    def __init__(self, queue):
        super().__init__(logging.WARNING)
        self.queue = queue

    def emit(self, entry):
        """Record one warning or error of a library."""
        self.queue.record("library_warning", logger=entry.name, reason=entry.getMessage())


@attrs.define(eq=False)
class Output:
    """Buffered output to a file descriptor, written without blocking."""

    descriptor: int
    buffer: bytearray = attrs.field(factory=bytearray)
    # Lines that the descriptor refused, and the latest error, which is empty once a write
    # has succeeded again.
    lost_lines: int = 0
    error: str = ""
    # Whether the last line was written in part so far.
    is_line_open: bool = False

    def add(self, line):
        """Append a line to the buffer."""
        if self.is_line_open and not self.buffer:
            # The rest of that line was refused.
            self.buffer += b"\n"
        self.buffer += line.encode() + b"\n"

    def is_full(self):
        """Return whether the buffer exceeds its limit."""
        return len(self.buffer) > MAX_BUFFER_BYTES

    def is_writable(self, seconds=0.0):
        """Return whether the descriptor accepts bytes within `seconds`."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(seconds * 1000))

    def write(self, seconds=0.0):
        """Write what the descriptor accepts; wait up to `seconds` before each chunk."""
        while self.buffer and self.is_writable(seconds):
            # Whole lines, so that lines of several processes on one pipe don't interleave.
            end = self.buffer.rfind(b"\n", 0, CHUNK_BYTES) + 1 or CHUNK_BYTES
            try:
                count = os.write(self.descriptor, self.buffer[:end])
            except BlockingIOError:
                # Another process has filled the pipe in the meantime.
                return
            except OSError as error:
                # There is no other output: the loss is reported once this one accepts lines.
                self.lost_lines += self.buffer.strip(b"\n").count(b"\n") + 1
                self.error = str(error)
                self.buffer.clear()
                return
            self.error = ""
            self.is_line_open = self.buffer[count - 1 : count] != b"\n"
            del self.buffer[:count]

    def pop_loss(self):
        """Return and clear the number of lost lines, once the output accepts lines again."""
        if self.error:
            return 0
        lines, self.lost_lines = self.lost_lines, 0
        return lines


def build_line(record):
    """Format a loguru record as a JSON line."""
    extra = dict(record["extra"])
    at = datetime.fromtimestamp(extra.pop("at"), UTC)
    line = {
        "time": at.isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **extra,
    }
    return json.dumps(line, default=str)


@attrs.define(eq=False)
class Writer:
    """Writes the events of a queue as JSON lines through loguru."""

    queue: LogQueue
    output: Output
    common_fields: dict = attrs.field(factory=dict)
    logger: object = None

    def configure_logger(self, loguru):
        """Make loguru write to the output."""
        loguru.logger.remove()
        loguru.logger.add(self.add_line, level=0, format="{message}", catch=False)
        self.logger = loguru.logger

    def add_line(self, message):
        """Format a loguru message and append it to the output."""
        self.output.add(build_line(message.record))

    def write(self, seconds=0.0):
        """Write the queued events, as far as the output accepts them."""
        self.output.write(seconds)
        if self.output.is_full():
            return
        for at, event, fields in self.queue.pop_all():
            self.add_event(at, event, fields)
        self.output.write(seconds)
        lost_lines = self.output.pop_loss()
        if lost_lines:
            self.queue.record("lines_lost", lines=lost_lines)

    def add_event(self, at, event, fields):
        """Append the line of an event, or one that says why it has none."""
        try:
            self.log(at, event, fields)
        except Exception as error:
            details = {"name": event.name, "reason": type(error).__name__}
            self.log(at, EVENTS["unformattable"], details)

    def log(self, at, event, fields):
        """Append the line of an event."""
        name = LEVEL_NAMES[event.level]
        self.logger.bind(at=at, **self.common_fields, **fields).log(name, event.name)

    async def run(self):
        """Write queued events in batches until cancelled; an idle process isn't woken."""
        await trio.sleep(START_DELAY_SECONDS)
        if self.logger is None:
            self.configure_logger(await load_module("loguru"))
        while True:
            self.write()
            await trio.sleep(WRITE_INTERVAL_SECONDS)
            await self.wait_for_events()

    async def wait_for_events(self):
        """Wait until there is something to write."""
        event = trio.Event()
        self.queue.wake = event.set
        if not (self.queue.records or self.queue.left_out or self.output.buffer):
            await event.wait()
        self.queue.wake = lambda: None

    def close(self):
        """Write the remaining events at the end of the process."""
        if self.logger is None:
            import loguru

            self.configure_logger(loguru)
        self.write(CLOSE_TIMEOUT_SECONDS)


# The log queue and writer of this process.
queue = LogQueue()
writer = Writer(queue, Output(sys.__stdout__.fileno() if sys.__stdout__ else 1))
record = queue.record


def set_up_logs(level, **common_fields):
    """Log events of the named level and above, with `common_fields` in each line."""
    queue.level = LEVELS[level]
    writer.common_fields = common_fields
    # Does nothing if there is a handler already.
    logging.basicConfig(handlers=[LibraryHandler(queue)])
