"""Check that this build and an earlier one read each other's messages and stored records.

    python scripts/check_compatibility.py COMMIT...           compare with the builds of commits
    python scripts/check_compatibility.py --write COMMIT...   write their golden files
    python scripts/check_compatibility.py --write-present     write that of the present build

The package of a commit comes from the history of the repository and runs in a process of its own.
The golden file of the present build has only the samples that differ from those of the last landing
with a golden file.
"""

import argparse
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.compatibility.golden_files import (  # noqa: E402
    FOLDER,
    PRESENT,
    find_changed,
    read_last,
    write_golden,
)
from tests.compatibility.samples import find_differences  # noqa: E402

Samples = dict[str, Any]


def export_package(commit: str, folder: Path) -> None:
    """Write the package and the templates of the settings of a commit into a folder."""
    command = ["git", "archive", "--format=tar", commit, "marjorambridge", "deploy"]
    archive = subprocess.run(command, cwd=ROOT, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")


def run_samples(folder: Path, command: str, samples: Samples | None = None) -> Samples:
    """Write or read samples with the package in a folder, in a process of its own."""
    result = subprocess.run(
        [sys.executable, "-m", "tests.compatibility.samples", command],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": os.pathsep.join((str(folder), str(ROOT)))},
        input=json.dumps(samples),
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    output = json.loads(result.stdout)
    if Path(output["package"]).parent != folder.resolve():
        raise RuntimeError(f"{output['package']} was imported instead of the package in {folder}")
    return output["samples"]


def describe_reading(
    written: Samples, read: Samples, is_reader_older: bool
) -> tuple[list[str], list[str]]:
    """Return the names that the reader doesn't know, and a sentence for each fault."""
    unknown = [name for name, result in read.items() if "unknown" in result]
    faults = [f"{name}: {result['error']}" for name, result in read.items() if "error" in result]
    for name, result in read.items():
        if "value" in result:
            differences = find_differences(
                written[name]["value"], result["value"], is_reader_older=is_reader_older
            )
            faults += [f"{name}{difference}" for difference in differences]
    return unknown, faults


def check_commit(commit: str) -> bool:
    """Print what this build and that of a commit read of each other; return if all is read."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        export_package(commit, folder)
        present, former = run_samples(ROOT, "write"), run_samples(folder, "write")
        older = run_samples(folder, "read", present)
        directions = [
            (f"{commit} reads the present build", present, older, True),
            (f"the present build reads {commit}", former, run_samples(ROOT, "read", former), False),
        ]
    succeeded = True
    for title, written, read, is_reader_older in directions:
        unknown, faults = describe_reading(written, read, is_reader_older)
        count = len(written) - len(unknown)
        print(f"{title}: {count} of {len(written)} samples known, {len(faults)} faults")
        for line in [*(f"unknown: {name}" for name in unknown), *faults]:
            print(f"  {line}")
        succeeded &= not faults
    return succeeded


def write_commit(commit: str) -> None:
    """Write the golden file of a commit."""
    command = ["git", "show", "--no-patch", "--format=%cI", commit]
    date = subprocess.run(command, cwd=ROOT, check=True, capture_output=True, text=True).stdout
    with tempfile.TemporaryDirectory() as name:
        export_package(commit, Path(name))
        samples = run_samples(Path(name), "write")
    write_golden(FOLDER / f"{commit}.json", commit, date.strip(), samples)


def write_present() -> None:
    """Write the samples of this build that differ from those of the last landing."""
    samples = run_samples(ROOT, "write")
    changed = {name: samples[name] for name in find_changed(read_last()["samples"], samples)}
    write_golden(PRESENT, "", "", changed)


def run(arguments: list[str]) -> int:
    """Check or write, and return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("commits", nargs="*", help="commits of landings")
    parser.add_argument("--write", action="store_true", help="write golden files of commits")
    parser.add_argument("--write-present", action="store_true", help="write that of this build")
    options = parser.parse_args(arguments)
    if options.write_present:
        write_present()
        return 0
    if options.write:
        for commit in options.commits:
            write_commit(commit)
        return 0
    results = [check_commit(commit) for commit in options.commits]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
