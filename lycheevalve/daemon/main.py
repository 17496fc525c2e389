"""Entry point of `lycheevalved`: settings, logs, signals, then the process."""

import functools
import signal
import sys

import fire
import trio

from lycheevalve.config.files import read_key
from lycheevalve.config.instance import changed_options, load_instance_settings
from lycheevalve.daemon.boundaries import contain, keep_running
from lycheevalve.daemon.ends import run_to_end
from lycheevalve.daemon.events import Reload
from lycheevalve.daemon.instance import InstanceProcess
from lycheevalve.daemon.stopping import stop
from lycheevalve.exceptions import LycheevalveError
from lycheevalve.logs.queue import record, set_up_logs, writer

EXIT_INVALID_INPUT = 2


async def watch_signals(process, path, scope):
    """
    Stop gracefully on SIGTERM and SIGINT; reload the settings on SIGHUP.

    A process that can't start is ended by cancelling `scope`.
    """
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async for signal_number in received:
            with contain("signal"):
                if signal_number == signal.SIGHUP:
                    await reload_settings(process, path)
                else:
                    await stop(process, scope)


async def reload_settings(process, path):
    """Reload the settings; keep the current ones when the new ones are invalid."""
    try:
        settings, warnings = load_instance_settings(path)
    except* LycheevalveError as group:
        for error in group.exceptions:
            record("not_reloaded", reason=str(error))
    else:
        await apply_settings(process, settings, warnings)


async def apply_settings(process, settings, warnings):
    """Apply the reloadable options; log those that need a restart."""
    reloadable, restart_only = changed_options(process.settings, settings)
    for name in restart_only:
        record("restart_needed", option=name)
        setattr(settings, name, getattr(process.settings, name))
    set_up_logs(settings.log_level, instance=settings.name, site=settings.site)
    await process.inbox.send(Reload(settings))
    record("reloaded", changed=reloadable, warnings=warnings)


async def run_process(settings, key, path):
    """Run the process and handle signals until the process has stopped."""
    process = InstanceProcess(settings, key)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            keep_running, "signals", watch_signals, process, path, nursery.cancel_scope
        )
        nursery.start_soon(keep_running, "log", writer.run)
        await process.run()
        nursery.cancel_scope.cancel()


def run(settings: str):
    """
    Run one instance.

    SETTINGS is a TOML file; see the user guide for its options.
    Example: lycheevalved --settings /etc/lycheevalve/a1.toml
    """
    path = settings
    try:
        loaded, warnings = load_instance_settings(path)
        key = read_key(loaded.key_file)
    except* LycheevalveError as group:
        for error in group.exceptions:
            print(f"lycheevalved: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_INPUT)
    set_up_logs(loaded.log_level, instance=loaded.name, site=loaded.site)
    for warning in warnings:
        record("setting_warning", reason=warning)
    process = functools.partial(trio.run, run_process, loaded, key, path)
    sys.exit(run_to_end(process, loaded.data_folder))


def main():
    """Run the daemon's command line."""
    fire.Fire(run, name="lycheevalved")
