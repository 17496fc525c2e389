"""The routes of front doors to services."""

import attrs


@attrs.frozen
class FrontDoorRoute:
    """
    The services behind a front door: `backends` is ((name, weight), ...).

    If requests are idempotent, callers retry them when their flow is reset. Upstreams of
    the services in `warming_services` get no flow before they have warmed up. `priority` is
    0 for the most urgent requests. `uploads` states that callers send much and receive
    little.
    """

    backends: tuple
    idempotent: bool = False
    warming_services: frozenset = frozenset()
    priority: int = 0
    uploads: bool = False
    # How soon a request should be answered, and when its caller gives up.
    target_latency_seconds: float = 0.0
    timeout_seconds: float = 0.0


def list_services(routes):
    """Return the names of the services behind the routes, a mapping by front door."""
    return frozenset(service for route in routes.values() for service, _ in route.backends)


# Stands for the route of any front door until settings are applied.
UNKNOWN_ROUTE = FrontDoorRoute(())
