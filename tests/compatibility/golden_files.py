"""Read and write golden files: the samples of one build with their bytes and values."""

import json
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"
# Samples of the present build that differ from those of the last landing.
PRESENT = FOLDER / "present.json"


def read_golden(path):
    return json.loads(path.read_text(encoding="utf-8"))


def list_landings():
    """Return the golden files of landings, the oldest first."""
    landings = [read_golden(path) for path in FOLDER.glob("*.json") if path != PRESENT]
    return sorted(landings, key=lambda landing: landing["date"])


def read_last():
    return list_landings()[-1]


def find_changed(landed, samples):
    """Return the names of the samples that a landing lacks or wrote with other bytes."""
    return [
        name
        for name, sample in samples.items()
        if name not in landed or landed[name]["bytes"] != sample["bytes"]
    ]


def write_golden(path, commit, date, samples):
    lines = [f"{json.dumps(name)}: {json.dumps(sample)}" for name, sample in samples.items()]
    text = ",\n".join(lines)
    head = f'{{"commit": {json.dumps(commit)}, "date": {json.dumps(date)}, "samples": {{'
    path.write_text(f"{head}\n{text}\n}}}}\n", encoding="utf-8")
