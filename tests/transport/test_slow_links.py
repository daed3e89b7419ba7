"""Test connections between hosts whose link is slow or fails."""

import asyncio
import contextlib
import ctypes
import pathlib
import socket
import struct
import time
from contextlib import asynccontextmanager

import anyio
import pytest

from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import PermitCancel
from marjorambridge.transport import frames, network
from marjorambridge.transport.acknowledgements import ACKNOWLEDGEMENT_INTERVAL_SECONDS
from marjorambridge.wire.codec import decode_structure
from marjorambridge.wire.gen.frame.ttypes import Hello

from .test_network import running_pair, wait_for

pytestmark = pytest.mark.anyio

# Options of ``asm-generic/socket.h``, and the filter instruction that accepts no byte of a segment.
SO_ATTACH_FILTER = 26
ACCEPT_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
# Bytes and seconds of each step of the slow link, which passes on 16 KB/s.
PIECE_BYTES = 2_048
PAUSE_SECONDS = 0.128
BUFFER_BYTES = 4_096
# Time between regular messages, and the time until a connection replaces that to a lost peer: the
# next message is sent, nothing of it arrives, which is looked at twice, and the address is tried.
MESSAGE_SECONDS = 0.2
MAX_NOTICE_SECONDS = (
    MESSAGE_SECONDS
    + network.SEND_TIMEOUT_SECONDS
    + 2 * ACKNOWLEDGEMENT_INTERVAL_SECONDS
    + network.MAX_BACKOFF_SECONDS
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_message(number, size):
    return PermitCancel(AttemptId("a" * size, 1, number), "s/z/0")


class SlowLink:
    """Pass on what the dialer sends at a fixed rate, through a small buffer."""

    def __init__(self, target):
        self.target = target
        self.accepted_at = []
        self.raws = []
        # The window of a connection is bounded by the buffer that its listener has from the start.
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def serve(self):
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            while True:
                raw, _ = await loop.sock_accept(self.listener)
                raw.setblocking(False)
                self.accepted_at.append(time.monotonic())
                self.raws.append(raw)
                tasks.start_soon(self.handle, raw)

    async def handle(self, raw):
        loop = asyncio.get_running_loop()
        ip, _, port = self.target.rpartition(":")
        acceptor = await anyio.connect_tcp(ip, int(port))
        with raw:
            async with acceptor, anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_back, acceptor, raw)
                with contextlib.suppress(*network.CONNECTION_ERRORS):
                    while data := await loop.sock_recv(raw, PIECE_BYTES):
                        await acceptor.send(data)
                        await anyio.sleep(PAUSE_SECONDS)
                tasks.cancel_scope.cancel()

    async def send_back(self, acceptor, raw):
        with contextlib.suppress(*network.CONNECTION_ERRORS):
            while True:
                await asyncio.get_running_loop().sock_sendall(raw, await acceptor.receive())

    def vanish(self):
        """Drop all that the dialer sends on the first connection, so that nothing is answered."""
        code = ctypes.create_string_buffer(ACCEPT_NOTHING)
        program = struct.pack("HL", 1, ctypes.addressof(code))
        self.raws[0].setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


@asynccontextmanager
async def running_link(pair):
    """Route the messages to host b over a slow link."""
    link = SlowLink(pair.addresses["b"])
    pair.hosts["a"].resolve = {"b": link.address}.get
    with link.listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.serve)
            yield link
            tasks.cancel_scope.cancel()


def omit_acknowledgements(monkeypatch):
    """Make host b one of an older version, which acknowledges and recognizes nothing."""
    make_hello = network._make_hello

    def make_old_hello(host):
        if host.host != "b":
            return make_hello(host)
        hello = decode_structure(make_hello(host), Hello)
        hello.acknowledges = hello.recognizes_repeats = None
        return frames.encode_hello(hello)

    async def send_nothing(stream, received):
        pass

    monkeypatch.setattr(network, "send_acknowledgements", send_nothing)
    monkeypatch.setattr(network, "_make_hello", make_old_hello)


@pytest.mark.parametrize(
    ("count", "size"), [(60, 1_000), (1, 60_000), (4, 15_000)], ids=["small", "one", "large"]
)
@pytest.mark.parametrize("is_old", [False, True], ids=["new", "old"])
async def test_a_peer_that_reads_a_batch_slowly_is_not_given_up(monkeypatch, count, size, is_old):
    """Guard against messages that are lost with the connection of a peer that reads steadily."""
    if is_old:
        omit_acknowledgements(monkeypatch)
    async with running_pair() as pair, running_link(pair) as link:
        started_at = time.monotonic()
        for number in range(count):
            network.send(pair.hosts["a"], "b", make_message(number, size))
        with anyio.move_on_after(10):
            await wait_for(lambda: len(pair.received["b"]) == count)
        numbers = [event.message.permit.number for event in pair.received["b"]]
        assert numbers == list(range(count))
        assert time.monotonic() - started_at > network.SEND_TIMEOUT_SECONDS
        assert len(link.accepted_at) == 1


async def test_a_peer_is_not_given_up_where_the_kernel_cannot_tell_what_arrives(monkeypatch):
    """Guard against connections in use that end because their state is unknown."""
    monkeypatch.setattr(network, "_count_handshake_bytes", lambda raw: None)
    async with running_pair() as pair, running_link(pair) as link:
        for number in range(60):
            network.send(pair.hosts["a"], "b", make_message(number, 1_000))
        await wait_for(lambda: len(pair.received["b"]) == 60)
        await anyio.sleep(0.5)
        network.send(pair.hosts["a"], "b", make_message(60, 1_000))
        await wait_for(lambda: len(pair.received["b"]) == 61)
        assert len(link.accepted_at) == 1


@pytest.mark.parametrize("can_tell", [True, False], ids=["told", "not told"])
async def test_a_peer_of_an_older_version_is_kept_while_messages_arrive(monkeypatch, can_tell):
    """Guard against peers that acknowledge no frames and count as lost."""
    omit_acknowledgements(monkeypatch)
    if not can_tell:
        monkeypatch.setattr(network, "_count_handshake_bytes", lambda raw: None)
    async with running_pair() as pair, running_link(pair) as link:
        with anyio.move_on_after(2 * network.SEND_TIMEOUT_SECONDS):
            await send_regularly(pair)
        network.send(pair.hosts["a"], "b", make_message(0, 10))
        await wait_for(lambda: pair.received["b"][-1].message.permit.number == 0)
        assert len(link.accepted_at) == 1


async def test_a_peer_that_reads_larger_batches_than_the_kernel_keeps_is_not_given_up():
    """Guard against a bound of the time of a whole send, while a part of it arrives."""
    # All of them fit in one batch, and none of them waits in the queue for its lifetime.
    count, send_buffer_bytes = 60, 16_384

    async with running_pair() as pair, running_link(pair) as link:
        set_options = network._set_options

        def set_small_buffer(stream, *arguments):
            set_options(stream, *arguments)
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(network, "_set_options", set_small_buffer)
            for number in range(count):
                network.send(pair.hosts["a"], "b", make_message(number, 1_000))
            with anyio.move_on_after(10):
                await wait_for(lambda: len(pair.received["b"]) == count)
        assert len(pair.received["b"]) == count
        assert len(link.accepted_at) == 1


async def wait_for_next_connection(link):
    vanished_at = time.monotonic()
    link.vanish()
    await wait_for(lambda: len(link.accepted_at) > 1)
    return link.accepted_at[1] - vanished_at


@pytest.mark.parametrize("is_old", [False, True], ids=["new", "old"])
async def test_a_peer_that_vanishes_within_a_batch_is_noticed(monkeypatch, is_old):
    """Guard against messages that wait behind a batch that nobody receives."""
    if is_old:
        omit_acknowledgements(monkeypatch)
    async with running_pair() as pair, running_link(pair) as link:
        for number in range(200):
            network.send(pair.hosts["a"], "b", make_message(number, 1_000))
        await wait_for(lambda: len(pair.received["b"]) > 20)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_regularly, pair)
            seconds = await wait_for_next_connection(link)
            tasks.cancel_scope.cancel()
        assert seconds < MAX_NOTICE_SECONDS


@pytest.mark.parametrize("is_old", [False, True], ids=["new", "old"])
async def test_a_peer_that_vanishes_while_messages_are_regular_is_noticed(monkeypatch, is_old):
    """Guard against connections that are kept in use although nothing arrives."""
    if is_old:
        omit_acknowledgements(monkeypatch)
    async with running_pair() as pair, running_link(pair) as link:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_regularly, pair)
            await wait_for(lambda: len(pair.received["b"]) > 3)
            seconds = await wait_for_next_connection(link)
            tasks.cancel_scope.cancel()
        assert seconds < MAX_NOTICE_SECONDS


async def send_regularly(pair):
    number = 1_000
    while True:
        network.send(pair.hosts["a"], "b", make_message(number, 10))
        number += 1
        await anyio.sleep(MESSAGE_SECONDS)


def count_sockets(address):
    """Return the number of sockets that are connected to an address, or were and hold bytes."""
    port = f":{int(address.rpartition(':')[2]):04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(line.split()[2].endswith(port) for line in lines)


async def test_the_kernel_soon_drops_the_bytes_for_a_peer_that_vanished():
    """Guard against memory that connections hold for minutes after they were given up."""
    async with running_pair() as pair, running_link(pair) as link:
        for number in range(200):
            network.send(pair.hosts["a"], "b", make_message(number, 1_000))
        await wait_for(lambda: len(pair.received["b"]) > 20)
        link.vanish()
        # The relay keeps its end open, and no next connection is opened.
        pair.hosts["a"].resolve = {}.get
        pair.hosts["a"].handshake_addresses.clear()
        assert count_sockets(link.address)
        await anyio.sleep(2 * (network.SEND_TIMEOUT_SECONDS + MESSAGE_SECONDS))
        assert not count_sockets(link.address)
