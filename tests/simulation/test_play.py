"""Simulate whole fleets with the product's own request path and load sharing."""

import time
from pathlib import Path

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.simulation.exceptions import UnknownConstantError
from marjorambridge.simulation.play import play
from marjorambridge.simulation.random_scenarios import generate_scenario
from marjorambridge.simulation.scenarios import EventKind, ScenarioEvent, read_scenario
from marjorambridge.simulation.variants import Variant, apply_variant, read_variants


@pytest.fixture(scope="module")
def small_scenario():
    """Return a short scenario of a small fleet without events."""
    scenario = read_scenario("mixed")
    return replace(scenario, seconds=6.0, events=())


def count_outcome(score, outcome):
    return sum(outcomes.get(outcome, 0) for outcomes in score.classes.values())


def test_the_same_seed_gives_the_same_score_after_another_run(small_scenario):
    """Guard against random numbers without a seed, and against the use of real time."""
    first = play(small_scenario, 7)
    play(small_scenario, 8)
    assert play(small_scenario, 7) == first


def test_no_request_fails_without_events(small_scenario):
    score = play(small_scenario, 1)
    total = sum(sum(outcomes.values()) for outcomes in score.classes.values())
    assert total > 50
    assert count_outcome(score, "on_time") >= 0.95 * total
    assert not count_outcome(score, "failed")


def test_a_restart_of_all_hosts_loses_running_requests_and_no_more(small_scenario):
    """Guard against a fleet that serves nothing, or without load reports, after its restart."""
    restart = ScenarioEvent(EventKind.RESTART, 2.0, 0.5)
    score = play(replace(small_scenario, events=(restart,)), 1)
    assert count_outcome(score, "failed") > 0
    assert count_outcome(score, "on_time") > count_outcome(score, "failed")


def test_streams_resume_on_other_engines_after_a_crash(small_scenario):
    crash = ScenarioEvent(EventKind.CRASH, 2.0, 3.0, count=2)
    score = play(replace(small_scenario, events=(crash,)), 1)
    assert not count_outcome(score, "failed")


def test_failed_engines_lead_to_no_connections_outside_the_simulation(small_scenario, monkeypatch):
    """Guard against results, and the machine's network, that depend on one another."""
    opened = []

    async def open_connection(*address):
        opened.append(address)
        raise OSError

    monkeypatch.setattr(anyio, "connect_tcp", open_connection)
    crash = ScenarioEvent(EventKind.CRASH, 2.0, 3.0, count=8)
    play(replace(small_scenario, events=(crash,)), 1)
    assert not opened


def test_a_large_fleet_is_played_in_seconds():
    """Guard against a model that is too slow to compare variants on many seeds."""
    scenario = replace(read_scenario("mixed-large"), seconds=4.0)
    started_at = time.process_time()
    score = play(scenario, 1)
    assert time.process_time() - started_at < 60.0
    assert count_outcome(score, "on_time") > 100


@pytest.mark.parametrize("seed", [1, 9])
def test_long_prompts_find_engines_without_short_answers_in_a_large_fleet(seed):
    """Guard against short requests on more engines than they need, which makes long prompts wait.

    With 54 engines that were half idle, half of the longest prompts were late or refused.
    """
    scenario = replace(read_scenario("mixed-large"), seconds=12.0, events=())
    outcomes = play(scenario, seed).classes["longest"]
    assert outcomes["on_time"] >= 2 / 3 * sum(outcomes.values())


def test_generated_scenarios_differ_and_can_be_played():
    scenarios = [generate_scenario(seed) for seed in range(1, 4)]
    assert len({scenario.engines for scenario in scenarios}) == 3
    score = play(replace(scenarios[0], seconds=3.0), 1)
    assert 0.0 < score.worth <= 1.0


def test_a_variant_changes_a_constant_for_one_play_only():
    from marjorambridge.conf import defaults

    before = defaults.MAX_HELPERS
    with apply_variant(Variant("none", {"MAX_HELPERS": 0})):
        assert defaults.MAX_HELPERS == 0
    assert before == defaults.MAX_HELPERS


def test_a_variant_of_a_constant_that_does_not_exist_raises_an_error():
    """Guard against an ablation that compares the product with itself."""
    with (
        pytest.raises(UnknownConstantError, match="NO_SUCH"),
        apply_variant(Variant("x", {"NO_SUCH": 1})),
    ):
        pass


def test_every_variant_of_the_ablation_names_constants_that_exist():
    """Guard against an ablation that stops halfway after a constant was removed."""
    variants = read_variants(Path(__file__).parents[2] / "benchmarks" / "ablation.json")
    assert len(variants) > 10
    for variant in variants:
        with apply_variant(variant):
            pass
