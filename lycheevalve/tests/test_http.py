"""The HTTP server: valid, slow, half-open, malformed and oversized requests."""

import socket

import trio

from lycheevalve.daemon import http, http_connection
from lycheevalve.daemon.http import Response, Server
from lycheevalve.utils.addresses import format_address

POST = b"POST /call HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"


def find_address():
    """Return a free loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return format_address(probe.getsockname())


def serve(client, **limits):
    """Run `client(connect)` against a server that echoes bodies; return its requests."""
    requests = []

    async def echo(request):
        requests.append(request)
        return Response(200, request.body)

    async def main():
        address = find_address()
        host, port = address.split(":")
        async with trio.open_nursery() as nursery:
            server = Server(address, echo)
            await nursery.start(server.run)
            with trio.fail_after(20):
                await client(lambda: trio.open_tcp_stream(host, int(port)))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return requests


async def read_all(stream):
    """Return all data until the stream is closed."""
    data = b""
    try:
        while chunk := await stream.receive_some(65_536):
            data += chunk
    except trio.BrokenResourceError:
        pass
    return data


class TestRequests:
    """Valid requests."""

    def test_body_and_path_arrive(self):
        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(POST)
                assert (await stream.receive_some(65_536)).endswith(b"body")

        (request,) = serve(client)
        assert (request.method, request.path, request.body) == ("POST", "/call", b"body")

    def test_several_requests_on_one_connection(self):
        async def client(connect):
            async with await connect() as stream:
                for _ in range(3):
                    await stream.send_all(POST)
                    assert b"200" in await stream.receive_some(65_536)

        assert len(serve(client)) == 3

    def test_request_sent_byte_by_byte(self):
        async def client(connect):
            async with await connect() as stream:
                for position in range(len(POST)):
                    await stream.send_all(POST[position : position + 1])
                assert b"200" in await stream.receive_some(65_536)

        assert len(serve(client)) == 1


class TestBadRequests:
    """Invalid requests close their own connection only."""

    def check_rejected(self, data, status, half_open=False):
        """Send bytes, expect a status, and check that the server still answers others."""

        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(data)
                if half_open:
                    await stream.send_eof()
                answer = await read_all(stream)
                assert status in answer if status else answer == b""
            async with await connect() as stream:
                await stream.send_all(POST)
                assert b"200" in await stream.receive_some(65_536)

        return serve(client)

    def test_not_http(self):
        assert len(self.check_rejected(b"\x00\x01\x02\r\n\r\n", b"400")) == 1

    def test_truncated_body(self):
        assert len(self.check_rejected(POST[:-2], b"400", half_open=True)) == 1

    def test_connection_without_a_request(self):
        self.check_rejected(b"", b"", half_open=True)

    def test_oversized_header(self):
        self.check_rejected(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000, b"431")

    def test_body_over_the_limit(self, monkeypatch):
        monkeypatch.setattr(http_connection, "MAX_BODY_BYTES", 100)
        data = POST.replace(b": 4", b": 200").replace(b"body", b"x" * 200)
        assert len(self.check_rejected(data, b"413")) == 1

    def test_slow_request(self, monkeypatch):
        monkeypatch.setattr(http_connection, "REQUEST_TIMEOUT_SECONDS", 0.1)
        assert len(self.check_rejected(POST[:-2], b"408")) == 1

    def test_too_many_connections(self, monkeypatch):
        monkeypatch.setattr(http, "MAX_CONNECTIONS", 1)

        async def client(connect):
            async with await connect() as first:
                await first.send_all(POST)
                assert b"200" in await first.receive_some(65_536)
                async with await connect() as second:
                    assert await read_all(second) == b""

        serve(client)
