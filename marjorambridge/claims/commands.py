"""Commands in the log of a claims group, and their encoding."""

from typing import Annotated

import msgspec

from marjorambridge.claims.exceptions import ClaimEntryError
from marjorambridge.conf import defaults

KeyDigest = Annotated[bytes, msgspec.Meta(min_length=16, max_length=16)]
FingerprintDigest = Annotated[bytes, msgspec.Meta(min_length=8, max_length=8)]


class Claim(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """A command to claim a key.

    Attributes
    ----------
    date : float
        Time in the key in seconds since the epoch; 0 if it has none.
    """

    digest: KeyDigest
    fingerprint: FingerprintDigest
    date: float
    host: str
    incarnation: int
    number: int


class Complete(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """A command to record the encoded answer of a claimed call."""

    digest: KeyDigest
    host: str
    incarnation: int
    number: int
    answer: bytes


class Release(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """A command to release a claim."""

    digest: KeyDigest
    host: str
    incarnation: int
    number: int


class MarkHosts(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """A command to mark host processes, as (host, incarnation), as lost or as live again."""

    lost: tuple[tuple[str, int], ...]
    live: tuple[tuple[str, int], ...]


Command = Claim | Complete | Release | MarkHosts


class Policy(msgspec.Struct, array_like=True, frozen=True):
    """The settings on which the answers of a claims group depend.

    They are stored in the log, because replicas with different settings would otherwise reach
    different states.
    """

    answer_seconds: float = defaults.CLAIM_ANSWER_RETENTION_SECONDS
    tombstone_seconds: float = defaults.CLAIM_TOMBSTONE_RETENTION_SECONDS
    marker_seconds: float = defaults.CLAIM_MARKER_RETENTION_SECONDS
    key_skew_seconds: float = defaults.MAX_CLAIM_KEY_SKEW_SECONDS
    state_bytes: int = defaults.MAX_CLAIM_STATE_BYTES
    require_dated_keys: bool = defaults.REQUIRE_DATED_KEYS


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """The commands of one log entry; an entry without commands only advances the time.

    Attributes
    ----------
    wall : float
        Wall-clock time of the leader in seconds since the epoch.
    policy : Policy or None
        New policy; None to keep the current one.
    """

    wall: float
    commands: tuple[Command, ...]
    policy: Policy | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the log payload of a batch."""
    return _ENCODER.encode(batch)


def decode_batch(payload: bytes) -> Batch:
    """Decode a log payload.

    Raises
    ------
    ClaimEntryError
        If the payload is not an encoded `Batch`.
    """
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ClaimEntryError(
            f"a log entry of a claims group is malformed ({error}); "
            "check that all replicas run the same version"
        ) from error
