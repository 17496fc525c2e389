"""Settings of one entry or control process of a site that routes flows by cookies."""

import attrs

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.instance import LOG_LEVELS
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.schema.generated.settings import Role

ENTRY = "entry"
CONTROL = "control"
MIN_KEY_BYTES = 16

OPTIONS = {
    "role": Option(options.one_of(ENTRY, CONTROL)),
    "name": Option(options.check_name),
    "data_centre": Option(options.check_name),
    "ip": Option(options.check_text),
    "link_port": Option(options.integer_between(1, 65_535)),
    "seeds": Option(options.list_of(options.check_address), reloadable=True),
    "packets": Option(options.check_optional_address, ""),
    "readiness": Option(options.check_optional_address, ""),
    "operators": Option(options.check_optional_address, ""),
    "founding": Option(options.one_of(True, False), False),
    "metrics": Option(options.check_optional_address, ""),
    "data_folder": Option(options.check_any_text, ""),
    "key": Option(options.check_text),
    "heartbeat_ms": Option(options.integer_between(10, 3_600_000), 1000),
    "stop_seconds": Option(options.number_between(1, 3600), 6.0),
    "tolerated_losses": Option(options.integer_between(0, 3), 1),
    "catch_up_seconds": Option(options.number_between(1, 3600), 4.0),
    "address_reuse_seconds": Option(options.number_between(0, 3600), 0),
    "data_centres": Option(options.list_of(options.check_name), ()),
    "link_mbps": Option(options.number_between(0, 1_000_000), 0),
    "log_level": Option(options.one_of(*LOG_LEVELS), "INFO", reloadable=True),
}
# Keys that must not be empty, by role.
REQUIRED_KEYS = {
    ENTRY: ("packets", "readiness"),
    CONTROL: ("operators", "data_folder"),
}


@attrs.frozen
class ReplicaSettings:
    """The settings that ReplicaTask reads: its name and the configured replicas."""

    name: str
    replicas: list


def load_role_settings(path):
    """
    Return the Role of a settings file.

    Raise a group of SettingsError; each names the file, the key, its value and the
    valid values.
    """
    findings = Findings(str(path))
    values = read_table(read_toml(path), OPTIONS, findings)
    if not findings.errors:
        check_consistency(values, findings)
    raise_findings([findings])
    return Role(**values)


def check_consistency(values, findings):
    """Check rules that involve several keys."""
    if len(values["key"]) < MIN_KEY_BYTES:
        findings.add_error("key", f"must have at least {MIN_KEY_BYTES} characters")
    if options.check_address(f"{values['ip']}:{values['link_port']}") is not None:
        findings.add_invalid_value("ip", values["ip"], "an IPv4 address")
    for key in REQUIRED_KEYS[values["role"]]:
        if not values[key]:
            findings.add_error(key, f"missing; required by role {values['role']}")


def link_address(settings):
    """Return the address at which this process accepts links of other processes."""
    return f"{settings.ip}:{settings.link_port}"


def link_addresses(settings):
    """Return the addresses at which the seeds accept links."""
    hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
    return [f"{host}:{settings.link_port}" for host in dict.fromkeys(hosts)]
