"""Make one attempt to run a request at an endpoint.

Each attempt has a connection of its own. What an endpoint sends beside an answer, late, twice or
torn, so never meets another request; the connections cost a round trip each.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
import h11
from anyio.abc import SocketStream

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import Ending
from marjorambridge.gateway.messages import AnswerHead, Dialect, Headers
from marjorambridge.gateway.streams import STREAM_ERRORS, reset, set_options

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 16_777_216
MAX_HEAD_BYTES = 65_536
SUCCESS = range(200, 300)
SERVER_ERRORS = range(500, 600)


@dataclass(slots=True)
class Attempt:
    """Describe one attempt.

    Attributes
    ----------
    address : str
        ``ip:port`` of the endpoint.
    pass_event_bytes : callable or None
        Takes the head and each piece of an event stream, and returns whether the caller is still
        there; None if answers are collected whole.
    get_patience : callable
        Returns the time in seconds for which nothing needs to come.
    """

    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str
    get_patience: Callable[[], float]
    pass_event_bytes: Callable[[AnswerHead, bytes], Awaitable[bool]] | None = None


@dataclass(slots=True)
class Result:
    """Hold what came of an attempt.

    Attributes
    ----------
    head : AnswerHead or None
        None if no answer came.
    body : bytes
        Body of an answer that was collected whole.
    detail : str
        What went wrong, for the log.
    """

    ending: Ending
    head: AnswerHead | None = None
    body: bytes = b""
    detail: str = ""
    parts: list[bytes] = field(default_factory=list)


async def run_attempt(attempt: Attempt, dialect: Dialect) -> Result:
    """Send a request and receive its answer."""
    ip, _, port = attempt.address.rpartition(":")
    try:
        with anyio.fail_after(defaults.CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(ip, int(port))
    except (TimeoutError, OSError) as error:
        return Result(Ending.NOT_SENT, detail=repr(error))
    result = Result(Ending.BROKEN)
    try:
        set_options(stream)
        async with anyio.create_task_group() as tasks:
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
            tasks.start_soon(_send_request, stream, connection, attempt)
            await _receive_answer(stream, connection, attempt, dialect, result)
            tasks.cancel_scope.cancel()
    finally:
        await reset(stream)
    return result


async def _send_request(stream: SocketStream, connection: h11.Connection, attempt: Attempt) -> None:
    headers = [*attempt.headers, (b"Connection", b"close")]
    if attempt.body or attempt.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"Content-Length", str(len(attempt.body)).encode()))
    request = h11.Request(method=attempt.method, target=attempt.target, headers=headers)
    data = connection.send(request) or b""
    if attempt.body:
        data += connection.send(h11.Data(data=attempt.body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    try:
        await stream.send(data)
    except STREAM_ERRORS:
        # The endpoint may have answered before it read everything; the receiver finds out.
        return


async def _receive_answer(
    stream: SocketStream,
    connection: h11.Connection,
    attempt: Attempt,
    dialect: Dialect,
    result: Result,
) -> None:
    # The request is handed to the parser before anything is received.
    await anyio.lowlevel.checkpoint()
    size = 0
    try:
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                with anyio.move_on_after(attempt.get_patience()) as scope:
                    connection.receive_data(await _receive(stream))
                if scope.cancelled_caught:
                    result.ending, result.detail = Ending.STALLED, "the endpoint is silent"
                    return
            elif isinstance(event, h11.Response):
                headers = list(event.headers.raw_items())
                result.head = dialect.decode_answer(event.status_code, headers)
                if result.head.request_id not in ("", attempt.request_id):
                    result.detail = "the answer belongs to another request"
                    return
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if _is_passed_on(attempt, result.head):
                    if not await attempt.pass_event_bytes(result.head, bytes(event.data)):
                        result.detail = "the caller is gone"
                        return
                elif size > MAX_ANSWER_BYTES:
                    result.detail = "the answer is too long"
                    return
                else:
                    result.parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                result.body = b"".join(result.parts)
                classify(result)
                return
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                result.detail = "the endpoint closed the connection"
                return
    except h11.RemoteProtocolError as error:
        result.detail = f"no valid answer: {error}"
    except EndpointConnectionError as error:
        result.detail = str(error)
    except ValueError as error:
        result.detail = f"no valid event: {error}"


class EndpointConnectionError(Exception):
    """The connection to an endpoint broke; the request may have run."""


async def _receive(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(READ_BYTES)
    except anyio.EndOfStream:
        return b""
    except STREAM_ERRORS as error:
        raise EndpointConnectionError(repr(error)) from error


def _is_passed_on(attempt: Attempt, head: AnswerHead | None) -> bool:
    return (
        attempt.pass_event_bytes is not None
        and head is not None
        and head.status in SUCCESS
        and head.is_signed
        and head.is_event_stream
    )


def classify(result: Result) -> None:
    """Set the ending of an attempt whose answer came whole."""
    head = result.head
    if head is None:
        result.detail = "there is no answer"
    elif head.misdirected:
        result.ending, result.detail = Ending.MISDIRECTED, head.endpoint_at_fault
    elif head.not_run:
        result.ending, result.detail = Ending.NOT_RUN, head.endpoint_at_fault
    elif head.status in SUCCESS and not head.is_signed:
        result.detail = "the answer has no signature"
    elif head.status in SERVER_ERRORS:
        result.ending, result.detail = Ending.FAILED, f"status {head.status}"
    else:
        result.ending = Ending.COMPLETE
