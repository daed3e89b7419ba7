"""Test that the bytes of peers leave time for other requests."""

import time

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.conf import defaults
from marjorambridge.gateway.bodies import (
    MAX_WAIT_SECONDS,
    BodyMemory,
    BodyReservation,
    extend,
    release,
)
from marjorambridge.gateway.events import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PIECES,
    EventOrderError,
    StreamCursor,
    extract_events,
)
from marjorambridge.gateway.work import (
    FREE_SECONDS,
    IDLE_WORK_DECREASE,
    MAX_IDLE_WORK_SECONDS,
    MAX_PEERS,
    PIECES_PER_PROGRESS,
    PIECES_PER_TURN,
    SAVED_SECONDS,
    SHARED_RATIO,
    IdleWorkError,
    WorkBudget,
    WorkMeter,
    finish_piece,
    settle,
    start_turn,
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

EVENTS = b"Content-Type: text/event-stream\r\n"
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
            meter = WorkMeter(WorkBudget())
            start_turn(meter)
            for _ in range(10 * PIECES_PER_TURN):
                await finish_piece(meter, False)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert len(turns) >= 10


def test_messages_together_take_a_bounded_part_of_a_processor():
    """Guard against many such peers, which together would take the whole processor."""
    budget, now, taken, turn = WorkBudget(), 5.0, 0.0, 0.002
    due = [0.0] * 20
    meters = [WorkMeter(budget, used=FREE_SECONDS) for _ in due]
    while now < 7.0:
        for number, meter in enumerate(meters):
            if due[number] <= now:
                meter.pieces = PIECES_PER_TURN
                due[number] = now + settle(meter, turn, now)
                taken += turn
        now += 0.001
    allowed = 2.0 * SHARED_RATIO + SAVED_SECONDS + 20 * turn
    assert allowed / 2 < taken <= allowed


@pytest.mark.parametrize("pieces", [1, PIECES_PER_PROGRESS, 10 * PIECES_PER_PROGRESS])
def test_forwarded_events_in_usual_pieces_are_not_delayed(pieces):
    """Guard against a sound stream that waits for a share beside endpoints that send too much."""
    budget = WorkBudget(free_at=100.0)
    meter = WorkMeter(budget, "10.0.0.1:80", is_buffered=False, used=1.0)
    for _ in range(100):
        meter.pieces = pieces
        meter.progress = -(-pieces // PIECES_PER_PROGRESS)
        assert settle(meter, 0.01, 5.0) == 0.0
    assert budget.free_at == 100.0 and not budget.peers


def test_short_messages_are_not_delayed():
    """Guard against answers of sound endpoints that wait for a share although they are short."""
    budget = WorkBudget(free_at=100.0)
    meter = WorkMeter(budget, "10.0.0.1:80", pieces=1, progress=1)
    assert settle(meter, FREE_SECONDS / 2, 5.0) == settle(meter, FREE_SECONDS / 2, 5.0) == 0.0
    assert settle(meter, FREE_SECONDS / 2, 5.0) > 0.0


def test_an_endpoint_without_progress_is_given_up_for_all_attempts():
    """Guard against attempt after attempt at an endpoint that sends nothing valid."""
    budget, address = WorkBudget(), "10.0.0.1:80"
    first = WorkMeter(budget, address, pieces=64, used=FREE_SECONDS)
    with pytest.raises(IdleWorkError):
        for _ in range(100):
            settle(first, 0.001, 5.0)
    assert first.used <= FREE_SECONDS + MAX_IDLE_WORK_SECONDS + 0.002
    with pytest.raises(IdleWorkError):
        settle(WorkMeter(budget, address, pieces=64), 0.0001, 5.0)
    settle(WorkMeter(budget, "10.0.0.2:80", pieces=64), 0.0001, 5.0)
    # Neither waiting for the head of an answer nor a slow endpoint counts.
    settle(WorkMeter(budget, address), 0.0001, 5.0)
    settle(WorkMeter(budget, address, pieces=1, used=FREE_SECONDS), 0.0001, 5.0)
    later = 5.0 + MAX_IDLE_WORK_SECONDS / IDLE_WORK_DECREASE
    settle(WorkMeter(budget, address, pieces=64), 0.0001, later)


def test_progress_clears_an_endpoint():
    """Guard against a sound endpoint that is given up for the sum of its keepalive comments."""
    budget, address = WorkBudget(), "10.0.0.1:80"
    for _ in range(100):
        idle = WorkMeter(budget, address, pieces=64, used=FREE_SECONDS)
        settle(idle, MAX_IDLE_WORK_SECONDS * 0.9, 5.0)
        settle(WorkMeter(budget, address, pieces=1, progress=1), 0.0001, 5.0)
    assert not budget.peers


def test_endpoints_that_are_gone_are_forgotten():
    """Guard against memory that grows with each endpoint that ever sent too much."""
    budget = WorkBudget()
    for number in range(20 * MAX_PEERS):
        meter = WorkMeter(budget, str(number), pieces=64, used=FREE_SECONDS)
        settle(meter, 0.001, 5.0 + number)
    assert len(budget.peers) <= MAX_PEERS + 1


async def keep_busy():
    """Use the processor in short turns."""
    while True:
        ends_at = time.thread_time() + 0.002
        while time.thread_time() < ends_at:
            pass
        await anyio.lowlevel.checkpoint()


def test_a_silent_endpoint_is_not_charged_for_the_work_of_others(monkeypatch):
    """Guard against a stream that is delayed, because the host was busy while it was silent."""
    monkeypatch.setattr("marjorambridge.gateway.stalls.choose_endpoint", lambda *arguments: None)
    silent_seconds = defaults.EVENT_TIMEOUT_SECONDS + 4 * defaults.STALL_CHECK_INTERVAL_SECONDS

    async def pause(endpoint, stream, head):
        begin = make_head(head, b"200 OK", SIGNED + EVENTS + b"Connection: close\r\n")
        event = endpoint.wire.make_events(2, 2)
        await stream.send(begin + endpoint.wire.make_events(1, 1))
        await anyio.sleep(0.05)
        await stream.send(event[:2])
        await anyio.sleep(silent_seconds)
        await stream.send(event[2:])

    async def scenario():
        async with run_gateway(RESUMABLE, pause) as harness:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keep_busy)
                assert b"id: 2" in await call(harness, make_request())
                tasks.cancel_scope.cancel()
            assert harness.gateway.work.free_at < time.monotonic()

    anyio.run(scenario)


def test_a_body_that_waits_for_memory_is_not_charged_for_the_work_of_others():
    """Guard against a body that is delayed, because the host was busy while it waited."""

    async def scenario():
        async with run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness:
            memory = harness.server.memory = BodyMemory(100_000)
            holder = BodyReservation(memory)
            assert extend(holder, 60_000)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keep_busy)
                tasks.start_soon(call, harness, make_request(body=b"x" * 70_000))
                await anyio.sleep(MAX_WAIT_SECONDS / 2)
                release(holder)
                await anyio.sleep(MAX_WAIT_SECONDS / 2)
                tasks.cancel_scope.cancel()
            assert harness.endpoints[0].requests
            assert harness.server.work.free_at < time.monotonic()

    anyio.run(scenario)


def flood(headers, piece):
    """Return a script that answers with pieces without end, as fast as they are read."""
    headers = SIGNED + headers + b"Transfer-Encoding: chunked\r\n"
    return send_repeatedly(
        lambda endpoint, head: make_head(head, b"200 OK", headers),
        make_chunk(piece) * (1 + 50_000 // len(piece)),
        0.0,
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


FLOODS = {
    "event": (RESUMABLE, EVENTS, b"x"),
    "lines": (RESUMABLE, EVENTS, b"\n"),
    "empty events": (RESUMABLE, EVENTS, b"\n\n"),
    "many lines": (RESUMABLE, EVENTS, b"\n" * 60_000),
    "starts of events": (RESUMABLE, EVENTS, b"id: 1\n"),
    "comments": (RESUMABLE, EVENTS, b":\n\n"),
    "body": (IDEMPOTENT, b"", b"x"),
    "body in large pieces": (IDEMPOTENT, b"", b"x" * 60_000),
}


@pytest.mark.parametrize(("manifest", "headers", "piece"), FLOODS.values(), ids=FLOODS.keys())
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
