"""Guard against answers that are cut when a host closes its connections."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest
from loguru import logger

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
# Most that the system of a caller with this receive buffer, and its stream, hold unread.
UNREAD_BYTES = 4 * RECEIVE_BUFFER_BYTES


async def start_host(harness, answer_bytes=ANSWER_BYTES):
    """Return a host that serves callers and has drained, but has nothing else."""
    registry = RequestRegistry()

    def answer(event):
        if isinstance(event, RequestArrived):
            chunk = ForwardChunk(event.request, 0, answer_bytes, b"x" * answer_bytes)
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


async def read_at_rate(reader, data, bytes_per_second):
    """Read up to the end of the connection into `data`, at a fixed rate."""
    started = time.monotonic()
    try:
        while part := await reader.read(512):
            data += part
            await asyncio.sleep(started + len(data) / bytes_per_second - time.monotonic())
    except ConnectionError:
        pass


@pytest.mark.parametrize("seconds_before", [0.1, 1.5])
@pytest.mark.parametrize(("size", "rate"), [(41_000, 12_000), (101_000, 16_000)])
def test_the_process_ends_when_callers_have_received_their_answers(size, rate, seconds_before):
    """Guard against an end of the process while the kernel still has a part of an answer."""

    async def scenario():
        host = await start_host(build_harness(drain_seconds=60.0), size)
        reader, writer = await connect(host.servers[0].address)
        writer.write(b"GET /services/app/x HTTP/1.1\r\nHost: x\r\n\r\n")
        data = bytearray()
        reading = asyncio.create_task(read_at_rate(reader, data, rate))
        await asyncio.sleep(seconds_before)
        await hosts.close(host)
        unread_bytes = size - data.count(b"x")
        await reading
        writer.close()
        return bytes(data), unread_bytes

    data, unread_bytes = asyncio.run(scenario())
    assert data.endswith(END) and data.count(b"x") == size
    assert unread_bytes <= UNREAD_BYTES


def test_answers_that_are_not_delivered_at_the_end_of_the_drain_are_logged():
    """Guard against an answer that its caller lost, and that no line of the log names."""
    lines = []

    async def scenario():
        host = await start_host(build_harness(drain_seconds=0.0), 41_000)
        reader, writer = await connect(host.servers[0].address)
        idle = await asyncio.open_connection(*host.servers[0].address.split(":"))
        writer.write(b"GET /services/app/x HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        await hosts.close(host)
        for each in (writer, idle[1]):
            each.close()

    sink = logger.add(lambda line: lines.append(line.record), level="WARNING")
    try:
        asyncio.run(scenario())
    finally:
        logger.remove(sink)
    (cut,) = [line["extra"] for line in lines if "unacknowledged_bytes" in line["extra"]]
    assert (cut["state"], cut["reason"]) == ("written", "process_ends")
    assert len(cut["request"]) == 32
    assert 0 < cut["unacknowledged_bytes"] + cut["unsent_bytes"] <= 42_000
