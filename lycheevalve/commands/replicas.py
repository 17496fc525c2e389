"""`lycheevalve replicas`: add or remove one replica."""

import uuid

from lycheevalve.commands import output
from lycheevalve.commands.apply import PROPOSE_TIMEOUT_SECONDS, raise_if_not_accepted
from lycheevalve.commands.client import Client
from lycheevalve.schema.generated.messages import ChangeMembers


def replicas(overlay, add="", remove="", json=False):
    """
    Add or remove one replica of the configuration.

    Example: lycheevalve replicas examples/lagos.toml --add a4
    """
    return output.run_async(change_replicas, overlay, add, remove, json)


async def change_replicas(overlay, add, remove, as_json):
    """Propose the membership change to the leader."""
    change = ChangeMembers(uuid.uuid4().hex, add, remove)
    result = await Client.from_overlay(overlay).propose(change, PROPOSE_TIMEOUT_SECONDS)
    raise_if_not_accepted(result)
    output.print_result({"added": add, "removed": remove}, ["accepted"], as_json)
