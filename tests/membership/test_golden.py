"""Compare the events and effects of a whole control session with a golden file.

After an intended change, rewrite the file with ``python -m tests.membership.test_golden``
and review the difference.
"""

import json
import pathlib

import msgspec

from marjorambridge.configuration.commands import SetZoneIn, SetZoneOut
from marjorambridge.core.events import ShutdownRequested
from marjorambridge.membership.events import CommandSubmitted
from tests.configuration.helpers import make_command, make_example_change
from tests.membership.fleet import create_fleet, process_event, run, start

GOLDEN = pathlib.Path(__file__).parent / "golden" / "session.json"


def render(item):
    return {"type": type(item).__name__, **msgspec.to_builtins(item, enc_hook=str)}


def render_effect(effect):
    rendered = render(effect)
    for name in ("event", "message"):
        if not isinstance(rendered.get(name, ""), str):
            rendered[name] = render(getattr(effect, name))
    return rendered


def record_session():
    fleet = create_fleet(hosts=("h1",))
    run(fleet, 1.0)
    site = make_command(1, make_example_change(), base=0)
    for command in (site, make_command(2, SetZoneOut("bhuj")), site):
        process_event(fleet, "h1", CommandSubmitted(fleet.now, command))
    run(fleet, 0.5)
    process_event(
        fleet, "h1", CommandSubmitted(fleet.now, make_command(3, SetZoneIn("bhuj"), base=1))
    )
    process_event(fleet, "h1", ShutdownRequested(fleet.now, False))
    fleet.down.add("h1")
    run(fleet, 3.5)
    start(fleet, "h1", incarnation=2)
    run(fleet, 0.6)
    # The messages of the other replicas are those of r1, so the leader and the host suffice.
    return [
        {"host": name, "event": render_event(event), "effects": [render_effect(e) for e in effects]}
        for name, event, effects in fleet.record
        if name in ("h1", "r1")
    ]


def render_event(event):
    rendered = render(event)
    if "message" in rendered:
        rendered["message"] = render(event.message)
    return rendered


def write_lines(session):
    return "[\n" + ",\n".join(json.dumps(step, sort_keys=True) for step in session) + "\n]\n"


def test_a_control_session_has_the_recorded_effects():
    assert write_lines(record_session()).splitlines() == GOLDEN.read_text().splitlines()


if __name__ == "__main__":
    GOLDEN.write_text(write_lines(record_session()))
