"""`lycheevalve check`: validate settings files offline."""

from lycheevalve.commands import output
from lycheevalve.config.files import read_toml
from lycheevalve.config.instance import load_instance_settings
from lycheevalve.config.roles import load_role_settings
from lycheevalve.config.site import load_site
from lycheevalve.exceptions import LycheevalveError


def check(base, *overlays, json=False):
    """
    Check a base file with each of its overlays, or the settings of one process.

    No instance needs to run. All errors are reported together.

    Examples: lycheevalve check examples/base.toml examples/lagos.toml
              lycheevalve check examples/instance.toml
    """
    return output.run_sync(check_all, base, overlays, json)


def check_all(base, overlays, as_json):
    """Check the files of a site, or the settings of one process."""
    if overlays:
        check_sites(base, overlays, as_json)
    else:
        check_process(base, as_json)


def check_sites(base, overlays, as_json):
    """Check all overlays and report the errors of all of them together."""
    errors, warnings, services = [], [], {}
    for overlay in overlays:
        try:
            files = load_site(base, overlay)
        except* LycheevalveError as group:
            errors += output.flatten_errors(group)
        else:
            warnings += files.warnings
            services[files.site.name] = [service.name for service in files.services]
    if errors:
        raise ExceptionGroup("invalid settings", errors)
    text = [f"{site}: {', '.join(names)}" for site, names in services.items()]
    output.print_result({"sites": services, "warnings": warnings}, text + warnings, as_json)


def check_process(path, as_json):
    """Check the settings of one process, whose kind is derived from their keys."""
    values = read_toml(path)
    warnings = []
    if "role" in values:
        name, kind = load_role_settings(path).name, values["role"]
    elif "peers" in values:
        settings, warnings = load_instance_settings(path)
        name, kind = settings.name, "instance"
    else:
        reason = (
            "a base file needs an overlay; settings of a process need the key role or peers"
        )
        raise LycheevalveError(reason, "check", str(path))
    data = {"name": name, "kind": kind, "warnings": warnings}
    output.print_result(data, [f"{name}: {kind}", *warnings], as_json)
