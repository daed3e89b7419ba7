"""Write the final answers to callers, and log how requests ended."""

import time

from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.admission import Refusal
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds
from marjorambridge.gateway import callers
from marjorambridge.gateway.callers import Exchange
from marjorambridge.gateway.contexts import RequestContext
from marjorambridge.gateway.crashes import find_block, format_parts
from marjorambridge.gateway.messages import AttemptResult, CallerRequest
from marjorambridge.gateway.state import Gateway

PLAIN_TEXT = (b"Content-Type", b"text/plain; charset=utf-8")
UNAUTHORIZED, NOT_FOUND, BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 401, 404, 502, 503, 504


async def refuse_admission(
    gateway: Gateway, exchange: Exchange, request: CallerRequest, refusal: Refusal
) -> None:
    """Answer that a request was not admitted, and why."""
    status, text = {
        Refusal.NO_ROUTE: (NOT_FOUND, "no route matches; check host name and path"),
        Refusal.UNKNOWN_KEY: (UNAUTHORIZED, "the key is unknown; use a key of a workspace"),
        Refusal.STOPPING: (UNAVAILABLE, "this host is stopping; the request has not run"),
    }.get(refusal, (UNAVAILABLE, "this host has no configuration yet; come back later"))
    logger.bind(request=request.request_id, reason=refusal.value, status=status).info(
        "a request was not admitted"
    )
    gateway.record_metric(Measure("forwarded_requests_total", 1.0, {"outcome": refusal.value}))
    headers = [PLAIN_TEXT]
    if status == UNAVAILABLE:
        seconds = defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS
        if refusal is Refusal.STOPPING:
            seconds = defaults.MIN_RETRY_AFTER_SECONDS
        headers += gateway.dialect.encode_retry_after(seconds)
    await callers.send_answer(exchange, status, headers, text.encode())


async def answer_text(exchange: Exchange, status: int, text: str) -> None:
    """Write an answer with a text of this host."""
    await callers.send_answer(exchange, status, [PLAIN_TEXT], text.encode())


async def deliver(context: RequestContext, result: AttemptResult) -> str:
    """Write the answer of an endpoint, or the end of its stream."""
    exchange, head = context.exchange, result.head
    if exchange.has_head:
        await callers.end_answer(exchange)
        return "served"
    if head is None:
        return await fail(context, result.outcome)
    await callers.send_answer(exchange, head.status, head.headers, result.body)
    return "served" if result.outcome is AttemptOutcome.COMPLETE else "endpoint_failed"


async def refuse(context: RequestContext, reason: str) -> str:
    """Answer that the request has not run and when to retry."""
    block = find_block(context.gateway, context.causes)
    if block is not None:
        reason, seconds = block
    else:
        forwarding = context.gateway.forwarding
        seconds = estimate_retry_after_seconds(forwarding, context.profile, time.monotonic())
    headers = [PLAIN_TEXT, *context.gateway.dialect.encode_retry_after(seconds)]
    text = f"the request has not run ({reason}); come back in {seconds:.2f} s"
    await callers.send_answer(context.exchange, UNAVAILABLE, headers, text.encode())
    return f"refused_{reason}"


async def fail(context: RequestContext, outcome: AttemptOutcome) -> str:
    """Answer that the request failed, or reset the connection if the answer has started."""
    if context.exchange.has_head:
        context.exchange.must_reset = True
        return f"cut_{outcome.value}"
    if outcome is AttemptOutcome.TIMED_OUT and not context.progress.may_have_run:
        return await refuse(context, "no_time")
    status = GATEWAY_TIMEOUT if outcome is AttemptOutcome.TIMED_OUT else BAD_GATEWAY
    await answer_text(context.exchange, status, f"the endpoint failed ({outcome.value})")
    return f"failed_{outcome.value}"


def log_outcome(context: RequestContext, outcome: str) -> None:
    """Log how a request ended, and record it in the metrics."""
    now = time.monotonic()
    arrived = context.exchange.arrived_at
    first = context.first_event_at - arrived if context.first_event_at else now - arrived
    prompt = context.request.prompt
    gateway = context.gateway
    gateway.record_metric(Measure("forwarded_requests_total", 1.0, {"outcome": outcome}))
    gateway.record_metric(Measure("forwarded_first_answer_seconds", first, {}))
    table = gateway.forwarding.table
    logger.bind(
        request=context.request.request_id,
        route=context.admission.route.name,
        service=context.admission.service,
        outcome=outcome,
        attempts=",".join(context.attempt_outcomes),
        prompt_tokens=prompt.prompt_tokens if prompt else 0,
        parts=format_parts(context.request.prompt_parts),
        first_seconds=round(first, 4),
        pause_seconds=round(context.longest_gap, 4),
        helpers=context.helper_count,
        seconds=round(now - arrived, 4),
        version=table.manifest.version if table else 0,
    ).info("a request ended")
