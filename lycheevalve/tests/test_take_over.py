"""The change from the early thread to the tasks of an entry instance."""

import socket
import types

import trio

from lycheevalve.daemon.boundaries import contain
from lycheevalve.daemon.datagrams import open_datagram_socket
from lycheevalve.daemon.entry import EntryProcess
from lycheevalve.daemon.events import Batch
from lycheevalve.daemon.polling import PollingConnections
from lycheevalve.daemon.udp_socket import UdpSocket
from lycheevalve.platform.codec import Codec
from lycheevalve.schema.generated.settings import Role
from lycheevalve.tests.fakes.role_processes import KEY, find_port


def build_early():
    """Return a stopped early forwarder that held nothing."""
    router = types.SimpleNamespace(forwarded=0, opened=0, dropped=0, lookups=0, revision=0)
    thread = types.SimpleNamespace(age=lambda: 0.0, error="")
    return types.SimpleNamespace(
        router=router, thread=thread, malformed=0, unsent=0, stop=lambda: []
    )


class TestErrors:
    """Unexpected errors of the packets that the early thread held."""

    # The process went on with readiness 200, and nobody read its packet socket any more.
    def test_packets_are_read_though_the_held_ones_could_not_be_handled(self, monkeypatch):
        async def main():
            port = find_port("127.0.0.1", socket.SOCK_DGRAM)
            settings = Role(
                ip="127.0.0.1",
                link_port=port,
                name="a1",
                data_centre="dc1",
                key=KEY,
                packets="127.0.0.1:9000",
                stop_seconds=1.0,
            )
            process = EntryProcess(settings, Codec(settings), build_early())
            process.udp_socket = UdpSocket(open_datagram_socket(("127.0.0.1", 0)))

            def fail(*_):
                raise KeyError("unexpected")

            monkeypatch.setattr(process.logic, "take_over", fail)
            monkeypatch.setattr(process, "can_take_over", lambda now: True)
            async with trio.open_nursery() as nursery:
                process.nursery = nursery
                process.connections = PollingConnections(None, process.inbox, nursery)
                for _ in range(3):
                    with contain("flush"):
                        process.flush()
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
                    caller.sendto(b"packet", process.udp_socket.socket.getsockname())
                received = None
                with trio.move_on_after(5):
                    received = await process.receiver.receive()
                nursery.cancel_scope.cancel()
            process.udp_socket.close()
            return received

        assert isinstance(trio.run(main), Batch)
