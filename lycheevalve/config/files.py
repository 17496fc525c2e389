"""Reading of TOML files."""

import tomllib
from pathlib import Path

from lycheevalve.exceptions import SettingsError


def read_toml(path):
    """Return the content of a TOML file; raise SettingsError."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't be read: {error}", "read settings", str(path)) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}", "read settings", str(path)) from error


def read_key(path):
    """Return the shared key of a site; raise SettingsError."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"can't be read: {error}", "read key", str(path)) from error
    if len(key) < 16:
        raise SettingsError("the key must have at least 16 bytes", "read key", str(path))
    return key


def raise_findings(all_findings):
    """Raise one exception group with every error; return the warnings."""
    errors = [
        SettingsError(line, "check settings")
        for findings in all_findings
        for line in findings.errors
    ]
    if errors:
        raise ExceptionGroup("the settings can't be used", errors)
    return [line for findings in all_findings for line in findings.warnings]
