"""Generate random scenarios, to check that a gain does not depend on one deployment."""

import random

from marjorambridge.forwarding.costs import compute_pass_seconds, compute_prefill_seconds
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.simulation.scenarios import EventKind, Scenario, ScenarioEvent, WorkloadClass

ZONES = ("a", "b", "c")
SCENARIO_SECONDS = 24.0
# Share of all engines' time that the load takes outside of bursts.
MIN_LOAD, MAX_LOAD = 0.3, 0.55
# Division of that time among short, longer and the longest prompts.
CLASS_SHARES = (0.55, 0.1, 0.35)


def generate_scenario(seed: int) -> Scenario:
    """Return a scenario with random size, speeds, load and events.

    Examples
    --------
    >>> generate_scenario(3) == generate_scenario(3)
    True
    """
    generator = random.Random(seed)
    engines = generator.randint(8, 60)
    profile = EngineProfile(
        slots=generator.choice((4, 6, 8, 12)),
        kv_tokens=generator.randint(200, 600) * 1_000,
        step_seconds=generator.uniform(0.0005, 0.002),
        sequence_seconds=generator.uniform(0.000005, 0.00002),
        context_seconds=generator.uniform(1e-9, 4e-9),
        read_tokens_per_second=generator.uniform(60_000.0, 250_000.0),
        pair_seconds=generator.uniform(1e-10, 4e-10),
        chunk_tokens=2_048,
        stride_steps=generator.choice((16, 32, 48)),
    )
    load = generator.uniform(MIN_LOAD, MAX_LOAD) * engines
    tokens = (
        generator.randint(1, 8) * 1_000,
        generator.randint(15, 50) * 1_000,
        generator.randint(60, 200) * 1_000,
    )
    classes = tuple(
        _generate_class(generator, profile, name, size, load * share)
        for name, size, share in zip(
            ("short", "longer", "longest"), tokens, CLASS_SHARES, strict=True
        )
    )
    events = tuple(_generate_event(generator, engines) for _ in range(4))
    hosts = generator.choice((4, 9, 15, 18, 30, 60))
    return Scenario(
        f"drawn-{seed}", ZONES, hosts, engines, profile, classes, events, seconds=SCENARIO_SECONDS
    )


def _generate_class(
    generator: random.Random, profile: EngineProfile, name: str, tokens: int, load: float
) -> WorkloadClass:
    """Return a class that takes `load` seconds of engine time a second."""
    prefill_seconds = compute_prefill_seconds(profile, tokens)
    answer_events = generator.randint(8, 30)
    pass_seconds = compute_pass_seconds(profile)
    engine_seconds = prefill_seconds + answer_events * pass_seconds / profile.slots
    is_short = name == "short"
    objective = (
        (0.2 if is_short else 0.4) + (1.0 if is_short else 1.2) * prefill_seconds + 2 * pass_seconds
    )
    worth = (
        generator.uniform(0.8, 2.0) if is_short else generator.uniform(4.0, 7.0) * engine_seconds
    )
    return WorkloadClass(
        name,
        load / engine_seconds,
        tokens,
        answer_events * profile.stride_steps,
        objective,
        5 * pass_seconds if is_short else 5 * pass_seconds + prefill_seconds / 4,
        12.0,
        worth,
        worth / 4,
    )


def _generate_event(generator: random.Random, engines: int) -> ScenarioEvent:
    kind = generator.choice(
        (EventKind.BURST, EventKind.BURST, EventKind.DRAIN, EventKind.SLOW, EventKind.CRASH)
    )
    return ScenarioEvent(
        kind,
        generator.uniform(2.0, 18.0),
        generator.uniform(2.0, 5.0),
        factor=generator.uniform(1.6, 2.5) if kind is EventKind.BURST else 4.0,
        count=max(1, engines // 8),
        target=generator.choice(ZONES) if kind is EventKind.DRAIN else "",
    )
