"""Estimates of Retry-After for refused requests.

The load pattern is a burst that all endpoints reject: callers that all retry after the same time
would cause the next burst, so the estimates get random jitter.
"""

import math

from marjorambridge.conf import defaults
from marjorambridge.forwarding.health import get_avoid_until
from marjorambridge.forwarding.loads import (
    compute_outstanding_work,
    compute_pause_limit,
    compute_remaining_prefill_seconds,
    count_requests,
)
from marjorambridge.forwarding.placement import RequestProfile, can_start, is_usable
from marjorambridge.forwarding.request_limits import compute_limit_wait
from marjorambridge.forwarding.splitting import is_long_prompt
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition
from marjorambridge.scheduling.estimates import get_slowdown


def estimate_retry_after_seconds(
    state: ForwardingState, profile: RequestProfile, now: float
) -> float:
    """Return the seconds after which an endpoint is expected to accept a request.

    It is the wait at the least loaded endpoint; for a long prompt, the longest wait at as many of
    the least loaded ones as prefill it on time. If all endpoints that could be used reject requests
    at present, it is the time until the first of them accepts requests again. If no endpoint may
    be used, it is unknown when one can be, and the result is the time in which hosts receive new
    endpoints.
    """
    definition = find_definition(state, profile.service)
    is_long = definition is not None and is_long_prompt(state, profile)
    strict = state.thresholds[profile.service].strict_pause_limit_seconds if definition else 0.0
    waits, rejected = [], []
    endpoints = state.by_service.get(profile.service, {}).values() if definition else ()
    for endpoint in endpoints:
        if not is_usable(state, endpoint, frozenset(), now):
            if is_usable(state, endpoint, frozenset(), endpoint.rejects_until):
                rejected.append(endpoint.rejects_until - now)
            continue
        slowdown = get_slowdown(endpoint, now) if profile.is_planned else 1.0
        wait = max(
            slowdown * compute_remaining_prefill_seconds(endpoint, now),
            get_avoid_until(endpoint, now) - now,
        )
        if count_requests(endpoint) >= endpoint.slots:
            wait += estimate_slot_wait(endpoint, profile, slowdown, now)
        limit_wait = compute_limit_wait(state, endpoint, now)
        if limit_wait > 0:
            wait = max(wait, limit_wait)
        elif definition is not None and not can_start(state, definition, endpoint, now):
            wait += defaults.COLD_ENDPOINT_RETRY_AFTER_SECONDS
        if is_long and compute_pause_limit(endpoint) < strict:
            wait += defaults.SHORT_ANSWER_SECONDS
        waits.append(wait)
    expected = defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS
    if waits:
        seconds_limit = defaults.LATE_PREFILL_OBJECTIVE_RATIO * profile.objective_seconds
        needed = math.ceil(profile.prefill_seconds / seconds_limit) if is_long else 1
        expected = sorted(waits)[min(needed, len(waits)) - 1]
    elif rejected:
        return min(rejected) * draw_jitter(state)
    expected = max(expected, defaults.MIN_RETRY_AFTER_SECONDS) * draw_jitter(state)
    return min(expected, defaults.MAX_RETRY_AFTER_SECONDS)


def estimate_slot_wait(
    endpoint: Endpoint, profile: RequestProfile, slowdown: float, now: float
) -> float:
    """Return the seconds until a full endpoint has a free slot.

    For planned services it follows from the outstanding work: one of as many requests as there are
    slots ends within the mean remaining work divided by the slots.
    """
    requests, slots = count_requests(endpoint), max(1, endpoint.slots)
    outstanding = compute_outstanding_work(endpoint, 0.0, now) if profile.is_planned else 0.0
    if outstanding <= 0:
        return defaults.FULL_ENDPOINT_RETRY_AFTER_SECONDS
    return slowdown * outstanding / requests * (1 + requests - slots) / slots


def draw_jitter(state: ForwardingState) -> float:
    """Return a random factor for the Retry-After of callers that are refused together."""
    return 1.0 + state.generator.random() * defaults.RETRY_AFTER_JITTER_RATIO
