"""The adapter to the users' platform: the operators' configurations."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.exceptions import SettingsError
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.platform.documents import decompress_document, read_document, read_routes
from lycheevalve.tests.fakes.operators import build_value, encode

FRONT_DOOR = (bytes([198, 18, 0, 1]), 443)
WEIGHTED_BACKENDS = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]


class TestConfigurations:
    """Operators' configurations."""

    def test_text_is_stored_unchanged(self):
        body = json.dumps(build_value(), indent=3).encode()
        document = read_document(body)
        assert document.revision == 7
        assert decompress_document(document.text) == body

    def test_front_doors(self):
        text = read_document(encode(build_value())).text
        route = FrontDoorRoute((("a", 1),), idempotent=True, timeout_seconds=1.5)
        assert read_routes(text) == {FRONT_DOOR: route}

    def test_weights(self):
        value = build_value(
            service=None, weightedBackends=WEIGHTED_BACKENDS, routeType="unsafe"
        )
        routes = read_routes(read_document(encode(value)).text)
        backends = (("a", 90), ("b", 10))
        route = FrontDoorRoute(backends, idempotent=False, timeout_seconds=1.5)
        assert routes == {FRONT_DOOR: route}

    @pytest.mark.parametrize("service", ["a", "", None])
    def test_known_service_beside_weights_is_ignored(self, service):
        """The check of that service must not refuse a route that names a known one or none."""
        value = build_value(service=service, weightedBackends=WEIGHTED_BACKENDS)
        (route,) = read_routes(read_document(encode(value)).text).values()
        assert route.backends == (("a", 90), ("b", 10))

    def test_load_of_a_route(self):
        value = build_value(routeType="upload", targetLatencyMs=800, priority=2)
        value["services"][0] |= {"warmupS": 2.0, "warmupPerS": 0.0}
        (route,) = read_routes(read_document(encode(value)).text).values()
        assert (route.uploads, route.priority, route.target_latency_seconds) == (True, 2, 0.8)
        assert route.warming_services == {value["services"][0]["name"]}

    @pytest.mark.parametrize("value", [None, "2", -1, True, []])
    def test_unreadable_load_of_a_route_counts_as_none(self, value):
        document = build_value(targetLatencyMs=value, priority=value)
        document["services"][0]["warmupS"] = value
        (route,) = read_routes(read_document(encode(document)).text).values()
        assert (route.priority, route.target_latency_seconds) == (0, 0.0)
        assert route.warming_services == frozenset()

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": "unknown"},
            {"service": None},
            {"service": 5},
            {"service": None, "weightedBackends": [{"service": "x", "weight": 1}]},
            {"service": None, "weightedBackends": [{"service": "a", "weight": 0}]},
            {"service": None, "weightedBackends": [{"service": "a"}]},
            {"service": None, "weightedBackends": [{"service": "a", "weight": -1}]},
            {"service": None, "weightedBackends": "a"},
            {"service": "unknown", "weightedBackends": WEIGHTED_BACKENDS},
            {"service": 5, "weightedBackends": WEIGHTED_BACKENDS},
            {"timeoutMs": 0},
            {"timeoutMs": None},
            {"timeoutMs": "1500"},
            {"timeoutMs": True},
            {"host": "front.example"},
            {"host": None},
            {"pathPrefix": "/"},
            {"pathPrefix": "/70000/"},
            {"pathPrefix": None},
            {"name": None},
            {"host": "198.18.1"},
            {"host": "0xc6.18.0.1"},
            {"host": "198.18.0.1 and more"},
            {"host": "198.18.0.1\0"},
            {"host": 3_323_068_417},
            {"pathPrefix": "443"},
            {"pathPrefix": "/4_43/"},
            {"pathPrefix": "/+443/"},
            {"pathPrefix": "/ 443/"},
            {"pathPrefix": "/٤٤٣/"},
            {"pathPrefix": "/443/\n"},
            {"pathPrefix": "/0/"},
        ],
    )
    def test_invalid_route_is_refused(self, changes):
        """An unknown service beside valid weighted backends was acknowledged."""
        with pytest.raises(SettingsError):
            read_document(encode(build_value(**changes)))

    def test_version_that_cannot_be_encoded_is_refused(self):
        """The replica that proposed it ended; the largest one that can be is accepted."""
        with pytest.raises(SettingsError, match="from 1 to 9223372036854775807"):
            read_document(encode(build_value(2**63)))
        assert read_document(encode(build_value(2**63 - 1))).revision == 2**63 - 1

    @pytest.mark.parametrize("version", [0, -1, 1.5, "7", None, True])
    def test_version_must_be_a_positive_integer(self, version):
        with pytest.raises(SettingsError, match="version"):
            read_document(encode(build_value(version)))

    def test_two_routes_with_one_address_are_refused(self):
        value = build_value()
        value["routes"].append(value["routes"][0] | {"name": "r-2"})
        with pytest.raises(SettingsError, match=r"have the same address 198\.18\.0\.1:443"):
            read_document(encode(value))

    def test_truncated_body_is_refused(self):
        body = encode(build_value())
        for size in range(len(body)):
            with pytest.raises(SettingsError):
                read_document(body[:size])

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(["version", "routes", "services", "limits", "name"]), inner
                )
            ),
        )
    )
    def test_any_json_is_refused_or_accepted(self, value):
        try:
            document = read_document(encode(value))
        except SettingsError:
            return
        assert isinstance(read_routes(document.text), dict)

    def test_deep_nesting_is_refused(self):
        with pytest.raises(SettingsError):
            read_document(b"[" * 100_000)
