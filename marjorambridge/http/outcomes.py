"""Encode outcomes as HTTP statuses and JSON errors."""

import math
from typing import Any

from marjorambridge.core.outcomes import HTTP_STATUSES, OUTCOME_NAMES, Unsuccessful


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


def encode_outcome(
    outcome: Unsuccessful,
) -> tuple[int, dict[str, Any], tuple[tuple[str, str], ...]]:
    """Return status, JSON body and headers for a request that has no whole answer.

    Examples
    --------
    >>> from marjorambridge.core.outcomes import NotRun, Reason
    >>> encode_outcome(NotRun(Reason.OVERLOADED, "try again later", 0.4))[::2]
    (503, (('retry-after', '1'),))
    """
    retry_after = getattr(outcome, "retry_after", None)
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        headers = (("retry-after", str(max(1, math.ceil(retry_after)))),)
    body = encode_error(outcome.reason, OUTCOME_NAMES[type(outcome)], outcome.message, retry_after)
    return HTTP_STATUSES.get(outcome.reason, 500), body, headers
