"""Runs an entry instance or a control replica: settings, logs and signals."""

import functools
import os
import signal
import sys
import time

import trio

from lycheevalve.config.instance import changed_options
from lycheevalve.config.roles import ENTRY, OPTIONS, load_role_settings
from lycheevalve.daemon.boundaries import contain, keep_running
from lycheevalve.daemon.ends import run_to_end
from lycheevalve.daemon.events import Reload
from lycheevalve.daemon.stopping import stop
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.logs.queue import record, set_up_logs, writer

EXIT_INVALID_INPUT = 2
# How often the settings file is checked for changes, which may come without a SIGHUP.
SETTINGS_POLL_INTERVAL_SECONDS = 2.0
# A process that starts reads an invalid file again until this time has passed.
SETTINGS_TIMEOUT_SECONDS = 1.0
SETTINGS_RETRY_INTERVAL_SECONDS = 0.05


def make_process(settings, early):
    """Return the process of a role; only the modules of that role are imported."""
    if settings.role == ENTRY:
        from lycheevalve.daemon.entry import EntryProcess
        from lycheevalve.platform.codec import Codec

        return EntryProcess(settings, Codec(settings), early)
    from lycheevalve.daemon.control import ControlProcess
    from lycheevalve.platform.documents import read_routes
    from lycheevalve.platform.operators import make_server

    return ControlProcess(settings, make_server, read_routes, early)


async def watch_signals(process, path, scope):
    """
    Stop gracefully on SIGTERM and SIGINT; reload the settings on SIGHUP.

    A process that can't start is ended by cancelling `scope`.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
        async for signal_number in received:
            with contain("signal"):
                if signal_number == signal.SIGHUP:
                    await reload_settings(process, path)
                else:
                    await stop(process, scope)


def read_version(path):
    """Return what changes when a file is written, replaced or removed."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_ino, status.st_size


async def watch_settings(process, path, loaded_version):
    """Reload the settings when their file is no longer the version that was loaded."""
    while True:
        await trio.sleep(SETTINGS_POLL_INTERVAL_SECONDS)
        version = read_version(path)
        if version != loaded_version:
            loaded_version = version
            await reload_settings(process, path)


async def reload_settings(process, path):
    """Apply the reloadable options; keep the current ones when the file is invalid."""
    settings = None
    try:
        settings = load_role_settings(path)
    except* LycheevalveError as group:
        for error in group.exceptions:
            record("not_reloaded", reason=str(error))
    if settings is None:
        return
    reloadable, restart_only = changed_options(process.settings, settings, OPTIONS)
    for name in restart_only:
        record("restart_needed", option=name)
        setattr(settings, name, getattr(process.settings, name))
    await process.inbox.send(Reload(settings))
    record("reloaded", changed=reloadable)


async def run_process(settings, path, loaded_version, early):
    """Run the process and watch signals and the settings file until it has stopped."""
    process = make_process(settings, early)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            keep_running, "signals", watch_signals, process, path, nursery.cancel_scope
        )
        nursery.start_soon(
            keep_running, "settings", watch_settings, process, path, loaded_version
        )
        nursery.start_soon(keep_running, "log", writer.run)
        await process.run()
        nursery.cancel_scope.cancel()


def load_settings(path):
    """
    Return (the settings of a file, its version, no errors), or (None, None, its errors).

    A file that is missing or invalid may be one that is being written.
    """
    end = time.monotonic() + SETTINGS_TIMEOUT_SECONDS
    while True:
        # Read before the settings: a change in between is found later.
        version, errors = read_version(path), ()
        try:
            return load_role_settings(path), version, errors
        except* LycheevalveError as group:
            errors = group.exceptions
        if time.monotonic() >= end:
            return None, None, errors
        time.sleep(SETTINGS_RETRY_INTERVAL_SECONDS)


def run(path, early=None, early_error=""):
    """
    Run a process with the settings of a file; return its exit code.

    `early` is the EarlyForwarder or EarlyResponder that runs already; `early_error` says why
    there is none.
    """
    settings, loaded_version, errors = load_settings(path)
    for error in errors:
        print(f"lycheevalve: {error}", file=sys.stderr)
    if settings is None:
        return EXIT_INVALID_INPUT
    set_up_logs(settings.log_level, instance=settings.name)
    if early_error:
        record("early_unavailable", reason=early_error)
    process = functools.partial(trio.run, run_process, settings, path, loaded_version, early)
    return run_to_end(process, settings.data_folder)
