"""Find the faults of a whole configuration."""

import math
import re
from collections.abc import Collection, Iterable, Iterator

import msgspec

from marjorambridge.conf import defaults
from marjorambridge.configuration.faults import Fault, limit_faults, suggest_name
from marjorambridge.configuration.models import Configuration, Service, Workspace

# Names are parts of shard identifiers and paths, so they contain no slash.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}", re.ASCII)
KEY_HASH = re.compile(r"[0-9a-f]{64}")
MAX_BUCKETS = 64
MAX_BYTES_PER_TOKEN = 64.0
MAX_OUTPUT_TOKENS = 10_000_000


def find_faults(configuration: Configuration, present: Configuration | None = None) -> list[Fault]:
    """Return every fault of a configuration.

    Parameters
    ----------
    configuration : Configuration
        The configuration to check.
    present : Configuration, optional
        A valid configuration that it was made from. Items that are the same objects in both are
        not checked again individually, which keeps a small change of a large configuration cheap.
        A use of an item that exists in `present` only is reported at its deletion.
    """
    return limit_faults(iterate_faults(configuration, present or Configuration()))


def iterate_faults(configuration: Configuration, present: Configuration) -> Iterator[Fault]:
    """Yield every fault as `find_faults` returns them, without a limit."""
    deleted_zones = present.zones.keys() - configuration.zones.keys()
    deleted_services = present.services.keys() - configuration.services.keys()
    yield from _find_limit_faults(configuration)
    for name, zone in configuration.zones.items():
        if zone is not present.zones.get(name):
            yield from _check_name(f"availability_zones.{name[:64]}", name)
            yield from _check_name(f"availability_zones.{name[:64]}.region", zone.region)
    for name, service in configuration.services.items():
        if service is not present.services.get(name):
            yield from _find_service_faults(configuration, service, deleted_zones)
    yield from _find_model_faults(configuration)
    for name, workspace in configuration.workspaces.items():
        if workspace is not present.workspaces.get(name):
            yield from _find_workspace_faults(configuration, workspace, deleted_services)
    yield from _find_key_faults(configuration)
    for zone in sorted(deleted_zones):
        users = [s.name for s in configuration.services.values() if zone in s.zones]
        if users:
            yield Fault(
                f"availability_zones.{zone}",
                f"cannot be deleted while services use it: {_join_names(users)}",
                "remove it from the zones of these services first",
            )
    for service in sorted(deleted_services):
        users = [w.name for w in configuration.workspaces.values() if service in w.services]
        if users:
            yield Fault(
                f"services.{service}",
                f"cannot be deleted while workspaces name it: {_join_names(users)}",
                "remove it from the services of these workspaces first",
            )


def _find_limit_faults(configuration: Configuration) -> Iterator[Fault]:
    for path, count, limit in (
        ("services", len(configuration.services), defaults.MAX_SERVICES),
        ("workspaces", len(configuration.workspaces), defaults.MAX_WORKSPACES),
        ("availability_zones", len(configuration.zones), defaults.MAX_ZONES),
    ):
        if count > limit:
            yield Fault(path, f"{count} items exceed the limit of {limit}", "delete unused ones")
    size = len(msgspec.msgpack.encode(configuration))
    if size > defaults.MAX_CONFIGURATION_BYTES:
        yield Fault(
            "configuration",
            f"{size} bytes exceed the limit of {defaults.MAX_CONFIGURATION_BYTES} bytes",
            "delete unused services, workspaces and keys",
        )


def _find_service_faults(
    configuration: Configuration, service: Service, deleted_zones: Collection[str]
) -> Iterator[Fault]:
    path = f"services.{service.name[:64]}"
    yield from _check_name(path, service.name)
    if not service.zones:
        yield Fault(f"{path}.zones", "the service is in no availability zone", "name at least one")
    yield from _check_repeats(f"{path}.zones", service.zones)
    for zone in service.zones:
        if zone not in configuration.zones and zone not in deleted_zones:
            yield Fault(
                f"{path}.zones",
                f"unknown availability zone {zone[:64]!r}",
                suggest_name(
                    zone, configuration.zones, f"add availability zone {zone[:64]!r} first"
                ),
            )
    yield from _check_range(f"{path}.buckets", service.buckets, 1, MAX_BUCKETS)
    yield from _check_range(
        f"{path}.bytes_per_token", service.bytes_per_token, 0.1, MAX_BYTES_PER_TOKEN
    )
    yield from _check_range(
        f"{path}.default_timeout_seconds",
        service.default_timeout_seconds,
        0.001,
        defaults.MAX_TIMEOUT_SECONDS,
    )
    yield from _check_range(
        f"{path}.default_output_tokens", service.default_output_tokens, 1, MAX_OUTPUT_TOKENS
    )
    yield from _check_repeats(f"{path}.models", service.models)
    for model in service.models:
        if not MODEL_NAME.fullmatch(model):
            yield Fault(
                f"{path}.models",
                f"malformed model name {model[:64]!r}",
                "use 1 to 128 letters, digits, '.', '_', ':', '/' and '-'",
            )


def _find_model_faults(configuration: Configuration) -> Iterator[Fault]:
    owners = {name: name for name in configuration.services}
    for service in configuration.services.values():
        for model in dict.fromkeys(service.models):
            owner = owners.setdefault(model, service.name)
            if owner == service.name and model != service.name:
                continue
            yield Fault(
                f"services.{service.name[:64]}.models",
                f"the model name {model[:64]!r} already belongs to service {owner[:64]!r}",
                "remove it from one of them",
            )


def _find_workspace_faults(
    configuration: Configuration, workspace: Workspace, deleted_services: Collection[str]
) -> Iterator[Fault]:
    path = f"workspaces.{workspace.name[:64]}"
    yield from _check_name(path, workspace.name)
    yield from _check_repeats(f"{path}.services", workspace.services)
    for service in workspace.services:
        if service not in configuration.services and service not in deleted_services:
            yield Fault(
                f"{path}.services",
                f"unknown service {service[:64]!r}",
                suggest_name(
                    service, configuration.services, f"add service {service[:64]!r} first"
                ),
            )
    for key_hash in workspace.key_hashes:
        if not KEY_HASH.fullmatch(key_hash):
            # The text may be a plain key given by mistake, so the fault does not repeat it.
            yield Fault(
                f"{path}.key_hashes",
                "a key hash is not a hexadecimal SHA-256 digest in lower case",
                "give the digest of the key, never the key itself",
            )
    yield from _check_range(
        f"{path}.requests_per_second", workspace.requests_per_second, 0, math.inf
    )
    yield from _check_range(
        f"{path}.concurrent_requests", workspace.concurrent_requests, 0, math.inf
    )


def _find_key_faults(configuration: Configuration) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for workspace in configuration.workspaces.values():
        for key_hash in workspace.key_hashes:
            owner = owners.get(key_hash)
            if owner is not None and KEY_HASH.fullmatch(key_hash):
                yield Fault(
                    f"workspaces.{workspace.name[:64]}.key_hashes",
                    f"the key hash {key_hash[:8]}... already belongs to workspace {owner[:64]!r}",
                    "give each workspace its own keys, each once",
                )
            owners[key_hash] = workspace.name


def _check_name(path: str, name: str) -> Iterator[Fault]:
    if not NAME.fullmatch(name):
        yield Fault(
            path, f"malformed name {name[:64]!r}", "use 1 to 64 letters, digits, '.', '_' and '-'"
        )


def _check_repeats(path: str, names: Iterable[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    repeated: dict[str, None] = {}
    for name in names:
        if name in seen:
            repeated[name] = None
        seen.add(name)
    for name in repeated:
        yield Fault(path, f"{name[:64]!r} is listed twice", "list it once")


def _check_range(path: str, value: float, minimum: float, maximum: float) -> Iterator[Fault]:
    if not minimum <= value <= maximum or not math.isfinite(value):
        bound = f"at least {minimum}" if maximum == math.inf else f"between {minimum} and {maximum}"
        yield Fault(path, f"{value} is out of range", f"use a finite value {bound}")


def _join_names(names: list[str]) -> str:
    rest = f" and {len(names) - 10} more" if len(names) > 10 else ""
    return ", ".join(name[:64] for name in names[:10]) + rest
