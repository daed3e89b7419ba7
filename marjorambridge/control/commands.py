"""Define the commands of the control log and their encoding."""

import msgspec

from marjorambridge.control.exceptions import ControlDecodeError


class Command(msgspec.Struct, tag_field="kind", array_like=True, frozen=True):
    """Base of all commands.

    Attributes
    ----------
    command_id : str
        Identifier by which a command that was proposed twice is applied once.
    """

    command_id: str


class ReplaceManifest(Command, tag="replace", frozen=True):
    """Put a manifest in force if its version is higher than the present one.

    Attributes
    ----------
    document : bytes
        Document as the operator sent it, compressed with zlib.
    """

    version: int
    document: bytes


class DrainZone(Command, tag="drain", frozen=True):
    """Send nothing more to the endpoints of a zone."""

    zone: str


class RestoreZone(Command, tag="restore", frozen=True):
    """Withdraw `DrainZone`."""

    zone: str


class EndpointRecord(msgspec.Struct, array_like=True, frozen=True):
    """Describe one incarnation of an endpoint.

    Attributes
    ----------
    born : int
        Unix time in milliseconds at which the incarnation started.
    cold_seconds : float
        Time for which it stayed cold when it reported first.
    """

    endpoint: str
    service: str
    zone: str
    address: str
    slots: int
    born: int
    cold_seconds: float


class RegisterEndpoints(Command, tag="register", frozen=True):
    """Remember endpoints, so that hosts know them at once after a restart of the whole fleet."""

    endpoints: tuple[EndpointRecord, ...]


class ForgetEndpoints(Command, tag="forget", frozen=True):
    """Forget incarnations of endpoints that were silent for long.

    Attributes
    ----------
    born : dict of str to int
        Start time of the forgotten incarnation, by endpoint.
    """

    born: dict[str, int]


class RetireEndpoint(Command, tag="retire", frozen=True):
    """Send nothing more to one incarnation of an endpoint, which is leaving.

    Attributes
    ----------
    born : int
        Unix time in milliseconds at which the incarnation started.
    """

    endpoint: str
    born: int


class ReadBarrier(Command, tag="barrier", frozen=True):
    """Change nothing; whoever applies it knows every command that was acknowledged before."""


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
    DrainZone(command_id='c1', zone='north')
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise ControlDecodeError(
            f"unreadable command ({error}); check that all replicas run the same version"
        ) from error
