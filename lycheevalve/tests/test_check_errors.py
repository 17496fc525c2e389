"""Checks of upstreams that fail for a reason of the own process."""

import errno
import os
import resource
import socket

import pytest
import trio

from lycheevalve.daemon import upstream_checks
from lycheevalve.daemon.boundaries import run_unit
from lycheevalve.daemon.upstream_checks import UpstreamChecked, check_upstream


class TestOwnErrors:
    """Errors that say nothing about the upstream."""

    # An upstream that accepts connections was reported as unreachable to all instances.
    def test_check_without_a_free_descriptor_is_inconclusive(self):
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)

        async def main():
            send, receive = trio.open_memory_channel(1)
            with socket.create_server(("127.0.0.1", 0)) as upstream:
                await check_upstream(1, upstream.getsockname(), send)
                reachable = receive.receive_nowait()
                lowest = os.dup(0)
                os.close(lowest)
                resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, limits[1]))
                try:
                    await check_upstream(1, upstream.getsockname(), send)
                finally:
                    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
                return reachable, receive.receive_nowait()

        assert trio.run(main) == (UpstreamChecked(1, True), UpstreamChecked(1, None))

    @pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENOMEM])
    def test_check_without_resources_is_inconclusive(self, error, monkeypatch):
        async def fail(*address):
            cause = OSError(error, os.strerror(error))
            raise OSError("all attempts failed") from ExceptionGroup("", [cause])

        monkeypatch.setattr(trio, "open_tcp_stream", fail)

        async def main():
            send, receive = trio.open_memory_channel(1)
            await check_upstream(1, ("127.0.0.1", 1), send)
            return receive.receive_nowait()

        assert trio.run(main) == UpstreamChecked(1, None)


class TestUnexpectedErrors:
    """Errors that no code expects."""

    # The check counted as running for good, and 64 of these ended all checks.
    def test_check_that_fails_reports_that_it_ended(self, monkeypatch):
        async def fail(address):
            raise MemoryError

        monkeypatch.setattr(upstream_checks, "is_reachable", fail)

        async def main():
            send, receive = trio.open_memory_channel(1)
            await run_unit("check", check_upstream, 7, ("127.0.0.1", 1), send)
            return receive.receive_nowait()

        assert trio.run(main) == UpstreamChecked(7, None)
