"""HTTP calls of the soak, each with a timeout."""

import http.client

import trio

# Callers of control replicas try another one after a second.
CALL_TIMEOUT_SECONDS = 1.0
CALL_ERRORS = (OSError, http.client.HTTPException)


def call_blocking(address, method, path, body):
    """Return (status, body) of a call; status 0 means that it was not answered."""
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
    """Call (ip, port) in a thread; return (status, body), with status 0 for no answer."""
    return await trio.to_thread.run_sync(call_blocking, address, method, path, body)


async def keep_calling(address, path, pause):
    """Call (ip, port) regularly over one connection; open another one when it fails."""
    while True:
        connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_SECONDS)
        try:
            while True:
                await trio.to_thread.run_sync(get_blocking, connection, path)
                await trio.sleep(pause)
        except CALL_ERRORS:
            await trio.sleep(pause)
        finally:
            connection.close()


def get_blocking(connection, path):
    """Send a request over a connection and read its answer."""
    connection.request("GET", path)
    connection.getresponse().read()
