"""What one version stores and sends is read by another; the samples are committed."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from bench import formats, production

SAMPLES = Path(__file__).parent / "samples"
CURRENT = SAMPLES / "current"
VERSIONS = sorted(path for path in SAMPLES.iterdir() if path != CURRENT)
SAMPLE_FILES = ("cookies.json", "log", "lookups", "lookups.json", "messages.json", "snapshot")


class TestCurrentVersion:
    """The committed samples of the current version."""

    @pytest.mark.parametrize("name", [*SAMPLE_FILES, "upstreams"])
    def test_formats_have_not_changed(self, tmp_path, name):
        # After an intended change run: python bench/formats.py write FOLDER, and check that
        # the version in production still reads them (python -m bench.production check).
        formats.write(tmp_path)
        assert (tmp_path / name).read_bytes() == (CURRENT / name).read_bytes()


@pytest.mark.parametrize("folder", VERSIONS, ids=lambda folder: folder.name)
class TestEarlierVersions:
    """The samples of versions that run beside the current one during an upgrade."""

    def test_are_read_as_they_were_written(self, folder):
        expected = json.loads((folder / "read.json").read_text())
        found = json.loads(json.dumps(formats.read(folder)))
        assert expected["disk"]["damage"] == found["disk"]["damage"] == ""
        assert production.find_unread(expected, found) == []

    def test_no_field_of_a_message_is_lost(self, folder):
        expected = json.loads((folder / "read.json").read_text())["messages"]
        found = formats.read_messages(folder)
        assert expected.keys() == found.keys()
        for name, fields in expected.items():
            assert fields.keys() <= found[name].keys()

    def test_cookies_are_the_same(self, folder):
        assert formats.read(folder)["cookies"]


class TestDamagedSamples:
    """A file that can't be read is an error, and stays as it is."""

    def test_error_names_the_folder(self, tmp_path):
        formats.write(tmp_path)
        (tmp_path / "lookups").write_bytes(b"damaged")
        script = str(Path(formats.__file__))
        done = subprocess.run(
            [sys.executable, script, "read", str(tmp_path)], capture_output=True, text=True
        )
        assert done.returncode == 1
        assert str(tmp_path) in done.stderr
        assert (tmp_path / "lookups").read_bytes() == b"damaged"


class TestComparison:
    """Differences between what two versions have read."""

    @pytest.mark.parametrize(
        ("expected", "found", "paths"),
        [
            ({"a": 1}, {"a": 1, "new": 2}, []),
            ({"a": 1}, {"a": 2}, ["/a"]),
            ({"a": [{"b": 1}]}, {"a": [{"b": 2}]}, ["/a/0/b"]),
            ({"a": [1]}, {"a": [1, 2]}, ["/a"]),
            ({"a": {}}, {"a": []}, ["/a"]),
        ],
    )
    def test_paths_of_different_values(self, expected, found, paths):
        assert production.find_unread(expected, found) == paths
