"""Settings files, the configuration of a site, and its changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.config.options import Findings, read_table
from lycheevalve.config.process import OPTIONS, changed_options, load_process_settings
from lycheevalve.config.site import check_change, diff_services, load_site, merge_tables
from lycheevalve.exceptions import SettingsError
from lycheevalve.schema.generated.messages import Change, Configuration
from lycheevalve.tests.fakes.replicas import build_service

PROCESS = """
name = "a1"
data_centre = "dc1"
site = "lagos"
address = "127.0.0.1:7101"
peers = ["a2@127.0.0.1:7102", "a3@127.0.0.1:7103"]
fabric = ["127.0.0.1:7000"]
registry = "127.0.0.1:5683"
key_file = "key"
replicas = ["a1", "a2", "a3"]
data_folder = "data"
"""
BASE = "[defaults]\ndeadline_ms = 5000\n"
OVERLAY = """
[site]
name = "lagos"
data_centres = ["dc1", "dc2"]
control = ["127.0.0.1:7101"]
key_file = "key"
[services.nightsync]
stream = "127.0.0.1:7001"
data_centres = ["dc1"]
"""


def errors_of(function, *arguments):
    """Return the messages of all errors that a call raises."""
    with pytest.raises((SettingsError, ExceptionGroup)) as caught:
        function(*arguments)
    group = getattr(caught.value, "exceptions", [caught.value])
    return [str(error) for error in group]


class TestProcessSettings:
    """`lycheevalved --settings FILE`."""

    def load(self, tmp_path, text):
        path = tmp_path / "a1.toml"
        path.write_text(text)
        return load_process_settings(path)

    def test_good_file(self, tmp_path):
        settings, warnings = self.load(tmp_path, PROCESS)
        assert settings.takeover_seconds == 60
        assert warnings == []

    def test_all_errors_come_together_with_file_key_value_and_what_is_allowed(self, tmp_path):
        text = PROCESS.replace('"127.0.0.1:7101"', '"nowhere"').replace("fabric", "fabrik")
        errors = errors_of(self.load, tmp_path, text + 'log_level = "LOUD"\n')
        assert len(errors) == 4
        assert any("address = 'nowhere': must be an address" in error for error in errors)
        assert any("fabrik: unknown key; did you mean 'fabric'?" in e for e in errors)
        assert any("log_level = 'LOUD': must be one of DEBUG" in error for error in errors)
        assert all("a1.toml" in error for error in errors)

    def test_replica_needs_a_folder(self, tmp_path):
        errors = errors_of(self.load, tmp_path, PROCESS.replace("data_folder", "# "))
        assert "a replica needs a folder" in errors[0]

    def test_even_number_of_replicas_is_a_warning(self, tmp_path):
        text = PROCESS.replace('["a1", "a2", "a3"]', '["a1", "a2"]')
        assert "even number" in self.load(tmp_path, text)[1][0]

    def test_not_toml(self, tmp_path):
        assert "not TOML" in errors_of(self.load, tmp_path, "name = ")[0]

    def test_missing_file(self, tmp_path):
        assert "can't be read" in errors_of(load_process_settings, tmp_path / "none")[0]

    def test_what_a_reload_changes(self, tmp_path):
        old, _ = self.load(tmp_path, PROCESS)
        new, _ = self.load(tmp_path, PROCESS.replace("7101", "7109") + "stop_seconds = 9\n")
        assert changed_options(old, new) == (["stop_seconds"], ["address"])

    @given(
        st.dictionaries(
            st.sampled_from(sorted(OPTIONS)),
            st.one_of(st.integers(), st.text(max_size=5), st.lists(st.integers(), max_size=2)),
            min_size=1,
        )
    )
    def test_any_values_are_read_or_refused(self, values):
        findings = Findings("file")
        read_table(values, OPTIONS, findings)
        assert findings.errors


class TestSiteFiles:
    """Base and overlay."""

    def load(self, tmp_path, base, overlay):
        (tmp_path / "base.toml").write_text(base)
        (tmp_path / "overlay.toml").write_text(overlay)
        return load_site(tmp_path / "base.toml", tmp_path / "overlay.toml")

    def test_overlay_goes_over_base_and_defaults(self, tmp_path):
        files = self.load(tmp_path, BASE, OVERLAY + "deadline_ms = 700\n")
        assert files.services[0].deadline_ms == 700
        assert self.load(tmp_path, BASE, OVERLAY).services[0].deadline_ms == 5000

    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            (("stream =", "streem ="), "did you mean 'stream'"),
            (('data_centres = ["dc1"]', 'data_centres = ["dc7"]'), "must be one of dc1, dc2"),
            (("[services.nightsync]", "[servicse.nightsync]"), "unknown table"),
            (("[services.nightsync]", "[services]\nnightsync = 3\n[x]"), "must be a table"),
        ],
    )
    def test_mistakes_are_named(self, tmp_path, change, expected):
        errors = errors_of(self.load, tmp_path, BASE, OVERLAY.replace(*change))
        assert any(expected in error for error in errors)

    def test_front_door_of_two_services(self, tmp_path):
        second = OVERLAY + '[services.b]\nrequest = "127.0.0.1:7001"\ndata_centres = ["dc1"]\n'
        assert "is both" in errors_of(self.load, tmp_path, BASE, second)[0]

    def test_merge_is_deep(self):
        assert merge_tables({"a": {"b": 1, "c": 2}}, {"a": {"b": 3}}) == {"a": {"b": 3, "c": 2}}


class TestChanges:
    """Changes as the replicas check them."""

    def test_bad_service_is_refused(self):
        service = build_service("nightsync")
        service.deadline_ms = -1
        assert "deadline_ms" in check_change(Configuration(), Change(puts=[service]))

    def test_deleting_what_is_not_there_is_refused(self):
        assert "no service" in check_change(Configuration(), Change(deletes=["x"]))

    def test_drain_of_no_address_is_refused(self):
        assert "not an address" in check_change(Configuration(), Change(drains=["x"]))

    def test_difference_leads_from_one_to_the_other(self):
        one, two = build_service("one"), build_service("two", 7002)
        changed = build_service("one", 7003)
        assert diff_services([one, two], [changed]) == ([changed], ["two"])
