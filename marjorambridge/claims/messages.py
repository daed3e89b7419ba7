"""Define the messages between hosts and the leaders of the claims groups."""

from enum import StrEnum

from msgspec import Struct

from marjorambridge.core.identity import AttemptId

RESULT_UNKNOWN = -1


class RecordedAnswer(Struct):
    """Hold the answer of a completed call; `body` is empty and `kept` false if it was too long.

    Attributes
    ----------
    status : int
        HTTP status; `RESULT_UNKNOWN` if the claimant stopped without learning the result, so that
        a resend is told "unknown" and not "in progress"; 0 if only the tombstone of the call is
        left.
    digest : str
        Hexadecimal digest of a body that was too long to keep, else empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kept: bool = True
    digest: str = ""


class ClaimStatus(StrEnum):
    """Say what a claims group decided about a call."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    MISMATCH = "mismatch"
    CLAIMANT_LOST = "claimant_lost"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


class ClaimOperation(StrEnum):
    """Name the message that a `ClaimAnswer` answers."""

    CLAIM = "claim"
    COMPLETE = "complete"
    RELEASE = "release"


class ClaimRequest(Struct):
    """Claim a call before its first byte is sent.

    Attributes
    ----------
    claim : AttemptId
        Identity of the claim; a repeated message with the same identity gets the same answer.
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
    """Record the answer of a claimed call."""

    claim: AttemptId
    workspace: str
    key: str
    answer: RecordedAnswer


class ClaimRelease(Struct):
    """Give a claim back because no byte of the call was sent."""

    claim: AttemptId
    workspace: str
    key: str


class ClaimAnswer(Struct):
    """Answer a claim, a completion or a release, after its entry is committed.

    Attributes
    ----------
    status : ClaimStatus
        ``GRANTED`` also confirms a completion or a release.
    leader : str
        For ``UNAVAILABLE``: host to ask instead; empty if unknown.
    operation : ClaimOperation
        Message that is answered. Without it, a late answer to a claim would pass for the
        confirmation of its release or completion.
    """

    claim: AttemptId
    status: ClaimStatus
    answer: RecordedAnswer | None = None
    leader: str = ""
    operation: ClaimOperation = ClaimOperation.CLAIM
