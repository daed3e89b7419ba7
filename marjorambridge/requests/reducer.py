"""Apply events to the requests of this host: the reducer of the requests component."""

from marjorambridge.claims.events import ClaimDecided, ClaimSettled
from marjorambridge.core.effects import Effect
from marjorambridge.core.events import (
    ConfigurationApplied,
    Event,
    FreshnessChanged,
    MessageReceived,
    ShutdownRequested,
    TimerFired,
    ViewApplied,
)
from marjorambridge.limits.messages import (
    PermitDenied,
    PermitGranted,
    PermitQueued,
    PermitRevoked,
)
from marjorambridge.requests.acquisition import (
    handle_denied,
    handle_granted,
    handle_queued,
    reroute_requests,
    resume_stale_requests,
)
from marjorambridge.requests.admission import handle_arrived
from marjorambridge.requests.attempts import (
    handle_chunk,
    handle_ended,
    handle_headers,
    handle_permit_revoked,
    handle_started,
)
from marjorambridge.requests.authentication import index_keys
from marjorambridge.requests.claims import handle_decided, handle_settled
from marjorambridge.requests.deadlines import (
    expire_request,
    handle_caller_gone,
    handle_deadline,
    handle_wait_timer,
)
from marjorambridge.requests.endings import check_drained
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnded,
    AttemptHeaders,
    AttemptStarted,
    CallerGone,
    LoopDelayMeasured,
    RequestArrived,
)
from marjorambridge.requests.permits import RENEWAL_TIMER, register_moved_permits, renew_permits
from marjorambridge.requests.quotas import forget_workspaces
from marjorambridge.requests.shutdown import (
    DRAIN_TIMER,
    REFUSE_TIMER,
    end_all_requests,
    handle_shutdown,
)
from marjorambridge.requests.state import Request, RequestsState, is_fresh
from marjorambridge.routing.candidates import apply_configuration, apply_view

MESSAGE_HANDLERS = {
    PermitDenied: handle_denied,
    PermitGranted: handle_granted,
    PermitQueued: handle_queued,
    PermitRevoked: handle_permit_revoked,
}


def step(state: RequestsState, event: Event) -> list[Effect]:
    """Apply one event and return the effects.

    A request whose deadline has passed ends before the event is handled, so that an event that is
    handled late, or before the deadline's timer, starts no attempt and forwards no answer.
    """
    handler = HANDLERS.get(type(event))
    if handler is None:
        return []
    request = _find_request(state, event)
    effects: list[Effect] = []
    if request is not None and event.now >= request.deadline:
        effects = expire_request(state, request, event.now)
    return effects + handler(state, event)


def _find_request(state: RequestsState, event: Event) -> Request | None:
    """Return the request in progress that an event belongs to, or None."""
    if isinstance(event, MessageReceived):
        ident = state.permits.get(getattr(event.message, "permit", None))
    elif isinstance(event, AttemptStarted | AttemptHeaders | AttemptChunk | AttemptEnded):
        ident = state.permits.get(event.attempt)
    elif isinstance(event, ClaimDecided | ClaimSettled):
        ident = state.claims.get(event.claim)
    elif isinstance(event, CallerGone):
        ident = event.request
    elif isinstance(event, TimerFired):
        ident = event.key.ident
    else:
        ident = None
    return state.requests.get(ident) if ident else None


def _handle_configuration(state: RequestsState, event: ConfigurationApplied) -> list[Effect]:
    state.configured = True
    apply_configuration(state.routing, event.configuration)
    state.key_hashes = index_keys(event.configuration)
    forget_workspaces(state, set(event.configuration.workspaces))
    return reroute_requests(state, event.now) + resume_stale_requests(state, event.now)


def _handle_view(state: RequestsState, event: ViewApplied) -> list[Effect]:
    apply_view(state.routing, event.view)
    return register_moved_permits(state) + reroute_requests(state, event.now)


def _handle_freshness(state: RequestsState, event: FreshnessChanged) -> list[Effect]:
    state.fresh_until = event.fresh_until
    return resume_stale_requests(state, event.now) if is_fresh(state, event.now) else []


def _handle_loop_delay(state: RequestsState, event: LoopDelayMeasured) -> list[Effect]:
    if event.seconds > state.settings.max_loop_delay:
        state.overloaded_at = event.now
    return []


def _handle_message(state: RequestsState, event: MessageReceived) -> list[Effect]:
    handler = MESSAGE_HANDLERS.get(type(event.message))
    return handler(state, event.sender, event.message, event.now) if handler else []


def _handle_timer(state: RequestsState, event: TimerFired) -> list[Effect]:
    key = event.key
    if key.part != "requests":
        return []
    if key == RENEWAL_TIMER:
        return renew_permits(state, event.now)
    if key == REFUSE_TIMER:
        return check_drained(state, event.now)
    if key == DRAIN_TIMER:
        return end_all_requests(state, event.now)
    request = state.requests.get(key.ident)
    if request is None:
        return []
    if key.name == "deadline":
        return handle_deadline(state, request, event.now)
    return handle_wait_timer(state, request, event.now)


HANDLERS = {
    AttemptChunk: handle_chunk,
    AttemptEnded: handle_ended,
    AttemptHeaders: handle_headers,
    AttemptStarted: handle_started,
    CallerGone: handle_caller_gone,
    ClaimDecided: handle_decided,
    ClaimSettled: handle_settled,
    ConfigurationApplied: _handle_configuration,
    FreshnessChanged: _handle_freshness,
    LoopDelayMeasured: _handle_loop_delay,
    MessageReceived: _handle_message,
    RequestArrived: handle_arrived,
    ShutdownRequested: handle_shutdown,
    TimerFired: _handle_timer,
    ViewApplied: _handle_view,
}
