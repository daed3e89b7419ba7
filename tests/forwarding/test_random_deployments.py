"""Check decisions on random deployments, because users run others than the tested ones."""

import random

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.fleet import apply_entry
from marjorambridge.forwarding.health import (
    mark_replaced,
    record_failure,
    record_rejection,
    store_failure_report,
)
from marjorambridge.forwarding.loads import add_prefill, add_request
from marjorambridge.forwarding.placement import (
    AvoidReason,
    can_start,
    choose_endpoint,
    compute_avoid_reason,
    count_requests,
    is_usable,
)
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds
from marjorambridge.forwarding.splitting import choose_prefill_engines
from marjorambridge.forwarding.state import FailureReport, Load

from .helpers import make_entry, make_profile, make_state

NOW = 50.0


def make_random_state(seed):
    """Return a host's state on a random deployment with random disturbances."""
    draw = random.Random(seed)
    zones = [f"z{n}" for n in range(draw.randint(1, 5))]
    hosts = [f"h{n}" for n in range(draw.choice((1, 2, 8, 16, 17, 40, 120)))]
    state = make_state(
        engines=0, hosts=hosts, rate=draw.choice((0.0, 3.0, 50.0)), cold_allowance=5.0
    )
    state.hosts = {host: draw.choice(zones) for host in hosts}
    state.generator.seed(seed)
    state.loads_received_at = NOW - draw.choice((0.0, 1.0, 5.0))
    for number in range(draw.choice((1, 3, 20, 78, 200))):
        entry = make_entry(f"e{number}", "model", draw.choice(zones), number)
        apply_entry(state, entry, 0.0)
        randomize_endpoint(state, state.endpoints[entry.endpoint], draw)
    if draw.random() < 0.2:
        state.drained = frozenset({draw.choice(zones)})
    return state, draw


def randomize_endpoint(state, endpoint, draw):
    """Put an endpoint into a random condition."""
    endpoint.slots = draw.choice((1, 6, 12))
    endpoint.silent = draw.random() < 0.1
    endpoint.leaving = draw.random() < 0.1
    endpoint.cold_until = NOW + 3.0 if draw.random() < 0.2 else 0.0
    for _ in range(draw.randint(0, endpoint.slots + 2)):
        add_request(endpoint.load, draw.randint(1, 60_000), draw.choice((0.25, 1.0)))
    if draw.random() < 0.3:
        add_prefill(endpoint.load, draw.uniform(0.0, 4.0), NOW - draw.random())
    if draw.random() < 0.5:
        endpoint.other_loads["total"] = Load(draw.randint(0, 9), 1, 0.3, 9_000, [0.25], NOW)
    if draw.random() < 0.2:
        record_failure(endpoint, NOW - 0.5, NOW - 0.4)
    if draw.random() < 0.2:
        record_rejection(endpoint, NOW - draw.random())
    if draw.random() < 0.05:
        mark_replaced(endpoint, NOW)
    for host in range(draw.choice((0, 0, 1, 4))):
        store_failure_report(endpoint, f"h{host}", FailureReport(1, NOW + draw.random()), NOW)


@pytest.mark.parametrize("seed", range(60))
def test_decisions_hold_on_any_deployment(seed):
    """Guard against a refusal with usable endpoints, and against the use of excluded endpoints."""
    state, draw = make_random_state(seed)
    definition = state.table.services["model"]
    endpoints = list(state.endpoints.values())
    excluded = frozenset(e.name for e in endpoints if draw.random() < 0.05)
    allowed = {
        endpoint.name
        for endpoint in endpoints
        if is_usable(state, endpoint, excluded, NOW) and can_start(state, definition, endpoint, NOW)
    }
    for _ in range(10):
        chosen = choose_endpoint(state, make_profile(draw.randint(1, 9_000)), excluded, NOW)
        assert (chosen is not None) == bool(allowed)
        assert chosen is None or chosen.name in allowed
    profile = make_profile(draw.randint(60_000, 700_000), draw.uniform(1.0, 6.0), 1.0)
    prefill_engines = choose_prefill_engines(state, profile, excluded, NOW)
    assert (
        len({prefill_engine.name for prefill_engine in prefill_engines})
        == len(prefill_engines)
        <= defaults.MAX_HELPERS + 1
    )
    for prefill_engine in prefill_engines:
        avoid_reason = compute_avoid_reason(
            definition, prefill_engine, profile, count_requests(prefill_engine), NOW
        )
        assert is_usable(state, prefill_engine, excluded, NOW) and avoid_reason in (
            AvoidReason.NONE,
            AvoidReason.FULL,
        )
    seconds = estimate_retry_after_seconds(state, profile, NOW)
    assert defaults.MIN_RETRY_AFTER_SECONDS <= seconds <= defaults.MAX_RETRY_AFTER_SECONDS
