"""HTTP calls of the soak, each bounded in time."""

import http.client

import trio

# Callers of control replicas turn to another one after a second.
CALL_TIMEOUT_SECONDS = 1.0
CALL_ERRORS = (OSError, http.client.HTTPException)


def call_blocking(address, method, path, body):
    """Return (status, body); status 0 without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except CALL_ERRORS:
        return 0, b""
    finally:
        connection.close()


async def call(address, method, path, body=b""):
    """Return (status, body) of a call to (ip, port); status 0 without an answer."""
    return await trio.to_thread.run_sync(call_blocking, address, method, path, body)
