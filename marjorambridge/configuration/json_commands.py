"""Parse operator commands in JSON, as the command-line tool sends them."""

from typing import Any

import msgspec

from marjorambridge.configuration.codec import APPLY_CONFIGURATION, CHANGE_KINDS
from marjorambridge.configuration.commands import ApplyConfiguration, Change, OperatorCommand
from marjorambridge.configuration.exceptions import EntryDecodeError
from marjorambridge.orders.state_machine import Artifact, SetTarget, Target

KIND = "kind"
SET_TARGET = "set_target"


class _Artifact(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    size_bytes: int = 0


class _Target(msgspec.Struct, forbid_unknown_fields=True):
    models: list[_Artifact] | None = None
    adapters: list[_Artifact] | None = None
    version: str = ""
    role: str = ""


class _SetTarget(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    name: str
    endpoint: bool = False
    target: _Target | None = None


class _TargetCommand(msgspec.Struct):
    command_id: str
    base_version: int
    change: _SetTarget


def make_change_object(change: Change | ApplyConfiguration) -> dict[str, Any]:
    """Return a change as a JSON object whose ``kind`` names it."""
    if isinstance(change, ApplyConfiguration):
        changes = [make_change_object(item) for item in change.changes]
        return {KIND: APPLY_CONFIGURATION, "changes": changes}
    names = {kind: name for name, kind in CHANGE_KINDS.items()}
    return {KIND: names[type(change)], **msgspec.to_builtins(change)}


def make_command_object(command: OperatorCommand) -> dict[str, Any]:
    """Return a command as a JSON object."""
    return {
        "command_id": command.command_id,
        "operator": command.operator,
        "base_version": command.base_version,
        "wall": command.wall,
        "change": make_change_object(command.change),
    }


def parse_command(raw: Any) -> OperatorCommand:
    """Parse a command from a JSON object.

    Raises
    ------
    EntryDecodeError
        If a field is missing or has a wrong type, or the kind of change is unknown.

    Examples
    --------
    >>> from marjorambridge.configuration.commands import SetZoneOut
    >>> command = OperatorCommand("c1", "asha", None, 1.0, SetZoneOut("bhuj"))
    >>> parse_command(make_command_object(command)) == command
    True
    """
    if not isinstance(raw, dict):
        raise EntryDecodeError("the command is not a JSON object; send an object")
    change = _parse_change(raw.get("change"))
    try:
        return OperatorCommand(
            msgspec.convert(raw.get("command_id"), str),
            msgspec.convert(raw.get("operator"), str),
            msgspec.convert(raw.get("base_version"), int | None),
            msgspec.convert(raw.get("wall"), float),
            change,
        )
    except msgspec.ValidationError as error:
        raise EntryDecodeError(f"the command is not valid ({error}); correct it") from error


def is_target_command(raw: Any) -> bool:
    """Return whether a JSON object is a command that sets the target of a service or endpoint."""
    change = raw.get("change") if isinstance(raw, dict) else None
    return isinstance(change, dict) and change.get(KIND) == SET_TARGET


def parse_target_command(raw: Any) -> SetTarget:
    """Parse a command that sets a target; its base version is that of the target state.

    Raises
    ------
    EntryDecodeError
        If a field is missing or has a wrong type.

    Examples
    --------
    >>> target = {"adapters": [{"name": "ledger-gu", "size_bytes": 7}]}
    >>> change = {"kind": "set_target", "name": "geru-model", "target": target}
    >>> command = parse_target_command({"command_id": "c1", "base_version": 0, "change": change})
    >>> command.target.adapters
    (Artifact(name='ledger-gu', size_bytes=7),)
    """
    try:
        command = msgspec.convert(raw, _TargetCommand)
    except msgspec.ValidationError as error:
        raise EntryDecodeError(f"the command is not valid ({error}); correct it") from error
    change, target = command.change, None
    if change.target is not None:
        target = Target(
            _list_artifacts(change.target.models),
            _list_artifacts(change.target.adapters),
            change.target.version,
            change.target.role,
        )
    return SetTarget(command.command_id, command.base_version, change.endpoint, change.name, target)


def _list_artifacts(items: list[_Artifact] | None) -> tuple[Artifact, ...] | None:
    return None if items is None else tuple(Artifact(item.name, item.size_bytes) for item in items)


def _parse_change(raw: Any) -> Change | ApplyConfiguration:
    if not isinstance(raw, dict):
        raise EntryDecodeError("the command has no change object; add it")
    kind = raw.get(KIND)
    fields = {name: value for name, value in raw.items() if name != KIND}
    if kind == APPLY_CONFIGURATION:
        changes = fields.get("changes")
        if not isinstance(changes, list):
            raise EntryDecodeError("apply_configuration needs a list of changes; add it")
        return ApplyConfiguration(tuple(_parse_simple_change(item) for item in changes))
    return _parse_simple_change(raw)


def _parse_simple_change(raw: Any) -> Change:
    if not isinstance(raw, dict) or raw.get(KIND) not in CHANGE_KINDS:
        raise EntryDecodeError(f"a change needs a kind out of {', '.join(CHANGE_KINDS)}")
    fields = {name: value for name, value in raw.items() if name != KIND}
    try:
        return msgspec.convert(fields, CHANGE_KINDS[raw[KIND]])
    except (msgspec.ValidationError, RecursionError) as error:
        raise EntryDecodeError(f"{raw[KIND]} is not valid ({error}); correct it") from error
