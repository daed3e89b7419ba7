"""Fleet-wide limits that are divided among the hosts, without a message for each request.

Each host has a fixed share of the limit, so that the sum holds regardless of lost messages, stopped
processes and partitions. The load pattern is a burst of failures, after which all hosts retry at
the same moment.
"""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.request_limits import record_limited_send
from marjorambridge.forwarding.shares import is_selected_sender
from marjorambridge.forwarding.state import Endpoint, ForwardingState, RetryWindow

COLD_WINDOW_SECONDS = 1.0


def record_request(state: ForwardingState, service: str, now: float) -> None:
    """Count a request for a service."""
    window = state.retry_windows.setdefault(service, RetryWindow())
    _drop_old_times(state, window, now)
    window.requests.append(now)


def has_retry(state: ForwardingState, service: str, now: float) -> bool:
    """Return whether the share of this host allows another retry."""
    settings = state.settings
    window = state.retry_windows.setdefault(service, RetryWindow())
    _drop_old_times(state, window, now)
    allowance = settings.retry_allowance / max(1, len(state.hosts))
    limit = settings.retry_ratio * len(window.requests) + allowance
    return len(window.retries) + 1 <= limit * defaults.SHARED_LIMIT_RATIO


def consume_retry(state: ForwardingState, service: str, now: float) -> bool:
    """Count a retry and return True if the share of this host allows it."""
    if not has_retry(state, service, now):
        return False
    state.retry_windows[service].retries.append(now)
    return True


def _drop_old_times(state: ForwardingState, window: RetryWindow, now: float) -> None:
    limit = now - state.settings.retry_window_seconds
    for times in (window.requests, window.retries):
        while times and times[0] < limit:
            times.popleft()


def compute_cold_request_limit(state: ForwardingState, endpoint: Endpoint, rate: float) -> int:
    """Return how many requests per second this host may send to a cold endpoint.

    If there are more hosts than requests, a hash of host and endpoint selects the hosts that may
    send one each, so that different hosts warm up different endpoints.
    """
    settings = state.settings
    limit = (rate * settings.cold_overrun + settings.cold_allowance) * defaults.SHARED_LIMIT_RATIO
    hosts = list(state.hosts) or [settings.host]
    if limit >= len(hosts):
        return int(limit // len(hosts))
    return int(is_selected_sender(state, endpoint.name, int(limit)))


def may_send_cold(state: ForwardingState, endpoint: Endpoint, rate: float, now: float) -> bool:
    """Return whether this host may send one more request to a cold endpoint."""
    while endpoint.recent_sends and endpoint.recent_sends[0] <= now - COLD_WINDOW_SECONDS:
        endpoint.recent_sends.popleft()
    return len(endpoint.recent_sends) < compute_cold_request_limit(state, endpoint, rate)


def record_send(endpoint: Endpoint, now: float) -> None:
    """Record the time of a request to an endpoint, for the limits of cold and limited ones."""
    record_limited_send(endpoint, now)
    endpoint.recent_sends.append(now)
    while endpoint.recent_sends and endpoint.recent_sends[0] <= now - COLD_WINDOW_SECONDS:
        endpoint.recent_sends.popleft()
