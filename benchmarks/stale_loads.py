"""Measure how often short requests are sent to a full engine, by the age of the load reports.

``python -m benchmarks.stale_loads`` generates random arrivals, chooses the engine of each by loads
of a given age, and prints the share of the requests that were sent to an engine without a free
slot. Rules for the choice are compared over the same seeds.
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

# Takes the generator, the reported loads and the zone of the host; returns an engine.
Rule = Callable[[random.Random, list[int], int], int]


def choose_least_loaded(sample_size: int, noise: float, other_zone_cost: float) -> Rule:
    """Return the rule of `placement.choose_active_engine`: the least loaded engine of a sample."""

    def choose(generator: random.Random, reported_loads: list[int], zone: int) -> int:
        def compute_sort_key(engine: int) -> tuple[bool, float]:
            load = reported_loads[engine] + generator.random() * noise
            return (
                reported_loads[engine] >= SLOTS,
                load + (engine % ZONES != zone) * other_zone_cost,
            )

        return min(generator.sample(range(ENGINES), sample_size), key=compute_sort_key)

    return choose


def choose_by_free_slots(power: float) -> Rule:
    """Return a rule that chooses engines at random, weighted by a power of their free slots."""

    def choose(generator: random.Random, reported_loads: list[int], zone: int) -> int:
        weights = [max(0, SLOTS - load) ** power for load in reported_loads]
        if not any(weights):
            return min(range(ENGINES), key=reported_loads.__getitem__)
        return generator.choices(range(ENGINES), weights)[0]

    return choose


RULES = {
    "present rule": choose_least_loaded(10, SLOTS - 2, 1.0),
    "half the noise": choose_least_loaded(10, (SLOTS - 2) / 2, 1.0),
    "a quarter of it": choose_least_loaded(10, (SLOTS - 2) / 4, 1.0),
    "two, no noise": choose_least_loaded(2, 0.0, 0.0),
    "by free slots": choose_by_free_slots(1.0),
    "by their square": choose_by_free_slots(2.0),
}


def measure_overflow(rule: Rule, rate: float, age: float, seed: int) -> float:
    """Return the share of the requests that were sent to an engine without a free slot."""
    generator = random.Random(seed)
    loads, reported_loads = [0] * ENGINES, [0] * ENGINES
    endings: list[tuple[float, int]] = []
    reports: list[tuple[float, int, int]] = []
    now, requests, overflows = 0.0, 0, 0
    while now < RUN_SECONDS:
        now += generator.expovariate(rate)
        while endings and endings[0][0] <= now:
            ended_at, engine = heapq.heappop(endings)
            loads[engine] -= 1
            heapq.heappush(reports, (ended_at + age, engine, -1))
        while reports and reports[0][0] <= now:
            _, engine, change = heapq.heappop(reports)
            reported_loads[engine] += change
        engine = rule(generator, reported_loads, generator.randrange(ZONES))
        if now > WARMUP_SECONDS:
            requests += 1
            overflows += loads[engine] >= SLOTS
        loads[engine] += 1
        heapq.heappush(reports, (now + age, engine, 1))
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
