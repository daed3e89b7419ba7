"""Encode the entries of log group 0 as MessagePack arrays of kind and body."""

import math
from typing import Any

import msgspec

from marjorambridge.configuration.commands import (
    ApplyConfiguration,
    Change,
    DeleteService,
    DeleteWorkspace,
    DeleteZone,
    Entry,
    HostJoined,
    HostLeaving,
    HostRemoved,
    OperatorCommand,
    PutService,
    PutWorkspace,
    PutZone,
    SetZoneIn,
    SetZoneOut,
)
from marjorambridge.configuration.exceptions import EntryDecodeError

CHANGE_KINDS: dict[str, type] = {
    "put_service": PutService,
    "delete_service": DeleteService,
    "put_workspace": PutWorkspace,
    "delete_workspace": DeleteWorkspace,
    "put_zone": PutZone,
    "delete_zone": DeleteZone,
    "set_zone_out": SetZoneOut,
    "set_zone_in": SetZoneIn,
}
HOST_KINDS: dict[str, type] = {
    "host_joined": HostJoined,
    "host_leaving": HostLeaving,
    "host_removed": HostRemoved,
}
APPLY_CONFIGURATION = "apply_configuration"
OPERATOR_COMMAND = "operator_command"
_KIND_NAMES = {kind: name for name, kind in (CHANGE_KINDS | HOST_KINDS).items()}


class _Tagged(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    kind: str
    body: msgspec.Raw


class _CommandBody(msgspec.Struct):
    command_id: str
    operator: str
    base_version: int | None
    wall: float
    change: _Tagged


def encode_entry(entry: Entry) -> bytes:
    """Return the bytes of an entry; equal entries have equal bytes."""
    if not isinstance(entry, OperatorCommand):
        return msgspec.msgpack.encode((_KIND_NAMES[type(entry)], entry))
    body = {
        "command_id": entry.command_id,
        "operator": entry.operator,
        "base_version": entry.base_version,
        "wall": entry.wall,
        "change": _tag_change(entry.change),
    }
    return msgspec.msgpack.encode((OPERATOR_COMMAND, body))


def decode_entry(payload: bytes) -> Entry:
    """Return the entry that `payload` encodes.

    Raises
    ------
    EntryDecodeError
        If the bytes are malformed or the kind is unknown to this version.
    """
    try:
        tagged = msgspec.msgpack.decode(payload, type=_Tagged)
        if tagged.kind in HOST_KINDS:
            return msgspec.msgpack.decode(tagged.body, type=HOST_KINDS[tagged.kind])
        if tagged.kind != OPERATOR_COMMAND:
            raise _make_unknown_kind_error(tagged.kind)
        body = msgspec.msgpack.decode(tagged.body, type=_CommandBody)
        change = _decode_change(body.change)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise EntryDecodeError(
            f"the log entry is malformed ({error}); compare this replica's log with the others"
        ) from error
    if not math.isfinite(body.wall):
        raise EntryDecodeError(
            "the command's wall time is not a finite number; send the command again with a valid "
            "wall time"
        )
    return OperatorCommand(body.command_id, body.operator, body.base_version, body.wall, change)


def _tag_change(change: Change | ApplyConfiguration) -> tuple[str, Any]:
    if isinstance(change, ApplyConfiguration):
        return (APPLY_CONFIGURATION, [(_KIND_NAMES[type(item)], item) for item in change.changes])
    return (_KIND_NAMES[type(change)], change)


def _decode_change(tagged: _Tagged) -> Change | ApplyConfiguration:
    if tagged.kind != APPLY_CONFIGURATION:
        return _decode_simple_change(tagged)
    items = msgspec.msgpack.decode(tagged.body, type=list[_Tagged])
    return ApplyConfiguration(tuple(_decode_simple_change(item) for item in items))


def _decode_simple_change(tagged: _Tagged) -> Change:
    kind = CHANGE_KINDS.get(tagged.kind)
    if kind is None:
        raise _make_unknown_kind_error(tagged.kind)
    return msgspec.msgpack.decode(tagged.body, type=kind)


def _make_unknown_kind_error(kind: str) -> EntryDecodeError:
    return EntryDecodeError(
        f"the log entry has the unknown kind {kind[:64]!r}; update this host to the version of the "
        "host that wrote the entry"
    )
