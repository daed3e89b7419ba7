"""Receive the answer of an endpoint, and abort answers that are invalid or exceed a limit.

A faulty endpoint may send an endless head, body or stream, at a high rate or one byte at a time.
All reads are bounded in time and in bytes. The load pattern is many such endpoints at the same
time, so all buffered answers of a host share one memory limit, and the handling of their bytes a
budget of processor time.
"""

import math
import time

import anyio
import anyio.lowlevel
import h11
from anyio.abc import SocketAttribute, SocketStream
from msgspec import Struct, field

from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway.exceptions import FailedStreamError
from marjorambridge.gateway.messages import (
    SUCCESS_STATUSES,
    AnswerHead,
    Attempt,
    AttemptResult,
    Dialect,
    Forwarded,
)
from marjorambridge.gateway.streams import ENDPOINT_TIMEOUT_SECONDS, STREAM_ERRORS
from marjorambridge.gateway.work import (
    PROGRESS_PIECE_BYTES,
    IdleWorkError,
    WorkMeter,
    exclude,
    finish_piece,
    start_turn,
    wait_for_budget,
)
from marjorambridge.transport.progress import is_unreachable, read_progress
from marjorambridge.transport.reading import READ_BYTES

MAX_HEAD_BYTES = 65_536
HEAD_START = b"HTTP/1."
# Interim answers (status 1xx) before the final one; HTTP defines four kinds of them.
MAX_INTERIM_ANSWERS = 8
MAX_ANSWER_BYTES = 16_777_216
# The body of a failure is normally one line of text. These limits in bytes and seconds leave enough
# time for an attempt at another endpoint.
MAX_FAILURE_BYTES = 65_536
FAILURE_BODY_SECONDS = 0.5
# Time between two checks whether an endpoint that has acknowledged nothing is unreachable.
CHECK_INTERVAL_SECONDS = 0.25
SERVER_ERROR_STATUSES = range(500, 600)
# Other statuses are invalid (RFC 9110, section 15), and so is what such an answer says of the
# request. The parser refuses those below 100.
VALID_STATUSES = range(100, 600)
# Causes for which an answer is not received further, for the log.
ENDINGS = {
    Forwarded.CALLER_GONE: "the caller closed the connection",
    Forwarded.OVERTAKEN: "another attempt brought the next event",
}


class InvalidAnswerError(Exception):
    """The answer is invalid or the connection broke; the request may have run."""


class AnswerReader(Struct):
    """Store the state of an answer that is being received.

    Attributes
    ----------
    meter : WorkMeter
        Processor time for the answer.
    has_ended : bool
        Whether the connection ended or was reset.
    interim_answers : int
        Number of interim answers received.
    failure_deadline : float
        Monotonic time in seconds until which the body of a failure is read; 0 for other answers.
    """

    stream: SocketStream
    connection: h11.Connection
    attempt: Attempt
    dialect: Dialect
    result: AttemptResult
    meter: WorkMeter
    has_ended: bool = False
    interim_answers: int = 0
    failure_deadline: float = 0.0
    parts: list[bytes] = field(default_factory=list)


async def receive_answer(reader: AnswerReader) -> None:
    """Receive an answer and store it in the result of the attempt."""
    # Lets the sending task give the request to the parser before anything is received.
    await anyio.lowlevel.checkpoint()
    result = reader.result
    start_turn(reader.meter)
    try:
        while not await _handle_event(reader, reader.connection.next_event()):
            pass
    except h11.RemoteProtocolError as error:
        result.detail = f"no valid answer: {error}"
    except (InvalidAnswerError, IdleWorkError) as error:
        result.detail = str(error)
    except ValueError as error:
        result.detail = f"no valid event: {error}"
    except FailedStreamError as error:
        result.outcome, result.detail = AttemptOutcome.FAILED, str(error)
    result.has_ended = reader.has_ended and _is_valid_so_far(reader)


def _is_valid_so_far(reader: AnswerReader) -> bool:
    """Return whether what was received before the end of the connection may be a valid answer.

    Bytes are parsed before more are received, so that only an incomplete line may still be invalid.
    """
    start = reader.connection.trailing_data[0][: len(HEAD_START)]
    return reader.result.head is not None or HEAD_START.startswith(start)


async def _handle_event(reader: AnswerReader, event: object) -> bool:
    """Handle one event of the parser and return whether the attempt has ended."""
    result = reader.result
    if event is h11.NEED_DATA:
        return not await _receive_more(reader)
    if isinstance(event, h11.InformationalResponse):
        if reader.attempt.handle_interim(list(event.headers.raw_items())):
            return False
        reader.interim_answers += 1
        if reader.interim_answers > MAX_INTERIM_ANSWERS:
            raise InvalidAnswerError("there are too many interim answers")
        return False
    if isinstance(event, h11.Response):
        return _handle_head(reader, event)
    if isinstance(event, h11.Data):
        return await _handle_data(reader, bytes(event.data))
    if isinstance(event, h11.EndOfMessage):
        result.body = b"".join(reader.parts)
        _check_end(reader)
        classify_result(result)
        return True
    raise InvalidAnswerError("the endpoint closed the connection")


async def _receive_more(reader: AnswerReader) -> bool:
    """Receive more bytes and return whether any arrived before the deadline."""
    await wait_for_budget(reader.meter)
    limit = reader.failure_deadline or reader.attempt.deadline
    check_at = time.monotonic() + ENDPOINT_TIMEOUT_SECONDS
    while True:
        with anyio.move_on_after(min(limit, check_at) - time.monotonic()):
            reader.connection.receive_data(await _receive(reader))
            return True
        if limit <= time.monotonic():
            break
        check_at = time.monotonic() + _check_endpoint(reader)
    if reader.failure_deadline:
        raise InvalidAnswerError("the body of a failure did not arrive in time")
    return not _has_stalled(reader)


async def _send_replies(reader: AnswerReader) -> None:
    """Send what another host is to get after the request."""
    data = b"".join(reader.attempt.replies)
    reader.attempt.replies.clear()
    try:
        await reader.stream.send(data)
    except anyio.BusyResourceError as error:
        raise InvalidAnswerError("the other host reports before it has the request") from error


async def _receive(reader: AnswerReader) -> bytes:
    """Return what arrives next; nothing at the end of the connection.

    Raises
    ------
    InvalidAnswerError
        If the connection broke.
    """
    try:
        if reader.attempt.replies:
            await _send_replies(reader)
        return await reader.stream.receive(READ_BYTES)
    except anyio.EndOfStream:
        reader.has_ended = True
        return b""
    except STREAM_ERRORS as error:
        reader.has_ended = True
        raise InvalidAnswerError(repr(error)) from error
    finally:
        start_turn(reader.meter)


def _check_endpoint(reader: AnswerReader) -> float:
    """Return the seconds until the next check; infinite if the kernel can't tell.

    Raises
    ------
    InvalidAnswerError
        If the endpoint is unreachable, which ends the attempt like a broken connection.
    """
    try:
        progress = read_progress(reader.stream.extra(SocketAttribute.raw_socket))
    except OSError as error:
        reader.has_ended = True
        raise InvalidAnswerError(repr(error)) from error
    if progress is None:
        return math.inf
    if is_unreachable(progress, ENDPOINT_TIMEOUT_SECONDS):
        reader.has_ended = True
        raise InvalidAnswerError(
            f"the endpoint has acknowledged nothing for {progress.silent_seconds} s"
        )
    return max(CHECK_INTERVAL_SECONDS, ENDPOINT_TIMEOUT_SECONDS - progress.silent_seconds)


def _has_stalled(reader: AnswerReader) -> bool:
    """Return whether the deadline has passed, and store it in the result."""
    if reader.attempt.deadline > time.monotonic():
        return False
    reader.result.outcome = AttemptOutcome.STALLED
    reader.result.detail = "the answer made no progress in time"
    return True


def _handle_head(reader: AnswerReader, event: h11.Response) -> bool:
    result = reader.result
    if event.status_code not in VALID_STATUSES:
        raise InvalidAnswerError(
            f"the status {event.status_code} is invalid; mend the endpoint to send 100 to 599"
        )
    head = reader.dialect.decode_answer(event.status_code, list(event.headers.raw_items()))
    result.head = head
    if head.request_id not in ("", reader.attempt.request_id):
        raise InvalidAnswerError("the answer belongs to another request")
    reader.attempt.handle_head(head)
    if head.not_run or head.misdirected:
        # The head determines the outcome; the body is not forwarded to the caller.
        classify_result(result)
        return True
    if head.status not in SUCCESS_STATUSES:
        reader.failure_deadline = time.monotonic() + FAILURE_BODY_SECONDS
    return False


async def _handle_data(reader: AnswerReader, data: bytes) -> bool:
    attempt, head = reader.attempt, reader.result.head
    if attempt.send_event_bytes is not None and head is not None and is_event_stream(head):
        return await _forward(reader, head, data)
    size = attempt.allocation.size + len(data)
    if size > (MAX_FAILURE_BYTES if reader.failure_deadline else MAX_ANSWER_BYTES):
        raise InvalidAnswerError("the answer is too long")
    if not attempt.allocation.allocate(len(data)):
        raise InvalidAnswerError("the memory limit for buffered answers of this host is reached")
    reader.parts.append(data)
    return await _finish_piece(reader, len(data) >= PROGRESS_PIECE_BYTES)


async def _forward(reader: AnswerReader, head: AnswerHead, data: bytes) -> bool:
    """Forward the events of a piece, and return whether the attempt has ended."""
    send_event_bytes, meter = reader.attempt.send_event_bytes, reader.meter
    assert send_event_bytes is not None, "only streams have pieces that are forwarded"
    meter.is_buffered = False
    before = time.thread_time()
    forwarded = await send_event_bytes(head, data)
    if forwarded in ENDINGS:
        reader.result.detail = ENDINGS[forwarded]
        return True
    has_progress = forwarded is Forwarded.EVENTS
    if has_progress:
        exclude(meter, before)
    return await _finish_piece(reader, has_progress)


async def _finish_piece(reader: AnswerReader, has_progress: bool) -> bool:
    """Count a piece of the answer, and return whether its deadline passed during other turns."""
    return await finish_piece(reader.meter, has_progress) and _has_stalled(reader)


def _check_end(reader: AnswerReader) -> None:
    head = reader.result.head
    if head is None:
        return
    if head.status not in SUCCESS_STATUSES:
        reader.dialect.decode_failure(head, reader.result.body)
    elif head.has_unknown_end and reader.attempt.method != b"HEAD":
        raise InvalidAnswerError("a cut of the answer can't be told from its end")


def is_event_stream(head: AnswerHead | None) -> bool:
    """Return whether the head is that of a successful, signed stream of events."""
    return (
        head is not None
        and head.status in SUCCESS_STATUSES
        and head.is_signed
        and head.is_event_stream
    )


def classify_result(result: AttemptResult) -> None:
    """Set the outcome of an attempt from a complete answer, or from a head that determines it."""
    head = result.head
    if head is None:
        result.detail = "the endpoint sent no answer"
    elif head.misdirected:
        result.outcome, result.detail = AttemptOutcome.MISDIRECTED, head.endpoint_at_fault
    elif head.not_run:
        result.outcome, result.detail = AttemptOutcome.NOT_RUN, head.endpoint_at_fault
    elif head.status in SUCCESS_STATUSES and not head.is_signed:
        result.detail = "the answer has no signature"
    elif head.status in SERVER_ERROR_STATUSES:
        result.outcome, result.detail = AttemptOutcome.FAILED, f"status {head.status}"
    else:
        result.outcome = AttemptOutcome.COMPLETE
