"""Run a stand-in engine that implements the engine protocol."""

import asyncio
import contextlib
from typing import Any

import httpcore
import msgspec
from msgspec.structs import asdict

from marjorambridge.core.identity import AttemptId, parse_attempt_id
from marjorambridge.http.bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    DECODE_ERRORS,
    parse_completion,
)
from marjorambridge.http.exceptions import CallerDisconnectedError, RequestError
from marjorambridge.http.headers import read_headers
from marjorambridge.http.messages import read_body, send_json
from marjorambridge.http.outcomes import encode_error
from marjorambridge.http.servers import Application, abort_connection
from marjorambridge.http.settings import CallerSettings
from marjorambridge.limits.messages import Announcement
from marjorambridge.routing.prefixes import compute_prefix
from marjorambridge.standins import scheduler
from marjorambridge.standins.announcer import announce_forever, post_json
from marjorambridge.standins.exceptions import RejectedError
from marjorambridge.standins.processes import create_incarnation, run_from_command_line, run_process
from marjorambridge.standins.prompts import compute_seed
from marjorambridge.standins.scheduler import Engine, EngineSettings, Faults, Run

MAX_CACHE_EVENTS_PER_ANNOUNCEMENT = 200


class _GroupMember(msgspec.Struct):
    endpoint: str
    address: str
    tokens: int
    incarnation: int = 0


class _ProtocolFields(msgspec.Struct):
    attempt: str = ""
    priority: str = "interactive"
    resume_from: int = 0
    kv_tokens: int = 0
    incarnation: int = 0
    group: list[_GroupMember] = []
    ignore_eos: bool = False


class _CancelRequest(msgspec.Struct):
    attempt: str = ""
    host: str = ""
    incarnation: int = -1


class _PartRequest(msgspec.Struct):
    attempt: str
    tokens: int
    expires_in: float = 0.0
    renew: bool = False


class _OrderRequest(msgspec.Struct):
    order: str
    kind: str
    fencing: int = 0
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class _FaultRequest(msgspec.Struct):
    kind: str
    seconds: float = 0.0
    count: int = 1
    tokens: int = 0
    enabled: bool = True


def build_announcement(engine: Engine, address: str, now: float) -> Announcement | None:
    """Return the announcement at `now`, with delayed load report and cache events."""
    if engine.faults.silent:
        return None
    settings = engine.settings
    limit = scheduler.compute_limit(engine, now)
    engine.reports.append((now, scheduler.count_used_tokens(engine), len(engine.runs)))
    while len(engine.reports) > 1 and engine.reports[1][0] <= now - settings.report_lag_seconds:
        engine.reports.popleft()
    engine.report_sequence += 1
    measured, used, running = engine.reports[0]
    events = []
    while engine.cache_events and engine.cache_events[0][0] <= now:
        if len(events) == MAX_CACHE_EVENTS_PER_ANNOUNCEMENT:
            break
        events.append(engine.cache_events.popleft()[1])
    cold = engine.cold_since is not None and settings.announces_cold
    return Announcement(
        endpoint=settings.endpoint,
        incarnation=engine.incarnation,
        supplier=settings.supplier,
        service=settings.service,
        zone=settings.zone,
        address=address,
        models=engine.models,
        adapters=engine.adapters,
        role=engine.role,
        version=engine.version,
        kv_capacity_tokens=settings.kv_capacity_tokens,
        concurrency=settings.concurrency,
        concurrency_now=limit if cold else 0,
        cold=cold,
        leaving=engine.faults.leaving,
        checks_fencing=settings.checks_fencing,
        kv_used_tokens=used,
        running=running,
        report_sequence=engine.report_sequence,
        report_age=now - measured,
        cache_events=tuple(events),
    )


def build_inventory(engine: Engine, now: float) -> dict[str, Any]:
    """Return the state that tests inspect."""
    limit = scheduler.compute_limit(engine, now)
    return {
        "endpoint": engine.settings.endpoint,
        "incarnation": engine.incarnation,
        "cold": engine.cold_since is not None,
        "limit": limit,
        "overloaded": engine.overloaded,
        "overloads": engine.overloads,
        "peak_running": engine.peak_running,
        "peak_tokens": engine.peak_tokens,
        "refusals": engine.refusals,
        "kv_used_tokens": scheduler.count_used_tokens(engine),
        "cached_blocks": len(engine.cache),
        "running": [
            {
                "attempt": str(run.attempt),
                "priority": run.priority,
                "prompt_tokens": run.prompt_tokens,
                "prefill_left": run.prefill_left,
                "produced": len(run.tokens),
                "kv_tokens": run.kv_tokens,
            }
            for run in engine.runs.values()
        ],
        "parts": [
            {"attempt": str(attempt), "tokens": part.tokens}
            for attempt, part in engine.parts.items()
        ],
        "starts": engine.starts,
        "received": engine.received,
        "orders": list(engine.orders.values()),
        "models": engine.models,
        "adapters": engine.adapters,
        "version": engine.version,
        "role": engine.role,
        "fencing": engine.fencing,
    }


def _parse_attempt(text: str) -> AttemptId:
    try:
        return parse_attempt_id(text)
    except ValueError:
        raise RequestError("'attempt' must have the form host:incarnation:number") from None


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise RequestError(f"the body is not valid: {error}") from error


def start_run(
    engine: Engine, path: str, body: bytes, traceparent: str, now: float
) -> tuple[Run, Any, _ProtocolFields]:
    """Admit the attempt that a completion body describes.

    Raises
    ------
    RequestError
        If the body is not valid.
    RejectedError
        If the engine rejects it.
    """
    settings = engine.settings
    engine.received.append(now)
    parsed = parse_completion(path, body)
    extra = _decode(body, _ProtocolFields)
    if parsed.model not in (settings.service, *engine.models, *engine.adapters):
        raise RejectedError(404, "unknown_model", "the model is not loaded here")
    if extra.incarnation not in (0, engine.incarnation):
        raise RejectedError(409, "other_incarnation", "the engine was restarted; ask for a permit")
    if extra.resume_from < 0:
        raise RequestError("'resume_from' must not be negative")
    attempt = _parse_attempt(extra.attempt or f"anonymous:0:{engine.arrivals + 1}")
    prompt_tokens = max(1, round(len(parsed.prompt) / settings.bytes_per_token))
    max_tokens = parsed.output_tokens or settings.default_output_tokens
    if extra.kv_tokens and not parsed.output_tokens:
        # The host reserved memory for the prompt and its own default of output tokens.
        max_tokens = max(1, extra.kv_tokens - prompt_tokens)
    kv_tokens = prompt_tokens + max_tokens
    if len(extra.group) > 1:
        kv_tokens = extra.group[0].tokens
    run = scheduler.admit_attempt(
        engine,
        attempt,
        extra.priority,
        compute_seed(parsed.prompt),
        prompt_tokens,
        compute_prefix(parsed.prompt, settings.bytes_per_token),
        max_tokens,
        extra.ignore_eos,
        extra.resume_from,
        kv_tokens,
        now,
    )
    engine.starts.append(
        {
            "attempt": str(attempt),
            "priority": extra.priority,
            "prompt_tokens": prompt_tokens,
            "cached_tokens": run.cached_tokens,
            "resume_from": extra.resume_from,
            "group": [member.endpoint for member in extra.group],
            "traceparent": traceparent,
            "started": now,
        }
    )
    return run, parsed, extra


async def renew_parts(engine: Engine, run: Run, members: list[_GroupMember]) -> None:
    """Renew the parts of a group on the followers while the lead runs, and free them afterwards.

    If a part on a follower has expired, the lead's attempt ends without its end marker, because
    the memory of the part has been freed.
    """
    seconds = engine.settings.part_seconds
    attempt = str(run.attempt)
    async with httpcore.AsyncConnectionPool(max_connections=len(members)) as pool:
        while not run.ended:
            for member in members:
                body = {
                    "attempt": attempt,
                    "tokens": member.tokens,
                    "expires_in": seconds,
                    "renew": True,
                }
                if await post_json(pool, f"http://{member.address}/v1/parts", body) != 200:
                    scheduler.end_run(engine, run, "lost")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(run.finished.wait(), seconds / 3)
        for member in members:
            await post_json(pool, f"http://{member.address}/v1/cancel", {"attempt": attempt})


def apply_order(engine: Engine, order: _OrderRequest, loop: asyncio.AbstractEventLoop) -> None:
    """Apply an order unless it was applied before; loads take effect after `load_seconds`.

    Raises
    ------
    RejectedError
        If the fencing number is old and the engine checks it, or the order is unknown.
    """
    if engine.settings.checks_fencing and order.fencing < engine.fencing:
        raise RejectedError(
            409, "stale_fencing", f"a newer issuer has fencing number {engine.fencing}"
        )
    engine.fencing = max(engine.fencing, order.fencing)
    if order.order in engine.orders:
        return

    def finish_load() -> None:
        if order.kind == "load_model" and order.model not in engine.models:
            engine.models += (order.model,)
        elif order.kind == "load_adapter" and order.adapter not in engine.adapters:
            engine.adapters += (order.adapter,)
        elif order.kind == "load_version":
            engine.version = order.version
            scheduler.start_cold_period(engine, loop.time())

    if order.kind == "set_role":
        engine.role = order.role
    elif order.kind == "unload_model":
        engine.models = tuple(name for name in engine.models if name != order.model)
    elif order.kind == "unload_adapter":
        engine.adapters = tuple(name for name in engine.adapters if name != order.adapter)
    elif order.kind in ("load_model", "load_adapter", "load_version"):
        loop.call_later(engine.settings.load_seconds, finish_load)
    else:
        raise RejectedError(400, "unknown_order", f"unknown order {order.kind!r}", "failed")
    engine.orders[order.order] = msgspec.to_builtins(order)


def apply_fault(engine: Engine, fault: _FaultRequest, now: float) -> None:
    """Enable or disable a fault.

    Raises
    ------
    RequestError
        If there is no such fault.
    """
    faults = engine.faults
    if fault.kind == "cold":
        scheduler.start_cold_period(engine, now)
    elif fault.kind == "cut":
        faults.cut_streams, faults.cut_after_tokens = fault.count, fault.tokens
    elif fault.kind == "hang":
        faults.hang = fault.enabled
    elif fault.kind == "late":
        faults.late_seconds = fault.seconds
    elif fault.kind == "late_cancel":
        faults.cancel_late_seconds = fault.seconds
    elif fault.kind == "silent":
        faults.silent = fault.enabled
    elif fault.kind == "leave":
        faults.leaving = fault.enabled
    elif fault.kind == "clear":
        engine.faults = Faults()
    else:
        raise RequestError(
            "unknown fault; use cold, cut, hang, late, late_cancel, silent, leave or clear"
        )


def _encode_chunk(run: Run, path: str, model: str, index: int, tokens: list[str]) -> bytes:
    text = "".join(tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if path == CHAT_PATH:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    chunk = {
        "id": str(run.attempt),
        "model": model,
        "index": index,
        "tokens": tokens,
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _build_usage(run: Run) -> dict[str, int]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.first_index + len(run.tokens),
        "cached_tokens": run.cached_tokens,
    }


async def _send_stream(
    engine: Engine, run: Run, path: str, model: str, scope: dict[str, Any], send: Any
) -> None:
    cut_after = None
    if engine.faults.cut_streams > 0:
        engine.faults.cut_streams -= 1
        cut_after = engine.faults.cut_after_tokens
    headers = [(b"content-type", b"text/event-stream; charset=utf-8")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    sent = 0
    while True:
        run.progressed.clear()
        new_tokens = run.tokens[sent:]
        if cut_after is not None and sent + len(new_tokens) >= cut_after:
            new_tokens = new_tokens[: cut_after - sent]
        if new_tokens:
            data = _encode_chunk(run, path, model, run.first_index + sent, new_tokens)
            await send({"type": "http.response.body", "body": data, "more_body": True})
            sent += len(new_tokens)
        if cut_after is not None and sent >= cut_after:
            # Only the connection closes; the attempt continues and keeps its memory.
            scope["state"]["transport"].close()
            return
        if run.ended and sent == len(run.tokens):
            break
        if not run.progressed.is_set():
            await run.progressed.wait()
    if run.ended != "complete":
        scope["state"]["transport"].close()
        return
    choice: dict[str, Any] = {"index": 0, "finish_reason": run.finish_reason}
    choice |= {"delta": {}} if path == CHAT_PATH else {"text": ""}
    final = {
        "id": str(run.attempt),
        "model": model,
        "index": run.first_index + sent,
        "tokens": [],
        "choices": [choice],
        "usage": _build_usage(run),
    }
    data = b"data: " + msgspec.json.encode(final) + b"\n\ndata: [DONE]\n\n"
    await send({"type": "http.response.body", "body": data, "more_body": False})


async def _send_completion(run: Run, path: str, model: str, scope: Any, send: Any) -> None:
    while not run.ended:
        run.progressed.clear()
        await run.progressed.wait()
    if run.ended != "complete":
        abort_connection(scope)
        return
    text = "".join(run.tokens)
    choice: dict[str, Any] = {"index": 0, "finish_reason": run.finish_reason}
    choice |= (
        {"message": {"role": "assistant", "content": text}} if path == CHAT_PATH else {"text": text}
    )
    body = {
        "id": str(run.attempt),
        "model": model,
        "index": run.first_index,
        "tokens": run.tokens,
        "choices": [choice],
        "usage": _build_usage(run),
    }
    await send_json(send, 200, body)


def build_application(engine: Engine) -> Application:
    """Build the ASGI application of a stand-in engine."""
    limits = CallerSettings()
    tasks: set[asyncio.Task[None]] = set()

    async def handle_completion(path: str, body: bytes, scope: Any, send: Any) -> None:
        if engine.faults.late_seconds:
            await asyncio.sleep(engine.faults.late_seconds)
        now = asyncio.get_running_loop().time()
        traceparent = read_headers(scope).get("traceparent", "")
        run, parsed, extra = start_run(engine, path, body, traceparent, now)
        if len(extra.group) > 1:
            task = asyncio.create_task(renew_parts(engine, run, extra.group[1:]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if parsed.stream:
            await _send_stream(engine, run, path, parsed.model, scope, send)
        else:
            await _send_completion(run, path, parsed.model, scope, send)

    async def handle_cancel(body: bytes, send: Any) -> None:
        if engine.faults.cancel_late_seconds:
            await asyncio.sleep(engine.faults.cancel_late_seconds)
        message = _decode(body, _CancelRequest)
        if message.attempt:
            count = scheduler.cancel_attempt(engine, _parse_attempt(message.attempt))
        elif message.host and message.incarnation >= 0:
            count = scheduler.cancel_host(engine, message.host, message.incarnation)
        else:
            raise RequestError("name 'attempt', or 'host' and 'incarnation'")
        reply = {
            "endpoint": engine.settings.endpoint,
            "incarnation": engine.incarnation,
            "cancelled": count,
        }
        await send_json(send, 200, reply)

    async def handle_part(body: bytes, send: Any, now: float) -> None:
        part = _decode(body, _PartRequest)
        attempt = _parse_attempt(part.attempt)
        scheduler.expire_parts(engine, now)
        if part.renew and attempt not in engine.parts:
            raise RejectedError(404, "part_lost", "the part has expired or was cancelled")
        seconds = part.expires_in if part.expires_in > 0 else engine.settings.part_seconds
        scheduler.reserve_part(engine, attempt, part.tokens, seconds, now)
        await send_json(send, 200, {"incarnation": engine.incarnation, "expires_in": seconds})

    async def dispatch(path: str, method: str, body: bytes, scope: Any, send: Any) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if (method, path) == ("GET", "/control/inventory"):
            await send_json(send, 200, build_inventory(engine, now))
        elif method != "POST":
            raise RequestError("there is no such path, or it takes only POST", 404)
        elif path in (CHAT_PATH, COMPLETIONS_PATH):
            await handle_completion(path, body, scope, send)
        elif path == "/v1/cancel":
            await handle_cancel(body, send)
        elif path == "/v1/parts":
            await handle_part(body, send, now)
        elif path == "/v1/orders":
            apply_order(engine, _decode(body, _OrderRequest), loop)
            await send_json(send, 200, {"incarnation": engine.incarnation})
        elif path == "/control/faults":
            apply_fault(engine, _decode(body, _FaultRequest), now)
            await send_json(send, 200, asdict(engine.faults))
        else:
            raise RequestError("there is no such path", 404)

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        headers = read_headers(scope)
        try:
            body = await read_body(
                receive, headers.get("content-length"), limits.max_body_bytes, limits
            )
            await dispatch(scope["path"], scope["method"], body, scope, send)
        except RejectedError as error:
            await send_json(send, error.status, encode_error(error.kind, error.outcome, str(error)))
        except RequestError as error:
            reply = encode_error(error.reason, "failed", str(error))
            await send_json(send, error.status, reply)
        except CallerDisconnectedError:
            return

    return serve


async def run_engine(settings: EngineSettings) -> None:
    """Run a stand-in engine until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    engine = scheduler.create_engine(
        settings, settings.incarnation or create_incarnation(), loop.time()
    )

    async def run(address: str) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(scheduler.run_steps(engine))
            group.create_task(
                announce_forever(
                    settings.hosts,
                    settings.announce_seconds,
                    lambda: build_announcement(engine, address, loop.time()),
                )
            )

    await run_process(build_application(engine), settings.listen, settings.port, run)


if __name__ == "__main__":
    run_from_command_line(EngineSettings, run_engine)
