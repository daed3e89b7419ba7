"""Report how many endpoints get a request that another host passed on, while it is under way.

A host that dies says nothing more, so the host that passed the request on has to know before. Each
report states a number of endpoints: in an interim answer, or in a comment once a stream has begun.
The host that passed the request on records the number, and then confirms it by a line after the
request. An endpoint beyond the first one gets the request only after the confirmation, so that a
report that is lost, or arrives too late, is never one of an endpoint that was used.
"""

import anyio
from loguru import logger

from marjorambridge.core.numbers import parse_count
from marjorambridge.forwarding.relays import needs_confirmation
from marjorambridge.gateway.contexts import RequestContext, RunningAttempt
from marjorambridge.gateway.exchanges import Exchange, send_interim, send_part
from marjorambridge.gateway.messages import Attempt, Headers
from marjorambridge.gateway.streams import STREAM_ERRORS

REPORT_HEADER = b"marjorambridge-relay-endpoints"
COMMENT_START = b": " + REPORT_HEADER + b" "
# Time in seconds for the confirmation of a report; without it, no further endpoint is used.
CONFIRMATION_SECONDS = 0.4
CONFIRMATION_CHECK_SECONDS = 0.002


# The host that passes the request on.


def expect_reports(running: RunningAttempt, attempt: Attempt) -> None:
    """Record and confirm the reports of another host in its interim answers and its stream."""

    def handle_interim(headers: Headers) -> bool:
        values = [value for name, value in headers if name.lower() == REPORT_HEADER]
        return any(_record_report(running, attempt, value) for value in values)

    def handle_comment(event: bytes) -> None:
        for line in event.splitlines():
            if line.startswith(COMMENT_START):
                _record_report(running, attempt, line[len(COMMENT_START) :])

    attempt.handle_interim = handle_interim
    running.cursor.handle_comment = handle_comment


def _record_report(running: RunningAttempt, attempt: Attempt, value: bytes) -> bool:
    """Record a report, and return whether it is a new one; only then it is confirmed."""
    number = parse_count(value)
    if number is None or not running.endpoints_reported < number <= running.max_endpoints:
        return False
    running.endpoints_reported = number
    attempt.replies.append(b"%d\n" % number)
    return True


# The host that takes the request.


async def report_start(context: RequestContext) -> bool:
    """Report that one more endpoint is about to get the request; return whether it may.

    It always may if the request is one of an own caller, or of a host that reads no reports.
    """
    reports, exchange = context.reports, context.exchange
    if reports is None:
        return True
    running = sum(attempt.max_endpoints for attempt in context.running)
    number = context.progress.endpoints_tried + running + 1
    try:
        if number > reports.sent:
            async with reports.lock:
                await _send_report(exchange, number)
            reports.sent = number
    except STREAM_ERRORS as error:
        logger.bind(request=context.request.request_id, error=repr(error)).debug(
            "the host that passed a request on closed the connection"
        )
        exchange.caller_gone = True
        return False
    if not needs_confirmation(number) or await _wait_for_confirmation(exchange, number):
        return True
    context.attempt_outcomes.append("not_confirmed")
    logger.bind(request=context.request.request_id, attempts=number).info(
        "no further endpoint gets a request, because the host that passed it on is silent"
    )
    return False


async def _send_report(exchange: Exchange, number: int) -> None:
    if exchange.has_head:
        await send_part(exchange, COMMENT_START + b"%d\n\n" % number)
    else:
        await send_interim(exchange, [(REPORT_HEADER, b"%d" % number)])


async def _wait_for_confirmation(exchange: Exchange, number: int) -> bool:
    """Wait until a number of endpoints is confirmed; return False if it is not in time."""
    with anyio.move_on_after(CONFIRMATION_SECONDS):
        while read_confirmed(exchange.connection.trailing_data[0]) < number:
            await anyio.sleep(CONFIRMATION_CHECK_SECONDS)
        return True
    return False


def read_confirmed(data: bytes) -> int:
    r"""Return the highest number that was confirmed in what followed a request.

    Examples
    --------
    >>> read_confirmed(b""), read_confirmed(b"1\n2"), read_confirmed(b"1\n2\n")
    (0, 1, 2)
    """
    numbers = (parse_count(line) for line in data.split(b"\n")[:-1])
    return max((number for number in numbers if number is not None), default=0)
