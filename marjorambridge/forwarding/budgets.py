"""Keep fleet-wide limits by shares of the hosts, without a message for each request.

A share is a fixed part of the limit, so that the sum holds whatever is lost, frozen or cut off. The
load pattern behind this is a burst of failures: all hosts want to repeat at the same moment.
"""

import xxhash

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import Endpoint, ForwardingState, RetryWindow

COLD_WINDOW_SECONDS = 1.0


def record_request(state: ForwardingState, service: str, now: float) -> None:
    """Count a request for a service."""
    window = state.retry_windows.setdefault(service, RetryWindow())
    _drop_old_times(state, window, now)
    window.requests.append(now)


def consume_retry(state: ForwardingState, service: str, now: float) -> bool:
    """Count an attempt beyond the first if the share of this host allows it."""
    settings = state.settings
    window = state.retry_windows.setdefault(service, RetryWindow())
    _drop_old_times(state, window, now)
    allowance = settings.retry_allowance / max(1, len(state.hosts))
    limit = settings.retry_ratio * len(window.requests) + allowance
    if len(window.retries) + 1 > limit * defaults.SHARED_LIMIT_RATIO:
        return False
    window.retries.append(now)
    return True


def _drop_old_times(state: ForwardingState, window: RetryWindow, now: float) -> None:
    limit = now - state.settings.retry_window_seconds
    for times in (window.requests, window.retries):
        while times and times[0] < limit:
            times.popleft()


def compute_cold_request_limit(state: ForwardingState, endpoint: Endpoint, rate: float) -> int:
    """Return how many requests this host may send to a cold endpoint in a second.

    If there are more hosts than requests, a hash of host and endpoint chooses the hosts that may
    send one each, so that different endpoints are warmed up by different hosts.
    """
    settings = state.settings
    limit = (rate * settings.cold_overrun + settings.cold_allowance) * defaults.SHARED_LIMIT_RATIO
    hosts = list(state.hosts) or [settings.host]
    if limit >= len(hosts):
        return int(limit // len(hosts))
    return int(_is_cold_sender(state, endpoint.name, int(limit)))


def _is_cold_sender(state: ForwardingState, endpoint: str, count: int) -> bool:
    """Return whether this host is among the first `count` in the order of an endpoint.

    Each request asks this of every cold endpoint, and ranking a large fleet takes longer than
    everything else in a decision; so the answer is kept until the hosts change.
    """
    if state.cold_senders_hosts is not state.hosts:
        state.cold_senders_hosts = state.hosts
        state.cold_senders.clear()
    if (endpoint, count) not in state.cold_senders:
        own = _hash_sender(state.settings.host, endpoint)
        earlier = sum(_hash_sender(host, endpoint) < own for host in state.hosts)
        state.cold_senders[endpoint, count] = earlier < count
    return state.cold_senders[endpoint, count]


def _hash_sender(host: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}/{endpoint}".encode())


def may_send_cold(state: ForwardingState, endpoint: Endpoint, rate: float, now: float) -> bool:
    """Return whether a cold endpoint may get one more request from this host."""
    while endpoint.recent_sends and endpoint.recent_sends[0] <= now - COLD_WINDOW_SECONDS:
        endpoint.recent_sends.popleft()
    return len(endpoint.recent_sends) < compute_cold_request_limit(state, endpoint, rate)


def record_send(endpoint: Endpoint, now: float) -> None:
    """Count a request that is being sent, in case the endpoint turns out to be cold."""
    endpoint.recent_sends.append(now)
    while endpoint.recent_sends and endpoint.recent_sends[0] <= now - COLD_WINDOW_SECONDS:
        endpoint.recent_sends.popleft()
