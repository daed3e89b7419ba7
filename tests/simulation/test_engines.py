"""Guard against a model of engines in which prefill and decode don't delay one another."""

import time

import anyio
import pytest

from marjorambridge.forwarding.costs import compute_pass_seconds, compute_prefill_seconds
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.simulation import clock, engines
from marjorambridge.simulation.engines import Engine, EngineRun

PROFILE = EngineProfile(
    slots=2,
    kv_tokens=200_000,
    step_seconds=0.001,
    read_tokens_per_second=200_000.0,
    pair_seconds=2e-10,
    chunk_tokens=2_048,
    stride_steps=50,
)


def make_engine(name="e1", queue_places=1):
    return Engine(name, "a", name, PROFILE, queue_places)


def make_run(tokens, events, times, helpers=()):
    """Return a run that records the time of each of its events."""
    return EngineRun(
        tokens,
        tokens,
        events,
        lambda number, is_last: times.append((number, time.monotonic())),
        list(helpers),
    )


def run_simulated(schedule, seconds=30.0):
    """Call a function in simulated time, wait for some seconds and return the time of the call."""

    async def run():
        started_at = time.monotonic()
        schedule()
        await anyio.sleep(seconds)
        return started_at

    return clock.run(run)


def test_a_prompt_takes_the_time_of_the_published_profile():
    times = []
    started_at = run_simulated(lambda: engines.submit(make_engine(), make_run(100_000, 3, times)))
    prefill_seconds = compute_prefill_seconds(PROFILE, 100_000)
    passes = [at - started_at - prefill_seconds for _, at in times]
    # The context of an answer has no cost in this profile, so that each event is one plain pass.
    assert passes == pytest.approx([0.05, 0.10, 0.15], abs=0.001)
    assert compute_pass_seconds(PROFILE) == pytest.approx(0.05)


def test_helpers_prefill_their_shards_at_the_same_time():
    times = []
    engine, helpers = make_engine(), [make_engine(f"e{n}") for n in range(2, 5)]
    started_at = run_simulated(lambda: engines.submit(engine, make_run(100_000, 1, times, helpers)))
    prefill_seconds = compute_prefill_seconds(PROFILE, 100_000) / 4
    assert times[0][1] - started_at == pytest.approx(prefill_seconds + 0.05, abs=0.001)


def test_an_answer_pauses_while_its_engine_prefills_a_long_prompt():
    """Guard against long prefills that don't delay the answers of the same engine."""
    short, times = [], []
    engine = make_engine()

    def schedule():
        engines.submit(engine, make_run(1_000, 12, short))
        clock.call_later(0.2, engines.submit, engine, make_run(100_000, 1, times))

    run_simulated(schedule)
    pauses = [later - earlier for (_, earlier), (_, later) in zip(short, short[1:], strict=False)]
    assert max(pauses) == pytest.approx(compute_prefill_seconds(PROFILE, 100_000) + 0.05, abs=0.01)


def test_requests_beyond_the_slots_wait_and_further_ones_are_rejected():
    first, second, third = [], [], []
    engine, accepted = make_engine(queue_places=1), []

    def schedule():
        for times in (first, second, third):
            accepted.append(engines.submit(engine, make_run(1_000, 10, times)))
        accepted.append(engines.submit(engine, make_run(1_000, 10, [])))

    run_simulated(schedule)
    assert accepted == [True, True, True, False]
    assert third[0][1] > max(first[-1][1], second[-1][1]) - 0.001


def test_prompts_wait_for_memory_that_is_reserved():
    times, engine = [], make_engine()

    def schedule():
        assert engines.reserve(engine, "t1", 150_000)
        assert not engines.reserve(engine, "t2", 60_000)
        engines.submit(engine, make_run(100_000, 1, times))
        clock.call_later(5.0, engines.release, engine, "t1")

    started_at = run_simulated(schedule)
    assert times[0][1] - started_at > 5.0


def test_a_crash_ends_answers_and_earlier_passes_emit_no_events_after_it():
    """Guard against answers that continue after a crash, and engines that stay idle after it."""
    times, later = [], []
    engine = make_engine()

    def schedule():
        engines.submit(engine, make_run(1_000, 100, times))
        clock.call_later(0.51, engines.crash, engine)
        clock.call_later(0.52, engines.start, engine)
        clock.call_later(0.53, engines.submit, engine, make_run(1_000, 2, later))

    run_simulated(schedule)
    assert times[-1][0] == -1
    assert all(number > 0 for number, _ in times[:-1])
    assert [number for number, _ in later] == [1, 2]


def test_a_cancelled_request_is_not_prefilled_any_further():
    times, other = [], []
    engine, run = make_engine(), make_run(190_000, 5, times)

    def schedule():
        engines.submit(engine, run)
        clock.call_later(0.1, engines.cancel, engine, run)
        clock.call_later(0.2, engines.submit, engine, make_run(1_000, 1, other))

    started_at = run_simulated(schedule)
    assert not times
    assert other[0][1] - started_at < 0.3
