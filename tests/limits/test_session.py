"""Compare the events and effects of a whole session with its golden file.

``python -m tests.limits.test_session`` writes the file again.
"""

import json
from pathlib import Path

import pytest
from msgspec import Struct

from . import world as worlds
from .world import Engine, World

GOLDEN = Path(__file__).parent / "golden" / "session.json"


def describe(value):
    """Return a value as JSON data that names its structures."""
    if isinstance(value, Struct):
        items = {name: describe(getattr(value, name)) for name in value.__struct_fields__}
        return {"type": type(value).__name__, **items}
    if isinstance(value, dict):
        return {str(key): describe(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [describe(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    return round(value, 6) if isinstance(value, float) else value


def record_session(monkeypatch):
    """Record queueing, a group, a lost holder, a restart, a zone out and a handover."""
    lines = []
    original = worlds.step

    def record(state, event):
        effects = original(state, event)
        if type(event).__name__ != "TimerFired" or len(effects) > 1:
            lines.append(
                {"host": state.host, "event": describe(event), "effects": describe(effects)}
            )
        return effects

    monkeypatch.setattr(worlds, "step", record)
    engines = [Engine("e1", 40_000, 2), Engine("e2", 40_000, 2)]
    world = World(engines=engines, seed=7)
    world.warm_up()
    for number in range(6):
        world.ask(f"c{number % 2}", 2_000, 100, 1.0, workspace=f"w{number % 2}")
    world.run(0.5)
    world.ask("c0", 60_000, 100, 2.0, run=6.0)
    world.ask("c1", 3_000, 100, 30.0, run=2.5)
    world.dead.add("c1")
    world.restart_engine("e1")
    world.run(3.0)
    world.configure(5, out=True)
    world.ask("c0", 1_000, 10, run=0.5)
    world.configure(6)
    world.ask("c0", 1_000, 10, 0.5, run=1.0)
    world.apply_view(7, ["host-a", "host-b"], leaving=[world.owner()])
    world.run(10.0)
    return lines


def test_session_equals_its_golden_file(monkeypatch):
    """Guard against unintended changes of decisions, and against decisions that vary by run."""
    lines = record_session(monkeypatch)
    text = json.dumps(lines)
    kinds = ("Granted", "Queued", "Denied", "Revoked")
    assert all(f'"type": "Permit{kind}"' in text for kind in kinds)
    golden = json.loads(GOLDEN.read_text("utf-8"))
    assert len(lines) == len(golden)
    for number, (line, expected) in enumerate(zip(lines, golden, strict=True), 1):
        assert json.loads(json.dumps(line)) == expected, f"event {number} of {GOLDEN.name}"


if __name__ == "__main__":
    with pytest.MonkeyPatch.context() as patch:
        recorded = [json.dumps(line) for line in record_session(patch)]
    GOLDEN.write_text("[\n" + ",\n".join(recorded) + "\n]\n", encoding="utf-8")
