"""Run ASGI applications on uvicorn in the running asyncio event loop."""

import asyncio
import contextlib
import functools
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import uvicorn
from loguru import logger
from msgspec import Struct
from uvicorn.protocols.http.h11_impl import H11Protocol

from marjorambridge.conf import defaults
from marjorambridge.http import deliveries
from marjorambridge.http.deliveries import Delivery
from marjorambridge.transport.progress import count_queued_bytes, read_progress

Application = Callable[[dict[str, Any], Callable[..., Any], Callable[..., Any]], Awaitable[None]]

MAX_HEADER_BYTES = 32 * 1024
IDLE_TIMEOUT_SECONDS = 75.0
BACKLOG_CONNECTIONS = 1024
# When the caller has received the last answer, what it still sends is read for this time and up to
# this size.
LINGER_SECONDS = 1.0
MAX_DISCARDED_BYTES = 32 * 1024 * 1024
# Longest time for the delivery of an answer that is complete for the program.
DELIVERY_TIMEOUT_SECONDS = defaults.MAX_TIMEOUT_SECONDS
# The kernel takes more of an answer only while it holds less than this that it has not sent.
MAX_UNSENT_BYTES = 131_072
# A caller whose system has answered nothing for this time, although it was asked to, has vanished.
UNREACHABLE_SECONDS = 4.0
CHECK_INTERVAL_SECONDS = 0.5
# Answers cut by the end of the process that are logged one by one; the others are counted.
MAX_CUT_LINES = 50
RESET = struct.Struct("ii")


class _LingeringTransport:
    """A transport that ends its own direction first when it is closed.

    Closing a connection with unread data resets it, and the caller could lose the answer before.
    """

    __slots__ = ("_discarded_bytes", "_note_close", "_transport", "is_lingering")

    def __init__(self, transport: asyncio.Transport, note_close: Callable[[], None]) -> None:
        self._transport = transport
        self._note_close = note_close
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
        self._note_close()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            self._transport.close()
            return
        self._transport.resume_reading()

    def discard(self, size: int) -> None:
        """Count bytes that arrived after the close."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.close()


def _count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer has not acknowledged, in this process and in the kernel."""
    raw = transport.get_extra_info("socket")
    if raw.fileno() < 0:
        return 0
    return transport.get_write_buffer_size() + count_queued_bytes(raw)


def _limit_unsent_bytes(transport: asyncio.Transport) -> None:
    """Bound what the kernel holds for a caller that reads slowly."""
    raw = transport.get_extra_info("socket")
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
    except (AttributeError, OSError) as error:
        # The system has no such option, or the caller has closed the connection.
        logger.bind(error=repr(error)).debug("what the kernel holds of answers is not bounded")


def _has_failed(transport: asyncio.Transport) -> bool:
    """Return whether the caller has reset a connection that is not read any more."""
    raw = transport.get_extra_info("socket")
    return raw.fileno() >= 0 and raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def _reset_transport(transport: asyncio.Transport) -> None:
    """Reset a connection, and drop what the kernel holds of its answer."""
    raw = transport.get_extra_info("socket")
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET.pack(1, 0))
    transport.abort()


class _HttpProtocol(H11Protocol):
    """Closes idle connections, and gives applications the transport for `abort_connection`.

    uvicorn limits the idle time only between requests; a caller that connects and sends nothing,
    or an incomplete header, would keep its connection open forever.
    """

    def __init__(self, delivery_timeout_seconds: float, **options: Any) -> None:
        super().__init__(**options)
        self._delivery_timeout_seconds = delivery_timeout_seconds

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self._plain_transport = transport
        _limit_unsent_bytes(transport)
        self._has_ended = False
        self._has_begun = False
        self._delivery = Delivery(self.loop.time(), self.loop.time())
        self._restart_delivery()
        self._lingering = _LingeringTransport(transport, self._restart_delivery)
        super().connection_made(self._lingering)  # type: ignore[arg-type]
        self.app_state = {**self.app_state, "transport": transport}

    def data_received(self, data: bytes) -> None:
        if self._lingering.is_lingering:
            self._lingering.discard(len(data))
            return
        if not self._has_begun:
            self._has_begun = True
            self._waits_since = self.loop.time()
        super().data_received(data)

    def eof_received(self) -> bool | None:  # type: ignore[override]
        if self._is_busy() or not _count_unsent_bytes(self._plain_transport):
            return None
        # The caller sends nothing more, and still reads its answer.
        self._has_ended = True
        self._lingering.close()
        return True

    def on_response_complete(self) -> None:
        self._has_begun = False
        self._restart_delivery()
        super().on_response_complete()
        # The timer of uvicorn starts when the last answer is written; see `check`.
        self._unset_keepalive_if_required()

    def _is_busy(self) -> bool:
        is_closing = self._lingering.is_lingering
        return self.cycle is not None and not self.cycle.response_complete and not is_closing

    def _restart_delivery(self) -> None:
        self._waits_since = self.loop.time()
        self._is_delivered = False
        deliveries.restart(self._delivery, self._waits_since)

    def check(self, now: float) -> None:
        """End the connection if it is idle, if it lingered, or if its caller is given up."""
        if self._is_busy():
            self._check_presence(now)
        elif not self._is_delivered:
            if self._check_presence(now):
                self._check_delivery(now)
        elif now - self._waits_since >= self.timeout_keep_alive:
            self.transport.close()

    def _check_presence(self, now: float) -> bool:
        """Reset the connection, and return False, if its caller has vanished."""
        raw = self._plain_transport.get_extra_info("socket")
        progress = read_progress(raw) if raw.fileno() >= 0 else None
        if progress is None:
            return True
        deliveries.note_progress(self._delivery, progress, now)
        if not deliveries.has_vanished(self._delivery, progress, UNREACHABLE_SECONDS, now):
            return True
        self.log_end("unreachable")
        _reset_transport(self._plain_transport)
        return False

    def _check_delivery(self, now: float) -> None:
        transport = self._plain_transport
        deliveries.count(self._delivery, _count_unsent_bytes(transport), now)
        if self._has_ended and _has_failed(transport):
            transport.abort()
        elif deliveries.is_given_up(
            self._delivery, self.timeout_keep_alive, self._delivery_timeout_seconds, now
        ):
            self.log_end("not_read")
            _reset_transport(transport)
        elif self._delivery.unsent_bytes:
            return
        elif not self._lingering.is_lingering:
            self._is_delivered = True
            self._waits_since = max(self._waits_since, self._delivery.moved_at)
        elif self._has_ended or now - self._delivery.moved_at >= LINGER_SECONDS:
            transport.close()

    def is_cut_by_end(self) -> bool:
        """Return whether the caller waits for an answer, or has not received all of it."""
        return self._is_busy() or _count_unsent_bytes(self._plain_transport) > 0

    def log_end(self, reason: str) -> None:
        """Log that the connection ends before the caller has received its answer."""
        buffered_bytes = self._plain_transport.get_write_buffer_size()
        logger.bind(
            reason=reason,
            request=self.scope["state"].get("request", "") if self.scope else "",
            state=self._name_state(),
            seconds=round(self.loop.time() - self._delivery.moved_at, 3),
            unsent_bytes=buffered_bytes,
            unacknowledged_bytes=_count_unsent_bytes(self._plain_transport) - buffered_bytes,
        ).warning("a connection is reset before its caller has received the answer")

    def _name_state(self) -> str:
        # uvicorn has no cycle before the first request.
        cycle: Any = self.cycle
        if cycle is None:
            return "reading the head"
        if cycle.response_complete:
            return "written"
        return "streaming" if cycle.response_started else "waiting for an answer"


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
    checks: asyncio.Task[None]


def create_config(
    application: Application,
    idle_timeout_seconds: float,
    max_header_bytes: int,
    delivery_timeout_seconds: float = DELIVERY_TIMEOUT_SECONDS,
) -> uvicorn.Config:
    """Return the configuration of a server, which writes no access log."""
    return uvicorn.Config(
        application,
        http=functools.partial(_HttpProtocol, delivery_timeout_seconds),  # type: ignore[arg-type]
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
    delivery_timeout_seconds: float = DELIVERY_TIMEOUT_SECONDS,
) -> HttpServer:
    """Listen on `host` and `port` and serve `application` until `close_server`.

    Parameters
    ----------
    port : int
        0 lets the operating system choose a free port.
    idle_timeout_seconds : float
        Time after which a connection without a request in progress is closed. It begins when the
        caller has received the answer before, and once more with the first byte of a request. It
        also bounds the pauses of a caller that reads the rest of an answer.
    delivery_timeout_seconds : float
        Longest time for the delivery of an answer, from its last write.

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
    config = create_config(
        application, idle_timeout_seconds, max_header_bytes, delivery_timeout_seconds
    )
    server = _EmbeddedServer(config)
    task = asyncio.create_task(server.serve(sockets=[listener]), name="http-server")
    while not server.started and not task.done():
        await asyncio.sleep(0.005)
    if task.done():
        await task
    bound = listener.getsockname()
    checks = asyncio.create_task(_check_connections(server), name="http-checks")
    return HttpServer(f"{bound[0]}:{bound[1]}", server, task, checks)


async def _check_connections(server: uvicorn.Server) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        for protocol in list(server.server_state.connections):
            try:
                protocol.check(loop.time())  # type: ignore[union-attr]
            except OSError as error:
                logger.bind(error=repr(error)).warning("a connection can't be checked")


async def close_server(http_server: HttpServer, drain_seconds: float | None = 0.0) -> None:
    """Stop accepting requests, wait for answers in progress, and stop.

    Parameters
    ----------
    drain_seconds : float or None
        Longest time to wait; None waits until the last connection is closed.
    """
    http_server.server.config.timeout_graceful_shutdown = drain_seconds  # type: ignore[assignment]
    http_server.server.should_exit = True
    try:
        await http_server.task
    finally:
        http_server.checks.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await http_server.checks


def abort_connections(http_server: HttpServer) -> int:
    """Reset all connections, log the answers that this cuts, and return how many there were."""
    protocols: list[Any] = list(http_server.server.server_state.connections)
    cut = [protocol for protocol in protocols if protocol.is_cut_by_end()]
    for protocol in cut[:MAX_CUT_LINES]:
        protocol.log_end("process_ends")
    if len(cut) > MAX_CUT_LINES:
        logger.bind(cut=len(cut) - MAX_CUT_LINES).warning(
            "further connections are reset before their callers have received the answer"
        )
    for protocol in protocols:
        protocol.transport.abort()
    return len(protocols)


def count_unsent_bytes(scope: dict[str, Any]) -> int:
    """Return the bytes that the caller of a request has not acknowledged."""
    transport = scope.get("state", {}).get("transport")
    return 0 if transport is None else _count_unsent_bytes(transport)


def abort_connection(scope: dict[str, Any]) -> None:
    """Reset the connection of a request, without flushing what the caller has not read.

    An HTTP/1.0 caller, which gets no chunks, would take an orderly end for that of the answer.
    """
    transport = scope.get("state", {}).get("transport")
    if transport is None:
        return
    if scope.get("http_version") == "1.0":
        _reset_transport(transport)
    else:
        transport.abort()
