"""Check types, and that no package gains type errors; `--write` records a lower number of them.

`type_errors.json` has the number of errors of each package that is not free of them.
"""

import argparse
import json
import re
import sys
from collections import Counter
from pathlib import Path

from mypy import api

ROOT = Path(__file__).resolve().parent.parent
KNOWN_ERRORS = ROOT / "scripts" / "type_errors.json"
ERROR_LINE = re.compile(r"marjorambridge/(?:(\w+)/)?.*: error: ")


def count_errors(output: str) -> Counter[str]:
    """Return the number of errors that mypy reports for each package."""
    matches = map(ERROR_LINE.match, output.splitlines())
    return Counter(match[1] or "marjorambridge" for match in matches if match)


def list_faults(known: dict[str, int], found: Counter[str]) -> list[str]:
    """Return a sentence for each package whose number of errors has changed, with its remedy."""
    faults = []
    for package in sorted(known | found):
        before, now = known.get(package, 0), found[package]
        if now > before:
            faults.append(f"{package} has {now} type errors, {before} are known; mend the new ones")
        elif now < before:
            faults.append(f"{package} has {now} type errors, not {before}; run this with --write")
    return faults


def run(arguments: list[str]) -> int:
    """Check all packages and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="record a lower number of errors")
    options = parser.parse_args(arguments)
    output, problem, status = api.run(["--config-file", str(ROOT / "pyproject.toml")])
    if status > 1 or problem:
        print(problem or output)
        return 2
    known, found = json.loads(KNOWN_ERRORS.read_text()), count_errors(output)
    if options.write and all(found[package] <= known.get(package, 0) for package in found):
        KNOWN_ERRORS.write_text(json.dumps(dict(sorted(found.items())), indent=2) + "\n")
        return 0
    faults = list_faults(known, found)
    if faults:
        print(output)
    for fault in faults:
        print(fault)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
