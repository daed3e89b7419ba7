"""Test how connections of callers end."""

import socket

import anyio
from anyio.abc import SocketStream
from msgspec.structs import replace

from marjorambridge.gateway.callers import close_idle_connections, close_server
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


async def connect_with_small_buffer(port: int) -> SocketStream:
    """Connect as a caller that reads only when it receives, and whose window is small."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    raw.connect(("127.0.0.1", port))
    raw.setblocking(False)
    stream = await SocketStream.from_socket(raw)
    limit_reading_ahead(stream)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
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
