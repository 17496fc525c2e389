"""`lycheevalve drain` and `undrain`: stop or resume new work for upstreams."""

import getpass
import uuid

from lycheevalve.commands import output
from lycheevalve.commands.apply import propose
from lycheevalve.commands.client import Client
from lycheevalve.schema.generated.messages import Change


def drain(overlay, *upstreams, wait=0, json=False):
    """
    Stop new flows and requests for upstreams (ip:port); existing ones finish.

    Example: lycheevalve drain examples/lagos.toml 127.0.0.1:7301 --wait 15
    """
    return output.run_async(change_drains, overlay, list(upstreams), [], float(wait), json)


def undrain(overlay, *upstreams, wait=0, json=False):
    """
    Resume new flows and requests for drained upstreams.

    Example: lycheevalve undrain examples/lagos.toml 127.0.0.1:7301
    """
    return output.run_async(change_drains, overlay, [], list(upstreams), float(wait), json)


async def change_drains(overlay, drains, undrains, wait, as_json):
    """Propose a change of the drained upstreams, which never conflicts with other changes."""
    change = Change(
        change_id=uuid.uuid4().hex,
        drains=drains,
        undrains=undrains,
        author=getpass.getuser(),
        ignore_base=True,
    )
    await propose(Client.from_overlay(overlay), change, wait, as_json)
