"""
Entry point of entry instances and control replicas.

Run: python -m lycheevalve.platform [SETTINGS]

An entry instance binds its packet socket and forwards packets of open flows before the
other modules are imported, which takes up to two seconds on a small machine.
"""

import posix
import sys
from _signal import SIG_DFL, SIG_IGN, SIGHUP, SIGINT, default_int_handler, getsignal, signal

SETTINGS_VARIABLE = b"LYCHEEVALVE_NODE_FILE"
# What the early thread needs, as `key=value` words; see early.py.
EARLY_VARIABLE = b"LYCHEEVALVE_EARLY"

EXIT_FAILED = 1


def read_variable(name):
    """Return an environment variable, decoded as paths are; empty if it is missing."""
    return posix.environ.get(name, b"").decode("utf-8", "surrogateescape")


def start_early(words):
    """
    Return (the running early forwarder or None, why there is none).

    Whatever fails here, the process starts without the early thread.
    """
    if not words:
        return None, ""
    try:
        from lycheevalve.platform import early

        return early.start_early(words), ""
    except Exception as error:
        return None, str(error) or repr(error)


def report_failed_import(error):
    """Write why the modules of the process can't be imported, the last line as JSON."""
    import json
    import time
    import traceback

    traceback.print_exception(error)
    line = {
        "time": time.strftime("%Y-%m-%dT%H:%M:%S+00:00", time.gmtime()),
        "level": "ERROR",
        "event": "ended",
        "code": EXIT_FAILED,
        "reason": "error",
        "error": f"{type(error).__name__}: {error}",
        "place": __name__,
        "step": "import",
    }
    try:
        print(json.dumps(line), flush=True)
    except OSError:
        # The reader of the output is gone; standard error has the stack.
        pass


def open_standard_streams():
    """Open those of the descriptors 0 to 2 that are closed; a socket or file would get them."""
    for descriptor in range(3):
        try:
            posix.fstat(descriptor)
        except OSError:
            posix.open("/dev/null", posix.O_RDWR)


def main(arguments):
    """Run one process; return its exit code."""
    open_standard_streams()
    # The default action of SIGHUP would end the process before watch_signals runs; a signal
    # that is ignored here loses nothing, as the settings are read afterwards.
    signal(SIGHUP, SIG_IGN)
    # As SIGTERM does, ends the process without the stack of an interrupted import.
    if getsignal(SIGINT) is default_int_handler:
        signal(SIGINT, SIG_DFL)
    early, early_error = start_early(read_variable(EARLY_VARIABLE))
    path = arguments[0] if arguments else read_variable(SETTINGS_VARIABLE)
    # Imported after the early thread has started: the imports take most of the startup time.
    try:
        from lycheevalve.platform.run import run
    except Exception as error:
        report_failed_import(error)
        return EXIT_FAILED
    return run(path, early, early_error)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
