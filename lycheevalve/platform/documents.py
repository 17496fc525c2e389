"""
The operators' configurations: checked, compressed, and read into front doors.

The text is kept as it was written, since it must be read back whole; the
product's log carries it under its number.
"""

import json
import socket
import zlib

import attrs

from lycheevalve.exceptions import SettingsError
from lycheevalve.flows.steering import Door

STEP = "check configuration"
MAX_PORT = 65_535
# The kinds of routes whose requests callers may repeat.
IDEMPOTENT = ("safe", "download")
# Level 1 takes a third of the processor time of the default, for an eighth more bytes
# (350 routes: 0.11 and 0.33 ms, 2,926 and 2,582 bytes).
COMPRESSION_LEVEL = 1


@attrs.frozen
class Document:
    """A configuration that was checked: its number and the compressed text."""

    revision: int
    text: bytes


def read_document(body):
    """Return the Document of an operator's request; raise SettingsError."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"not JSON: {error}", STEP) from error
    check_document(value)
    return Document(value["version"], zlib.compress(bytes(body), COMPRESSION_LEVEL))


def decompress_document(text):
    """Return the operators' text."""
    return zlib.decompress(text)


def read_doors(text):
    """Return the front doors of a compressed text, by (packed address, port)."""
    value = json.loads(zlib.decompress(text))
    return {
        read_place(route): Door(read_backends(route), route.get("routeType") in IDEMPOTENT)
        for route in value.get("routes", ())
    }


def read_place(route):
    """Return where a route's packets go to: (packed address, port)."""
    return socket.inet_aton(route["host"]), int(route["pathPrefix"].strip("/"))


def read_backends(route):
    """Return the services of a route as ((name, weight), ...)."""
    weighted = route.get("weightedBackends")
    if weighted:
        return tuple((backend["service"], backend["weight"]) for backend in weighted)
    return ((route["service"], 1),)


def is_integer(value, least=0):
    """Return whether a value is a whole number that is large enough."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= least


def require(condition, reason):
    """Raise SettingsError unless the condition holds."""
    if not condition:
        raise SettingsError(reason, STEP)


def check_document(value):
    """Raise SettingsError for a configuration that can't be used."""
    require(isinstance(value, dict), "a configuration is an object")
    require(is_integer(value.get("version"), 1), "version must be a positive integer")
    for key in ("routes", "services"):
        require(isinstance(value.get(key), list), f"{key} must be a list")
    limits = value.get("limits", {})
    require(isinstance(limits, dict), "limits must be an object")
    names = check_services(value["services"])
    places = {}
    for route in value["routes"]:
        place = check_route(route, names)
        other = places.setdefault(place, route["name"])
        require(other == route["name"], f"routes {other} and {route['name']} share a place")
    require(len(places) == len(value["routes"]), "two routes share a place")


def check_services(services):
    """Return the names of the services; raise SettingsError."""
    names = set()
    for service in services:
        require(isinstance(service, dict), "a service is an object")
        name = service.get("name")
        require(isinstance(name, str) and name, "a service needs a name")
        require(name not in names, f"service {name} stands twice")
        names.add(name)
    return names


def check_route(route, services):
    """Return the place of a route; raise SettingsError."""
    require(isinstance(route, dict), "a route is an object")
    name = route.get("name")
    require(isinstance(name, str) and name, "a route needs a name")
    require(is_integer(route.get("timeoutMs"), 1), f"route {name}: timeoutMs must be above 0")
    for backend in check_backends(route, name):
        require(backend in services, f"route {name}: unknown service {backend!r}")
    try:
        place = read_place(route)
    except (KeyError, ValueError, OSError, TypeError, AttributeError) as error:
        raise SettingsError(f"route {name}: no address and port: {error!r}", STEP) from error
    require(0 < place[1] <= MAX_PORT, f"route {name}: no port")
    return place


def check_backends(route, name):
    """Return the names of a route's services; raise SettingsError."""
    weighted = route.get("weightedBackends")
    if weighted is None or weighted == []:
        service = route.get("service")
        require(isinstance(service, str) and service, f"route {name}: needs a service")
        return [service]
    require(isinstance(weighted, list), f"route {name}: weightedBackends must be a list")
    for backend in weighted:
        good = isinstance(backend, dict) and isinstance(backend.get("service"), str)
        require(good, f"route {name}: a backend needs a service")
        require(is_integer(backend.get("weight")), f"route {name}: a backend needs a weight")
    total = sum(backend["weight"] for backend in weighted)
    require(total > 0, f"route {name}: all weights are 0")
    return [backend["service"] for backend in weighted]
