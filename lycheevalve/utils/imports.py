"""Modules that a process needs only some time after its start."""

import importlib

import trio


async def load_module(name):
    """Import a module in a thread, so that the tasks of this process go on."""
    return await trio.to_thread.run_sync(importlib.import_module, name)
