"""Guard admission against refusals that come late, name no remedy or let work through."""

import pytest

from marjorambridge.core.events import ConfigurationApplied, FreshnessChanged
from marjorambridge.core.outcomes import NotRun, Reason
from marjorambridge.limits.messages import PermitRequest
from marjorambridge.requests.authentication import find_workspace
from marjorambridge.requests.events import AttemptEnd, CallerGone
from marjorambridge.requests.exceptions import RequestSettingsError
from marjorambridge.requests.retries import count_admission, take_retry
from marjorambridge.requests.state import RequestSettings, RetryBudget, create_state

from .harness import (
    advance,
    arrive,
    build_configuration,
    build_harness,
    end,
    feed,
    find,
    last,
    outcome,
    start,
)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"key_hash": ""}, Reason.UNAUTHENTICATED),
        ({"key_hash": "0" * 64}, Reason.UNAUTHENTICATED),
        ({"service": "other"}, Reason.UNKNOWN_SERVICE),
        ({"prompt_bytes": 17 * 2**20}, Reason.TOO_LARGE),
        ({"timeout": -1.0}, Reason.BAD_REQUEST),
        ({"timeout": float("nan")}, Reason.BAD_REQUEST),
    ],
)
def test_a_refusal_comes_at_once_and_asks_no_owner(fields, reason):
    h = build_harness()
    arrive(h, **fields)
    assert isinstance(outcome(h), NotRun) and outcome(h).reason is reason and outcome(h).message
    assert not find(h.effects, PermitRequest) and not h.state.requests


def test_a_host_that_is_not_fresh_admits_nothing_and_says_when_to_come_back():
    h = build_harness(fresh=1.0)
    h.now += 1.0
    arrive(h)
    assert outcome(h).reason is Reason.NOT_FRESH and outcome(h).retry_after > 0


def test_admitted_requests_wait_for_freshness_and_then_go_on():
    h = build_harness(fresh=0.4)
    arrive(h)
    advance(h, 3.0)
    asked = len(find(h.effects, PermitRequest))
    assert asked == 2 and "r1" in h.state.requests
    feed(h, FreshnessChanged(h.now, h.now + 1.0))
    assert len(find(h.effects, PermitRequest)) == 3


def test_rate_and_concurrency_limits_hold_and_recover():
    h = build_harness()
    feed(h, ConfigurationApplied(h.now, 2, build_configuration(requests_per_second=2.0)))
    for ident in "abc":
        arrive(h, ident)
    assert outcome(h, "c").reason is Reason.RATE_LIMITED
    assert outcome(h, "c").retry_after == pytest.approx(0.5)
    advance(h, 0.5)
    arrive(h, "d")
    limits = build_configuration(concurrent_requests=3)
    feed(h, ConfigurationApplied(h.now, 3, limits))
    arrive(h, "e")
    assert outcome(h, "e").reason is Reason.RATE_LIMITED
    feed(h, CallerGone(h.now, "a"))
    arrive(h, "f")
    assert "f" in h.state.requests


def test_a_reused_identifier_does_not_replace_a_request_in_progress():
    h = build_harness()
    arrive(h)
    deadline = h.state.requests["r1"].deadline
    arrive(h, timeout=1.0)
    assert h.state.requests["r1"].deadline == deadline


def test_every_digest_is_compared(monkeypatch):
    compared = []
    monkeypatch.setattr("hmac.compare_digest", lambda a, b: compared.append(a) or a == b)
    assert find_workspace([(b"aa", "x"), (b"bb", "y"), (b"cc", "z")], "AA") == "x"
    assert len(compared) == 3


def test_the_retry_budget_is_ten_or_a_tenth_of_the_admitted():
    settings = RequestSettings()
    budget = RetryBudget()
    assert [take_retry(budget, settings, 1.0) for _ in range(11)].count(True) == 10
    for _ in range(200):
        count_admission(budget, settings, 11.0)
    assert [take_retry(budget, settings, 12.0) for _ in range(11)].count(True) == 10
    assert take_retry(budget, settings, 45.0)


def test_settings_that_contradict_each_other_are_refused():
    with pytest.raises(RequestSettingsError, match="queue_renewal"):
        create_state("h", 1, "r", "z", RequestSettings(queue_renewal=0.5), 1)


def test_an_exhausted_budget_ends_the_request_at_once():
    h = build_harness(retry_budget_minimum=0)
    arrive(h)
    end(h, start(h).attempt, AttemptEnd.CUT)
    assert outcome(h).reason is Reason.STREAM_CUT and outcome(h).retry_after is not None
    assert not h.state.requests and not h.state.permits
    assert last(h, PermitRequest).ask == 1
