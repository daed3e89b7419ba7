"""Define the commands of the control log and their encoding."""

import msgspec

from marjorambridge.control.exceptions import ControlDecodeError

# Orders that earlier versions put into the log have no condition.
UNCONDITIONAL = -1


class Command(msgspec.Struct, tag_field="kind", array_like=True, frozen=True):
    """Base of all commands.

    Attributes
    ----------
    command_id : str
        Identifier by which a command that is proposed repeatedly is applied only once.
    """

    command_id: str


class ReplaceManifest(Command, tag="replace", frozen=True):
    """Replace the manifest if the new version is higher than the current one.

    Attributes
    ----------
    document : bytes
        Document as the operator sent it, compressed with zlib.
    """

    version: int
    document: bytes


class ZoneOrder(Command, frozen=True):
    """Base of the orders for a zone, which change nothing after a newer one was applied.

    An order may wait for seconds on its way to the log. Meanwhile its sender may have sent it again
    elsewhere, and then others.

    Attributes
    ----------
    follows : int
        Index of the last order for the zone that was applied when this one was accepted; 0 if there
        was none, `UNCONDITIONAL` to apply it in any case.
    """

    zone: str
    follows: int = UNCONDITIONAL


class DrainZone(ZoneOrder, tag="drain", frozen=True):
    """Stop sending requests to the endpoints of a zone."""


class RestoreZone(ZoneOrder, tag="restore", frozen=True):
    """Resume sending requests to the endpoints of a drained zone."""


class EndpointRecord(msgspec.Struct, array_like=True, frozen=True):
    """Describe one incarnation of an endpoint.

    Attributes
    ----------
    born : int
        Unix time in milliseconds at which the incarnation started.
    cold_seconds : float
        Remaining cold time at its first report.
    """

    endpoint: str
    service: str
    zone: str
    address: str
    slots: int
    born: int
    cold_seconds: float


class RegisterEndpoints(Command, tag="register", frozen=True):
    """Store endpoints, so that hosts have them immediately after a restart of the whole fleet."""

    endpoints: tuple[EndpointRecord, ...]


class ForgetEndpoints(Command, tag="forget", frozen=True):
    """Remove endpoint incarnations whose reports have stopped.

    Attributes
    ----------
    born : dict of str to int
        Start time of the removed incarnation, by endpoint.
    """

    born: dict[str, int]


class RetireEndpoint(Command, tag="retire", frozen=True):
    """Stop sending requests to an endpoint incarnation that is leaving.

    Attributes
    ----------
    born : int
        Unix time in milliseconds at which the incarnation started.
    """

    endpoint: str
    born: int


class ReadBarrier(Command, tag="barrier", frozen=True):
    """No-op; a replica that has applied it has applied every command acknowledged before it."""


AnyCommand = (
    ReplaceManifest
    | DrainZone
    | RestoreZone
    | RegisterEndpoints
    | ForgetEndpoints
    | RetireEndpoint
    | ReadBarrier
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyCommand)


def encode_command(command: AnyCommand) -> bytes:
    """Return the payload of a log entry."""
    return _ENCODER.encode(command)


def decode_command(payload: bytes) -> AnyCommand:
    """Return the command of a log entry.

    Raises
    ------
    ControlDecodeError
        If the payload is not a command.

    Examples
    --------
    >>> decode_command(encode_command(DrainZone("c1", "north")))
    DrainZone(command_id='c1', zone='north', follows=-1)
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise ControlDecodeError(
            f"unreadable command ({error}); check that all replicas run the same version"
        ) from error
