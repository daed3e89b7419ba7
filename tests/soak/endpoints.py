"""Simulate endpoints behind proxies that delay data, reset connections or discard data."""

import contextlib
import json
import math
import random
import time
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel
from anyio.abc import SocketStream

from .crashes import DEADLY_BODY, Crash, crash, has_crashing_part
from .hints import Hint
from .slow import SLOW_PATH, make_slow_answer

CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
EVENTS_PER_STREAM = 12


@dataclass
class EndpointLog:
    """Requests that endpoints executed, with endpoint and time; arrivals, crashes, hints sent."""

    by_request: dict[str, list[tuple[str, float]]] = field(default_factory=dict)
    arrivals: list[tuple[str, str, float]] = field(default_factory=list)
    hints: list[Hint] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)

    def record_execution(self, request: str, endpoint: str) -> None:
        self.by_request.setdefault(request, []).append((endpoint, time.monotonic()))


@dataclass
class Endpoint:
    """An endpoint, and the fault that its proxy injects.

    In mode `silent` the proxy discards data in both directions, in `cut-in` and `cut-out` in one.
    Until `errors_until` the endpoint also answers some requests with errors.
    """

    name: str
    zone: str
    ip: str
    port: int
    endpoint_log: EndpointLog
    random: random.Random
    born: int
    sequence: int = 0
    mode: str = "pass"
    errors_until: float = 0.0
    leaving: bool = False
    rejects_until: float = 0.0
    connections: set[anyio.CancelScope] = field(default_factory=set)

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port + 1}"

    def report(self) -> bytes:
        self.sequence += 1
        report = {
            "backend": "svc",
            "address": self.address,
            "zone": self.zone,
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        return json.dumps(report).encode()


async def serve_endpoint(endpoint: Endpoint) -> None:
    """Serve the endpoint and its proxy until cancelled."""
    inner = await anyio.create_tcp_listener(local_host=endpoint.ip, local_port=endpoint.port)
    outer = await anyio.create_tcp_listener(local_host=endpoint.ip, local_port=endpoint.port + 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inner.serve, lambda stream: _handle_connection(endpoint, stream))
        tasks.start_soon(outer.serve, lambda stream: _proxy_connection(endpoint, stream))


async def _proxy_connection(endpoint: Endpoint, stream: SocketStream) -> None:
    with contextlib.suppress(*CONNECTION_ERRORS):
        inner = await anyio.connect_tcp(endpoint.ip, endpoint.port)
        async with stream, inner, anyio.create_task_group() as tasks:
            tasks.start_soon(_forward, endpoint, stream, inner, "in", tasks.cancel_scope)
            tasks.start_soon(_forward, endpoint, inner, stream, "out", tasks.cancel_scope)


async def _forward(endpoint, source, target, direction: str, scope: anyio.CancelScope) -> None:
    with contextlib.suppress(*CONNECTION_ERRORS):
        while True:
            data = await source.receive()
            if endpoint.mode == "delay":
                await anyio.sleep(endpoint.random.uniform(0.05, 0.4))
            elif endpoint.mode == "reset" and endpoint.random.random() < 0.3:
                break
            elif endpoint.mode == "silent" or endpoint.mode == f"cut-{direction}":
                continue
            await target.send(data)
    scope.cancel()


async def _handle_connection(endpoint: Endpoint, stream: SocketStream) -> None:
    with contextlib.suppress(*CONNECTION_ERRORS), anyio.CancelScope() as scope:
        endpoint.connections.add(scope)
        try:
            async with stream:
                await _serve_request(endpoint, stream)
        finally:
            endpoint.connections.discard(scope)


async def _serve_request(endpoint: Endpoint, stream: SocketStream) -> None:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    headers = {name.lower(): value.strip().decode() for name, _, value in lines}
    while len(body) < int(headers.get(b"content-length", 0)):
        body += await stream.receive()
    await _handle_request(endpoint, stream, head, headers, body)


async def _handle_request(endpoint, stream, head: bytes, headers: dict, body: bytes) -> None:
    identifier = headers[b"x-request-id"]
    base_headers = f"X-Request-Id: {identifier}\r\n"
    if headers.get(b"x-expect-instance") != endpoint.name:
        await stream.send(f"HTTP/1.1 421 No\r\n{base_headers}Content-Length: 0\r\n\r\n".encode())
        return
    now = time.monotonic()
    endpoint.endpoint_log.arrivals.append((endpoint.name, identifier, now))
    if endpoint.leaving:
        base_headers += "Server-Leaving: 1\r\n"
        _record_hint(endpoint, identifier, math.inf, True)
    if now < endpoint.rejects_until:
        _record_hint(endpoint, identifier, endpoint.rejects_until, False)
        retry_after = f"Retry-After: {endpoint.rejects_until - now:.3f}\r\n"
        text = (
            f"HTTP/1.1 503 Later\r\n{base_headers}{retry_after}"
            "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        await stream.send(text.encode())
        return
    sample = endpoint.random.random() if time.monotonic() < endpoint.errors_until else 1.0
    if sample < 0.2:
        text = f"HTTP/1.1 503 Full\r\n{base_headers}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        await stream.send(text.encode())
        return
    endpoint.endpoint_log.record_execution(identifier, endpoint.name)
    if body == DEADLY_BODY:
        crash(endpoint.endpoint_log, endpoint, identifier, "request")
        await anyio.lowlevel.checkpoint()
    signed_headers = f"{base_headers}X-Instance-Signature: mac-{identifier}\r\n"
    if b" /stream/" in head.split(b"\r\n")[0]:
        await _send_stream(endpoint, stream, headers, signed_headers, sample)
        return
    await anyio.sleep(endpoint.random.uniform(0.005, 0.05))
    if sample < 0.35:
        return
    if sample < 0.45:
        await stream.send(f"HTTP/1.1 500 Bad\r\n{signed_headers}Content-Length: 0\r\n\r\n".encode())
        return
    is_slow = f" {SLOW_PATH}".encode() in head.split(b"\r\n")[0]
    answer = make_slow_answer(identifier) if is_slow else identifier.encode() + b"|" + body
    response = (
        f"HTTP/1.1 200 OK\r\n{signed_headers}Content-Length: {len(answer)}\r\n\r\n".encode()
        + answer
    )
    await stream.send(response if sample > 0.55 else response[:-3])
    if 0.55 < sample < 0.65:
        await stream.send(response)


def _record_hint(endpoint: Endpoint, identifier: str, expires_at: float, is_leaving: bool) -> None:
    # Ignores hints in answers that an injected fault may lose.
    if endpoint.mode == "pass" and time.monotonic() >= endpoint.errors_until:
        hint = Hint(endpoint.name, identifier, time.monotonic(), expires_at, is_leaving)
        endpoint.endpoint_log.hints.append(hint)


async def _send_stream(endpoint, stream, headers: dict, signed_headers: str, sample: float) -> None:
    first = int(headers.get(b"last-event-id", 0)) + 1
    head = f"HTTP/1.1 200 OK\r\n{signed_headers}Content-Type: text/event-stream\r\n"
    await stream.send(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
    if has_crashing_part(headers):
        crash(endpoint.endpoint_log, endpoint, headers[b"x-request-id"])
        await anyio.lowlevel.checkpoint()
    for number in range(first, EVENTS_PER_STREAM + 1):
        await anyio.sleep(0.02)
        event = f"id: {number}\ndata: {headers[b'x-request-id']}-{number}\n\n".encode()
        if sample < 0.7 and number == EVENTS_PER_STREAM // 2:
            await stream.send(b"%x\r\n%s" % (len(event), event[:5]))
            return
        await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
    await stream.send(b"0\r\n\r\n")
