"""Reading of settings files and key files."""

import tomllib
from pathlib import Path

from lycheevalve.exceptions import SettingsError


def read_toml(path):
    """Parse a TOML file; raise SettingsError if it can't be read or is invalid."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't be read: {error}", "read settings", str(path)) from error
    # Deep nesting and numbers of thousands of digits are no TOMLDecodeError.
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"invalid TOML: {error}", "read settings", str(path)) from error


def read_key(path):
    """Read the shared key of a site; raise SettingsError if that fails or it is too short."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"can't be read: {error}", "read key", str(path)) from error
    if len(key) < 16:
        raise SettingsError("key must have at least 16 bytes", "read key", str(path))
    return key


def raise_findings(all_findings):
    """Raise all errors as one exception group; return the warnings if there are none."""
    errors = [
        SettingsError(line, "check settings")
        for findings in all_findings
        for line in findings.errors
    ]
    if errors:
        raise ExceptionGroup("invalid settings", errors)
    return [line for findings in all_findings for line in findings.warnings]
