"""Check that the bounds of prefills follow the pause limits of each deployment."""

import random

import pytest

from marjorambridge.forwarding.costs import compute_pass_seconds
from marjorambridge.forwarding.fleet import apply_manifest
from marjorambridge.forwarding.loads import add_prefill, add_request
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.forwarding.retry_after import estimate_retry_after_seconds
from marjorambridge.forwarding.splitting import choose_prefill_engines, is_long_prompt
from marjorambridge.forwarding.thresholds import Thresholds, derive_thresholds
from marjorambridge.manifests.models import (
    EngineProfile,
    Execution,
    Manifest,
    Route,
    RouteTarget,
    ServiceDefinition,
)

from .helpers import PROFILE, make_profile, make_state

NONE = frozenset()


def make_route(name, pause, service="model"):
    targets = (RouteTarget(service, 1.0),)
    return Route(name, "h", f"/{name}/", Execution.STREAM, 10.0, 0.3, targets, pause)


@pytest.mark.parametrize("seed", range(40))
def test_a_tolerated_prefill_and_a_pass_fit_the_shortest_pause_of_any_deployment(seed):
    draw = random.Random(seed)
    profile = EngineProfile(
        slots=draw.choice((2, 8, 32)),
        step_seconds=draw.uniform(0.0002, 0.004),
        sequence_seconds=draw.uniform(0.0, 0.00005),
        stride_steps=draw.choice((1, 8, 64)),
    )
    pauses = [draw.uniform(0.05, 2.0) for _ in range(draw.randint(1, 4))]
    routes = [make_route(f"r{number}", pause) for number, pause in enumerate(pauses)]
    routes.append(make_route("other", 0.001, "another service"))
    definition = ServiceDefinition("model", engine=profile)
    derived = derive_thresholds(Manifest(1, tuple(routes)), definition)
    one_pass = compute_pass_seconds(profile)
    assert derived.tolerated_prefill_seconds > 0
    assert derived.strict_pause_limit_seconds > min(pauses)
    if 2 * one_pass <= min(pauses):
        assert derived.tolerated_prefill_seconds + one_pass <= min(pauses)


def test_a_pause_limit_that_no_engine_meets_does_not_make_every_prompt_long():
    """Guard against a configured pause limit so short that all short prompts are refused."""
    state, profile = make_state(engines=4), make_profile(5_000)
    definition = ServiceDefinition("model", engine=PROFILE)
    for pause in (0.001, 0.05):
        manifest = Manifest(1, (make_route("r", pause),))
        state.thresholds["model"] = derive_thresholds(manifest, definition)
        assert not is_long_prompt(state, profile)


def test_a_plain_service_has_no_bounds():
    assert derive_thresholds(Manifest(1), ServiceDefinition("app")) == Thresholds()


def test_the_bound_of_long_prompts_follows_the_pause_limits():
    """Guard against constants that only fit the pause limits of one deployment."""
    profile = make_profile(20_000)
    definition = ServiceDefinition("model", engine=PROFILE)
    state = make_state(engines=4)
    for pause, expected in ((0.25, False), (0.1, True)):
        manifest = Manifest(1, (make_route("r", pause),))
        state.thresholds["model"] = derive_thresholds(manifest, definition)
        assert is_long_prompt(state, profile) is expected


def test_a_prompt_of_a_removed_service_gets_no_engine():
    """Guard against an exception when a manifest removes the service while a prompt waits."""
    state, profile = make_state(engines=4), make_profile(300_000, 3.0, 1.0)
    assert choose_prefill_engines(state, profile, NONE, 0.0)
    apply_manifest(state, Manifest(2))
    assert not is_long_prompt(state, profile)
    assert choose_prefill_engines(state, profile, NONE, 0.0) == []
    assert choose_endpoint(state, profile, NONE, 0.0) is None
    assert estimate_retry_after_seconds(state, profile, 0.0) > 0


def test_a_late_prompt_uses_no_engines_while_most_are_busy():
    """Guard against very long prompts that occupy engines in a burst and are late anyway."""
    profile = make_profile(300_000, 3.0, 1.0, remaining=15.0)
    for busy, is_read in ((6, True), (17, False)):
        state = make_state(engines=20)
        for endpoint in list(state.endpoints.values())[:busy]:
            add_request(endpoint.load, 5_000, 0.25)
        prefill_engines = choose_prefill_engines(state, profile, NONE, 0.0)
        assert bool(prefill_engines) is is_read
        if prefill_engines:
            assert profile.prefill_seconds / len(prefill_engines) <= 7.5


def test_a_late_prompt_that_takes_no_longer_than_its_objective_is_accepted():
    """Guard against refusing all prompts that are slightly late in a burst."""
    state = make_state(engines=8)
    profile = make_profile(130_000, 3.0, 1.0, remaining=15.0)
    for endpoint in state.endpoints.values():
        add_prefill(endpoint.load, 0.6, 0.0)
    prefill_engines = choose_prefill_engines(state, profile, NONE, 0.0)
    assert prefill_engines
    assert 0.6 + profile.prefill_seconds / len(prefill_engines) <= 3.0
