"""Guard the effects of one recorded session, byte for byte, against unintended changes.

Run this module to write the golden file after an intended change.
"""

import json
from pathlib import Path

from msgspec import Struct

from marjorambridge.core.events import ShutdownRequested
from marjorambridge.limits.messages import DenialReason
from marjorambridge.requests.events import AttemptEnd, CallerGone

from . import harness as hs

TRACE = "00-0000000000000000000000000000000a-000000000000000b-01"
GOLDEN = Path(__file__).parent / "golden" / "session.json"


def play_session() -> str:
    """Run one session and return its events and effects as JSON.

    The session has a question with a cut stream, a booking, a zone that goes out of service, a
    revoked permit and a shutdown. The question and the booking are traced.
    """
    h = hs.build_harness()
    hs.arrive(h, "question", prefix=(b"\x01" * 8,), prefix_tokens=(10,), trace="question")
    hs.queue(h, 0.3)
    hs.advance(h, 0.3)
    first = hs.start(h).attempt
    hs.chunk(h, first, 0, b"lot ")
    hs.advance(h, 2.0)
    hs.end(h, first, AttemptEnd.CUT)
    hs.advance(h, 0.05)
    second = hs.start(h, "e2").attempt
    hs.chunk(h, second, 2, b"t 12")
    hs.end(h, second, finish="stop", usage={"prompt_tokens": 9, "completion_tokens": 6})
    hs.arrive_with_key(h, "booking", trace=TRACE)
    hs.claim(h)
    hs.deny(h, DenialReason.QUEUE_FULL)
    hs.configure(h, hs.build_configuration(out=("z2",)))
    hs.advance(h, 0.1)
    attempt = hs.start(h, status=201).attempt
    hs.chunk(h, attempt, 0, b"slot 4")
    hs.end(h, attempt)
    hs.settle(h)
    hs.arrive(h, "revoked")
    asked = hs.last_ask(h)
    hs.start(h)
    hs.revoke(h, *asked)
    hs.grant(h, *asked)
    hs.advance(h, 0.1)
    hs.end(h, hs.start(h).attempt)
    hs.arrive(h, "left")
    hs.feed(h, CallerGone(h.now, "left"))
    hs.feed(h, ShutdownRequested(h.now, False))
    hs.advance(h, 3.0)
    hs.arrive(h, "late")
    lines = [json.dumps(encode(entry), ensure_ascii=False) for entry in h.record]
    return "[\n" + ",\n".join(lines) + "\n]\n"


def encode(value):
    """Return a value as JSON types; structures name their type."""
    if isinstance(value, Struct):
        fields = {name: encode(getattr(value, name)) for name in value.__struct_fields__}
        return {"type": type(value).__name__} | fields
    if isinstance(value, dict):
        return {str(key): encode(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value.decode("latin-1") if isinstance(value, bytes) else value


def test_a_whole_session_has_the_recorded_effects():
    assert play_session() == GOLDEN.read_text(encoding="utf-8")


if __name__ == "__main__":
    GOLDEN.write_text(play_session(), encoding="utf-8")
