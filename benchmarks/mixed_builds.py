"""Start the package of a former build or the present one, for trials of upgrades on a bench.

In a scratch copy, ``git archive COMMIT marjorambridge | tar -x -C former`` writes the former
package, and the roles run ``python3 benchmarks/mixed_builds.py gateway`` in place of
``python3 -m marjorambridge.platform gateway``. Variables of the environment:

* ``MIXED_FORMER``: the folder with the former package, in the root of the repository.
* ``MIXED_UNTIL``: the time of day until which the former build is started, in seconds since 1970.
  A process that is started again later runs the present build.
* ``MIXED_FROM``: the time of day from which the former build is started again, for the way back.

A variable that is not set stands for a time that never comes. The product does not use this.
"""

import os
import runpy
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def choose_package(now: float) -> Path:
    """Return the folder with the package to start at a time of day, in seconds since 1970."""
    until, back_at = (float(os.environ.get(n) or "inf") for n in ("MIXED_UNTIL", "MIXED_FROM"))
    return ROOT if until <= now < back_at else ROOT / os.environ["MIXED_FORMER"]


def run() -> None:
    """Run the platform's main module from the package that the time of day chooses."""
    now = time.time()
    package = choose_package(now)
    print(f"package in {package.name} at {now:.1f}", file=sys.stderr, flush=True)
    # The first entry is the folder of this file.
    sys.path[0] = str(package)
    runpy.run_module("marjorambridge.platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    run()
