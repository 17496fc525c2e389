"""`lycheevalve diff`: show what `apply` would change."""

from lycheevalve.commands import output
from lycheevalve.commands.client import Client
from lycheevalve.config.site import diff_services, load_site


def diff(base, overlay, json=False):
    """
    Show what `apply` would change in the accepted configuration.

    Example: lycheevalve diff examples/base.toml examples/lagos.toml
    """
    return output.run_async(show_diff, base, overlay, json)


async def show_diff(base, overlay, as_json):
    """Compare the files with the newest configuration of the site."""
    files = load_site(base, overlay)
    status = await Client.from_overlay(overlay).status()
    puts, deletes = diff_services(status.configuration.services, files.services)
    existing = {service.name for service in status.configuration.services}
    signs = {True: "~", False: "+"}
    text = [f"{signs[service.name in existing]} {service.name}" for service in puts]
    text += [f"- {name}" for name in deletes]
    revision = status.configuration.revision
    data = {"revision": revision, "puts": puts, "deletes": deletes}
    output.print_result(data, text or [f"no difference to revision {revision}"], as_json)
