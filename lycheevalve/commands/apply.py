"""`lycheevalve apply`: propose a configuration to the replicas."""

import getpass
import uuid

import trio

from lycheevalve.commands import output
from lycheevalve.commands.client import Client, find_revisions_in_force
from lycheevalve.config.site import diff_services, load_site
from lycheevalve.coordination.configuration import Outcome
from lycheevalve.exceptions import ConflictError, SettingsError, UnavailableError
from lycheevalve.schema.generated.messages import Change

PROPOSE_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.1


def apply(base, overlay, revision=None, change_id="", wait=0, author="", json=False):
    """
    Apply base and overlay as the configuration of the site.

    REVISION is the revision that the change is based on (by default the newest);
    if another change was accepted after it, the command names that change.
    CHANGE_ID makes it safe to send the change again after a lost answer. With
    WAIT seconds, the command waits until the change is in force in every data
    centre.

    Example: lycheevalve apply examples/base.toml examples/lagos.toml --wait 15
    """
    return output.run_async(
        apply_files, base, overlay, revision, str(change_id), float(wait), author, json
    )


async def apply_files(base, overlay, revision, change_id, wait, author, as_json):
    """Propose the difference between the files and the accepted configuration."""
    files = load_site(base, overlay)
    client = Client.from_overlay(overlay)
    status = await client.status()
    puts, deletes = diff_services(status.configuration.services, files.services)
    change = Change(
        change_id=change_id or uuid.uuid4().hex,
        base_revision=status.accepted if revision is None else int(revision),
        puts=puts,
        deletes=deletes,
        author=author or getpass.getuser(),
    )
    await propose(client, change, wait, as_json)


async def propose(client, change, wait, as_json):
    """Propose a change, print its result and optionally wait until it is in force."""
    result = await client.propose(change, PROPOSE_TIMEOUT_SECONDS)
    raise_if_not_accepted(result)
    data = {"change_id": result.change_id, "accepted_revision": result.revision}
    text = [f"accepted at revision {result.revision} (change {result.change_id})"]
    if wait:
        data["in_force"] = await wait_until_in_force(client, result.revision, wait)
        text += [f"in force in {data_centre}" for data_centre in sorted(data["in_force"])]
    output.print_result(data, text, as_json)


def raise_if_not_accepted(result):
    """Raise the error of a ChangeResult, unless it was accepted."""
    if result.outcome == Outcome.ACCEPTED:
        return
    if result.outcome == Outcome.INVALID:
        raise SettingsError(result.reason, "apply")
    winner = f"; change {result.winner} was accepted instead" if result.winner else ""
    raise ConflictError(result.reason + winner, "apply")


async def wait_until_in_force(client, revision, seconds):
    """
    Return the revisions by data centre once all are at least `revision`.

    Raise UnavailableError after `seconds`.
    """
    in_force = {}
    with trio.move_on_after(seconds):
        while True:
            in_force = find_revisions_in_force(await client.status())
            if in_force and min(in_force.values()) >= revision:
                return in_force
            await trio.sleep(POLL_INTERVAL_SECONDS)
    behind = sorted(
        data_centre for data_centre, applied in in_force.items() if applied < revision
    )
    reason = f"revision {revision} is accepted but not yet in force in {', '.join(behind)}"
    raise UnavailableError(reason, "wait")
