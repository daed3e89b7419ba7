"""Guard against late refusals and grants, stuck queues and the use of zones out of service."""

import pytest

from marjorambridge.core.events import FreshnessChanged, ViewApplied
from marjorambridge.core.outcomes import NotRun, Reason
from marjorambridge.limits import messages as lm
from marjorambridge.requests import effects as fx
from marjorambridge.requests import events as ev
from marjorambridge.requests import retries
from marjorambridge.requests.authentication import find_workspace
from marjorambridge.requests.state import RequestSettings, RetryBudget

from . import harness as hs

Denial = lm.DenialReason
REFUSALS = [
    ({"key_hash": ""}, Reason.UNAUTHENTICATED),
    ({"key_hash": "0" * 64}, Reason.UNAUTHENTICATED),
    ({"service": "other"}, Reason.UNKNOWN_SERVICE),
    ({"prompt_bytes": 17 * 2**20}, Reason.TOO_LARGE),
    ({"timeout": float("nan")}, Reason.BAD_REQUEST),
]


@pytest.mark.parametrize(("fields", "reason"), REFUSALS)
def test_a_refusal_is_sent_at_once_without_a_permit_request(fields, reason):
    h = hs.build_harness()
    hs.arrive(h, **fields)
    assert isinstance(hs.outcome(h), NotRun) and hs.outcome(h).reason is reason
    assert not hs.find(h.effects, lm.PermitRequest) and not h.state.requests


def test_a_host_that_is_not_fresh_admits_and_starts_nothing_until_it_is():
    h = hs.build_harness(fresh=0.4)
    hs.arrive(h, "admitted")
    asked = hs.last_ask(h)
    h.now += 0.4
    effects = hs.grant(h, *asked)
    assert hs.find(effects, lm.PermitCancel) and not hs.find(effects, fx.StartAttempt)
    hs.arrive(h)
    assert hs.outcome(h).reason is Reason.NOT_FRESH and hs.outcome(h).retry_after > 0
    hs.advance(h, 3.0)
    assert hs.last_ask(h) == asked and "admitted" in h.state.requests
    hs.feed(h, FreshnessChanged(h.now, h.now + 1.0))
    assert hs.last_ask(h)[1].permit != asked[1].permit


def test_rate_and_concurrency_limits_hold_and_recover():
    h = hs.build_harness()
    hs.configure(h, hs.build_configuration(requests_per_second=2.0))
    for ident in "abc":
        hs.arrive(h, ident)
    assert hs.outcome(h, "c").reason is Reason.RATE_LIMITED
    assert hs.outcome(h, "c").retry_after == pytest.approx(0.5)
    hs.advance(h, 0.5)
    hs.arrive(h, "d")
    hs.configure(h, hs.build_configuration(concurrent_requests=3))
    hs.arrive(h, "e")
    assert hs.outcome(h, "e").reason is Reason.RATE_LIMITED
    hs.feed(h, ev.CallerGone(h.now, "a"))
    hs.arrive(h, "f")
    assert "f" in h.state.requests


def test_every_digest_is_compared(monkeypatch):
    compared = []
    monkeypatch.setattr("hmac.compare_digest", lambda a, b: compared.append(a) or a == b)
    assert find_workspace([(b"aa", "x"), (b"bb", "y"), (b"cc", "z")], "AA") == "x"
    assert len(compared) == 3


def test_the_retry_budget_is_ten_or_a_tenth_of_the_admitted_requests():
    settings, budget = RequestSettings(), RetryBudget()
    assert sum(retries.consume_retry(budget, settings, 1.0) for _ in range(11)) == 10
    for _ in range(205):
        retries.count_admission(budget, settings, 11.0)
    assert sum(retries.consume_retry(budget, settings, 12.0) for _ in range(11)) == 10
    assert retries.consume_retry(budget, settings, 45.0)


@pytest.mark.parametrize("number", [1, 2, 3, 99])
def test_the_start_window_begins_with_the_request_that_the_grant_answers(number):
    h = hs.build_harness()
    hs.arrive(h)
    for _ in range(3):
        hs.queue(h, 0.01)
        hs.advance(h, 0.25)
    asks = hs.find(h.effects, lm.PermitRequest)
    assert [ask.ask for ask in asks] == [1, 2, 3, 4] and len({ask.permit for ask in asks}) == 1
    hs.advance(h, 0.22)
    effects = hs.grant(h, *hs.last_ask(h), number=number)
    if number == 3:
        assert hs.last(h, fx.StartAttempt).start_by == pytest.approx(100.5 + 0.7)
    else:
        assert hs.find(effects, lm.PermitCancel) and not hs.find(h.effects, fx.StartAttempt)


@pytest.mark.parametrize("silent", [True, False])
def test_a_denial_or_an_owner_timeout_leads_to_another_shard(silent):
    h = hs.build_harness()
    hs.arrive(h)
    first = hs.last_ask(h)[1]
    if not silent:
        hs.deny(h, Denial.QUEUE_FULL, 5.0)
    hs.advance(h, 1.1 if silent else 0.1)
    second = hs.last_ask(h)[1]
    assert second.shard != first.shard and second.permit != first.permit
    cancelled = [message.permit for message in hs.find(h.effects, lm.PermitCancel)]
    assert cancelled == ([first.permit] if silent else [])
    hs.arrive(h, "next")
    assert hs.last_ask(h)[1].shard == second.shard


DENIALS = [
    (Denial.TOO_LARGE, Reason.TOO_LARGE),
    (Denial.DEADLINE, Reason.OVERLOADED),
    (Denial.QUEUE_FULL, Reason.OVERLOADED),
    (Denial.LEAVING, Reason.NO_ENDPOINT),
]


@pytest.mark.parametrize(("denial", "reason"), DENIALS)
def test_a_request_that_cannot_succeed_ends_long_before_its_deadline(denial, reason):
    h = hs.build_harness()
    hs.arrive(h, timeout=20.0)
    while not hs.find(h.effects, fx.FinishRequest):
        hs.deny(h, denial, 30.0)
        hs.advance(h, 0.1)
        assert h.now < 101.0
    assert hs.outcome(h).reason is reason
    assert (hs.outcome(h).retry_after is None) == (reason is Reason.TOO_LARGE)


def test_a_service_without_endpoints_in_the_region_is_served_by_another():
    h = hs.build_harness()
    hs.arrive(h)
    for _ in range(2):
        assert hs.last_ask(h)[0] != "f1"
        hs.deny(h, Denial.NO_ENDPOINT, 5.0)
        hs.advance(h, 0.1)
    assert hs.last_ask(h)[0] == "f1"


def test_a_request_that_waits_long_moves_once_and_cancels_first():
    h = hs.build_harness()
    hs.arrive(h)
    owner, first = hs.last_ask(h)
    for _ in range(4):
        hs.queue(h, 4.0)
        hs.advance(h, 0.25)
    second = hs.last_ask(h)[1]
    assert second.shard != first.shard
    messages = hs.find(h.effects, lm.PermitCancel | lm.PermitRequest)
    assert messages[-2:] == [lm.PermitCancel(first.permit, first.shard), second]
    assert not hs.find(hs.grant(h, owner, first), fx.StartAttempt)
    for _ in range(6):
        hs.queue(h, 4.0)
        hs.advance(h, 0.25)
    assert hs.last_ask(h)[1].permit == second.permit


def test_a_long_prompt_waits_for_its_owners_reservation_before_it_moves():
    """Guard against repeated moves, each of which restarts the wait for a reservation."""
    h = hs.build_harness()
    hs.arrive(h, prompt_bytes=300_000, timeout=60.0)
    first = hs.last_ask(h)[1]
    asked_at = h.now
    while hs.last_ask(h)[1].shard == first.shard and h.now < asked_at + 30.0:
        hs.queue(h, 40.0)
        hs.advance(h, 0.25)
    assert 12.0 <= h.now - asked_at < 30.0


def test_waiting_requests_and_retries_leave_a_zone_out_of_service_and_streams_continue():
    h = hs.build_harness()
    hs.arrive(h, "running")
    running = hs.start(h).attempt
    zone = hs.last_ask(h)[1].shard.split("/")[1]
    for number in range(20):
        hs.arrive(h, f"waiting-{number}")
        if f"/{zone}/" in hs.last_ask(h)[1].shard:
            break
    asked = hs.last_ask(h)
    effects = hs.configure(h, hs.build_configuration(out=(zone,)))
    assert [e.permit for e in hs.find(effects, lm.PermitCancel)] == [asked[1].permit]
    assert f"/{zone}/" not in hs.find(effects, lm.PermitRequest)[0].shard
    assert not hs.find(effects, fx.CancelAttempt)
    assert not hs.find(hs.grant(h, *asked), fx.StartAttempt)
    hs.end(h, running, ev.AttemptEnd.CUT)
    hs.advance(h, 0.1)
    assert f"/{zone}/" not in hs.last_ask(h)[1].shard
    hs.configure(h, hs.build_configuration(out=("z1", "z2", "far")))
    hs.arrive(h)
    assert hs.outcome(h).reason is Reason.NO_ENDPOINT


def test_running_permits_are_renewed_in_one_batch_and_at_once_with_a_new_owner():
    h = hs.build_harness()
    for ident in "abcdef":
        hs.arrive(h, ident)
        hs.start(h)
    hs.arrive(h, "waiting")
    hs.advance(h, 2.0)
    sent = [e for e in h.effects if isinstance(getattr(e, "message", None), lm.PermitRenew)]
    assert sum(len(e.message.permits) for e in sent) == 6
    assert len(sent) == len({e.to for e in sent})
    asked = hs.last_ask(h)[1]
    effects = hs.feed(h, ViewApplied(h.now, 2, hs.build_view("h2")))
    sent = [e for e in effects if isinstance(getattr(e, "message", None), lm.PermitRenew)]
    assert [(e.to, len(e.message.permits)) for e in sent] == [("h2", 6)]
    assert hs.last_ask(h)[0] == "h2" and hs.last_ask(h)[1].permit != asked.permit


def test_a_revoked_permit_stops_the_attempt_and_the_request_is_retried():
    h = hs.build_harness()
    hs.arrive(h)
    asked = hs.last_ask(h)
    running = hs.start(h).attempt
    effects = hs.revoke(h, *asked)
    assert hs.find(effects, fx.CancelAttempt)[0].attempt == running
    assert not hs.find(effects, lm.PermitRelease)[0].stopped
    hs.advance(h, 0.1)
    assert hs.last_ask(h)[1].permit != asked[1].permit


def test_the_end_of_a_longer_prefill_is_reported_to_the_owner_at_once():
    h = hs.build_harness()
    hs.arrive(h, prompt_bytes=60_000)
    owner, ask = hs.last_ask(h)
    attempt = hs.find(hs.grant(h, owner, ask, priority=lm.PriorityClass.BATCH), fx.StartAttempt)[0]
    hs.feed(h, ev.AttemptStarted(h.now, attempt.attempt))
    effects = hs.chunk(h, attempt.attempt, 0, b"lot ")
    (renewal,) = hs.find(effects, lm.PermitRenew)
    assert renewal.permits[0].first_token


def test_an_overloaded_host_does_not_report_the_speed_of_an_endpoint():
    """Guard against warm endpoints that count as cold because the host handles answers late."""
    for delay, known in ((0.01, True), (0.5, False)):
        h = hs.build_harness()
        hs.arrive(h)
        attempt = hs.start(h).attempt
        hs.advance(h, 0.2)
        hs.feed(h, ev.LoopDelayMeasured(h.now, delay))
        hs.chunk(h, attempt, 0, b"lot ")
        hs.end(h, attempt)
        assert (hs.last(h, lm.PermitRelease).first_token_seconds >= 0.0) is known
