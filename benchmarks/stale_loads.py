"""Show how often short requests meet a full engine, by the age of what hosts know of loads.

``python -m benchmarks.stale_loads`` draws arrivals for engines that the hosts of a fleet choose by
the loads as they were some time ago, and prints the share of the requests that found all places of
their engine taken. Rules for the choice are compared over the same seeds.
"""

import heapq
import random
from collections.abc import Callable

import typer

ENGINES, SLOTS, ZONES = 36, 6, 3
ANSWER_SECONDS = 1.45
RUN_SECONDS, WARMUP_SECONDS = 30.0, 5.0
SEEDS = range(1, 6)
AGES_SECONDS = (0.06, 0.12, 0.25)
RATES_PER_SECOND = (90.0, 115.0)

# Takes the generator, the loads that are known and the zone of the host; returns an engine.
Rule = Callable[[random.Random, list[int], int], int]


def choose_least_loaded(sample_size: int, noise: float, other_zone: float) -> Rule:
    """Return the rule of `placement.choose_active_engine`: the emptiest of some drawn ones."""

    def choose(generator: random.Random, known_loads: list[int], zone: int) -> int:
        def compute_sort_key(engine: int) -> tuple[bool, float]:
            load = known_loads[engine] + generator.random() * noise
            return known_loads[engine] >= SLOTS, load + (engine % ZONES != zone) * other_zone

        return min(generator.sample(range(ENGINES), sample_size), key=compute_sort_key)

    return choose


def choose_by_free_slots(power: float) -> Rule:
    """Return a rule that draws engines by a power of their free places."""

    def choose(generator: random.Random, known_loads: list[int], zone: int) -> int:
        weights = [max(0, SLOTS - load) ** power for load in known_loads]
        if not any(weights):
            return min(range(ENGINES), key=known_loads.__getitem__)
        return generator.choices(range(ENGINES), weights)[0]

    return choose


RULES = {
    "as now": choose_least_loaded(10, SLOTS - 2, 1.0),
    "half the noise": choose_least_loaded(10, (SLOTS - 2) / 2, 1.0),
    "a quarter of it": choose_least_loaded(10, (SLOTS - 2) / 4, 1.0),
    "two drawn, no noise": choose_least_loaded(2, 0.0, 0.0),
    "by room": choose_by_free_slots(1.0),
    "by its square": choose_by_free_slots(2.0),
}


def measure_overflow(rule: Rule, rate: float, age: float, seed: int) -> float:
    """Return the share of the requests that met an engine without a free place."""
    generator = random.Random(seed)
    loads, known_loads = [0] * ENGINES, [0] * ENGINES
    endings: list[tuple[float, int]] = []
    updates: list[tuple[float, int, int]] = []
    now, requests, overflows = 0.0, 0, 0
    while now < RUN_SECONDS:
        now += generator.expovariate(rate)
        while endings and endings[0][0] <= now:
            ended_at, engine = heapq.heappop(endings)
            loads[engine] -= 1
            heapq.heappush(updates, (ended_at + age, engine, -1))
        while updates and updates[0][0] <= now:
            _, engine, change = heapq.heappop(updates)
            known_loads[engine] += change
        engine = rule(generator, known_loads, generator.randrange(ZONES))
        if now > WARMUP_SECONDS:
            requests += 1
            overflows += loads[engine] >= SLOTS
        loads[engine] += 1
        heapq.heappush(updates, (now + age, engine, 1))
        slowdown = max(1.0, loads[engine] / SLOTS)
        seconds = ANSWER_SECONDS * generator.uniform(0.5, 1.5) * slowdown
        heapq.heappush(endings, (now + seconds, engine))
    return overflows / requests


def main() -> None:
    """Print the mean share over all seeds, by rule, rate of arrivals and age."""
    print("requests/s  age (s)  " + "  ".join(f"{name:>19}" for name in RULES))
    for rate in RATES_PER_SECOND:
        for age in AGES_SECONDS:
            shares = [
                sum(measure_overflow(rule, rate, age, seed) for seed in SEEDS) / len(SEEDS)
                for rule in RULES.values()
            ]
            print(f"{rate:10.0f}  {age:7.2f}  " + "  ".join(f"{share:19.3f}" for share in shares))


if __name__ == "__main__":
    typer.run(main)
