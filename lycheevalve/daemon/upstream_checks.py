"""Connections with which a control replica checks upstreams, without sending a request."""

import attrs
import trio

# A connection is accepted within milliseconds, also by a busy upstream. The second attempt
# replaces a first packet that was lost, which TCP repeats only after a second.
CHECK_TIMEOUT_SECONDS = 0.15
ATTEMPT_DELAYS_SECONDS = (0.0, 0.05)


@attrs.frozen
class UpstreamChecked:
    """The result of the check of the upstream with a cookie."""

    cookie: int
    is_reachable: bool


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


async def check_upstream(cookie, address, inbox):
    """Check an upstream and send the UpstreamChecked to `inbox`."""
    await inbox.send(UpstreamChecked(cookie, await is_reachable(address)))
