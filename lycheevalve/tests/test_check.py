"""Tests of `lycheevalve check` with settings of one process."""

import json
from pathlib import Path

import pytest

from lycheevalve.commands.check import check

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "instance.toml")
ROLE = """
role = "control"
name = "c1"
data_centre = "dc1"
ip = "10.0.0.1"
link_port = 7600
seeds = ["10.0.0.2:7602"]
operators = "10.0.0.1:7602"
data_folder = "data"
key = "sixteen bytes or more"
"""


@pytest.fixture
def write_settings(tmp_path):
    """Return a function that writes a settings file and returns its path."""

    def write_text(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return str(path)

    return write_text


class TestProcessSettings:
    """Settings of one process."""

    def test_role(self, write_settings, capsys):
        check(write_settings(ROLE))
        assert capsys.readouterr().out == "c1: control\n"

    def test_instance(self, capsys):
        check(EXAMPLE, json=True)
        assert json.loads(capsys.readouterr().out)["kind"] == "instance"

    def test_all_errors_are_reported_together(self, write_settings, capsys):
        invalid = (
            ROLE.replace("7600", "0").replace('"10.0.0.1:7602"', '"nowhere"') + "what = 1\n"
        )
        with pytest.raises(SystemExit):
            check(write_settings(invalid))
        errors = capsys.readouterr().err
        for key in ("link_port", "operators", "what"):
            assert key in errors

    @pytest.mark.parametrize("text", ["", "[defaults]\n", "not TOML"])
    def test_files_without_process_settings_are_refused(self, write_settings, text, capsys):
        with pytest.raises(SystemExit):
            check(write_settings(text))
        assert "lycheevalve: " in capsys.readouterr().err
