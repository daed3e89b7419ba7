"""Build the spans of traced requests; requests that are not traced have none."""

from typing import Any

from marjorambridge.core.effects import Effect, RecordSpan
from marjorambridge.core.outcomes import OUTCOME_NAMES, Done, Outcome
from marjorambridge.core.spans import SpanKind, name_span
from marjorambridge.requests.state import Request


def record_span(
    request: Request, kind: SpanKind, ident: object, start: float, now: float, **attributes: Any
) -> list[Effect]:
    """Return the span of a part of the request that has ended."""
    if not request.trace:
        return []
    parent = name_span(SpanKind.REQUEST, request.ident)
    return [RecordSpan(request.trace, name_span(kind, ident), parent, start, now, attributes)]


def record_permit(request: Request, result: str, now: float) -> list[Effect]:
    """Return the span of the wait for the request's present permit."""
    permit = request.permit
    return record_span(
        request,
        SpanKind.PERMIT,
        permit.ident,
        permit.asked_at,
        now,
        owner=permit.owner,
        shard=permit.shard,
        asks=permit.ask,
        result=result,
    )


def record_attempt(request: Request, end: str, now: float) -> list[Effect]:
    """Return the span of the request's present attempt."""
    permit = request.permit
    attributes = {
        "shard": permit.shard,
        "endpoint": permit.endpoints[0].endpoint,
        "endpoints": len(permit.endpoints),
        "end": end,
    }
    if permit.first_token_seconds >= 0.0:
        attributes["first_token_seconds"] = permit.first_token_seconds
    return record_span(
        request, SpanKind.ATTEMPT, permit.ident, permit.started_at, now, **attributes
    )


def record_claim(request: Request, status: str, now: float) -> list[Effect]:
    """Return the span of the wait for the request's claim, which begins with the request."""
    return record_span(
        request, SpanKind.CLAIM, request.claim, request.arrived_at, now, status=status
    )


def record_request(request: Request, outcome: Outcome, now: float) -> list[Effect]:
    """Return the span of the whole request."""
    if not request.trace:
        return []
    attributes = {
        "request": request.ident,
        "workspace": request.workspace,
        "service": request.service,
        "kind": request.kind.value,
        "prompt_tokens": request.prompt_tokens,
        "attempts": request.attempts,
        "outcome": OUTCOME_NAMES[type(outcome)],
    }
    if not isinstance(outcome, Done):
        attributes["reason"] = outcome.reason.value
    name = name_span(SpanKind.REQUEST, request.ident)
    return [RecordSpan(request.trace, name, "", request.arrived_at, now, attributes)]
