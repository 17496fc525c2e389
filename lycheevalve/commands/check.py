"""`lycheevalve check`: check base and overlays, offline."""

from lycheevalve.commands import output
from lycheevalve.config.site import load_site
from lycheevalve.exceptions import LycheevalveError


def check(base, *overlays, json=False):
    """
    Check a base file with each of its overlays, without any instance.

    Example: lycheevalve check examples/base.toml examples/lagos.toml
    """
    return output.call(check_all, base, overlays, json)


def check_all(base, overlays, as_json):
    """Check all overlays and report every error of all of them."""
    errors, warnings, services = [], [], {}
    for overlay in overlays:
        try:
            files = load_site(base, overlay)
        except* LycheevalveError as group:
            errors += output.flatten(group)
        else:
            warnings += files.warnings
            services[files.site.name] = [service.name for service in files.services]
    if not overlays:
        errors.append(LycheevalveError("name at least one overlay", "check"))
    if errors:
        raise ExceptionGroup("the settings can't be used", errors)
    text = [f"{site}: {', '.join(names)}" for site, names in services.items()]
    output.show({"sites": services, "warnings": warnings}, text + warnings, as_json)
