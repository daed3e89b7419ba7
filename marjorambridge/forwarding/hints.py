"""Hints about their own state that endpoints give in the heads of their answers.

The load pattern is a fleet at its limit: engines that are leaving, or that reject requests for some
time, signal it in their answers long before the replicas publish it. Further requests to them would
be rejected and would use up the time of the callers and the retry budget.

The hints belong to one incarnation of an endpoint and are saved while it is missing in the endpoint
table.
"""

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.request_limits import apply_request_limit, is_limited
from marjorambridge.forwarding.state import Endpoint, ForwardingState


class EndpointHints(Struct, frozen=True):
    """Hints in one answer of an endpoint.

    Attributes
    ----------
    leaving : bool
        Whether it is shutting down.
    rejected_seconds : float
        Time for which it rejects requests of this host; 0 if it does not.
    request_limit : float or None
        Requests per second that it takes from all hosts; infinite if it states that it has no
        limit, and None if the answer says nothing about it.
    """

    leaving: bool = False
    rejected_seconds: float = 0.0
    request_limit: float | None = None


def apply_hints(endpoint: Endpoint, hints: EndpointHints, now: float) -> bool:
    """Apply the hints of an endpoint and return whether they changed its state."""
    is_new = hints.leaving and not endpoint.leaving
    endpoint.leaving |= hints.leaving
    endpoint.signalled_leaving |= hints.leaving
    if hints.rejected_seconds > 0:
        seconds = min(hints.rejected_seconds, defaults.MAX_REJECTED_SECONDS)
        until = now + seconds
        is_new |= until > endpoint.rejects_until + defaults.REJECTED_CHANGE_SECONDS
        endpoint.rejects_until = max(endpoint.rejects_until, until)
        # This is reported to the other hosts, which then prefer other endpoints: an endpoint that
        # rejects requests of one host accepts few from another.
        endpoint.avoid_until = max(endpoint.avoid_until, until)
        endpoint.failed_at = now
    if hints.request_limit is not None:
        is_new |= apply_request_limit(endpoint, hints.request_limit, now)
    return is_new


def is_rejecting(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint rejects requests of this host at present."""
    return now < endpoint.rejects_until


def apply_reported_leaving(state: ForwardingState, endpoint: Endpoint) -> bool:
    """Mark an endpoint as leaving after another host reported it; return whether that is new.

    Reports of other hosts can't remove all endpoints of a service: above a share of its endpoints,
    only hints to this host and the updates of the replicas count.
    """
    if endpoint.leaving:
        return False
    others = state.by_service.get(endpoint.service, {})
    leaving = sum(other.leaving for other in others.values())
    if leaving + 1 > defaults.REPORTED_ENDPOINTS_RATIO * len(others):
        return False
    endpoint.leaving = endpoint.signalled_leaving = True
    return True


def save_hints(state: ForwardingState, endpoint: Endpoint, now: float) -> None:
    """Save the hints of an endpoint that is removed from the table."""
    has_hints = endpoint.leaving or is_rejecting(endpoint, now) or is_limited(endpoint)
    if not has_hints and not endpoint.declines:
        return
    state.saved_hints[endpoint.name, endpoint.born] = endpoint
    while len(state.saved_hints) > defaults.MAX_SAVED_HINTS:
        del state.saved_hints[next(iter(state.saved_hints))]


def restore_hints(state: ForwardingState, endpoint: Endpoint) -> None:
    """Apply the saved hints of the same incarnation to an endpoint."""
    before = state.saved_hints.pop((endpoint.name, endpoint.born), None)
    if before is None:
        return
    endpoint.leaving |= before.leaving
    endpoint.signalled_leaving |= before.signalled_leaving
    endpoint.rejects_until = max(endpoint.rejects_until, before.rejects_until)
    endpoint.avoid_until = max(endpoint.avoid_until, before.avoid_until)
    endpoint.declines, endpoint.declined_until = before.declines, before.declined_until
    if apply_request_limit(endpoint, before.request_limit, before.limit_seen_at):
        endpoint.limited_sends = before.limited_sends
