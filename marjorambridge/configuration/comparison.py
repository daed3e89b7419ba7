"""Compare two configurations and list the changes that lead from one to the other."""

from collections.abc import Iterator
from enum import StrEnum
from typing import Any

from msgspec.structs import replace

from marjorambridge.configuration.commands import (
    Change,
    DeleteService,
    DeleteWorkspace,
    DeleteZone,
    PutService,
    PutWorkspace,
    PutZone,
    SetZoneIn,
    SetZoneOut,
)
from marjorambridge.configuration.models import Configuration, Service


def describe_differences(old: Configuration, new: Configuration) -> list[str]:
    """Return one line of plain text for each difference; key hashes are shortened."""
    lines: list[str] = []
    for label, before, after in (
        ("availability zone", old.zones, new.zones),
        ("service", old.services, new.services),
        ("workspace", old.workspaces, new.workspaces),
    ):
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                lines.append(f"{label} {name}: deleted")
            elif name not in before:
                lines.append(f"{label} {name}: created")
            else:
                lines += _describe_fields(f"{label} {name}", before[name], after[name])
    return lines


def list_changes(old: Configuration, new: Configuration) -> list[Change]:
    """Return the changes that turn `old` into `new`.

    Both must be valid; then each prefix of the list also leads to a valid configuration. A model
    name or a key that moves from one item to another is first removed from the old one, so that
    it belongs to no item in between. Sending the list in one `ApplyConfiguration` avoids these
    intermediate configurations.
    """
    return [
        *_list_zone_puts(old, new),
        *(DeleteWorkspace(name) for name in sorted(old.workspaces.keys() - new.workspaces.keys())),
        *_list_service_puts(old, new),
        *_list_workspace_puts(old, new),
        *(DeleteService(name) for name in sorted(old.services.keys() - new.services.keys())),
        *_list_delayed_service_puts(old, new),
        *(DeleteZone(name) for name in sorted(old.zones.keys() - new.zones.keys())),
        *_list_zone_returns(old, new),
    ]


def _list_zone_puts(old: Configuration, new: Configuration) -> Iterator[Change]:
    for name, zone in sorted(new.zones.items()):
        before = old.zones.get(name)
        if before is None or before.region != zone.region:
            yield PutZone(name, zone.region)
        if zone.out and not (before and before.out):
            yield SetZoneOut(name)


def _list_zone_returns(old: Configuration, new: Configuration) -> Iterator[Change]:
    for name, zone in sorted(new.zones.items()):
        if not zone.out and name in old.zones and old.zones[name].out:
            yield SetZoneIn(name)


def _list_service_puts(old: Configuration, new: Configuration) -> Iterator[Change]:
    """Yield puts that remove moved model names from their old services, then the new services.

    Model names that are also the name of a service to be deleted are left out.
    """
    owners = _map_model_owners(new)
    stripped: dict[str, Service] = {}
    for name, service in sorted(old.services.items()):
        models = tuple(model for model in service.models if owners.get(model, name) == name)
        if models != service.models:
            stripped[name] = replace(service, models=models)
            yield PutService(stripped[name])
    for name, service in sorted(new.services.items()):
        usable = _remove_deleted_names(service, old, new)
        if usable != stripped.get(name, old.services.get(name)):
            yield PutService(usable)


def _list_delayed_service_puts(old: Configuration, new: Configuration) -> Iterator[Change]:
    for _, service in sorted(new.services.items()):
        if _remove_deleted_names(service, old, new) != service:
            yield PutService(service)


def _list_workspace_puts(old: Configuration, new: Configuration) -> Iterator[Change]:
    owners = {key: name for name, item in new.workspaces.items() for key in item.key_hashes}
    present = dict(old.workspaces)
    for name, workspace in sorted(old.workspaces.items()):
        keys = tuple(key for key in workspace.key_hashes if owners.get(key, name) == name)
        if name in new.workspaces and keys != workspace.key_hashes:
            present[name] = replace(workspace, key_hashes=keys)
            yield PutWorkspace(present[name])
    for name, workspace in sorted(new.workspaces.items()):
        if present.get(name) != workspace:
            yield PutWorkspace(workspace)


def _map_model_owners(configuration: Configuration) -> dict[str, str]:
    owners = {name: name for name in configuration.services}
    for name, service in configuration.services.items():
        owners.update((model, name) for model in service.models)
    return owners


def _remove_deleted_names(service: Service, old: Configuration, new: Configuration) -> Service:
    models = tuple(
        model for model in service.models if model not in old.services or model in new.services
    )
    return service if models == service.models else replace(service, models=models)


def _describe_fields(label: str, before: Any, after: Any) -> Iterator[str]:
    for field_name in before.__struct_fields__:
        old, new = getattr(before, field_name), getattr(after, field_name)
        if old == new:
            continue
        if isinstance(old, tuple):
            added = [_format_value(value, field_name) for value in new if value not in old]
            removed = [_format_value(value, field_name) for value in old if value not in new]
            parts = [f"+{value}" for value in added] + [f"-{value}" for value in removed]
            yield f"{label}: {field_name} {' '.join(parts) or 'in another order'}"
        else:
            yield f"{label}: {field_name} {_format_value(old, '')} -> {_format_value(new, '')}"


def _format_value(value: Any, name: str) -> str:
    if name == "key_hashes":
        return f"{value[:8]}..."
    return value.value if isinstance(value, StrEnum) else str(value)
