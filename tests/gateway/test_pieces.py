"""Test that bodies in many small pieces cost other requests no time."""

import time

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.gateway.events import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PIECES,
    EventOrderError,
    StreamCursor,
    extract_events,
)
from marjorambridge.gateway.pieces import (
    DELAYED_PIECES_PER_SECOND,
    PIECES_PER_TURN,
    PieceCount,
    PieceLimit,
    handle_piece,
    reserve_turn,
)
from marjorambridge.http.streams import EventBuffer, parse_events
from marjorambridge.manifests.models import Execution

from .helpers import (
    BROKEN_PIPE,
    SIGNED,
    answer_whole,
    call,
    get_status,
    make_chunk,
    make_head,
    make_manifest,
    make_request,
    run_gateway,
    send_repeatedly,
)
from .wires import find_header

IDEMPOTENT = make_manifest(Execution.IDEMPOTENT, 1, False)
RESUMABLE = make_manifest(Execution.STREAM, 2, True)
# Bound of the pages for an answer after the timeout of its route; none of these may come near it.
SLOW_SECONDS = 0.5
SHORT_EVENTS = st.lists(
    st.sampled_from([b"id: 1\ndata: a\n\n", b"data: b\r\n\r\n", b": c\n\n", b"\n", b"\r\n", b"d"]),
    max_size=8,
).map(b"".join)


def split(data, cuts):
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[one:other] for one, other in zip(bounds, bounds[1:], strict=False)]


def split_naively(data):
    """Return the events but for comments, and the rest."""
    events, rest = b"", b""
    for byte in data:
        rest += bytes([byte])
        if rest.endswith((b"\n\n", b"\n\r\n")):
            lines = rest.replace(b"\r", b"").split(b"\n")
            events += b"" if all(not line or line[:1] == b":" for line in lines) else rest
            rest = b""
    return events, rest


@given(SHORT_EVENTS, st.lists(st.integers(0, 200), max_size=12))
def test_events_do_not_depend_on_the_pieces_in_which_they_arrive(data, cuts):
    """Guard against an event that is missed, because its end is cut between two pieces."""

    def read(pieces):
        cursor = StreamCursor()
        events = b"".join(extract_events(cursor, piece) for piece in pieces)
        return events, bytes(cursor.buffer)

    def read_plain(pieces):
        buffer = EventBuffer()
        return [event for piece in pieces for event in parse_events(buffer, piece)]

    data = data.replace(b"id: 1\n", b"")
    assert read(split(data, cuts)) == read([data]) == split_naively(data)
    assert read_plain(split(data, cuts)) == read_plain([data])


def test_each_byte_of_an_event_is_searched_once():
    """Guard against work that grows with the square of the length of an event."""
    cursor = StreamCursor()
    for number in range(1, MAX_EVENT_PIECES):
        assert extract_events(cursor, b"x" * 50) == b""
        assert cursor.searched == len(cursor.buffer) == 50 * number


def test_an_event_in_too_many_pieces_is_invalid():
    """Guard against an event without end that occupies a host until the caller's deadline."""
    cursor = StreamCursor()
    with pytest.raises(EventOrderError, match="pieces"):
        for _ in range(MAX_EVENT_BYTES):
            extract_events(cursor, b"x")
    assert len(cursor.buffer) == MAX_EVENT_PIECES + 1
    sound = StreamCursor()
    event = b"id: 7\ndata: " + b"y" * 900 + b"\n\n"
    for _ in range(3):
        for byte in event[:-1]:
            assert extract_events(sound, bytes([byte])) == b""
        extract_events(sound, event[-1:])
        assert not sound.buffer
        sound.last_event = None


def test_a_connection_gives_way_to_other_tasks():
    """Guard against a peer whose pieces keep the event loop until all of them are handled."""
    turns = []

    async def count_turns():
        while True:
            turns.append(1)
            await anyio.lowlevel.checkpoint()

    async def scenario():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(count_turns)
            count = PieceCount()
            for _ in range(10 * PIECES_PER_TURN):
                await handle_piece(count, 1)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert len(turns) >= 10


def test_small_pieces_of_all_bodies_share_one_rate():
    """Guard against many such peers, which together would take the whole processor."""
    limit, now, handled = PieceLimit(), 5.0, 0
    delays = [0.0] * 20
    while now < 7.0:
        for number, due in enumerate(delays):
            if due <= now:
                count = PieceCount(limit, pieces=10_000, size=10_000)
                delays[number] = now + reserve_turn(count, now)
                handled += PIECES_PER_TURN
        now += 0.001
    allowed = 2.0 * DELAYED_PIECES_PER_SECOND + 20 * PIECES_PER_TURN
    assert allowed / 2 < handled <= allowed


@pytest.mark.parametrize("size", [16, 1_460, 65_536])
def test_bodies_in_pieces_of_usual_size_are_not_delayed(size):
    """Guard against a slow answer of an endpoint that writes short events one by one."""
    for pieces in (PIECES_PER_TURN, 10_000, 1_000_000):
        assert reserve_turn(PieceCount(pieces=pieces, size=pieces * size), 5.0) == 0.0


def flood(headers, piece):
    """Return a script that answers with pieces without end, as fast as they are read."""
    headers = SIGNED + headers + b"Transfer-Encoding: chunked\r\n"
    return send_repeatedly(
        lambda endpoint, head: make_head(head, b"200 OK", headers), make_chunk(piece) * 10_000, 0.0
    )


async def call_others(harness, seconds):
    """Call the second endpoint again and again; return the longest time of an answer."""
    longest, ends_at = 0.0, time.monotonic() + seconds
    while time.monotonic() < ends_at:
        began = time.monotonic()
        with anyio.fail_after(5.0):
            data = await call(harness, make_request(b"GET", b"", extra=b"X-Sound: 1\r\n"))
        assert get_status(data) == 200
        longest = max(longest, time.monotonic() - began)
        await anyio.sleep(0.01)
    return longest


def or_sound(script):
    """Return a script that answers requests of `call_others` properly."""

    def run(endpoint, stream, head):
        is_sound = find_header(head, b"x-sound")
        return (answer_whole(b"good") if is_sound else script)(endpoint, stream, head)

    return run


EVENTS = b"Content-Type: text/event-stream\r\n"


@pytest.mark.parametrize(
    ("manifest", "headers", "piece"),
    [
        (RESUMABLE, EVENTS, b"x"),
        (RESUMABLE, EVENTS, b"\n"),
        (IDEMPOTENT, b"", b"x"),
    ],
    ids=["event", "lines", "body"],
)
def test_a_flood_of_small_pieces_does_not_delay_other_requests(manifest, headers, piece):
    """Guard against endpoints whose bytes in single chunks stop a host for all its callers."""
    script = or_sound(flood(headers, piece))

    async def scenario():
        async with run_gateway(manifest, script) as harness:
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(call, harness, make_request(b"GET", b""))
                await anyio.sleep(0.05)
                longest = await call_others(harness, 1.5)
                tasks.cancel_scope.cancel()
            assert longest < SLOW_SECONDS

    anyio.run(scenario)


def test_a_caller_that_sends_single_bytes_does_not_delay_other_requests():
    """Guard against a caller whose body in chunks of one byte stops a host for all others."""
    head = make_request(b"POST", b"", extra=b"Transfer-Encoding: chunked\r\n")

    async def send_flood(harness):
        async with await anyio.connect_tcp("127.0.0.1", harness.port) as stream:
            try:
                await stream.send(head)
                while True:
                    await stream.send(make_chunk(b"x") * 10_000)
            except BROKEN_PIPE:
                return

    async def scenario():
        async with run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness:
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(send_flood, harness)
                await anyio.sleep(0.05)
                longest = await call_others(harness, 1.5)
                tasks.cancel_scope.cancel()
            assert longest < SLOW_SECONDS

    anyio.run(scenario)
