"""Settings of one instance, `lycheevalved --settings FILE`."""

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.schema.generated.settings import Instance

MAX_REPLICAS = 7
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

OPTIONS = {
    "name": Option(options.is_name),
    "data_centre": Option(options.is_name),
    "site": Option(options.is_name),
    "address": Option(options.is_address),
    "peers": Option(options.is_list_of(options.is_peer)),
    "bridges": Option(options.is_list_of(options.is_peer), []),
    "fabric": Option(options.is_list_of(options.is_address, 1)),
    "registry": Option(options.is_address),
    "key_file": Option(options.is_text),
    "data_folder": Option(options.is_any_text, ""),
    "replicas": Option(options.is_list_of(options.is_name, 1)),
    "statsd": Option(options.is_optional_address, "", reloadable=True),
    "log_level": Option(options.is_one_of(*LEVELS), "INFO", reloadable=True),
    "stop_seconds": Option(options.is_integer(1, 3600), 20, reloadable=True),
    "control_bytes_per_second": Option(options.is_integer(512, 10**7), 4096, reloadable=True),
    "takeover_seconds": Option(options.is_integer(1, 3600), 60),
}


def load_process_settings(path):
    """
    Return (settings, warnings) of a file.

    Raise SettingsError or a group of them; each names the file, the key, its value
    and the valid values.
    """
    findings = Findings(str(path))
    values = read_table(read_toml(path), OPTIONS, findings)
    if not findings.errors:
        check_relations(values, findings)
    warnings = raise_findings([findings])
    return Instance(**values), warnings


def check_relations(values, findings):
    """Check rules that involve several keys."""
    listed = values["peers"] + values["bridges"]
    names = [peer.partition("@")[0] for peer in listed]
    if len(set(names)) < len(names):
        findings.note("peers", "peers and bridges contain a name twice")
    known = {*names, values["name"]}
    for replica in values["replicas"]:
        if replica not in known:
            findings.add(
                "replicas", replica, f"one of the peers or bridges: {', '.join(sorted(known))}"
            )
    if len(values["replicas"]) > MAX_REPLICAS:
        findings.add("replicas", values["replicas"], f"at most {MAX_REPLICAS} names")
    if len(values["replicas"]) % 2 == 0:
        findings.warn(
            "replicas",
            "an even number of replicas tolerates no more failures than one replica fewer",
        )
    if values["data_folder"] and values["name"] not in values["replicas"]:
        findings.warn("data_folder", "unused, because this instance is not one of the replicas")
    if values["name"] in values["replicas"] and not values["data_folder"]:
        findings.note("data_folder", "missing; a replica needs a data folder on disk")


def changed_options(old, new, known=OPTIONS):
    """Return the names of the options that differ: (applied by a reload, need a restart)."""
    changed = [name for name in known if getattr(old, name) != getattr(new, name)]
    reloadable = [name for name in changed if known[name].reloadable]
    return reloadable, [name for name in changed if name not in reloadable]
