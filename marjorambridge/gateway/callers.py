"""Serve HTTP/1.1 connections: buffer requests, and write answers as parts of them arrive.

While a request is handled, the connection is monitored, and the handler is cancelled as soon as the
caller disconnects. `exchanges` reads the requests and writes the answers.
"""

import socket
import time

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.lowlevel import checkpoint
from loguru import logger

from marjorambridge.gateway import bodies
from marjorambridge.gateway.bodies import BodyReservation
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
from marjorambridge.gateway.exchanges import (
    SERVER_ERROR,
    Exchange,
    Server,
    read_request,
    send_answer,
)
from marjorambridge.gateway.streams import (
    STREAM_ERRORS,
    limit_unsent_bytes,
    reset,
    set_options,
)
from marjorambridge.gateway.work import WorkMeter, start_turn
from marjorambridge.transport.reading import READ_BYTES, limit_receive_buffer, receive_nowait

# Pipelined requests are buffered up to this size; beyond it the connection is not read.
MAX_PIPELINED_BYTES = 262_144
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
        if not await read_request(exchange):
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
