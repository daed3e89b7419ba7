"""Guard calls that may not be repeated against a second run and against a false "not run"."""

import pytest

from marjorambridge.claims.events import (
    ClaimCompletionWanted,
    ClaimReleaseWanted,
    ClaimSettled,
    ClaimWanted,
)
from marjorambridge.claims.messages import RESULT_UNKNOWN, ClaimStatus, RecordedAnswer
from marjorambridge.core.events import ShutdownRequested
from marjorambridge.core.outcomes import Done, Failed, NotRun, Reason, Unknown
from marjorambridge.limits.messages import DenialReason, PermitRequest
from marjorambridge.requests.effects import (
    CancelAttempt,
    FinishRequest,
    ForwardChunk,
    ForwardHeaders,
    StartAttempt,
)
from marjorambridge.requests.events import AttemptEnd, CallerGone, Drained

from .harness import (
    advance,
    arrive,
    build_harness,
    chunk,
    claim,
    deny,
    end,
    feed,
    find,
    grant,
    last,
    last_ask,
    outcome,
    start,
)


def book(h, **fields):
    return arrive(h, service="app", idempotency_key="k", fingerprint="f", **fields)


def settle(h, committed=True):
    return feed(h, ClaimSettled(h.now, last(h, ClaimWanted).claim, committed))


def test_the_claim_comes_before_the_permit_and_the_record_before_the_answer():
    h = build_harness()
    book(h)
    assert not find(h.effects, PermitRequest)
    claim(h)
    attempt = start(h, status=201).attempt
    chunk(h, attempt, 0, b"slot 4")
    end(h, attempt, AttemptEnd.COMPLETE)
    assert last(h, ClaimCompletionWanted).answer == RecordedAnswer(201, (), b"slot 4")
    assert not find(h.effects, ForwardHeaders | ForwardChunk | FinishRequest)
    settle(h)
    assert last(h, ForwardChunk).data == b"slot 4" and outcome(h) == Done()
    claim(h)
    settle(h)
    assert not find(h.effects, ClaimReleaseWanted) and outcome(h)


def test_calls_that_are_declared_repeatable_or_read_only_need_no_claim():
    h = build_harness()
    arrive(h, "a", service="app", method="GET")
    arrive(h, "b", service="app", repeatable=True)
    assert not find(h.effects, ClaimWanted)
    arrive(h, "c", service="app")
    arrive(h, "d", service="app", method="GET", repeatable=False)
    keys = [event.key for event in find(h.effects, ClaimWanted)]
    assert len(set(keys)) == 2 and all(keys)


@pytest.mark.parametrize("committed", [False, None])
def test_a_record_that_is_not_committed_in_time_does_not_hold_the_answer_back(committed):
    h = build_harness()
    book(h)
    claim(h)
    end(h, start(h).attempt, AttemptEnd.COMPLETE)
    if committed is None:
        advance(h, 2.0)
    else:
        settle(h, committed)
    assert outcome(h) == Done() and last(h, ForwardHeaders).status == 200


@pytest.mark.parametrize(
    "kind", [AttemptEnd.CUT, AttemptEnd.SERVER_ERROR, AttemptEnd.TIMED_OUT, AttemptEnd.NOT_SENT]
)
def test_a_call_that_may_have_run_is_unknown_and_never_sent_again(kind):
    h = build_harness()
    book(h)
    claim(h)
    end(h, start(h).attempt, kind)
    advance(h, 20.0)
    assert isinstance(outcome(h), Unknown) and len(find(h.effects, StartAttempt)) == 1
    assert last(h, ClaimCompletionWanted).answer.status == RESULT_UNKNOWN
    assert not find(h.effects, ClaimReleaseWanted)


def test_a_call_that_did_not_run_gets_another_permit_under_the_same_claim():
    h = build_harness()
    book(h)
    claim(h)
    grant(h, *last_ask(h))
    end(h, last(h, StartAttempt).attempt, AttemptEnd.NOT_SENT)
    advance(h, 0.1)
    refused = start(h, "e2", status=429).attempt
    chunk(h, refused, 0, b"busy")
    end(h, refused, AttemptEnd.REFUSED)
    advance(h, 0.1)
    attempt = start(h, "e3").attempt
    chunk(h, attempt, 0, b"ok")
    end(h, attempt, AttemptEnd.COMPLETE)
    settle(h)
    assert outcome(h) == Done() and last(h, ForwardChunk).data == b"ok"
    assert len(find(h.effects, ClaimWanted)) == 1 and len(find(h.effects, ForwardHeaders)) == 1


@pytest.mark.parametrize("committed", [True, False, None])
@pytest.mark.parametrize("claimed", [True, False])
def test_not_run_is_told_only_after_the_release_is_committed(committed, claimed):
    h = build_harness()
    book(h, timeout=4.0)
    if claimed:
        claim(h)
    advance(h, 3.5)
    assert find(h.effects, ClaimReleaseWanted) and not find(h.effects, FinishRequest)
    if committed is None:
        advance(h, 0.5)
    else:
        settle(h, committed)
    assert isinstance(outcome(h), NotRun if committed else Failed)
    late = claim(h)
    assert claimed or find(late, ClaimReleaseWanted)
    assert not find(late, PermitRequest)


def test_a_call_refused_by_the_endpoint_is_released_but_not_called_not_run():
    h = build_harness(max_attempts=1)
    book(h)
    claim(h)
    end(h, start(h, status=429).attempt, AttemptEnd.REFUSED)
    assert find(h.effects, ClaimReleaseWanted)
    settle(h)
    assert isinstance(outcome(h), Failed)


@pytest.mark.parametrize(
    ("status", "answer", "kind", "reason"),
    [
        (ClaimStatus.IN_PROGRESS, None, Failed, Reason.CLAIM_IN_PROGRESS),
        (ClaimStatus.MISMATCH, None, NotRun, Reason.CLAIM_MISMATCH),
        (ClaimStatus.CLAIMANT_LOST, None, Unknown, Reason.CLAIMANT_LOST),
        (ClaimStatus.EXPIRED, None, Unknown, Reason.CLAIM_EXPIRED),
        (ClaimStatus.UNAVAILABLE, None, Failed, Reason.CLAIM_UNAVAILABLE),
        (ClaimStatus.COMPLETED, None, Unknown, Reason.ANSWER_NOT_KEPT),
        (
            ClaimStatus.COMPLETED,
            RecordedAnswer(RESULT_UNKNOWN, kept=False),
            Unknown,
            Reason.CLAIMANT_LOST,
        ),
    ],
)
def test_a_claim_that_is_not_won_is_answered_by_its_status(status, answer, kind, reason):
    h = build_harness()
    book(h)
    claim(h, status, answer)
    assert isinstance(outcome(h), kind) and outcome(h).reason is reason
    assert not find(h.effects, PermitRequest)
    assert bool(find(claim(h), ClaimReleaseWanted)) == (status is ClaimStatus.UNAVAILABLE)


def test_a_resend_gets_the_recorded_answer():
    h = build_harness()
    book(h)
    claim(h, ClaimStatus.COMPLETED, RecordedAnswer(201, (("a", "b"),), b"slot 4"))
    assert last(h, ForwardHeaders).status == 201 and last(h, ForwardChunk).data == b"slot 4"
    assert outcome(h) == Done()


@pytest.mark.parametrize(("held", "kept"), [(200, True), (50, True), (10, False)])
def test_a_long_answer_reaches_the_caller_whole(held, kept):
    h = build_harness(held_answer=held, recorded_answer=100)
    book(h)
    claim(h)
    attempt = start(h).attempt
    for index in range(0, 40, 8):
        chunk(h, attempt, index, bytes(range(index, index + 8)))
    end(h, attempt, AttemptEnd.COMPLETE)
    assert last(h, ClaimCompletionWanted).answer.kept is kept
    settle(h)
    text = b"".join(part.data for part in find(h.effects, ForwardChunk))
    assert text == bytes(range(40)) and outcome(h) == Done()


def test_the_deadline_of_a_call_that_was_handed_to_the_driver_is_unknown():
    h = build_harness()
    book(h, timeout=4.0)
    claim(h)
    grant(h, *last_ask(h))
    advance(h, 3.9)
    assert not find(h.effects, FinishRequest)
    advance(h, 0.1)
    assert isinstance(outcome(h), Unknown) and find(h.effects, CancelAttempt)


def test_a_caller_gone_lets_a_sent_call_finish_and_records_it():
    h = build_harness()
    book(h)
    claim(h)
    attempt = start(h).attempt
    assert feed(h, CallerGone(h.now, "r1")) == []
    chunk(h, attempt, 0, b"ok")
    end(h, attempt, AttemptEnd.COMPLETE)
    assert last(h, ClaimCompletionWanted).answer.body == b"ok"
    settle(h)
    assert outcome(h) == Done() and not find(h.effects, ForwardHeaders | ForwardChunk)


def test_a_caller_gone_before_the_call_was_sent_releases_the_claim():
    h = build_harness()
    book(h)
    claim(h)
    feed(h, CallerGone(h.now, "r1"))
    assert find(h.effects, ClaimReleaseWanted)
    settle(h)
    assert outcome(h).reason is Reason.CALLER_GONE


def test_a_graceful_shutdown_admits_during_the_grace_and_waits_for_running_requests():
    h = build_harness()
    arrive(h, "r1", timeout=60.0)
    running = start(h).attempt
    feed(h, ShutdownRequested(h.now, False))
    advance(h, 2.9)
    arrive(h, "r2")
    end(h, start(h).attempt, AttemptEnd.COMPLETE)
    advance(h, 0.1)
    arrive(h, "r3")
    assert outcome(h, "r2") == Done() and outcome(h, "r3").reason is Reason.SHUTTING_DOWN
    assert not find(h.effects, Drained)
    end(h, running, AttemptEnd.COMPLETE)
    advance(h, 700.0)
    assert find(h.effects, Drained) == [Drained(h.now - 700.0, 2, 0)]


@pytest.mark.parametrize("forced", [True, False])
def test_the_end_of_the_drain_gives_each_request_its_true_outcome(forced):
    h = build_harness(drain_deadline=5.0)
    arrive(h, "waiting", timeout=60.0)
    arrive(h, "running", timeout=60.0)
    start(h)
    for ident in ("claiming", "sent", "recording"):
        arrive(h, ident, service="app", timeout=60.0)
        if ident != "claiming":
            claim(h)
            attempt = start(h).attempt
    feed(h, ShutdownRequested(h.now, False))
    h.now += 4.9
    end(h, attempt, AttemptEnd.COMPLETE)
    if forced:
        feed(h, ShutdownRequested(h.now, True))
    else:
        advance(h, 0.1)
    assert isinstance(outcome(h, "waiting"), NotRun)
    assert isinstance(outcome(h, "running"), Failed)
    assert isinstance(outcome(h, "claiming"), Failed)
    assert isinstance(outcome(h, "sent"), Unknown)
    assert outcome(h, "recording") == Done()
    assert find(h.effects, Drained) == [Drained(h.now, 1, 4)]


def test_a_claimed_call_that_cannot_succeed_ends_at_once():
    h = build_harness()
    book(h)
    claim(h)
    for _ in range(2):
        deny(h, DenialReason.DEADLINE)
        advance(h, 0.2)
    settle(h)
    assert isinstance(outcome(h), NotRun) and outcome(h).reason is Reason.OVERLOADED
