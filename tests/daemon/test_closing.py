"""Guard against answers that are cut when a host closes its connections."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest

from marjorambridge.core.events import ShutdownRequested
from marjorambridge.core.outcomes import Done
from marjorambridge.daemon import host as hosts
from marjorambridge.daemon.state import Host, PendingCommands
from marjorambridge.http import callers, servers
from marjorambridge.http.registry import RequestRegistry, deliver_effect
from marjorambridge.requests.effects import FinishRequest, ForwardChunk
from marjorambridge.requests.events import RequestArrived
from marjorambridge.transport.network import Network
from tests.requests import harness as hs

FLUSH_SECONDS = 0.2
ANSWER_BYTES = 7_000_000
RECEIVE_BUFFER_BYTES = 4_096
END = b"0\r\n\r\n"


async def start_host(harness):
    """Return a host that serves callers and has drained, but has nothing else."""
    registry = RequestRegistry()

    def answer(event):
        if isinstance(event, RequestArrived):
            chunk = ForwardChunk(event.request, 0, ANSWER_BYTES, b"x" * ANSWER_BYTES)
            deliver_effect(registry, chunk)
            deliver_effect(registry, FinishRequest(event.request, Done()))

    application = callers.build_application(registry, answer)
    server = await servers.start_server(application, "127.0.0.1", 0)
    node = SimpleNamespace(parts={"requests": SimpleNamespace(state=harness.state)})
    network = Network("h0", 1, "fleet", b"", "", lambda name: None, lambda event: None)
    runtime = SimpleNamespace(node=node)
    return Host(None, 1, runtime, registry, network, None, PendingCommands(), servers=[server])


async def connect(address):
    """Return a connection whose caller reads nothing until it is asked to."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    host, port = address.split(":")
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    return await asyncio.open_connection(sock=connection, limit=RECEIVE_BUFFER_BYTES)


async def read_all(reader):
    """Return all bytes up to the end of the connection, also if that is a reset."""
    data = bytearray()
    try:
        while part := await reader.read(1 << 16):
            data += part
    except ConnectionError:
        pass
    return bytes(data)


def build_harness(drain_seconds):
    harness = hs.build_harness(unready_grace=0.0, drain_deadline=drain_seconds)
    harness.now = time.monotonic()
    hs.feed(harness, ShutdownRequested(harness.now, False))
    return harness


async def close_with_slow_caller(harness, pause_seconds):
    """Close a host while a caller pauses; return the answer and the seconds that closing took."""
    host = await start_host(harness)
    reader, writer = await connect(host.servers[0].address)
    writer.write(b"GET /services/app/x HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readline()
    started = time.monotonic()
    closing = asyncio.create_task(hosts.close(host))
    await asyncio.sleep(pause_seconds)
    data = await read_all(reader)
    await closing
    writer.close()
    return data, time.monotonic() - started


@pytest.fixture(autouse=True)
def shorten_flush(monkeypatch):
    monkeypatch.setattr(hosts, "FLUSH_TIMEOUT_SECONDS", FLUSH_SECONDS)


def test_a_caller_that_reads_slowly_gets_its_whole_answer_before_the_drain_ends():
    """Guard against an answer that is cut while the time to drain has not passed."""
    harness = build_harness(drain_seconds=60.0)
    data, _ = asyncio.run(close_with_slow_caller(harness, 5 * FLUSH_SECONDS))
    assert data.endswith(END)
    assert data.count(b"x") >= ANSWER_BYTES


def test_a_request_that_is_still_arriving_is_answered_before_the_drain_ends():
    """Guard against a request that gets no answer, because its body arrived during the drain."""

    async def scenario():
        host = await start_host(build_harness(drain_seconds=60.0))
        reader, writer = await asyncio.open_connection(*host.servers[0].address.split(":"))
        writer.write(b"POST /services/app/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
        await asyncio.sleep(FLUSH_SECONDS)
        closing = asyncio.create_task(hosts.close(host))
        await asyncio.sleep(5 * FLUSH_SECONDS)
        writer.write(b"x")
        data = await read_all(reader)
        await closing
        writer.close()
        return data

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")


def test_a_forced_shutdown_does_not_wait_for_callers_that_read_nothing():
    """Guard against a process that goes on until the end of a drain that was aborted."""
    harness = build_harness(drain_seconds=60.0)
    hs.feed(harness, ShutdownRequested(time.monotonic(), True))
    data, seconds = asyncio.run(close_with_slow_caller(harness, 5 * FLUSH_SECONDS))
    assert not data.endswith(END)
    assert seconds < 10 * FLUSH_SECONDS
