"""Start the package of a former build or the present one, for trials with two builds on a bench.

Run ``python3 benchmarks/mixed_builds.py gateway`` in place of
``python3 -m marjorambridge.platform gateway``. ``MIXED_FORMER`` names the folder with the package
of the former build, and ``MIXED_UNTIL`` the time of day, in seconds since 1970, until which a
process starts that one, so that a process that is restarted later runs the present build.
``MIXED_FROM``, if set, is the time from which the former build is started again. This program
takes no part in the product.
"""

import os
import runpy
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def choose_package(now: float) -> Path:
    """Return the folder with the package to start at a time of day."""
    until, back_at = (float(os.environ.get(n) or "inf") for n in ("MIXED_UNTIL", "MIXED_FROM"))
    return ROOT if until <= now < back_at else ROOT / os.environ["MIXED_FORMER"]


def run() -> None:
    """Run the platform's main module from the package that the time of day chooses."""
    now = time.time()
    package = choose_package(now)
    print(f"mixed builds: package of {package} at {now:.1f}", file=sys.stderr, flush=True)
    # The first entry is the folder of this file.
    sys.path[0] = str(package)
    runpy.run_module("marjorambridge.platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    run()
