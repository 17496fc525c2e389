"""Heartbeats of another writer, which name no target to use."""

import json

import pytest

from lycheevalve.exceptions import AnnouncementError
from lycheevalve.platform.heartbeats import read_heartbeat
from lycheevalve.tests.fakes.operators import build_heartbeat, encode

# Values that a field of a heartbeat can't have; None stands for a field that is missing.
ODD_TEXTS = [None, "", 5, 1.5, True, [], {}, [[["v1"]]], "s" * 256, "night\ud800"]
ODD_NUMBERS = [None, "2", -1, 1.5, True, [], {}, [[[2]]], 2**31, 2**62, 10**400, 1e300]
ODD_ADDRESSES = [
    *ODD_TEXTS,
    "nowhere",
    "10.128.0.9",
    "10.128.0.9:",
    "10.128.0.9:0",
    "10.128.0.9:-1",
    "10.128.0.9:65536",
    "10.128.0.9:" + "9" * 200,
    "10.128.0.9:８０８０",
    "10.128.0.9:8080:1",
    "10.128.0.256:8080",
    "[::1]:8080",
    "0.0.0.0:8080",
    "0.1.2.3:8080",
    "224.0.0.1:8080",
    "240.0.0.1:8080",
    "255.255.255.255:8080",
]
ODD_FIELDS = {
    "service": ODD_TEXTS,
    "address": ODD_ADDRESSES,
    "zone": ODD_TEXTS,
    "version": ODD_TEXTS,
    "slots": ODD_NUMBERS,
    "state": [*ODD_TEXTS, "sleeping", "READY"],
    "warmupLeftMs": ODD_NUMBERS,
    "sequence": ODD_NUMBERS,
    "born": [*ODD_NUMBERS[:-5], 2**62, 4_102_444_800_001, 10**400, 1e300],
}


class TestOddHeartbeats:
    """
    Heartbeats of another writer, with one odd field.

    Guards against a living target that is displaced by an entry that names no target: its open
    flows were reset, and its own heartbeats were ignored from then on.
    """

    @pytest.mark.parametrize(
        ("key", "value"),
        [(key, value) for key, values in ODD_FIELDS.items() for value in values],
    )
    def test_one_odd_field_is_refused(self, key, value):
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", build_heartbeat(**{key: value}), 770)

    @pytest.mark.parametrize("key", ODD_FIELDS)
    def test_null_is_refused(self, key):
        value = json.loads(build_heartbeat()) | {key: None}
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", encode(value), 770)

    @pytest.mark.parametrize("key", ODD_FIELDS)
    def test_repeated_field_is_refused(self, key):
        body = build_heartbeat()
        value = encode(json.loads(body)[key])
        repeated = body[:-1] + b', "' + key.encode() + b'": ' + value + b"}"
        with pytest.raises(AnnouncementError, match="repeated key"):
            read_heartbeat("i-7", repeated, 770)

    @pytest.mark.parametrize("depth", [33, 900, 30_000])
    def test_deeply_nested_field_is_refused(self, depth):
        nested = b"[" * depth + b"]" * depth
        body = build_heartbeat(version="nested").replace(b'"nested"', nested)
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", body, 770)

    def test_unknown_fields_are_ignored(self):
        """New fields may come, so they are no reason to refuse a heartbeat."""
        registration = read_heartbeat("i-7", build_heartbeat(load=[{"a": 1.5}]), 770)
        assert registration.service_name == "nightsync"
