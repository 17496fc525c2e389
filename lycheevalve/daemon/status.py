"""Answers to operators' queries of the site's status and of flows."""

from lycheevalve.coordination.membership import State
from lycheevalve.flows.keys import SHARD_MASK, flow_key
from lycheevalve.flows.placement import find_first_choice
from lycheevalve.schema.generated.messages import (
    Flow,
    InstanceStatus,
    Status,
    UpstreamStatus,
)
from lycheevalve.utils.addresses import pack_address, parse_address


def build_status(instance, view, now):
    """Return the Status of the site from the state of one instance."""
    name = instance.settings.name
    dissemination = instance.dissemination
    revisions = {peer: state.applied for peer, state in dissemination.peers.items()}
    revisions[name] = dissemination.applied.revision
    held = [state.held for state in dissemination.peers.values()]
    members = sorted(instance.membership.members.values(), key=lambda member: member.name)
    return Status(
        instance=name,
        leader=view.leader,
        accepted=max([view.accepted, dissemination.held.revision, *held]),
        instances=[
            InstanceStatus(
                member.name,
                member.data_centre,
                State(member.state).name.lower(),
                revisions.get(member.name, 0),
                view.role if member.name == name else "",
            )
            for member in members
        ],
        upstreams=[
            UpstreamStatus(u.registration, u.state(now).value, u.flows, u.outstanding)
            for u in instance.upstreams.by_address.values()
        ],
        configuration=dissemination.applied,
        replicas=list(view.members or instance.settings.replicas),
        burn=instance.burn.build_windows(
            dissemination.applied.services, instance.settings.data_centre, now
        ),
    )


def explain_flow(instance, request, now):
    """Return the upstream of a caller's flow to a front door, and the reason."""
    caller = pack_address(parse_address(request.caller))
    front_door = pack_address(parse_address(request.front_door))
    endpoints = caller[:4] + front_door[:4] + caller[4:] + front_door[4:]
    key = flow_key(endpoints)
    shard = key & SHARD_MASK
    entry = instance.router.front_doors.get(front_door)
    flow = Flow(f"{key:013x}", shard, list(instance.shard_manager.ownership.ranks[shard]))
    if entry is None or entry.service is None:
        flow.reason = "no service has this front door"
        return flow
    pinned = instance.upstreams.by_index.get(instance.pins.get(key))
    if pinned is not None:
        flow.upstream = pinned.registration.address
        flow.reason = "pinned here"
        return flow
    candidates = instance.upstreams.usable(entry.service.name, now)
    choice = find_first_choice(key, candidates)
    flow.upstream = choice.registration.address if choice else ""
    owner = instance.shard_manager.owner(shard)
    flow.reason = (
        f"first choice by hash; the owner {owner!r} may have placed the flow elsewhere"
    )
    return flow
