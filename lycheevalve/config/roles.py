"""Settings of one entry or control process of a site that routes flows by cookies."""

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.config.process import LEVELS
from lycheevalve.schema.generated.settings import Role

ENTRY = "entry"
CONTROL = "control"
MIN_KEY_BYTES = 16

OPTIONS = {
    "role": Option(options.is_one_of(ENTRY, CONTROL)),
    "name": Option(options.is_name),
    "data_centre": Option(options.is_name),
    "ip": Option(options.is_text),
    "link_port": Option(options.is_integer(1, 65_535)),
    "seeds": Option(options.is_list_of(options.is_address), reloadable=True),
    "packets": Option(options.is_optional_address, ""),
    "readiness": Option(options.is_optional_address, ""),
    "operators": Option(options.is_optional_address, ""),
    "founding": Option(options.is_one_of(True, False), False),
    "metrics": Option(options.is_optional_address, ""),
    "data_folder": Option(options.is_any_text, ""),
    "key": Option(options.is_text),
    "heartbeat_ms": Option(options.is_integer(10, 3_600_000), 1000),
    "stop_seconds": Option(options.is_integer(1, 3600), 6),
    "tolerated_losses": Option(options.is_integer(0, 3), 1),
    "log_level": Option(options.is_one_of(*LEVELS), "INFO", reloadable=True),
}
# Keys that must not be empty, by role.
NEEDED = {
    ENTRY: ("packets", "readiness"),
    CONTROL: ("operators", "data_folder"),
}


def load_role(path):
    """
    Return the Role of a settings file.

    Raise a group of SettingsError; each names the file, the key, its value and the
    valid values.
    """
    findings = Findings(str(path))
    values = read_table(read_toml(path), OPTIONS, findings)
    if not findings.errors:
        check_relations(values, findings)
    raise_findings([findings])
    return Role(**values)


def check_relations(values, findings):
    """Check rules that involve several keys."""
    if len(values["key"]) < MIN_KEY_BYTES:
        findings.note("key", f"must have at least {MIN_KEY_BYTES} characters")
    if options.is_address(f"{values['ip']}:{values['link_port']}") is not None:
        findings.add("ip", values["ip"], "an IPv4 address")
    for key in NEEDED[values["role"]]:
        if not values[key]:
            findings.note(key, f"missing; required by role {values['role']}")


def link_address(settings):
    """Return the address at which this process accepts links of other processes."""
    return f"{settings.ip}:{settings.link_port}"


def link_addresses(settings):
    """Return the addresses at which the seeds accept links."""
    hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
    return [f"{host}:{settings.link_port}" for host in dict.fromkeys(hosts)]
