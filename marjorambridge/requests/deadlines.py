"""End requests at their deadlines, and when their callers disconnect."""

from marjorambridge.core.effects import Effect, SetTimer
from marjorambridge.core.outcomes import Reason
from marjorambridge.requests.acquisition import renew_permit_request, request_permit
from marjorambridge.requests.claims import finish_unreleased
from marjorambridge.requests.endings import (
    abandon_request,
    create_deadline_timer,
    deliver_answer,
    end_request,
)
from marjorambridge.requests.events import CallerGone
from marjorambridge.requests.state import Phase, Request, RequestsState

UNSENT_PHASES = frozenset({Phase.CLAIMING, Phase.ASKING, Phase.STALE, Phase.BACKOFF})
DEADLINE_MESSAGE = "the deadline passed; allow more time with X-Request-Timeout"


def expire_request(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """End a request whose deadline has passed."""
    return end_request(state, request, Reason.DEADLINE, DEADLINE_MESSAGE, now)


def handle_deadline(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """End a request that can no longer start in time, and release its claim."""
    effects: list[Effect] = [SetTimer(create_deadline_timer(request), request.deadline)]
    if request.phase in UNSENT_PHASES:
        retry_after = state.settings.refusal_retry_after
        effects += abandon_request(
            state, request, Reason.DEADLINE, DEADLINE_MESSAGE, retry_after, now
        )
    return effects


def handle_wait_timer(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Continue a request whose wait timer is due."""
    if now < request.wait_until:
        return []
    if request.phase is Phase.ASKING:
        return renew_permit_request(state, request, now)
    if request.phase is Phase.BACKOFF:
        return request_permit(state, request, now)
    if request.phase is Phase.RECORDING:
        return deliver_answer(state, request, now)
    if request.phase is Phase.RELEASING:
        return finish_unreleased(state, request, now)
    return []


def handle_caller_gone(state: RequestsState, event: CallerGone) -> list[Effect]:
    """Stop the work for a caller that disconnected.

    A call that may not be repeated and may have been sent continues, and its answer is recorded:
    the caller's resend then gets the answer. A cancelled call would stay "unknown".
    """
    request = state.requests.get(event.request)
    if request is None or request.phase is Phase.RELEASING:
        return []
    request.caller_gone = True
    if request.phase is Phase.RECORDING or (request.may_have_run and not request.repeatable):
        return []
    message = "the caller closed the connection"
    return abandon_request(state, request, Reason.CALLER_GONE, message, None, event.now)
