"""Check that all hosts together keep to the limit that an endpoint states."""

import math

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.budgets import record_send
from marjorambridge.forwarding.fleet import apply_entry, remove_endpoint
from marjorambridge.forwarding.hints import EndpointHints, apply_hints
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.forwarding.request_limits import is_limited, may_send_limited
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds
from marjorambridge.forwarding.splitting import choose_prefill_engines

from .helpers import make_entry, make_profile, make_state

STEP_SECONDS = 0.02


def make_hosts(count, engines=1):
    names = tuple(f"h{n}" for n in range(count))
    return [make_state(engines, (names[n], *names[:n], *names[n + 1 :])) for n in range(count)]


def find_peak(times, seconds):
    """Return the largest number of requests within any time of the given length."""
    return max(sum(begin <= at < begin + seconds for at in times) for begin in times)


@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 2.5, 7.0, 40.0])
@pytest.mark.parametrize("count", [1, 8, 78])
def test_the_sum_over_all_hosts_keeps_to_the_limit(count, rate):
    """Guard against hosts that each use a whole limit, or together far less than it."""
    states = make_hosts(count)
    for state in states:
        apply_hints(state.endpoints["e0"], EndpointHints(request_limit=rate), 0.0)
    sends, seconds = [], 24.0
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for state in states:
            endpoint = choose_endpoint(state, make_profile(5000), frozenset(), now)
            if endpoint is not None:
                record_send(endpoint, now)
                sends.append(now)
    assert find_peak(sends, 4.0) <= 1.5 * 4.0 * rate + 5
    expected = max(rate, defaults.MIN_REQUEST_LIMIT_PER_SECOND) * seconds
    assert len(sends) >= 0.75 * expected


def test_an_answer_without_a_limit_ends_it():
    """Guard against an endpoint that gets few requests long after it recovered."""
    (state,) = make_hosts(1)
    endpoint = state.endpoints["e0"]
    assert apply_hints(endpoint, EndpointHints(request_limit=1.0), 1.0)
    for _ in range(4):
        record_send(endpoint, 1.0)
    assert not may_send_limited(state, endpoint, 1.5)
    # An answer that says nothing about a limit changes nothing.
    assert not apply_hints(endpoint, EndpointHints(), 1.6)
    assert not may_send_limited(state, endpoint, 1.6)
    assert apply_hints(endpoint, EndpointHints(request_limit=math.inf), 1.7)
    assert may_send_limited(state, endpoint, 1.7) and not is_limited(endpoint)


def test_a_limit_survives_the_removal_of_its_endpoint_from_the_table():
    """Guard against a burst at an endpoint that was missing in the table for a moment."""
    (state,) = make_hosts(1)
    endpoint = state.endpoints["e0"]
    apply_hints(endpoint, EndpointHints(request_limit=1.0), 1.0)
    for _ in range(4):
        record_send(endpoint, 1.0)
    remove_endpoint(state, "e0", 1.1)
    apply_entry(state, make_entry("e0", "model", "z0", 0), 1.2)
    assert not may_send_limited(state, state.endpoints["e0"], 1.3)
    remove_endpoint(state, "e0", 1.4)
    apply_entry(state, make_entry("e0", "model", "z0", 0, born=2), 1.5)
    assert may_send_limited(state, state.endpoints["e0"], 1.6)


def test_engines_with_a_limit_do_not_help_with_long_prompts():
    """Guard against prefill shards at an engine in need."""
    (state,) = make_hosts(1, engines=10)
    for name in ("e1", "e2", "e3"):
        apply_hints(state.endpoints[name], EndpointHints(request_limit=1.0), 0.0)
    chosen = choose_prefill_engines(state, make_profile(154_000, 3.0, 1.0), frozenset(), 1.0)
    assert chosen and not any(is_limited(engine) for engine in chosen)


def test_callers_return_when_the_limit_allows_it():
    """Guard against a Retry-After that is too short for the limits of all endpoints."""
    (state,) = make_hosts(1, engines=2)
    for endpoint in state.endpoints.values():
        apply_hints(endpoint, EndpointHints(request_limit=1.0), 0.0)
        for _ in range(4):
            record_send(endpoint, 1.0)
    assert choose_endpoint(state, make_profile(5000), frozenset(), 2.0) is None
    seconds = [estimate_retry_after_seconds(state, make_profile(5000), 2.0) for _ in range(20)]
    assert min(seconds) >= 3.0 and max(seconds) <= defaults.MAX_RETRY_AFTER_SECONDS
