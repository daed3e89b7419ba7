"""Receive the answer of an endpoint, and give up what is none.

An endpoint in trouble may send bytes without end, fast or one now and then, in a head, a body or a
stream. Everything that is read is bounded in time and in bytes, and only what moves the answer on
gives an endpoint more time. The load pattern is many such endpoints at once: all answers of a host
share the memory in which they are collected.
"""

import time

import anyio
import anyio.lowlevel
import h11
from anyio.abc import SocketStream
from msgspec import Struct, field

from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway.messages import SUCCESS_STATUSES, Attempt, AttemptResult, Dialect
from marjorambridge.gateway.streams import STREAM_ERRORS

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Interim answers (status 1xx) before the final one; HTTP has four kinds of them.
MAX_INTERIM_ANSWERS = 8
MAX_ANSWER_BYTES = 16_777_216
# An endpoint's failure is a line of text. Its body may be this long and take this many seconds,
# after which another endpoint can still answer in time.
MAX_FAILURE_BYTES = 65_536
FAILURE_BODY_SECONDS = 0.5
SERVER_ERROR_STATUSES = range(500, 600)


class InvalidAnswerError(Exception):
    """What an endpoint sends is no answer, or the connection broke; the request may have run."""


class AnswerReader(Struct):
    """Hold an answer that is being received.

    Attributes
    ----------
    interim_answers : int
        Interim answers so far.
    failure_deadline : float
        Monotonic time in seconds until which the body of a failure is read; 0 if it is none.
    """

    stream: SocketStream
    connection: h11.Connection
    attempt: Attempt
    dialect: Dialect
    result: AttemptResult
    interim_answers: int = 0
    failure_deadline: float = 0.0
    parts: list[bytes] = field(default_factory=list)


async def receive_answer(reader: AnswerReader) -> None:
    """Receive an answer into the result of its attempt."""
    # The request is handed to the parser before anything is received.
    await anyio.lowlevel.checkpoint()
    result = reader.result
    try:
        while not await _handle_event(reader, reader.connection.next_event()):
            pass
    except h11.RemoteProtocolError as error:
        result.detail = f"no valid answer: {error}"
    except InvalidAnswerError as error:
        result.detail = str(error)
    except ValueError as error:
        result.detail = f"no valid event: {error}"


async def _handle_event(reader: AnswerReader, event: object) -> bool:
    """Take one event of the parser into account and return whether the attempt has ended."""
    result = reader.result
    if event is h11.NEED_DATA:
        return not await _receive_more(reader)
    if isinstance(event, h11.InformationalResponse):
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
        classify_result(result)
        return True
    raise InvalidAnswerError("the endpoint closed the connection")


async def _receive_more(reader: AnswerReader) -> bool:
    """Receive more bytes and return whether any came in time."""
    limit = reader.failure_deadline or reader.attempt.get_stall_deadline()
    with anyio.move_on_after(limit - time.monotonic()):
        try:
            data = await reader.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        except STREAM_ERRORS as error:
            raise InvalidAnswerError(repr(error)) from error
        reader.connection.receive_data(data)
        return True
    if reader.failure_deadline:
        raise InvalidAnswerError("the body of a failure did not come in time")
    reader.result.outcome = AttemptOutcome.STALLED
    reader.result.detail = "no part of the answer came in time"
    return False


def _handle_head(reader: AnswerReader, event: h11.Response) -> bool:
    result = reader.result
    head = reader.dialect.decode_answer(event.status_code, list(event.headers.raw_items()))
    result.head = head
    if head.request_id not in ("", reader.attempt.request_id):
        raise InvalidAnswerError("the answer belongs to another request")
    reader.attempt.handle_head(head)
    if head.not_run or head.misdirected:
        # The head says all; nothing of the body reaches a caller.
        classify_result(result)
        return True
    if head.status not in SUCCESS_STATUSES:
        reader.failure_deadline = time.monotonic() + FAILURE_BODY_SECONDS
    return False


async def _handle_data(reader: AnswerReader, data: bytes) -> bool:
    attempt, result = reader.attempt, reader.result
    if _is_streamed(reader):
        if not await attempt.send_event_bytes(result.head, data):
            result.detail = "the caller is gone"
            return True
        return False
    size = attempt.allocation.size + len(data)
    if size > (MAX_FAILURE_BYTES if reader.failure_deadline else MAX_ANSWER_BYTES):
        raise InvalidAnswerError("the answer is too long")
    if not attempt.allocation.allocate(len(data)):
        raise InvalidAnswerError("this host has no memory left for answers")
    reader.parts.append(data)
    return False


def _is_streamed(reader: AnswerReader) -> bool:
    head = reader.result.head
    return (
        reader.attempt.send_event_bytes is not None
        and head.status in SUCCESS_STATUSES
        and head.is_signed
        and head.is_event_stream
    )


def classify_result(result: AttemptResult) -> None:
    """Set the ending of an attempt whose answer came whole, or whose head says all."""
    head = result.head
    if head is None:
        result.detail = "there is no answer"
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
