"""Test long prompts, whose memory is reserved, at engines that are silent for some time."""

import contextlib
import json

import anyio
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.manifests.models import Execution, ServiceDefinition
from tests.forwarding.helpers import PROFILE

from .helpers import (
    SIGNED,
    answer,
    call,
    make_chunk,
    make_head,
    make_manifest,
    make_request,
    run_gateway,
)
from .wires import END_OF_CHUNKS, PLATFORM

# Each prompt needs the memory of two engines.
ENGINES = replace(
    make_manifest(Execution.STREAM, 2, True),
    services=(ServiceDefinition("svc", engine=replace(PROFILE, kv_tokens=100_000)),),
)
LONG_PROMPT = b"X-Token-Usage: 154000,100\r\n"
GRANT = answer(b"200 OK", b"Content-Length: 0\r\n", b"")
EVENT_STREAM = SIGNED + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
LAST = 6


def list_orders(endpoints, op):
    bodies = [
        json.loads(request.partition(b"\r\n\r\n")[2])
        for endpoint in endpoints
        for request in endpoint.requests
        if b"/api/order " in request
    ]
    return [body["id"] for body in bodies if body["op"] == op]


def make_engine(pause_seconds, run_order, ended):
    """Return a script of an engine whose streams are silent once, and which gets orders."""

    async def run(endpoint, stream, head):
        if b"/api/order " in head:
            await run_order(endpoint, stream, head)
            return
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.send(make_head(head, b"200 OK", EVENT_STREAM))
            if not PLATFORM.find_resumption(endpoint.requests[-1]):
                await stream.send(make_chunk(PLATFORM.make_events(1, 3)))
                await anyio.sleep(pause_seconds)
            await stream.send(make_chunk(PLATFORM.make_events(4, LAST)) + b"0\r\n\r\n")
            ended.append(anyio.current_time())

    return run


def test_an_answer_is_not_held_while_memory_is_reserved_for_another_attempt():
    """Guard against the end of a stream that waits for orders of an attempt nobody needs."""
    orders, ended = [], []

    async def answer_first_orders(endpoint, stream, head):
        orders.append(head)
        if len(orders) > 1:
            await anyio.sleep(30)
        await GRANT(endpoint, stream, head)

    pause_seconds = defaults.EVENT_TIMEOUT_SECONDS + 0.2
    engine = make_engine(pause_seconds, answer_first_orders, ended)

    async def scenario():
        async with run_gateway(ENGINES, *[engine] * 16) as harness:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            async with stream:
                await stream.send(make_request(extra=LONG_PROMPT))
                data = b""
                while not data.endswith(END_OF_CHUNKS):
                    data += await stream.receive()
                assert len(list_orders(harness.endpoints, "reserve")) > 1
                assert anyio.current_time() - ended[0] < 0.2
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]

    anyio.run(scenario)


def test_memory_of_both_attempts_is_released():
    """Guard against memory and load that the slower of two attempts leaves behind."""
    engine = make_engine(30.0, GRANT, [])

    async def scenario():
        async with run_gateway(ENGINES, *[engine] * 16) as harness:
            data = await call(harness, make_request(extra=LONG_PROMPT))
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            await anyio.sleep(0.2)
            requests = [r for endpoint in harness.endpoints for r in endpoint.requests]
            assert sum(b"/api/order " not in request for request in requests) == 2
            reserved = list_orders(harness.endpoints, "reserve")
            assert sorted(list_orders(harness.endpoints, "release")) == sorted(reserved)
            for endpoint in harness.gateway.forwarding.endpoints.values():
                load = endpoint.load
                assert (load.requests, load.kv_tokens, load.reads) == (0, 0, 0)

    anyio.run(scenario)


def test_memory_for_another_attempt_is_asked_for_rarely():
    """Guard against orders without end, while no engine has memory for another attempt."""
    rounds, granted = [], set()

    async def refuse_further_memory(endpoint, stream, head):
        order = json.loads(endpoint.requests[-1].partition(b"\r\n\r\n")[2])
        if not rounds or anyio.current_time() - rounds[0] < 0.5:
            granted.add(order["id"])
        if order["op"] == "release" or order["id"] in granted:
            await GRANT(endpoint, stream, head)
        else:
            await answer(b"409 Conflict", b"Content-Length: 0\r\n", b"")(endpoint, stream, head)
        rounds.append(anyio.current_time())

    pause_seconds = defaults.EVENT_TIMEOUT_SECONDS + 1.2
    engine = make_engine(pause_seconds, refuse_further_memory, [])

    async def scenario():
        async with run_gateway(ENGINES, *[engine] * 16) as harness:
            data = await call(harness, make_request(extra=LONG_PROMPT))
            assert PLATFORM.list_items(data) == [1, 2, 3, 4, 5, 6]
            silent_since = rounds[0] + defaults.EVENT_TIMEOUT_SECONDS
            last_round = silent_since + defaults.LONG_PROMPT_WAIT_SECONDS + 0.2
            assert not [at for at in rounds if last_round < at < rounds[0] + pause_seconds - 0.1]

    anyio.run(scenario)
