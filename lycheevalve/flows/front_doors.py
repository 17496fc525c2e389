"""Packets of callers to front doors, and the routes of front doors to services."""

import attrs


@attrs.define
class Packet:
    """
    A caller's packet, as decoded by the codec.

    `flow_key` identifies the flow, `front_door` is (ip, port), `copy` counts the
    retransmissions of an opening packet, and `raw` is the encoded packet.
    """

    flow_key: bytes
    front_door: tuple
    cookie: int
    opens: bool
    copy: int
    ends: bool
    sequence: int
    acknowledged: int
    size: int
    raw: bytes
    # The id of the request that begins in its data, if any.
    request: str = ""


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


# Stands for the route of any front door until settings are applied.
UNKNOWN_ROUTE = FrontDoorRoute(())
