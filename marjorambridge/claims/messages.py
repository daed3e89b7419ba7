"""Messages between hosts and the leaders of the claims groups."""

from enum import StrEnum

from msgspec import Struct

from marjorambridge.core.identity import AttemptId

RESULT_UNKNOWN = -1


class RecordedAnswer(Struct):
    """The answer of a completed call; `body` is empty and `kept` false if it was too long.

    Attributes
    ----------
    status : int
        HTTP status; `RESULT_UNKNOWN` if the claimant stopped before it received the result, so that
        a repeated request is answered "unknown" and not "in progress"; 0 if only the tombstone of
        the call is left.
    digest : str
        Hexadecimal digest of a body that was too long to be stored, else empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kept: bool = True
    digest: str = ""


class ClaimStatus(StrEnum):
    """The decision of a claims group about a call."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    MISMATCH = "mismatch"
    CLAIMANT_LOST = "claimant_lost"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


class ClaimOperation(StrEnum):
    """The operation that a `ClaimAnswer` answers."""

    CLAIM = "claim"
    COMPLETE = "complete"
    RELEASE = "release"


class ClaimRequest(Struct):
    """A request to claim a call, sent before the first byte of the call.

    Attributes
    ----------
    claim : AttemptId
        Identity of the claim; a repeated message with the same identity has the same answer.
    workspace, key : str
        Workspace and idempotency key of the call.
    fingerprint : str
        Digest of method, path and body.
    trace : str or None
        Trace of the request; None if it is not traced.
    """

    claim: AttemptId
    workspace: str
    key: str
    fingerprint: str
    trace: str | None = None


class ClaimComplete(Struct):
    """A request to record the answer of a claimed call."""

    claim: AttemptId
    workspace: str
    key: str
    answer: RecordedAnswer


class ClaimRelease(Struct):
    """A request to release a claim because no byte of the call was sent."""

    claim: AttemptId
    workspace: str
    key: str


class ClaimAnswer(Struct):
    """The answer to a claim, a completion or a release, sent after its entry is committed.

    Attributes
    ----------
    status : ClaimStatus
        ``GRANTED`` also confirms a completion or a release.
    leader : str
        For ``UNAVAILABLE``, the host that leads the group; empty if unknown.
    operation : ClaimOperation
        Operation that is answered. Without it, a late answer to a claim would be mistaken for the
        confirmation of its release or completion.
    """

    claim: AttemptId
    status: ClaimStatus
    answer: RecordedAnswer | None = None
    leader: str = ""
    operation: ClaimOperation = ClaimOperation.CLAIM
