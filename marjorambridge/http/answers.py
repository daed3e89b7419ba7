"""Write the effects of a request to its caller as they are produced."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from msgspec import Struct, field

from marjorambridge.core.outcomes import Done, Failed, Reason
from marjorambridge.http.bodies import BODILESS_STATUSES
from marjorambridge.http.completions import (
    Completion,
    build_answer,
    build_usage,
    encode_chunk,
    encode_end,
    encode_event,
)
from marjorambridge.http.headers import ANSWER_DROPPED_HEADERS
from marjorambridge.http.messages import send_json
from marjorambridge.http.outcomes import encode_outcome
from marjorambridge.http.registry import RequestRegistry, StoredRequest, mark_written
from marjorambridge.http.settings import CallerSettings
from marjorambridge.requests.effects import FinishRequest, ForwardChunk, ForwardHeaders

# How often the progress of a caller is looked at within the limit of a write, which may be exceeded
# by two intervals.
CHECKS_PER_LIMIT = 8


class _AnswerProgress(Struct):
    """Progress of the answer to one caller."""

    started: bool = False
    ended: bool = False
    status: int = 200
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


def _describe(stored: StoredRequest, created: int) -> Completion:
    return Completion(stored.request, stored.path, stored.model, created)


def _select_headers(effect: ForwardHeaders, method: str) -> list[tuple[bytes, bytes]]:
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in effect.headers
        if name.lower() not in ANSWER_DROPPED_HEADERS
        or (method == "HEAD" and name.lower() == "content-length")
    ]


async def _write_plain_effect(
    stored: StoredRequest, answer: _AnswerProgress, effect: Any, send: Callable[..., Any]
) -> None:
    """Write one effect of a call to a plain service, whose answer is forwarded unchanged."""
    if isinstance(effect, ForwardHeaders):
        if not answer.started:
            answer.started = True
            answer.status = effect.status
            headers = _select_headers(effect, stored.method)
            if effect.status in BODILESS_STATUSES:
                headers = [item for item in headers if item[0] != b"content-length"]
            await send({"type": "http.response.start", "status": effect.status, "headers": headers})
    elif isinstance(effect, ForwardChunk):
        if not answer.started:
            await _write_plain_effect(stored, answer, ForwardHeaders(stored.request, 200), send)
        if answer.status not in BODILESS_STATUSES and stored.method != "HEAD":
            await send({"type": "http.response.body", "body": effect.data, "more_body": True})
    else:
        answer.ended = True
        if not isinstance(effect.outcome, Done):
            if answer.started:
                # The headers were already sent, so only a reset connection shows the caller that
                # the answer is incomplete.
                raise ConnectionAbortedError("the answer was cut")
            status, body, headers_out = encode_outcome(effect.outcome)
            await send_json(send, status, body, headers_out)
            return
        if not answer.started:
            await _write_plain_effect(stored, answer, ForwardHeaders(stored.request, 200), send)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _write_stream_effect(
    stored: StoredRequest,
    answer: _AnswerProgress,
    effect: Any,
    send: Callable[..., Any],
    created: int,
) -> None:
    """Write one effect of a streamed completion as server-sent events."""

    async def write(data: bytes, more: bool = True) -> None:
        if not answer.started:
            answer.started = True
            headers = [
                (b"content-type", b"text/event-stream; charset=utf-8"),
                (b"cache-control", b"no-store"),
                (b"x-request-id", stored.request.encode()),
            ]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": data, "more_body": more})

    if isinstance(effect, ForwardHeaders):
        return
    if isinstance(effect, ForwardChunk):
        text = effect.data.decode("utf-8", "replace")
        await write(encode_chunk(_describe(stored, created), text, None))
        return
    answer.ended = True
    if not isinstance(effect.outcome, Done):
        status, body, headers_out = encode_outcome(effect.outcome)
        if answer.started:
            await write(encode_event(body), more=False)
        else:
            await send_json(send, status, body, headers_out)
        return
    usage = build_usage(effect.prompt_tokens, effect.output_tokens)
    end = encode_end(
        _describe(stored, created), effect.finish, usage if stored.include_usage else None
    )
    await write(end, more=False)


async def _write_collected_effect(
    stored: StoredRequest,
    answer: _AnswerProgress,
    effect: Any,
    send: Callable[..., Any],
    created: int,
    limit: int,
) -> None:
    """Collect a completion and write it as one JSON body."""
    if isinstance(effect, ForwardChunk):
        answer.size += len(effect.data)
        if answer.size > limit:
            answer.ended = True
            outcome = Failed(
                Reason.TOO_LARGE, f"the answer is larger than {limit} bytes; ask for a stream"
            )
            status, body, headers = encode_outcome(outcome)
            await send_json(send, status, body, headers)
            return
        answer.parts.append(effect.data)
    elif isinstance(effect, FinishRequest):
        answer.ended = True
        if isinstance(effect.outcome, Done):
            text = b"".join(answer.parts).decode("utf-8", "replace")
            usage = build_usage(effect.prompt_tokens, effect.output_tokens)
            body = build_answer(_describe(stored, created), text, effect.finish, usage)
            await send_json(send, 200, body, (("x-request-id", stored.request),))
        else:
            status, body, headers = encode_outcome(effect.outcome)
            await send_json(send, status, body, headers)


@contextlib.asynccontextmanager
async def _limit_write(stored: StoredRequest, seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` once the caller has read nothing for `seconds`."""
    loop = asyncio.get_running_loop()
    last_unsent_bytes, moved_at = -1, loop.time()
    timer: asyncio.TimerHandle

    def check() -> None:
        nonlocal last_unsent_bytes, moved_at, timer
        unsent_bytes = stored.count_unsent_bytes()
        if unsent_bytes != last_unsent_bytes:
            last_unsent_bytes, moved_at = unsent_bytes, loop.time()
        elif loop.time() - moved_at >= seconds:
            limit.reschedule(loop.time())
            return
        timer = loop.call_later(seconds / CHECKS_PER_LIMIT, check)

    timer = loop.call_later(seconds / CHECKS_PER_LIMIT, check)
    try:
        async with asyncio.timeout(None) as limit:
            yield
    finally:
        timer.cancel()


async def write_answer(
    registry: RequestRegistry,
    stored: StoredRequest,
    send: Callable[..., Any],
    settings: CallerSettings,
) -> bool:
    """Write the effects of a request to its caller until the last one.

    Returns
    -------
    bool
        Whether the answer, or the error that ends it, was written; False if the caller's
        connection was closed before or a write waited for `send_timeout_seconds` while the caller
        read nothing.

    Raises
    ------
    ConnectionAbortedError
        If the answer of a plain service was cut after its headers were sent.
    """
    answer = _AnswerProgress()
    created = int(time.time())
    while not answer.ended:
        if stored.disconnected or stored.overflowed:
            return False
        if not stored.pending:
            stored.waiting.clear()
            await stored.waiting.wait()
            continue
        effect = stored.pending.popleft()
        try:
            async with _limit_write(stored, settings.send_timeout_seconds):
                if not stored.is_engine:
                    await _write_plain_effect(stored, answer, effect, send)
                elif stored.stream:
                    await _write_stream_effect(stored, answer, effect, send, created)
                else:
                    limit = settings.max_answer_bytes
                    await _write_collected_effect(stored, answer, effect, send, created, limit)
        except TimeoutError:
            return False
        if isinstance(effect, ForwardChunk):
            mark_written(registry, stored, len(effect.data))
    return True
