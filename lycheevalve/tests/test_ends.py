"""Ends of processes: the last log line, the record in the data folder, and its counter."""

import http.client
import json
import signal
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from lycheevalve.coordination.run_record import (
    FILE_NAME,
    MAX_FILE_BYTES,
    RUNNING,
    RunRecord,
    count_ends,
    read_run_record,
    write_run_record,
)
from lycheevalve.daemon import ends
from lycheevalve.exceptions import SettingsError, StorageError
from lycheevalve.logs.process_ends import build_report
from lycheevalve.logs.queue import LogQueue, Output, Writer
from lycheevalve.logs.schema import validate_event
from lycheevalve.logs.timeline import parse_logs
from lycheevalve.tests.fakes.role_processes import (
    WAIT_TIMEOUT_SECONDS,
    build_control,
    build_entry,
    wait_for,
)
from lycheevalve.utils.addresses import format_address

# A program whose process fails while it starts, with an error that nothing explains.
FAILING_START = """
import sys
from lycheevalve.platform import run

async def fail(*_):
    raise ValueError("no start")

run.run_process = fail
sys.exit(run.run(sys.argv[1]))
"""


def read_metric(process, name):
    """Return the samples of a process's metric as {label values: value}."""
    connection = http.client.HTTPConnection(*process.address("metrics"), timeout=10)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    return {
        tuple(sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == f"lycheevalve_{name}"
    }


def entry_address(entry):
    """Return the address from which an entry instance polls."""
    return format_address(entry.link_address())


def read_state(process):
    """Return the state in the record of a process's data folder, or None without one."""
    path = process.folder / f"data-{process.settings['name']}" / FILE_NAME
    return json.loads(path.read_text())["state"] if path.exists() else None


class TestRecord:
    """The record of a run in a data folder."""

    def test_ends_are_counted_by_reason(self, tmp_path):
        for state in ("stopped", "error", RUNNING, RUNNING):
            previous = read_run_record(tmp_path)
            ends_so_far = count_ends(previous) if previous else {}
            write_run_record(tmp_path, RunRecord(state, {}, ends_so_far))
        found = read_run_record(tmp_path)
        assert count_ends(found) == {"stopped": 1, "error": 1, "lost": 2}

    def test_first_start_follows_no_end(self, tmp_path):
        assert read_run_record(tmp_path) is None

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            b"\0" * 4096,
            b"[" * (MAX_FILE_BYTES + 1),
            b'{"state": "later", "details": {}, "ends": {}}',
            b'{"state": "running", "details": [], "ends": {}}',
            b'{"state": "running", "details": {}, "ends": {"error": -1}}',
            b'{"state": "running", "details": {}, "ends": {"error": true}}',
            b'{"state": "running", "details": {}, "ends": {"other": 1}}',
            b'{"state": "running", "details": {}, "ends": {"error": %d}}' % 10**400,
            b'{"state": ["running"], "details": {}, "ends": {}}',
        ],
    )
    def test_damaged_record_is_an_unknown_end(self, tmp_path, data):
        """Guards against a start that fails on a torn record or one of another version."""
        (tmp_path / FILE_NAME).write_bytes(data)
        assert count_ends(read_run_record(tmp_path)) == {"unknown": 1}

    @given(data=st.binary(max_size=200))
    def test_any_bytes_are_read(self, tmp_path_factory, data):
        """Guards against a start that fails on bytes that no version has written."""
        folder = tmp_path_factory.mktemp("record")
        (folder / FILE_NAME).write_bytes(data)
        assert count_ends(read_run_record(folder)) == {"unknown": 1}


@pytest.fixture
def records(monkeypatch):
    """Return the events, as (name, fields), of a run that starts anew."""
    records = []

    def record(name, **fields):
        assert validate_event(name, fields) == []
        records.append((name, fields))

    monkeypatch.setattr(ends, "current_run", ends.Run())
    monkeypatch.setattr(ends, "record", record)
    monkeypatch.setattr(ends, "writer", Writer(LogQueue(), Output(1)))
    return records


def build_group(error):
    """Return a group of one error, as a nursery raises it."""
    return ExceptionGroup("group", [error])


def raise_error(error):
    """Raise an error."""
    raise error


class TestEnd:
    """What a process logs and records when it ends."""

    @pytest.mark.parametrize(
        ("error", "code", "reason"),
        [
            (OSError(24, "too many"), 1, "error"),
            (build_group(build_group(ValueError("x"))), 1, "error"),
            (MemoryError(), 1, "error"),
            (StorageError("full", "write", "/data"), 1, "error"),
            (SettingsError("missing", "name", "a.toml"), 2, "settings"),
            (build_group(SettingsError("missing")), 2, "settings"),
            (KeyboardInterrupt(), 130, "stopped"),
        ],
    )
    def test_last_line_has_the_reason(self, records, error, code, reason):
        """Guards against a process that ends without a line that says why."""
        assert ends.run_to_end(lambda: raise_error(error)) == code
        [(first, _), (name, fields)] = records
        cause = ends.find_cause(error)
        assert (first, name) == ("starting", "ended")
        assert (fields["code"], fields["reason"]) == (code, reason)
        assert fields["error"].startswith(type(cause).__name__)
        assert fields["place"].startswith("lycheevalve.tests.test_ends:")
        assert fields["step"] == "start"

    def test_end_without_an_error(self, records, tmp_path):
        assert ends.run_to_end(lambda: None, str(tmp_path)) == 0
        assert [name for name, _ in records] == ["starting"]
        assert read_run_record(tmp_path).state == "stopped"

    def test_failed_start_is_recorded_for_the_next_one(self, records, tmp_path):
        """Guards against failed starts that the next start does not count."""
        write_run_record(tmp_path, RunRecord(RUNNING))
        ends.run_to_end(lambda: raise_error(OSError(98, "in use")), str(tmp_path))
        assert [name for name, _ in records] == ["starting", "previous_end", "ended"]
        found = read_run_record(tmp_path)
        assert found.details["error"] == "OSError: [Errno 98] in use"
        assert count_ends(found) == {"lost": 1, "error": 1}

    def test_folder_that_cannot_be_written_is_logged(self, records, tmp_path):
        """Guards against an end that is not logged because its record fails."""
        missing = tmp_path / "missing"
        assert ends.run_to_end(lambda: raise_error(ValueError("x")), str(missing)) == 1
        assert [name for name, _ in records] == ["starting", "run_not_recorded", "ended"]

    def test_log_is_written_before_the_record(self, records, monkeypatch, tmp_path):
        """Guards against a stop without its last lines when the disk does not answer."""
        steps = []
        monkeypatch.setattr(ends, "write_log", lambda: steps.append("log"))
        monkeypatch.setattr(ends.Run, "record_state", lambda *_: steps.append("record"))
        ends.run_to_end(lambda: None, str(tmp_path))
        assert steps == ["log", "record", "log"]

    def test_end_whose_log_cannot_be_written(self, records, monkeypatch, capsys):
        """Guards against an end without any line when descriptors or memory are exhausted."""
        monkeypatch.setattr(ends, "writer", None)
        assert ends.run_to_end(lambda: raise_error(ValueError("x"))) == 1
        assert "ended, error: {'code': 1, 'error': 'ValueError: x'" in capsys.readouterr().err


class TestProcesses:
    """Real processes and what their next starts say about them."""

    def test_next_start_counts_the_ends_before_it(self, tmp_path):
        """Guards against ends that nothing shows once the logs are gone."""
        replica = build_control(tmp_path)
        try:
            for number in (signal.SIGTERM, signal.SIGKILL, signal.SIGKILL):
                replica.start().wait_until_started()
                wait_for(lambda: read_state(replica) == RUNNING)
                replica.process.send_signal(number)
                replica.process.wait()
            replica.start().wait_until_started()
            wait_for(lambda: len(replica.read_events("previous_end")) == 3)
            counts = read_metric(replica, "previous_ends_total")
        finally:
            replica.stop()
        others = {("settings",): 0, ("error",): 0, ("unknown",): 0}
        assert counts == {("stopped",): 1, ("lost",): 2, **others}
        reasons = [event["reason"] for event in replica.read_events("previous_end")]
        assert reasons == ["stopped", "lost", "lost"]

    def test_traceback_of_a_failed_start_follows_its_first_line(self, tmp_path):
        """Guards against a traceback that is attributed to the run before it in the log."""
        replica = build_control(tmp_path).start().wait_until_started()
        replica.stop()
        replica.command = (sys.executable, "-c", FAILING_START)
        assert replica.start().process.wait(WAIT_TIMEOUT_SECONDS) == 1
        logs = parse_logs({"control-1.jsonl": replica.read_output().splitlines()})
        lost, ended = build_report("control-1", logs).findings
        assert "ended without a last line: killed" in lost
        assert "ended with code 1: ValueError: no start" in ended
        assert "step start" in ended

    def test_control_replica_reports_instances_that_restart(self, tmp_path):
        """Guards against ends of instances without a disk that nothing shows."""
        replica = build_control(tmp_path).start().wait_until_started()
        entry = build_entry(tmp_path, replica).start().wait_until_started()
        try:
            wait_for(lambda: entry.read_events("source_reached"))
            started_at = read_metric(entry, "start_time_seconds")[()]
            assert read_metric(entry, "previous_ends_total") == {}
            entry.stop()
            entry.start().wait_until_started()
            [restart] = wait_for(lambda: replica.read_events("instance_restarted"))
            assert read_metric(entry, "start_time_seconds")[()] > started_at
            restarts = read_metric(replica, "instance_restarts_total")
            assert restarts == {("entry",): 1, ("control",): 0}
            entry.process.send_signal(signal.SIGTERM)
            assert entry.process.wait() == 0
        finally:
            entry.stop()
            replica.stop()
        assert (restart["peer"], restart["role"]) == (entry_address(entry), "entry")
        assert entry.read_events()[-1]["event"] == "stopped"
