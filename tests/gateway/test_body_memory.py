"""Test that the bodies of all callers together stay within the memory of a host."""

import time
import tracemalloc

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from marjorambridge.gateway import bodies
from marjorambridge.gateway.bodies import BodyMemory, BodyReservation
from marjorambridge.manifests.models import CallerLimits, Execution

from .helpers import (
    BROKEN_PIPE,
    answer_whole,
    call,
    get_status,
    make_chunk,
    make_manifest,
    make_request,
    read_answer,
    run_gateway,
)
from .wires import find_header

IDEMPOTENT = make_manifest(Execution.IDEMPOTENT, 1, False)
BODY_BYTES = 90_000
PART = b"x" * 50_000


async def hold_body(harness, size, ended, chunked=False):
    """Send a body but for its last byte, and record the answer and the time until then."""
    began = time.monotonic()
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
    async with await anyio.connect_tcp("127.0.0.1", harness.port) as stream:
        try:
            await stream.send(make_request(b"POST", b"", extra=framing + b"\r\n"))
            for start in range(0, size - 1, len(PART)):
                data = PART[: size - 1 - start]
                await stream.send(make_chunk(data) if chunked else data)
            answer = await read_answer(stream)
        except BROKEN_PIPE:
            answer = b""
    ended.append((get_status(answer), time.monotonic() - began, answer))


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
def test_bodies_of_all_callers_share_one_memory(chunked):
    """Guard against callers whose bodies together take more memory than a host has."""
    large, callers = 4_000_000, 24
    manifest = replace(IDEMPOTENT, limits=CallerLimits(header_bytes=4096, body_bytes=large))
    ended = []

    async def scenario():
        async with run_gateway(manifest, answer_whole(b"good")) as harness:
            memory = harness.server.memory
            tracemalloc.start()
            async with anyio.create_task_group() as tasks:
                for _ in range(callers):
                    tasks.start_soon(hold_body, harness, large, ended, chunked)
                await anyio.sleep(0.5)
                for _ in range(5):
                    assert get_status(await call(harness, make_request())) == 200
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                tasks.cancel_scope.cancel()
        assert peak < 2 * memory.size < callers * large / 2
        assert memory.used == 0

    anyio.run(scenario)


def test_a_request_without_room_for_its_body_is_refused_as_not_run():
    """Guard against a request that waits for memory until its deadline, or that is cut."""
    ended = []

    async def scenario():
        async with run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness:
            memory = harness.server.memory = BodyMemory(3 * BODY_BYTES)
            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(hold_body, harness, BODY_BYTES, ended)
                await anyio.sleep(0.8)
                assert memory.used <= memory.size
                assert get_status(await call(harness, make_request())) == 200
                tasks.cancel_scope.cancel()
        refused = [item for item in ended if item[0] == 503]
        assert len(refused) >= 7
        for _, seconds, answer in refused:
            assert seconds < bodies.MAX_WAIT_SECONDS + 0.2
            assert 0 < float(find_header(answer.partition(b"\r\n\r\n")[0], b"retry-after")) <= 1
        assert not harness.endpoints[0].requests[1:]

    anyio.run(scenario)


def test_a_body_that_stalls_makes_room_for_a_whole_one():
    """Guard against callers that keep the memory of a host by sending nothing."""
    ended = []

    async def scenario():
        async with run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness:
            harness.server.memory = BodyMemory(2 * BODY_BYTES)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hold_body, harness, BODY_BYTES, ended)
                await anyio.sleep(bodies.STALL_SECONDS + 0.1)
                assert not ended
                data = await call(harness, make_request(body=b"y" * BODY_BYTES))
                assert get_status(data) == 200
                await anyio.sleep(0.1)
                assert [item[0] for item in ended] == [408]

    anyio.run(scenario)


def test_a_slow_body_is_read_while_there_is_room():
    """Guard against a limit that ends sound callers although nobody needs their memory."""

    async def scenario():
        async with (
            run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness,
            await anyio.connect_tcp("127.0.0.1", harness.port) as stream,
        ):
            await stream.send(make_request(b"POST", b"", extra=b"Content-Length: 3\r\n"))
            for _ in range(3):
                await anyio.sleep(bodies.STALL_SECONDS * 0.6)
                await stream.send(b"x")
            assert get_status(await read_answer(stream)) == 200

    anyio.run(scenario)


def test_a_body_of_which_nothing_arrives_ends_at_the_idle_limit():
    """Guard against a long body whose caller keeps its memory for minutes by sending nothing."""
    limits = CallerLimits(header_bytes=4096, body_bytes=100_000, idle_timeout_seconds=0.5)
    ended = []

    async def scenario():
        async with run_gateway(
            replace(IDEMPOTENT, limits=limits), answer_whole(b"good")
        ) as harness:
            await hold_body(harness, BODY_BYTES, ended)
        assert ended[0][0] == 408
        assert ended[0][1] < 1.0

    anyio.run(scenario)


def test_a_body_that_is_too_long_is_refused_before_it_is_read():
    """Guard against memory for a body that is refused in the end."""

    async def scenario():
        async with (
            run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness,
            await anyio.connect_tcp("127.0.0.1", harness.port) as stream,
        ):
            extra = b"Content-Length: 5000000000\r\n"
            await stream.send(make_request(b"POST", b"", extra=extra))
            assert get_status(await read_answer(stream)) == 413
            assert harness.server.memory.used == 0

    anyio.run(scenario)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 200_000), st.booleans()), max_size=60))
def test_the_sum_of_all_reservations_never_exceeds_the_memory(steps):
    """Guard against memory that is counted twice, or never freed."""
    memory = BodyMemory(500_000)
    held = [BodyReservation(memory) for _ in range(10)]
    for number, size, is_released in steps:
        if is_released:
            bodies.release(held[number])
        else:
            before = held[number].size
            assert bodies.extend(held[number], size) == (held[number].size == before + size)
        assert memory.used == sum(item.size for item in held) <= memory.size
    for item in held:
        bodies.release(item)
    assert memory.used == 0


def test_the_largest_body_that_stalls_makes_room_first():
    """Guard against many small callers that lose their requests for one large one."""
    memory = BodyMemory(500_000)
    sizes = (10_000, 300_000, 50_000)
    held = [BodyReservation(memory) for _ in sizes]
    for item, size in zip(held, sizes, strict=True):
        assert bodies.extend(item, size)
        bodies.start_reading(item, 10.0)
    bodies.record_bytes(held[1], 20_000, 10.9)
    bodies.revoke_one(memory, 11.5)
    assert list(memory.reading.values()) == [held[0], held[1]]
    bodies.revoke_one(memory, 10.0 + bodies.MAX_READ_SECONDS)
    assert list(memory.reading.values()) == [held[0]]


def test_a_workspace_that_holds_too_much_memory_is_refused_as_not_run():
    """Guard against slow requests of one workspace, with which a host has no memory for others."""
    body = b"x" * BODY_BYTES

    async def scenario():
        async with run_gateway(IDEMPOTENT, answer_whole(b"good")) as harness:
            state, memory = harness.gateway.forwarding, harness.server.memory
            request, memory.held["team"] = make_request(b"POST", body), memory.size // 2
            assert get_status(await call(harness, request)) == 200
            state.planned = frozenset({"svc"})
            answer = await call(harness, request)
            assert get_status(answer) == 503 and find_header(answer, b"retry-after")
            assert len(harness.endpoints[0].requests) == 1
            memory.held.clear()
            assert get_status(await call(harness, request)) == 200
            await anyio.sleep(0.05)
            assert not memory.held and not state.usage.own and not harness.gateway.memory.held

    anyio.run(scenario)
