"""Serve callers and endpoint announcements over HTTP."""

import asyncio
import contextlib
import hashlib
import hmac
import math
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import msgspec

from marjorambridge.conf import defaults
from marjorambridge.core.events import Event
from marjorambridge.core.outcomes import (
    OUTCOME_NAMES,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
)
from marjorambridge.http.bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    is_name,
    parse_announcement,
    parse_completion,
)
from marjorambridge.http.exceptions import CallerDisconnectedError, RequestError
from marjorambridge.http.registry import (
    Registry,
    StoredRequest,
    add_request,
    mark_gone,
    mark_written,
)
from marjorambridge.http.servers import MAX_HEADER_BYTES, Application, abort_connection
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.requests.effects import FinishRequest, ForwardChunk, ForwardHeaders
from marjorambridge.requests.events import CallerGone, RequestArrived

ANNOUNCE_PATH = "/v1/announce"
SERVICES_PREFIX = "/services/"
SERVICE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
BODILESS_STATUSES = frozenset({204, 304})

HashPrefixes = Callable[[bytes, float], tuple[tuple[bytes, ...], tuple[int, ...]]]

# Hop-by-hop headers, and those that the driver sets itself. The workspace key stays on the host.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-timeout",
        "x-marjorambridge-attempt",
        "x-marjorambridge-repeatable",
    }
)

# The server adds its own date; a second one would make the answer ambiguous.
ANSWER_DROPPED_HEADERS = DROPPED_HEADERS | {"date"}

STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.TOO_LARGE: 413,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.NOT_FRESH: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.DEADLINE: 504,
    Reason.CALLER_GONE: 499,
    Reason.ENDPOINT_ERROR: 502,
    Reason.STREAM_CUT: 502,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.CLAIM_MISMATCH: 422,
    Reason.CLAIM_EXPIRED: 410,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.CLAIMANT_LOST: 502,
    Reason.ANSWER_NOT_KEPT: 410,
}


@dataclass(slots=True)
class CallerSettings:
    """Limit what callers may use.

    Attributes
    ----------
    max_header_bytes : int
        Names and values of all headers; the parser of the server only limits incomplete headers.
    max_buffered_bytes : int
        Bodies of all requests in progress together; more are answered with "not run".
    announcement_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the tokens that announcing endpoints must send; empty if
        they need none.
    body_idle_seconds, body_total_seconds : float
        Longest pause between two parts of a body, and longest time for a whole body.
    send_seconds : float
        Longest time that one write to a caller may wait for the caller to read.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_announcement_bytes: int = 512 * 1024
    announcement_token_hashes: tuple[str, ...] = ()
    max_buffered_bytes: int = 512 * 1024 * 1024
    max_answer_bytes: int = defaults.MAX_BODY_BYTES
    body_idle_seconds: float = 15.0
    body_total_seconds: float = 120.0
    send_seconds: float = 30.0


@dataclass(slots=True)
class _Answer:
    """Track what was written to one caller."""

    started: bool = False
    ended: bool = False
    status: int = 200
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


def create_identifier() -> str:
    """Return a new request identifier."""
    return uuid.uuid4().hex


def hash_nothing(data: bytes, bytes_per_token: float) -> tuple[tuple[bytes, ...], tuple[int, ...]]:
    """Return no prefixes; used where prefix affinity is not wanted."""
    return (), ()


def encode_error(
    reason: str, outcome: str, message: str, retry_after: float | None = None
) -> dict[str, Any]:
    """Return the JSON form of an error."""
    return {
        "error": {
            "type": str(reason),
            "outcome": outcome,
            "message": message,
            "retry_after": retry_after,
        }
    }


def encode_outcome(outcome: Outcome) -> tuple[int, dict[str, Any], tuple[tuple[str, str], ...]]:
    """Return status, JSON body and headers for an outcome that is not `Done`.

    Examples
    --------
    >>> encode_outcome(NotRun(Reason.OVERLOADED, "try again later", 0.4))[::2]
    (503, (('retry-after', '1'),))
    """
    assert not isinstance(outcome, Done)
    retry_after = getattr(outcome, "retry_after", None)
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        headers = (("retry-after", str(max(1, math.ceil(retry_after)))),)
    body = encode_error(outcome.reason, OUTCOME_NAMES[type(outcome)], outcome.message, retry_after)
    return STATUSES.get(outcome.reason, 500), body, headers


def read_headers(scope: dict[str, Any]) -> dict[str, str]:
    """Return the headers of a request by lower-case name; the last of equal names wins."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}


def parse_timeout(text: str | None) -> float:
    """Parse ``X-Request-Timeout`` in seconds; 0 if there is none.

    Raises
    ------
    RequestError
        If the value is not a positive number.
    """
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value > 0):
        raise RequestError("X-Request-Timeout must be a positive number of seconds, such as 30")
    return value


def parse_repeatable(text: str | None) -> bool | None:
    """Parse ``X-Marjorambridge-Repeatable``; None if there is none.

    Raises
    ------
    RequestError
        If the value is neither ``true`` nor ``false``.
    """
    if text is None:
        return None
    if text.lower() not in ("true", "false"):
        raise RequestError("X-Marjorambridge-Repeatable must be true or false")
    return text.lower() == "true"


def parse_key(text: str | None) -> str:
    """Return the SHA-256 digest of the workspace key; empty if there is none.

    Raises
    ------
    RequestError
        If the scheme is not ``Bearer``.
    """
    if text is None:
        return ""
    scheme, _, key = text.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(
            "Authorization must have the form 'Bearer KEY'", 401, Reason.UNAUTHENTICATED
        )
    return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()


def matches_any(digest: str, hashes: tuple[str, ...]) -> bool:
    """Tell whether a digest is one of `hashes`, in a time that does not depend on which."""
    return sum(hmac.compare_digest(digest, expected) for expected in hashes) > 0


def parse_idempotency_key(text: str | None) -> str:
    """Return the idempotency key; empty if there is none.

    Raises
    ------
    RequestError
        If the key is empty, too long or has characters other than printable ASCII.
    """
    if text is None:
        return ""
    if not 1 <= len(text) <= 255 or not text.isascii() or not text.isprintable():
        raise RequestError("Idempotency-Key must be 1 to 255 printable ASCII characters")
    return text


async def read_body(
    receive: Callable[[], Any], declared: str | None, limit: int, settings: CallerSettings
) -> bytes:
    """Read the body of a request, at most `limit` bytes.

    Raises
    ------
    RequestError
        If the body is too large (413) or arrives too slowly (408).
    CallerDisconnectedError
        If the caller closed its connection.
    """
    parts: list[bytes] = []
    size = 0
    too_large = declared is not None and declared.isdecimal() and int(declared) > limit
    try:
        async with asyncio.timeout(settings.body_total_seconds):
            while True:
                async with asyncio.timeout(settings.body_idle_seconds):
                    message = await receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError("the caller closed its connection")
                size += len(message["body"])
                too_large = too_large or size > limit
                if too_large:
                    # Most callers read an answer only after they have sent the whole body, so a
                    # bounded part of the excess is read and dropped.
                    parts.clear()
                    if size > 2 * limit or not message.get("more_body", False):
                        raise RequestError(
                            f"the body is larger than {limit} bytes; split the request",
                            413,
                            Reason.TOO_LARGE,
                        )
                    continue
                parts.append(message["body"])
                if not message.get("more_body", False):
                    return b"".join(parts)
    except TimeoutError:
        raise RequestError(
            "the body did not arrive in time; send it without long pauses", 408
        ) from None


async def send_json(
    send: Callable[..., Any],
    status: int,
    body: Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> None:
    """Send a whole JSON answer; None for `body` sends no content."""
    data = b"" if body is None else msgspec.json.encode(body)
    all_headers = [(b"content-length", str(len(data)).encode())]
    if body is not None:
        all_headers.append((b"content-type", b"application/json"))
    all_headers += [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    if status == 204:
        all_headers = []
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": data})


def _encode_event(payload: Any) -> bytes:
    return b"data: " + msgspec.json.encode(payload) + b"\n\n"


def _encode_stream_chunk(
    stored: StoredRequest, created: int, text: str, finish: str | None
) -> bytes:
    chat = stored.path == CHAT_PATH
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    return _encode_event(
        {
            "id": stored.request,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": created,
            "model": stored.model,
            "choices": [choice],
        }
    )


def _build_usage(effect: FinishRequest) -> dict[str, int]:
    return {
        "prompt_tokens": effect.prompt_tokens,
        "completion_tokens": effect.output_tokens,
        "total_tokens": effect.prompt_tokens + effect.output_tokens,
    }


def _build_answer(
    stored: StoredRequest, created: int, text: str, effect: FinishRequest
) -> dict[str, Any]:
    chat = stored.path == CHAT_PATH
    choice: dict[str, Any] = {"index": 0, "finish_reason": effect.finish or "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": stored.request,
        "object": "chat.completion" if chat else "text_completion",
        "created": created,
        "model": stored.model,
        "choices": [choice],
        "usage": _build_usage(effect),
    }


def _select_headers(effect: ForwardHeaders, method: str) -> list[tuple[bytes, bytes]]:
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in effect.headers
        if name.lower() not in ANSWER_DROPPED_HEADERS
        or (method == "HEAD" and name.lower() == "content-length")
    ]


async def _write_plain(
    stored: StoredRequest, answer: _Answer, effect: Any, send: Callable[..., Any]
) -> None:
    """Write one effect of a call to a plain service, whose answer is passed through."""
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
            await _write_plain(stored, answer, ForwardHeaders(stored.request, 200), send)
        if answer.status not in BODILESS_STATUSES and stored.method != "HEAD":
            await send({"type": "http.response.body", "body": effect.data, "more_body": True})
    else:
        answer.ended = True
        if not isinstance(effect.outcome, Done):
            if answer.started:
                # The headers are already with the caller: only a broken connection tells it that
                # the answer is not whole.
                raise ConnectionAbortedError("the answer was cut")
            status, body, headers_out = encode_outcome(effect.outcome)
            await send_json(send, status, body, headers_out)
            return
        if not answer.started:
            await _write_plain(stored, answer, ForwardHeaders(stored.request, 200), send)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _write_stream(
    stored: StoredRequest, answer: _Answer, effect: Any, send: Callable[..., Any], created: int
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
        await write(_encode_stream_chunk(stored, created, text, None))
        return
    answer.ended = True
    if not isinstance(effect.outcome, Done):
        status, body, headers_out = encode_outcome(effect.outcome)
        if answer.started:
            await write(_encode_event(body), more=False)
        else:
            await send_json(send, status, body, headers_out)
        return
    data = _encode_stream_chunk(stored, created, "", effect.finish or "stop")
    if stored.include_usage:
        usage = {"id": stored.request, "choices": [], "usage": _build_usage(effect)}
        data += _encode_event({**usage, "model": stored.model, "created": created})
    await write(data + b"data: [DONE]\n\n", more=False)


async def _write_whole(
    stored: StoredRequest,
    answer: _Answer,
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
            body = _build_answer(stored, created, text, effect)
            await send_json(send, 200, body, (("x-request-id", stored.request),))
        else:
            status, body, headers = encode_outcome(effect.outcome)
            await send_json(send, status, body, headers)


async def _write_answer(
    registry: Registry, stored: StoredRequest, send: Callable[..., Any], settings: CallerSettings
) -> bool:
    """Write the effects of a request to its caller until the last one.

    Returns
    -------
    bool
        Whether the caller got its final answer; False if it was ended or is gone before.

    Raises
    ------
    ConnectionAbortedError
        If a passed-through answer was cut.
    """
    answer = _Answer()
    created = int(time.time())
    while not answer.ended:
        if stored.gone or stored.overflowed:
            return False
        if not stored.pending:
            stored.waiting.clear()
            await stored.waiting.wait()
            continue
        effect = stored.pending.popleft()
        try:
            async with asyncio.timeout(settings.send_seconds):
                if not stored.is_engine:
                    await _write_plain(stored, answer, effect, send)
                elif stored.stream:
                    await _write_stream(stored, answer, effect, send, created)
                else:
                    limit = settings.max_answer_bytes
                    await _write_whole(stored, answer, effect, send, created, limit)
        except TimeoutError:
            return False
        if isinstance(effect, ForwardChunk):
            mark_written(registry, stored, len(effect.data))
    return True


async def _watch_caller(receive: Callable[[], Any], stored: StoredRequest) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            mark_gone(stored)
            return


def _parse_request(
    scope: dict[str, Any],
    headers: dict[str, str],
    path: str,
    body: bytes,
    identifier: str,
    hash_prefixes: HashPrefixes,
    find_bytes_per_token: Callable[[str], float],
    clock: Callable[[], float],
) -> tuple[RequestArrived, StoredRequest]:
    key_hash = parse_key(headers.get("authorization"))
    timeout = parse_timeout(headers.get("x-request-timeout"))
    repeatable = parse_repeatable(headers.get("x-marjorambridge-repeatable"))
    idempotency_key = parse_idempotency_key(headers.get("idempotency-key"))
    method = scope["method"]
    is_engine = path in (CHAT_PATH, COMPLETIONS_PATH)
    arrived = RequestArrived(
        now=clock(),
        request=identifier,
        wall=time.time(),
        key_hash=key_hash,
        service="",
        method=method,
        path=path,
        timeout=timeout,
        idempotency_key=idempotency_key,
        repeatable=repeatable,
    )
    stored = StoredRequest(identifier, is_engine, method, path, (), body)
    if is_engine:
        if method != "POST":
            raise RequestError(f"{path} takes only POST", 405)
        parsed = parse_completion(path, body)
        arrived.service = parsed.model
        arrived.stream = parsed.stream
        arrived.prompt_bytes = len(parsed.prompt)
        arrived.output_tokens = parsed.output_tokens
        arrived.prefix, arrived.prefix_tokens = hash_prefixes(
            parsed.prompt, find_bytes_per_token(parsed.model)
        )
        stored.stream = parsed.stream
        stored.include_usage = parsed.include_usage
        stored.model = parsed.model
        # An engine gets a body that the driver makes; of the headers only the trace is passed on.
        stored.headers = tuple(
            (name, headers[name]) for name in ("traceparent", "tracestate") if name in headers
        )
    else:
        raw = scope["raw_path"].decode("latin-1")
        service, _, rest = raw[len(SERVICES_PREFIX) :].partition("/")
        service = unquote(service)
        if not is_name(service) or "/" in service:
            raise RequestError("the path must have the form /services/SERVICE/PATH")
        if method not in SERVICE_METHODS:
            raise RequestError(f"method {method[:20]!r} is not supported for services", 405)
        query = scope["query_string"].decode("latin-1")
        arrived.service = service
        arrived.path = stored.path = f"/{rest}" + (f"?{query}" if query else "")
        named = {part.strip().lower() for part in headers.get("connection", "").split(",") if part}
        stored.headers = tuple(
            (name, value)
            for name, value in (
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in scope["headers"]
            )
            if name not in DROPPED_HEADERS and name not in named
        )
    if idempotency_key or not is_engine:
        digest = hashlib.sha256(f"{method}\0{arrived.service}\0{arrived.path}\0".encode())
        digest.update(body)
        arrived.fingerprint = digest.hexdigest()
    return arrived, stored


def build_application(
    registry: Registry,
    post: Callable[[Event], None],
    settings: CallerSettings | None = None,
    hash_prefixes: HashPrefixes = hash_nothing,
    find_bytes_per_token: Callable[[str], float] = lambda model: 3.0,
    clock: Callable[[], float] = time.monotonic,
    new_identifier: Callable[[], str] = create_identifier,
    choose_trace: Callable[[str, str], str] = lambda header, identifier: "",
) -> Application:
    """Build the ASGI application for callers.

    Parameters
    ----------
    post : callable
        Takes `RequestArrived`, `CallerGone` and `EndpointAnnounced`; must not block.
    hash_prefixes : callable
        Returns the chained block hashes of a prompt and the tokens that each covers.
    find_bytes_per_token : callable
        Returns the bytes per token of the service that a model name belongs to.
    clock : callable
        Monotonic time in seconds.
    choose_trace : callable
        Returns the trace for the ``traceparent`` header and the identifier of a request; empty
        for a request that is not traced.
    """
    limits = settings or CallerSettings()

    async def announce(scope: Any, headers: dict[str, str], receive: Any, send: Any) -> None:
        if scope["method"] != "POST":
            raise RequestError(f"{ANNOUNCE_PATH} takes only POST", 405)
        hashes = limits.announcement_token_hashes
        if hashes and not matches_any(parse_key(headers.get("authorization")), hashes):
            raise RequestError(
                "send the announcement token as 'Authorization: Bearer TOKEN'",
                401,
                Reason.UNAUTHENTICATED,
            )
        body = await read_body(
            receive, headers.get("content-length"), limits.max_announcement_bytes, limits
        )
        post(EndpointAnnounced(clock(), parse_announcement(body)))
        await send_json(send, 204, None)

    async def carry(scope: Any, headers: dict[str, str], receive: Any, send: Any) -> None:
        path = scope["raw_path"].decode("latin-1")
        if registry.body_bytes >= limits.max_buffered_bytes:
            outcome = NotRun(
                Reason.OVERLOADED, "this host holds too many bodies; retry after a second", 1.0
            )
            status, error, extra = encode_outcome(outcome)
            await send_json(send, status, error, (*extra, ("connection", "close")))
            return
        body = await read_body(
            receive, headers.get("content-length"), limits.max_body_bytes, limits
        )
        arrived, stored = _parse_request(
            scope,
            headers,
            path,
            body,
            new_identifier(),
            hash_prefixes,
            find_bytes_per_token,
            clock,
        )
        arrived.trace = choose_trace(headers.get("traceparent", ""), arrived.request)
        stored.abort = lambda: abort_connection(scope)
        add_request(registry, stored)
        watcher = asyncio.create_task(_watch_caller(receive, stored))
        finished = False
        try:
            post(arrived)
            finished = await _write_answer(registry, stored, send, limits)
        except ConnectionAbortedError:
            finished = True
            abort_connection(scope)
        finally:
            watcher.cancel()
            # The answer may be whole for the caller while the reducer still works on the request,
            # such as after an answer over the size limit.
            if stored.request in registry.requests:
                mark_gone(stored)
                post(CallerGone(clock(), stored.request))
            if not finished:
                abort_connection(scope)
            with contextlib.suppress(asyncio.CancelledError):
                await watcher

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        headers = read_headers(scope)
        # The undecoded path decides, so that an encoded slash cannot change the service.
        path = scope["raw_path"].decode("latin-1")
        try:
            if sum(len(name) + len(value) for name, value in scope["headers"]) > (
                limits.max_header_bytes
            ):
                raise RequestError(
                    f"the headers are larger than {limits.max_header_bytes} bytes; shorten them",
                    431,
                )
            if path == ANNOUNCE_PATH:
                await announce(scope, headers, receive, send)
            elif path in (CHAT_PATH, COMPLETIONS_PATH) or path.startswith(SERVICES_PREFIX):
                await carry(scope, headers, receive, send)
            else:
                raise RequestError(
                    f"there is no such path; use {CHAT_PATH}, {COMPLETIONS_PATH} or "
                    "/services/SERVICE/PATH",
                    404,
                )
        except RequestError as error:
            reply = encode_error(error.reason, "not_run", str(error))
            await send_json(send, error.status, reply, (("connection", "close"),))
        except CallerDisconnectedError:
            return

    return serve
