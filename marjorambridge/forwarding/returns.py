"""Estimate when a caller that is refused should come back.

The load pattern is a burst that all endpoints refuse at once: callers that all return after the
same time make the next burst, so that their returns are spread.
"""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import compute_remaining_reads, count_requests
from marjorambridge.forwarding.placement import Work, can_start, is_usable
from marjorambridge.forwarding.state import ForwardingState


def estimate_return_seconds(state: ForwardingState, work: Work, now: float) -> float:
    """Return the seconds after which an endpoint is expected to have room.

    The least busy endpoint decides. Where none may be used at all, nothing is known about when one
    will, and the time is that in which hosts learn of new endpoints.
    """
    definition = state.table.services.get(work.service) if state.table else None
    waits = []
    for endpoint in state.by_service.get(work.service, {}).values() if definition else ():
        if not is_usable(state, endpoint, frozenset()):
            continue
        wait = max(compute_remaining_reads(endpoint, now), endpoint.avoid_until - now)
        if count_requests(endpoint) >= endpoint.slots:
            wait += defaults.RETRY_WHEN_FULL_SECONDS
        if not can_start(state, definition, endpoint, now):
            wait += defaults.COLD_RETURN_SECONDS
        waits.append(wait)
    expected = min(waits, default=defaults.RETRY_WITHOUT_ENDPOINT_SECONDS)
    spread = 1.0 + state.generator.random() * defaults.RETURN_SPREAD_RATIO
    expected = max(expected, defaults.MIN_RETURN_SECONDS) * spread
    return min(expected, defaults.MAX_RETURN_SECONDS)
