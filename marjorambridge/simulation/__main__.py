"""Play scenarios in simulated time, and compare variants of the product on them."""

from pathlib import Path

import typer

from marjorambridge.simulation.experiments import PRESENT, compare, play_variant
from marjorambridge.simulation.random_scenarios import generate_scenario
from marjorambridge.simulation.scenarios import Scenario, read_scenario
from marjorambridge.simulation.variants import read_variants

DEFAULT_JOBS = 3
DEFAULT_SEEDS = 20
DRAWN = "drawn"

application = typer.Typer(add_completion=False, no_args_is_help=True)


def _get_scenarios(name: str, seeds: int) -> list[Scenario]:
    """Return the scenario for each seed, beginning with 1."""
    if name == DRAWN:
        return [generate_scenario(seed) for seed in range(1, seeds + 1)]
    return [read_scenario(name)] * seeds


@application.command("play")
def play_one(scenario: str, seed: int = 1) -> None:
    """Play a scenario once and print the outcomes of the requests of each class."""
    played = generate_scenario(seed) if scenario == DRAWN else read_scenario(scenario)
    score = play_variant(played, PRESENT, seed)
    typer.echo(
        f"worth {score.worth:.3f}: worst windows {score.windows:.3f}, whole"
        f" {score.overall:.3f}, worst class {score.worst_class:.3f}"
    )
    for name, outcomes in sorted(score.classes.items()):
        counts = ", ".join(f"{key} {value}" for key, value in sorted(outcomes.items()))
        typer.echo(f"{name}: {counts}")


@application.command("compare")
def compare_variants(
    scenarios: list[str], variants: Path, seeds: int = DEFAULT_SEEDS, jobs: int = DEFAULT_JOBS
) -> None:
    """Print the scores of each variant of a file, and the differences to the present product.

    The scenario "drawn" is a different random one with each seed.
    """
    by_name = {scenario: _get_scenarios(scenario, seeds) for scenario in scenarios}
    for item in compare(by_name, read_variants(variants), jobs):
        mark = "clear" if item.is_clear else ""
        typer.echo(
            f"{item.scenario:16} {item.variant:40} worth {item.worth:.3f}"
            f" {item.mean:+.3f} +- {item.error:.3f}, whole {item.overall:.3f}"
            f" {item.overall_mean:+.3f} +- {item.overall_error:.3f} {mark}"
        )


if __name__ == "__main__":
    application()
