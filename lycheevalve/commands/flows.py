"""`lycheevalve flows`: show the placement of a flow."""

from lycheevalve.commands import output
from lycheevalve.commands.client import Client
from lycheevalve.config import options
from lycheevalve.exceptions import SettingsError
from lycheevalve.schema.generated.messages import FlowRequest


def flows(overlay, caller, front_door, json=False):
    """
    Show the upstream of a caller's flow to a front door, and the reason.

    Example: lycheevalve flows examples/lagos.toml 10.1.2.3:5000 127.0.0.1:7001
    """
    return output.run_async(show_flow, overlay, caller, front_door, json)


async def show_flow(overlay, caller, front_door, as_json):
    """Ask all instances; the answer of one that has pinned the flow takes precedence."""
    for name, value in (("caller", caller), ("front door", front_door)):
        if options.check_address(value) is not None:
            raise SettingsError(
                f"{name} {value!r} must be {options.check_address(value)}", "flows"
            )
    client = Client.from_overlay(overlay)
    answers, errors = await client.request_all(FlowRequest(caller, front_door))
    if not answers:
        raise ExceptionGroup("no instance answered", errors)
    flow = next(
        (answer for answer in answers if answer.reason.startswith("pinned")), answers[0]
    )
    text = [
        f"key {flow.key}, shard {flow.shard}, owners in order: {', '.join(flow.owners)}",
        f"upstream {flow.upstream or 'none'}: {flow.reason}",
    ]
    output.print_result(flow, text, as_json)
