"""Connections with which a control replica checks upstreams, without sending a request."""

import errno

import attrs
import trio

from lycheevalve.daemon.boundaries import contain

# A connection is accepted within milliseconds, also by a busy upstream. The second attempt
# replaces a first packet that was lost, which TCP repeats only after a second.
CHECK_TIMEOUT_SECONDS = 0.15
ATTEMPT_DELAYS_SECONDS = (0.0, 0.05)
# A check that ended later than this proves nothing: this process was paused or busy.
LATE_CHECK_SECONDS = 0.3
# Errors of an attempt by which the upstream or the way to it is known to fail.
REFUSALS = frozenset(
    (
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.ECONNABORTED,
        errno.EHOSTUNREACH,
        errno.EHOSTDOWN,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    )
)


@attrs.frozen
class UpstreamChecked:
    """The result of the check of the upstream with a cookie; None if it is inconclusive."""

    cookie: int
    is_reachable: bool | None


def is_refused(error):
    """Return whether an error of a connection attempt says something about the upstream."""
    if isinstance(error, BaseExceptionGroup):
        return all(map(is_refused, error.exceptions))
    if error.__cause__ is not None:
        return is_refused(error.__cause__)
    return error.errno in REFUSALS


async def is_reachable(address):
    """
    Return whether (ip, port) accepts a connection in time.

    Raise OSError when this process can't find out.
    """
    accepted = False
    own_errors = []
    with trio.move_on_after(CHECK_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:

            async def attempt(delay):
                nonlocal accepted
                await trio.sleep(delay)
                try:
                    stream = await trio.open_tcp_stream(*address)
                except OSError as error:
                    # The outcome of the other attempt decides.
                    if not is_refused(error):
                        own_errors.append(error)
                    return
                accepted = True
                nursery.cancel_scope.cancel()
                stream.socket.close()

            for delay in ATTEMPT_DELAYS_SECONDS:
                nursery.start_soon(attempt, delay)
    if own_errors and not accepted:
        raise own_errors[0]
    return accepted


def judge(accepted, seconds):
    """Return the result of a check that took `seconds`, None if it is inconclusive."""
    return None if not accepted and seconds > LATE_CHECK_SECONDS else accepted


async def check_upstream(cookie, address, inbox):
    """Check an upstream and send the UpstreamChecked to `inbox`, also after an error."""
    started_at = trio.current_time()
    result = None
    with contain("check"):
        accepted = await is_reachable(address)
        result = judge(accepted, trio.current_time() - started_at)
    await inbox.send(UpstreamChecked(cookie, result))
