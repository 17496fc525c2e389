"""
Entry point of entry instances and control replicas.

Run: python -m lycheevalve.platform [SETTINGS]

An entry instance binds its packet socket first, so that packets which arrive
while the modules are imported are queued in the socket instead of lost.
"""

import os
import signal
import socket
import sys
import tomllib

SETTINGS_VARIABLE = "LYCHEEVALVE_NODE_FILE"
# Holds what arrives during the imports, which take up to two seconds on a small machine.
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


def bind_early(path):
    """Return the bound packet socket, or None; run() reports errors in the settings."""
    try:
        with open(path, "rb") as file:
            host, port = tomllib.load(file)["packets"].split(":")
    except (OSError, ValueError, KeyError, AttributeError):
        return None
    early_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    early_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    early_socket.bind((host, int(port)))
    return early_socket


def main(arguments):
    """Run one process; return its exit code."""
    # The default action of SIGHUP would end the process before watch_signals runs; a signal
    # that is ignored here loses nothing, as the settings are read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, "")
    early_socket = bind_early(path)
    # Imported after the socket is bound: the imports take most of the startup time.
    from lycheevalve.platform.run import run

    return run(path, early_socket)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
