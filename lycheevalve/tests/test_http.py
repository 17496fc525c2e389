"""The HTTP server: valid, slow, half-open, malformed and oversized requests."""

import socket

import pytest
import trio

from lycheevalve.daemon import http, http_connection
from lycheevalve.daemon.http import Response, Server
from lycheevalve.utils.addresses import format_address

POST = b"POST /call HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

# The status and body of the answers that are no echo; a status has three digits, and the
# sockets buffer less than the large body.
ANSWERS = {"/unwritable": (1000, b""), "/large": (200, bytes(64 * 1024 * 1024))}


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
        status, body = ANSWERS.get(request.path, (200, request.body))
        return Response(status, body)

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


class TestHead:
    """HEAD requests, whose answers have no body."""

    def test_answer_has_the_length_and_no_body(self):
        """The body of the answer ended the process; the next request is answered, too."""

        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(POST.replace(b"POST", b"HEAD"))
                answer = await stream.receive_some(65_536)
                assert b"200" in answer
                assert b"Content-Length: 4" in answer
                assert answer.endswith(b"\r\n\r\n")
                await stream.send_all(POST)
                assert (await stream.receive_some(65_536)).endswith(b"body")

        assert len(serve(client)) == 2

    def test_error_has_no_body(self, monkeypatch):
        """An error before the end of the request is an answer to HEAD, too."""
        monkeypatch.setattr(http_connection, "MAX_BODY_BYTES", 2)

        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(POST.replace(b"POST", b"HEAD"))
                answer = await read_all(stream)
                assert b" 413 " in answer
                assert answer.endswith(b"\r\n\r\n")

        assert serve(client) == []


class TestPipelines:
    """Requests that are sent before the answers to earlier ones."""

    def test_answers_come_in_the_order_of_the_requests(self):
        """The answers must not mix, whether the caller expects 100-continue or not."""
        expecting = POST.replace(b"Host", b"Expect: 100-continue\r\nHost")

        async def client(connect):
            async with await connect() as stream:
                for data in (POST * 5, expecting * 5):
                    await stream.send_all(data)
                    answers = b""
                    while answers.count(b"body") < 5:
                        answers += await stream.receive_some(65_536)
                    assert answers.count(b" 200 ") == 5

        assert len(serve(client)) == 10


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

    def test_content_length_of_too_many_digits(self):
        """int() refuses more than 4,300 digits; that error must not reach other tasks."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n"
        assert len(self.check_rejected(head, b"400")) == 1

    def test_connect_opens_no_tunnel(self):
        """The state of the connection after a successful CONNECT ended the process."""
        head = b"CONNECT /call HTTP/1.1\r\nHost: a\r\n\r\n"
        (request,) = self.check_rejected(head, b"405")
        assert request.method == "POST"

    @pytest.mark.parametrize(
        "data",
        [
            POST.replace(b"Content-Length: 4", b"Content-Length: 4, 5"),
            POST.replace(b"Content-Length: 4", b"Content-Length: -4"),
            POST.replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 5"),
            POST.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked"),
            POST.replace(b"Content-Length: 4", b"Transfer-Encoding: gzip"),
            POST.replace(b"/call", b"/\xff"),
        ],
    )
    def test_malformed_head_or_framing(self, data):
        """The error of one request must not reach other connections."""
        (request,) = self.check_rejected(data, b"HTTP/1.1 ")
        assert request.body == b"body"

    def test_answer_that_cannot_be_written(self):
        """h11 refuses an answer with a status of four digits; that error ended the process."""

        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(POST.replace(b"/call", b"/unwritable"))
                assert await read_all(stream) == b""
            async with await connect() as stream:
                await stream.send_all(POST)
                assert b"200" in await stream.receive_some(65_536)

        assert len(serve(client)) == 2

    def test_slow_request(self, monkeypatch):
        monkeypatch.setattr(http_connection, "REQUEST_TIMEOUT_SECONDS", 0.1)
        assert len(self.check_rejected(POST[:-2], b"408")) == 1

    def test_answer_that_is_not_read(self, monkeypatch):
        """Such connections stayed open, until the server refused all further ones."""
        monkeypatch.setattr(http_connection, "WRITE_TIMEOUT_SECONDS", 0.2)
        monkeypatch.setattr(http, "limit_connections", lambda kind: 1)

        async def is_served(connect):
            """Return whether the server answers on a new connection."""
            async with await connect() as stream:
                try:
                    await stream.send_all(POST)
                    return b"200" in await stream.receive_some(65_536)
                except trio.BrokenResourceError:
                    return False

        async def client(connect):
            async with await connect() as stream:
                await stream.send_all(POST.replace(b"/call", b"/large"))
                assert await stream.receive_some(1) == b"H"
                while not await is_served(connect):
                    await trio.sleep(0.01)

        first, second = serve(client)
        assert (first.path, second.path) == ("/large", "/call")

    def test_too_many_connections(self, monkeypatch):
        monkeypatch.setattr(http, "limit_connections", lambda kind: 1)

        async def client(connect):
            async with await connect() as first:
                await first.send_all(POST)
                assert b"200" in await first.receive_some(65_536)
                async with await connect() as second:
                    # The first is idle, and closed for the second.
                    assert await read_all(first) == b""
                    await second.send_all(POST)
                    assert b"200" in await second.receive_some(65_536)

        assert len(serve(client)) == 2
