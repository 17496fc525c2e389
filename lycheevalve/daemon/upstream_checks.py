"""Connections with which a control replica checks upstreams, without sending a request."""

import attrs
import trio

# A connection is accepted within milliseconds, also by a busy upstream. The second attempt
# replaces a first packet that was lost, which TCP repeats only after a second.
CHECK_TIMEOUT_SECONDS = 0.15
ATTEMPT_DELAYS_SECONDS = (0.0, 0.05)
# A check that ended later than this proves nothing: this process was paused or busy.
LATE_CHECK_SECONDS = 0.3


@attrs.frozen
class UpstreamChecked:
    """The result of the check of the upstream with a cookie; None if it is inconclusive."""

    cookie: int
    is_reachable: bool | None


async def is_reachable(address):
    """Return whether (ip, port) accepts a connection in time."""
    accepted = False
    with trio.move_on_after(CHECK_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:

            async def attempt(delay):
                nonlocal accepted
                await trio.sleep(delay)
                try:
                    stream = await trio.open_tcp_stream(*address)
                except OSError:
                    # Refused: the outcome of the other attempt decides.
                    return
                accepted = True
                nursery.cancel_scope.cancel()
                stream.socket.close()

            for delay in ATTEMPT_DELAYS_SECONDS:
                nursery.start_soon(attempt, delay)
    return accepted


def judge(accepted, seconds):
    """Return the result of a check that took `seconds`, None if it is inconclusive."""
    return None if not accepted and seconds > LATE_CHECK_SECONDS else accepted


async def check_upstream(cookie, address, inbox):
    """Check an upstream and send the UpstreamChecked to `inbox`."""
    started_at = trio.current_time()
    accepted = await is_reachable(address)
    result = judge(accepted, trio.current_time() - started_at)
    await inbox.send(UpstreamChecked(cookie, result))
