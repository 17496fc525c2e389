"""The benches: each module can be loaded, so that none rests on what is gone."""

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
    """Every module of the package."""

    @pytest.mark.parametrize("name", MODULES)
    def test_imports(self, name):
        importlib.import_module(name)
