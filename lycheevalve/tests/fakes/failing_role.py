"""
A role in which one function raises MemoryError as long as a file exists.

The variable FAILING has the module and name of the function, `module:Class.name`, and the path
of the file, separated by a space.
"""

import importlib
import inspect
import os
import sys
from pathlib import Path

from lycheevalve.platform.__main__ import main


def install_failure(place, path):
    """Let the function at a place fail as long as the file at `path` exists."""
    module, _, name = place.partition(":")
    owner = importlib.import_module(module)
    *parents, name = name.split(".")
    for parent in parents:
        owner = getattr(owner, parent)
    function = getattr(owner, name)

    def fail_or_call(*args, **fields):
        if path.exists():
            raise MemoryError(place)
        return function(*args, **fields)

    async def fail_or_await(*args, **fields):
        return await fail_or_call(*args, **fields)

    is_async = inspect.iscoroutinefunction(function)
    setattr(owner, name, fail_or_await if is_async else fail_or_call)


if __name__ == "__main__":
    place, path = os.environ["FAILING"].split(" ", 1)
    install_failure(place, Path(path))
    sys.exit(main(sys.argv[1:]))
