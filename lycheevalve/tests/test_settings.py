"""Tests of settings files, site configuration and its changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheevalve.config.instance import OPTIONS, changed_options, load_instance_settings
from lycheevalve.config.options import Findings, read_table
from lycheevalve.config.site import check_change, diff_services, load_site, merge_tables
from lycheevalve.exceptions import SettingsError
from lycheevalve.schema.generated.messages import Change, Configuration
from lycheevalve.tests.fakes.replicas import build_service

INSTANCE = """
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


def collect_errors(function, *arguments):
    """Return the messages of all errors that a call raises."""
    with pytest.raises((SettingsError, ExceptionGroup)) as caught:
        function(*arguments)
    group = getattr(caught.value, "exceptions", [caught.value])
    return [str(error) for error in group]


class TestInstanceSettings:
    """Settings of one instance, `lycheevalved --settings FILE`."""

    def load(self, tmp_path, text):
        path = tmp_path / "a1.toml"
        path.write_text(text)
        return load_instance_settings(path)

    def test_valid_file(self, tmp_path):
        settings, warnings = self.load(tmp_path, INSTANCE)
        assert settings.takeover_seconds == 60
        assert warnings == []

    def test_all_errors_are_reported_with_file_key_value_and_valid_values(self, tmp_path):
        text = INSTANCE.replace('"127.0.0.1:7101"', '"nowhere"').replace("fabric", "fabrik")
        errors = collect_errors(self.load, tmp_path, text + 'log_level = "LOUD"\n')
        assert len(errors) == 4
        assert any("address = 'nowhere': must be an address" in error for error in errors)
        assert any("fabrik: unknown key; did you mean 'fabric'?" in e for e in errors)
        assert any("log_level = 'LOUD': must be one of DEBUG" in error for error in errors)
        assert all("a1.toml" in error for error in errors)

    def test_replica_needs_a_data_folder(self, tmp_path):
        errors = collect_errors(self.load, tmp_path, INSTANCE.replace("data_folder", "# "))
        assert "a replica needs a data folder on disk" in errors[0]

    def test_even_number_of_replicas_gives_a_warning(self, tmp_path):
        text = INSTANCE.replace('["a1", "a2", "a3"]', '["a1", "a2"]')
        assert "even number" in self.load(tmp_path, text)[1][0]

    def test_invalid_toml(self, tmp_path):
        assert "invalid TOML" in collect_errors(self.load, tmp_path, "name = ")[0]

    def test_missing_file(self, tmp_path):
        assert "can't be read" in collect_errors(load_instance_settings, tmp_path / "none")[0]

    def test_changed_options_are_split_by_reloadability(self, tmp_path):
        old, _ = self.load(tmp_path, INSTANCE)
        new, _ = self.load(tmp_path, INSTANCE.replace("7101", "7109") + "stop_seconds = 9\n")
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
    """Merging and checking of base file and overlay."""

    def load(self, tmp_path, base, overlay):
        (tmp_path / "base.toml").write_text(base)
        (tmp_path / "overlay.toml").write_text(overlay)
        return load_site(tmp_path / "base.toml", tmp_path / "overlay.toml")

    def test_overlay_takes_precedence_over_defaults_of_base(self, tmp_path):
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
    def test_invalid_site_is_refused_with_reason(self, tmp_path, change, expected):
        errors = collect_errors(self.load, tmp_path, BASE, OVERLAY.replace(*change))
        assert any(expected in error for error in errors)

    def test_front_door_shared_by_two_services_is_refused(self, tmp_path):
        second = OVERLAY + '[services.b]\nrequest = "127.0.0.1:7001"\ndata_centres = ["dc1"]\n'
        assert "is used by both" in collect_errors(self.load, tmp_path, BASE, second)[0]

    def test_merge_is_recursive(self):
        assert merge_tables({"a": {"b": 1, "c": 2}}, {"a": {"b": 3}}) == {"a": {"b": 3, "c": 2}}


class TestChanges:
    """Validation of changes and differences between configurations."""

    def test_invalid_service_is_refused(self):
        service = build_service("nightsync")
        service.deadline_ms = -1
        assert "deadline_ms" in check_change(Configuration(), Change(puts=[service]))

    def test_deleting_a_missing_service_is_refused(self):
        assert "service 'x' can't be deleted" in check_change(
            Configuration(), Change(deletes=["x"])
        )

    def test_drain_of_an_invalid_address_is_refused(self):
        assert "not an upstream address" in check_change(Configuration(), Change(drains=["x"]))

    def test_diff_of_services(self):
        one, two = build_service("one"), build_service("two", 7002)
        changed = build_service("one", 7003)
        assert diff_services([one, two], [changed]) == ([changed], ["two"])
