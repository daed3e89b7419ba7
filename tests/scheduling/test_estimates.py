"""Check that estimates follow what hosts observe, and that nothing odd moves those of others."""

import math

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.messages import EndpointFailure
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.scheduling.estimates import (
    CostModel,
    Estimate,
    RouteKey,
    apply_reported_slowdown,
    estimate_answer_tokens,
    estimate_work_seconds,
    get_slowdown,
    get_zone_delay,
    observe,
    record_answer,
    record_slowdown,
    record_work,
    record_zone_delay,
)

ROUTE = RouteKey("app", "lookup")


def make_endpoint():
    return Endpoint("e0", "model", "z0", "10.0.0.1:80", 6, 1)


def record_passes(endpoint, ratios, start=0.0):
    """Record a pass every 50 ms and return the time of the last one."""
    now = start
    for ratio in ratios:
        now += 0.05
        record_slowdown(endpoint.costs, ratio, now)
    return now


def test_an_engine_four_times_slower_than_its_profile_is_noticed_and_recovers():
    """Replay an engine whose passes take four times as long, and then as long as expected."""
    endpoint = make_endpoint()
    now = record_passes(endpoint, [4.0] * 20)
    assert get_slowdown(endpoint, now) > 3.0
    now = record_passes(endpoint, [1.0] * 30, now)
    assert get_slowdown(endpoint, now) == 1.0


def test_a_slow_engine_without_requests_is_used_again():
    """Guard against an engine that is avoided forever, because nothing is sent to it any more."""
    endpoint = make_endpoint()
    now = record_passes(endpoint, [8.0] * 200)
    assert get_slowdown(endpoint, now) > 4.0
    assert get_slowdown(endpoint, now + 4 * defaults.ESTIMATE_HALF_LIFE_SECONDS) == 1.0


def test_passes_beside_unknown_prefills_are_no_slowdown():
    """Guard against noise: each fourth pass is lengthened by a prefill of another host."""
    endpoint = make_endpoint()
    now = record_passes(endpoint, [1.0, 1.1, 0.95, 3.0] * 50)
    assert get_slowdown(endpoint, now) == 1.0


def test_a_few_slow_passes_are_no_slowdown():
    """Guard against decisions from fewer observations than are needed, and from a fresh host."""
    endpoint = make_endpoint()
    assert get_slowdown(endpoint, 0.0) == 1.0
    now = record_passes(endpoint, [8.0] * 4)
    assert get_slowdown(endpoint, now) == 1.0


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, 0.0, -1.0])
def test_values_that_are_no_measurement_are_refused(value):
    """Guard against clocks and messages with values that would stay in a mean forever."""
    estimate, endpoint, costs = Estimate(), make_endpoint(), CostModel()
    assert not observe(estimate, value, 1.0) and estimate == Estimate()
    apply_reported_slowdown(endpoint.costs, "h2", value, 1, 1.0)
    record_work(costs, ROUTE, "a0", value, 1.0)
    record_answer(costs, ROUTE, "w", value, 100, 1.0)
    record_passes(endpoint, [value if not math.isfinite(value) else 1.0] * 9)
    assert not endpoint.costs.reports and get_slowdown(endpoint, 1.0) == 1.0
    assert costs == CostModel()


def test_estimates_are_bounded():
    """Guard against an endpoint or a hint far outside what is plausible."""
    endpoint, costs = make_endpoint(), CostModel()
    assert get_slowdown(endpoint, record_passes(endpoint, [1e9] * 500)) <= defaults.MAX_SLOWDOWN
    for number in range(2_000):
        record_answer(costs, ROUTE, f"w{number}", 1e9, 1, 1.0)
        record_work(costs, RouteKey("app", f"r{number}"), "a0", 1e9, 1.0)
    assert len(costs.answer_ratios[ROUTE]) == defaults.MAX_ESTIMATE_VOTES
    assert len(costs.works) == defaults.MAX_LEARNED_ROUTES
    for _ in range(9):
        record_answer(costs, ROUTE, "odd", 1e9, 1, 1.0)
    assert estimate_answer_tokens(costs, ROUTE, "odd", 100, 1.0) <= 400
    assert estimate_work_seconds(costs, ROUTE, 1.0) <= defaults.MAX_PLAIN_WORK_SECONDS


def test_one_host_does_not_change_the_slowdown_at_others():
    """Guard against a host with slow links, whose reports would empty engines for all hosts."""
    endpoint = make_endpoint()
    apply_reported_slowdown(endpoint.costs, "h2", 800, 1, 1.0)
    assert get_slowdown(endpoint, 1.0) == 1.0
    apply_reported_slowdown(endpoint.costs, "h3", 400, 1, 1.0)
    assert get_slowdown(endpoint, 1.0) == 4.0
    # The reports of hosts that died expire.
    assert get_slowdown(endpoint, 1.1 + defaults.SLOWDOWN_REPORT_SECONDS) == 1.0
    # Own observations of a fast engine outweigh both.
    now = record_passes(endpoint, [1.0] * 20, 1.0)
    assert get_slowdown(endpoint, now) == 1.0


def test_a_host_of_the_previous_build_reports_nothing():
    """Guard against the default of the message field counting as a measurement."""
    endpoint = make_endpoint()
    reported = EndpointFailure(1, 0, 0, 1)
    apply_reported_slowdown(endpoint.costs, "h2", reported.slowdown_percent, 1, 1.0)
    assert not endpoint.costs.reports


def record_works(costs, seconds_by_endpoint, start, count=20):
    now = start
    for _ in range(count):
        now += 0.3
        for endpoint, seconds in seconds_by_endpoint.items():
            record_work(costs, ROUTE, endpoint, seconds, now)
    return now


def test_the_work_of_a_plain_service_doubles():
    """Replay a route whose requests take 0.2 s and then 0.4 s at all endpoints."""
    costs = CostModel()
    assert estimate_work_seconds(costs, ROUTE, 0.0) == pytest.approx(defaults.PLAIN_WORK_SECONDS)
    now = record_works(costs, {"a0": 0.2, "a1": 0.2, "a2": 0.2}, 0.0)
    assert estimate_work_seconds(costs, ROUTE, now) == pytest.approx(0.2)
    # A route without observations starts from the median of its service.
    assert estimate_work_seconds(costs, RouteKey("app", "new"), now) == pytest.approx(0.2)
    now = record_works(costs, {"a0": 0.4, "a1": 0.4, "a2": 0.4}, now, count=60)
    assert estimate_work_seconds(costs, ROUTE, now) == pytest.approx(0.4, rel=0.1)


@pytest.mark.parametrize("odd", [0.001, 50.0])
def test_one_endpoint_that_lies_does_not_change_the_work_of_a_route(odd):
    """Guard against an endpoint that answers at once, or only after a minute."""
    costs = CostModel()
    now = record_works(costs, {"a0": 0.2, "a1": 0.2, "a2": odd}, 0.0)
    assert estimate_work_seconds(costs, ROUTE, now) == pytest.approx(0.2, rel=0.1)


def test_odd_hints_of_one_workspace_do_not_change_the_answers_of_others():
    """Guard against a workspace that sends a million hints that are far off."""
    costs = CostModel()
    for number in range(300):
        now = number * 0.1
        record_answer(costs, ROUTE, "odd", 5_000, 1, now)
        for workspace in ("w0", "w1", "w2"):
            record_answer(costs, ROUTE, workspace, 150, 100, now)
    assert estimate_answer_tokens(costs, ROUTE, "w0", 100, now) == pytest.approx(147, abs=5)
    assert estimate_answer_tokens(costs, ROUTE, "new", 100, now) == 150
    assert estimate_answer_tokens(costs, ROUTE, "odd", 100, now) > 350
    assert estimate_answer_tokens(costs, ROUTE, "w0", 0, now) == 0


def test_the_round_trip_time_of_a_zone_is_learned():
    """Replay a zone 30 ms away, with one endpoint that accepts connections slowly."""
    costs = CostModel()
    assert get_zone_delay(costs, "z1", 0.0) == defaults.OTHER_ZONE_COST_SECONDS
    for _ in range(5):
        for endpoint, seconds in (("e0", 0.03), ("e1", 0.03), ("e2", 0.03), ("e3", 0.4)):
            record_zone_delay(costs, "z1", endpoint, seconds, 1.0)
    assert get_zone_delay(costs, "z1", 1.0) == pytest.approx(0.03)
