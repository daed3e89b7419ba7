"""Replace the processes of one build by another one, one after the other."""

import random
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from scripts.check_compatibility import export_package

from .processes import ROOT, Process


@dataclass
class Upgrade:
    """Folders of the packages to begin and to end with, and the names of replaced processes."""

    former: Path
    target: Path
    replaced: list[str] = field(default_factory=list)


@dataclass
class Step:
    """The package that a process is to run, and the pause before it is replaced."""

    process: Process
    package: Path
    pause_seconds: float


def make_upgrade(commit: str, folder: Path, is_back: bool) -> Upgrade:
    """Return an upgrade from the build of a commit to the present one, or the way back."""
    folder.mkdir(parents=True)
    export_package(commit, folder)
    return Upgrade(ROOT, folder) if is_back else Upgrade(folder, ROOT)


def plan_steps(seed: int, upgrade: Upgrade, processes: list[Process]) -> list[Step]:
    """Return steps that replace all processes; some seeds go back after a halt, or end with it.

    An upgrade that ends with its halt leaves both builds side by side for the final checks.
    """
    # A separate generator keeps the other faults of a seed as they are.
    generator = random.Random(f"upgrade-{seed}")
    order = generator.sample(processes, len(processes))
    halt_after = generator.randrange(1, len(order))
    longest_pause = generator.choice((0.0, 1.0, 3.0))
    changes = [(process, upgrade.target) for process in order]
    sample = generator.random()
    if sample < 0.6:
        del changes[halt_after:]
    if sample < 0.3:
        changes += [(process, upgrade.former) for process in order[:halt_after][::-1]]
    steps = [Step(*change, generator.uniform(0.0, longest_pause)) for change in changes]
    steps[0].pause_seconds += generator.uniform(0.5, 2.0)
    for step in steps[halt_after : halt_after + 1]:
        step.pause_seconds += generator.uniform(1.0, 3.0)
    return steps


async def replace_builds(soak, upgrade: Upgrade, replace_process) -> None:
    """Replace processes as planned for the seed."""
    for step in plan_steps(soak.seed, upgrade, soak.processes):
        await anyio.sleep(step.pause_seconds)
        await replace_process(soak, step.process, step.package)
        upgrade.replaced.append(step.process.name)
    soak.log_event("the upgrade has ended")
