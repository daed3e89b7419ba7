"""Serve callers and endpoint announcements over HTTP."""

import asyncio
import contextlib
import hashlib
import time
import uuid
from collections.abc import Callable
from typing import Any

from marjorambridge.core.events import Event
from marjorambridge.core.outcomes import NotRun, Reason
from marjorambridge.http.answers import write_answer
from marjorambridge.http.bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    SERVICES_PREFIX,
    parse_announcement,
    parse_completion,
    parse_service_target,
)
from marjorambridge.http.exceptions import RequestError
from marjorambridge.http.headers import (
    DROPPED_HEADERS,
    matches_any_digest,
    parse_idempotency_key,
    parse_key,
    parse_repeatable,
    parse_timeout,
    read_headers,
)
from marjorambridge.http.messages import answer_request_error, read_body, send_json
from marjorambridge.http.outcomes import encode_outcome
from marjorambridge.http.registry import (
    RequestRegistry,
    StoredRequest,
    add_request,
    mark_disconnected,
)
from marjorambridge.http.servers import Application, abort_connection, count_unsent_bytes
from marjorambridge.http.settings import CallerSettings
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.requests.events import CallerGone, RequestArrived

ANNOUNCE_PATH = "/v1/announce"
CLOSE_HEADER = (b"connection", b"close")

HashPrefixes = Callable[[bytes, float], tuple[tuple[bytes, ...], tuple[int, ...]]]


def create_request_identifier() -> str:
    """Return a new request identifier."""
    return uuid.uuid4().hex


def hash_no_prefixes(
    data: bytes, bytes_per_token: float
) -> tuple[tuple[bytes, ...], tuple[int, ...]]:
    """Return no prefixes, which disables prefix affinity."""
    return (), ()


async def _watch_disconnect(receive: Callable[[], Any], stored: StoredRequest) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            mark_disconnected(stored)
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
        # The endpoint driver builds the body for an engine; only the trace headers are forwarded.
        stored.headers = tuple(
            (name, headers[name]) for name in ("traceparent", "tracestate") if name in headers
        )
    else:
        query = scope["query_string"].decode("latin-1")
        target = scope["raw_path"].decode("latin-1") + (f"?{query}" if query else "")
        arrived.service, arrived.path = parse_service_target(method, target)
        stored.path = arrived.path
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
    registry: RequestRegistry,
    post: Callable[[Event], None],
    settings: CallerSettings | None = None,
    hash_prefixes: HashPrefixes = hash_no_prefixes,
    find_bytes_per_token: Callable[[str], float] = lambda model: 3.0,
    clock: Callable[[], float] = time.monotonic,
    new_identifier: Callable[[], str] = create_request_identifier,
    choose_trace: Callable[[str, str], str] = lambda header, identifier: "",
    is_shutting_down: Callable[[], bool] = lambda: False,
) -> Application:
    """Build the ASGI application for callers.

    Parameters
    ----------
    post : callable
        Receives `RequestArrived`, `CallerGone` and `EndpointAnnounced`; must not block.
    hash_prefixes : callable
        Returns the chained block hashes of a prompt and the tokens that each covers.
    find_bytes_per_token : callable
        Returns the bytes per token of the service that a model name belongs to.
    clock : callable
        Monotonic time in seconds.
    choose_trace : callable
        Returns the trace for the ``traceparent`` header and the identifier of a request; empty
        for a request that is not traced.
    is_shutting_down : callable
        Returns whether each answer is the last one on its connection, so that no caller sends a
        request on a connection that is about to be closed.
    """
    limits = settings or CallerSettings()

    async def serve_announcement(
        scope: Any, headers: dict[str, str], receive: Any, send: Any
    ) -> None:
        if scope["method"] != "POST":
            raise RequestError(f"{ANNOUNCE_PATH} takes only POST", 405)
        hashes = limits.announcement_token_hashes
        if hashes and not matches_any_digest(parse_key(headers.get("authorization")), hashes):
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

    async def serve_request(scope: Any, headers: dict[str, str], receive: Any, send: Any) -> None:
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
        scope.setdefault("state", {})["request"] = stored.request
        stored.abort = lambda: abort_connection(scope)
        stored.count_unsent_bytes = lambda: count_unsent_bytes(scope)
        add_request(registry, stored)
        disconnect_task = asyncio.create_task(_watch_disconnect(receive, stored))
        finished = False
        try:
            post(arrived)
            finished = await write_answer(registry, stored, send, limits)
        except ConnectionAbortedError:
            finished = True
            abort_connection(scope)
        finally:
            disconnect_task.cancel()
            # The caller's answer may be complete while the reducer still processes the request,
            # such as after an answer over the size limit.
            if stored.request in registry.requests:
                mark_disconnected(stored)
                post(CallerGone(clock(), stored.request))
            if not finished:
                abort_connection(scope)
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect_task

    async def route(scope: Any, receive: Any, send: Any) -> None:
        headers = read_headers(scope)
        # Routes match the undecoded path, so that an encoded slash cannot change the service.
        path = scope["raw_path"].decode("latin-1")
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > limits.max_header_bytes:
            raise RequestError(
                f"the headers are larger than {limits.max_header_bytes} bytes; shorten them", 431
            )
        if path == ANNOUNCE_PATH:
            await serve_announcement(scope, headers, receive, send)
        elif path in (CHAT_PATH, COMPLETIONS_PATH) or path.startswith(SERVICES_PREFIX):
            await serve_request(scope, headers, receive, send)
        else:
            raise RequestError(
                f"there is no such path; use {CHAT_PATH}, {COMPLETIONS_PATH} or "
                "/services/SERVICE/PATH",
                404,
            )

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        async def send_last(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_shutting_down():
                headers = [item for item in message["headers"] if item[0] != CLOSE_HEADER[0]]
                message = {**message, "headers": [*headers, CLOSE_HEADER]}
            await send(message)

        if scope["type"] == "http":
            await answer_request_error(send_last, route(scope, receive, send_last))

    return serve
