"""Send short orders to endpoints, beside the requests of callers."""

import time
from collections.abc import Callable

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.messages import AnswerHead, Attempt, AttemptResult, MemoryAllocation
from marjorambridge.gateway.state import Gateway


async def send_order(
    gateway: Gateway,
    endpoint: Endpoint,
    order: tuple[bytes, bytes],
    handle_head: Callable[[AnswerHead], None],
) -> AttemptResult:
    """Send an order, which consists of target and body, and return the result."""
    target, body = order
    deadline = time.monotonic() + defaults.ORDER_TIMEOUT_SECONDS
    attempt = Attempt(
        address=endpoint.address,
        method=b"POST",
        target=target,
        headers=gateway.dialect.encode_order_headers(endpoint.name),
        body=body,
        request_id="",
        allocation=MemoryAllocation(gateway.memory),
        handle_head=handle_head,
        work=gateway.work,
        deadline=deadline,
    )
    try:
        return await gateway.run_attempt(attempt, gateway.dialect)
    finally:
        attempt.allocation.release()
