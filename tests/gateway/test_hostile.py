"""Test a gateway against endpoints and callers that send invalid or endless messages."""

import time

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.gateway import answers
from marjorambridge.gateway.events import MAX_COMMENT_BYTES
from marjorambridge.gateway.messages import AnswerMemory, MemoryAllocation
from marjorambridge.manifests.models import CallerLimits, Execution

from .helpers import (
    BROKEN_PIPE,
    SIGNED,
    answer,
    answer_whole,
    call,
    get_status,
    make_chunk,
    make_head,
    make_manifest,
    make_request,
    run_gateway,
    send_repeatedly,
    stream_events,
)
from .wires import over_both_dialects, read_body

# Each test takes less time than the deadline of its request, which is 3 s.
DEADLINE_SECONDS = 3.0
PAUSE_SECONDS = 0.1
IDEMPOTENT = make_manifest(Execution.IDEMPOTENT, 2, False)
STREAM = make_manifest(Execution.STREAM, 2, True)
EVENT_STREAM = SIGNED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
FAILURE = b"Transfer-Encoding: chunked\r\n"


def begin_stream(endpoint, head: bytes) -> bytes:
    events = make_chunk(endpoint.wire.make_events(1, 2))
    return make_head(head, b"200 OK", EVENT_STREAM) + events


def begin_failure(endpoint, head: bytes) -> bytes:
    return make_head(head, b"500 Failed", FAILURE)


def begin_nothing(endpoint, head: bytes) -> bytes:
    return b""


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
ENDLESS_ANSWER_SCRIPTS = {
    "interim answers": send_repeatedly(begin_nothing, INTERIM, 0.0),
    "a head": send_repeatedly(begin_nothing, b"HTTP/1.1 200 OK\r\nX-A: " + b"a" * 1000, 0.0),
    "no protocol": send_repeatedly(begin_nothing, b"\x00\xff" * 500, 0.0),
    "a failure": send_repeatedly(begin_failure, make_chunk(b"x" * 4000), 0.0),
    "a slow failure": send_repeatedly(begin_failure, make_chunk(b"x"), PAUSE_SECONDS),
    "chunk extensions": send_repeatedly(
        lambda endpoint, head: make_head(head, b"200 OK", SIGNED + FAILURE) + b"1",
        b";a=b" * 100,
        0.0,
    ),
}


@over_both_dialects
@pytest.mark.parametrize(
    "script", ENDLESS_ANSWER_SCRIPTS.values(), ids=ENDLESS_ANSWER_SCRIPTS.keys()
)
def test_endless_answer_is_aborted_in_time_for_another_endpoint(script, wire):
    """Guard against endpoints that block a request, or use the CPU, until its deadline."""

    async def scenario():
        scripts = script, answer_whole(b"good")
        async with run_gateway(IDEMPOTENT, *scripts, wire=wire) as harness:
            began = time.monotonic()
            data = await call(harness, make_request(b"GET", b"", wire=wire))
            assert (get_status(data), read_body(data)) == (200, b"good")
            assert time.monotonic() - began < answers.FAILURE_BODY_SECONDS + 0.5
            assert harness.gateway.memory.free_bytes == defaults.ANSWER_MEMORY_BYTES

    anyio.run(scenario)


async def send_end(stream, wire, last):
    end = wire.make_end(last)
    await stream.send((make_chunk(end) if end else b"") + b"0\r\n\r\n")


STALLED_STREAM_SCRIPTS = {
    "comments now and then": send_repeatedly(begin_stream, make_chunk(b": x\n\n"), PAUSE_SECONDS),
    "bytes of an event": send_repeatedly(begin_stream, make_chunk(b"x"), PAUSE_SECONDS),
    "comments without end": send_repeatedly(begin_stream, make_chunk(b": x\n\n" * 50), 0.0),
    "an event without end": send_repeatedly(begin_stream, make_chunk(b"x" * 4000), 0.0),
    "interim answers now and then": send_repeatedly(begin_nothing, INTERIM, PAUSE_SECONDS),
}


@over_both_dialects
@pytest.mark.parametrize(
    "script", STALLED_STREAM_SCRIPTS.values(), ids=STALLED_STREAM_SCRIPTS.keys()
)
def test_stalled_stream_is_resumed_at_another_endpoint(script, wire):
    """Guard against stalled streams that never end, because single bytes keep arriving."""

    async def scenario():
        scripts = script, stream_events(1, 6, "complete")
        async with run_gateway(STREAM, *scripts, wire=wire) as harness:
            data = await call(harness, make_request(wire=wire, streams=True))
            assert get_status(data) == 200
            assert wire.list_items(data) == [1, 2, 3, 4, 5, 6]
            assert b": x" not in data

    anyio.run(scenario)


@over_both_dialects
def test_slow_stream_is_not_aborted(wire):
    """Guard against treating a slow endpoint with comments between events as stalled."""

    async def run(endpoint, stream, head):
        await stream.send(make_head(head, b"200 OK", EVENT_STREAM))
        for number in range(1, 4):
            await stream.send(make_chunk(b": wait\n\n"))
            await anyio.sleep(defaults.EVENT_TIMEOUT_SECONDS * 0.6)
            await stream.send(make_chunk(wire.make_events(number, number)))
        await send_end(stream, wire, 3)

    async def scenario():
        async with run_gateway(STREAM, run, wire=wire) as harness:
            data = await call(harness, make_request(wire=wire, streams=True))
            assert wire.list_items(data) == [1, 2, 3] and wire.is_whole(data)
            assert len(harness.endpoints[0].requests) == 1

    anyio.run(scenario)


@over_both_dialects
def test_limit_of_comment_bytes_applies_between_two_events(wire):
    """Guard against aborting a long stream because of the sum of its comments."""
    comment = b": " + b"x" * (MAX_COMMENT_BYTES // 2) + b"\n\n"

    async def run(endpoint, stream, head):
        await stream.send(make_head(head, b"200 OK", EVENT_STREAM))
        for number in range(1, 6):
            await stream.send(make_chunk(comment))
            await stream.send(make_chunk(wire.make_events(number, number)))
        await send_end(stream, wire, 5)

    async def scenario():
        async with run_gateway(STREAM, run, wire=wire) as harness:
            data = await call(harness, make_request(wire=wire, streams=True))
            assert wire.list_items(data) == [1, 2, 3, 4, 5] and wire.is_whole(data)

    anyio.run(scenario)


def test_all_answers_of_a_host_share_one_memory_limit():
    """Guard against long answers that together use more memory than the host has."""
    size = 8_000_000

    async def run(endpoint, stream, head):
        headers = SIGNED + b"Content-Length: %d\r\n" % size
        try:
            await stream.send(make_head(head, b"200 OK", headers) + b"x" * (size - 1))
            await anyio.sleep(1.0)
            await stream.send(b"x")
        except BROKEN_PIPE:
            return

    async def scenario():
        async with run_gateway(IDEMPOTENT, run, run) as harness:
            memory = harness.gateway.memory
            memory.free_bytes, memory.reserved_bytes = 20_000_000, 5_000_000
            statuses = []

            async def send_one():
                statuses.append(get_status(await call(harness, make_request(b"GET", b""))))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_one)
                tasks.start_soon(send_one)
                while memory.free_bytes > 20_000_000 - 2 * (size - 1):
                    await anyio.sleep(0.01)
                for _ in range(3):
                    tasks.start_soon(send_one)
            assert statuses == [502, 502, 502, 200, 200]
            assert memory.free_bytes == 20_000_000

    anyio.run(scenario)


def test_long_answers_leave_memory_for_short_ones():
    """Guard against a few endless answers that let the short ones of all others fail."""
    memory = AnswerMemory(20_000_000, 5_000_000)
    long_ones = [MemoryAllocation(memory) for _ in range(3)]
    while any(answer.allocate(50_000) for answer in long_ones):
        assert memory.free_bytes >= 0
    short = MemoryAllocation(memory)
    assert short.allocate(50_000)
    assert not short.allocate(50_000)
    for allocation in (*long_ones, short):
        allocation.release()
    assert memory.free_bytes == 20_000_000


@over_both_dialects
def test_answer_is_dropped_if_the_caller_does_not_read(wire):
    """Guard against answers that stay in memory for a caller that never reads."""

    async def scenario():
        body = b"x" * 12_000_000
        async with run_gateway(IDEMPOTENT, answer_whole(body), wire=wire) as harness:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            async with stream:
                await stream.send(make_request(b"GET", b"", wire=wire))
                with anyio.fail_after(DEADLINE_SECONDS + 2.0):
                    while not harness.endpoints[0].requests or harness.server.active:
                        await anyio.sleep(0.05)
            assert harness.gateway.memory.free_bytes == defaults.ANSWER_MEMORY_BYTES

    anyio.run(scenario)


@over_both_dialects
def test_memory_of_a_broken_answer_is_free_for_the_next_attempt(wire):
    """Guard against a second attempt that fails for the memory that the first one filled."""
    body = b"x" * 12_000_000

    async def break_off(endpoint, stream, head):
        whole = SIGNED + b"Content-Length: %d\r\n" % len(body)
        await answer(b"200 OK", whole, body[:-1])(endpoint, stream, head)

    async def scenario():
        async with run_gateway(IDEMPOTENT, break_off, answer_whole(body), wire=wire) as harness:
            harness.gateway.memory = AnswerMemory(20_000_000, 5_000_000)
            data = await call(harness, make_request(b"GET", b"", wire=wire))
            assert get_status(data) == 200
            assert data.endswith(body)
            assert harness.gateway.memory.free_bytes == 20_000_000

    anyio.run(scenario)


def test_body_that_arrives_a_byte_at_a_time_is_refused():
    """Guard against callers that keep a connection open without limit by sending single bytes."""
    limits = CallerLimits(body_bytes=100_000, idle_timeout_seconds=0.6)
    manifest = replace(IDEMPOTENT, limits=limits)

    async def scenario():
        async with run_gateway(manifest, answer_whole(b"good")) as harness:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            async with stream:
                head = b"POST /p/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: a\r\n"
                await stream.send(head + b"Content-Length: 1000\r\n\r\n")
                received = b""
                with anyio.fail_after(DEADLINE_SECONDS):
                    while not received:
                        await stream.send(b"x")
                        with anyio.move_on_after(0.1):
                            received = await stream.receive()
                assert get_status(received) == 408
            assert not harness.endpoints[0].requests

    anyio.run(scenario)
