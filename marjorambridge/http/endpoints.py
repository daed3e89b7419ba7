"""Execute attempts, cancels and orders at endpoints over HTTP."""

import asyncio
import contextlib
import time
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import httpcore
import msgspec
from msgspec import Struct, field

from marjorambridge.core.effects import Effect
from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId
from marjorambridge.http import orders
from marjorambridge.http.bodies import (
    CANCEL_PATH,
    DECODE_ERRORS,
    NOT_RUN_STATUSES,
    confirms_cancel,
    reports_not_run,
)
from marjorambridge.http.endpoint_requests import build_engine_body, build_headers, build_url
from marjorambridge.http.exceptions import EndpointProtocolError, HttpError, RequestError
from marjorambridge.http.registry import RequestRegistry, StoredRequest
from marjorambridge.http.settings import EndpointSettings
from marjorambridge.http.streams import END_MARKER, EventBuffer, parse_chunk, parse_events
from marjorambridge.limits.effects import CancelHostOnEndpoint, CancelOnEndpoint
from marjorambridge.limits.events import EndpointCancelled
from marjorambridge.limits.messages import EndpointGrant
from marjorambridge.orders.effects import SendOrder
from marjorambridge.requests.effects import CancelAttempt, StartAttempt
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnd,
    AttemptEnded,
    AttemptHeaders,
    AttemptStarted,
)

PARTS_PATH = "/v1/parts"
MAX_ERROR_BYTES = 64 * 1024
MAX_MESSAGE_CHARACTERS = 500
MAX_ENDED_ATTEMPTS = 10_000
DRAIN_TIMEOUT_SECONDS = 0.2
NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


class StartWindowPassedError(HttpError):
    """The start window passed before the first byte; the request needs a new permit."""


class _PoolEntry(Struct):
    pool: httpcore.AsyncConnectionPool
    active_requests: int = 0
    last_used: float = 0.0


class _RunningAttempt(Struct):
    effect: StartAttempt
    is_engine: bool
    task_started: bool = False
    cancelled: bool = False
    request_sent: bool = False
    reservation_sent: bool = False
    task: asyncio.Task[None] | None = None


class EndpointDriver(Struct):
    """Connections to endpoints and attempts in progress.

    Attributes
    ----------
    ended : OrderedDict
        Endpoints of engine attempts that ended without their end marker, to which a later
        `CancelAttempt` sends a cancel.
    """

    registry: RequestRegistry
    post: Callable[[Event], None]
    settings: EndpointSettings
    clock: Callable[[], float]
    pools: dict[str, _PoolEntry] = field(default_factory=dict)
    running: dict[AttemptId, _RunningAttempt] = field(default_factory=dict)
    ended: OrderedDict[AttemptId, tuple[EndpointGrant, ...]] = field(default_factory=OrderedDict)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    pruning_task: asyncio.Task[None] | None = None


def create_driver(
    registry: RequestRegistry,
    post: Callable[[Event], None],
    settings: EndpointSettings | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> EndpointDriver:
    """Return a driver; `post` receives its events and must not block."""
    return EndpointDriver(registry, post, settings or EndpointSettings(), clock)


async def start_driver(driver: EndpointDriver) -> None:
    """Start the task that closes the connections of unused addresses."""
    driver.pruning_task = asyncio.create_task(_prune_pools(driver), name="endpoint-pools")


async def close_driver(driver: EndpointDriver) -> None:
    """End all attempts, which posts their `AttemptEnded`, and close all connections."""
    if driver.pruning_task is not None:
        driver.pruning_task.cancel()
        await asyncio.gather(driver.pruning_task, return_exceptions=True)
    for running in list(driver.running.values()):
        _stop_attempt(running)
    # Ending an attempt may start a task that cancels it on the endpoints.
    while driver.tasks:
        await asyncio.gather(*driver.tasks, return_exceptions=True)
    for entry in driver.pools.values():
        await entry.pool.aclose()
    driver.pools.clear()


def execute_effect(driver: EndpointDriver, effect: Effect) -> None:
    """Execute an effect at endpoints without waiting; the results are posted as events.

    Raises
    ------
    TypeError
        If the driver does not handle the effect.
    """
    if isinstance(effect, StartAttempt):
        _start_attempt(driver, effect)
    elif isinstance(effect, CancelAttempt):
        _cancel_attempt(driver, effect.attempt)
    elif isinstance(effect, CancelOnEndpoint):
        _spawn(driver, _cancel_on_endpoint(driver, effect))
    elif isinstance(effect, CancelHostOnEndpoint):
        _spawn(driver, _cancel_host_on_endpoint(driver, effect))
    elif isinstance(effect, SendOrder):
        _spawn(driver, _send_order(driver, effect))
    else:
        raise TypeError(f"{type(effect).__name__} is not handled by the endpoint driver")


def _spawn(driver: EndpointDriver, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    task = asyncio.create_task(work)
    driver.tasks.add(task)
    task.add_done_callback(driver.tasks.discard)
    return task


def _start_attempt(driver: EndpointDriver, effect: StartAttempt) -> None:
    stored = driver.registry.requests.get(effect.request)
    if stored is None:
        message = "the body of the request is no longer stored"
        driver.post(AttemptEnded(driver.clock(), effect.attempt, AttemptEnd.NOT_SENT, message))
        return
    running = _RunningAttempt(effect, stored.is_engine)
    driver.running[effect.attempt] = running
    running.task = _spawn(driver, _run_attempt(driver, running, stored))


def _stop_attempt(running: _RunningAttempt) -> None:
    # Cancelling a task before its first step would skip its `finally` block, and with it the
    # `AttemptEnded` event.
    running.cancelled = True
    if running.task_started and running.task is not None:
        running.task.cancel()


def _cancel_attempt(driver: EndpointDriver, attempt: AttemptId) -> None:
    running = driver.running.get(attempt)
    if running is not None:
        _stop_attempt(running)
        if running.is_engine and (running.request_sent or running.reservation_sent):
            _spawn(driver, _send_cancels(driver, attempt, running.effect.endpoints))
        return
    endpoints = driver.ended.pop(attempt, None)
    if endpoints is not None:
        _spawn(driver, _send_cancels(driver, attempt, endpoints))


async def _prune_pools(driver: EndpointDriver) -> None:
    while True:
        await asyncio.sleep(driver.settings.pool_idle_timeout_seconds)
        oldest = driver.clock() - driver.settings.pool_idle_timeout_seconds
        for address, entry in list(driver.pools.items()):
            if entry.active_requests == 0 and entry.last_used < oldest:
                del driver.pools[address]
                await entry.pool.aclose()


def _get_pool(driver: EndpointDriver, address: str) -> _PoolEntry:
    entry = driver.pools.get(address)
    if entry is None:
        # One more connection than attempts use, so that cancels can be sent at full load.
        pool = httpcore.AsyncConnectionPool(
            max_connections=driver.settings.max_connections + 1,
            keepalive_expiry=driver.settings.keepalive_seconds,
        )
        entry = driver.pools[address] = _PoolEntry(pool)
    entry.last_used = driver.clock()
    return entry


async def _post_json(
    driver: EndpointDriver,
    address: str,
    path: str,
    body: dict[str, Any],
    on_trace_event: Callable[[str, dict[str, Any]], Awaitable[None]] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Post a small JSON body; return the status and the JSON object of the answer.

    Raises
    ------
    EndpointProtocolError
        If no usable answer was received in time.
    """
    entry = _get_pool(driver, address)
    entry.active_requests += 1
    extensions: dict[str, Any] = {} if on_trace_event is None else {"trace": on_trace_event}
    try:
        async with asyncio.timeout(driver.settings.cancel_timeout_seconds):
            response = await entry.pool.request(
                "POST",
                build_url(address, path),
                headers=[("host", address), ("content-type", "application/json")],
                content=msgspec.json.encode(body),
                extensions=extensions,
            )
        return response.status, msgspec.json.decode(response.content, type=dict[str, Any])
    except (*NETWORK_ERRORS, *DECODE_ERRORS, TimeoutError) as error:
        raise EndpointProtocolError(
            f"{path} of endpoint {address} gave no usable answer: {error!r}"
        ) from error
    finally:
        entry.active_requests -= 1


async def _send_cancel(
    driver: EndpointDriver, endpoint: str, incarnation: int, address: str, body: dict[str, Any]
) -> bool:
    """Send a cancel and return whether the endpoint confirmed it."""
    try:
        status, answer = await _post_json(driver, address, CANCEL_PATH, body)
    except EndpointProtocolError:
        return False
    return status == 200 and confirms_cancel(endpoint, incarnation, answer)


async def _cancel_on_endpoint(driver: EndpointDriver, effect: CancelOnEndpoint) -> None:
    body = {"attempt": str(effect.attempt)}
    if await _send_cancel(driver, effect.endpoint, effect.incarnation, effect.address, body):
        driver.post(
            EndpointCancelled(
                driver.clock(), effect.endpoint, effect.incarnation, attempt=effect.attempt
            )
        )


async def _cancel_host_on_endpoint(driver: EndpointDriver, effect: CancelHostOnEndpoint) -> None:
    body = {"host": effect.host, "incarnation": effect.host_incarnation}
    if await _send_cancel(driver, effect.endpoint, effect.incarnation, effect.address, body):
        driver.post(
            EndpointCancelled(
                driver.clock(),
                effect.endpoint,
                effect.incarnation,
                host=effect.host,
                host_incarnation=effect.host_incarnation,
            )
        )


async def _send_order(driver: EndpointDriver, effect: SendOrder) -> None:
    entry = _get_pool(driver, effect.address)
    entry.active_requests += 1
    try:
        url = build_url(effect.address, orders.ORDERS_PATH)
        seconds = driver.settings.order_timeout_seconds
        answer = await orders.send_order(entry.pool, url, effect, driver.clock, seconds)
    finally:
        entry.active_requests -= 1
    if answer is not None:
        driver.post(answer)


async def _send_cancels(
    driver: EndpointDriver, attempt: AttemptId, endpoints: tuple[EndpointGrant, ...]
) -> None:
    """Send one cancel to each endpoint; the owner of the shard repeats it if needed."""
    await asyncio.gather(
        *(
            _send_cancel(
                driver, item.endpoint, item.incarnation, item.address, {"attempt": str(attempt)}
            )
            for item in endpoints
        )
    )


async def _run_attempt(
    driver: EndpointDriver, running: _RunningAttempt, stored: StoredRequest
) -> None:
    """Run one attempt and post exactly one `AttemptEnded`."""
    effect = running.effect
    running.task_started = True
    unsent_end = AttemptEnd.REFUSED if len(effect.endpoints) > 1 else AttemptEnd.NOT_SENT
    ended = AttemptEnded(driver.clock(), effect.attempt, AttemptEnd.CUT, "internal error")
    try:
        if running.cancelled:
            raise asyncio.CancelledError
        async with asyncio.timeout(effect.timeout):
            if len(effect.endpoints) > 1:
                await _reserve_parts(driver, running)
            ended = await _send_request(driver, running, stored)
    except StartWindowPassedError as error:
        ended.end, ended.message = AttemptEnd.NOT_SENT, str(error)
    except TimeoutError:
        ended.end, ended.message = AttemptEnd.TIMED_OUT, "the deadline has passed"
    except asyncio.CancelledError:
        ended.end, ended.message = AttemptEnd.CUT, "the attempt was cancelled"
    except (*NETWORK_ERRORS, EndpointProtocolError) as error:
        ended.end, ended.message = AttemptEnd.CUT, f"{type(error).__name__}: {error}"
    finally:
        if not running.request_sent and ended.end is not AttemptEnd.REFUSED:
            # Bytes were sent to reserve parts of a group, but none to the lead, so the request did
            # not run.
            ended.end = unsent_end if running.reservation_sent else AttemptEnd.NOT_SENT
        del driver.running[effect.attempt]
        if ended.end is not AttemptEnd.COMPLETE and running.is_engine:
            if running.reservation_sent:
                _spawn(driver, _send_cancels(driver, effect.attempt, effect.endpoints))
            elif running.request_sent and ended.end in (AttemptEnd.CUT, AttemptEnd.TIMED_OUT):
                driver.ended[effect.attempt] = effect.endpoints
                while len(driver.ended) > MAX_ENDED_ATTEMPTS:
                    driver.ended.popitem(last=False)
        ended.now = driver.clock()
        driver.post(ended)


def _check_start_window(driver: EndpointDriver, running: _RunningAttempt) -> None:
    if driver.clock() > running.effect.start_by:
        raise StartWindowPassedError("the start window passed before the first byte")
    if not running.request_sent and not running.reservation_sent:
        driver.post(AttemptStarted(driver.clock(), running.effect.attempt))


async def _reserve_parts(driver: EndpointDriver, running: _RunningAttempt) -> None:
    """Reserve the followers' parts of a group.

    Raises
    ------
    EndpointProtocolError
        If a follower does not confirm its part.
    """
    effect = running.effect

    async def on_trace_event(name: str, info: dict[str, Any]) -> None:
        if name == "http11.send_request_headers.started":
            _check_start_window(driver, running)
            running.reservation_sent = True

    async def reserve(follower: EndpointGrant) -> None:
        body = {
            "attempt": str(effect.attempt),
            "tokens": follower.tokens,
            "expires_in": driver.settings.part_expiry_seconds,
        }
        status, answer = await _post_json(
            driver, follower.address, PARTS_PATH, body, on_trace_event
        )
        if status != 200 or answer.get("incarnation") != follower.incarnation:
            raise EndpointProtocolError(
                f"endpoint {follower.endpoint} did not reserve its part (status {status})"
            )

    results = await asyncio.gather(
        *(reserve(follower) for follower in effect.endpoints[1:]), return_exceptions=True
    )
    for result in results:
        if isinstance(result, BaseException):
            raise result


async def _send_request(
    driver: EndpointDriver, running: _RunningAttempt, stored: StoredRequest
) -> AttemptEnded:
    """Send the request to the lead and read its answer."""
    effect = running.effect
    address = effect.endpoints[0].address

    async def on_trace_event(name: str, info: dict[str, Any]) -> None:
        # This is the last step before the first byte; httpcore connects before it.
        if name == "http11.send_request_headers.started":
            _check_start_window(driver, running)
            running.request_sent = True

    try:
        content = build_engine_body(stored, effect) if stored.is_engine else stored.body
    except RequestError as error:
        raise EndpointProtocolError(str(error)) from error
    connect_timeout_seconds = max(0.001, effect.start_by - driver.clock())
    # On a kept connection, a refusal that the endpoint writes twice would answer the next attempt.
    headers = [*build_headers(stored, effect), (b"connection", b"close")]
    if content or stored.method not in ("GET", "HEAD", "OPTIONS"):
        headers.append((b"content-length", str(len(content)).encode()))
    entry = _get_pool(driver, address)
    entry.active_requests += 1
    try:
        async with entry.pool.stream(
            stored.method,
            build_url(address, stored.path),
            headers=headers,
            content=content or None,
            extensions={
                "trace": on_trace_event,
                "timeout": {"pool": connect_timeout_seconds, "connect": connect_timeout_seconds},
            },
        ) as response:
            return await _read_answer(driver, running, stored, response)
    finally:
        entry.active_requests -= 1
        entry.last_used = driver.clock()


def _decode_headers(response: httpcore.Response) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in response.headers
    )


async def _read_answer(
    driver: EndpointDriver,
    running: _RunningAttempt,
    stored: StoredRequest,
    response: httpcore.Response,
) -> AttemptEnded:
    status = response.status
    if status >= 500 or status in NOT_RUN_STATUSES or (stored.is_engine and status != 200):
        return await _read_error(driver, running, stored, response)
    attempt = running.effect.attempt
    headers = _decode_headers(response)
    driver.post(AttemptHeaders(driver.clock(), attempt, status, headers))
    if stored.is_engine:
        return await _read_engine_stream(driver, attempt, stored, response)
    return await _read_plain_answer(driver, attempt, stored, response, headers)


async def _read_error(
    driver: EndpointDriver,
    running: _RunningAttempt,
    stored: StoredRequest,
    response: httpcore.Response,
) -> AttemptEnded:
    """Read an error answer; the end is `REFUSED` if the endpoint reports that it ran nothing.

    Without that report, a 404, 409 or 429 of a plain service is forwarded to the caller.
    """
    attempt = running.effect.attempt
    status = response.status
    parts: list[bytes] = []
    size = 0
    pieces = response.aiter_stream().__aiter__()
    async for piece in pieces:
        parts.append(piece)
        size += len(piece)
        if size > MAX_ERROR_BYTES:
            break
    body = b"".join(parts)
    refused = reports_not_run(status, body)
    text = body[:MAX_MESSAGE_CHARACTERS].decode("utf-8", "replace")
    message = f"the endpoint answered with status {status}: {text}"
    if refused:
        return AttemptEnded(driver.clock(), attempt, AttemptEnd.REFUSED, message)
    if status >= 500 or status < 400:
        return AttemptEnded(driver.clock(), attempt, AttemptEnd.SERVER_ERROR, message)
    if stored.is_engine:
        return AttemptEnded(driver.clock(), attempt, AttemptEnd.CLIENT_ERROR, message)
    headers = _decode_headers(response)
    driver.post(AttemptHeaders(driver.clock(), attempt, status, headers))
    if body:
        driver.post(AttemptChunk(driver.clock(), attempt, 0, len(body), body))
    if size > MAX_ERROR_BYTES:
        return await _read_plain_answer(driver, attempt, stored, response, headers, pieces, size)
    return _end_plain_answer(driver, attempt, stored, response, headers)


def _end_plain_answer(
    driver: EndpointDriver,
    attempt: AttemptId,
    stored: StoredRequest,
    response: httpcore.Response,
    headers: tuple[tuple[str, str], ...],
) -> AttemptEnded:
    """Return the end of a plain answer whose body ended without an error."""
    framed = any(name in ("content-length", "transfer-encoding") for name, _ in headers)
    if framed or stored.method == "HEAD" or response.status in (204, 304):
        return AttemptEnded(driver.clock(), attempt, AttemptEnd.COMPLETE)
    message = (
        "the answer has neither Content-Length nor chunked encoding, so a cut cannot be "
        "distinguished from its end; configure the service to send one of them"
    )
    return AttemptEnded(driver.clock(), attempt, AttemptEnd.CUT, message)


async def _read_plain_answer(
    driver: EndpointDriver,
    attempt: AttemptId,
    stored: StoredRequest,
    response: httpcore.Response,
    headers: tuple[tuple[str, str], ...],
    pieces: Any = None,
    offset: int = 0,
) -> AttemptEnded:
    async for piece in pieces or response.aiter_stream():
        if piece:
            driver.post(AttemptChunk(driver.clock(), attempt, offset, len(piece), piece))
            offset += len(piece)
        await stored.writable.wait()
    return _end_plain_answer(driver, attempt, stored, response, headers)


async def _drain_response(pieces: AsyncIterator[bytes]) -> None:
    """Read the end of the HTTP message after the end marker, so that the engine can complete it."""
    with contextlib.suppress(TimeoutError, *NETWORK_ERRORS):
        async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
            async for _ in pieces:
                pass


async def _read_engine_stream(
    driver: EndpointDriver, attempt: AttemptId, stored: StoredRequest, response: httpcore.Response
) -> AttemptEnded:
    """Read an engine's stream up to its end marker; without the marker the answer is cut."""
    buffer = EventBuffer()
    finish = ""
    usage: dict[str, int] = {}
    pieces = response.aiter_stream().__aiter__()
    async for piece in pieces:
        for data in parse_events(buffer, piece):
            if data == END_MARKER:
                await _drain_response(pieces)
                return AttemptEnded(
                    driver.clock(), attempt, AttemptEnd.COMPLETE, finish=finish, usage=usage
                )
            chunk = parse_chunk(data)
            if chunk.error is not None:
                message = f"the engine ended the stream: {chunk.error}"[:MAX_MESSAGE_CHARACTERS]
                return AttemptEnded(driver.clock(), attempt, AttemptEnd.SERVER_ERROR, message)
            usage = chunk.usage or usage
            for choice in chunk.choices:
                finish = choice.finish_reason or finish
            if chunk.tokens:
                _post_token_chunk(driver, attempt, chunk.index, chunk.tokens)
        await stored.writable.wait()
    message = "the stream ended without its end marker"
    return AttemptEnded(driver.clock(), attempt, AttemptEnd.CUT, message)


def _post_token_chunk(
    driver: EndpointDriver, attempt: AttemptId, index: int, tokens: list[str]
) -> None:
    texts = [token.encode("utf-8", "replace") for token in tokens]
    token_ends = []
    end = 0
    for text in texts:
        end += len(text)
        token_ends.append(end)
    driver.post(
        AttemptChunk(
            driver.clock(), attempt, index, len(tokens), b"".join(texts), tuple(token_ends)
        )
    )
