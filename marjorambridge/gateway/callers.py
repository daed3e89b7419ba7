"""Serve HTTP/1.1 connections: buffer requests, and write answers as parts of them arrive.

The parser is `h11`, which refuses ambiguous framing. While a request is handled, the connection is
monitored, and the handler is cancelled as soon as the caller disconnects.
"""

import socket
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.lowlevel import checkpoint
from loguru import logger
from msgspec import Struct, field

from marjorambridge.core.numbers import parse_count
from marjorambridge.core.outcomes import NotRun, Reason, Unsuccessful
from marjorambridge.gateway import bodies
from marjorambridge.gateway.bodies import BodyMemory, BodyReservation
from marjorambridge.gateway.delivery import (
    CHECK_INTERVAL_SECONDS,
    MEMORY,
    Delivery,
    check_delivery,
    count_undelivered_bytes,
    find_fault,
    log_failure,
    log_reset,
    select_excess,
    select_late,
    start_request,
)
from marjorambridge.gateway.messages import Headers
from marjorambridge.gateway.streams import (
    STREAM_ERRORS,
    limit_unsent_bytes,
    reset,
    set_options,
)
from marjorambridge.gateway.work import (
    PROGRESS_PIECE_BYTES,
    WorkBudget,
    WorkMeter,
    finish_piece,
    start_turn,
    wait_for_budget,
)
from marjorambridge.manifests.models import CallerLimits
from marjorambridge.transport.reading import READ_BYTES, limit_receive_buffer, receive_nowait

if TYPE_CHECKING:
    from marjorambridge.forwarding.relays import Relay

# Pipelined requests are buffered up to this size; beyond it the connection is not read.
MAX_PIPELINED_BYTES = 262_144
# Lowest average rate at which the body of a request may arrive, after the idle timeout.
MIN_BODY_BYTES_PER_SECOND = 10_000
# Memory of a server for bodies, and for answers in the kernel, if none was set.
DEFAULT_BODY_MEMORY_BYTES = 16_777_216
DEFAULT_DELIVERY_BYTES = 16_777_216
# After the idle timeout, and when a server stops, a connection is read for this time in seconds
# before it is closed.
LAST_RECEIVE_SECONDS = 0.1
DRAIN_CHECK_INTERVAL_SECONDS = 0.05
# Connections that are checked in one turn of the event loop.
CHECKS_PER_TURN = 50
# After the caller has received the last answer on a connection, what it still sends is read for
# this time in seconds. Closing the connection with unread data would reset it, and the caller could
# lose the answer.
LINGER_SECONDS = 1.0
# With more connections than this in that state, further ones are closed at once.
MAX_LINGERING = 512
# Rate of all bytes that are discarded together, so that they leave time for others.
DISCARDED_BYTES_PER_SECOND = 16_000_000
BODY_TOO_LONG, HEAD_TOO_LONG, REQUEST_TIMEOUT = 413, 431, 408
SERVER_ERROR, NO_MEMORY = 500, 503
PROCESSING = 102
# Colon, space and line end of a header.
HEADER_OVERHEAD_BYTES = 4


def encode_text(outcome: Unsuccessful) -> tuple[Headers, bytes]:
    """Return headers and body of an answer with a plain text."""
    return [(b"Content-Type", b"text/plain; charset=utf-8")], outcome.message.encode()


class RefusedRequestError(Exception):
    """A request is refused before all of it was read.

    Attributes
    ----------
    status : int
        Status of the answer.
    """

    def __init__(self, status: int, outcome: NotRun) -> None:
        super().__init__(outcome.message)
        self.status, self.outcome = status, outcome


class Server(Struct):
    """Store the state of an HTTP server.

    Attributes
    ----------
    get_limits : callable
        Returns the current limits for callers.
    wait_for_turn : callable or None
        Waits until the request may be served, if other work has priority.
    encode_error : callable
        Returns headers and body of the answer to a request that is no valid HTTP.
    work : WorkBudget
        Processor time for the bytes of requests.
    memory : BodyMemory
        Memory for the bodies of all requests.
    get_body_limit : callable or None
        Takes method and target of a request, and returns the size of the longest body; None if the
        limits for callers name it.
    delivery_bytes : int
        Most bytes of answers that the kernel holds for all connections.
    late_bytes : int
        Most bytes of answers that this process holds for requests whose time is over.
    closing : bool
        Whether answers carry ``Connection: close``.
    discard_at : float
        Monotonic time in seconds at which the next bytes of callers may be discarded.
    lingering : int
        Number of connections on which the last answer was delivered, and which are not closed.
    waiting : dict from anyio.CancelScope to Delivery
        Scopes of the connections that wait for a request, with the answers before it.
    exchanges : set of Exchange
        Requests that are being read or handled.
    connections : int
        Number of accepted connections that are not closed.
    deliveries : set of Delivery
        How far the answers on each of these connections have been delivered.
    listening : bool
        Whether connections are accepted.
    scope, listen_scope : anyio.CancelScope
        Scopes of the whole server, and of the accepting of connections.
    """

    handle: Callable[["Exchange"], Awaitable[None]]
    get_limits: Callable[[], CallerLimits]
    wait_for_turn: Callable[[], Awaitable[None]] | None = None
    encode_error: Callable[[Unsuccessful], tuple[Headers, bytes]] = encode_text
    work: WorkBudget = field(default_factory=WorkBudget)
    memory: BodyMemory = field(default_factory=lambda: BodyMemory(DEFAULT_BODY_MEMORY_BYTES))
    get_body_limit: Callable[[bytes, bytes], int] | None = None
    delivery_bytes: int = DEFAULT_DELIVERY_BYTES
    late_bytes: int = DEFAULT_DELIVERY_BYTES
    closing: bool = False
    discard_at: float = 0.0
    lingering: int = 0
    waiting: dict[anyio.CancelScope, Delivery] = field(default_factory=dict)
    exchanges: "set[Exchange]" = field(default_factory=set)
    connections: int = 0
    deliveries: set[Delivery] = field(default_factory=set)
    listening: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    listen_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def active(self) -> int:
        """Return the number of requests that are being read or handled."""
        return len(self.exchanges)


class Exchange(Struct, eq=False):
    """Store one request and the state of its answer.

    Attributes
    ----------
    delivery : Delivery
        How far the answers on the connection have been delivered.
    arrived_at : float
        Monotonic time in seconds at which the first byte of the request was read.
    reservation : BodyReservation
        Memory for the body.
    meter : WorkMeter
        Processor time for the bytes of the request.
    request_id : str
        Identifier that the caller chose; empty until the request is decoded.
    written_at : float
        Monotonic time in seconds of the last part of the answer; 0 before the first one.
    has_head, is_complete : bool
        Whether the head of the answer, and whether all of it, was written.
    caller_gone : bool
        Whether the caller closed the connection.
    must_reset : bool
        Whether the connection is to be reset, because the answer is incomplete.
    relay : Relay or None
        What another host said of the request that it passed on; None for requests of callers.
    """

    server: Server
    delivery: Delivery
    connection: h11.Connection
    arrived_at: float
    reservation: BodyReservation
    meter: WorkMeter
    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    request_id: str = ""
    written_at: float = 0.0
    has_head: bool = False
    is_complete: bool = False
    caller_gone: bool = False
    must_reset: bool = False
    relay: "Relay | None" = None

    @property
    def stream(self) -> SocketStream:
        """Return the connection of the caller."""
        return self.delivery.stream


async def start_server(server: Server, tasks: TaskGroup, ip: str, port: int) -> None:
    """Listen, and serve connections until `close_server` is called."""
    await tasks.start(_run_server, server, ip, port)


async def _run_server(server: Server, ip: str, port: int, *, task_status: TaskStatus) -> None:
    listeners = await anyio.create_tcp_listener(local_host=ip, local_port=port, backlog=1024)
    limit_receive_buffer(listeners)
    # An IP address has one listener.
    listener = listeners.listeners[0].extra(SocketAttribute.raw_socket)
    with server.scope:
        async with anyio.create_task_group() as connections:
            server.listening = True
            task_status.started()
            connections.start_soon(_watch_deliveries, server)
            async with listeners:
                await _accept_connections(server, listener, connections)
            server.listening = False
            logger.bind(address=f"{ip}:{port}").info("stopped accepting connections")


async def _accept_connections(
    server: Server, listener: socket.socket, connections: TaskGroup
) -> None:
    """Accept connections until the server stops listening, and then those that wait already."""
    with server.listen_scope:
        while True:
            await anyio.wait_readable(listener)
            while _accept_connection(server, listener, connections):
                await checkpoint()
    # Closing the listener resets the connections that were not accepted.
    try:
        while _accept_connection(server, listener, connections):
            pass
    except OSError as error:
        logger.bind(error=repr(error)).error("the last connections can't be accepted")
    listener.close()


def _accept_connection(server: Server, listener: socket.socket, connections: TaskGroup) -> bool:
    """Start to serve the next connection in the queue; return False if it is empty."""
    try:
        raw, _ = listener.accept()
    except (BlockingIOError, InterruptedError, ConnectionAbortedError):
        return False
    raw.setblocking(False)
    server.connections += 1
    connections.start_soon(_serve_socket, server, raw)
    return True


async def _serve_socket(server: Server, raw: socket.socket) -> None:
    try:
        stream = await SocketStream.from_socket(raw)
    except (OSError, ValueError) as error:
        logger.bind(error=repr(error)).debug("a connection ended before it was served")
        raw.close()
    else:
        await _serve_connection(server, stream)
    finally:
        server.connections -= 1


def stop_listening(server: Server) -> None:
    """Stop accepting connections; open ones stay open."""
    server.listen_scope.cancel()


def close_idle_connections(server: Server) -> None:
    """Close the connections that are idle between two requests, unless one has arrived.

    A connection is not idle while its caller still receives an answer.
    """
    for scope, delivery in list(server.waiting.items()):
        if not count_undelivered_bytes(delivery.stream):
            scope.cancel()


async def drain_server(server: Server, ends_at: float) -> None:
    """Stop listening, and close each connection when its request is complete.

    Parameters
    ----------
    ends_at : float
        Monotonic time in seconds at which the call returns in any case.
    """
    stop_listening(server)
    close_idle_connections(server)
    while (server.listening or server.connections) and time.monotonic() < ends_at:
        await anyio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        close_idle_connections(server)


def close_server(server: Server) -> None:
    """Stop listening and close all connections."""
    server.scope.cancel()


async def _watch_deliveries(server: Server) -> None:
    """Check regularly how far answers have been delivered, and reset those that can't be."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_SECONDS)
        served = {exchange.delivery for exchange in server.exchanges}
        checked = [
            delivery
            for delivery in server.deliveries
            if delivery in served or not delivery.is_settled
        ]
        for number, delivery in enumerate(checked, 1):
            if number % CHECKS_PER_TURN == 0:
                await checkpoint()
            now = time.monotonic()
            try:
                progress = check_delivery(delivery, now)
            except OSError as error:
                logger.bind(error=repr(error)).debug("a connection ended while it was checked")
                continue
            reason = find_fault(delivery, progress, now)
            if reason:
                log_reset(delivery, reason, progress, now)
                await reset(delivery.stream)
        now = time.monotonic()
        excess = select_excess(server.deliveries, server.delivery_bytes, now)
        late = select_late(server.deliveries, server.late_bytes, now)
        for delivery in {*excess, *late}:
            log_reset(delivery, MEMORY, None, now)
            await reset(delivery.stream)


async def _serve_connection(server: Server, stream: SocketStream) -> None:
    delivery = Delivery(stream)
    server.deliveries.add(delivery)
    try:
        set_options(stream)
        limit_unsent_bytes(stream)
        if await _serve_requests(server, delivery):
            await _linger(server, delivery)
    except STREAM_ERRORS as error:
        _note_failure(delivery, error)
        await reset(stream)
    except Exception:
        # An error on one connection must not stop the server.
        logger.exception("serving a connection failed")
        await reset(stream)
    finally:
        server.deliveries.discard(delivery)
        # When the server is closed, the caller may still receive the answer to its last request.
        await anyio.aclose_forcefully(stream)


def _note_failure(delivery: Delivery, error: BaseException) -> None:
    """Log an error of a connection on which an answer was on its way.

    An end by the caller is no error, and a reset by the host has its own line.
    """
    if isinstance(error, anyio.EndOfStream | anyio.ClosedResourceError):
        return
    if delivery.undelivered_bytes:
        log_failure(delivery, error, time.monotonic())


async def _serve_requests(server: Server, delivery: Delivery) -> bool:
    """Serve the requests on a connection; return whether it ended after a complete answer."""
    limits = server.get_limits()
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
    while await _serve_request(server, delivery, connection):
        connection.start_next_cycle()
    return connection.our_state is h11.MUST_CLOSE


async def _linger(server: Server, delivery: Delivery) -> None:
    """End the answers, and discard what the caller sends until it ends the connection, too.

    That takes as long as the caller receives the answers, and some time after that.
    """
    seconds = DRAIN_CHECK_INTERVAL_SECONDS
    try:
        await delivery.stream.send_eof()
        delivery.is_settled = False
        while count_undelivered_bytes(delivery.stream):
            with anyio.move_on_after(seconds):
                await _discard_input(server, delivery.stream)
            seconds = min(2 * seconds, CHECK_INTERVAL_SECONDS)
        if server.lingering >= MAX_LINGERING:
            return
        server.lingering += 1
        try:
            with anyio.move_on_after(LINGER_SECONDS):
                await _discard_input(server, delivery.stream)
        finally:
            server.lingering -= 1
    except STREAM_ERRORS as error:
        _note_failure(delivery, error)


async def _discard_input(server: Server, stream: SocketStream) -> None:
    while True:
        data = await stream.receive(READ_BYTES)
        await anyio.sleep(_delay_discard(server, len(data), time.monotonic()))


def _delay_discard(server: Server, size: int, now: float) -> float:
    """Return the seconds to wait after some bytes of callers were discarded."""
    server.discard_at = max(server.discard_at, now) + size / DISCARDED_BYTES_PER_SECOND
    return server.discard_at - now


async def _serve_request(server: Server, delivery: Delivery, connection: h11.Connection) -> bool:
    """Serve the next request and return whether the connection can be reused."""
    stream = delivery.stream
    if not connection.trailing_data[0] and not await _wait_for_request(
        server, delivery, connection
    ):
        return False
    arrived_at = time.monotonic()
    if server.wait_for_turn is not None:
        await server.wait_for_turn()
    reservation, meter = BodyReservation(server.memory), WorkMeter(server.work)
    start_request(delivery, arrived_at, server.get_limits().idle_timeout_seconds)
    exchange = Exchange(server, delivery, connection, arrived_at, reservation, meter)
    start_turn(meter)
    server.exchanges.add(exchange)
    try:
        if not await _read_request(exchange):
            return False
        await _run_handler(exchange)
    except BaseException:
        if not exchange.is_complete:
            await reset(stream)
        raise
    finally:
        server.exchanges.discard(exchange)
        delivery.is_settled = False
        bodies.release(exchange.reservation)
    if exchange.must_reset or exchange.caller_gone or not exchange.is_complete:
        await reset(stream)
        return False
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _wait_for_request(server: Server, delivery: Delivery, connection: h11.Connection) -> bool:
    """Wait for the first bytes of a request; return False if the connection must be closed."""
    waits_since = time.monotonic()
    while True:
        idle_seconds = server.get_limits().idle_timeout_seconds
        seconds = _find_idle_end(delivery, waits_since, idle_seconds) - time.monotonic()
        if seconds <= 0:
            break
        with anyio.move_on_after(seconds) as scope:
            server.waiting[scope] = delivery
            try:
                return await _receive_first_bytes(delivery, connection)
            finally:
                del server.waiting[scope]
        if anyio.current_time() < scope.deadline:
            # The server is stopping.
            break
    # A request may have arrived that the event loop had not read yet.
    with anyio.move_on_after(LAST_RECEIVE_SECONDS):
        return await _receive_first_bytes(delivery, connection)
    data = receive_nowait(delivery.stream)
    if data:
        connection.receive_data(data)
    return bool(data)


def _find_idle_end(delivery: Delivery, waits_since: float, idle_seconds: float) -> float:
    """Return the monotonic time in seconds until which a connection may be idle.

    It is not idle while its caller receives an answer.
    """
    if count_undelivered_bytes(delivery.stream):
        delivery.busy_at = time.monotonic()
    return max(waits_since, delivery.busy_at) + idle_seconds


async def _receive_first_bytes(delivery: Delivery, connection: h11.Connection) -> bool:
    try:
        data = await delivery.stream.receive(READ_BYTES)
    except STREAM_ERRORS as error:
        _note_failure(delivery, error)
        return False
    connection.receive_data(data)
    return True


async def _read_request(exchange: Exchange) -> bool:
    """Read a complete request; if it is refused, answer that and return False."""
    try:
        return await _read_head(exchange) and await _read_body(exchange)
    except RefusedRequestError as error:
        status, outcome = error.status, error.outcome
    except TimeoutError:
        status, text = REQUEST_TIMEOUT, "the request did not arrive in time; send it again"
        outcome = NotRun(Reason.BAD_REQUEST, text)
    except h11.RemoteProtocolError as error:
        status, text = error.error_status_hint, "the request is no valid HTTP/1.1 request"
        outcome = NotRun(Reason.BAD_REQUEST, text)
    # What was received of the body is freed before this, with the frames of the error.
    await _refuse(exchange, status, outcome)
    return False


async def _read_head(exchange: Exchange) -> bool:
    limits = exchange.server.get_limits()
    with anyio.fail_after(limits.header_timeout_seconds):
        head = await _read_event(exchange)
    if not isinstance(head, h11.Request):
        return False
    exchange.method, exchange.target = head.method, head.target
    exchange.headers = list(head.headers.raw_items())
    # The parser checks the limit only for heads that arrive in several pieces.
    size = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in exchange.headers)
    if size > limits.header_bytes:
        text = "the headers are too long; send shorter ones"
        raise RefusedRequestError(HEAD_TOO_LONG, NotRun(Reason.BAD_REQUEST, text))
    return True


async def _read_body(exchange: Exchange) -> bool:
    """Reserve memory for the body and read it."""
    server, reservation = exchange.server, exchange.reservation
    if server.get_body_limit is not None:
        limit = server.get_body_limit(exchange.method, exchange.target)
    else:
        limit = server.get_limits().body_bytes
    length = _get_body_length(exchange.headers)
    if length is not None and length > limit:
        raise _make_length_error()
    first_bytes = bodies.SMALL_BODY_BYTES if length is None else length
    if not await bodies.reserve(reservation, first_bytes):
        raise _make_memory_error(reservation)
    if exchange.connection.they_are_waiting_for_100_continue:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await exchange.stream.send(exchange.connection.send(interim))
    try:
        with anyio.CancelScope() as scope:
            bodies.start_reading(reservation, time.monotonic(), scope)
            return await _receive_body(exchange, limit)
    finally:
        bodies.finish_reading(reservation)
    # The scope was cancelled, because the body has to make room for others.
    raise TimeoutError


def _get_body_length(headers: Headers) -> int | None:
    """Return the length of a body, or None if it comes in chunks; the parser checks the headers."""
    values = {name.lower(): value for name, value in headers}
    if b"transfer-encoding" in values:
        return None
    return parse_count(values.get(b"content-length", b"0")) or 0


async def _receive_body(exchange: Exchange, limit: int) -> bool:
    idle_seconds = exchange.server.get_limits().idle_timeout_seconds
    reservation = exchange.reservation
    parts: list[bytes] = []
    meter = exchange.meter
    start_turn(meter)
    while True:
        # Bounds how long a caller can hold the connection with few bytes, or with none.
        remaining = (
            reservation.began_at
            + idle_seconds
            + reservation.received / MIN_BODY_BYTES_PER_SECOND
            - time.monotonic()
        )
        with anyio.fail_after(min(idle_seconds, remaining)):
            event = await _read_event(exchange)
        if isinstance(event, h11.EndOfMessage):
            exchange.body = b"".join(parts)
            return True
        if not isinstance(event, h11.Data):
            return False
        size = len(event.data)
        await finish_piece(meter, size >= PROGRESS_PIECE_BYTES)
        bodies.record_bytes(reservation, size, time.monotonic())
        if reservation.received > limit:
            raise _make_length_error()
        if reservation.received > reservation.size:
            grown = min(limit, max(2 * reservation.size, reservation.received))
            if not await bodies.reserve(reservation, grown):
                raise _make_memory_error(reservation)
            start_turn(meter)
        parts.append(bytes(event.data))


def _make_length_error() -> RefusedRequestError:
    text = "the body is too long; send a shorter one"
    return RefusedRequestError(BODY_TOO_LONG, NotRun(Reason.TOO_LARGE, text))


def _make_memory_error(reservation: BodyReservation) -> RefusedRequestError:
    memory = reservation.memory
    seconds = bodies.estimate_retry_after_seconds(memory, time.monotonic())
    logger.bind(used=memory.used, seconds=round(seconds, 2)).info(
        "a request was refused, because the memory for bodies is used up"
    )
    text = f"this host has no memory for the body; come back in {seconds:.2f} s"
    return RefusedRequestError(NO_MEMORY, NotRun(Reason.OVERLOADED, text, seconds))


async def _read_event(
    exchange: Exchange,
) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
    """Return the next event of the parser, which is never `h11.NEED_DATA`."""
    while True:
        event = exchange.connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        await wait_for_budget(exchange.meter)
        try:
            data = await exchange.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        start_turn(exchange.meter)
        exchange.connection.receive_data(data)


async def _run_handler(exchange: Exchange) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_for_disconnect, exchange, tasks.cancel_scope)
        try:
            await exchange.server.handle(exchange)
        except STREAM_ERRORS:
            # Only writing to the caller raises these here; errors of endpoint connections are
            # handled where they occur.
            exchange.caller_gone = True
        except Exception:
            logger.exception("handling a request failed")
            if not exchange.has_head:
                await send_answer(exchange, SERVER_ERROR, [], b"")
            exchange.must_reset = not exchange.is_complete
        tasks.cancel_scope.cancel()


async def _watch_for_disconnect(exchange: Exchange, scope: anyio.CancelScope) -> None:
    pipelined = 0
    while pipelined < MAX_PIPELINED_BYTES:
        try:
            data = await exchange.stream.receive(READ_BYTES)
        except STREAM_ERRORS as error:
            _note_failure(exchange.delivery, error)
            exchange.caller_gone = True
            scope.cancel()
            return
        exchange.connection.receive_data(data)
        pipelined += len(data)
        if not bodies.extend(exchange.reservation, len(data)):
            return


# Answers.


async def send_answer(exchange: Exchange, status: int, headers: Headers, body: bytes) -> None:
    """Write a complete answer."""
    length = [(b"Content-Length", str(len(body)).encode())]
    await start_answer(exchange, status, [*headers, *length], body)
    await end_answer(exchange)


async def send_interim(exchange: Exchange, headers: Headers) -> None:
    """Write an interim answer, several of which may precede the head of the answer."""
    head = h11.InformationalResponse(status_code=PROCESSING, headers=headers)
    await exchange.stream.send(exchange.connection.send(head))


async def start_answer(
    exchange: Exchange, status: int, headers: Headers, data: bytes = b""
) -> None:
    """Write the head of an answer and the first part of its body in one send call."""
    if exchange.server.closing:
        headers = [*headers, (b"Connection", b"close")]
    head = h11.Response(status_code=status, headers=headers)
    written = exchange.connection.send(head)
    exchange.has_head, exchange.written_at = True, time.monotonic()
    if data and exchange.method != b"HEAD":
        written += exchange.connection.send(h11.Data(data=data))
    await exchange.stream.send(written)


async def send_part(exchange: Exchange, data: bytes) -> None:
    """Write a further part of the body."""
    if data:
        exchange.written_at = time.monotonic()
        await exchange.stream.send(exchange.connection.send(h11.Data(data=data)))


async def end_answer(exchange: Exchange) -> None:
    """Mark the answer as complete."""
    written = exchange.connection.send(h11.EndOfMessage())
    if written:
        await exchange.stream.send(written)
    exchange.is_complete = True


async def _refuse(exchange: Exchange, status: int, outcome: NotRun) -> None:
    """Answer that a request that may not be complete has not run, and close the connection."""
    if exchange.connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers, body = exchange.server.encode_error(outcome)
    bodies.release(exchange.reservation)
    try:
        await send_answer(exchange, status, [*headers, (b"Connection", b"close")], body)
    except (*STREAM_ERRORS, h11.LocalProtocolError):
        return
