"""Tests of log events: schema, rate limits and output that is not read."""

import ast
import collections
import errno
import json
import logging
import os
import select
from pathlib import Path

import loguru
import pytest
import trio
import trio.testing

import lycheevalve
from lycheevalve.daemon import role_process
from lycheevalve.daemon.entry import EntryProcess
from lycheevalve.daemon.events import Batch
from lycheevalve.exceptions import DatagramError
from lycheevalve.logs import queue, schema
from lycheevalve.logs.queue import LogQueue, Output, Writer
from lycheevalve.logs.schema import EVENTS, validate_event
from lycheevalve.schema.generated.settings import Role

PACKAGE = Path(lycheevalve.__file__).parent
PIPE_BYTES = 65_536


def find_calls(name):
    """Yield (place, call) for each call of the named function in the package."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == name:
                yield f"{path.name}:{node.lineno}", node


class TestSchema:
    """Recorded events and their fields against the schema."""

    def test_all_recorded_events_and_fields_are_in_the_schema(self):
        seen = set()
        for place, call in find_calls("record"):
            if not isinstance(call.args[0], ast.Constant):
                continue
            name = call.args[0].value
            seen.add(name)
            assert name in EVENTS, place
            unknown = {k.arg for k in call.keywords} - set(EVENTS[name].fields)
            assert not unknown, f"{place}: {name} has no {unknown}"
        assert len(seen) > 15

    def test_invalid_events_are_detected(self):
        assert validate_event("in_force", {"revision": 3}) == []
        assert validate_event("in_force", {"revision": "3"})
        assert validate_event("in_force", {"version": 3})
        assert validate_event("nonsense", {})


class RefusingCodec:
    """A codec that refuses every datagram."""

    @staticmethod
    def read_packet(data):
        """Raise DatagramError for any datagram."""
        raise DatagramError("3 bytes are no packet", "read packet")

    read_routes = None


class TestEntry:
    """Events of an entry instance."""

    def test_bad_packet_is_counted_and_logged_with_its_reason(self, monkeypatch):
        logs, _ = build_queue()
        monkeypatch.setattr(role_process, "record", logs.record)

        async def handle_batch():
            settings = Role(ip="127.0.0.1", link_port=7600, name="a1", data_centre="dc1")
            process = EntryProcess(settings, RefusingCodec())
            await process.handle_batch(Batch([(b"abc", ("127.0.0.1", 1))]))
            return process.logic.counters

        counters = trio.run(handle_batch)
        assert counters == {("bad_packet", ""): 1}
        ((_, event, fields),) = logs.pop_all()
        assert (event.name, fields) == ("bad_packet", {"error": "3 bytes are no packet"})


class Clock:
    """A clock that is set by the test."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def build_queue(**values):
    """Return a queue and its clock."""
    clock = Clock()
    return LogQueue(clock, **values), clock


class TestRateLimits:
    """Rate limits of events and bounds of the queue."""

    def test_each_kind_has_a_limit_per_second_and_excess_is_counted(self):
        logs, clock = build_queue()
        limit = EVENTS["placed"].max_lines_per_second
        for _ in range(limit + 7):
            logs.record("placed", flow="f")
        logs.record("reset", flow="f", reason="no_upstream")
        names = collections.Counter(event.name for _, event, _ in logs.pop_all())
        assert names == {"placed": limit, "reset": 1, "left_out": 1}
        clock.now += 1.0
        logs.record("placed", flow="f")
        assert len(logs.pop_all()) == 1

    def test_dropped_events_are_counted_by_kind(self):
        logs, _ = build_queue()
        for _ in range(EVENTS["placed"].max_lines_per_second + 7):
            logs.record("placed", flow="f")
        assert logs.pop_all()[-1][2] == {"counts": {"placed": 7}}

    def test_failures_are_queued_when_successes_fill_the_queue(self):
        logs, clock = build_queue()
        for _ in range(queue.MAX_QUEUED_RECORDS):
            clock.now += 1.0
            logs.record("placed", flow="f")
        logs.record("reset", flow="f", reason="no_upstream")
        assert len(logs.records) == queue.MAX_QUEUED_INFO_RECORDS + 1

    def test_queue_is_bounded(self):
        logs, clock = build_queue()
        for _ in range(queue.MAX_QUEUED_RECORDS + 5):
            clock.now += 1.0
            logs.record("reset", flow="f")
        assert len(logs.records) == queue.MAX_QUEUED_RECORDS
        assert logs.left_out["reset"] == 5

    # Reasons that quoted a request of megabytes waited in the queue until memory was used up.
    def test_long_text_is_shortened(self):
        logs, _ = build_queue()
        logs.record("refused", reason="x" * 3_000_000, peer="a")
        ((_, _, fields),) = logs.pop_all()
        assert len(fields["reason"]) < queue.MAX_FIELD_CHARACTERS + 40
        assert fields["reason"].endswith("(3000000 characters)")

    # Errors of libraries went to standard error, which blocks the process when it isn't read.
    def test_warnings_of_libraries_are_recorded(self):
        logs, _ = build_queue()
        logger = logging.getLogger("tests.library")
        logger.addHandler(queue.LibraryHandler(logs))
        logger.error("accept returned %s", "EMFILE")
        ((_, event, fields),) = logs.pop_all()
        assert event.name == "library_warning"
        assert fields == {"logger": "tests.library", "reason": "accept returned EMFILE"}

    def test_events_below_the_level_are_ignored(self):
        logs, _ = build_queue(level=schema.WARNING)
        logs.record("placed", flow="f")
        assert not logs.pop_all()


@pytest.fixture
def pipe():
    """A pipe as (reader, writer), closed afterwards."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def build_writer(descriptor):
    """Return a writer on a descriptor and its queue's clock."""
    logs, clock = build_queue()
    writer = Writer(logs, Output(descriptor), {"instance": "a1"})
    writer.configure_logger(loguru)
    return writer, clock


def refuse_write(_):
    """Refuse a write as a full disk does."""
    raise OSError(errno.ENOSPC, "No space left on device")


class TestWriter:
    """Lines written to a descriptor."""

    def test_line_has_time_level_event_and_fields(self, pipe):
        writer, _ = build_writer(pipe[1])
        writer.queue.record("in_force", revision=7)
        writer.write()
        assert json.loads(os.read(pipe[0], 1000)) == {
            "time": "1970-01-01T00:16:40.000+00:00",
            "level": "INFO",
            "event": "in_force",
            "instance": "a1",
            "revision": 7,
        }

    def test_braces_in_fields_are_not_formatted(self, pipe):
        writer, _ = build_writer(pipe[1])
        writer.queue.record("refused", reason="{0} {x}", peer="a")
        writer.write()
        assert json.loads(os.read(pipe[0], 1000))["reason"] == "{0} {x}"

    def test_each_write_contains_whole_lines(self, pipe, monkeypatch):
        writer, _ = build_writer(pipe[1])
        written = []
        write = os.write
        monkeypatch.setattr(
            os, "write", lambda to, data: written.append(bytes(data)) or write(to, data)
        )
        for _ in range(50):
            writer.queue.record("reset", flow="f" * 100, reason="upstream_silent")
        writer.write()
        assert len(written) > 1
        assert all(data.endswith(b"\n") for data in written)

    def test_stalled_reader_blocks_nothing_and_later_gets_whole_lines(self, pipe, monkeypatch):
        writer, clock = build_writer(pipe[1])
        write = os.write

        def write_without_blocking(descriptor, data):
            assert select.select([], [descriptor], [], 0)[1], "the write would block"
            return write(descriptor, data)

        monkeypatch.setattr(os, "write", write_without_blocking)
        for _ in range(1000):
            clock.now += 1.0
            for _ in range(20):
                writer.queue.record("reset", flow="f" * 40, reason="upstream_silent")
            writer.write()
        assert len(writer.output.buffer) < queue.MAX_BUFFER_BYTES + PIPE_BYTES
        data = b""
        while b"left_out" not in data:
            data += os.read(pipe[0], PIPE_BYTES)
            writer.write()
        lines = data.split(b"\n")[:-1]
        counts = [json.loads(line).get("counts") for line in lines]
        assert sum(count["reset"] for count in counts if count) > 0

    def test_closed_reader_raises_nothing(self):
        reader, descriptor = os.pipe()
        writer, _ = build_writer(descriptor)
        os.close(reader)
        writer.queue.record("stopped")
        writer.write()
        os.close(descriptor)
        assert not writer.output.buffer

    # An event whose value json can't represent was printed to standard error with a traceback.
    def test_unformattable_event_is_reported_and_the_next_is_written(self, pipe):
        writer, _ = build_writer(pipe[1])
        writer.queue.record("accepted", revision=10**5000)
        writer.queue.record("stopped")
        writer.write()
        lines = [json.loads(line) for line in os.read(pipe[0], 4000).splitlines()]
        assert [line["event"] for line in lines] == ["unformattable", "stopped"]
        assert (lines[0]["name"], lines[0]["reason"]) == ("accepted", "ValueError")

    # A field named as one of the line's own ended the process.
    def test_event_with_a_field_of_the_line_is_reported(self, pipe):
        writer, _ = build_writer(pipe[1])
        writer.queue.record("stopped", instance="another")
        writer.write()
        assert json.loads(os.read(pipe[0], 4000))["event"] == "unformattable"

    # A full pipe shared with another process discarded all lines that waited.
    def test_lines_wait_when_another_process_has_filled_the_pipe(self, pipe, monkeypatch):
        writer, _ = build_writer(pipe[1])
        for end in pipe:
            os.set_blocking(end, False)
        monkeypatch.setattr(Output, "is_writable", lambda self, seconds=0.0: True)
        filler = os.write(pipe[1], b"x" * PIPE_BYTES)
        writer.queue.record("stopped")
        writer.write()
        os.read(pipe[0], filler)
        writer.write()
        assert json.loads(os.read(pipe[0], 4000))["event"] == "stopped"

    # Lines that a full disk had refused were missing without a trace.
    def test_lines_refused_by_the_output_are_counted(self, tmp_path, monkeypatch):
        path = tmp_path / "output"
        descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
        writer, _ = build_writer(descriptor)
        write = os.write
        results = [lambda data: write(descriptor, data[:10]), refuse_write, refuse_write]

        def write_or_refuse(_, data):
            return results.pop(0)(data) if results else write(descriptor, data)

        monkeypatch.setattr(os, "write", write_or_refuse)
        for _ in range(3):
            writer.queue.record("stopped")
            writer.write()
        writer.write()
        os.close(descriptor)
        cut, *lines = path.read_text().splitlines()
        assert cut == '{"time": "'
        events = [json.loads(line) for line in lines]
        assert [event["event"] for event in events] == ["stopped", "lines_lost"]
        assert events[1]["lines"] == 2

    # A closed standard output must not end the process.
    def test_closed_descriptor_raises_nothing(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        os.close(descriptor)
        writer, _ = build_writer(descriptor)
        writer.queue.record("stopped")
        writer.write()
        assert writer.output.lost_lines == 1

    def test_idle_writer_is_not_woken(self, pipe, monkeypatch):
        writer, _ = build_writer(pipe[1])
        writes = []
        write = Writer.write
        monkeypatch.setattr(
            Writer, "write", lambda self: writes.append(trio.current_time()) or write(self)
        )

        async def run():
            async with trio.open_nursery() as nursery:
                begun = trio.current_time()
                nursery.start_soon(writer.run)
                await trio.sleep(60.0)
                writer.queue.record("stopped")
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            return begun

        begun = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert len(writes) == 2
        assert writes[-1] - begun == pytest.approx(60.0, abs=queue.WRITE_INTERVAL_SECONDS)
        assert json.loads(os.read(pipe[0], 1000))["event"] == "stopped"
