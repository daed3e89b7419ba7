"""Check that fleet-wide limits hold when each host uses its share."""

import pytest

from marjorambridge.forwarding.budgets import (
    compute_cold_request_limit,
    consume_retry,
    may_send_cold,
    record_request,
    record_send,
)
from marjorambridge.forwarding.placement import choose_endpoint

from .helpers import make_profile, make_state


@pytest.mark.parametrize("count", [1, 3, 8, 79])
def test_all_hosts_together_keep_the_retry_budget(count):
    """Guard against a retry storm when all requests fail at the same time."""
    hosts = tuple(f"h{n}" for n in range(count))
    taken = requests = 0
    for host in hosts:
        order = (host, *(other for other in hosts if other != host))
        state = make_state(hosts=order, retry_ratio=0.2, retry_allowance=104.0)
        for number in range(200):
            record_request(state, "model", number / 20)
            requests += 1
            taken += consume_retry(state, "model", number / 20)
    assert 0 < taken <= 0.2 * requests + 104


def test_the_retry_budget_recovers():
    """Guard against a retry budget that stays exhausted after one burst of failures."""
    state = make_state(retry_ratio=0.0, retry_allowance=4.0, retry_window_seconds=10.0)
    assert sum(consume_retry(state, "model", 1.0) for _ in range(20)) == 3
    assert not consume_retry(state, "model", 10.9)
    assert consume_retry(state, "model", 11.1)


@pytest.mark.parametrize("count", [1, 8, 79, 300])
def test_all_hosts_together_keep_the_limit_of_a_cold_endpoint(count):
    """Guard against overload of a cold endpoint to which each of many hosts sends requests."""
    hosts = tuple(f"h{n}" for n in range(count))
    sent = 0
    for host in hosts:
        order = (host, *(other for other in hosts if other != host))
        state = make_state(engines=1, hosts=order, rate=28.0, cold_overrun=1.5, cold_allowance=5)
        endpoint = state.endpoints["e0"]
        endpoint.cold_until = 10.0
        for _ in range(100):
            if may_send_cold(state, endpoint, 28.0, 1.0):
                record_send(endpoint, 1.0)
                sent += 1
    assert 0 < sent <= 28.0 * 1.5 + 5


def test_a_cold_endpoint_gets_requests_only_within_its_share():
    """Guard against requests above the limit of a cold endpoint that is the only one."""
    state = make_state(engines=1, hosts=tuple(f"h{n}" for n in range(8)), rate=8.0)
    state.endpoints["e0"].cold_until = 10.0
    count = 0
    while (endpoint := choose_endpoint(state, make_profile(100), frozenset(), 1.0)) is not None:
        record_send(endpoint, 1.0)
        count += 1
        assert count < 10
    assert count == 0 or count * 8 <= 8


def test_the_hosts_that_may_send_to_a_cold_endpoint_change_with_the_fleet():
    """Guard against cached shares after hosts joined or left."""
    state = make_state(engines=1, hosts=("h0",), rate=1.0)
    endpoint = state.endpoints["e0"]
    endpoint.cold_until = 10.0
    for names in (range(300), range(1), range(40)):
        state.hosts = {f"h{n}": "z0" for n in names}
        fresh = make_state(engines=1, hosts=tuple(state.hosts), rate=1.0)
        expected = compute_cold_request_limit(fresh, fresh.endpoints["e0"], 4.0)
        assert compute_cold_request_limit(state, endpoint, 4.0) == expected
