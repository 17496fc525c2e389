"""The benches: every module can be imported, and ablations apply to the sources."""

import importlib
import pkgutil
from pathlib import Path

import pytest

import bench
import lycheevalve
from bench.mutations.ablations import ABLATIONS

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


class TestAblations:
    """Source edits that switch decisions off, so that experiments show their worth."""

    @pytest.mark.parametrize("ablation", ABLATIONS, ids=lambda ablation: ablation.name)
    def test_each_applies_to_the_sources(self, ablation):
        path = Path(lycheevalve.__file__).parent / ablation.file
        source = path.read_text()
        assert source.count(ablation.old) == 1
        compile(source.replace(ablation.old, ablation.new), str(path), "exec")
