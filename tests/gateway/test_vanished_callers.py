"""Test callers that disappear, or whose link is lost for a while, in each state of a request."""

import ctypes
import socket
import struct
import time

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from msgspec.structs import replace

from marjorambridge.gateway import delivery
from marjorambridge.manifests.models import CallerLimits, Execution

from .helpers import answer_whole, get_status, is_complete, make_manifest, make_request, run_gateway
from .test_closing import connect_with_small_buffer

MANIFEST = replace(
    make_manifest(Execution.IDEMPOTENT, attempts=1, resumable=False, timeout=30.0),
    limits=CallerLimits(4096, 2_000_000, idle_timeout_seconds=30.0),
)
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# A program for the filter of a socket that accepts no packet: return 0.
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# Time between two checks of a connection, and for the processor.
MARGIN_SECONDS = 1.5
# Two probes in a row are lost, and the third one is answered before the time of a silent caller is
# over.
OUTAGE_SECONDS = 2.5


def drop_packets(stream: SocketStream) -> None:
    """Let the system of a caller receive nothing more, so that it answers nothing."""
    program = ctypes.create_string_buffer(DROP_ALL)
    option = struct.pack("HL", 1, ctypes.addressof(program))
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)


def accept_packets(stream: SocketStream) -> None:
    """Let the system of a caller receive again."""
    stream.extra(SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def answer_late(seconds: float, body: bytes):
    """Return a script that answers after some seconds."""
    script = answer_whole(body)

    async def run(endpoint, stream, head):
        await anyio.sleep(seconds)
        await script(endpoint, stream, head)

    return run


async def measure_end(server) -> float:
    """Return the seconds until a server has no connection."""
    started_at = time.monotonic()
    while server.connections:
        await anyio.sleep(0.02)
    return time.monotonic() - started_at


REQUEST = make_request().replace(b"X-Deadline-Ms: 3000", b"X-Deadline-Ms: 30000")
UPLOAD = (
    b"POST /p/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: id-1\r\n"
    b"Content-Length: 1000000\r\n\r\n" + b"x" * 1_000
)


@pytest.mark.parametrize(
    ("body", "request_bytes"),
    [(b"x" * 8_000_000, REQUEST), (b"", UPLOAD), (b"x" * 100, REQUEST), (None, REQUEST)],
    ids=["closed window", "upload", "idle", "waiting"],
)
def test_a_caller_that_has_disappeared_is_noticed(body, request_bytes):
    """Guard against an endpoint, memory and a connection that are kept for nobody."""
    script = answer_late(20.0, b"x") if body is None else answer_whole(body)

    async def scenario():
        async with run_gateway(MANIFEST, script) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(request_bytes)
                await anyio.sleep(0.5)
                assert harness.server.connections == 1
                drop_packets(stream)
                with anyio.fail_after(20):
                    seconds = await measure_end(harness.server)
                assert seconds <= delivery.CALLER_SILENCE_SECONDS + MARGIN_SECONDS

    anyio.run(scenario)


def test_a_caller_that_disappears_while_it_receives_is_noticed():
    """Guard against a long retransmission of data that nobody receives."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_late(1.0, b"x" * 8_000_000)) as harness:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            async with stream:
                await stream.send(REQUEST)
                await anyio.sleep(0.95)
                drop_packets(stream)
                with anyio.fail_after(20):
                    seconds = await measure_end(harness.server)
                assert seconds <= delivery.CALLER_SILENCE_SECONDS + MARGIN_SECONDS

    anyio.run(scenario)


def test_a_caller_whose_link_is_lost_for_a_short_time_gets_its_answer():
    """Guard against probes that end a connection before the time that callers are promised."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_late(5.0, b"x" * 100)) as harness:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            async with stream:
                await stream.send(REQUEST)
                await anyio.sleep(0.3)
                drop_packets(stream)
                await anyio.sleep(OUTAGE_SECONDS)
                accept_packets(stream)
                data = b""
                with anyio.fail_after(10):
                    while not is_complete(data):
                        data += await stream.receive()
                assert get_status(data) == 200

    anyio.run(scenario)
