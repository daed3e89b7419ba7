"""Guard answers against lost, doubled or foreign text, and calls against a second run."""

import pytest

from marjorambridge.core.effects import Publish
from marjorambridge.core.outcomes import Done, Failed, NotRun, Reason, Unknown
from marjorambridge.limits.messages import DenialReason, PermitCancel, PermitRelease, PermitRequest
from marjorambridge.requests.effects import (
    CancelAttempt,
    FinishRequest,
    ForwardChunk,
    ForwardHeaders,
    StartAttempt,
)
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnd,
    AttemptHeaders,
    AttemptStarted,
    CallerGone,
)

from .harness import (
    advance,
    arrive,
    build_harness,
    chunk,
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


def read_text(h, ident="r1") -> bytes:
    return b"".join(c.data for c in find(h.effects, ForwardChunk) if c.request == ident)


@pytest.mark.parametrize("fault", ["gap", "cut", "server_error", "short"])
def test_a_stream_is_resumed_elsewhere_at_the_exact_token(fault):
    h = build_harness()
    arrive(h)
    first = start(h, "e1").attempt
    chunk(h, first, 0, b"abc")
    chunk(h, first, 2, b"cd")
    if fault == "gap":
        assert find(chunk(h, first, 5, b"f"), CancelAttempt)
    elif fault == "short":
        end(h, first, AttemptEnd.COMPLETE, usage={"completion_tokens": 6})
    else:
        end(h, first, AttemptEnd(fault))
    advance(h, 0.1)
    assert last_ask(h)[1].exclude == (() if fault == "gap" else ("e1",))
    second = start(h, "e2")
    assert second.resume_from == 4
    chunk(h, first, 4, b"XX")
    end(h, first, AttemptEnd.COMPLETE)
    chunk(h, second.attempt, 3, b"def")
    end(h, second.attempt, AttemptEnd.COMPLETE, finish="stop")
    assert read_text(h) == b"abcdef" and outcome(h) == Done()
    assert last(h, FinishRequest).output_tokens == 6
    assert len(find(h.effects, ForwardHeaders)) == 1


def test_a_chunk_that_cannot_be_cut_at_a_token_counts_as_lost():
    h = build_harness()
    arrive(h)
    first = start(h).attempt
    chunk(h, first, 0, b"ab")
    effects = feed(h, AttemptChunk(h.now, first, 1, 2, b"\xe0\xaa\x95\xe0", (3,)))
    assert find(effects, CancelAttempt) and read_text(h) == b"ab"


def test_a_failed_attempt_without_content_stays_invisible_to_the_caller():
    h = build_harness()
    arrive(h, service="app", method="GET")
    first = start(h, status=503).attempt
    chunk(h, first, 0, b"busy")
    end(h, first, AttemptEnd.REFUSED)
    advance(h, 0.1)
    second = start(h, "e2").attempt
    chunk(h, second, 0, b"fine")
    end(h, second, AttemptEnd.COMPLETE)
    assert read_text(h) == b"fine" and last(h, ForwardHeaders).status == 200


def test_a_plain_answer_that_breaks_off_is_not_mixed_with_a_second_one():
    h = build_harness()
    arrive(h, service="app", method="GET")
    first = start(h).attempt
    chunk(h, first, 0, b"half")
    end(h, first, AttemptEnd.CUT)
    assert isinstance(outcome(h), Failed) and outcome(h).reason is Reason.STREAM_CUT


def test_an_error_of_a_plain_service_is_its_answer_and_one_of_an_engine_a_failure():
    h = build_harness()
    arrive(h, service="app", method="GET")
    first = start(h, status=404).attempt
    chunk(h, first, 0, b"no such lot")
    end(h, first, AttemptEnd.CLIENT_ERROR)
    assert outcome(h) == Done() and read_text(h) == b"no such lot"
    arrive(h, "r2")
    end(h, start(h, status=400).attempt, AttemptEnd.CLIENT_ERROR, message="shorten it")
    assert outcome(h, "r2") == Failed(Reason.BAD_REQUEST, "shorten it", None)


def test_attempts_are_bounded():
    h = build_harness()
    arrive(h)
    for number in range(4):
        end(h, start(h, f"e{number}").attempt, AttemptEnd.SERVER_ERROR)
        advance(h, 0.3)
    assert outcome(h).reason is Reason.ENDPOINT_ERROR
    assert all(message.endpoint_failed for message in find(h.effects, PermitRelease))


@pytest.mark.parametrize("reachable", [True, False])
def test_an_attempt_that_was_not_sent_costs_nothing_and_leaves_not_run_possible(reachable):
    h = build_harness(retry_budget_minimum=0)
    arrive(h)
    grant(h, *last_ask(h))
    first = last(h, StartAttempt)
    if reachable:
        h.now = first.start_by
    end(h, first.attempt, AttemptEnd.NOT_SENT)
    assert bool(find(h.effects, PermitCancel)) == reachable
    advance(h, 0.1)
    assert last_ask(h)[1].exclude == (() if reachable else ("e1",))
    for _ in range(3):
        deny(h, DenialReason.DEADLINE)
        advance(h, 0.2)
    assert isinstance(outcome(h), NotRun)


def test_at_the_deadline_a_request_ends_at_once_with_what_is_true():
    h = build_harness()
    for ident in ("waiting", "handed over", "running"):
        arrive(h, ident, timeout=1.0)
        if ident == "handed over":
            grant(h, *last_ask(h))
        elif ident == "running":
            chunk(h, start(h).attempt, 0, b"ab")
    late = last(h, StartAttempt).attempt
    h.now += 1.0
    effects = chunk(h, late, 2, b"cd")
    assert find(effects, CancelAttempt) and not find(effects, ForwardChunk)
    assert not find(effects, PermitRelease)[0].stopped
    advance(h, 0.0)
    assert isinstance(outcome(h, "waiting"), NotRun)
    assert isinstance(outcome(h, "handed over"), Failed)
    assert isinstance(outcome(h, "running"), Failed)
    assert not h.state.requests and not h.state.permits and not h.state.usage["pits"].running


@pytest.mark.parametrize("running", [True, False])
def test_a_caller_that_is_gone_stops_the_work(running):
    h = build_harness()
    arrive(h)
    if running:
        start(h)
    effects = feed(h, CallerGone(h.now, "r1"))
    assert find(effects, CancelAttempt if running else PermitCancel)
    assert isinstance(outcome(h), Failed if running else NotRun)
    assert feed(h, CallerGone(h.now, "r1")) == []


def test_the_rest_of_the_answer_is_asked_for_with_its_own_length():
    h = build_harness()
    arrive(h, prompt_bytes=300, output_tokens=50)
    first = start(h).attempt
    chunk(h, first, 0, b"x" * 20)
    end(h, first, AttemptEnd.CUT)
    advance(h, 0.1)
    ask = last(h, PermitRequest)
    assert (ask.prompt_tokens, ask.output_tokens) == (120, 30)


def test_events_of_unknown_attempts_and_requests_change_nothing():
    h = build_harness()
    arrive(h)
    attempt = start(h).attempt
    end(h, attempt, AttemptEnd.COMPLETE)
    for event in (
        AttemptStarted(h.now, attempt),
        AttemptHeaders(h.now, attempt, 200),
        CallerGone(h.now, "other"),
    ):
        assert feed(h, event) == []
    assert end(h, attempt, AttemptEnd.CUT) == [] and not find(h.effects, Unknown | Publish)
