"""Encode outcomes as HTTP statuses and JSON errors."""

import math
from typing import Any

from marjorambridge.core.outcomes import OUTCOME_NAMES, Done, Outcome, Reason

STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.NOT_FRESH: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.NO_ENDPOINT: 503,
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


def encode_error(
    reason: str, outcome: str, message: str, retry_after: float | None = None
) -> dict[str, Any]:
    """Return the JSON form of an error."""
    return {
        "error": {
            "type": str(reason),
            "outcome": outcome,
            "message": message,
            "retry_after": retry_after,
        }
    }


def encode_outcome(outcome: Outcome) -> tuple[int, dict[str, Any], tuple[tuple[str, str], ...]]:
    """Return status, JSON body and headers for an outcome that is not `Done`.

    Examples
    --------
    >>> from marjorambridge.core.outcomes import NotRun
    >>> encode_outcome(NotRun(Reason.OVERLOADED, "try again later", 0.4))[::2]
    (503, (('retry-after', '1'),))
    """
    assert not isinstance(outcome, Done)
    retry_after = getattr(outcome, "retry_after", None)
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        headers = (("retry-after", str(max(1, math.ceil(retry_after)))),)
    body = encode_error(outcome.reason, OUTCOME_NAMES[type(outcome)], outcome.message, retry_after)
    return STATUSES.get(outcome.reason, 500), body, headers
