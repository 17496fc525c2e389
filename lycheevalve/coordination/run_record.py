"""
The record of the current run in a data folder, which the next start reads.

It is JSON, so that operators can read it. The state of a run is RUNNING until the process
ends; a start that finds this state follows an end without a last log line: the process was
killed, or power was lost.
"""

import json

import attrs

from lycheevalve.coordination.storage import replace_file

FILE_NAME = "run.json"
RUNNING = "running"
# How a process ended: after a signal to stop, because of invalid settings or an error,
# without a record, or not known because the record is damaged.
STOPPED, SETTINGS, ERROR, LOST, UNKNOWN = "stopped", "settings", "error", "lost", "unknown"
REASONS = (STOPPED, SETTINGS, ERROR, LOST, UNKNOWN)
MAX_FILE_BYTES = 64 * 1024
# A higher count in a file is damage; floats represent all counts up to it.
MAX_COUNT = 2**53


@attrs.frozen
class RunRecord:
    """The state of a run, details of its end, and the number of earlier ends by reason."""

    state: str
    details: dict = attrs.field(factory=dict)
    ends: dict = attrs.field(factory=dict)


def read_run_record(folder):
    """Return the RunRecord of a folder, or None without one; raise OSError on failure."""
    try:
        with open(folder / FILE_NAME, "rb") as file:
            data = file.read(MAX_FILE_BYTES)
    except FileNotFoundError:
        return None
    try:
        return parse_run_record(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return RunRecord(UNKNOWN, {"error": f"damaged record {FILE_NAME}: {error!r}"})


def parse_run_record(values):
    """Return the RunRecord of decoded JSON; raise ValueError or TypeError if it is invalid."""
    state, details, ends = values["state"], values["details"], values["ends"]
    if state not in (RUNNING, *REASONS):
        raise ValueError(f"unknown state {state!r}")
    if not isinstance(details, dict):
        raise TypeError("details must be an object")
    for reason, count in ends.items():
        if reason not in REASONS or type(count) is not int or not 0 <= count < MAX_COUNT:
            raise ValueError(f"invalid count of ends: {reason} {count!r}")
    return RunRecord(state, details, ends)


def write_run_record(folder, record):
    """Write the RunRecord of a folder; raise OSError on failure."""
    replace_file(folder / FILE_NAME, json.dumps(attrs.asdict(record)).encode())


def get_reason(record):
    """Return why the run of a record ended."""
    return LOST if record.state == RUNNING else record.state


def count_ends(record):
    """Return the number of ends by reason, including that of the record's run."""
    reason = get_reason(record)
    return record.ends | {reason: record.ends.get(reason, 0) + 1}
