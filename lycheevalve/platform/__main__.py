"""
Entry point of entry instances and control replicas.

Run: python -m lycheevalve.platform [SETTINGS]

An entry instance binds its packet socket and forwards packets of open flows before the
other modules are imported, which takes up to two seconds on a small machine.
"""

import posix
import sys
from _signal import SIG_IGN, SIGHUP, signal

SETTINGS_VARIABLE = b"LYCHEEVALVE_NODE_FILE"
# What the early thread needs, as `key=value` words; see early.py.
EARLY_VARIABLE = b"LYCHEEVALVE_EARLY"


def start_early(words):
    """Return (the running early forwarder or None, why there is none)."""
    if not words:
        return None, ""
    from lycheevalve.platform import early

    try:
        return early.start_early(words), ""
    except (OSError, ValueError) as error:
        return None, str(error)


def main(arguments):
    """Run one process; return its exit code."""
    # The default action of SIGHUP would end the process before watch_signals runs; a signal
    # that is ignored here loses nothing, as the settings are read afterwards.
    signal(SIGHUP, SIG_IGN)
    early, early_error = start_early(posix.environ.get(EARLY_VARIABLE, b"").decode())
    path = arguments[0] if arguments else posix.environ.get(SETTINGS_VARIABLE, b"").decode()
    # Imported after the early thread has started: the imports take most of the startup time.
    from lycheevalve.platform.run import run

    return run(path, early, early_error)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
