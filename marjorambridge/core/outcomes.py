"""Define the tagged outcomes of a request."""

from enum import StrEnum

from msgspec import Struct


class Reason(StrEnum):
    """Reason why a request did not end in `Done`."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NOT_FRESH = "not_fresh"
    SHUTTING_DOWN = "shutting_down"
    NO_ENDPOINT = "no_endpoint"
    BLOCKED = "blocked"
    DEADLINE = "deadline"
    CALLER_GONE = "caller_gone"
    ENDPOINT_ERROR = "endpoint_error"
    STREAM_CUT = "stream_cut"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_MISMATCH = "claim_mismatch"
    CLAIM_EXPIRED = "claim_expired"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIMANT_LOST = "claimant_lost"
    ANSWER_NOT_KEPT = "answer_not_kept"


# HTTP status of the answer for each reason.
HTTP_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.NOT_FRESH: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.BLOCKED: 503,
    Reason.DEADLINE: 504,
    Reason.CALLER_GONE: 499,
    Reason.ENDPOINT_ERROR: 502,
    Reason.STREAM_CUT: 502,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.CLAIM_MISMATCH: 422,
    Reason.CLAIM_EXPIRED: 410,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.CLAIMANT_LOST: 502,
    Reason.ANSWER_NOT_KEPT: 410,
}


class Done(Struct):
    """The complete answer was delivered."""


class NotRun(Struct):
    """No byte of the request was sent to any endpoint.

    Attributes
    ----------
    reason : Reason
        Why the request was refused.
    message : str
        Text for the caller that names the remedy.
    retry_after : float or None
        Seconds after which the caller may retry; None if a retry is of no use.
    """

    reason: Reason
    message: str
    retry_after: float | None = None


class Failed(Struct):
    """The request ended without a complete answer, and it is safe to repeat it."""

    reason: Reason
    message: str
    retry_after: float | None = None


class Unknown(Struct):
    """The request may or may not have run."""

    reason: Reason
    message: str


Unsuccessful = NotRun | Failed | Unknown
Outcome = Done | Unsuccessful

# Names of the outcomes in answers, metrics and traces.
OUTCOME_NAMES = {Done: "done", NotRun: "not_run", Failed: "failed", Unknown: "unknown"}
