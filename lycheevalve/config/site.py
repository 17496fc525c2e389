"""The configuration of a site: a shared base file and an overlay for each site."""

import attrs

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.schema.generated.settings import FrontDoor, Service, Site

SITE_OPTIONS = {
    "name": Option(options.is_name),
    "data_centres": Option(options.is_list_of(options.is_name, 1)),
    "control": Option(options.is_list_of(options.is_address, 1)),
    "key_file": Option(options.is_text),
}
SERVICE_OPTIONS = {
    "stream": Option(options.is_optional_address, ""),
    "request": Option(options.is_optional_address, ""),
    "data_centres": Option(options.is_list_of(options.is_name, 1)),
    "deadline_ms": Option(options.is_integer(50, 3_600_000), 10_000),
    "idle_seconds": Option(options.is_integer(10, 604_800), 7200),
    "warm_up_seconds": Option(options.is_integer(0, 3600), 5),
    "retry_ratio": Option(options.is_number(0, 1), 0.1),
    "balance": Option(options.is_number(1, 10), 1.02),
    "objective": Option(options.is_number(0.5, 0.999999), 0.999),
}
TOP_LEVEL = ("site", "defaults", "services")


@attrs.frozen
class SiteFiles:
    """A site and its services, as its base file and overlay define them."""

    site: Site
    services: list[Service]
    warnings: list[str]


def merge_tables(base, overlay):
    """Return `base` merged recursively with `overlay`, whose values take precedence."""
    merged = dict(base)
    for key, value in overlay.items():
        both = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge_tables(merged[key], value) if both else value
    return merged


def load_site(base_path, overlay_path):
    """
    Return the SiteFiles of a base file and an overlay.

    Raise all errors of both files together, as a group of SettingsError.
    """
    merged = merge_tables(read_toml(base_path), read_toml(overlay_path))
    findings = Findings(f"{base_path} + {overlay_path}")
    for key in sorted(set(merged) - set(TOP_LEVEL)):
        findings.note(key, f"unknown table; must be one of {', '.join(TOP_LEVEL)}")
    site = read_table(merged.get("site", {}), SITE_OPTIONS, findings, "site.")
    services = read_services(merged, findings)
    if not findings.errors:
        check_site(site, services, findings)
    warnings = raise_findings([findings])
    return SiteFiles(Site(**site), services, warnings)


def read_services(merged, findings):
    """Return the services of all tables; add an error for each value that is no table."""
    defaults, tables = merged.get("defaults", {}), merged.get("services", {})
    wrong = {
        key: value
        for key, value in (("defaults", defaults), ("services", tables))
        if not isinstance(value, dict)
    }
    if not wrong:
        wrong = {
            f"services.{name}": table
            for name, table in tables.items()
            if not isinstance(table, dict)
        }
    for key, value in wrong.items():
        findings.add(key, value, "a table")
    if wrong:
        return []
    return [
        read_service(name, merge_tables(defaults, tables[name]), findings)
        for name in sorted(tables)
    ]


def read_service(name, table, findings):
    """Return the Service that a table describes; add its errors to `findings`."""
    if options.is_name(name) is not None:
        findings.add("services", name, options.is_name(""))
    values = read_table(table, SERVICE_OPTIONS, findings, f"services.{name}.")
    doors = [FrontDoor(values.pop(kind, ""), kind) for kind in ("stream", "request")]
    doors = [door for door in doors if door.address]
    if not doors:
        findings.note(f"services.{name}", "has no front door; set stream, request or both")
    return Service(name=name, front_doors=doors, **values)


def check_site(site, services, findings):
    """Check that services use data centres of the site and don't share front doors."""
    for service in services:
        for place in service.data_centres:
            if place not in site["data_centres"]:
                known = ", ".join(site["data_centres"])
                findings.add(f"services.{service.name}.data_centres", place, f"one of {known}")
    reason = find_conflict(services)
    if reason:
        findings.note("services", reason)


def find_conflict(services):
    """Return why services conflict with each other, or an empty string."""
    owners = {}
    for service in services:
        for door in service.front_doors:
            other = owners.setdefault(door.address, service.name)
            if other != service.name:
                return f"front door {door.address} is used by both {other} and {service.name}"
    return ""


def check_service(service):
    """Return why a service is invalid, or an empty string."""
    values = attrs.asdict(service, recurse=False)
    checks = {key: option.check for key, option in SERVICE_OPTIONS.items() if key in values}
    for key, check in checks.items():
        allowed = check(values[key])
        if allowed is not None:
            return f"service {service.name!r}: {key} = {values[key]!r}: must be {allowed}"
    if options.is_name(service.name) is not None or not service.front_doors:
        return f"service {service.name!r} must have a valid name and a front door"
    for door in service.front_doors:
        if door.kind not in ("stream", "request") or options.is_address(door.address):
            return (
                f"service {service.name!r}: invalid front door {door.address!r} ({door.kind!r})"
            )
    return ""


def check_change(configuration, change):
    """
    Return why a change is invalid, or an empty string.

    The result depends on nothing but the arguments, so all replicas decide alike.
    """
    for service in change.puts:
        reason = check_service(service)
        if reason:
            return reason
    services = {service.name: service for service in configuration.services}
    missing = [name for name in change.deletes if name not in services]
    if missing:
        return f"service {missing[0]!r} can't be deleted: it does not exist"
    for name in change.deletes:
        del services[name]
    services.update({service.name: service for service in change.puts})
    bad = [a for a in change.drains + change.undrains if options.is_address(a)]
    if bad:
        return f"{bad[0]!r} is not an upstream address of the form ip:port"
    return find_conflict(services.values())


def diff_services(current, wanted):
    """Return (puts, deletes) that change the services `current` into `wanted`."""
    known = {service.name: service for service in current}
    names = {service.name for service in wanted}
    puts = [service for service in wanted if known.get(service.name) != service]
    return puts, sorted(name for name in known if name not in names)
