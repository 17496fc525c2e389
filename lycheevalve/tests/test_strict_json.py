"""JSON of operators and targets: what other readers refuse is refused, all else is read."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.exceptions import AnnouncementError, SettingsError
from lycheevalve.platform import documents
from lycheevalve.platform.documents import read_document, read_routes
from lycheevalve.platform.heartbeats import read_heartbeat
from lycheevalve.platform.strict_json import MAX_NESTING, read_json
from lycheevalve.tests.fakes.operators import (
    build_heartbeat,
    build_value,
    encode,
)

UNREADABLE = {
    "not UTF-8": b'"\xff"',
    "a surrogate in UTF-8": b'"\xed\xa0\x80"',
    "an escaped lone surrogate": b'"\\ud800"',
    "a lone surrogate in a key": b'{"\\ud800": 1}',
    "another encoding": '{"a": 1}'.encode("utf-16"),
    "a byte order mark": b"\xef\xbb\xbf{}",
    "NaN": b"NaN",
    "an infinite number": b"[-Infinity]",
    "a number beyond a double": b"1e999",
    "an integer beyond a double": b"1" + b"0" * 400,
    "an integer of too many digits": b"1" * 5000,
    "a repeated key": b'{"a": 1, "b": 2, "a": 1}',
    "lists that are nested too deeply": b"[" * 900 + b"]" * 900,
    "objects that are nested too deeply": b'{"a":' * 900 + b"1" + b"}" * 900,
    "nesting beyond the limit of the reader": b"[" * 100_000,
    "a truncated text": b'{"a": ',
    "two values": b"{}{}",
    "no value": b"",
}
unreadable = pytest.mark.parametrize("text", UNREADABLE.values(), ids=UNREADABLE)


def build_json():
    """Return a strategy of values that Python's json module reads."""
    numbers = st.integers() | st.floats() | st.sampled_from([2**31, 2**63, -1, 10**400])
    texts = st.text(st.characters(), max_size=6) | st.just("\ud800")
    return st.recursive(
        st.none() | st.booleans() | numbers | texts,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
        max_leaves=6,
    )


class TestReader:
    """The strict reader."""

    @unreadable
    def test_unreadable_text_is_refused(self, text):
        """Python's reader accepts many of these, and others can't read them."""
        with pytest.raises(ValueError):
            read_json(text)

    def test_nesting_up_to_the_limit_is_read(self):
        """The limit must not depend on the stack of the caller."""
        text = b"[" * MAX_NESTING + b"]" * MAX_NESTING
        assert json.dumps(read_json(text)).encode() == text
        with pytest.raises(ValueError, match="levels of nesting"):
            read_json(b"[" + text + b"]")
        with pytest.raises(ValueError, match="levels of nesting"):
            read_json(b'{"a":' * MAX_NESTING + b"[1]" + b"}" * MAX_NESTING)

    @given(build_json())
    def test_values_are_read_unchanged_or_refused(self, value):
        """A value that is read has the same meaning to other readers."""
        text = json.dumps(value)
        try:
            read = read_json(text.encode())
        except ValueError:
            return
        assert read == value
        assert json.loads(json.dumps(read, allow_nan=False, ensure_ascii=False)) == value


class TestUnreadableParts:
    """One unreadable value anywhere makes a configuration or a heartbeat invalid."""

    def insert(self, body, text):
        """Return the body of an object with the text as the value of another field."""
        return body[:-1] + b', "other": ' + text + b"}"

    @unreadable
    def test_configuration_is_refused(self, text):
        """It was acknowledged; instances could not read it, or operators read it back."""
        with pytest.raises(SettingsError):
            read_document(self.insert(encode(build_value()), text))

    @unreadable
    def test_heartbeat_is_refused(self, text):
        """A heartbeat with bytes that can't be read names no target to use."""
        with pytest.raises(AnnouncementError):
            read_heartbeat("i-7", self.insert(build_heartbeat(), text), 770)

    @pytest.mark.parametrize(
        "text", [b"1e300", b"18446744073709551615", '"ü\U0001f600"'.encode()]
    )
    def test_unknown_fields_are_read(self, text):
        """The strict reader must not refuse the fields of a later version."""
        body = self.insert(encode(build_value()), text)
        assert read_routes(read_document(body).text)
        assert read_heartbeat("i-7", self.insert(build_heartbeat(), text), 770)


class TestReading:
    """The reading of a configuration before it is accepted."""

    def test_configuration_that_instances_cannot_read_is_refused(self, monkeypatch):
        """A change of what instances read must not outrun the checks of the replicas."""

        def build_routes(value):
            raise KeyError("a field that instances need")

        monkeypatch.setattr(documents, "build_routes", build_routes)
        with pytest.raises(SettingsError, match="a field that instances need"):
            read_document(encode(build_value()))


class TestNumbers:
    """Numbers of routes that instances can't calculate with."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"timeoutMs": 10**400},
            {"timeoutMs": 2**63},
            {"targetLatencyMs": 10**400},
            {"targetLatencyMs": float("inf")},
            {"weightedBackends": [{"service": "a", "weight": 10**400}]},
            {"weightedBackends": [{"service": "a", "weight": 2**63}]},
        ],
    )
    def test_number_out_of_range_is_refused(self, changes):
        """It was acknowledged and stored; each instance that read or used it ended."""
        with pytest.raises(SettingsError):
            read_document(encode(build_value(**changes)))

    def test_largest_numbers_are_read(self):
        """The limits must leave the sum of the weights a floating-point number."""
        backends = [{"service": name, "weight": 2**63 - 1} for name in ("a", "b")]
        value = build_value(timeoutMs=2**63 - 1, weightedBackends=backends)
        (route,) = read_routes(read_document(encode(value)).text).values()
        assert float(sum(weight for _, weight in route.backends)) == 2.0**64


class TestLargeObjects:
    """Objects as large as a body may be."""

    # Each key was counted among all keys: a body of 190 KB stopped a replica for 9 seconds.
    def test_repeated_key_among_many_is_found_in_time(self):
        members = ",".join(f'"{number}":0' for number in range(50_000))
        started_at = time.monotonic()
        with pytest.raises(ValueError, match="repeated key '49999'"):
            read_json(f'{{{members},"49999":0}}'.encode())
        assert time.monotonic() - started_at < 5.0
