"""Tests of `lycheevalve explain`: timelines of requests from logs of several processes."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.commands import explain
from lycheevalve.logs.schema import EVENTS
from lycheevalve.logs.timeline import MAX_BAD_LINES, build_timeline, parse_logs

FLOW = "100.64.0.7:40001-198.18.0.1:443"
OTHER = "100.64.0.8:40002-198.18.0.1:443"
UPSTREAM_STATE = {"upstream": "i-1", "address": "10.0.0.9:80", "answer_age_ms": 12}


def build_line(second, event, instance="a1", **fields):
    """Return a line of a log."""
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    value = {"time": time, "level": "INFO", "event": event, "instance": instance, **fields}
    return json.dumps(value)


def build_timeline_of(subject, *files):
    """Return the timeline of a subject and the parsed logs."""
    logs = parse_logs({f"log{number}": file for number, file in enumerate(files)})
    return build_timeline(subject, logs.lines), logs


PLACED = build_line(1, "placed", flow=FLOW, copy=0, **UPSTREAM_STATE)
REQUEST = build_line(2, "request", flow=FLOW, request="abc", **UPSTREAM_STATE)


class TestTimeline:
    """Selection of events and findings for a request or flow."""

    def test_lines_of_several_processes_are_merged_by_time(self):
        reset = build_line(2.5, "reset", "a2", flow=FLOW, request="abc", reason="left_silent")
        timeline, _ = build_timeline_of("abc", [reset], [REQUEST, PLACED])
        assert [line.event for line in timeline.lines] == ["placed", "request", "reset"]
        assert timeline.flows == [FLOW]
        assert timeline.findings[0].startswith(
            "a2 reset the flow: its upstream was unresponsive"
        )
        assert not timeline.missing

    def test_timeline_of_a_flow(self):
        timeline, _ = build_timeline_of(FLOW, [PLACED, REQUEST])
        assert len(timeline.lines) == 2

    def test_other_requests_and_flows_are_excluded(self):
        earlier = build_line(1.5, "request", flow=FLOW, request="before", **UPSTREAM_STATE)
        other = build_line(2, "request", flow=OTHER, request="xyz", **UPSTREAM_STATE)
        timeline, _ = build_timeline_of("abc", [PLACED, earlier, REQUEST, other])
        assert [line.fields.get("request") for line in timeline.lines] == [None, "abc"]

    def test_reset_naming_an_older_request_is_included(self):
        values = {"flow": FLOW, "request": "before", "reason": "left_silent"}
        timeline, _ = build_timeline_of(
            "abc", [PLACED, REQUEST], [build_line(2.5, "reset", "a2", **values)]
        )
        assert timeline.lines[-1].event == "reset"
        earlier, _ = build_timeline_of(
            "abc", [PLACED, REQUEST], [build_line(0.5, "reset", "a2", **values)]
        )
        assert len(earlier.lines) == 2

    def test_updates_of_its_upstream_and_events_of_its_instance_are_included(self):
        update = build_line(1.8, "upstream", "c1", upstream="i-1", state="draining")
        foreign = build_line(1.8, "upstream", "c1", upstream="i-2", state="draining")
        start = build_line(2.2, "started", role="entry", address="10.0.0.1:7")
        timeline, _ = build_timeline_of("abc", [PLACED, REQUEST, start], [update, foreign])
        assert [line.event for line in timeline.lines] == [
            "placed",
            "upstream",
            "request",
            "started",
        ]
        assert "a1 started" in timeline.findings

    def test_unanswered_repetitions_are_reported(self):
        values = {"flow": FLOW, "request": "abc", **UPSTREAM_STATE}
        lines = [build_line(at, "repeated", **values) for at in (2.2, 2.6)]
        timeline, _ = build_timeline_of("abc", [PLACED, REQUEST, *lines])
        assert (
            "upstream i-1 left 2 repetitions unanswered within 0.400 s" in timeline.findings[0]
        )

    def test_gap_in_all_logs_before_a_start_is_reported(self):
        start = build_line(4, "started", role="entry", address="10.0.0.1:7")
        timeline, _ = build_timeline_of("abc", [PLACED, REQUEST, start])
        assert any("no process logged for 2.000 s" in finding for finding in timeline.findings)

    def test_missing_events_are_reported(self):
        left_out = build_line(2.1, "left_out", counts={"placed": 3})
        timeline, _ = build_timeline_of("abc", [REQUEST, left_out])
        assert timeline.missing == [
            f"no line with the placement of flow {FLOW}",
            "3 lines about flows were left out at these processes",
        ]

    def test_unknown_request(self):
        timeline, _ = build_timeline_of("nothing", [PLACED, REQUEST])
        assert timeline.lines == []
        assert "no line names nothing" in timeline.missing[0]


class TestBadLines:
    """Invalid lines are counted and listed; the other lines are used."""

    def test_text_before_the_json_is_skipped(self):
        timeline, logs = build_timeline_of("abc", ["  12.5 a1 " + PLACED, "a1: " + REQUEST])
        assert len(timeline.lines) == 2
        assert logs.bad_count == 0

    @pytest.mark.parametrize(
        "text",
        [
            "no JSON",
            "{}",
            '{"time": 5, "event": "placed"}',
            '{"time": "2026-01-01T00:00:00+00:00", "event": "nonsense"}',
            '{"time": "2026-01-01T00:00:00+00:00", "event": ["placed"]}',
            build_line(1, "placed", flow=7),
            build_line(1, "placed", unknown=7),
            REQUEST[:-9],
            "{" * 100_000,
        ],
    )
    def test_invalid_line(self, text):
        timeline, logs = build_timeline_of("abc", [text, PLACED, REQUEST])
        assert logs.bad_count == 1
        assert logs.bad_places[0].startswith("log0:1: ")
        assert len(timeline.lines) == 2

    def test_only_the_first_invalid_lines_are_listed(self):
        _, logs = build_timeline_of("abc", ["x"] * 100)
        assert logs.bad_count == 100
        assert len(logs.bad_places) == MAX_BAD_LINES

    @given(st.lists(st.text(), max_size=5))
    def test_any_text_is_read_or_counted(self, texts):
        _, logs = build_timeline_of("abc", texts)
        assert logs.bad_count + len(logs.lines) == sum(1 for text in texts if text.strip())

    @given(
        st.sampled_from(sorted(EVENTS)),
        st.dictionaries(st.sampled_from(["flow", "request", "counts", "reason"]), st.none()),
    )
    def test_any_fields_are_read_or_counted(self, name, fields):
        _, logs = build_timeline_of("abc", [build_line(1, name, **fields), PLACED, REQUEST])
        assert logs.bad_count + len(logs.lines) == 3


class TestCommand:
    """The command `lycheevalve explain`."""

    def test_text_and_json(self, tmp_path, capsys):
        log = tmp_path / "a1.jsonl"
        log.write_bytes(f"{PLACED}\n{REQUEST}\n".encode() + b"\xff\xfe broken\n")
        explain.explain("abc", str(log))
        text = capsys.readouterr().out
        assert "placed" in text and "invalid lines: 1" in text
        explain.explain("abc", str(log), json=True)
        assert json.loads(capsys.readouterr().out)["flows"] == [FLOW]

    def test_missing_file(self, tmp_path):
        with pytest.raises(SystemExit):
            explain.explain("abc", str(tmp_path / "none"))

    def test_no_file(self):
        with pytest.raises(SystemExit):
            explain.explain("abc")
