"""Test how connections of callers end."""

import asyncio
import socket
import time

import anyio
import pytest
from anyio.abc import SocketStream
from msgspec.structs import replace

from marjorambridge.gateway import callers
from marjorambridge.gateway.callers import close_idle_connections, close_server, drain_server
from marjorambridge.manifests.models import CallerLimits, Execution
from marjorambridge.transport.reading import limit_reading_ahead

from .helpers import (
    GatewayHarness,
    answer_whole,
    get_status,
    make_manifest,
    make_request,
    read_answer,
    run_gateway,
)
from .wires import read_body

MANIFEST = replace(
    make_manifest(Execution.IDEMPOTENT, attempts=2, resumable=False),
    limits=CallerLimits(header_bytes=4096, body_bytes=100_000),
)
SMALL_BUFFER_BYTES = 4096


async def connect_with_small_buffer(
    port: int, size: int = SMALL_BUFFER_BYTES, ip: str = "127.0.0.1"
) -> SocketStream:
    """Connect as a caller that reads only when it receives, and whose window is small."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    raw.connect((ip, port))
    raw.setblocking(False)
    stream = await SocketStream.from_socket(raw)
    limit_reading_ahead(stream)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    return stream


async def wait_until_answered(harness: GatewayHarness) -> None:
    with anyio.fail_after(5):
        while not harness.endpoints[0].requests or harness.server.active:
            await anyio.sleep(0.01)


def test_the_end_of_the_process_leaves_an_answer_that_the_caller_still_receives():
    """Guard against a reset that discards the end of an answer, when no request is left."""
    body = b"x" * 60_000

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(body)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(make_request())
                await wait_until_answered(harness)
                harness.server.closing = True
                close_idle_connections(harness.server)
                close_server(harness.server)
                await anyio.sleep(0.2)
                data = await read_answer(stream)
                assert (get_status(data), len(read_body(data))) == (200, len(body))

    anyio.run(scenario)


def connect(port: int, data: bytes = b"") -> socket.socket:
    """Connect, and send some data, before the event loop runs again."""
    raw = socket.create_connection(("127.0.0.1", port))
    raw.sendall(data)
    raw.setblocking(False)
    return raw


def test_connections_that_wait_to_be_accepted_are_served_when_the_server_stops():
    """Guard against a reset of requests that were sent before the listener was closed."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"ok")) as harness:
            harness.server.closing = True
            connections = [connect(harness.port, make_request()) for _ in range(30)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(drain_server, harness.server, time.monotonic() + 5)
                for raw in connections:
                    async with await SocketStream.from_socket(raw) as stream:
                        assert get_status(await read_answer(stream)) == 200

    anyio.run(scenario)


def test_a_request_that_was_not_read_yet_is_served_when_idle_connections_are_closed():
    """Guard against requests on a kept connection that are dropped when a server stops."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"ok")) as harness:
            connections = [connect(harness.port, make_request()) for _ in range(30)]
            streams = [await SocketStream.from_socket(raw) for raw in connections]
            for stream in streams:
                assert get_status(await read_answer(stream)) == 200
            harness.server.closing = True
            for raw in connections:
                raw.sendall(make_request())
            await drain_server(harness.server, time.monotonic() + 5)
            close_server(harness.server)
            for stream in streams:
                assert get_status(await read_answer(stream)) == 200
                await stream.aclose()

    anyio.run(scenario)


def test_a_request_that_arrives_as_the_idle_time_ends_is_served():
    """Guard against a request that the event loop has not read when its connection is closed."""
    limits = CallerLimits(idle_timeout_seconds=0.3)

    async def scenario():
        async with run_gateway(replace(MANIFEST, limits=limits), answer_whole(b"ok")) as harness:
            raw = connect(harness.port)
            async with await SocketStream.from_socket(raw) as stream:
                await anyio.sleep(0.1)
                (scope,) = harness.server.waiting
                loop = asyncio.get_running_loop()
                loop.call_at(scope.deadline - 0.001, raw.sendall, make_request())
                # Both timers are due when the event loop has looked for data.
                time.sleep(0.3)
                assert get_status(await read_answer(stream)) == 200

    anyio.run(scenario)


def test_idle_connections_do_not_delay_the_end_of_a_server():
    """Guard against a process that waits for callers that send nothing."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"ok")) as harness:
            streams = [await anyio.connect_tcp("127.0.0.1", harness.port) for _ in range(20)]
            started_at = time.monotonic()
            await drain_server(harness.server, started_at + 5)
            assert harness.server.connections == 0
            assert time.monotonic() - started_at < 1
            for stream in streams:
                await stream.aclose()

    anyio.run(scenario)


@pytest.mark.parametrize("sends_late", [False, True], ids=["pipelined", "crossing"])
def test_an_answer_is_whole_although_the_caller_has_sent_more(sends_late):
    """Guard against a reset of an answer, because bytes of the caller were not read."""
    body = b"x" * 60_000
    more = b"\r\n" * 200_000

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(body)) as harness:
            harness.server.closing = True
            stream = await connect_with_small_buffer(harness.port)
            async with stream, anyio.create_task_group() as tasks:
                request = make_request()
                if sends_late:
                    await stream.send(request)
                    await wait_until_answered(harness)
                    await anyio.sleep(0.05)
                    tasks.start_soon(stream.send, more)
                else:
                    tasks.start_soon(stream.send, request + more)
                    await wait_until_answered(harness)
                await anyio.sleep(0.2)
                data = await read_answer(stream)
                assert (get_status(data), len(read_body(data))) == (200, len(body))
                tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_callers_that_keep_a_connection_open_after_its_end_are_bounded(monkeypatch):
    """Guard against connections that stay open, because callers do not close theirs."""
    monkeypatch.setattr(callers, "MAX_LINGERING", 3)

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"ok")) as harness:
            harness.server.closing = True
            raws = [connect(harness.port, make_request()) for _ in range(6)]
            streams = [await SocketStream.from_socket(raw) for raw in raws]
            for stream in streams:
                assert get_status(await read_answer(stream)) == 200
            with anyio.fail_after(callers.LINGER_SECONDS / 2):
                while harness.server.connections > 3:
                    await anyio.sleep(0.01)
            with anyio.fail_after(callers.LINGER_SECONDS + 1):
                while harness.server.connections:
                    await anyio.sleep(0.05)
            for stream in streams:
                await stream.aclose()

    anyio.run(scenario)


def test_a_caller_that_pauses_reading_receives_its_answer():
    """Guard against a reset of a caller that is connected, but whose window is closed."""
    body = b"x" * 8_000_000

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(body)) as harness:
            stream = await connect_with_small_buffer(harness.port, 65_536)
            async with stream:
                await stream.send(make_request(b"GET", b""))
                await anyio.sleep(3.0)
                data = await read_answer(stream)
                assert (get_status(data), len(read_body(data))) == (200, len(body))

    anyio.run(scenario)
