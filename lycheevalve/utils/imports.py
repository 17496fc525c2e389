"""Deferred imports of modules that a process doesn't need at its start."""

import importlib

import trio


async def load_module(name):
    """Import a module in a thread, without blocking the event loop."""
    return await trio.to_thread.run_sync(importlib.import_module, name)
