"""HTTP/1.1 over bytes: heads and bodies of requests and responses, and calls over TCP."""

import asyncio
import json

CALL_SECONDS = 1.0


def find_message(data):
    """Return (start line, headers, body, bytes used) of a whole message, or None."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(data[:end]).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    if len(data) < end + 4 + size:
        return None
    return lines[0], headers, bytes(data[end + 4 : end + 4 + size]), end + 4 + size


async def exchange(address, method, path, body, source=None):
    """Send a request over a new connection; return (status, body)."""
    options = {"local_addr": (source, 0)} if source else {}
    reader, writer = await asyncio.open_connection(*address, **options)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
        head += "Content-Type: application/json\r\nConnection: close\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        data = bytearray()
        while (found := find_message(data)) is None:
            chunk = await reader.read(65536)
            if not chunk:
                raise ConnectionError("the connection ended before the response")
            data += chunk
        return int(found[0].split(" ")[1]), found[2]
    finally:
        writer.close()


async def call(address, method, path, body=b"", seconds=CALL_SECONDS, source=None):
    """Return (status, body) of a call; status 0 means no clear response in time."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, body, source), seconds)
    except (TimeoutError, OSError, ValueError):
        return 0, b""


def encode(value):
    """Return a value as JSON bytes."""
    return json.dumps(value).encode()
