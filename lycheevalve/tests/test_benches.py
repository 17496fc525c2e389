"""Every bench module can be imported, so that none uses a name that was removed."""

import importlib
import pkgutil

import pytest

import bench

MODULES = [
    module.name
    for module in pkgutil.walk_packages(bench.__path__, "bench.")
    if not module.name.endswith("__main__")
]


class TestModules:
    """All modules of the package except `__main__`."""

    @pytest.mark.parametrize("name", MODULES)
    def test_imports(self, name):
        importlib.import_module(name)
