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

    If requests are idempotent, callers retry them when their flow is reset.
    """

    backends: tuple
    idempotent: bool = False


# Stands for the route of any front door until settings are applied.
UNKNOWN_ROUTE = FrontDoorRoute(())
