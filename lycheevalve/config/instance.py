"""Settings of one instance, `lycheevalved --settings FILE`."""

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.schema.generated.settings import Instance

MAX_REPLICAS = 7
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

OPTIONS = {
    "name": Option(options.check_name),
    "data_centre": Option(options.check_name),
    "site": Option(options.check_name),
    "address": Option(options.check_address),
    "peers": Option(options.list_of(options.check_peer)),
    "bridges": Option(options.list_of(options.check_peer), []),
    "fabric": Option(options.list_of(options.check_address, 1)),
    "registry": Option(options.check_address),
    "key_file": Option(options.check_text),
    "data_folder": Option(options.check_any_text, ""),
    "replicas": Option(options.list_of(options.check_name, 1)),
    "statsd": Option(options.check_optional_address, "", reloadable=True),
    "log_level": Option(options.one_of(*LOG_LEVELS), "INFO", reloadable=True),
    "stop_seconds": Option(options.integer_between(1, 3600), 20, reloadable=True),
    "control_bytes_per_second": Option(
        options.integer_between(512, 10**7), 4096, reloadable=True
    ),
    "takeover_seconds": Option(options.integer_between(1, 3600), 60),
}


def load_instance_settings(path):
    """
    Return (settings, warnings) of a file.

    Raise SettingsError or a group of them; each names the file, the key, its value
    and the valid values.
    """
    findings = Findings(str(path))
    values = read_table(read_toml(path), OPTIONS, findings)
    if not findings.errors:
        check_consistency(values, findings)
    warnings = raise_findings([findings])
    return Instance(**values), warnings


def check_consistency(values, findings):
    """Check rules that involve several keys."""
    peers = values["peers"] + values["bridges"]
    names = [peer.partition("@")[0] for peer in peers]
    if len(set(names)) < len(names):
        findings.add_error(
            "peers", f"peers and bridges contain a name twice: {', '.join(sorted(names))}"
        )
    instances = {*names, values["name"]}
    for replica in values["replicas"]:
        if replica not in instances:
            findings.add_invalid_value(
                "replicas",
                replica,
                f"one of the peers or bridges: {', '.join(sorted(instances))}",
            )
    if len(values["replicas"]) > MAX_REPLICAS:
        findings.add_invalid_value(
            "replicas", values["replicas"], f"at most {MAX_REPLICAS} names"
        )
    if len(values["replicas"]) % 2 == 0:
        findings.add_warning(
            "replicas",
            "an even number of replicas tolerates no more failures than one replica fewer",
        )
    if values["data_folder"] and values["name"] not in values["replicas"]:
        findings.add_warning(
            "data_folder", "unused, because this instance is not one of the replicas"
        )
    if values["name"] in values["replicas"] and not values["data_folder"]:
        findings.add_error("data_folder", "missing; a replica needs a data folder on disk")


def changed_options(old, new, declared=OPTIONS):
    """Return the names of changed options: (applied by a reload, applied by a restart)."""
    changed = [name for name in declared if getattr(old, name) != getattr(new, name)]
    reloadable = [name for name in changed if declared[name].reloadable]
    return reloadable, [name for name in changed if name not in reloadable]
