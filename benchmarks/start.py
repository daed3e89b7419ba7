"""Measure the processor time of the imports of each role's process.

``python -m benchmarks.start`` prints a table; ``--modules 20`` adds the slowest modules of each
role. A host with a third of a core takes three times as long as the table says.
"""

import os
import re
import resource
import statistics
import subprocess
import sys

import typer

RUNS = 11
PROGRAMS = {
    "interpreter": "pass",
    "asyncio": "import asyncio",
    "gateway": "import marjorambridge.platform.main, marjorambridge.daemon.gateway,"
    " marjorambridge.platform.dialect, marjorambridge.platform.documents,"
    " marjorambridge.platform.readiness",
    "replica": "import marjorambridge.platform.main, marjorambridge.daemon.replica,"
    " marjorambridge.platform.operations",
}
IMPORT_LINE = re.compile(r"import time:\s+(\d+) \|\s+(\d+) \|\s*(\S+)")


def measure_seconds(program: str) -> float:
    """Return the processor time in seconds of a process that runs a program."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", program], check=True, env=_make_environment())
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def list_modules(program: str) -> list[tuple[float, str]]:
    """Return modules with the milliseconds that each took without its own imports."""
    command = [sys.executable, "-X", "importtime", "-c", program]
    output = subprocess.run(command, check=True, capture_output=True, env=_make_environment())
    found = [
        (int(match[1]) / 1_000, match[3]) for match in IMPORT_LINE.finditer(output.stderr.decode())
    ]
    return sorted(found, reverse=True)


def _make_environment() -> dict[str, str]:
    # Compiled modules are used, as they are on a host.
    return {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}


def main(modules: int = 0) -> None:
    """Print the median and minimum of several runs, and the ratio of the median to asyncio's."""
    results: dict[str, list[float]] = {name: [] for name in PROGRAMS}
    for _ in range(RUNS):
        for name, program in PROGRAMS.items():
            results[name].append(measure_seconds(program))
    asyncio_seconds = statistics.median(results["asyncio"])
    for name, seconds in results.items():
        median = statistics.median(seconds)
        print(
            f"{name:12} {median:.3f} s, least {min(seconds):.3f} s, {median / asyncio_seconds:.2f}"
        )
        for milliseconds, module in list_modules(PROGRAMS[name])[:modules]:
            print(f"    {milliseconds:6.1f} ms {module}")


if __name__ == "__main__":
    typer.run(main)
