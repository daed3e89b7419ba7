"""Log the requests that the end of the process cuts."""

import fcntl
import struct
import termios
from collections.abc import Iterable

import h11
from anyio.abc import SocketAttribute, SocketStream
from loguru import logger

from marjorambridge.gateway.callers import Exchange, Server

# Requests that are logged one by one; the others are counted.
MAX_CUT_LINES = 50
# Number of bytes if the kernel can't tell it.
UNKNOWN_BYTES = -1
COUNT = struct.Struct("i")


def log_cut_requests(servers: Iterable[Server], now: float) -> int:
    """Log the requests in progress, which end with the process, and return their number."""
    exchanges = [exchange for server in servers for exchange in server.exchanges]
    exchanges.sort(key=lambda exchange: exchange.arrived_at)
    for exchange in exchanges[:MAX_CUT_LINES]:
        log_cut_request(exchange, now)
    if len(exchanges) > MAX_CUT_LINES:
        logger.bind(cut=len(exchanges) - MAX_CUT_LINES).warning(
            "further requests are cut, because the process ends"
        )
    return len(exchanges)


def log_cut_request(exchange: Exchange, now: float) -> None:
    """Log what a request that is cut was doing, and what its caller did not get."""
    logger.bind(
        request=exchange.request_id,
        state=name_state(exchange),
        seconds=round(now - exchange.arrived_at, 3),
        silent_seconds=round(now - (exchange.written_at or exchange.arrived_at), 3),
        unsent_bytes=count_unsent_bytes(exchange.stream),
        unacknowledged_bytes=count_unacknowledged_bytes(exchange.stream),
    ).warning("a request is cut, because the process ends")


def name_state(exchange: Exchange) -> str:
    """Return what a request is doing."""
    if exchange.is_complete:
        return "written"
    if exchange.has_head:
        return "streaming"
    if exchange.connection.their_state is h11.IDLE:
        return "reading the head"
    if exchange.connection.their_state is h11.SEND_BODY:
        return "reading the body"
    return "waiting for an answer"


def count_unsent_bytes(stream: SocketStream) -> int:
    """Return the bytes that wait in the process until the kernel takes them."""
    transport = getattr(stream, "_transport", None)
    return transport.get_write_buffer_size() if transport is not None else UNKNOWN_BYTES


def count_unacknowledged_bytes(stream: SocketStream) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        answer = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except (OSError, ValueError):
        # The connection is closed, or the system has no such call.
        return UNKNOWN_BYTES
    return COUNT.unpack(answer)[0]
