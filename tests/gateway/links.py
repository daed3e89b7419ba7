"""Endpoints whose link is slow or fails, on the loopback interface."""

import asyncio
import ctypes
import socket
import struct
import time
from contextlib import asynccontextmanager

import anyio

from .helpers import SIGNED, find_header, make_head

SMALL_BUFFER_BYTES = 4_096
# Options of ``asm-generic/socket.h``, and the filter instruction that accepts no byte of a segment.
SO_ATTACH_FILTER = 26
ACCEPT_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)


def vanish(raw: socket.socket) -> None:
    """Drop all that arrives, so that nothing is acknowledged or answered any longer."""
    code = ctypes.create_string_buffer(ACCEPT_NOTHING)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    raw.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class Link:
    """Accept connections with a small window, and run a script with each of them."""

    def __init__(self, script, buffer_bytes):
        self.script = script
        self.bodies = []
        self.vanished_at = 0.0
        self.listener = socket.socket()
        # The window of a connection is bounded by the buffer that its listener has from the start.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def serve(self):
        loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as tasks:
            while True:
                raw, _ = await loop.sock_accept(self.listener)
                raw.setblocking(False)
                tasks.start_soon(self.handle, raw)

    async def handle(self, raw):
        with raw:
            await self.script(self, raw)


@asynccontextmanager
async def run_link(script, buffer_bytes=SMALL_BUFFER_BYTES):
    """Run an endpoint in the background, which reads only what its script receives."""
    link = Link(script, buffer_bytes)
    with link.listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.serve)
            yield link
            tasks.cancel_scope.cancel()


def read_slowly(piece_bytes, pause_seconds, body=b"ok"):
    """Return a script that reads a request at a steady rate and answers it."""

    async def run(link, raw):
        loop = asyncio.get_running_loop()
        head, body_bytes = await receive_head(loop, raw)
        length = int(find_header(head, b"content-length"))
        while len(body_bytes) < length:
            started_at = time.monotonic()
            data = await loop.sock_recv(raw, piece_bytes)
            if not data:
                break
            body_bytes += data
            await anyio.sleep(started_at + pause_seconds - time.monotonic())
        link.bodies.append(body_bytes)
        if len(body_bytes) == length:
            headers = SIGNED + b"Content-Length: %d\r\n" % len(body)
            await loop.sock_sendall(raw, make_head(head, b"200 OK", headers) + body)

    return run


def vanish_after(received_bytes):
    """Return a script that vanishes after it has read some bytes of a request."""

    async def run(link, raw):
        loop = asyncio.get_running_loop()
        count = 0
        while count < received_bytes:
            count += len(await loop.sock_recv(raw, min(received_bytes - count, 65_536)))
        vanish(raw)
        link.vanished_at = time.monotonic()
        await anyio.sleep_forever()

    return run


async def receive_head(loop, raw):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await loop.sock_recv(raw, 1_024)
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest
