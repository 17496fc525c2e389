"""`lycheevalve evacuate` and `restore`: empty a data centre of new work, and take it back."""

import getpass
import uuid

from lycheevalve.commands import output
from lycheevalve.commands.apply import propose
from lycheevalve.commands.client import Client
from lycheevalve.exceptions import SettingsError
from lycheevalve.schema.generated.messages import Change


def evacuate(overlay, data_centre, wait=0, json=False):
    """
    Stop new flows and requests for all upstreams of a data centre; existing ones finish.

    Example: lycheevalve evacuate examples/lagos.toml ikeja-a --wait 15
    """
    return output.run_async(
        change_evacuations, overlay, data_centre, float(wait), json, "evacuates"
    )


def restore(overlay, data_centre, wait=0, json=False):
    """
    Resume new flows and requests for the upstreams of an evacuated data centre.

    Example: lycheevalve restore examples/lagos.toml ikeja-a
    """
    return output.run_async(
        change_evacuations, overlay, data_centre, float(wait), json, "restores"
    )


async def change_evacuations(overlay, data_centre, wait, as_json, order):
    """Propose an order about a data centre, which never conflicts with other changes."""
    client = Client.from_overlay(overlay)
    if data_centre not in client.site.data_centres:
        known = ", ".join(client.site.data_centres)
        reason = f"unknown data centre {data_centre!r}; the site has {known}"
        raise SettingsError(reason, "check order", str(overlay))
    change = Change(
        change_id=uuid.uuid4().hex,
        author=getpass.getuser(),
        ignore_base=True,
        **{order: [data_centre]},
    )
    await propose(client, change, wait, as_json)
