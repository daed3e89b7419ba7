"""Check which endpoints the hosts of a fleet avoid after failures."""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.health import (
    count_reporters,
    drop_old_reports,
    list_reportable_endpoints,
    record_failure,
    record_rejection,
    record_success,
    store_failure_report,
)
from marjorambridge.forwarding.loads import add_request
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.forwarding.state import FailureReport

from .helpers import make_profile, make_state

NONE = frozenset()


def store_report(endpoint, host, failures, seconds, now):
    store_failure_report(endpoint, host, FailureReport(failures, now + seconds), now)


def choose(state, now):
    return choose_endpoint(state, make_profile(2_000), NONE, now)


def test_an_endpoint_that_other_hosts_report_is_avoided():
    """Guard against an engine that resets each connection, so that its load appears to be low."""
    state = make_state(engines=3)
    failing = choose(state, 1.0)
    store_report(failing, "h2", 1, 1.0, 1.0)
    assert choose(state, 1.1) is not failing
    # Reports expire, so that an endpoint that has recovered is used again.
    assert choose(state, 2.1) is failing


def test_one_report_ranks_before_a_full_endpoint_and_two_reports_after_it():
    """Guard against one host with a bad link that makes the whole fleet avoid an endpoint."""
    state = make_state(engines=2)
    reported, other = state.endpoints.values()
    for _ in range(other.slots):
        add_request(other.load, 0, 1.0)
    store_report(reported, "h2", 1, 5.0, 1.0)
    assert choose(state, 1.1) is reported
    store_report(reported, "h3", 1, 5.0, 1.0)
    assert choose(state, 1.1) is other


def test_failures_at_several_hosts_in_turn_extend_the_avoidance():
    """Guard against a dead endpoint that each of many hosts avoids only for the first time span."""
    states = [make_state(engines=1) for _ in range(4)]
    now, durations = 1.0, []
    for number, state in enumerate(states):
        (endpoint,) = state.endpoints.values()
        durations.append(record_failure(endpoint, now, now))
        for other in states:
            if other is not state:
                (known,) = other.endpoints.values()
                store_report(known, f"h{number}", endpoint.failures, durations[-1], now)
        now += durations[-1]
    assert durations == [min(2.0**n, defaults.MAX_AVOID_SECONDS) for n in range(4)]


def test_own_success_overrides_older_reports():
    """Guard against avoiding an endpoint that serves this host without failures."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    for host in ("h2", "h3"):
        store_report(endpoint, host, 3, 8.0, 1.0)
    record_success(endpoint, 1.2)
    assert count_reporters(endpoint, 1.3) == 0


def test_an_attempt_that_began_before_the_failure_does_not_clear_it():
    """Guard against clearing a failure by the last answer of an engine that rejects connections."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    record_failure(endpoint, 5.0, 5.0)
    record_success(endpoint, 4.0)
    assert endpoint.avoid_until > 5.0
    record_success(endpoint, 5.5)
    assert endpoint.avoid_until == 0.0


def test_a_host_without_a_network_reports_no_failures():
    """Guard against a host without a network that makes the others avoid all endpoints."""
    state = make_state(engines=4)
    endpoints = list(state.endpoints.values())
    for endpoint in endpoints[:2]:
        record_failure(endpoint, 1.0, 1.0)
    assert list_reportable_endpoints(state, 1.1) == endpoints[:2]
    record_failure(endpoints[2], 1.0, 1.0)
    assert list_reportable_endpoints(state, 1.1) == []


def test_old_reports_are_dropped():
    """Guard against reports of removed hosts that accumulate."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    store_report(endpoint, "h2", 1, 1.0, 1.0)
    drop_old_reports(endpoint, 2.0 + defaults.FAILURE_EXPIRY_SECONDS + 0.1)
    assert not endpoint.reports


def test_answers_that_fail_together_count_as_one_failure():
    """Guard against a long avoidance after one reset that ended several answers."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    for began_at in (1.0, 2.0, 3.0):
        record_failure(endpoint, began_at, 5.0)
    assert endpoint.failures == 1 and endpoint.avoid_until == 5.0 + defaults.FIRST_AVOID_SECONDS
    other = make_state(engines=1)
    (endpoint,) = other.endpoints.values()
    store_report(endpoint, "h2", 1, 1.0, 5.0)
    record_failure(endpoint, 4.0, 5.1)
    assert endpoint.failures == 1


def test_an_endpoint_that_rejects_all_requests_is_avoided():
    """Guard against a leaving engine that rejects immediately, so that its load appears low."""
    state = make_state(engines=3)
    rejecting = choose(state, 1.0)
    record_rejection(rejecting, 1.0)
    # The success of an attempt that began before the rejection does not clear it.
    record_success(rejecting, 0.5)
    assert choose(state, 1.1) is not rejecting
    assert choose(state, 1.0 + defaults.REJECTION_AVOID_SECONDS + 0.1) is rejecting
    # Consecutive rejections do not count as failures, which would extend the avoidance.
    for _ in range(5):
        record_rejection(rejecting, 2.0)
    assert rejecting.failures == 0
    assert rejecting.avoid_until == 2.0 + defaults.REJECTION_AVOID_SECONDS


def test_an_endpoint_may_fail_thousands_of_times():
    """Guard against an avoidance that overflows, which fails the request of the caller."""
    state = make_state(1)
    endpoint = next(iter(state.endpoints.values()))
    for number in range(2_000):
        now = 10.0 * number
        assert record_failure(endpoint, now, now) <= defaults.MAX_AVOID_SECONDS
