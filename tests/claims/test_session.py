"""Compare a whole session of claims with its golden file.

``python -m tests.claims.test_session`` rewrites the file.
"""

import json
from pathlib import Path

import msgspec

from marjorambridge.claims import events
from marjorambridge.claims.messages import RecordedAnswer
from marjorambridge.claims.reducer import step
from marjorambridge.claims.state import ClaimSettings, create_state
from marjorambridge.core.effects import Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, Started, TimerFired, ViewApplied
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.timers import TimerTable, pop_due, set_timer
from marjorambridge.core.view import HostEntry, View
from marjorambridge.replication import events as log_events

GOLDEN = Path(__file__).parent / "golden" / "session.json"
KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
WALL = 1_645_557_800.0


def dump(value):
    """Return an event or effect as JSON data that names its type."""
    return {"type": type(value).__name__, **msgspec.to_builtins(value, str_keys=True)}


def run_session():
    """Run one host as replica, leader and client, and return its events and effects."""
    state = create_state(ClaimSettings(), "host-1", 1, ("host-1",), True)
    timers = TimerTable()
    log = []
    record = []

    def process_event(event):
        queue = [event]
        while queue:
            current = queue.pop(0)
            effects = step(state, current)
            record.append({"event": dump(current), "effects": [dump(each) for each in effects]})
            for effect in effects:
                if isinstance(effect, SetTimer):
                    set_timer(timers, effect.key, effect.at)
                elif isinstance(effect, SendMessage):
                    queue.append(MessageReceived(current.now, "host-1", 1, effect.message))
                elif isinstance(effect, Publish):
                    proposed = effect.event
                    if isinstance(proposed, log_events.ProposalRequested):
                        log.append(proposed)
                        queue.append(
                            log_events.EntryCommitted(
                                current.now, 1, len(log), 1, proposed.payload, proposed.proposal
                            )
                        )

    def claim(now, number, fingerprint="f"):
        identity = AttemptId("host-1", 1, number)
        requested = events.ClaimRequested(now, identity, "w", KEY, fingerprint, now + 5, WALL + now)
        process_event(requested)
        return identity

    process_event(Started(0.0))
    process_event(events.WallClockRead(0.0, WALL))
    entry = HostEntry("host-1", 1, "10.0.0.1:7000", "bhuj", "west")
    process_event(ViewApplied(0.0, 1, View(1, {"host-1": entry})))
    claim(0.5, 1)
    process_event(log_events.LeadershipChanged(0.6, 1, "host-1", 1, True))
    for key in pop_due(timers, 0.7):
        process_event(TimerFired(0.7, key))
    claim(0.8, 2)
    process_event(events.ClaimReleaseRequested(0.9, AttemptId("host-1", 1, 1), 5.9))
    third = claim(1.0, 3)
    process_event(ViewApplied(4.0, 2, View(2)))
    claim(4.1, 4)
    answer = RecordedAnswer(201, (("content-type", "text/plain"),), "સ્લોટ 7".encode())
    process_event(events.ClaimCompletionRequested(4.2, third, answer, 9.2))
    claim(5.0, 5)
    claim(5.1, 6, "other")
    process_event(events.ClaimReleaseRequested(5.2, third, 9.2))
    process_event(log_events.SnapshotRequested(6.0, 1))
    process_event(events.WallClockRead(7.0, WALL + 26 * 3600))
    process_event(log_events.LeadershipChanged(7.0, 1, "host-1", 2, True))
    claim(7.1, 7)
    return record


def render():
    lines = [json.dumps(each, ensure_ascii=False) for each in run_session()]
    return "[\n" + ",\n".join(lines) + "\n]\n"


def test_session_equals_golden_file():
    """Guard against unintended changes of any effect or of the encoding of entries."""
    assert render() == GOLDEN.read_text(encoding="utf-8")


if __name__ == "__main__":
    GOLDEN.write_text(render(), encoding="utf-8")
