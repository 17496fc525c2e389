"""
Entry of both programs: `python -m lycheevalve.platform [SETTINGS]`.

An entry instance binds its packet socket before anything else: callers' first
packets wait there while the modules load, instead of being lost.
"""

import os
import signal
import socket
import sys
import tomllib

SETTINGS_VARIABLE = "LYCHEEVALVE_NODE_FILE"
# Room for what comes while the modules load, a second or two on a small machine.
BUFFER_BYTES = 4 * 1024 * 1024


def bind_early(path):
    """Return the packet socket of a settings file, or None; errors are reported later."""
    try:
        with open(path, "rb") as file:
            host, port = tomllib.load(file)["packets"].split(":")
    except (OSError, ValueError, KeyError, AttributeError):
        return None
    early = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    early.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    early.bind((host, int(port)))
    return early


def main(arguments):
    """Run one process; return its exit code."""
    # Until there is a handler it would end the process; the settings are read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, "")
    early_socket = bind_early(path)
    # Only now: the imports take most of the start.
    from lycheevalve.platform.run import run

    return run(path, early_socket)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
