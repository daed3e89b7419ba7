"""Run ASGI applications on uvicorn in the running asyncio event loop."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import uvicorn
from msgspec import Struct
from uvicorn.protocols.http.h11_impl import H11Protocol

Application = Callable[[dict[str, Any], Callable[..., Any], Callable[..., Any]], Awaitable[None]]

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_SECONDS = 75.0
BACKLOG_CONNECTIONS = 1024
# After the last answer, what the caller still sends is read for this time and up to this size.
LINGER_SECONDS = 1.0
MAX_DISCARDED_BYTES = 32 * 1024 * 1024
QUEUE_SIZE = struct.Struct("i")


class _LingeringTransport:
    """A transport that ends its own direction first when it is closed.

    Closing a connection with unread data resets it, and the caller could lose the answer before.
    """

    __slots__ = ("_discarded_bytes", "_timer", "_transport", "is_lingering")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self.is_lingering = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        return self.is_lingering or self._transport.is_closing()

    def close(self) -> None:
        if self.is_closing():
            return
        self.is_lingering = True
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.close()
            return
        self._transport.resume_reading()
        self._start_timer()

    def discard(self, size: int) -> None:
        """Count bytes that arrived after the close."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.close()

    def cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_SECONDS, self._close_if_written)

    def _close_if_written(self) -> None:
        if self._transport.get_write_buffer_size():
            self._start_timer()
        else:
            self._transport.close()


def _count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has not acknowledged, in this process and in the kernel."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return 0
    (queued_bytes,) = QUEUE_SIZE.unpack(
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    )
    return transport.get_write_buffer_size() + int(queued_bytes)


class _HttpProtocol(H11Protocol):
    """Closes idle connections, and gives applications the transport for `abort_connection`.

    uvicorn limits the idle time only between requests; a caller that connects and sends nothing,
    or an incomplete header, would keep its connection open forever.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self._lingering = _LingeringTransport(transport)
        super().connection_made(self._lingering)  # type: ignore[arg-type]
        self.app_state = {**self.app_state, "transport": transport}
        self._last_checked_cycle: Any = None
        self._last_unsent_bytes = 0
        self._idle_timer = self.loop.call_later(self.timeout_keep_alive, self._check_idle)

    def data_received(self, data: bytes) -> None:
        if self._lingering.is_lingering:
            self._lingering.discard(len(data))
        else:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._idle_timer.cancel()
        self._lingering.cancel_timer()
        super().connection_lost(exc)

    def _check_idle(self) -> None:
        busy = self.cycle is not None and not self.cycle.response_complete
        # The last write of an answer does not wait until the caller has read it.
        unsent_bytes = _count_unsent_bytes(self.transport)
        busy = busy or 0 < unsent_bytes < self._last_unsent_bytes
        self._last_unsent_bytes = unsent_bytes
        if not busy and self._last_checked_cycle is self.cycle:
            self.transport.abort()
            return
        self._last_checked_cycle = None if busy else self.cycle
        self._idle_timer = self.loop.call_later(self.timeout_keep_alive, self._check_idle)


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves signal handling to the embedding process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer(Struct):
    """A running server.

    Attributes
    ----------
    address : str
        ``ip:port`` that the server listens on.
    """

    address: str
    server: uvicorn.Server
    task: asyncio.Task[None]


def create_config(
    application: Application, idle_timeout_seconds: float, max_header_bytes: int
) -> uvicorn.Config:
    """Return the configuration of a server, which writes no access log."""
    return uvicorn.Config(
        application,
        http=_HttpProtocol,
        ws="none",
        proxy_headers=False,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=idle_timeout_seconds,  # type: ignore[arg-type]
        h11_max_incomplete_event_size=max_header_bytes,
        backlog=BACKLOG_CONNECTIONS,
    )


async def start_server(
    application: Application,
    host: str,
    port: int,
    idle_timeout_seconds: float = IDLE_TIMEOUT_SECONDS,
    max_header_bytes: int = MAX_HEADER_BYTES,
) -> HttpServer:
    """Listen on `host` and `port` and serve `application` until `close_server`.

    Parameters
    ----------
    port : int
        0 lets the operating system choose a free port.
    idle_timeout_seconds : float
        Time after which a connection without a request in progress is closed, unless its caller
        still reads an answer; a header that arrives in part after an answer may take twice as long.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol number; without it, each
    # part of an answer could wait 40 ms for the peer's acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG_CONNECTIONS)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    config = create_config(application, idle_timeout_seconds, max_header_bytes)
    server = _EmbeddedServer(config)
    task = asyncio.create_task(server.serve(sockets=[listener]), name="http-server")
    while not server.started and not task.done():
        await asyncio.sleep(0.005)
    if task.done():
        await task
    bound = listener.getsockname()
    return HttpServer(f"{bound[0]}:{bound[1]}", server, task)


async def close_server(http_server: HttpServer, drain_seconds: float | None = 0.0) -> None:
    """Stop accepting requests, wait for answers in progress, and stop.

    Parameters
    ----------
    drain_seconds : float or None
        Longest time to wait; None waits until the last connection is closed.
    """
    http_server.server.config.timeout_graceful_shutdown = drain_seconds  # type: ignore[assignment]
    http_server.server.should_exit = True
    await http_server.task


def abort_connections(http_server: HttpServer) -> int:
    """Reset all connections, and return how many there were."""
    protocols = list(http_server.server.server_state.connections)
    for protocol in protocols:
        protocol.transport.abort()
    return len(protocols)


def count_unsent_bytes(scope: dict[str, Any]) -> int:
    """Return the bytes that the caller of a request has not acknowledged."""
    transport = scope.get("state", {}).get("transport")
    return 0 if transport is None else _count_unsent_bytes(transport)


def abort_connection(scope: dict[str, Any]) -> None:
    """Reset the connection of a request, without flushing what the caller has not read."""
    transport = scope.get("state", {}).get("transport")
    if transport is not None:
        transport.abort()
