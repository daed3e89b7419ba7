"""Guard the simulated engine against freeing memory early and hiding overload."""

import pytest

from marjorambridge.core.identity import AttemptId
from marjorambridge.standins import scheduler
from marjorambridge.standins.engine import build_announcement
from marjorambridge.standins.exceptions import RejectedError
from marjorambridge.standins.prompts import hash_blocks

STEP = 0.01


def make_engine(**settings):
    values = {
        "starts_cold": False,
        "prefill_tokens_per_second": 10_000.0,
        "decode_tokens_per_second": 100.0,
    }
    return scheduler.create_engine(scheduler.EngineSettings(**values | settings), 1, 0.0)


def admit_attempt(
    engine, number, prompt_tokens=100, priority="interactive", blocks=((), ()), kv=None
):
    attempt = AttemptId("h", 1, number)
    kv = prompt_tokens + 10 if kv is None else kv
    return scheduler.admit_attempt(
        engine, attempt, priority, number, prompt_tokens, blocks, 10, True, 0, kv, 0.0
    )


def run_for(engine, seconds, now=0.0):
    for step in range(round(seconds / STEP)):
        scheduler.run_step(engine, now + (step + 1) * STEP, STEP)


@pytest.mark.parametrize("honours", [True, False])
def test_a_short_prompt_runs_before_a_long_one_only_with_priorities(honours):
    engine = make_engine(honours_priority=honours)
    long = admit_attempt(engine, 1, 100_000, "long")
    run_for(engine, 0.1)
    short = admit_attempt(engine, 2, 500)
    run_for(engine, 0.4)
    assert bool(short.tokens) == honours and not long.tokens


def test_memory_is_held_until_the_end_or_a_cancel():
    engine = make_engine(kv_capacity_tokens=200)
    run = admit_attempt(engine, 1)
    with pytest.raises(RejectedError):
        admit_attempt(engine, 2)
    scheduler.cancel_attempt(engine, run.attempt)
    assert scheduler.count_used_tokens(engine) == 0
    second = admit_attempt(engine, 3)
    run_for(engine, 1.0)
    assert second.ended == "complete" and scheduler.count_used_tokens(engine) == 0


def test_an_attempt_cancelled_before_it_arrives_is_rejected():
    engine = make_engine()
    scheduler.cancel_attempt(engine, AttemptId("h", 1, 1))
    scheduler.cancel_host(engine, "old", 7)
    with pytest.raises(RejectedError):
        admit_attempt(engine, 1)
    with pytest.raises(RejectedError):
        scheduler.reserve_part(engine, AttemptId("old", 7, 1), 10, 1.0, 0.0)
    scheduler.reserve_part(engine, AttemptId("old", 8, 1), 10, 1.0, 0.0)


def test_a_part_expires_unless_it_is_renewed():
    engine = make_engine()
    kept, lost = AttemptId("h", 1, 1), AttemptId("h", 1, 2)
    for attempt in (kept, lost):
        scheduler.reserve_part(engine, attempt, 100, 1.0, 0.0)
    scheduler.reserve_part(engine, kept, 100, 1.0, 0.9)
    run_for(engine, 0.5, now=0.9)
    assert list(engine.parts) == [kept] and scheduler.count_used_tokens(engine) == 100


def test_a_cold_engine_slows_down_above_its_limit_and_recovers():
    engine = make_engine(starts_cold=True, cold_seconds=100.0, cold_factor=1.0)
    first = admit_attempt(engine, 1)
    run_for(engine, 0.5)
    assert first.ended == "complete" and not engine.overloads
    runs = [admit_attempt(engine, number) for number in (2, 3, 4)]
    run_for(engine, 0.5)
    assert engine.overloaded and engine.overloads == 1
    assert not any(run.ended for run in runs)
    scheduler.cancel_attempt(engine, runs[0].attempt)
    run_for(engine, 0.5)
    assert not engine.overloaded and runs[1].ended == "complete"
    run_for(engine, STEP, now=100.0)
    assert engine.cold_since is None


def test_cached_prefixes_are_limited_and_lost_events_leave_gaps():
    engine = make_engine(cache_tokens=2 * 256, cache_event_gap=0.5, cache_event_lag_seconds=0.5)
    prompts = [bytes([65 + number]) * 1536 for number in range(8)]
    for number, prompt in enumerate(prompts):
        run = admit_attempt(engine, number, 512, blocks=hash_blocks(prompt, 3.0))
        run_for(engine, 1.0, now=float(number))
        assert run.ended == "complete" and run.cached_tokens == 0
    assert len(engine.cache) == 2
    assert admit_attempt(engine, 9, 512, blocks=hash_blocks(prompts[-1], 3.0)).cached_tokens == 512
    sequences = [event.sequence for _, event in engine.cache_events]
    assert 0 < len(sequences) < engine.cache_sequence and sequences == sorted(set(sequences))
    early = build_announcement(engine, "127.0.0.1:1", 0.1)
    assert early.cache_events == () and early.running == 1
    assert build_announcement(engine, "127.0.0.1:1", 99.0).cache_events
