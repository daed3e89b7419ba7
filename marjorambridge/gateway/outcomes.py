"""Write the final answers to callers, and log how requests ended."""

import time

from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.core.outcomes import (
    HTTP_STATUSES,
    Failed,
    NotRun,
    Reason,
    Unknown,
    Unsuccessful,
)
from marjorambridge.forwarding.admission import Admission, Refusal
from marjorambridge.forwarding.attempts import AttemptOutcome, is_repeatable
from marjorambridge.forwarding.contact import is_lost
from marjorambridge.forwarding.retry_after import draw_jitter, estimate_retry_after_seconds
from marjorambridge.gateway import bodies, exchanges
from marjorambridge.gateway.answers import is_event_stream
from marjorambridge.gateway.contexts import RequestContext
from marjorambridge.gateway.crashes import find_block, format_parts
from marjorambridge.gateway.exceptions import BadRequestError
from marjorambridge.gateway.exchanges import Exchange
from marjorambridge.gateway.messages import AttemptResult, CallerRequest
from marjorambridge.gateway.relays import describe_outcome, mark_answer
from marjorambridge.gateway.state import Gateway


async def refuse_admission(
    gateway: Gateway, exchange: Exchange, request: CallerRequest, refusal: Refusal
) -> None:
    """Answer that a request was not admitted, and why."""
    retry_after = defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS
    outcome = {
        Refusal.NO_ROUTE: NotRun(
            Reason.UNKNOWN_SERVICE, "no route matches; check host name and path"
        ),
        Refusal.UNKNOWN_KEY: NotRun(
            Reason.UNAUTHENTICATED, "the key is unknown; use a key of a workspace"
        ),
        Refusal.NO_ACCESS: NotRun(
            Reason.UNKNOWN_SERVICE,
            "the workspace has no access to this service; ask for it or use another key",
        ),
        Refusal.STOPPING: NotRun(
            Reason.SHUTTING_DOWN,
            "this host is stopping; the request has not run",
            defaults.MIN_RETRY_AFTER_SECONDS,
        ),
    }.get(
        refusal,
        NotRun(
            Reason.NOT_FRESH, "this host has no configuration yet; come back later", retry_after
        ),
    )
    logger.bind(
        request=request.request_id, reason=refusal.value, status=HTTP_STATUSES[outcome.reason]
    ).info("a request was not admitted")
    gateway.record_metric(Measure("forwarded_requests_total", 1.0, {"outcome": refusal.value}))
    await _answer_outcome(gateway, exchange, outcome)


async def refuse_memory(
    gateway: Gateway, exchange: Exchange, request: CallerRequest, admitted: Admission
) -> None:
    """Answer that the workspace of a request holds too much memory of this host."""
    workspace = admitted.workspace.name if admitted.workspace is not None else ""
    memory = exchange.reservation.memory
    seconds = bodies.estimate_retry_after_seconds(memory, time.monotonic())
    logger.bind(
        request=request.request_id,
        workspace=workspace,
        bytes=memory.held.get(workspace, 0) + gateway.memory.held.get(workspace, 0),
        seconds=round(seconds, 2),
    ).info("a request was refused, because its workspace holds too much memory")
    gateway.record_metric(
        Measure("forwarded_requests_total", 1.0, {"outcome": "refused_workspace_memory"})
    )
    text = (
        "the request has not run, because requests of the workspace hold too much memory of this "
        f"host; read answers faster, or come back in {seconds:.2f} s"
    )
    await _answer_outcome(gateway, exchange, NotRun(Reason.OVERLOADED, text, seconds))


async def answer_invalid(gateway: Gateway, exchange: Exchange, error: BadRequestError) -> None:
    """Answer that a request is invalid."""
    outcome = NotRun(error.reason, str(error))
    await _answer_outcome(gateway, exchange, outcome, error.status)


async def _answer_outcome(
    gateway: Gateway,
    exchange: Exchange,
    outcome: Unsuccessful,
    status: int = 0,
    endpoints_tried: int = 0,
) -> None:
    headers, body = gateway.dialect.encode_error(outcome)
    if exchange.relay is not None:
        headers = [*headers, describe_outcome(outcome, endpoints_tried)]
    await exchanges.send_answer(exchange, status or HTTP_STATUSES[outcome.reason], headers, body)


async def deliver(context: RequestContext, result: AttemptResult) -> str:
    """Write the answer of an endpoint, or the end of its stream."""
    exchange, head, dialect = context.exchange, result.head, context.gateway.dialect
    if exchange.has_head:
        await exchanges.end_answer(exchange)
        return "served"
    is_complete = result.outcome is AttemptOutcome.COMPLETE
    if head is None or not (is_complete or dialect.forwards_server_errors):
        return await fail(context, result.outcome)
    if head.status in dialect.not_run_statuses and not is_repeatable(context.admission.route):
        # Answers that state that the request has not run never get here.
        logger.bind(request=context.request.request_id, status=head.status).info(
            "an answer was replaced, because its status would state that the request has not run"
        )
        return await fail(context, AttemptOutcome.FAILED)
    headers, body = head.headers, result.body
    if context.request.collects_events and is_event_stream(head):
        headers, body = dialect.encode_collected(context.request, b"".join(context.collected))
    if exchange.relay is not None:
        headers = mark_answer(headers, context.progress.endpoints_tried)
    await exchanges.send_answer(exchange, head.status, headers, body)
    return "served" if is_complete else "endpoint_failed"


async def refuse(context: RequestContext, reason: str) -> str:
    """Answer that the request has not run and when to retry."""
    block = find_block(context.gateway, context.causes)
    if block is not None:
        reason, seconds = block
    else:
        seconds = _estimate_retry_after(context)
    text = f"the request has not run ({reason}); come back in {seconds:.2f} s"
    kind = Reason.NO_ENDPOINT if block is None else Reason.BLOCKED
    await _answer_outcome(
        context.gateway,
        context.exchange,
        NotRun(kind, text, seconds),
        endpoints_tried=context.progress.endpoints_tried,
    )
    return f"refused_{reason}"


def _estimate_retry_after(context: RequestContext) -> float:
    """Return the seconds after which a request may come back.

    A host that reaches no endpoint doesn't know their state; another one may have named a time.
    """
    forwarding = context.gateway.forwarding
    if not is_lost(forwarding.contact):
        return estimate_retry_after_seconds(forwarding, context.profile, time.monotonic())
    if context.retry_after_seconds is not None:
        return context.retry_after_seconds
    return defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS * draw_jitter(forwarding)


async def fail(context: RequestContext, outcome: AttemptOutcome) -> str:
    """Answer that the request failed, or end the answer as incomplete if it has started."""
    exchange, dialect = context.exchange, context.gateway.dialect
    if exchange.has_head:
        failure = _describe_failure(context, Reason.STREAM_CUT, outcome)
        end = dialect.encode_cut(context.request, failure)
        if end:
            await exchanges.send_part(exchange, end)
            await exchanges.end_answer(exchange)
        else:
            exchange.must_reset = True
        return f"cut_{outcome.value}"
    is_late = outcome is AttemptOutcome.TIMED_OUT
    if is_late and not context.progress.may_have_run:
        return await refuse(context, "no_time")
    reason = Reason.DEADLINE if is_late else Reason.ENDPOINT_ERROR
    failure = _describe_failure(context, reason, outcome)
    tried = context.progress.endpoints_tried
    await _answer_outcome(context.gateway, exchange, failure, endpoints_tried=tried)
    return f"failed_{outcome.value}"


def _describe_failure(
    context: RequestContext, reason: Reason, outcome: AttemptOutcome
) -> Unsuccessful:
    """Return the outcome of a request that may have run and has no whole answer."""
    text = f"the endpoint failed ({outcome.value})"
    if is_repeatable(context.admission.route):
        return Failed(reason, f"{text}; send the request again")
    return Unknown(reason, f"{text}; look up its effect before sending it again")


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
        passed_on_by=context.exchange.relay.host if context.exchange.relay else "",
    ).info("a request ended")
