"""Process the attempts of requests on endpoints and retry requests whose attempts fail."""

from marjorambridge.configuration.models import ServiceKind
from marjorambridge.core.effects import Effect, Measure, SendMessage
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.outcomes import Done, Reason
from marjorambridge.limits.messages import PermitRenew, PermitRevoked, PriorityClass
from marjorambridge.requests.acquisition import (
    find_asking_request,
    handle_queue_revocation,
    schedule_backoff,
)
from marjorambridge.requests.claims import record_answer
from marjorambridge.requests.cursor import trim_chunk
from marjorambridge.requests.effects import ForwardChunk, ForwardHeaders
from marjorambridge.requests.endings import abandon_request, finish_request, forward_held_answer
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnd,
    AttemptEnded,
    AttemptHeaders,
    AttemptStarted,
)
from marjorambridge.requests.permits import (
    abandon_attempt,
    cancel_permit,
    describe_permit,
    release_permit,
)
from marjorambridge.requests.retries import consume_retry
from marjorambridge.requests.state import Phase, Request, RequestsState

FIRST_ERROR_STATUS = 400
# Largest prompt of each class, in tokens.
PROMPT_CLASSES = {"1k": 1 << 10, "4k": 1 << 12, "16k": 1 << 14, "64k": 1 << 16, "256k": 1 << 18}


def find_running_request(state: RequestsState, attempt: AttemptId) -> Request | None:
    """Return the request of a running attempt; None for one that ended or was abandoned."""
    request = state.requests.get(state.permits.get(attempt, ""))
    return request if request is not None and request.phase is Phase.RUNNING else None


def handle_started(state: RequestsState, event: AttemptStarted) -> list[Effect]:
    """Record that the first byte of an attempt is sent."""
    request = find_running_request(state, event.attempt)
    if request is None:
        return []
    request.permit.started = True
    request.permit.started_at = event.now
    return [Measure("attempts_started_total", 1.0, {"kind": request.kind})]


def handle_headers(state: RequestsState, event: AttemptHeaders) -> list[Effect]:
    """Store the headers of an answer until its first content or its end arrives.

    Until then, nothing of an attempt that fails is sent to the caller, who gets the status of the
    next one.
    """
    request = find_running_request(state, event.attempt)
    if request is None:
        return []
    if not request.forwarded:
        request.status = event.status
        request.headers = event.headers
    if event.status >= FIRST_ERROR_STATUS:
        # Only the end event shows whether an error is the call's answer or a reason to retry.
        request.holding = True
    return []


def handle_chunk(state: RequestsState, event: AttemptChunk) -> list[Effect]:
    """Forward the part of a chunk that the caller does not have."""
    request = find_running_request(state, event.attempt)
    if request is None:
        return []
    effects: list[Effect] = []
    permit = request.permit
    if permit.first_token_seconds < 0.0:
        permit.first_token_seconds = event.now - permit.started_at
        if request.cursor == 0 and not request.holding:
            waited = event.now - request.arrived_at
            effects.append(_record_first_token(request, waited))
        if permit.priority is not PriorityClass.INTERACTIVE:
            # The owner grants short requests no endpoint in a long prefill until its reported end.
            effects.append(SendMessage(permit.owner, PermitRenew((describe_permit(permit),))))
    if request.kind is ServiceKind.ENGINE and request.holding:
        return effects  # The body of an error; the end event has its message.
    cursor = request.cursor
    new = trim_chunk(event, cursor)
    if new is None:
        effects += abandon_attempt(state, request, event.now)
        message = "tokens of the answer were lost on the way; send the request again"
        return effects + retry_request(state, request, Reason.STREAM_CUT, message, event.now)
    count, data = new
    if count == 0:
        return effects
    request.cursor += count
    if request.holding:
        request.held += data
        if len(request.held) > state.settings.max_held_answer:
            # Too long to hold until it is recorded; it is forwarded as it arrives.
            request.too_long = True
            effects += forward_held_answer(request)
        return effects
    effects += _forward_headers(request)
    if not request.caller_gone:
        effects.append(ForwardChunk(request.ident, cursor, count, data))
    return effects


def classify_prompt(tokens: int) -> str:
    """Return the prompt length class of a metric; longer prompts count as the last one.

    Examples
    --------
    >>> classify_prompt(1_000), classify_prompt(1_025), classify_prompt(2_000_000)
    ('1k', '4k', '1m')
    """
    return next((name for name, most in PROMPT_CLASSES.items() if tokens <= most), "1m")


def _record_first_token(request: Request, waited: float) -> Effect:
    if request.kind is ServiceKind.PLAIN:
        return Measure("first_byte_seconds", waited)
    return Measure(
        "first_token_seconds", waited, {"prompt": classify_prompt(request.prompt_tokens)}
    )


def _forward_headers(request: Request) -> list[Effect]:
    if request.forwarded or request.caller_gone:
        return []
    request.forwarded = True
    return [ForwardHeaders(request.ident, request.status, request.headers)]


def handle_ended(state: RequestsState, event: AttemptEnded) -> list[Effect]:
    """Finish the request after its complete answer, or retry it."""
    request = find_running_request(state, event.attempt)
    if request is None:
        return []
    now = event.now
    end = event.end
    if end is AttemptEnd.NOT_SENT and not request.permit.started:
        return _handle_not_sent(state, request, now)
    lost = event.usage.get("completion_tokens", 0) > request.cursor
    if end is AttemptEnd.COMPLETE and (lost or request.status == 0):
        end = AttemptEnd.CUT
    if end is AttemptEnd.COMPLETE and request.kind is ServiceKind.ENGINE and request.holding:
        end = AttemptEnd.SERVER_ERROR
    plain_answer = request.kind is ServiceKind.PLAIN and request.status > 0
    if end is AttemptEnd.COMPLETE or (end is AttemptEnd.CLIENT_ERROR and plain_answer):
        return _complete_request(state, request, event)
    failed = end in (AttemptEnd.CUT, AttemptEnd.SERVER_ERROR, AttemptEnd.NOT_SENT)
    stopped = end in (AttemptEnd.REFUSED, AttemptEnd.SERVER_ERROR, AttemptEnd.CLIENT_ERROR)
    _exclude_endpoint(request)
    effects = release_permit(
        state, request, now, endpoint_failed=failed, stopped=stopped, end=event.end.value
    )
    if end is AttemptEnd.REFUSED and (request.cursor == 0 or request.status >= FIRST_ERROR_STATUS):
        request.may_have_run = False
    if end is AttemptEnd.CLIENT_ERROR:
        message = event.message or "the endpoint refused the request; correct it"
        return effects + abandon_request(state, request, Reason.BAD_REQUEST, message, None, now)
    reason, message = _describe_failure(end)
    return effects + retry_request(state, request, reason, message, now)


def _describe_failure(end: AttemptEnd) -> tuple[Reason, str]:
    if end in (AttemptEnd.CUT, AttemptEnd.NOT_SENT):
        return Reason.STREAM_CUT, "the endpoint broke the answer off"
    if end is AttemptEnd.TIMED_OUT:
        return Reason.DEADLINE, "the endpoint did not answer in time"
    return Reason.ENDPOINT_ERROR, "the endpoint failed to answer"


def _exclude_endpoint(request: Request) -> None:
    leading = request.permit.endpoints[0].endpoint
    if leading not in request.exclude:
        request.exclude.append(leading)


def _handle_not_sent(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Get another permit; no byte was sent, so this does not use the retry budget."""
    request.attempts -= 1
    request.may_have_run = False
    if now < request.permit.start_by:
        # The start window had not passed, so the endpoint could not be reached.
        _exclude_endpoint(request)
        effects = release_permit(
            state, request, now, endpoint_failed=True, stopped=True, end=AttemptEnd.NOT_SENT.value
        )
    else:
        effects = cancel_permit(state, request, now)
    if request.caller_gone:
        message = "the caller closed the connection"
        return effects + abandon_request(state, request, Reason.CALLER_GONE, message, None, now)
    return effects + schedule_backoff(state, request, now)


def _complete_request(state: RequestsState, request: Request, event: AttemptEnded) -> list[Effect]:
    effects = release_permit(
        state, request, event.now, succeeded=True, stopped=True, end=event.end.value
    )
    request.finish = event.finish
    request.usage = event.usage
    if request.claim is not None:
        return effects + record_answer(state, request, event.now)
    effects += forward_held_answer(request)
    effects += _forward_headers(request)
    return effects + finish_request(state, request, Done(), event.now)


def handle_permit_revoked(
    state: RequestsState, sender: str, message: PermitRevoked, now: float
) -> list[Effect]:
    """Stop the attempt of a revoked permit and retry the request."""
    request = find_asking_request(state, message.permit)
    if request is not None:
        return handle_queue_revocation(state, request, sender, now)
    request = find_running_request(state, message.permit)
    if request is None or message.shard != request.permit.shard:
        return []
    effects = abandon_attempt(state, request, now)
    text = "the permit was revoked while the endpoint answered"
    return effects + retry_request(state, request, Reason.STREAM_CUT, text, now)


def retry_request(
    state: RequestsState, request: Request, reason: Reason, message: str, now: float
) -> list[Effect]:
    """Retry a request after a sent attempt without a complete answer, or end it at once.

    An engine's answer is resumed at the exact token. A partly forwarded answer of a plain service
    cannot be resumed, because a second execution may give a different answer.
    """
    retry_after = state.settings.refusal_retry_after
    if request.caller_gone:
        reason, message, retry_after = Reason.CALLER_GONE, "the caller closed the connection", None
    plain = request.kind is ServiceKind.PLAIN
    if (
        request.caller_gone
        or (request.may_have_run and not request.repeatable)
        or (plain and request.forwarded)
        or request.attempts >= state.settings.max_attempts
        or not consume_retry(state.budget, state.settings, now)
    ):
        return abandon_request(state, request, reason, message, retry_after, now)
    request.status = 0 if not request.forwarded else request.status
    request.holding = request.claim is not None
    request.held = bytearray()
    if plain:
        request.cursor = 0
    return [
        Measure("retries_total", 1.0, {"reason": reason}),
        *schedule_backoff(state, request, now),
    ]
