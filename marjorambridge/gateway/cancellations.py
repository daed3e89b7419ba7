"""Cancel attempts that ended here but may still run at their endpoint."""

import time

import anyio
from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.messages import AnswerHead, CallerRequest
from marjorambridge.gateway.orders import send_order
from marjorambridge.gateway.state import Gateway, start_background

# Outcomes after which the endpoint may still run the request and keep its memory.
UNFINISHED = frozenset({AttemptOutcome.BROKEN, AttemptOutcome.STALLED, AttemptOutcome.TIMED_OUT})


def start_cancellation(
    gateway: Gateway,
    request: CallerRequest,
    endpoint: Endpoint,
    attempt_id: str,
    outcome: AttemptOutcome,
) -> None:
    """Cancel an attempt in the background, if it may still run without its connection."""
    if outcome not in UNFINISHED:
        return
    order = gateway.dialect.encode_cancel(request, attempt_id)
    if order is not None:
        start_background(gateway, lambda: _cancel_attempt(gateway, endpoint, attempt_id, order))


async def _cancel_attempt(
    gateway: Gateway, endpoint: Endpoint, attempt_id: str, order: tuple[bytes, bytes]
) -> None:
    """Send the order until the endpoint confirms it, or until its memory expires."""
    gives_up_at = time.monotonic() + defaults.LATE_ORDER_WINDOW_SECONDS
    confirmed = False
    while not confirmed and time.monotonic() < gives_up_at:
        confirmed = await _order_cancellation(gateway, endpoint, order)
        if not confirmed:
            await anyio.sleep(defaults.CANCEL_RETRY_INTERVAL_SECONDS)
    logger.bind(
        endpoint=endpoint.name,
        address=endpoint.address,
        attempt=attempt_id,
        outcome="cancelled" if confirmed else "unconfirmed",
    ).info("the cancellation of an attempt ended")


async def _order_cancellation(
    gateway: Gateway, endpoint: Endpoint, order: tuple[bytes, bytes]
) -> bool:
    result = await send_order(gateway, endpoint, order, _ignore_head)
    return result.outcome is AttemptOutcome.COMPLETE and gateway.dialect.is_cancelled(
        endpoint.name, endpoint.born, result.body
    )


def _ignore_head(head: AnswerHead) -> None:
    """Apply no hints, because the answer is not about new requests."""
