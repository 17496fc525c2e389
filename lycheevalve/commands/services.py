"""`lycheevalve services`: list the services in force."""

from lycheevalve.commands import output
from lycheevalve.commands.client import Client


def services(overlay, json=False):
    """
    List the services of the newest configuration in force.

    Example: lycheevalve services examples/lagos.toml
    """
    return output.run_async(show_services, overlay, json)


async def show_services(overlay, as_json):
    """Print each service with its front doors and data centres."""
    status = await Client.from_overlay(overlay).status()
    configuration = status.configuration
    text = [f"revision {configuration.revision}"]
    for service in configuration.services:
        front_doors = ", ".join(
            f"{front_door.kind} {front_door.address}" for front_door in service.front_doors
        )
        text.append(f"{service.name}: {front_doors}; in {', '.join(service.data_centres)}")
    output.print_result(configuration, text, as_json)
