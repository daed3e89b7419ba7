"""Test how many engines a long prompt takes, and whose answers it may stall."""

import math

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import (
    add_prefill,
    add_request,
    compute_remaining_prefill_seconds,
    set_other_load,
)
from marjorambridge.forwarding.state import Load
from marjorambridge.scheduling.plans import plan_prefill
from tests.forwarding.helpers import make_profile, make_state


def plan(state, tokens, objective=8.0, waited=0.0, remaining=15.0):
    profile = make_profile(tokens, objective, pause=0.8, remaining=remaining)
    profile.waited_seconds = waited
    return profile, plan_prefill(state, profile, frozenset(), 0.0)


def list_engines(state):
    return list(state.by_service["model"].values())


def test_a_prompt_with_slack_takes_few_engines():
    """A burst of long prompts on 16 engines each leaves none without answers that would stall."""
    _, relaxed = plan(make_state(60), 150_000, objective=8.0)
    _, hurried = plan(make_state(60), 150_000, objective=1.0)
    assert len(relaxed.engines) <= 4 < len(hurried.engines)
    assert relaxed.is_on_time and hurried.is_on_time


def test_the_largest_prompt_takes_all_helpers_of_an_idle_fleet():
    """A prompt of 1,000,000 tokens was refused while all engines were idle."""
    _, planned = plan(make_state(60), 700_000, objective=8.0)
    assert len(planned.engines) == defaults.MAX_HELPERS + 1


def test_answers_keep_their_pauses_beside_a_prefill_shard():
    """A shard as long as the whole pause objective makes the event after it late by one pass."""
    state = make_state(6)
    for engine in list_engines(state):
        add_request(engine.load, 45_000, 0.5)
        add_prefill(engine.load, 0.1, 0.0)
    profile, planned = plan(state, 60_000)
    if planned is not None:
        shard = profile.prefill_seconds / len(planned.engines)
        assert 0.1 + shard <= defaults.TOLERATED_PREFILL_RATIO * 0.5
    for engine in list_engines(state):
        add_prefill(engine.load, 0.35, 0.0)
    assert plan(state, 60_000)[1] is None


def test_an_engine_that_declined_or_helps_with_enough_prompts_is_not_asked():
    """Two declines 20 to 70 ms apart used up the endpoints that a request may try."""
    state = make_state(3)
    busy, declined, free = list_engines(state)
    busy.load.helps = busy.slots
    declined.declined_until = 1.0
    _, planned = plan(state, 60_000)
    assert [engine.name for engine in planned.engines] == [free.name]


def test_time_that_was_waited_is_taken_from_the_objective():
    """A prompt that waited and then took few engines was late although more engines were idle."""
    _, fresh = plan(make_state(60), 250_000)
    _, waited = plan(make_state(60), 250_000, waited=6.0, remaining=9.0)
    assert len(waited.engines) > len(fresh.engines)
    assert waited.seconds < 0.85 * 8.0 - 6.0


def test_a_late_prompt_leaves_busy_engines_to_timely_ones():
    """In a burst, late prompts on many engines made the next ones late as well."""
    state = make_state(20)
    for engine in list_engines(state)[:16]:
        add_request(engine.load, 5_000, 0.25)
    assert plan(state, 250_000, waited=9.0, remaining=6.0)[1] is None
    idle = make_state(20)
    _, planned = plan(idle, 250_000, waited=9.0, remaining=6.0)
    assert planned is not None and not planned.is_on_time


def test_a_prompt_waits_while_it_can_still_be_on_time():
    """All engines busy for half a second is no reason to give up an objective of 8 s."""
    state = make_state(20)
    for engine in list_engines(state):
        add_request(engine.load, 5_000, 0.25)
        add_prefill(engine.load, 1.0, 0.0)
    assert plan(state, 250_000)[1] is None
    assert math.isinf(make_profile(1).remaining_seconds) is False


def test_a_late_prompt_counts_engines_that_cannot_help_as_busy():
    """Late prompts took the last idle engines, because only engines that can help were counted."""
    state = make_state(20)
    for engine in list_engines(state)[:17]:
        engine.load.helps = engine.slots
    assert plan(state, 250_000, waited=9.0, remaining=6.0)[1] is None


def test_a_prompt_that_the_fleet_cannot_serve_on_time_does_not_wait_for_more_engines():
    """With 3 engines, all idle, a prompt waited until 17 engines would not be on time either."""
    _, planned = plan(make_state(3), 250_000, objective=1.0)
    assert planned is not None and len(planned.engines) == 3 and not planned.is_on_time


def test_a_plan_ends_before_the_time_limit():
    """The plan followed the objective alone, so that a prompt with little time left timed out."""
    _, hurried = plan(make_state(60), 250_000, objective=8.0, remaining=1.0)
    _, unhurried = plan(make_state(60), 700_000, objective=math.inf, remaining=15.0)
    assert hurried.seconds <= 1.0
    assert unhurried.seconds <= 15.0


def test_a_report_of_another_host_does_not_restore_prefill_that_has_ended():
    """A long prompt of another host slowed down the prefill that had ended before it came, too."""
    state = make_state(1)
    (engine,) = list_engines(state)
    engine.is_planned = True
    add_prefill(engine.load, 1.0, 0.0)
    set_other_load(engine, "h2", Load(reads=1, prefill_seconds=10.0, as_of=0.9))
    assert compute_remaining_prefill_seconds(engine, 0.9) == pytest.approx(10.1)
