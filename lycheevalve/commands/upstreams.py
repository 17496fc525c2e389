"""`lycheevalve upstreams`: list the upstreams with their flows and requests."""

from lycheevalve.commands import output
from lycheevalve.commands.client import Client


def upstreams(overlay, service="", json=False):
    """
    List the upstreams of one service or of all services.

    Example: lycheevalve upstreams examples/lagos.toml --service nightsync
    """
    return output.run_async(show_upstreams, overlay, service, json)


async def show_upstreams(overlay, service, as_json):
    """Print each upstream with its state, flows and requests."""
    status = await Client.from_overlay(overlay).status()
    listed = [
        upstream
        for upstream in status.upstreams
        if service in ("", upstream.registration.service_name)
    ]
    text = [
        f"{u.registration.address} {u.registration.service_name} "
        f"{u.registration.data_centre}: {u.state}, {u.flows} flows, "
        f"{u.outstanding} requests, reports {u.registration.busy} busy of "
        f"{u.registration.slots} slots"
        for u in listed
    ]
    output.print_result(listed, text or ["no upstreams"], as_json)
