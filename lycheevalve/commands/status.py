"""`lycheevalve status`: show instances, replicas and revisions."""

from lycheevalve.commands import output
from lycheevalve.commands.client import Client, find_revisions_in_force
from lycheevalve.coordination.evacuations import get_evacuations


def status(overlay, json=False):
    """
    Show the state of a site, by data centre.

    Example: lycheevalve status examples/lagos.toml
    """
    return output.run_async(show_status, overlay, json)


async def show_status(overlay, as_json):
    """Ask all instances and print their merged state."""
    site = await Client.from_overlay(overlay).status()
    in_force = find_revisions_in_force(site)
    states = {}
    for upstream in site.upstreams:
        counts = states.setdefault(upstream.registration.data_centre, {})
        counts[upstream.state] = counts.get(upstream.state, 0) + 1
    evacuated = get_evacuations(site.configuration).data_centres
    data = {
        "accepted_revision": site.accepted,
        "evacuated": evacuated,
        "in_force": in_force,
        "leader": site.leader,
        "replicas": site.replicas,
        "instances": site.instances,
        "upstreams": states,
    }
    text = [f"accepted revision {site.accepted}, leader {site.leader or 'none'}"]
    for data_centre in sorted({entry.data_centre for entry in site.instances}):
        state = ", evacuated" if data_centre in evacuated else ""
        text.append(f"{data_centre}: in force {in_force.get(data_centre, 'unknown')}{state}")
        text += [
            f"  instance {entry.name}: {entry.state}, revision {entry.applied}"
            + (f", replica {entry.role}" if entry.name in site.replicas else "")
            for entry in site.instances
            if entry.data_centre == data_centre
        ]
        counts = states.get(data_centre, {})
        text += [f"  upstreams {state}: {count}" for state, count in sorted(counts.items())]
    output.print_result(data, text, as_json)
