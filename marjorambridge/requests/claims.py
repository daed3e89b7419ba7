"""Request claims of calls that may not be repeated, and record their answers."""

from marjorambridge.claims.events import (
    ClaimCompletionRequested,
    ClaimDecided,
    ClaimReleaseRequested,
    ClaimRequested,
    ClaimSettled,
)
from marjorambridge.claims.messages import RESULT_UNKNOWN, ClaimStatus, RecordedAnswer
from marjorambridge.core.effects import Effect, Publish
from marjorambridge.core.outcomes import Done, Failed, NotRun, Outcome, Reason, Unknown
from marjorambridge.requests.acquisition import request_permit
from marjorambridge.requests.effects import ForwardChunk, ForwardHeaders
from marjorambridge.requests.endings import (
    deliver_answer,
    describe_unreleased,
    expect_late_decision,
    finish_request,
)
from marjorambridge.requests.events import RequestArrived
from marjorambridge.requests.permits import set_wait_timer
from marjorambridge.requests.spans import record_claim
from marjorambridge.requests.state import (
    Phase,
    Request,
    RequestsState,
    compute_start_limit,
    create_ident,
)


def request_claim(state: RequestsState, request: Request, event: RequestArrived) -> list[Effect]:
    """Request the claim of a call; without a key, it gets one that is unique in the fleet."""
    claim = create_ident(state)
    request.claim = claim
    request.phase = Phase.CLAIMING
    request.holding = True
    state.claims[claim] = request.ident
    return [
        Publish(
            ClaimRequested(
                now=event.now,
                claim=claim,
                workspace=request.workspace,
                key=event.idempotency_key or str(claim),
                fingerprint=event.fingerprint,
                give_up_at=compute_start_limit(state, request),
                wall=event.wall,
                trace=request.trace,
                request=request.ident,
            )
        )
    ]


def handle_decided(state: RequestsState, event: ClaimDecided) -> list[Effect]:
    """Request the permit if the claim was granted, and answer the caller otherwise."""
    request = state.requests.get(state.claims.get(event.claim, ""))
    give_up_at = event.now + state.settings.claim_retry_timeout
    if request is None:
        if event.status is ClaimStatus.GRANTED and event.claim in state.late_claims:
            return [Publish(ClaimReleaseRequested(event.now, event.claim, give_up_at))]
        return []
    if request.phase not in (Phase.CLAIMING, Phase.RELEASING):
        return []
    releasing = request.phase is Phase.RELEASING
    spans = [] if releasing else record_claim(request, event.status.value, event.now)
    if event.status is ClaimStatus.GRANTED:
        if releasing:
            return [Publish(ClaimReleaseRequested(event.now, event.claim, give_up_at))]
        return spans + request_permit(state, request, event.now)
    if event.status is ClaimStatus.UNAVAILABLE:
        if releasing:
            return []
        # `claims.client` releases the claim itself, in case it was committed.
        expect_late_decision(state, event.claim, event.now)
        _forget_claim(state, request)
        outcome = describe_unreleased(state, Reason.CLAIM_UNAVAILABLE)
        return spans + finish_request(state, request, outcome, event.now)
    _forget_claim(state, request)
    outcome = _describe_status(state, event)
    effects = spans
    if isinstance(outcome, Done) and not request.caller_gone:
        answer = event.answer
        effects.append(ForwardHeaders(request.ident, answer.status, answer.headers))
        if answer.body:
            effects.append(ForwardChunk(request.ident, 0, len(answer.body), answer.body))
    return effects + finish_request(state, request, outcome, event.now)


def _describe_status(state: RequestsState, event: ClaimDecided) -> Outcome:
    """Return the outcome of a call whose claim was not granted.

    Only a key that was used for a different call is `NotRun`: with the other statuses, the call
    may have run when it was sent earlier.
    """
    if event.status is ClaimStatus.MISMATCH:
        message = "the Idempotency-Key was used for a different call; use a new key"
        return NotRun(Reason.CLAIM_MISMATCH, message)
    if event.status is ClaimStatus.IN_PROGRESS:
        message = "the call is in progress; send it again with the same key to get its answer"
        return Failed(Reason.CLAIM_IN_PROGRESS, message, state.settings.refusal_retry_after)
    if event.status is ClaimStatus.EXPIRED:
        message = "the Idempotency-Key is too old to tell whether the call ran; look up its result"
        return Unknown(Reason.CLAIM_EXPIRED, message)
    answer = event.answer
    lost = answer is not None and answer.status == RESULT_UNKNOWN
    if event.status is ClaimStatus.CLAIMANT_LOST or lost:
        message = "the call was sent, and its result is not known; look it up before a new call"
        return Unknown(Reason.CLAIMANT_LOST, message)
    if answer is None or not answer.kept:
        message = "the call was completed, but its answer is no longer kept; look up its result"
        return Unknown(Reason.ANSWER_NOT_KEPT, message)
    return Done()


def record_answer(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Record a complete answer before it is sent to the caller."""
    request.phase = Phase.RECORDING
    request.recorded_from = now
    kept = not request.too_long and len(request.held) <= state.settings.max_recorded_answer
    body = bytes(request.held) if kept else b""
    answer = RecordedAnswer(request.status, request.headers, body, kept)
    give_up_at = now + state.settings.claim_retry_timeout
    wait_until = min(request.deadline, now + state.settings.claim_commit_timeout)
    return [
        set_wait_timer(request, wait_until),
        Publish(ClaimCompletionRequested(now, request.claim, answer, give_up_at)),
    ]


def handle_settled(state: RequestsState, event: ClaimSettled) -> list[Effect]:
    """Answer the caller after its claim was completed or released, or after this failed."""
    request = state.requests.get(state.claims.get(event.claim, ""))
    if request is None:
        return []
    if request.phase is Phase.RECORDING:
        # The answer is correct whether it is recorded or not.
        return deliver_answer(state, request, event.now, event.committed)
    if request.phase is not Phase.RELEASING:
        return []
    if not event.committed:
        return finish_unreleased(state, request, event.now)
    _forget_claim(state, request)
    return finish_request(state, request, request.pending, event.now)


def finish_unreleased(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """End a call whose release is not committed in time; `claims.client` continues the release."""
    outcome = describe_unreleased(state, Reason.CLAIM_UNAVAILABLE)
    return finish_request(state, request, outcome, now)


def _forget_claim(state: RequestsState, request: Request) -> None:
    state.claims.pop(request.claim, None)
    request.claim = None
