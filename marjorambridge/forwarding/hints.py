"""Obey what endpoints say of themselves in their answers.

The load pattern is a fleet at its limit: engines that are about to leave, or that want nothing for
a while, say so to the hosts that meet them, long before the replicas tell. What is sent to them all
the same is refused, and takes the time of the callers and the budget of attempts.

What an endpoint says belongs to one incarnation of it and is kept while the endpoint table loses
and regains it.
"""

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import Endpoint, ForwardingState


class EndpointHints(Struct, frozen=True):
    """Hold what an endpoint said in one answer.

    Attributes
    ----------
    leaving : bool
        Whether it leaves for good.
    declined_seconds : float
        Time for which it wants nothing from this host; 0 if it did not say so.
    """

    leaving: bool = False
    declined_seconds: float = 0.0


def apply_hints(endpoint: Endpoint, hints: EndpointHints, now: float) -> bool:
    """Take over what an endpoint said and return whether it was news."""
    is_new = hints.leaving and not endpoint.leaving
    endpoint.leaving |= hints.leaving
    endpoint.signalled_leaving |= hints.leaving
    if hints.declined_seconds > 0:
        seconds = min(hints.declined_seconds, defaults.MAX_DECLINED_SECONDS)
        until = now + seconds
        is_new |= until > endpoint.declines_until + defaults.DECLINED_CHANGE_SECONDS
        endpoint.declines_until = max(endpoint.declines_until, until)
        # The other hosts learn it as a reason to prefer other endpoints: an endpoint that wants
        # nothing from one host wants little from the next.
        endpoint.avoid_until = max(endpoint.avoid_until, until)
        endpoint.failed_at = now
    return is_new


def is_declining(endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint asked this host for nothing more until later."""
    return now < endpoint.declines_until


def apply_reported_leaving(state: ForwardingState, endpoint: Endpoint) -> bool:
    """Take over that an endpoint told another host that it leaves; return whether it was news.

    Hearsay does not empty a service: beyond a part of its endpoints, only what an endpoint tells
    this host itself or the replicas counts.
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
    """Remember what an endpoint said that is taken off the table."""
    if not endpoint.leaving and not is_declining(endpoint, now):
        return
    state.saved_hints[endpoint.name, endpoint.born] = endpoint
    while len(state.saved_hints) > defaults.MAX_SAVED_HINTS:
        del state.saved_hints[next(iter(state.saved_hints))]


def restore_hints(state: ForwardingState, endpoint: Endpoint) -> None:
    """Apply what the same incarnation said before the table lost it."""
    before = state.saved_hints.pop((endpoint.name, endpoint.born), None)
    if before is None:
        return
    endpoint.leaving |= before.leaving
    endpoint.signalled_leaving |= before.signalled_leaving
    endpoint.declines_until = max(endpoint.declines_until, before.declines_until)
    endpoint.avoid_until = max(endpoint.avoid_until, before.avoid_until)
