"""Parse operator commands in JSON, as the command-line tool sends them."""

from typing import Any

import msgspec

from marjorambridge.configuration.codec import APPLY_CONFIGURATION, CHANGE_KINDS
from marjorambridge.configuration.commands import ApplyConfiguration, Change, OperatorCommand
from marjorambridge.configuration.exceptions import EntryDecodeError

KIND = "kind"


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
