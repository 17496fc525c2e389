"""The HTTP API of a control replica for the platform's operators and targets."""

import functools
import uuid

import trio

from lycheevalve.coordination.configuration import Outcome
from lycheevalve.daemon.http import Response, Server, build_error, build_json
from lycheevalve.exceptions import AnnouncementError, SettingsError, UnavailableError
from lycheevalve.logs.queue import record
from lycheevalve.platform.documents import check_encodable, decompress_document, read_document
from lycheevalve.platform.heartbeats import read_deregistration, read_heartbeat
from lycheevalve.schema.generated.messages import Change

# Method and path of each call; the id of a target follows the path of its calls.
REPLACE = ("POST", "/Config.Replace")
READ = ("GET", "/Config.Read")
# The name of a data centre follows the path of these calls.
EVACUATE = ("POST", "/Evacuations.Start/")
RESTORE = ("POST", "/Evacuations.Stop/")
HEARTBEAT = ("POST", "/Instances.Heartbeat/")
DEREGISTER = ("POST", "/Instances.Deregister/")
# Reasons quote names and values of the call, which may have any length.
MAX_REASON_LENGTH = 500
# Reading a larger configuration takes longer than other callers should wait.
MAX_INLINE_BYTES = 256 * 1024
# The log event for each error of an invalid call.
REFUSALS = {SettingsError: "refused", AnnouncementError: "announcement_refused"}


def make_server(process):
    """Return the Server of a ControlProcess."""
    address = process.settings.operators
    return Server(address, functools.partial(answer, process), "listen for operators")


async def answer(process, request):
    """Return the Response to an API call."""
    handle, name = find_call(request.method, request.path.partition("?")[0])
    if handle is None:
        return build_error(404, "unknown call")
    try:
        response = await handle(process, name, request)
    except UnavailableError as error:
        record("unavailable", call=handle.__name__, reason=str(error))
        response = build_error(503, str(error))
    except tuple(REFUSALS) as error:
        reason = str(error)[:MAX_REASON_LENGTH]
        record(REFUSALS[type(error)], reason=reason, peer=request.peer)
        response = build_error(400, reason)
    process.count_call(handle.__name__, response.status)
    return response


def find_call(method, path):
    """
    Return (handler, name) of a call; the handler is None for an unknown call.

    The name is the target's id or the data centre at the end of the path.
    """
    handle = OPERATOR_CALLS.get((method, path))
    if handle is not None:
        return handle, ""
    for (call_method, prefix), handle in NAMED_CALLS.items():
        if method == call_method and path.startswith(prefix):
            return handle, path.removeprefix(prefix)
    return None, ""


async def replace(process, _, request):
    """Propose a configuration; acknowledge it once a quorum has stored it."""
    document = await read_request_document(request.body)
    held = process.logic.dissemination.held.revision
    if document.revision <= held:
        # A committed revision is never rolled back, so this answer needs no leader.
        record("overtaken", revision=document.revision, held=held)
        return build_json(200, {"version": held})
    result = await process.propose(document.build_change())
    record("accepted", revision=document.revision, held=result.revision)
    return build_json(200, {"version": result.revision})


async def read_request_document(body):
    """Return the Document of a request's body; a large one is read beside the event loop."""
    if len(body) <= MAX_INLINE_BYTES:
        return read_document(body)
    return await trio.to_thread.run_sync(read_document, body)


async def read(process, *_):
    """Return the newest configuration as it was sent; 404 if there is none."""
    configuration = await process.read()
    if not configuration.document:
        return build_error(404, "no configuration has been accepted yet")
    return Response(200, decompress_document(configuration.document))


async def evacuate(process, data_centre, request):
    """Order that the targets of a zone get no new flows."""
    return await order(process, data_centre, request, evacuates=[data_centre])


async def restore(process, data_centre, request):
    """Withdraw the order to evacuate a zone."""
    return await order(process, data_centre, request, restores=[data_centre])


async def order(process, data_centre, request, **orders):
    """Propose an order about a data centre; acknowledge it once a quorum has stored it."""
    reason, status = find_order_error(process.settings.data_centres, data_centre, request.body)
    if reason:
        record("refused", reason=reason, peer=request.peer)
        return build_error(status, reason)
    # A call that the operator sends again is another order; it changes nothing by itself.
    # Replicas of an earlier version refuse it by its base revision.
    change = Change(uuid.uuid4().hex, base_revision=-1, keeps_revision=True, **orders)
    check_encodable(change)
    result = await process.propose(change)
    if result.outcome != Outcome.ACCEPTED:
        # Only a leader of an earlier version refuses an order.
        record("refused", reason=result.reason, peer=request.peer)
        return build_error(503, f"the leader does not take this order: {result.reason}")
    record("ordered", order=next(iter(orders)), data_centre=data_centre)
    return build_json(200, {})


def find_order_error(data_centres, data_centre, body):
    """Return why an order is refused, or an empty string, and the HTTP status."""
    if body.strip() not in (b"", b"{}"):
        return "an order about a data centre has no body", 400
    if not data_centre or (data_centres and data_centre not in data_centres):
        known = ", ".join(sorted(data_centres))
        return f"unknown data centre {data_centre!r}; the site has {known}", 404
    return "", 0


async def heartbeat(process, name, request):
    """Register a target from its heartbeat."""
    registration = read_heartbeat(name, request.body, process.settings.heartbeat_ms)
    await process.announce(registration)
    return build_json(200, {})


async def deregister(process, name, request):
    """Deregister a target."""
    incarnation = read_deregistration(name, request.body)
    await process.deregister(name, incarnation)
    return build_json(200, {})


OPERATOR_CALLS = {REPLACE: replace, READ: read}
NAMED_CALLS = {
    HEARTBEAT: heartbeat,
    DEREGISTER: deregister,
    EVACUATE: evacuate,
    RESTORE: restore,
}
