"""Limits that endpoints state in their answers: requests a second from all hosts together.

The load pattern is an endpoint in need in a busy fleet: it slows down or crashes if the hosts go on
as before. Each host has a fixed share of the limit, so that the sum holds without a message for
each request. Hosts tell one another the newest limit that they saw, because a host whose share is 0
gets no answer in which the endpoint says that it needs the limit no longer.
"""

import math

from marjorambridge.conf import defaults
from marjorambridge.forwarding.shares import is_selected_sender
from marjorambridge.forwarding.state import Endpoint, ForwardingState

# Shortest time in which requests are counted.
WINDOW_SECONDS = 4.0
# The product of a rate and its reciprocal may be slightly less than 1.
ROUNDING = 1e-6


def apply_request_limit(endpoint: Endpoint, rate: float, seen_at: float) -> bool:
    """Apply a limit in requests per second, infinite for none; return whether it changed.

    Parameters
    ----------
    seen_at : float
        Monotonic time in seconds of the answer; an older one than the last is ignored.
    """
    if seen_at < endpoint.limit_seen_at or (math.isinf(rate) and not is_limited(endpoint)):
        return False
    changed = rate != endpoint.request_limit
    endpoint.request_limit, endpoint.limit_seen_at = rate, seen_at
    if math.isinf(rate):
        endpoint.limited_sends.clear()
    return changed


def is_limited(endpoint: Endpoint) -> bool:
    """Return whether an endpoint states a limit at present."""
    return endpoint.request_limit < math.inf


def may_send_limited(state: ForwardingState, endpoint: Endpoint, now: float) -> bool:
    """Return whether the share of this host allows one more request to an endpoint."""
    return not is_limited(endpoint) or compute_limit_wait(state, endpoint, now) <= 0


def compute_limit_wait(state: ForwardingState, endpoint: Endpoint, now: float) -> float:
    """Return the seconds until the limit of an endpoint allows one more request of this host."""
    if not is_limited(endpoint):
        return 0.0
    window, share = _compute_share(state, endpoint)
    while endpoint.limited_sends and endpoint.limited_sends[0] <= now - window:
        endpoint.limited_sends.popleft()
    if len(endpoint.limited_sends) < share:
        return 0.0
    if share == 0:
        # Another host can send to it within this time.
        return window
    return endpoint.limited_sends[-share] + window - now


def _compute_share(state: ForwardingState, endpoint: Endpoint) -> tuple[float, int]:
    """Return a window in seconds, and how many requests this host may send in any such window.

    If the requests can't be divided evenly among the hosts, a hash selects those that may send one
    more.
    """
    rate = max(endpoint.request_limit, defaults.MIN_REQUEST_LIMIT_PER_SECOND)
    window = max(WINDOW_SECONDS, 1.0 / rate)
    share, remainder = divmod(int(rate * window + ROUNDING), max(1, len(state.hosts)))
    return window, share + int(is_selected_sender(state, endpoint.name, remainder))


def record_limited_send(endpoint: Endpoint, now: float) -> None:
    """Record the time of a request to an endpoint that states a limit."""
    if is_limited(endpoint):
        endpoint.limited_sends.append(now)


def has_recent_limit(endpoint: Endpoint, now: float) -> bool:
    """Return whether other hosts need the limit of an endpoint, or that it has ended."""
    is_recent = now - endpoint.limit_seen_at < defaults.ENDED_LIMIT_REPORT_SECONDS
    return is_limited(endpoint) or is_recent
