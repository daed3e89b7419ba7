"""Drain the requests of a host that shuts down."""

from marjorambridge.core.effects import Effect, SetTimer
from marjorambridge.core.events import ShutdownRequested
from marjorambridge.core.identity import TimerKey
from marjorambridge.core.outcomes import Reason
from marjorambridge.requests.endings import check_drained, end_request
from marjorambridge.requests.state import RequestsState, Shutdown

REFUSE_TIMER = TimerKey("requests", "refuse")
DRAIN_TIMER = TimerKey("requests", "drain")


def handle_shutdown(state: RequestsState, event: ShutdownRequested) -> list[Effect]:
    """Begin a graceful shutdown, or end all requests at once if it is forced.

    Requests are still admitted during the unready grace period, because the load balancer needs
    that long to detect that this host is not ready.
    """
    if event.forced:
        if state.shutdown is None:
            state.shutdown = Shutdown(event.now, event.now)
        return end_all_requests(state, event.now)
    if state.shutdown is not None:
        return []
    settings = state.settings
    shutdown = Shutdown(event.now + settings.unready_grace, event.now + settings.drain_deadline)
    state.shutdown = shutdown
    return [
        SetTimer(REFUSE_TIMER, shutdown.refuse_from),
        SetTimer(DRAIN_TIMER, shutdown.drain_ends_at),
    ]


def end_all_requests(state: RequestsState, now: float) -> list[Effect]:
    """End all requests at once and admit no more."""
    shutdown = state.shutdown
    assert shutdown is not None
    shutdown.refuse_from = min(shutdown.refuse_from, now)
    shutdown.drain_ends_at = min(shutdown.drain_ends_at, now)
    effects: list[Effect] = []
    message = "the host shut down before the answer was complete; send the request again"
    for request in list(state.requests.values()):
        effects += end_request(state, request, Reason.SHUTTING_DOWN, message, now)
    return effects + check_drained(state, now)
