"""
Opening of the sockets at which a process receives.

An address is in use until the process that had it before has ended, and an interface may
come up late: such errors are retried until they pass.
"""

import errno
import socket

import trio

from lycheevalve.daemon.datagrams import open_datagram_socket
from lycheevalve.exceptions import AddressError
from lycheevalve.logs.queue import record
from lycheevalve.utils.addresses import parse_address

RETRY_INTERVAL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 5.0
# Errors that pass without a change of the settings.
TRANSIENT_ERRORS = {
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
}


def open_stream_socket(address):
    """Return a non-blocking TCP socket that listens at (ip, port)."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setblocking(False)
        # Connections that were closed a moment ago don't keep the address in use.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind(address)
        opened.listen(socket.SOMAXCONN)
    except OSError:
        opened.close()
        raise
    return opened


async def open_listener(step, address):
    """Return a trio.SocketListener at `ip:port`; `step` names it in logs and errors."""
    opened = await open_when_available(step, address, open_stream_socket)
    return trio.SocketListener(trio.socket.from_stdlib_socket(opened))


async def open_receiver(step, address):
    """Return a non-blocking UDP socket at `ip:port`; `step` names it in logs and errors."""
    return await open_when_available(step, address, open_datagram_socket)


async def open_when_available(step, address, open_socket):
    """
    Return `open_socket((ip, port))`, as soon as the address is available.

    Raise AddressError for an error that doesn't pass by waiting.
    """
    started_at = trio.current_time()
    report_at = started_at
    while True:
        try:
            opened = open_socket(parse_address(address))
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise AddressError(str(error), step, address) from error
            reason = str(error)
        else:
            if report_at > started_at:
                waited_ms = round((trio.current_time() - started_at) * 1000)
                record("address_available", step=step, address=address, waited_ms=waited_ms)
            return opened
        now = trio.current_time()
        if now >= report_at:
            report_at = now + REPORT_INTERVAL_SECONDS
            record(
                "address_unavailable",
                step=step,
                address=address,
                reason=reason,
                waited_ms=round((now - started_at) * 1000),
            )
        await trio.sleep(RETRY_INTERVAL_SECONDS)
