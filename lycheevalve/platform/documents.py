"""
The operators' configurations: validation, compression and the front doors in them.

The text is stored as it was sent, since operators read it back unchanged; the
replicated log holds it, compressed, under its revision.
"""

import ipaddress
import json
import re
import socket
import zlib

import attrs

from lycheevalve.exceptions import SettingsError
from lycheevalve.flows.front_doors import FrontDoorRoute
from lycheevalve.platform.strict_json import read_json
from lycheevalve.schema.encodable import find_error
from lycheevalve.schema.generated.messages import Change

STEP = "check configuration"
MAX_PORT = 65_535
PATH_PREFIX = re.compile("/[0-9]{1,5}/")
# Route types whose requests are idempotent, so that callers may repeat them.
IDEMPOTENT_ROUTE_TYPES = ("safe", "download")
UPLOAD_ROUTE_TYPE = "upload"
# Level 1 takes a third of the default level's CPU time and an eighth more bytes
# (350 routes: 0.11 ms and 2,926 bytes, against 0.33 ms and 2,582 bytes).
COMPRESSION_LEVEL = 1
# Sums of such numbers can be converted to floating-point numbers.
MAX_INTEGER = 2**63 - 1
# What the content of a document may raise while it is read.
CONTENT_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)


@attrs.frozen
class Document:
    """A valid configuration: its revision and the compressed text."""

    revision: int
    text: bytes

    def build_change(self):
        """Return the Change that puts this configuration in force."""
        return Change(
            change_id=f"{self.revision}", target_revision=self.revision, document=self.text
        )


def read_document(body):
    """Return the Document of a request's body; raise SettingsError when it is invalid."""
    try:
        value = read_json(body)
    except ValueError as error:
        raise SettingsError(f"configuration is not valid JSON: {error}", STEP) from error
    check_document(value)
    document = Document(value["version"], zlib.compress(bytes(body), COMPRESSION_LEVEL))
    check_encodable(document.build_change())
    # Instances read the routes from the text, from their disks also after a restart.
    check_routes(value)
    return document


def check_encodable(change):
    """Raise SettingsError when a Change can't be encoded for other processes."""
    require(not (reason := find_error(change)), reason)


def decompress_document(text):
    """Return the operators' text of a compressed document."""
    return zlib.decompress(text)


def read_routes(text):
    """
    Return the routes of a compressed document by (packed address, port).

    Raise SettingsError when it is unreadable, as one may be that an earlier version accepted.
    """
    try:
        value = json.loads(zlib.decompress(text))
    except CONTENT_ERRORS as error:
        raise SettingsError(f"unreadable: {error!r}", "read configuration") from error
    return check_routes(value)


def check_routes(value):
    """Return the routes of a decoded document; raise SettingsError when one is unreadable."""
    try:
        return build_routes(value)
    except CONTENT_ERRORS as error:
        raise SettingsError(f"unreadable: {error!r}", "read configuration") from error


def build_routes(value):
    """Return the routes of a decoded document by (packed address, port)."""
    warming = frozenset(
        service["name"]
        for service in value.get("services", ())
        if is_number(service.get("warmupS")) and service["warmupS"] > 0
    )
    return {
        read_front_door_address(route): read_route(route, warming)
        for route in value.get("routes", ())
    }


def read_route(route, warming):
    """Return the FrontDoorRoute of a route; `warming` are the services with a warm-up."""
    backends = read_backends(route)
    latency_ms, priority = route.get("targetLatencyMs"), route.get("priority")
    return FrontDoorRoute(
        backends,
        idempotent=route.get("routeType") in IDEMPOTENT_ROUTE_TYPES,
        warming_services=warming & {service for service, _ in backends},
        priority=priority if is_integer(priority) else 0,
        uploads=route.get("routeType") == UPLOAD_ROUTE_TYPE,
        target_latency_seconds=latency_ms / 1000 if is_number(latency_ms) else 0.0,
        timeout_seconds=route["timeoutMs"] / 1000,
    )


def read_front_door_address(route):
    """Return the (packed address, port) of a route's front door."""
    return socket.inet_aton(route["host"]), int(route["pathPrefix"].strip("/"))


def read_backends(route):
    """Return the services of a route as ((name, weight), ...)."""
    weighted = route.get("weightedBackends")
    if weighted:
        # Flows are distributed by the sum of the weights as a floating-point number.
        float(sum(backend["weight"] for backend in weighted))
        return tuple((backend["service"], backend["weight"]) for backend in weighted)
    return ((route["service"], 1),)


def is_integer(value, minimum=0):
    """Return whether a value is an integer from `minimum` to MAX_INTEGER."""
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return minimum <= value <= MAX_INTEGER


def is_number(value):
    """Return whether a value is a number of at least 0."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0


def require(condition, reason):
    """Raise SettingsError unless the condition holds."""
    if not condition:
        raise SettingsError(reason, STEP)


def check_document(value):
    """Raise SettingsError when a configuration is invalid."""
    require(isinstance(value, dict), "configuration must be a JSON object")
    require(
        is_integer(value.get("version"), 1),
        f"version must be an integer from 1 to {MAX_INTEGER}",
    )
    for key in ("routes", "services"):
        require(isinstance(value.get(key), list), f"{key} must be a list")
    limits = value.get("limits", {})
    require(isinstance(limits, dict), "limits must be a JSON object")
    names = check_services(value["services"])
    names_by_address = {}
    for route in value["routes"]:
        address = check_route(route, names)
        other = names_by_address.setdefault(address, route["name"])
        require(
            other == route["name"],
            f"routes {other} and {route['name']} have the same address "
            f"{route['host']}:{address[1]}",
        )
    require(
        len(names_by_address) == len(value["routes"]),
        "two routes have the same name and the same address",
    )


def check_services(services):
    """Return the names of the services; raise SettingsError when one is invalid."""
    names = set()
    for service in services:
        require(isinstance(service, dict), "each entry of services must be a JSON object")
        name = service.get("name")
        require(
            isinstance(name, str) and name, "each service must have a name, a non-empty string"
        )
        require(name not in names, f"service {name} is defined twice")
        names.add(name)
    return names


def check_route(route, services):
    """Return the (packed address, port) of a route; raise SettingsError when it is invalid."""
    require(isinstance(route, dict), "each entry of routes must be a JSON object")
    name = route.get("name")
    require(isinstance(name, str) and name, "each route must have a name, a non-empty string")
    require(
        is_integer(route.get("timeoutMs"), 1),
        f"route {name}: timeoutMs must be an integer from 1 to {MAX_INTEGER}",
    )
    for backend in check_backends(route, name):
        require(backend in services, f"route {name}: unknown service {backend!r}")
    return check_front_door(route, name)


def check_front_door(route, name):
    """Return the (packed address, port) of a route; raise SettingsError for an invalid one."""
    host, prefix = route.get("host"), route.get("pathPrefix")
    # Other parsers of addresses and numbers accept more, such as `198.18.1` and `4_43`.
    try:
        ipaddress.IPv4Address(host if isinstance(host, str) else "")
    except ValueError as error:
        raise SettingsError(f"route {name}: invalid host: {error}", STEP) from error
    require(
        isinstance(prefix, str) and PATH_PREFIX.fullmatch(prefix),
        f"route {name}: pathPrefix must be a port between slashes",
    )
    address = read_front_door_address(route)
    require(
        0 < address[1] <= MAX_PORT,
        f"route {name}: the port in pathPrefix must be from 1 to 65535",
    )
    return address


def check_backends(route, name):
    """Return the names of a route's services; raise SettingsError for invalid backends."""
    service, weighted = route.get("service"), route.get("weightedBackends")
    require(
        service is None or isinstance(service, str), f"route {name}: service must be a string"
    )
    # A service beside weighted backends gets no flows, but must be known all the same.
    services = [service] if service else []
    if weighted is None or weighted == []:
        require(services, f"route {name}: service must be a non-empty string")
        return services
    require(isinstance(weighted, list), f"route {name}: weightedBackends must be a list")
    for backend in weighted:
        is_valid = isinstance(backend, dict) and isinstance(backend.get("service"), str)
        require(is_valid, f"route {name}: each backend must name a service")
        require(
            is_integer(backend.get("weight")),
            f"route {name}: each weight must be an integer from 0 to {MAX_INTEGER}",
        )
    total = sum(backend["weight"] for backend in weighted)
    require(total > 0, f"route {name}: at least one weight must be above 0")
    return services + [backend["service"] for backend in weighted]
