"""End requests with the correct outcome."""

from marjorambridge.claims.events import ClaimCompletionRequested, ClaimReleaseRequested
from marjorambridge.claims.messages import RESULT_UNKNOWN, RecordedAnswer
from marjorambridge.core.effects import CancelTimer, Effect, Measure, Publish, WriteLog
from marjorambridge.core.identity import AttemptId, TimerKey
from marjorambridge.core.outcomes import (
    OUTCOME_NAMES,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from marjorambridge.core.spans import SpanKind
from marjorambridge.requests.effects import FinishRequest, ForwardChunk, ForwardHeaders
from marjorambridge.requests.events import Drained
from marjorambridge.requests.permits import create_wait_timer, drop_permit, set_wait_timer
from marjorambridge.requests.quotas import release_quota
from marjorambridge.requests.spans import record_claim, record_request, record_span
from marjorambridge.requests.state import Phase, Request, RequestsState


def create_deadline_timer(request: Request) -> TimerKey:
    """Return the timer of a request's deadline."""
    return TimerKey("requests", "deadline", request.ident)


def describe_end(
    request: Request, reason: Reason, message: str, retry_after: float | None
) -> Outcome:
    """Return the outcome of a request that ends without its complete answer.

    `NotRun` is possible only if certainly no byte was sent to an endpoint. A call that may not be
    repeated and may have run is `Unknown`; every other one may be repeated, so it is `Failed`.
    """
    if request.may_have_run and not request.repeatable:
        return Unknown(reason, f"{message}; look up its result before sending the call again")
    if request.attempts:
        return Failed(reason, message, retry_after)
    return NotRun(reason, message, retry_after)


def finish_request(
    state: RequestsState, request: Request, outcome: Outcome, now: float, cut: bool = False
) -> list[Effect]:
    """Remove a request and send its caller the final outcome."""
    effects = drop_permit(state, request, now)
    if request.claim is not None:
        if request.phase is Phase.CLAIMING:
            effects += record_claim(request, "given_up", now)
        effects += _settle_claim(state, request, outcome, now)
    effects += record_request(request, outcome, now)
    del state.requests[request.ident]
    release_quota(state, request.workspace)
    reason = "none" if isinstance(outcome, Done) else outcome.reason
    labels = {"outcome": OUTCOME_NAMES[type(outcome)], "reason": reason}
    finish = FinishRequest(request.ident, outcome)
    if isinstance(outcome, Done):
        finish.finish = request.finish
        finish.prompt_tokens = request.usage.get("prompt_tokens", request.prompt_tokens)
        if request.prompt_tokens:
            finish.output_tokens = request.cursor
    effects += [
        CancelTimer(create_wait_timer(request)),
        CancelTimer(create_deadline_timer(request)),
        finish,
        Measure("requests_finished_total", 1.0, labels),
    ]
    if isinstance(outcome, Unknown):
        effects.append(_log_unknown(request, outcome))
    if state.shutdown is not None:
        if cut:
            state.shutdown.cut += 1
        else:
            state.shutdown.ended += 1
    return effects + check_drained(state, now)


def _log_unknown(request: Request, outcome: Unknown) -> Effect:
    fields = {
        "request": request.ident,
        "trace": request.trace,
        "workspace": request.workspace,
        "service": request.service,
        "reason": outcome.reason.value,
        "attempts": request.attempts,
    }
    return WriteLog("warning", "it is not known whether a call ran; look up its result", fields)


def _settle_claim(
    state: RequestsState, request: Request, outcome: Outcome, now: float
) -> list[Effect]:
    """Complete or release the claim of a request that has ended.

    While the claim stays open, each resend is answered "in progress" for as long as this host runs.
    """
    state.claims.pop(request.claim, None)
    give_up_at = now + state.settings.claim_retry_timeout
    if isinstance(outcome, Unknown) and request.may_have_run:
        answer = RecordedAnswer(RESULT_UNKNOWN, kept=False)
        return [Publish(ClaimCompletionRequested(now, request.claim, answer, give_up_at))]
    if request.phase is Phase.CLAIMING or request.pending is not None:
        expect_late_decision(state, request.claim, now)
    if request.phase in (Phase.RECORDING, Phase.RELEASING) or isinstance(outcome, Done):
        return []
    return [Publish(ClaimReleaseRequested(now, request.claim, give_up_at))]


def expect_late_decision(state: RequestsState, claim: AttemptId, now: float) -> None:
    """Release a claim if its decision arrives after its request was abandoned."""
    state.late_claims[claim] = now + state.settings.claim_retry_timeout
    for old in [old for old, until in state.late_claims.items() if until <= now]:
        del state.late_claims[old]


def abandon_request(
    state: RequestsState,
    request: Request,
    reason: Reason,
    message: str,
    retry_after: float | None,
    now: float,
) -> list[Effect]:
    """End a request that cannot succeed, after its claim is released if it holds one."""
    outcome = describe_end(request, reason, message, retry_after)
    if request.claim is None or isinstance(outcome, Unknown):
        return finish_request(state, request, outcome, now)
    effects = drop_permit(state, request, now)
    if request.phase is Phase.CLAIMING:
        effects += record_claim(request, "given_up", now)
        expect_late_decision(state, request.claim, now)
    request.phase = Phase.RELEASING
    request.pending = outcome
    wait_until = min(request.deadline, now + state.settings.claim_commit_timeout)
    release = ClaimReleaseRequested(now, request.claim, now + state.settings.claim_retry_timeout)
    return [*effects, set_wait_timer(request, wait_until), Publish(release)]


def end_request(
    state: RequestsState, request: Request, reason: Reason, message: str, now: float
) -> list[Effect]:
    """End a request in any phase at once, with the correct outcome."""
    cut = reason is Reason.SHUTTING_DOWN
    if request.phase is Phase.RECORDING:
        return deliver_answer(state, request, now)
    retry_after = state.settings.refusal_retry_after
    if request.claim is not None and not request.may_have_run:
        outcome = describe_unreleased(state, reason)
    else:
        outcome = describe_end(request, reason, message, retry_after)
    return finish_request(state, request, outcome, now, cut)


def describe_unreleased(state: RequestsState, reason: Reason) -> Failed:
    """Return the outcome of a call that did not run, but whose claim may not be released yet.

    It is not `NotRun`, because a resend with the same key may get "in progress" or "unknown".
    """
    return Failed(
        reason,
        "the call was not run, but its claim may not be withdrawn yet; send it again with the "
        "same Idempotency-Key",
        state.settings.refusal_retry_after,
    )


def deliver_answer(
    state: RequestsState, request: Request, now: float, committed: bool = False
) -> list[Effect]:
    """Send the caller the held answer of a call, whether or not it was recorded in time."""
    start = request.recorded_from
    return [
        *record_span(request, SpanKind.RECORD, request.claim, start, now, committed=committed),
        *forward_held_answer(request),
        *finish_request(state, request, Done(), now),
    ]


def forward_held_answer(request: Request) -> list[Effect]:
    """Forward the held part of an answer."""
    if not request.holding or request.caller_gone:
        return []
    effects: list[Effect] = [ForwardHeaders(request.ident, request.status, request.headers)]
    if request.held:
        effects.append(ForwardChunk(request.ident, 0, len(request.held), bytes(request.held)))
    request.holding = False
    request.forwarded = True
    request.held = bytearray()
    return effects


def check_drained(state: RequestsState, now: float) -> list[Effect]:
    """Publish `Drained` once a shutdown has no request left and admits none."""
    shutdown = state.shutdown
    if shutdown is None or shutdown.drained or state.requests or now < shutdown.refuse_from:
        return []
    shutdown.drained = True
    return [Publish(Drained(now, shutdown.ended, shutdown.cut))]
