"""Admit requests, or refuse them at once with a remedy and a Retry-After."""

import math

from marjorambridge.configuration.models import (
    Service,
    ServiceKind,
    Urgency,
    Workspace,
    find_service,
)
from marjorambridge.core.effects import Effect, Measure, SetTimer, WriteLog
from marjorambridge.core.outcomes import NotRun, Reason
from marjorambridge.requests.acquisition import request_permit
from marjorambridge.requests.authentication import find_workspace
from marjorambridge.requests.claims import request_claim
from marjorambridge.requests.effects import FinishRequest
from marjorambridge.requests.endings import create_deadline_timer
from marjorambridge.requests.events import RequestArrived
from marjorambridge.requests.quotas import acquire_quota
from marjorambridge.requests.retries import count_admission
from marjorambridge.requests.state import (
    Request,
    RequestsState,
    compute_start_limit,
    is_fresh,
)

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
URGENCY_WEIGHTS = {Urgency.LOW: 0.5, Urgency.NORMAL: 1.0, Urgency.HIGH: 2.0}


def handle_arrived(state: RequestsState, event: RequestArrived) -> list[Effect]:
    """Admit a caller's request and request its claim or its permit."""
    if event.request in state.requests:
        return [
            WriteLog(
                "error",
                "request identifier reused",
                {"request": event.request, "trace": event.trace},
            )
        ]
    refusal = _check_host(state, event)
    if refusal is not None:
        return _refuse_request(event, refusal)
    configuration = state.routing.configuration
    name = find_workspace(state.key_hashes, event.key_hash)
    if name is None:
        message = "the workspace key is missing or not known; send it as Authorization: Bearer"
        return _refuse_request(event, NotRun(Reason.UNAUTHENTICATED, message))
    workspace = configuration.workspaces[name]
    service = find_service(configuration, event.service)
    if service is None or service.name not in workspace.services:
        message = "the service does not exist or the workspace may not call it; check its name"
        return _refuse_request(event, NotRun(Reason.UNKNOWN_SERVICE, message))
    refusal = _check_request(state, event) or _check_quota(state, workspace, event.now)
    if refusal is not None:
        return _refuse_request(event, refusal)
    request = _create_request(state, event, workspace, service)
    state.requests[request.ident] = request
    count_admission(state.budget, state.settings, event.now)
    effects: list[Effect] = [Measure("requests_admitted_total", 1.0, {"service": service.name})]
    if request.repeatable:
        begin = request_permit(state, request, event.now)
    else:
        begin = request_claim(state, request, event)
    if request.ident in state.requests:
        limit = compute_start_limit(state, request)
        effects.append(SetTimer(create_deadline_timer(request), limit))
    return effects + begin


def _refuse_request(event: RequestArrived, outcome: NotRun) -> list[Effect]:
    return [
        FinishRequest(event.request, outcome),
        Measure("requests_refused_total", 1.0, {"reason": outcome.reason}),
    ]


def _check_host(state: RequestsState, event: RequestArrived) -> NotRun | None:
    """Return the refusal if this host admits no requests at present, or None."""
    settings = state.settings
    if state.shutdown is not None and event.now >= state.shutdown.refuse_from:
        message = "this host is shutting down; send the request again, to another host"
        return NotRun(Reason.SHUTTING_DOWN, message, settings.refusal_retry_after)
    if not is_fresh(state, event.now):
        message = "this host may have an old configuration; send the request again"
        return NotRun(Reason.NOT_FRESH, message, settings.freshness)
    if len(state.requests) >= settings.max_requests:
        message = "this host has too many requests in progress; come back later"
        return NotRun(Reason.OVERLOADED, message, settings.refusal_retry_after)
    return None


def _check_request(state: RequestsState, event: RequestArrived) -> NotRun | None:
    """Return the refusal if the request itself cannot be admitted, or None."""
    limit = state.settings.max_body
    if event.prompt_bytes > limit:
        message = f"the prompt has {event.prompt_bytes} bytes; send at most {limit}"
        return NotRun(Reason.TOO_LARGE, message)
    if event.prompt_bytes < 0 or event.output_tokens < 0:
        message = "lengths must not be negative; correct the maximum of output tokens"
        return NotRun(Reason.BAD_REQUEST, message)
    if not math.isfinite(event.timeout) or event.timeout < 0.0:
        message = "X-Request-Timeout must be a positive number of seconds"
        return NotRun(Reason.BAD_REQUEST, message)
    return None


def _check_quota(state: RequestsState, workspace: Workspace, now: float) -> NotRun | None:
    wait = acquire_quota(state, workspace, now)
    if wait is None:
        return None
    message = "the workspace is at its limit; send fewer requests at once, or raise its limit"
    return NotRun(Reason.RATE_LIMITED, message, wait)


def _create_request(
    state: RequestsState, event: RequestArrived, workspace: Workspace, service: Service
) -> Request:
    timeout = event.timeout or service.default_timeout_seconds
    prompt_tokens = output_tokens = 0
    if service.kind is ServiceKind.ENGINE:
        prompt_tokens = max(1, math.ceil(event.prompt_bytes / service.bytes_per_token))
        output_tokens = event.output_tokens or service.default_output_tokens
    return Request(
        ident=event.request,
        workspace=workspace.name,
        service=service.name,
        kind=service.kind,
        repeatable=_is_repeatable(event, service),
        arrived_at=event.now,
        deadline=event.now + min(timeout, state.settings.max_timeout),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        weight=URGENCY_WEIGHTS[workspace.urgency] * URGENCY_WEIGHTS[service.urgency],
        prefix=event.prefix,
        prefix_tokens=event.prefix_tokens,
        trace=event.trace,
    )


def _is_repeatable(event: RequestArrived, service: Service) -> bool:
    """Return whether a call may be sent twice; the caller's header overrides the service."""
    if service.kind is ServiceKind.ENGINE:
        return True
    if event.repeatable is not None:
        return event.repeatable
    return service.repeatable or event.method.upper() in SAFE_METHODS
