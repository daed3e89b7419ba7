"""Read the request of a caller, and write its answer as parts of it arrive.

The parser is `h11`, which refuses ambiguous framing. `callers` serves the connections.
"""

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import h11
from anyio.abc import SocketStream
from loguru import logger
from msgspec import Struct, field

from marjorambridge.core.numbers import parse_count
from marjorambridge.core.outcomes import NotRun, Reason, Unsuccessful
from marjorambridge.gateway import bodies
from marjorambridge.gateway.bodies import BodyMemory, BodyReservation
from marjorambridge.gateway.delivery import Delivery
from marjorambridge.gateway.messages import Headers
from marjorambridge.gateway.streams import STREAM_ERRORS
from marjorambridge.gateway.work import (
    PROGRESS_PIECE_BYTES,
    WorkBudget,
    WorkMeter,
    finish_piece,
    start_turn,
    wait_for_budget,
)
from marjorambridge.manifests.models import CallerLimits
from marjorambridge.transport.reading import READ_BYTES

if TYPE_CHECKING:
    from marjorambridge.forwarding.relays import Relay

# Lowest average rate at which the body of a request may arrive, after the idle timeout.
MIN_BODY_BYTES_PER_SECOND = 10_000
# Memory of a server for bodies, and for answers in the kernel, if none was set.
DEFAULT_BODY_MEMORY_BYTES = 16_777_216
DEFAULT_DELIVERY_BYTES = 16_777_216
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


async def read_request(exchange: Exchange) -> bool:
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
