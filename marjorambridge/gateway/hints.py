"""Read the hints of endpoints in the heads of their answers."""

import math
import time

from loguru import logger

from marjorambridge.core.numbers import parse_decimal
from marjorambridge.forwarding.hints import EndpointHints, apply_hints
from marjorambridge.forwarding.request_limits import is_limited
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.messages import SUCCESS_STATUSES, AnswerHead
from marjorambridge.gateway.state import Gateway


def apply_answer_hints(
    gateway: Gateway, endpoint: Endpoint, request_id: str, head: AnswerHead
) -> None:
    """Apply the hints in the head of an answer, before its body arrives.

    Answers of another endpoint, and successful ones without a signature, are ignored.
    """
    if head.misdirected or (head.status in SUCCESS_STATUSES and not head.is_signed):
        return
    hints = EndpointHints(
        head.leaving, _read_rejected_seconds(endpoint, head), _read_request_limit(endpoint, head)
    )
    if not apply_hints(endpoint, hints, time.monotonic()):
        return
    gateway.share_load(endpoint)
    logger.bind(
        request=request_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        status=head.status,
        leaving=hints.leaving,
        avoided_seconds=round(hints.rejected_seconds, 3),
        request_limit=endpoint.request_limit if is_limited(endpoint) else -1.0,
    ).info("an endpoint is leaving, rejects requests for a time, or states another limit")


def _read_rejected_seconds(endpoint: Endpoint, head: AnswerHead) -> float:
    if not head.is_unavailable or not head.retry_after:
        return 0.0
    try:
        return parse_retry_after(head.retry_after, head.date)
    except ValueError as error:
        logger.bind(endpoint=endpoint.name, error=str(error)).warning(
            "ignored an invalid Retry-After header of an endpoint"
        )
        return 0.0


def _read_request_limit(endpoint: Endpoint, head: AnswerHead) -> float | None:
    """Return the limit in an answer; infinite if a signed answer names none."""
    if not head.request_limit:
        return math.inf if head.is_signed else None
    try:
        return parse_request_limit(head.request_limit)
    except ValueError as error:
        logger.bind(endpoint=endpoint.name, error=str(error)).warning(
            "ignored an invalid limit of an endpoint"
        )
        return None


def parse_request_limit(value: str) -> float:
    """Return the requests per second of a limit.

    Raises
    ------
    ValueError
        If the value is no finite number of at least 0.

    Examples
    --------
    >>> parse_request_limit("2.5")
    2.5
    """
    rate = parse_decimal(value)
    if rate is None or not math.isfinite(rate) or rate < 0:
        raise ValueError(f"{value[:40]!r} is not a rate; send a decimal number of at least 0")
    return rate


def parse_retry_after(value: str, date: str = "") -> float:
    """Return the seconds of a ``Retry-After`` header, which has a number or a date.

    Parameters
    ----------
    date : str
        ``Date`` header of the same answer, to which a date is relative; if it is empty, the clock
        of this host is used.

    Raises
    ------
    ValueError
        If the value is neither, or not finite.

    Examples
    --------
    >>> parse_retry_after("1.5")
    1.5
    >>> parse_retry_after("Fri, 04 Dec 2026 12:00:07 GMT", "Fri, 04 Dec 2026 12:00:00 GMT")
    7.0
    """
    seconds = parse_decimal(value)
    if seconds is None:
        seconds = _parse_date(value) - (_parse_date(date) if date else time.time())
    if not math.isfinite(seconds):
        raise ValueError(f"{value[:40]!r} is not finite; send seconds or a date")
    return max(0.0, seconds)


def _parse_date(value: str) -> float:
    # Imported on first use, because few endpoints send dates.
    from email.utils import parsedate_to_datetime

    try:
        return parsedate_to_datetime(value).timestamp()
    except (TypeError, ValueError, OverflowError, IndexError) as error:
        raise ValueError(f"{value[:40]!r} is not a date; send seconds or a date") from error
