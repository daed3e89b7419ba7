"""Simulate slow links: a TCP proxy that passes bytes on at a fixed rate, in a process of its own.

The proxy reads with a small receive buffer, so that what a link has not passed on yet waits at the
sender. A reset is passed on as a reset, and the end of data as such.
"""

import fcntl
import math
import multiprocessing
import random
import socket
import struct
import termios
import time
from dataclasses import dataclass, field

import anyio

from tests.soak.slow import connect

INTERVAL_SECONDS = 0.05
REQUEST_PIECE_BYTES = 65_536
COUNT = struct.Struct("i")
RESET = struct.Struct("ii")


@dataclass(frozen=True, slots=True)
class Link:
    """What all connections of a proxy have in common.

    Attributes
    ----------
    bytes_per_second : float
        Rate at which answers are passed on.
    buffer_bytes : int
        Receive buffer towards the sender of the answers.
    still_seconds : float
        Time for which each connection passes on nothing, once, within `still_within_bytes` of its
        answers.
    late_ratio : float
        Ratio of the connections that pass on nothing for up to `late_seconds` after a request.
    """

    bytes_per_second: float
    buffer_bytes: int = 4_096
    still_seconds: float = 0.0
    still_within_bytes: int = 0
    late_ratio: float = 0.0
    late_seconds: float = 0.0


@dataclass(slots=True)
class Carried:
    """State of one connection.

    Attributes
    ----------
    target : int
        Number of the address that answers come from.
    still_after : float
        Bytes after which the connection stands still; infinite if it doesn't.
    resumes_at : float
        Monotonic time in seconds before which no answer is passed on.
    received : int
        Bytes of answers that were read from the kernel.
    marked : int
        Bytes of answers that had arrived when the proxy was asked to count them; -1 before.
    end : str
        How the sender of the answers ended the connection: `end`, `reset`, `refused`, or empty.
    caller_port : int
        Port at the caller's end.
    """

    target: int
    caller_port: int = 0
    still_after: float = math.inf
    is_late: bool = False
    resumes_at: float = 0.0
    received: int = 0
    marked: int = -1
    end: str = ""
    sender: socket.socket | None = None


@dataclass(slots=True)
class Proxy:
    """State of a proxy in its process."""

    link: Link
    random: random.Random
    carried: list[Carried] = field(default_factory=list)


@dataclass(slots=True)
class ProxyProcess:
    """A proxy as other processes see it, with one address for each target."""

    child: multiprocessing.Process
    pipe: object
    addresses: list[str]


def start_proxy(targets: list[str], link: Link, seed: int) -> ProxyProcess:
    """Start a proxy in front of some addresses."""
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    child = context.Process(target=_run_proxy, args=(targets, link, seed, other))
    child.start()
    return ProxyProcess(child, pipe, pipe.recv())


def mark_arrived(proxy: ProxyProcess) -> None:
    """Count for each connection the bytes that have arrived by now."""
    proxy.pipe.send("mark")


def stop_proxy(proxy: ProxyProcess) -> list[Carried]:
    """End the proxy and return what its connections carried."""
    proxy.pipe.send("stop")
    carried = proxy.pipe.recv()
    proxy.child.join()
    return carried


def _run_proxy(targets, link, seed, pipe):
    anyio.run(_serve_links, targets, link, seed, pipe)


async def _serve_links(targets, link, seed, pipe):
    proxy = Proxy(link, random.Random(f"links-{seed}"))
    async with anyio.create_task_group() as tasks:
        listeners = [socket.create_server(("127.0.0.1", 0), backlog=256) for _ in targets]
        for number, listener in enumerate(listeners):
            listener.setblocking(False)
            tasks.start_soon(_accept, proxy, listener, number, targets[number], tasks)
        pipe.send(["{}:{}".format(*listener.getsockname()) for listener in listeners])
        while True:
            await anyio.sleep(INTERVAL_SECONDS / 2)
            if pipe.poll():
                if pipe.recv() == "stop":
                    break
                for carried in proxy.carried:
                    carried.marked = carried.received + _count_waiting(carried.sender)
        tasks.cancel_scope.cancel()
    for carried in proxy.carried:
        carried.sender = None
    pipe.send(proxy.carried)


def _count_waiting(sender: socket.socket | None) -> int:
    """Return the bytes in the receive buffer of a socket."""
    if sender is None or sender.fileno() < 0:
        return 0
    return COUNT.unpack(fcntl.ioctl(sender.fileno(), termios.FIONREAD, bytes(COUNT.size)))[0]


async def _accept(proxy, listener, number, target, tasks):
    with listener:
        while True:
            await anyio.wait_readable(listener)
            try:
                caller, (_, caller_port) = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            tasks.start_soon(_carry, proxy, caller, caller_port, number, target)


async def _carry(proxy, caller, caller_port, number, target):
    link, carried = proxy.link, Carried(number, caller_port)
    proxy.carried.append(carried)
    if link.still_seconds:
        carried.still_after = proxy.random.uniform(0.0, link.still_within_bytes)
    carried.is_late = proxy.random.random() < link.late_ratio
    sender = carried.sender = socket.socket()
    with caller, sender:
        caller.setblocking(False)
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, link.buffer_bytes)
        sender.setblocking(False)
        try:
            await connect(sender, target)
        except OSError:
            carried.end, carried.sender = "refused", None
            _make_reset(caller)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_pass_requests, proxy, carried, caller, sender, tasks.cancel_scope)
            await _pass_answers(link, carried, sender, caller)
            if carried.end != "end":
                tasks.cancel_scope.cancel()
    carried.sender = None


async def _pass_requests(proxy, carried, caller, sender, scope):
    link = proxy.link
    while True:
        try:
            await anyio.wait_readable(caller)
            data = caller.recv(REQUEST_PIECE_BYTES)
        except OSError:
            _make_reset(sender)
            scope.cancel()
            return
        if carried.is_late and data:
            delay = proxy.random.uniform(0.0, link.late_seconds)
            carried.resumes_at = time.monotonic() + delay
        try:
            if not data:
                sender.shutdown(socket.SHUT_WR)
                return
            await _send(sender, data)
        except OSError:
            # The other direction sees the end of the connection as well, and passes it on.
            return


async def _pass_answers(link, carried, sender, caller):
    piece_bytes = max(1, int(link.bytes_per_second * INTERVAL_SECONDS))
    next_at = 0.0
    while True:
        try:
            await anyio.wait_readable(sender)
            await _wait_for_link(link, carried, next_at)
            data = sender.recv(piece_bytes)
        except OSError:
            carried.end = "reset"
            _make_reset(caller)
            return
        carried.received += len(data)
        now = time.monotonic()
        next_at = max(next_at, now - INTERVAL_SECONDS) + len(data) / link.bytes_per_second
        try:
            if not data:
                carried.end = "end"
                caller.shutdown(socket.SHUT_WR)
                return
            await _send(caller, data)
        except OSError:
            _make_reset(sender)
            return


async def _wait_for_link(link, carried, next_at):
    if carried.received >= carried.still_after:
        carried.still_after = math.inf
        await anyio.sleep(link.still_seconds)
    while (seconds := max(next_at, carried.resumes_at) - time.monotonic()) > 0:
        await anyio.sleep(seconds)


async def _send(target, data):
    view = memoryview(data)
    while view:
        try:
            view = view[target.send(view) :]
        except BlockingIOError:
            await anyio.wait_writable(target)


def _make_reset(end: socket.socket) -> None:
    """Reset a connection when its socket is closed."""
    if end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET.pack(1, 0))
