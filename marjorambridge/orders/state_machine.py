"""Apply the committed target state of the endpoints."""

import msgspec
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.orders.exceptions import OrderEntryError

# Prefix that distinguishes the payloads of this package in log group 0 from those of others.
ORDER_PREFIX = b"orders1\0"


class Artifact(msgspec.Struct, array_like=True, frozen=True):
    """A model or adapter and its size in the weight store."""

    name: str
    size_bytes: int


class Target(msgspec.Struct, array_like=True, frozen=True):
    """Describe what an endpoint is to serve; None or an empty text leaves a field unchanged."""

    models: tuple[Artifact, ...] | None = None
    adapters: tuple[Artifact, ...] | None = None
    version: str = ""
    role: str = ""


class SetTarget(msgspec.Struct, tag="t", array_like=True, frozen=True):
    """Set the target of a service or an endpoint; `target` None removes it.

    Attributes
    ----------
    command : str
        Identifier of the command; a resent command gets its first result.
    base_version : int
        Version of the target state that the command is based on.
    endpoint : bool
        Whether `name` is an endpoint, whose target replaces that of its service.
    """

    command: str
    base_version: int
    endpoint: bool
    name: str
    target: Target | None


class TakeTokens(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Record that a load took tokens of the weight store, and how many bytes are left."""

    taken: float
    left: float


OrderCommand = SetTarget | TakeTokens


class OrderResult(Struct):
    """Result of an operator's command; `version` is that of the target state."""

    command: str
    accepted: bool
    version: int
    message: str = ""


class TargetState(Struct):
    """Hold the target state and the token bucket of the weight store.

    Attributes
    ----------
    version : int
        Number of accepted target changes.
    services, endpoints : dict
        Targets by name of the service or endpoint.
    tokens : float or None
        Bytes left in the bucket after tokens were last taken; None if none were taken yet.
    taken : float
        Bytes taken in total.
    results : dict
        Results of the last commands by identifier, oldest first.
    """

    version: int = 0
    services: dict[str, Target] = field(default_factory=dict)
    endpoints: dict[str, Target] = field(default_factory=dict)
    tokens: float | None = None
    taken: float = 0.0
    results: dict[str, OrderResult] = field(default_factory=dict)


class _Snapshot(msgspec.Struct, array_like=True, tag="targets-1"):
    version: int
    services: dict[str, Target]
    endpoints: dict[str, Target]
    tokens: float | None
    taken: float
    results: list[tuple[str, bool, int, str]]


_ENCODER = msgspec.msgpack.Encoder()
_COMMAND = msgspec.msgpack.Decoder(OrderCommand)
_SNAPSHOT = msgspec.msgpack.Decoder(_Snapshot)


def is_order_payload(payload: bytes) -> bool:
    """Return whether a payload of log group 0 belongs to this package."""
    return payload.startswith(ORDER_PREFIX)


def encode_command(command: OrderCommand) -> bytes:
    """Return the payload of a command."""
    return ORDER_PREFIX + _ENCODER.encode(command)


def decode_command(payload: bytes) -> OrderCommand:
    """Decode a payload.

    Raises
    ------
    OrderEntryError
        If the payload is not an encoded command of this package.
    """
    if not is_order_payload(payload):
        raise OrderEntryError("a payload lacks the prefix of order commands; check its routing")
    return _decode(_COMMAND, payload[len(ORDER_PREFIX) :])


def apply_order_entry(state: TargetState, payload: bytes) -> OrderResult | None:
    """Apply a committed payload and return the result of an operator's command.

    Raises
    ------
    OrderEntryError
        If the payload is malformed; the state is unchanged.
    """
    command = decode_command(payload)
    if isinstance(command, TakeTokens):
        state.tokens = command.left
        state.taken += command.taken
        return None
    first = state.results.get(command.command)
    if first is not None:
        return first
    if command.base_version != state.version:
        message = (
            f"the target state has version {state.version}, not {command.base_version}; "
            "read it again and repeat the change"
        )
        result = OrderResult(command.command, False, state.version, message)
    else:
        targets = state.endpoints if command.endpoint else state.services
        if command.target is None:
            targets.pop(command.name, None)
        else:
            targets[command.name] = command.target
        state.version += 1
        result = OrderResult(command.command, True, state.version)
    state.results[command.command] = result
    if len(state.results) > defaults.MAX_STORED_ORDER_RESULTS:
        del state.results[next(iter(state.results))]
    return result


def take_snapshot(state: TargetState) -> bytes:
    """Return the whole state in encoded form."""
    results = [(r.command, r.accepted, r.version, r.message) for r in state.results.values()]
    return _ENCODER.encode(
        _Snapshot(
            state.version, state.services, state.endpoints, state.tokens, state.taken, results
        )
    )


def restore_snapshot(data: bytes) -> TargetState:
    """Rebuild the state from a snapshot.

    Raises
    ------
    OrderEntryError
        If the data is not a snapshot of the target state.
    """
    snapshot = _decode(_SNAPSHOT, data)
    return TargetState(
        snapshot.version,
        snapshot.services,
        snapshot.endpoints,
        snapshot.tokens,
        snapshot.taken,
        {fields[0]: OrderResult(*fields) for fields in snapshot.results},
    )


def _decode(decoder: msgspec.msgpack.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise OrderEntryError(
            f"data of the target state is malformed ({error}); "
            "check that all replicas run the same version"
        ) from error
