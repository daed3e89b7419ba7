"""Compare variants of the product on the same scenarios and seeds."""

import math
import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from loguru import logger
from msgspec import Struct

from marjorambridge.simulation.play import play
from marjorambridge.simulation.scenarios import Scenario
from marjorambridge.simulation.scoring import Score
from marjorambridge.simulation.variants import Variant, apply_variant

PRESENT = Variant("present")


class Comparison(Struct):
    """Hold the difference of a variant's scores to those of the present product.

    Attributes
    ----------
    worth, overall : float
        Means of the variant's scores, as ratios to the maximum.
    mean, error, overall_mean, overall_error : float
        Means of the differences of both over the seeds, and twice their standard errors.
    """

    scenario: str
    variant: str
    worth: float
    overall: float
    mean: float
    error: float
    overall_mean: float
    overall_error: float

    @property
    def is_clear(self) -> bool:
        """Return whether a mean difference is larger than twice its standard error."""
        return abs(self.mean) > self.error or abs(self.overall_mean) > self.overall_error


def compare(
    scenarios: dict[str, list[Scenario]], variants: list[Variant], jobs: int
) -> Iterator[Comparison]:
    """Play all variants and the present product; yield each comparison once it is complete.

    Parameters
    ----------
    scenarios : dict of str to list of Scenario
        The scenario of each seed, beginning with 1, by name.

    Raises
    ------
    UnknownConstantError
        If a variant names a constant that does not exist, before anything is played.
    """
    for variant in variants:
        with apply_variant(variant):
            pass
    with ProcessPoolExecutor(jobs) as pool:
        present = {name: _submit(pool, played, PRESENT) for name, played in scenarios.items()}
        pending = [
            (name, variant, _submit(pool, played, variant))
            for name, played in scenarios.items()
            for variant in variants
        ]
        for name, futures in present.items():
            scores = [future.result() for future in futures]
            yield _make_comparison(name, PRESENT, scores, scores)
        for name, variant, futures in pending:
            base = [future.result() for future in present[name]]
            yield _make_comparison(name, variant, base, [future.result() for future in futures])


def _submit(pool: ProcessPoolExecutor, scenarios: list[Scenario], variant: Variant) -> list:
    return [
        pool.submit(play_variant, scenario, variant, seed)
        for seed, scenario in enumerate(scenarios, 1)
    ]


def play_variant(scenario: Scenario, variant: Variant, seed: int) -> Score:
    """Play a scenario with changed constants."""
    logger.disable("marjorambridge")
    with apply_variant(variant):
        return play(scenario, seed)


def _make_comparison(
    scenario: str, variant: Variant, base: list[Score], scores: list[Score]
) -> Comparison:
    pairs = list(zip(scores, base, strict=True))
    mean, error = _estimate([score.worth - other.worth for score, other in pairs])
    overall_mean, overall_error = _estimate(
        [score.overall - other.overall for score, other in pairs]
    )
    return Comparison(
        scenario,
        variant.name,
        statistics.fmean(score.worth for score in scores),
        statistics.fmean(score.overall for score in scores),
        mean,
        error,
        overall_mean,
        overall_error,
    )


def _estimate(differences: list[float]) -> tuple[float, float]:
    """Return the mean of differences and twice its standard error."""
    count = len(differences)
    error = 2 * statistics.stdev(differences) / math.sqrt(count) if count > 1 else math.inf
    return statistics.fmean(differences), error
