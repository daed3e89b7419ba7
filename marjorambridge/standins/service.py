"""Run a stand-in plain service that counts its executions."""

import asyncio
import hashlib
from collections import Counter
from typing import Any

import msgspec
from msgspec import Struct, field

from marjorambridge.http.bodies import DECODE_ERRORS
from marjorambridge.http.exceptions import CallerDisconnectedError, RequestError
from marjorambridge.http.headers import read_headers
from marjorambridge.http.messages import read_body, send_json
from marjorambridge.http.outcomes import encode_error
from marjorambridge.http.servers import Application, abort_connection
from marjorambridge.http.settings import CallerSettings
from marjorambridge.limits.messages import Announcement
from marjorambridge.standins.announcer import announce_forever
from marjorambridge.standins.processes import create_incarnation, run_from_command_line, run_process


class ServiceSettings(Struct):
    """Settings of a stand-in plain service.

    Attributes
    ----------
    hosts : tuple of str
        Addresses ``ip:port`` of hosts that receive the announcements in turn.
    delay_seconds : float
        Time that every execution takes.
    """

    endpoint: str = "portal-1"
    service: str = "auftragsportal"
    zone: str = "halle-nord"
    supplier: str = "standin"
    listen: str = "127.0.0.1"
    port: int = 0
    hosts: tuple[str, ...] = ()
    incarnation: int = 0
    concurrency: int = 64
    starts_cold: bool = False
    delay_seconds: float = 0.0
    announce_seconds: float = 1.0


class ServiceFaults(Struct):
    """Faults that tests have enabled.

    Attributes
    ----------
    cut_answers : int
        Number of answers still to cut after execution, before their first byte.
    cut_bodies : int
        Number of answers still to cut in the middle of the body.
    fail_answers : int
        Number of executions still to be answered with status 500.
    refuse : bool
        Whether calls are rejected with outcome ``not_run``.
    """

    cut_answers: int = 0
    cut_bodies: int = 0
    fail_answers: int = 0
    refuse: bool = False
    silent: bool = False
    leaving: bool = False
    delay_seconds: float = 0.0


class PlainService(Struct):
    """State of a stand-in plain service.

    Attributes
    ----------
    by_key : Counter
        Executions for each idempotency key.
    by_request : Counter
        Executions for each digest of method, path and body.
    """

    settings: ServiceSettings
    incarnation: int
    running: int = 0
    peak_running: int = 0
    executions: int = 0
    by_key: Counter[str] = field(default_factory=Counter)
    by_request: Counter[str] = field(default_factory=Counter)
    calls: list[dict[str, Any]] = field(default_factory=list)
    faults: ServiceFaults = field(default_factory=ServiceFaults)


def compute_request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest under which a request's executions are counted."""
    return hashlib.sha256(f"{method}\0{path}\0".encode() + body).hexdigest()


def build_application(service: PlainService) -> Application:
    """Build the ASGI application of a stand-in plain service."""
    limits = CallerSettings()

    async def handle_call(scope: Any, headers: dict[str, str], body: bytes, send: Any) -> None:
        faults = service.faults
        if faults.refuse or faults.leaving:
            reply = encode_error("refused", "not_run", "the service does not accept calls now")
            await send_json(send, 503, reply)
            return
        method = scope["method"]
        query = scope["query_string"].decode("latin-1")
        path = scope["path"] + (f"?{query}" if query else "")
        service.running += 1
        service.peak_running = max(service.peak_running, service.running)
        try:
            delay = service.settings.delay_seconds + faults.delay_seconds
            if delay:
                await asyncio.sleep(delay)
            service.executions += 1
            number = service.executions
            key = headers.get("idempotency-key", "")
            service.by_key[key] += 1
            service.by_request[compute_request_digest(method, path, body)] += 1
            service.calls.append(
                {
                    "method": method,
                    "path": path,
                    "key": key,
                    "attempt": headers.get("x-marjorambridge-attempt", ""),
                    "traceparent": headers.get("traceparent", ""),
                    "authorization": headers.get("authorization", ""),
                }
            )
        finally:
            service.running -= 1
        if faults.cut_answers > 0:
            faults.cut_answers -= 1
            abort_connection(scope)
            return
        if faults.fail_answers > 0:
            faults.fail_answers -= 1
            await send_json(send, 500, {"error": "the service failed after execution"})
            return
        name = f"{service.settings.endpoint}-{service.incarnation}-{number}"
        answer = {"booking": name, "execution": number, "path": path, "bytes": len(body)}
        status = 201 if method == "POST" else 200
        if faults.cut_bodies > 0:
            faults.cut_bodies -= 1
            start = [(b"content-type", b"application/json"), (b"content-length", b"1000")]
            await send({"type": "http.response.start", "status": status, "headers": start})
            part = msgspec.json.encode(answer)
            await send({"type": "http.response.body", "body": part, "more_body": True})
            scope["state"]["transport"].close()
            return
        await send_json(send, status, answer, (("x-endpoint", service.settings.endpoint),))

    async def handle_control(scope: Any, body: bytes, send: Any) -> None:
        if scope["path"] == "/control/faults" and scope["method"] == "POST":
            try:
                service.faults = msgspec.json.decode(body, type=ServiceFaults)
            except DECODE_ERRORS as error:
                raise RequestError(f"the faults are not valid: {error}") from error
            await send_json(send, 200, msgspec.to_builtins(service.faults))
        elif scope["path"] == "/control/inventory":
            inventory = {
                "endpoint": service.settings.endpoint,
                "incarnation": service.incarnation,
                "executions": service.executions,
                "running": service.running,
                "peak_running": service.peak_running,
                "by_key": service.by_key,
                "by_request": service.by_request,
                "calls": service.calls,
            }
            await send_json(send, 200, inventory)
        else:
            raise RequestError("there is no such control path", 404)

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        headers = read_headers(scope)
        try:
            body = await read_body(
                receive, headers.get("content-length"), limits.max_body_bytes, limits
            )
            if scope["path"].startswith("/control/"):
                await handle_control(scope, body, send)
            else:
                await handle_call(scope, headers, body, send)
        except RequestError as error:
            reply = encode_error(error.reason, "not_run", str(error))
            await send_json(send, error.status, reply)
        except CallerDisconnectedError:
            return

    return serve


def build_announcement(service: PlainService, address: str, sequence: int) -> Announcement | None:
    """Return the announcement of the service, or None while it sends none."""
    if service.faults.silent:
        return None
    settings = service.settings
    return Announcement(
        endpoint=settings.endpoint,
        incarnation=service.incarnation,
        supplier=settings.supplier,
        service=settings.service,
        zone=settings.zone,
        address=address,
        concurrency=settings.concurrency,
        cold=settings.starts_cold,
        leaving=service.faults.leaving,
        running=service.running,
        report_sequence=sequence,
    )


async def run_service(settings: ServiceSettings) -> None:
    """Run a stand-in plain service until SIGTERM or SIGINT."""
    service = PlainService(settings, settings.incarnation or create_incarnation())
    sequence = 0

    async def run(address: str) -> None:
        def build() -> Announcement | None:
            nonlocal sequence
            sequence += 1
            return build_announcement(service, address, sequence)

        await announce_forever(settings.hosts, settings.announce_seconds, build)

    await run_process(build_application(service), settings.listen, settings.port, run)


if __name__ == "__main__":
    run_from_command_line(ServiceSettings, run_service)
