"""Handle a request of a caller: admit it, run attempts, and write the answer.

All decisions are made by functions of `marjorambridge.forwarding`; this module executes them.
"""

import time

import anyio
from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.forwarding.admission import Admission, Refusal, admit_request
from marjorambridge.forwarding.attempts import (
    AttemptOutcome,
    NextStep,
    decide_next_step,
    judge_misdirected,
    may_try_again,
    record_outcome,
)
from marjorambridge.forwarding.budgets import consume_retry, record_request, record_send
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
    count_kv_tokens,
    finish_prefill,
    remove_request,
)
from marjorambridge.forwarding.placement import (
    choose_endpoint,
    is_usable,
    list_usable,
)
from marjorambridge.forwarding.request_limits import may_send_limited
from marjorambridge.forwarding.reservations import needs_reservations, plan_memory_shares
from marjorambridge.forwarding.splitting import choose_prefill_engines, is_long_prompt
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway import callers
from marjorambridge.gateway.answers import (
    MAX_ANSWER_BYTES,
    InvalidAnswerError,
    is_event_stream,
)
from marjorambridge.gateway.callers import Exchange
from marjorambridge.gateway.cancellations import start_cancellation
from marjorambridge.gateway.contexts import (
    RequestContext,
    count_collected_bytes,
    create_context,
    has_events,
)
from marjorambridge.gateway.crash_reports import format_cause
from marjorambridge.gateway.crashes import (
    format_parts,
    is_blocked,
    record_first_answer,
    record_possible_crash,
)
from marjorambridge.gateway.events import extract_events, reset_attempt
from marjorambridge.gateway.exceptions import BadRequestError
from marjorambridge.gateway.hints import apply_answer_hints
from marjorambridge.gateway.messages import (
    SUCCESS_STATUSES,
    AnswerHead,
    Attempt,
    AttemptOptions,
    AttemptResult,
    CallerRequest,
    Forwarded,
)
from marjorambridge.gateway.outcomes import (
    answer_invalid,
    deliver,
    fail,
    log_outcome,
    refuse,
    refuse_admission,
)
from marjorambridge.gateway.stalls import get_stall_deadline
from marjorambridge.gateway.state import Gateway, create_attempt_id
from marjorambridge.gateway.tickets import list_helpers, release, renew_tickets, reserve
from marjorambridge.manifests.models import Execution

CHUNKED = (b"Transfer-Encoding", b"chunked")
# Outcomes that count as a failure of the endpoint, which is then avoided for a while.
FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.NOT_SENT, AttemptOutcome.FAILED, AttemptOutcome.BROKEN, AttemptOutcome.STALLED}
)


async def handle_request(gateway: Gateway, exchange: Exchange) -> None:
    """Handle a request and write its answer."""
    try:
        request = gateway.dialect.decode_request(
            exchange.method, exchange.target, exchange.headers, exchange.body
        )
    except BadRequestError as error:
        await answer_invalid(gateway, exchange, error)
        return
    admitted = await _admit(gateway, exchange, request)
    if isinstance(admitted, Refusal):
        await refuse_admission(gateway, exchange, request, admitted)
        return
    context = create_context(gateway, exchange, request, admitted)
    record_request(gateway.forwarding, admitted.service, time.monotonic())
    outcome = "caller_gone"
    try:
        outcome = await _run_attempts(context)
    finally:
        context.allocation.release()
        await release(context.tickets)
        log_outcome(context, outcome)


async def _admit(
    gateway: Gateway, exchange: Exchange, request: CallerRequest
) -> Admission | Refusal:
    """Admit or refuse a request; before the first manifest arrives, wait a limited time for it.

    A request that is complete late in a planned stop might not end before the process does, and
    another host can serve it at once.
    """
    if time.monotonic() >= gateway.accepts_until:
        return Refusal.STOPPING
    wait_deadline = exchange.arrived_at + defaults.FIRST_MANIFEST_TIMEOUT_SECONDS
    while True:
        admitted = admit_request(
            gateway.forwarding, request.host_name, request.path, request.key, request.repeatable
        )
        remaining = wait_deadline - time.monotonic()
        if admitted is not Refusal.NO_MANIFEST or remaining <= 0:
            return admitted
        with anyio.move_on_after(remaining):
            await gateway.updated.wait()


# Attempts.


async def _run_attempts(context: RequestContext) -> str:
    """Run attempts until one is final, write the answer and return the outcome's name."""
    if is_blocked(context.gateway, context.request, context.causes, may_test=True):
        return await refuse(context, "blocked")
    endpoint = await _select_endpoint(context)
    while endpoint is not None:
        context.allocation.release(count_collected_bytes(context))
        result = await _run_attempt(context, endpoint)
        if context.exchange.caller_gone:
            return "caller_gone"
        _record_attempt(context, endpoint, result)
        next_endpoint = await _select_next_endpoint(context, result.outcome)
        step = decide_next_step(
            context.admission.route, context.progress, result.outcome, next_endpoint is not None
        )
        if step is NextStep.DELIVER:
            return await deliver(context, result)
        if step is NextStep.REFUSE:
            return await refuse(context, result.outcome.value)
        if step is NextStep.FAIL:
            return await fail(context, result.outcome)
        endpoint = next_endpoint
    return await refuse(context, "no_endpoint")


async def _select_endpoint(context: RequestContext) -> Endpoint | None:
    """Return the endpoint of the next attempt and store its helper engines in the context."""
    forwarding, profile = context.gateway.forwarding, context.profile
    excluded, now = frozenset(context.excluded), time.monotonic()
    context.helpers = []
    may_split = context.gateway.dialect.helpers is not None
    if not may_split or not is_long_prompt(forwarding, profile):
        return choose_endpoint(forwarding, profile, excluded, now)
    # Engines become free within a short time, and a later retry of the caller rarely finds more
    # free engines.
    wait_deadline = now + defaults.LONG_PROMPT_WAIT_SECONDS
    while True:
        endpoint = await _select_for_long_prompt(context, excluded)
        now = time.monotonic()
        if endpoint is not None or now >= wait_deadline:
            return endpoint
        if not list_usable(forwarding, profile.service, excluded, now):
            return None
        await anyio.sleep(defaults.LONG_PROMPT_CHECK_INTERVAL_SECONDS)


async def _select_for_long_prompt(
    context: RequestContext, excluded: frozenset[str]
) -> Endpoint | None:
    forwarding, profile, now = context.gateway.forwarding, context.profile, time.monotonic()
    profile.remaining_seconds = max(0.0, context.deadline - now)
    engines = choose_prefill_engines(forwarding, profile, excluded, now)
    if engines and needs_reservations(forwarding, profile):
        shares = plan_memory_shares(forwarding, profile, engines)
        if not shares or not await reserve(context.tickets, shares):
            return None
        now = time.monotonic()
        if not may_send_limited(forwarding, engines[0], now) or not all(
            is_usable(forwarding, engine, excluded, now) for engine in engines
        ):
            # An engine became unusable while the memory was being reserved.
            await release(context.tickets)
            return None
    context.helpers = engines[1:]
    return engines[0] if engines else None


async def _select_next_endpoint(
    context: RequestContext, outcome: AttemptOutcome
) -> Endpoint | None:
    """Return the endpoint of another attempt, or None if no attempt is allowed or possible."""
    now = time.monotonic()
    route = context.admission.route
    if not may_try_again(route, context.progress, outcome):
        return None
    if context.deadline - now < defaults.MIN_ATTEMPT_SECONDS:
        return None
    if is_blocked(context.gateway, context.request, context.causes, may_test=False):
        return None
    endpoint = await _select_endpoint(context)
    if endpoint is None:
        return None
    is_repeated = outcome is not AttemptOutcome.NOT_SENT
    if is_repeated and not consume_retry(
        context.gateway.forwarding, context.admission.service, now
    ):
        context.attempt_outcomes.append("no_retry_budget")
        await release(context.tickets)
        return None
    return endpoint


async def _run_attempt(context: RequestContext, endpoint: Endpoint) -> AttemptResult:
    """Run one attempt and account for its load at the endpoints."""
    gateway, request, profile = context.gateway, context.request, context.profile
    now = context.attempt_started_at = time.monotonic()
    reset_attempt(context.cursor)
    workspace = context.admission.workspace
    context.helper_count = len(context.helpers)
    options = AttemptOptions(
        endpoint=endpoint.name,
        remaining_seconds=context.deadline - now,
        address=endpoint.address,
        born=endpoint.born,
        attempt=create_attempt_id(gateway),
        kv_tokens=profile.kv_tokens,
        workspace=workspace.name if workspace else "",
        last_event=context.cursor.last_event if has_events(context) else None,
        helpers=list_helpers(context.tickets, [helper.address for helper in context.helpers]),
    )
    message = gateway.dialect.encode_attempt(request, options)
    attempt = Attempt(
        address=endpoint.address,
        method=request.method,
        target=message.target,
        headers=message.headers,
        body=message.body,
        request_id=request.request_id,
        get_stall_deadline=lambda: get_stall_deadline(context, endpoint.name),
        allocation=context.allocation,
        handle_head=lambda head: apply_answer_hints(gateway, endpoint, request.request_id, head),
        work=gateway.work,
    )
    if context.admission.route.execution is Execution.STREAM:
        attempt.send_event_bytes = lambda head, data: _send_events(context, head, data)
    record_send(endpoint, now)
    _add_load(context, endpoint, now)
    context.attempt_kv_tokens = count_kv_tokens(endpoint)
    result = AttemptResult(AttemptOutcome.TIMED_OUT)
    try:
        with anyio.move_on_after(context.deadline - now):
            result = await _run_with_tickets(context, attempt)
    finally:
        _finish_prefill(context, time.monotonic())
        remove_request(endpoint.load, profile.kv_tokens, profile.pause_seconds)
        gateway.share_load(endpoint)
        start_cancellation(gateway, request, endpoint, options.attempt, result.outcome)
        await release(context.tickets)
    _check_stream(context, result)
    if result.outcome is AttemptOutcome.MISDIRECTED:
        result.outcome = judge_misdirected(context.progress, request.is_conditional)
    return result


def _check_stream(context: RequestContext, result: AttemptResult) -> None:
    """Change the outcome of a complete answer that can't be the rest of the caller's stream."""
    is_stream = context.admission.route.execution is Execution.STREAM
    head = result.head
    if not is_stream or head is None or result.outcome is not AttemptOutcome.COMPLETE:
        return
    cursor, has_end_event = context.cursor, context.gateway.dialect.has_end_event
    status = head.status
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


async def _run_with_tickets(context: RequestContext, attempt: Attempt) -> AttemptResult:
    """Run an attempt and renew its tickets, if there are any, until it ends."""
    tickets = context.tickets
    if not tickets.held:
        return await context.gateway.run_attempt(attempt, context.gateway.dialect)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(renew_tickets, tickets)
        result = await context.gateway.run_attempt(attempt, context.gateway.dialect)
        tasks.cancel_scope.cancel()
    return result


def _add_load(context: RequestContext, endpoint: Endpoint, now: float) -> None:
    profile = context.profile
    add_request(endpoint.load, profile.kv_tokens, profile.pause_seconds)
    if profile.prefill_seconds > 0:
        context.prefilling = [endpoint, *context.helpers]
        for engine in context.prefilling:
            add_prefill(engine.load, profile.prefill_seconds / len(context.prefilling), now)
            context.gateway.share_load(engine)
    else:
        context.gateway.share_load(endpoint)


def _finish_prefill(context: RequestContext, now: float) -> None:
    for engine in context.prefilling:
        finish_prefill(engine.load, now)
        context.gateway.share_load(engine)
    context.prefilling = []


async def _send_events(context: RequestContext, head: AnswerHead, data: bytes) -> Forwarded:
    """Send the complete events to the caller."""
    read, before = context.gateway.dialect.read_event, context.cursor.last_event
    if read is None:
        events = extract_events(context.cursor, data)
    else:
        events = extract_events(context.cursor, data, lambda event: read(context.request, event))
    if not events:
        return Forwarded.NO_EVENT
    now = time.monotonic()
    if context.last_event_at:
        context.longest_gap = max(context.longest_gap, now - context.last_event_at)
    if not _has_begun(context):
        record_first_answer(context.gateway, context.causes, now)
    context.last_event_at = now
    _finish_prefill(context, now)
    context.first_event_at = context.first_event_at or now
    if context.request.collects_events:
        _collect_events(context, events, before)
    elif not await _forward_events(context, head, events):
        return Forwarded.CALLER_GONE
    if context.cursor.error is not None:
        raise context.cursor.error
    return Forwarded.EVENTS


def _collect_events(context: RequestContext, events: bytes, before: int | None) -> None:
    """Keep events for an answer that is sent as a whole; `before` is the event before them."""
    allocation = context.allocation
    if allocation.size + len(events) > MAX_ANSWER_BYTES or not allocation.allocate(len(events)):
        # Another attempt sends them again.
        context.cursor.last_event = before
        raise InvalidAnswerError("the answer is too long for the memory of this host")
    context.collected.append(events)


async def _forward_events(context: RequestContext, head: AnswerHead, events: bytes) -> bool:
    exchange = context.exchange
    try:
        if exchange.has_head:
            await callers.send_part(exchange, events)
        else:
            context.progress.answer_started = True
            await callers.start_answer(exchange, head.status, [*head.headers, CHUNKED], events)
    except callers.STREAM_ERRORS:
        exchange.caller_gone = True
        return False
    return True


def _record_attempt(context: RequestContext, endpoint: Endpoint, result: AttemptResult) -> None:
    """Record the result of an attempt for this request and for the placement of others."""
    now = time.monotonic()
    outcome = result.outcome
    record_outcome(context.progress, outcome)
    context.attempt_outcomes.append(f"{endpoint.name}:{outcome.value}")
    helper = find_helper_at_fault(context.helpers, result.head)
    if helper is not None:
        _record_helper_failure(context, helper, outcome, now)
        return
    context.excluded.add(endpoint.name)
    if outcome is AttemptOutcome.COMPLETE:
        record_success(endpoint, context.attempt_started_at)
        head = result.head
        if not _has_begun(context) and head is not None and head.status in SUCCESS_STATUSES:
            record_first_answer(context.gateway, context.causes, now)
        return
    if outcome is AttemptOutcome.BROKEN and not _has_begun(context):
        began_at = context.attempt_started_at
        record_possible_crash(
            context.gateway, context.request, context.causes, endpoint, began_at, now
        )
    avoided = 0.0
    if outcome is AttemptOutcome.MISDIRECTED:
        _mark_replaced(context, endpoint, now)
    elif outcome is AttemptOutcome.DECLINED:
        _use_replaced_again(context)
    elif outcome in FAILURE_OUTCOMES:
        avoided = record_failure(endpoint, context.attempt_started_at, now)
        context.gateway.share_load(endpoint)
    elif outcome is AttemptOutcome.NOT_RUN:
        avoided = record_rejection(endpoint, now)
        context.gateway.share_load(endpoint)
    logger.bind(
        request=context.request.request_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        reason=outcome.value,
        detail=result.detail,
        begun=_has_begun(context),
        parts=format_parts(context.request.prompt_parts),
        cause=format_cause(context.causes[0]),
        kv_tokens=context.attempt_kv_tokens,
        cold=now < endpoint.cold_until,
        seconds=round(now - context.attempt_started_at, 4),
        avoided_seconds=round(avoided, 3),
    ).info("an attempt did not complete")


def _mark_replaced(context: RequestContext, endpoint: Endpoint, now: float) -> None:
    context.replaced = endpoint
    mark_replaced(endpoint, now)


def _use_replaced_again(context: RequestContext) -> None:
    """Use the endpoint of an earlier answer again, because the request was the cause of it."""
    if context.replaced is not None:
        clear_replaced(context.replaced)
        context.replaced = None


def _has_begun(context: RequestContext) -> bool:
    """Return whether the first event of the attempt has arrived."""
    return context.last_event_at >= context.attempt_started_at


def find_helper_at_fault(helpers: list[Endpoint], head: AnswerHead | None) -> Endpoint | None:
    """Return the helper that an answer names as the cause of a rejection, or None."""
    if head is None or not head.endpoint_at_fault:
        return None
    for helper in helpers:
        if head.endpoint_at_fault in (helper.name, helper.address):
            return helper
    return None


def _record_helper_failure(
    context: RequestContext, helper: Endpoint, outcome: AttemptOutcome, now: float
) -> None:
    """Record the failure of a helper that prevented the endpoint from running the request."""
    context.excluded.add(helper.name)
    avoided = 0.0
    if outcome is AttemptOutcome.MISDIRECTED:
        _mark_replaced(context, helper, now)
    elif outcome is AttemptOutcome.DECLINED:
        _use_replaced_again(context)
    else:
        avoided = record_failure(helper, context.attempt_started_at, now)
        context.gateway.share_load(helper)
    logger.bind(
        request=context.request.request_id,
        endpoint=helper.name,
        address=helper.address,
        reason=outcome.value,
        avoided_seconds=round(avoided, 3),
    ).info("a helper engine prevented the prefill of a prompt")
