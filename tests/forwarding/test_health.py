"""Replay failures of endpoints as the hosts of a fleet see them."""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.health import (
    count_reporters,
    drop_old_reports,
    list_reportable_endpoints,
    record_failure,
    record_refusal,
    record_success,
    store_failure_report,
)
from marjorambridge.forwarding.loads import add_request
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.forwarding.state import FailureReport

from .world import make_profile, make_state

NONE = frozenset()


def store_report(endpoint, host, failures, seconds, now):
    store_failure_report(endpoint, host, FailureReport(failures, now + seconds), now)


def choose(state, now):
    return choose_endpoint(state, make_profile(2_000), NONE, now)


def test_an_endpoint_that_others_report_is_not_tried():
    """Guard against an engine that resets each connection and so looks empty to every host."""
    state = make_state(engines=3)
    failing = choose(state, 1.0)
    store_report(failing, "h2", 1, 1.0, 1.0)
    assert choose(state, 1.1) is not failing
    # The reports run out, so that an endpoint that has recovered is found.
    assert choose(state, 2.1) is failing


def test_one_report_costs_less_than_a_full_endpoint_and_two_more():
    """Guard against one host's bad link that takes an endpoint from the whole fleet."""
    state = make_state(engines=2)
    reported, other = state.endpoints.values()
    for _ in range(other.slots):
        add_request(other.load, 0, 1.0)
    store_report(reported, "h2", 1, 5.0, 1.0)
    assert choose(state, 1.1) is reported
    store_report(reported, "h3", 1, 5.0, 1.0)
    assert choose(state, 1.1) is other


def test_hosts_that_try_in_turn_wait_longer_after_each_failure():
    """Guard against a dead endpoint that each of many hosts tries as if it were the first one."""
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


def test_own_success_counts_more_than_older_reports():
    """Guard against an endpoint that is lost to hosts which it serves well."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    for host in ("h2", "h3"):
        store_report(endpoint, host, 3, 8.0, 1.0)
    record_success(endpoint, 1.2)
    assert count_reporters(endpoint, 1.3) == 0


def test_an_answer_that_began_before_the_failure_restores_no_trust():
    """Guard against the last answer of an engine that has just begun to refuse connections."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    record_failure(endpoint, 5.0, 5.0)
    record_success(endpoint, 4.0)
    assert endpoint.avoid_until > 5.0
    record_success(endpoint, 5.5)
    assert endpoint.avoid_until == 0.0


def test_a_host_that_is_cut_off_reports_nothing():
    """Guard against a host without a network that makes the others avoid every endpoint."""
    state = make_state(engines=4)
    endpoints = list(state.endpoints.values())
    for endpoint in endpoints[:2]:
        record_failure(endpoint, 1.0, 1.0)
    assert list_reportable_endpoints(state, 1.1) == endpoints[:2]
    record_failure(endpoints[2], 1.0, 1.0)
    assert list_reportable_endpoints(state, 1.1) == []


def test_old_reports_are_dropped():
    """Guard against reports of hosts that are gone, which would pile up."""
    state = make_state(engines=1)
    (endpoint,) = state.endpoints.values()
    store_report(endpoint, "h2", 1, 1.0, 1.0)
    drop_old_reports(endpoint, 2.0 + defaults.FAILURE_EXPIRY_SECONDS + 0.1)
    assert not endpoint.reports


def test_answers_that_break_together_count_as_one_failure():
    """Guard against a long pause after one reset that ended several answers at once."""
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


def test_an_endpoint_that_refuses_all_requests_attracts_no_more_of_them():
    """Guard against a leaving engine that refuses at once and so looks empty (trouble-1)."""
    state = make_state(engines=3)
    refusing = choose(state, 1.0)
    record_refusal(refusing, 1.0)
    # An answer that was under way does not make it look well.
    record_success(refusing, 0.5)
    assert choose(state, 1.1) is not refusing
    assert choose(state, 1.0 + defaults.REFUSAL_AVOID_SECONDS + 0.1) is refusing
    # Refusals in a row are no failures, which would lengthen the pause.
    for _ in range(5):
        record_refusal(refusing, 2.0)
    assert refusing.failures == 0
    assert refusing.avoid_until == 2.0 + defaults.REFUSAL_AVOID_SECONDS
