"""
The queue between the parts of a process and its standard output.

Recording never waits: an event over its budget, or one that finds no room
because nobody reads the output, is counted and left out.
"""

import collections
import json
import os
import select
import sys
import time
from datetime import UTC, datetime

import attrs
import trio

from lycheevalve.logs.schema import EVENTS, INFO, LEVEL_NAMES, LEVELS, WARNING
from lycheevalve.utils.imports import load_module

# Events that wait for the next write; the last quarter is kept for warnings and errors.
MAX_RECORDS = 2000
MAX_INFO_RECORDS = MAX_RECORDS * 3 // 4
# Bytes that wait for a reader.
MAX_BUFFER_BYTES = 256 * 1024
# The library that writes the lines takes a seventh of the start; first packets go first.
START_SECONDS = 1.0
WRITE_SECONDS = 0.1
# A pipe that is writable takes this many bytes without blocking (PIPE_BUF of Linux).
CHUNK_BYTES = 4096
# An ending process waits this long for a reader.
CLOSE_SECONDS = 0.2


@attrs.define
class Allowance:
    """How many lines one kind of event has written in one second."""

    second: int = 0
    lines: int = 0


@attrs.define(eq=False)
class LogQueue:
    """Events that wait to be written; `clock` returns Unix seconds."""

    clock: object = time.time
    level: int = INFO
    records: collections.deque = attrs.field(factory=collections.deque)
    allowances: dict = attrs.field(factory=lambda: collections.defaultdict(Allowance))
    left_out: collections.Counter = attrs.field(factory=collections.Counter)
    left_out_total: collections.Counter = attrs.field(factory=collections.Counter)

    def record(self, name, **fields):
        """Queue an event, unless its level is too low."""
        event = EVENTS[name]
        if event.level < self.level:
            return
        now = self.clock()
        if self.has_room(event) and self.is_within_budget(event, now):
            self.records.append((now, event, fields))
        else:
            self.left_out[name] += 1
            self.left_out_total[name] += 1

    def has_room(self, event):
        """Return whether an event may wait."""
        limit = MAX_RECORDS if event.level >= WARNING else MAX_INFO_RECORDS
        return len(self.records) < limit

    def is_within_budget(self, event, now):
        """Count an event against its budget of this second."""
        allowance = self.allowances[event.name]
        if allowance.second != int(now):
            allowance.second, allowance.lines = int(now), 0
        allowance.lines += 1
        return allowance.lines <= event.per_second

    def take(self):
        """Return all that waits, with what was left out at the end."""
        records, self.records = self.records, collections.deque()
        if self.left_out:
            counts, self.left_out = dict(self.left_out), collections.Counter()
            records.append((self.clock(), EVENTS["left_out"], {"counts": counts}))
        return records


@attrs.define(eq=False)
class Output:
    """A descriptor that is written to only as far as that does not block."""

    descriptor: int
    buffer: bytearray = attrs.field(factory=bytearray)

    def add(self, line):
        """Add a line."""
        self.buffer += line.encode() + b"\n"

    def is_full(self):
        """Return whether the reader is far behind."""
        return len(self.buffer) > MAX_BUFFER_BYTES

    def is_writable(self, seconds=0.0):
        """Return whether some bytes can be written at once."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return bool(poll.poll(seconds * 1000))

    def write(self, seconds=0.0):
        """Write what can be written; wait for a reader up to `seconds` at a time."""
        while self.buffer and self.is_writable(seconds):
            # Whole lines, so that those of several writers to one pipe do not mix.
            end = self.buffer.rfind(b"\n", 0, CHUNK_BYTES) + 1 or CHUNK_BYTES
            try:
                count = os.write(self.descriptor, self.buffer[:end])
            except OSError:
                # Nobody will ever read it, and there is no other place to say so.
                self.buffer.clear()
                return
            del self.buffer[:count]


def build_line(record):
    """Return the JSON line of a record of the logging library."""
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
    """Writes a queue's events as JSON lines through loguru."""

    queue: LogQueue
    output: Output
    common: dict = attrs.field(factory=dict)
    logger: object = None

    def connect(self, loguru):
        """Send the lines of loguru to the output."""
        loguru.logger.remove()
        loguru.logger.add(self.add_line, level=0, format="{message}")
        self.logger = loguru.logger

    def add_line(self, message):
        """Take a record of loguru."""
        self.output.add(build_line(message.record))

    def write(self, seconds=0.0):
        """Write what waits, as far as there is a reader."""
        self.output.write(seconds)
        if self.output.is_full():
            return
        for at, event, fields in self.queue.take():
            name = LEVEL_NAMES[event.level]
            self.logger.bind(at=at, **self.common, **fields).log(name, event.name)
        self.output.write(seconds)

    async def run(self):
        """Write now and then, for ever."""
        await trio.sleep(START_SECONDS)
        if self.logger is None:
            self.connect(await load_module("loguru"))
        while True:
            self.write()
            await trio.sleep(WRITE_SECONDS)

    def close(self):
        """Write what is left, at the end of the process."""
        if self.logger is None:
            import loguru

            self.connect(loguru)
        self.write(CLOSE_SECONDS)


# The queue and the writer of this process.
queue = LogQueue()
writer = Writer(queue, Output(sys.__stdout__.fileno() if sys.__stdout__ else 1))
record = queue.record


def set_up_logs(level, **common):
    """Write events of a level (a name) and above, with `common` in each line."""
    queue.level = LEVELS[level]
    writer.common = common
