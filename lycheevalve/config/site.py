"""The configuration of a site: a shared base file and an overlay for each site."""

import attrs

from lycheevalve.config import options
from lycheevalve.config.files import raise_findings, read_toml
from lycheevalve.config.options import Findings, Option, read_table
from lycheevalve.schema.generated.settings import FrontDoor, Service, Site

SITE_OPTIONS = {
    "name": Option(options.check_name),
    "data_centres": Option(options.list_of(options.check_name, 1)),
    "control": Option(options.list_of(options.check_address, 1)),
    "key_file": Option(options.check_text),
}
SERVICE_OPTIONS = {
    "stream": Option(options.check_optional_address, ""),
    "request": Option(options.check_optional_address, ""),
    "data_centres": Option(options.list_of(options.check_name, 1)),
    "deadline_ms": Option(options.integer_between(50, 3_600_000), 10_000),
    "idle_seconds": Option(options.integer_between(10, 604_800), 7200),
    "warm_up_seconds": Option(options.integer_between(0, 3600), 5),
    "retry_ratio": Option(options.number_between(0, 1), 0.1),
    "balance": Option(options.number_between(1, 10), 1.02),
    "objective": Option(options.number_between(0.5, 0.999999), 0.999),
}
TOP_LEVEL_TABLES = ("site", "defaults", "services")


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
        are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge_tables(merged[key], value) if are_tables else value
    return merged


def load_site(base_path, overlay_path):
    """
    Return the SiteFiles of a base file and an overlay.

    Raise all errors of both files together, as a group of SettingsError.
    """
    merged = merge_tables(read_toml(base_path), read_toml(overlay_path))
    findings = Findings(f"{base_path} + {overlay_path}")
    for key in sorted(set(merged) - set(TOP_LEVEL_TABLES)):
        findings.add_error(key, f"unknown table; must be one of {', '.join(TOP_LEVEL_TABLES)}")
    site = read_table(merged.get("site", {}), SITE_OPTIONS, findings, "site.")
    services = read_services(merged, findings)
    if not findings.errors:
        check_site(site, services, findings)
    warnings = raise_findings([findings])
    return SiteFiles(Site(**site), services, warnings)


def read_services(merged, findings):
    """Return the services of all tables; add an error for each value that is no table."""
    defaults, tables = merged.get("defaults", {}), merged.get("services", {})
    invalid = {
        key: value
        for key, value in (("defaults", defaults), ("services", tables))
        if not isinstance(value, dict)
    }
    if not invalid:
        invalid = {
            f"services.{name}": table
            for name, table in tables.items()
            if not isinstance(table, dict)
        }
    for key, value in invalid.items():
        findings.add_invalid_value(key, value, "a table")
    if invalid:
        return []
    return [
        read_service(name, merge_tables(defaults, tables[name]), findings)
        for name in sorted(tables)
    ]


def read_service(name, table, findings):
    """Return the Service that a table describes; add its errors to `findings`."""
    if options.check_name(name) is not None:
        findings.add_invalid_value("services", name, options.check_name(""))
    values = read_table(table, SERVICE_OPTIONS, findings, f"services.{name}.")
    front_doors = [FrontDoor(values.pop(kind, ""), kind) for kind in ("stream", "request")]
    front_doors = [front_door for front_door in front_doors if front_door.address]
    if not front_doors:
        findings.add_error(f"services.{name}", "has no front door; set stream, request or both")
    return Service(name=name, front_doors=front_doors, **values)


def check_site(site, services, findings):
    """Check that services use data centres of the site and don't share front doors."""
    for service in services:
        for data_centre in service.data_centres:
            if data_centre not in site["data_centres"]:
                expected = ", ".join(site["data_centres"])
                findings.add_invalid_value(
                    f"services.{service.name}.data_centres", data_centre, f"one of {expected}"
                )
    reason = find_conflict(services)
    if reason:
        findings.add_error("services", reason)


def find_conflict(services):
    """Return why services conflict with each other, or an empty string."""
    service_names = {}
    for service in services:
        for front_door in service.front_doors:
            other = service_names.setdefault(front_door.address, service.name)
            if other != service.name:
                return (
                    f"front door {front_door.address} is used by both {other} "
                    f"and {service.name}"
                )
    return ""


def check_service(service):
    """Return why a service is invalid, or an empty string."""
    values = attrs.asdict(service, recurse=False)
    checks = {key: option.check for key, option in SERVICE_OPTIONS.items() if key in values}
    for key, check in checks.items():
        expected = check(values[key])
        if expected is not None:
            return f"service {service.name!r}: {key} = {values[key]!r}: must be {expected}"
    if options.check_name(service.name) is not None or not service.front_doors:
        return f"service {service.name!r} must have a valid name and a front door"
    for front_door in service.front_doors:
        if front_door.kind not in ("stream", "request") or options.check_address(
            front_door.address
        ):
            return (
                f"service {service.name!r}: invalid front door {front_door.address!r} "
                f"({front_door.kind!r})"
            )
    return ""


def check_change(configuration, change):
    """
    Return why a change is invalid, or an empty string.

    The result depends on nothing but the arguments, so all replicas return the same.
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
    invalid = [a for a in change.drains + change.undrains if options.check_address(a)]
    if invalid:
        return f"{invalid[0]!r} is not an upstream address of the form ip:port"
    return find_conflict(services.values())


def diff_services(current, wanted):
    """Return (puts, deletes) that change the services `current` into `wanted`."""
    existing = {service.name: service for service in current}
    names = {service.name for service in wanted}
    puts = [service for service in wanted if existing.get(service.name) != service]
    return puts, sorted(name for name in existing if name not in names)
