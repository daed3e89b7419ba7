"""Apply the commands of the control log in order."""

import msgspec

from marjorambridge.control.commands import (
    UNCONDITIONAL,
    AnyCommand,
    DrainZone,
    EndpointRecord,
    ForgetEndpoints,
    RegisterEndpoints,
    ReplaceManifest,
    RestoreZone,
    RetireEndpoint,
    ZoneOrder,
    decode_command,
)
from marjorambridge.control.exceptions import ControlDecodeError

# Commands are retried for about one second; this many cover every retry.
MAX_RECENT_COMMANDS = 2_000
# Leaving endpoints stop within seconds; this many cover a rollout to a whole fleet.
MAX_RETIRED_ENDPOINTS = 4_000


class ControlState(msgspec.Struct):
    """Hold the control state of a fleet.

    Attributes
    ----------
    index : int
        Index of the last entry that was applied.
    version : int
        Version of the manifest; 0 if there is none yet.
    document : bytes
        Manifest as the operator sent it, compressed with zlib.
    drained : dict of str to int
        Drained zones with the index of the command that drained them.
    restored : dict of str to int
        Formerly drained zones with the index of the command that last restored them.
    zone_orders : dict of str to int
        Index of the last order for each zone, also of one that found the zone as it should be.
    registered : dict of str to EndpointRecord
        Endpoints that reported, by their identifier.
    retired : dict of str to int
        Endpoints that are leaving, with the start time of their incarnation; oldest first.
    recent : dict of str to None
        Identifiers of the last commands, in order.
    """

    index: int = 0
    version: int = 0
    document: bytes = b""
    drained: dict[str, int] = {}
    restored: dict[str, int] = {}
    zone_orders: dict[str, int] = {}
    registered: dict[str, EndpointRecord] = {}
    retired: dict[str, int] = {}
    recent: dict[str, None] = {}


def apply_entry(state: ControlState, index: int, payload: bytes) -> AnyCommand | None:
    """Apply a committed entry and return its command; None if it is empty or already applied.

    A command that was applied before under another index changes nothing and is returned as well.

    Raises
    ------
    ControlDecodeError
        If the payload is not a command; the state is unchanged.
    """
    if index <= state.index:
        return None
    command = decode_command(payload) if payload else None
    state.index = index
    if command is None:
        return None
    if command.command_id in state.recent:
        return command
    state.recent[command.command_id] = None
    while len(state.recent) > MAX_RECENT_COMMANDS:
        del state.recent[next(iter(state.recent))]
    match command:
        case ReplaceManifest():
            if command.version > state.version:
                state.version, state.document = command.version, command.document
        case DrainZone() | RestoreZone():
            _apply_zone_order(state, index, command)
        case RegisterEndpoints():
            for record in command.endpoints:
                known = state.registered.get(record.endpoint)
                if known is None or known.born <= record.born:
                    state.registered[record.endpoint] = record
        case ForgetEndpoints():
            for endpoint, born in command.born.items():
                known = state.registered.get(endpoint)
                if known is not None and known.born <= born:
                    del state.registered[endpoint]
        case RetireEndpoint():
            _retire_endpoint(state, command)
    return command


def _apply_zone_order(state: ControlState, index: int, order: ZoneOrder) -> None:
    """Apply an order, unless it has a condition and another order was applied before it."""
    if order.follows != UNCONDITIONAL:
        if order.follows != state.zone_orders.get(order.zone, 0):
            return
        state.zone_orders[order.zone] = index
    if isinstance(order, DrainZone):
        state.drained[order.zone] = index
    elif state.drained.pop(order.zone, None) is not None:
        state.restored[order.zone] = index


def _retire_endpoint(state: ControlState, command: RetireEndpoint) -> None:
    registered = state.registered.get(command.endpoint)
    if registered is not None and registered.born <= command.born:
        del state.registered[command.endpoint]
    known = state.retired.pop(command.endpoint, 0)
    state.retired[command.endpoint] = max(known, command.born)
    while len(state.retired) > MAX_RETIRED_ENDPOINTS:
        del state.retired[next(iter(state.retired))]


def is_registered(
    state: ControlState, endpoint: str, born: int, address: str, service: str
) -> bool:
    """Return whether an endpoint is registered as it reports itself, or a later incarnation is."""
    known = state.registered.get(endpoint)
    if known is None or known.born > born:
        return known is not None
    return (known.born, known.address, known.service) == (born, address, service)


def is_retired(state: ControlState, endpoint: str, born: int) -> bool:
    """Return whether an incarnation of an endpoint is leaving."""
    return born <= state.retired.get(endpoint, -1)


def take_snapshot(state: ControlState) -> bytes:
    """Return the encoded state."""
    return msgspec.msgpack.encode(state)


def restore_snapshot(data: bytes) -> ControlState:
    """Return the decoded state of a snapshot.

    Raises
    ------
    ControlDecodeError
        If the data is not a snapshot.
    """
    try:
        return msgspec.msgpack.decode(data, type=ControlState)
    except msgspec.DecodeError as error:
        raise ControlDecodeError(
            f"unreadable snapshot ({error}); move the data folder away to repair the replica"
        ) from error
