"""Run one attempt of a request at an endpoint.

Each attempt uses a new connection. Extra, late, repeated or truncated answers of an endpoint can't
reach another request this way, at the cost of one round trip for each connection.
"""

import anyio
import h11
from anyio.abc import SocketStream

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway.answers import MAX_HEAD_BYTES, AnswerReader, receive_answer
from marjorambridge.gateway.messages import Attempt, AttemptResult, Dialect
from marjorambridge.gateway.streams import STREAM_ERRORS, reset, set_options
from marjorambridge.gateway.work import WorkMeter

# Bodies are sent in slices, so that an endpoint that doesn't read them causes no further copy.
SEND_BYTES = 65_536


async def run_attempt(attempt: Attempt, dialect: Dialect) -> AttemptResult:
    """Send a request and receive its answer."""
    ip, _, port = attempt.address.rpartition(":")
    try:
        with anyio.fail_after(defaults.CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(ip, int(port))
    except (TimeoutError, OSError) as error:
        return AttemptResult(AttemptOutcome.NOT_SENT, detail=repr(error))
    attempt.handle_connected()
    result = AttemptResult(AttemptOutcome.BROKEN)
    try:
        set_options(stream)
        async with anyio.create_task_group() as tasks:
            connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
            tasks.start_soon(_send_request, stream, connection, attempt)
            meter = WorkMeter(attempt.work, attempt.address)
            await receive_answer(AnswerReader(stream, connection, attempt, dialect, result, meter))
            tasks.cancel_scope.cancel()
    finally:
        await reset(stream)
    return result


async def open_trial(address: str) -> None:
    """Open a connection to an endpoint and close it.

    Raises
    ------
    TimeoutError, OSError
        If the connection can't be opened.
    """
    ip, _, port = address.rpartition(":")
    with anyio.fail_after(defaults.CONNECT_TIMEOUT_SECONDS):
        stream = await anyio.connect_tcp(ip, int(port))
    await reset(stream)


async def _send_request(stream: SocketStream, connection: h11.Connection, attempt: Attempt) -> None:
    headers = [*attempt.headers, (b"Connection", b"close")]
    if attempt.body or attempt.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        headers.append((b"Content-Length", str(len(attempt.body)).encode()))
    request = h11.Request(method=attempt.method, target=attempt.target, headers=headers)
    head = connection.send(request) or b""
    if attempt.body:
        connection.send(h11.Data(data=attempt.body))
    connection.send(h11.EndOfMessage())
    try:
        await stream.send(head + attempt.body[:SEND_BYTES])
        for start in range(SEND_BYTES, len(attempt.body), SEND_BYTES):
            await stream.send(attempt.body[start : start + SEND_BYTES])
    except STREAM_ERRORS:
        # The endpoint may have answered before it read the whole request; the receiving task
        # handles both cases.
        return
