"""Guard callers that read steadily and slowly, or whose link stands still, against cut answers."""

import asyncio
import contextlib
import ctypes
import socket
import struct
import time

import pytest

from marjorambridge.core.outcomes import Done
from marjorambridge.http import servers
from marjorambridge.http.registry import deliver_effect
from marjorambridge.http.settings import CallerSettings
from marjorambridge.requests.effects import FinishRequest, ForwardChunk
from marjorambridge.requests.events import CallerGone, RequestArrived
from tests.http.helpers import WAIT_SECONDS, serve_callers, serve_open, wait_for

RECEIVE_BUFFER_BYTES = 4_096
READ_BYTES = 1_024
BYTES_PER_SECOND = 16_000
ANSWER_BYTES = 41_000
# Options of Linux that the socket module has no names for, and a filter that accepts no packet.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
DROP_ALL = struct.pack("=HBBI", 0x06, 0, 0, 0)


class Caller:
    """A caller with a small receive buffer on a link with a fixed rate, which may vanish."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)

    async def connect(self, address):
        host, port = address.split(":")
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))

    async def send(self, *headers):
        lines = (b"GET /services/app/x HTTP/1.1", b"Host: x", *headers, b"", b"")
        await asyncio.get_running_loop().sock_sendall(self.socket, b"\r\n".join(lines))

    async def read_answer(self, rate=BYTES_PER_SECOND):
        """Return an answer whose parts have chunked framing, or what there is of it."""
        loop, data = asyncio.get_running_loop(), b""
        started = loop.time()
        with contextlib.suppress(ConnectionError):
            while not data.endswith(b"\r\n0\r\n\r\n"):
                async with asyncio.timeout(WAIT_SECONDS):
                    part = await loop.sock_recv(self.socket, READ_BYTES)
                if not part:
                    break
                data += part
                await asyncio.sleep(started + len(data) / rate - loop.time())
        return data

    def drop_packets(self):
        """Let this end of the connection receive nothing, so that it acknowledges nothing."""
        instruction = ctypes.create_string_buffer(DROP_ALL)
        program = struct.pack("HP", 1, ctypes.addressof(instruction))
        self.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)

    def receive_packets(self):
        self.socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


@contextlib.asynccontextmanager
async def connect(address):
    caller = Caller()
    try:
        await caller.connect(address)
        yield caller
    finally:
        caller.socket.close()


def deliver(registry, request, size, is_last=True):
    deliver_effect(registry, ForwardChunk(request, 0, size, b"x" * size))
    if is_last:
        deliver_effect(registry, FinishRequest(request, Done()))


@contextlib.asynccontextmanager
async def serve_answers(size, **options):
    """Answer each request at once with `size` bytes."""

    def answer(event):
        if isinstance(event, RequestArrived):
            deliver(server.registry, event.request, size)

    async with serve_callers(answer, **options) as server:
        yield server


def is_whole(data, size=ANSWER_BYTES):
    return data.endswith(b"\r\n0\r\n\r\n") and data.count(b"x") == size


def test_the_connection_of_an_answer_that_breaks_off_is_closed():
    """Guard against a connection that is kept since its answer never gets complete."""

    async def break_off(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        raise RuntimeError("the application failed")

    async def run():
        async with serve_open(break_off) as server, connect(server.address) as caller:
            await caller.send()
            connections = server.server.server_state.connections
            await wait_for(lambda: connections)
            await wait_for(lambda: not connections)

    asyncio.run(run())


def test_a_caller_that_sends_while_it_reads_its_last_answer_gets_all_of_it():
    """Guard against a linger time that ends while the kernel still has a part of the answer."""

    async def run():
        async with serve_answers(ANSWER_BYTES) as server, connect(server.address) as caller:
            await caller.send(b"Connection: close")
            reading = asyncio.create_task(caller.read_answer())
            await asyncio.sleep(2 * servers.LINGER_SECONDS)
            with contextlib.suppress(ConnectionError):
                await caller.send()
            data = await reading
            assert is_whole(data), f"{len(data)} bytes of {ANSWER_BYTES}"

    asyncio.run(run())


def test_a_caller_that_ends_its_direction_while_it_reads_gets_all_of_its_answer():
    """Guard against a connection that counts as closed while the kernel has a part of an answer."""

    async def run():
        async with serve_answers(ANSWER_BYTES) as server, connect(server.address) as caller:
            await caller.send(b"Connection: close")
            await asyncio.sleep(0.5)
            caller.socket.shutdown(socket.SHUT_WR)
            reading = asyncio.create_task(caller.read_answer())
            await asyncio.sleep(1.0)
            assert len(server.connections) == 1
            assert is_whole(await reading)
            await wait_for(lambda: not server.connections)

    asyncio.run(run())


def test_the_idle_limit_begins_when_the_caller_has_its_answer():
    """Guard against a connection that is closed a moment after its answer has arrived."""
    idle_seconds = 1.5

    async def run():
        options = {"idle_timeout_seconds": idle_seconds}
        serving = serve_answers(ANSWER_BYTES, **options)
        async with serving as server, connect(server.address) as caller:
            for _ in range(2):
                await caller.send()
                data = await caller.read_answer()
                assert is_whole(data), f"{len(data)} bytes of {ANSWER_BYTES}"
                await asyncio.sleep(0.7 * idle_seconds)
            await wait_for(lambda: not server.connections)

    asyncio.run(run())


def test_a_caller_that_vanishes_while_an_answer_is_written_is_noticed_soon():
    """Guard against a request that goes on for a caller that acknowledges nothing."""

    async def run():
        async with serve_callers() as server, connect(server.address) as caller:
            await caller.send()
            (arrived,) = await wait_for(lambda: server.select(RequestArrived))
            caller.drop_packets()
            deliver(server.registry, arrived.request, 100, is_last=False)
            started = time.monotonic()
            await wait_for(lambda: server.select(CallerGone))
            seconds = time.monotonic() - started
            assert seconds < 2 * servers.UNREACHABLE_SECONDS

    asyncio.run(run())


@pytest.mark.parametrize("has_vanished", [True, False])
def test_a_caller_that_reads_nothing_is_told_from_one_that_has_vanished(
    has_vanished,
):
    """Guard against a connection of a vanished caller that stays, or a present one that is cut."""

    async def run():
        async with serve_answers(ANSWER_BYTES) as server, connect(server.address) as caller:
            await caller.send()
            await wait_for(lambda: server.select(RequestArrived))
            if has_vanished:
                caller.drop_packets()
            await asyncio.sleep(2 * servers.UNREACHABLE_SECONDS)
            assert bool(server.connections) == (not has_vanished)
            if not has_vanished:
                assert is_whole(await caller.read_answer(rate=1e9))

    asyncio.run(run())


def test_a_link_that_stands_still_for_a_moment_after_a_pause_of_the_engine_cuts_nothing():
    """Guard against silence that is counted from a time at which nothing was sent."""

    async def run():
        async with serve_callers() as server, connect(server.address) as caller:
            await caller.send()
            (arrived,) = await wait_for(lambda: server.select(RequestArrived))
            await asyncio.sleep(1.2 * servers.UNREACHABLE_SECONDS)
            caller.drop_packets()
            deliver(server.registry, arrived.request, 100)
            await asyncio.sleep(0.4 * servers.UNREACHABLE_SECONDS)
            caller.receive_packets()
            assert is_whole(await caller.read_answer(), 100)

    asyncio.run(run())


@pytest.mark.parametrize("pause_seconds", [0.8, 1.6])
def test_a_write_may_wait_for_a_caller_for_the_whole_of_its_limit(pause_seconds):
    """Guard against a caller that is cut for a pause that is shorter than the limit."""
    size = 5_000_000

    async def run():
        settings = CallerSettings(send_timeout_seconds=1.2)
        async with serve_callers(settings=settings) as server, connect(server.address) as caller:
            await caller.send()
            (arrived,) = await wait_for(lambda: server.select(RequestArrived))
            deliver(server.registry, arrived.request, size)
            loop, data = asyncio.get_running_loop(), b""
            started = loop.time()
            # The caller reads, pauses, and reads the rest.
            with contextlib.suppress(ConnectionError):
                while loop.time() < started + 0.5:
                    data += await loop.sock_recv(caller.socket, READ_BYTES)
                    await asyncio.sleep(0.01)
                await asyncio.sleep(pause_seconds)
                while part := await loop.sock_recv(caller.socket, 1 << 16):
                    data += part
                    if data.endswith(b"\r\n0\r\n\r\n"):
                        break
            assert is_whole(data, size) == (pause_seconds < 1.2)

    asyncio.run(run())


def test_the_kernel_holds_little_for_a_caller_that_reads_nothing():
    """Guard against megabytes of the kernel for each slow caller."""

    async def run():
        async with serve_answers(5_000_000) as server, connect(server.address) as caller:
            await caller.send()
            await wait_for(lambda: server.select(RequestArrived))
            await asyncio.sleep(0.5)
            (protocol,) = server.connections
            unsent_bytes = servers.count_unsent_bytes({"state": protocol.app_state})
            held_bytes = unsent_bytes - protocol.transport.get_write_buffer_size()
            assert 0 < held_bytes <= 2 * servers.MAX_UNSENT_BYTES
            assert is_whole(await caller.read_answer(rate=1e9), 5_000_000)

    asyncio.run(run())


def test_a_connection_that_cannot_be_checked_does_not_end_the_checks_of_others(monkeypatch):
    """Guard against connections that are never closed, because the check of one failed."""
    idle_seconds, failed = 0.5, []

    def fail_once(raw):
        if not failed:
            failed.append(raw)
            raise OSError("the kernel has no answer")

    async def run():
        monkeypatch.setattr(servers, "read_progress", fail_once)
        serving = serve_answers(100, idle_timeout_seconds=idle_seconds)
        async with serving as server, connect(server.address) as caller:
            await caller.send()
            assert is_whole(await caller.read_answer(), 100)
            await wait_for(lambda: not server.connections)
            assert failed

    asyncio.run(run())
