"""Draw scenarios of fleets that nobody chose, to check that a gain holds on any of them."""

import random

from marjorambridge.forwarding.costs import compute_pass_seconds, compute_prefill_seconds
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.simulation.scenarios import EventKind, Scenario, ScenarioEvent, WorkloadClass

ZONES = ("a", "b", "c")
SECONDS = 24.0
# Part of all engines' time that the load takes outside of bursts.
LEAST_LOAD, MOST_LOAD = 0.3, 0.55
# How that time is divided among short, longer and the longest prompts.
PARTS = (0.55, 0.1, 0.35)


def draw_scenario(seed: int) -> Scenario:
    """Return a scenario of random size, speeds, load and trouble.

    Examples
    --------
    >>> draw_scenario(3) == draw_scenario(3)
    True
    """
    draw = random.Random(seed)
    engines = draw.randint(8, 60)
    profile = EngineProfile(
        slots=draw.choice((4, 6, 8, 12)),
        kv_tokens=draw.randint(200, 600) * 1_000,
        step_seconds=draw.uniform(0.0005, 0.002),
        sequence_seconds=draw.uniform(0.000005, 0.00002),
        context_seconds=draw.uniform(1e-9, 4e-9),
        read_tokens_per_second=draw.uniform(60_000.0, 250_000.0),
        pair_seconds=draw.uniform(1e-10, 4e-10),
        chunk_tokens=2_048,
        stride_steps=draw.choice((16, 32, 48)),
    )
    load = draw.uniform(LEAST_LOAD, MOST_LOAD) * engines
    tokens = (
        draw.randint(1, 8) * 1_000,
        draw.randint(15, 50) * 1_000,
        draw.randint(60, 200) * 1_000,
    )
    classes = tuple(
        _draw_class(draw, profile, name, size, load * part)
        for name, size, part in zip(("short", "longer", "longest"), tokens, PARTS, strict=True)
    )
    events = tuple(_draw_event(draw, engines) for _ in range(4))
    hosts = draw.choice((4, 9, 15, 18, 30, 60))
    return Scenario(
        f"drawn-{seed}", ZONES, hosts, engines, profile, classes, events, seconds=SECONDS
    )


def _draw_class(
    draw: random.Random, profile: EngineProfile, name: str, tokens: int, load: float
) -> WorkloadClass:
    """Return a class that takes `load` seconds of engine time a second."""
    read = compute_prefill_seconds(profile, tokens)
    answer_events = draw.randint(8, 30)
    one_pass = compute_pass_seconds(profile)
    engine_seconds = read + answer_events * one_pass / profile.slots
    is_short = name == "short"
    objective = (0.2 if is_short else 0.4) + (1.0 if is_short else 1.2) * read + 2 * one_pass
    worth = draw.uniform(0.8, 2.0) if is_short else draw.uniform(4.0, 7.0) * engine_seconds
    return WorkloadClass(
        name,
        load / engine_seconds,
        tokens,
        answer_events * profile.stride_steps,
        objective,
        5 * one_pass if is_short else 5 * one_pass + read / 4,
        12.0,
        worth,
        worth / 4,
    )


def _draw_event(draw: random.Random, engines: int) -> ScenarioEvent:
    kind = draw.choice(
        (EventKind.BURST, EventKind.BURST, EventKind.DRAIN, EventKind.SLOW, EventKind.CRASH)
    )
    return ScenarioEvent(
        kind,
        draw.uniform(2.0, 18.0),
        draw.uniform(2.0, 5.0),
        factor=draw.uniform(1.6, 2.5) if kind is EventKind.BURST else 4.0,
        count=max(1, engines // 8),
        target=draw.choice(ZONES) if kind is EventKind.DRAIN else "",
    )
