"""Check the Retry-After of refused callers."""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import add_prefill, add_request
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds

from .helpers import make_profile, make_state


def test_callers_retry_when_an_engine_is_expected_to_be_free():
    """Guard against a Retry-After that ends before an engine is free, or long after."""
    state = make_state(engines=3)
    for endpoint in state.endpoints.values():
        add_prefill(endpoint.load, 2.0, 0.0)
    times = [estimate_retry_after_seconds(state, make_profile(5000), 0.0) for _ in range(100)]
    assert min(times) >= 2.0 and max(times) <= 3.0
    assert max(times) - min(times) > 0.5, "all callers would retry at once"
    add_request(next(iter(state.endpoints.values())).load, 1, 0.25)
    assert estimate_retry_after_seconds(state, make_profile(5000), 1.9) < 0.4


def test_a_service_without_endpoints_has_a_bounded_retry_after():
    """Guard against a Retry-After of zero or without a bound."""
    state = make_state(engines=1)
    next(iter(state.endpoints.values())).leaving = True
    seconds = estimate_retry_after_seconds(state, make_profile(5000), 0.0)
    low = defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS
    assert low <= seconds <= low * (1 + defaults.RETRY_AFTER_JITTER_RATIO)


def test_a_long_prompt_is_retried_when_enough_engines_are_free():
    """Guard against an early retry of a very long prompt because one engine is idle."""
    state = make_state(engines=10)
    engines = list(state.endpoints.values())
    for endpoint in engines[:8]:
        add_prefill(endpoint.load, 4.0, 0.0)
    profile = make_profile(300_000, 3.0, 1.0)
    times = [estimate_retry_after_seconds(state, profile, 0.0) for _ in range(20)]
    assert min(times) >= 4.0 and max(times) <= defaults.MAX_RETRY_AFTER_SECONDS
