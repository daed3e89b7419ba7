"""Run one attempt of a request, forward its events, and record its result."""

import math
import time

import anyio
from loguru import logger

from marjorambridge.forwarding.attempts import AttemptOutcome, judge_misdirected, record_outcome
from marjorambridge.forwarding.budgets import record_send
from marjorambridge.forwarding.contact import is_in_doubt
from marjorambridge.forwarding.health import (
    clear_replaced,
    mark_replaced,
    record_failure,
    record_rejection,
    record_success,
)
from marjorambridge.forwarding.loads import (
    add_prefill,
    add_request,
    advance_prefills,
    count_kv_tokens,
    finish_prefill,
    remove_request,
)
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway import exchanges
from marjorambridge.gateway.answers import (
    MAX_ANSWER_BYTES,
    InvalidAnswerError,
    is_event_stream,
)
from marjorambridge.gateway.cancellations import start_cancellation
from marjorambridge.gateway.contact import note_connected, note_failed
from marjorambridge.gateway.contexts import (
    RequestContext,
    RunningAttempt,
    find_resumption,
    has_events,
)
from marjorambridge.gateway.crash_reports import format_cause
from marjorambridge.gateway.crashes import (
    format_parts,
    record_first_answer,
    record_possible_crash,
)
from marjorambridge.gateway.declines import note_decline
from marjorambridge.gateway.events import StreamCursor, extract_events
from marjorambridge.gateway.hints import apply_answer_hints
from marjorambridge.gateway.messages import (
    SUCCESS_STATUSES,
    AnswerHead,
    Attempt,
    AttemptOptions,
    AttemptResult,
    Forwarded,
)
from marjorambridge.gateway.observations import (
    begin_observation,
    end_observation,
    observe_answer,
    observe_connection,
    observe_events,
)
from marjorambridge.gateway.relays import build_relay_attempt, read_retry_after, run_relay
from marjorambridge.gateway.state import create_attempt_id
from marjorambridge.gateway.tickets import list_helpers, release, renew_tickets, start_release
from marjorambridge.gateway.waiting import start_round
from marjorambridge.manifests.models import Execution
from marjorambridge.scheduling.shares import record_use
from marjorambridge.scheduling.urgency import defer_late
from marjorambridge.scheduling.usage import remove_use

CHUNKED = (b"Transfer-Encoding", b"chunked")
# Outcomes that count as a failure of the endpoint, which is then avoided for a while. A silent one
# is recorded when another attempt starts beside it.
FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_SENT, AttemptOutcome.FAILED, AttemptOutcome.BROKEN}
)


async def run_attempt(context: RequestContext, running: RunningAttempt) -> AttemptResult:
    """Run one attempt and account for its load at the endpoints."""
    gateway, request, profile = context.gateway, context.request, context.profile
    endpoint = running.endpoint
    now = running.started_at = running.waits_since = time.monotonic()
    running.cursor.last_event = context.last_event
    context.helper_count = len(running.helpers)
    identifier = create_attempt_id(gateway)
    if endpoint.is_peer:
        attempt = build_relay_attempt(context, running, now)
    else:
        attempt = _build_attempt(context, running, identifier)
    attempt.handle_connected = lambda: _note_connected(context, running)
    if context.admission.route.execution is Execution.STREAM:
        attempt.send_event_bytes = lambda head, data: _send_events(context, running, head, data)
    if context.recorded_send != endpoint.name:
        record_send(endpoint, now)
    context.recorded_send = ""
    _add_load(context, running, now)
    running.kv_tokens = count_kv_tokens(endpoint)
    begin_observation(context, running, now)
    result = AttemptResult(AttemptOutcome.TIMED_OUT)
    try:
        with anyio.move_on_after(context.deadline - now):
            result = await _run_with_tickets(context, running, attempt)
    finally:
        ended_at = time.monotonic()
        _finish_prefill(context, running, ended_at)
        remove_request(endpoint.load, profile.kv_tokens, profile.pause_seconds)
        end_observation(running)
        if _is_counted(context, endpoint):
            remove_use(gateway.forwarding.usage, profile.workspace, profile.use_seconds)
        gateway.share_load(endpoint)
        if not endpoint.is_peer:
            start_cancellation(gateway, request, endpoint, identifier, result.outcome)
        if result.outcome is AttemptOutcome.COMPLETE or running.scope.cancel_called:
            start_release(running.tickets)
        else:
            await release(running.tickets)
    start_round(gateway, time.monotonic())
    _check_stream(context, running.cursor, result)
    observe_answer(context, running, result, ended_at)
    if result.outcome is AttemptOutcome.MISDIRECTED:
        result.outcome = judge_misdirected(context.progress, request.is_conditional)
    return result


def _note_connected(context: RequestContext, running: RunningAttempt) -> None:
    running.is_connected = True
    if not running.endpoint.is_peer:
        note_connected(context.gateway)
        observe_connection(context, running, time.monotonic())


def _build_attempt(context: RequestContext, running: RunningAttempt, identifier: str) -> Attempt:
    """Return the attempt that sends a request to an endpoint."""
    gateway, request, endpoint = context.gateway, context.request, running.endpoint
    workspace = context.admission.workspace
    options = AttemptOptions(
        endpoint=endpoint.name,
        remaining_seconds=context.deadline - running.started_at,
        address=endpoint.address,
        born=endpoint.born,
        attempt=identifier,
        kv_tokens=context.profile.kv_tokens,
        workspace=workspace.name if workspace else "",
        last_event=find_resumption(context),
        helpers=list_helpers(running.tickets, [helper.address for helper in running.helpers]),
        urgency=_get_urgency(context, running.started_at),
    )
    message = gateway.dialect.encode_attempt(request, options)
    return Attempt(
        address=endpoint.address,
        method=request.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        request_id=request.request_id,
        allocation=running.allocation,
        handle_head=lambda head: apply_answer_hints(gateway, endpoint, request.request_id, head),
        work=gateway.work,
    )


def _get_urgency(context: RequestContext, now: float) -> int | None:
    """Return the rank in which the endpoint is to admit a request; None for the endpoint's own."""
    profile = context.profile
    if not profile.is_planned:
        return None
    if has_events(context):
        # The caller waits for the next event of an answer that another endpoint began.
        return 0
    waited = now - context.exchange.arrived_at
    return defer_late(profile.urgency, waited, profile.objective_seconds)


def _check_stream(context: RequestContext, cursor: StreamCursor, result: AttemptResult) -> None:
    """Change the outcome of a complete answer that can't be the rest of the caller's stream."""
    is_stream = context.admission.route.execution is Execution.STREAM
    head = result.head
    if not is_stream or head is None or result.outcome is not AttemptOutcome.COMPLETE:
        return
    has_end_event, status = context.gateway.dialect.has_end_event, head.status
    if not is_event_stream(head):
        if has_events(context) or (has_end_event and status in SUCCESS_STATUSES):
            result.outcome = AttemptOutcome.FAILED
            result.detail = f"status {status} instead of the rest of the stream"
    elif cursor.buffer:
        result.outcome, result.detail = AttemptOutcome.BROKEN, "the stream ended inside an event"
    elif has_end_event and not cursor.has_ended:
        result.outcome = AttemptOutcome.BROKEN
        result.detail = "the stream ended without its end event"
    elif cursor.last_event is None and not has_events(context):
        result.outcome, result.detail = AttemptOutcome.BROKEN, "the stream ended without an event"


async def _run_with_tickets(
    context: RequestContext, running: RunningAttempt, attempt: Attempt
) -> AttemptResult:
    """Run an attempt and renew its tickets, if there are any, until it ends."""
    tickets = running.tickets
    if running.endpoint.is_peer:
        return await run_relay(context.gateway, attempt, running)
    if not tickets.held:
        return await context.gateway.run_attempt(attempt, context.gateway.dialect)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(renew_tickets, tickets)
        result = await context.gateway.run_attempt(attempt, context.gateway.dialect)
        tasks.cancel_scope.cancel()
    return result


def _add_load(context: RequestContext, running: RunningAttempt, now: float) -> None:
    endpoint, profile = running.endpoint, context.profile
    add_request(endpoint.load, profile.kv_tokens, profile.pause_seconds)
    if _is_counted(context, endpoint):
        record_use(context.gateway.forwarding, profile.workspace, profile.use_seconds, now)
    if profile.prefill_seconds > 0:
        running.prefilling = [endpoint, *running.helpers]
        for engine in running.prefilling:
            seconds = profile.prefill_seconds / len(running.prefilling)
            advance_prefills(engine, now)
            add_prefill(engine.load, seconds, now, is_help=engine is not endpoint)
            context.gateway.share_load(engine)
    else:
        context.gateway.share_load(endpoint)


def _is_counted(context: RequestContext, endpoint: Endpoint) -> bool:
    """Return whether an attempt counts as use of its workspace on this host.

    Requests that are passed on to another host count there.
    """
    return context.profile.is_planned and not endpoint.is_peer


def _finish_prefill(context: RequestContext, running: RunningAttempt, now: float) -> None:
    for engine in running.prefilling:
        advance_prefills(engine, now)
        finish_prefill(engine.load, now, is_help=engine is not running.endpoint)
        context.gateway.share_load(engine)
    running.prefilling = []


async def _send_events(
    context: RequestContext, running: RunningAttempt, head: AnswerHead, data: bytes
) -> Forwarded:
    """Send the complete events to the caller, unless another attempt was faster."""
    if running.scope.cancel_called:
        return Forwarded.OVERTAKEN
    read, before, cursor = context.gateway.dialect.read_event, context.last_event, running.cursor
    if read is None:
        events = extract_events(cursor, data)
    else:
        events = extract_events(cursor, data, lambda event: read(context.request, event))
    if not events:
        return Forwarded.NO_EVENT
    cancel_others(context, running)
    context.last_event = cursor.last_event
    now = time.monotonic()
    if context.last_event_at:
        context.longest_gap = max(context.longest_gap, now - context.last_event_at)
    if not running.has_begun:
        record_first_answer(context.gateway, context.causes, now)
    observe_events(context, running, now)
    running.has_begun = True
    running.waits_since = math.inf
    context.last_event_at = now
    _finish_prefill(context, running, now)
    context.first_event_at = context.first_event_at or now
    if context.request.collects_events:
        _collect_events(context, events, before)
    elif not await _forward_events(context, head, events):
        return Forwarded.CALLER_GONE
    running.waits_since = time.monotonic()
    if cursor.error is not None:
        raise cursor.error
    return Forwarded.EVENTS


def cancel_others(context: RequestContext, running: RunningAttempt) -> None:
    """Cancel what runs beside an attempt that goes on or decides the answer."""
    context.selection.cancel()
    for other in context.running:
        if other is not running:
            other.scope.cancel()


def _collect_events(context: RequestContext, events: bytes, before: int | None) -> None:
    """Keep events for an answer that is sent as a whole; `before` is the event before them."""
    allocation = context.allocation
    if allocation.size + len(events) > MAX_ANSWER_BYTES or not allocation.allocate(len(events)):
        # Another attempt sends them again.
        context.last_event = before
        raise InvalidAnswerError("the answer is too long for the memory of this host")
    context.collected.append(events)


async def _forward_events(context: RequestContext, head: AnswerHead, events: bytes) -> bool:
    if context.reports is None:
        return await _write_events(context, head, events)
    async with context.reports.lock:
        return await _write_events(context, head, events)


async def _write_events(context: RequestContext, head: AnswerHead, events: bytes) -> bool:
    exchange = context.exchange
    try:
        if exchange.has_head:
            await exchanges.send_part(exchange, events)
        else:
            context.progress.answer_started = True
            await exchanges.start_answer(exchange, head.status, [*head.headers, CHUNKED], events)
    except exchanges.STREAM_ERRORS:
        exchange.caller_gone = True
        return False
    return True


def record_stall(context: RequestContext, running: RunningAttempt) -> None:
    """Record that an attempt is silent, so that other requests avoid its endpoint for a while."""
    endpoint, now = running.endpoint, time.monotonic()
    running.has_stalled = True
    avoided = _record_failure(context, running, AttemptOutcome.STALLED, now)
    logger.bind(
        request=context.request.request_id,
        endpoint=endpoint.name,
        begun=running.has_begun,
        seconds=round(now - running.waits_since, 4),
        avoided_seconds=round(avoided, 3),
    ).info("another attempt starts beside a silent one")


def record_attempt(context: RequestContext, running: RunningAttempt, result: AttemptResult) -> None:
    """Record the result of an attempt for this request and for the placement of others."""
    now = time.monotonic()
    outcome, endpoint = result.outcome, running.endpoint
    if outcome is not AttemptOutcome.TIMED_OUT or running.is_connected:
        record_outcome(context.progress, outcome, result.endpoints_tried)
    context.attempt_outcomes.append(f"{endpoint.name}:{outcome.value}")
    helper = find_helper_at_fault(running.helpers, result.head)
    declined = endpoint if helper is None else helper
    note_decline(context.gateway, declined, context.request.request_id, outcome, now)
    if helper is not None:
        _record_helper_failure(context, running, helper, outcome)
        return
    context.excluded.add(endpoint.name)
    if endpoint.is_peer and result.head is not None:
        context.retry_after_seconds = read_retry_after(result.head)
    if outcome is AttemptOutcome.COMPLETE:
        record_success(endpoint, running.started_at)
        head = result.head
        if not running.has_begun and head is not None and head.status in SUCCESS_STATUSES:
            record_first_answer(context.gateway, context.causes, now)
        return
    is_crash = outcome is AttemptOutcome.BROKEN and result.has_ended and not running.has_begun
    contact = context.gateway.forwarding.contact
    if is_crash and not endpoint.is_peer and not is_in_doubt(contact, endpoint.name):
        record_possible_crash(
            context.gateway, context.request, context.causes, endpoint, running.started_at, now
        )
    avoided = 0.0
    if outcome is AttemptOutcome.MISDIRECTED:
        _mark_replaced(context, endpoint, now)
    elif outcome is AttemptOutcome.DECLINED:
        _use_replaced_again(context)
    elif outcome in FAILURE_OUTCOMES:
        avoided = _record_failure(context, running, outcome, now)
    elif outcome is AttemptOutcome.NOT_RUN and not endpoint.is_peer:
        avoided = record_rejection(endpoint, now)
        context.gateway.share_load(endpoint)
    logger.bind(
        request=context.request.request_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        reason=outcome.value,
        detail=result.detail,
        begun=running.has_begun,
        parts=format_parts(context.request.prompt_parts),
        cause=format_cause(context.causes[0]),
        kv_tokens=running.kv_tokens,
        cold=now < endpoint.cold_until,
        seconds=round(now - running.started_at, 4),
        avoided_seconds=round(avoided, 3),
    ).info("an attempt did not complete")


def _record_failure(
    context: RequestContext, running: RunningAttempt, outcome: AttemptOutcome, now: float
) -> float:
    """Avoid the endpoint of a failed attempt, and return for how many seconds."""
    gateway, endpoint = context.gateway, running.endpoint
    avoided = record_failure(endpoint, running.started_at, now)
    if not endpoint.is_peer:
        if outcome is not AttemptOutcome.FAILED:
            note_failed(gateway, endpoint, now)
        gateway.share_load(endpoint)
    return avoided


def _mark_replaced(context: RequestContext, endpoint: Endpoint, now: float) -> None:
    context.replaced = endpoint
    mark_replaced(endpoint, now)


def _use_replaced_again(context: RequestContext) -> None:
    """Use the endpoint of an earlier answer again, because the request was the cause of it."""
    if context.replaced is not None:
        clear_replaced(context.replaced)
        context.replaced = None


def find_helper_at_fault(helpers: list[Endpoint], head: AnswerHead | None) -> Endpoint | None:
    """Return the helper that an answer names as the cause of a rejection, or None."""
    if head is None or not head.endpoint_at_fault:
        return None
    for helper in helpers:
        if head.endpoint_at_fault in (helper.name, helper.address):
            return helper
    return None


def _record_helper_failure(
    context: RequestContext, running: RunningAttempt, helper: Endpoint, outcome: AttemptOutcome
) -> None:
    """Record the failure of a helper that prevented the endpoint from running the request."""
    context.excluded.add(helper.name)
    avoided, now = 0.0, time.monotonic()
    if outcome is AttemptOutcome.MISDIRECTED:
        _mark_replaced(context, helper, now)
    elif outcome is AttemptOutcome.DECLINED:
        _use_replaced_again(context)
    else:
        avoided = record_failure(helper, running.started_at, now)
        context.gateway.share_load(helper)
    logger.bind(
        request=context.request.request_id,
        endpoint=helper.name,
        address=helper.address,
        reason=outcome.value,
        avoided_seconds=round(avoided, 3),
    ).info("a helper engine prevented the prefill of a prompt")
