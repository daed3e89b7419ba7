"""Run the test suite without the cases of KNOWN-RED.txt, and print those cases."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def read_known_red() -> list[str]:
    """Return the test identifiers that KNOWN-RED.txt lists, one per `test:` line."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def run() -> int:
    """Run pytest and return its exit code."""
    known_red = read_known_red()
    for identifier in known_red:
        print(f"known red, not run: {identifier}")
    deselected = [f"--deselect={identifier}" for identifier in known_red]
    command = [sys.executable, "-m", "pytest", "-q", *deselected, *sys.argv[1:]]
    return subprocess.call(command, cwd=ROOT)


if __name__ == "__main__":
    sys.exit(run())
