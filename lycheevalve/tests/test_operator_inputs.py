"""Arbitrary calls of operators and targets: what is acknowledged can be sent and read."""

import json

from hypothesis import example, given, settings
from hypothesis import strategies as st

from lycheevalve.platform.documents import decompress_document, read_routes
from lycheevalve.schema import lookups
from lycheevalve.schema.frames import decode_struct, encode_struct
from lycheevalve.schema.generated.messages import Change, Registration
from lycheevalve.tests.fakes.operators import (
    FakeProcess,
    build_heartbeat,
    build_value,
    call,
    encode,
)

LOOKUP_KEY = lookups.derive_key(b"a key of the tests")
# Calls are short, and few arbitrary values lie near a limit.
many_examples = settings(max_examples=400)
TEXTS = st.sampled_from(["a", "b", "ready", "\ud800", "night\udfff", "ü", "/8_0/"])
# Values near the limits of the schema and of floating-point numbers.
LIMITS = [2**31 - 1, 2**31, 2**62, 2**63 - 1, 2**63, 2**64, 10**400, 1e300, float("inf")]
VALUES = st.one_of(
    TEXTS,
    st.sampled_from(LIMITS),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=300),
        lambda inner: st.lists(inner, max_size=2) | st.dictionaries(TEXTS, inner, max_size=2),
        max_leaves=4,
    ),
)


def build_changed(valid, max_size=1):
    """Return a strategy of objects with arbitrary values in some of the fields of one."""
    fields = st.sampled_from([*valid, "other"])
    changes = st.dictionaries(fields, VALUES, max_size=max_size)
    removed = st.sampled_from([*valid, *([None] * 3 * len(valid))])
    return st.builds(
        lambda changed, left_out: {
            key: value for key, value in (valid | changed).items() if key != left_out
        },
        changes,
        removed,
    )


def build_configurations():
    """Return a strategy of configurations, valid ones with up to a few changes."""
    valid = build_value()
    route = valid["routes"][0]
    backend = {"service": "a", "weight": 1}
    backends = st.lists(build_changed(backend), max_size=2)
    routes = st.lists(
        build_changed(route)
        | st.builds(lambda weighted: route | {"weightedBackends": weighted}, backends),
        max_size=2,
    )
    outer = build_changed(valid)
    return st.builds(
        lambda value, changed, is_changed: value | {"routes": changed} if is_changed else value,
        outer,
        routes,
        st.booleans(),
    )


def build_bodies(values):
    """Return a strategy of bodies, some with a changed byte or cut."""

    def build_body(value, is_ascii, position, byte, damage):
        text = json.dumps(value, ensure_ascii=is_ascii)
        body = text.encode(errors="surrogatepass")
        position = min(position, len(body))
        return {
            "none": body,
            "changed": body[:position] + bytes([byte]) + body[position + 1 :],
            "cut": body[:position],
        }[damage]

    damages = st.sampled_from(["none"] * 6 + ["changed", "cut"])
    return st.builds(
        build_body, values, st.booleans(), st.integers(0, 400), st.integers(0, 255), damages
    )


class TestAcknowledged:
    """Nothing is acknowledged that a process could not send, store or read later."""

    @many_examples
    @example(build_heartbeat(slots=2**31))
    @example(build_heartbeat(zone="ikeja\ud800"))
    @given(build_bodies(build_changed(json.loads(build_heartbeat()), max_size=2)))
    def test_heartbeat(self, body):
        """Processes ended by heartbeats that had been acknowledged."""
        process = FakeProcess()
        status = call(process, "POST", "/Instances.Heartbeat/i-7f3a91c2", body).status
        assert (status, len(process.announced)) in ((200, 1), (400, 0))
        for registration in process.announced:
            encoded = encode_struct(registration)
            assert decode_struct(Registration, encoded) == registration
            later = Registration(sequence=registration.sequence + 1)
            assert decode_struct(Registration, encode_struct(later)) == later
            self.check_lookups(registration)

    def check_lookups(self, registration):
        """Check that a registration survives the table and the answers of lookups."""
        name, slots = registration.name, registration.slots
        target = lookups.Target(1, (b"abcd", 80), slots, False, name)
        table = lookups.encode_table(LOOKUP_KEY, [target])
        assert [t.name for t in lookups.decode_table(LOOKUP_KEY, table)] == [name]

    @many_examples
    @example(encode(build_value(2**63)))
    @example(encode(build_value(timeoutMs=10**400)))
    @given(build_bodies(build_configurations()))
    def test_configuration(self, body):
        """Processes ended by configurations that had been acknowledged and stored."""
        process = FakeProcess()
        status = call(process, "POST", "/Config.Replace", body).status
        assert (status, len(process.proposed)) in ((200, 1), (400, 0))
        for change in process.proposed:
            assert decode_struct(Change, encode_struct(change)) == change
            assert decompress_document(change.document) == body
            value = json.loads(body.decode())
            routes = read_routes(change.document)
            assert len(routes) == len(value["routes"])
            for route in routes.values():
                assert route.timeout_seconds > 0
                assert float(sum(weight for _, weight in route.backends)) > 0
                assert {name for name, _ in route.backends} <= {
                    service["name"] for service in value["services"]
                }

    @many_examples
    @given(
        st.sampled_from(["POST", "POST", "POST", "GET", "HEAD", "DELETE", "X"]),
        st.sampled_from(
            [
                "/Config.Replace",
                "/Config.Read",
                "/Instances.Heartbeat/",
                "/Instances.Deregister/",
                "/Evacuations.Start/",
                "/Evacuations.Stop/",
                "*",
                "http://other/",
            ]
        ),
        TEXTS | st.text() | st.just("ikeja-a"),
        st.binary(max_size=20),
    )
    def test_any_call_is_answered(self, method, path, name, body):
        """The error of one call must not leave its handler."""
        process = FakeProcess()
        response = call(process, method, path + name, body)
        assert response.status in (200, 400, 404)
        for change in process.proposed:
            assert decode_struct(Change, encode_struct(change)) == change
