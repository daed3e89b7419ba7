"""Serve the admin address to operators and monitoring."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from msgspec import Struct

from marjorambridge.core.outcomes import Reason
from marjorambridge.http.bodies import DECODE_ERRORS
from marjorambridge.http.exceptions import RequestError
from marjorambridge.http.headers import read_headers
from marjorambridge.http.messages import answer_request_error, read_body, send_json
from marjorambridge.http.reports import CONFIGURATION_PATH, REPORT_PATH
from marjorambridge.http.servers import Application
from marjorambridge.http.settings import CallerSettings

MAX_COMMAND_BYTES = 1024 * 1024
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class AdminCallbacks(Struct):
    """Callbacks from the admin address into the daemon.

    Attributes
    ----------
    is_ready : callable
        Returns whether the host accepts callers, and the reason if not.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    dump_state : callable
        Returns the state as JSON-compatible values.
    run_command : callable
        Takes the JSON object of a command, returns the HTTP status and the JSON answer.
    check_token : callable
        Returns whether an operator token is valid, in constant time.
    describe_host : callable, optional
        Returns a `HostReport`.
    describe_configuration : callable, optional
        Returns a `ConfigurationReport`.
    """

    is_ready: Callable[[], tuple[bool, str]]
    render_metrics: Callable[[], str]
    dump_state: Callable[[], Any]
    run_command: Callable[[dict[str, Any]], Awaitable[tuple[int, Any]]]
    check_token: Callable[[str], bool]
    describe_host: Callable[[], Any] | None = None
    describe_configuration: Callable[[], Any] | None = None


def _require_operator(headers: dict[str, str], callbacks: AdminCallbacks) -> None:
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not callbacks.check_token(token.strip()):
        raise RequestError(
            "send a valid operator token as 'Authorization: Bearer TOKEN'",
            401,
            Reason.UNAUTHENTICATED,
        )


def build_application(
    callbacks: AdminCallbacks, max_command_bytes: int = MAX_COMMAND_BYTES
) -> Application:
    """Build the ASGI application of the admin address.

    ``/health``, ``/ready`` and ``/metrics`` need no token; ``/state``, ``/report``,
    ``/configuration`` and ``/commands`` need the operator token.
    """
    limits = CallerSettings()
    descriptions = {
        "/state": callbacks.dump_state,
        REPORT_PATH: callbacks.describe_host,
        CONFIGURATION_PATH: callbacks.describe_configuration,
    }

    async def answer(scope: Any, headers: dict[str, str], receive: Any, send: Any) -> None:
        route = (scope["method"], scope["path"])
        if route == ("GET", "/health"):
            await send_json(send, 200, {"status": "ok"})
        elif route == ("GET", "/ready"):
            ready, reason = callbacks.is_ready()
            await send_json(send, 200 if ready else 503, {"ready": ready, "reason": reason})
        elif route == ("GET", "/metrics"):
            data = callbacks.render_metrics().encode()
            start = [(b"content-type", METRICS_TYPE), (b"content-length", b"%d" % len(data))]
            await send({"type": "http.response.start", "status": 200, "headers": start})
            await send({"type": "http.response.body", "body": data})
        elif scope["method"] == "GET" and descriptions.get(scope["path"]) is not None:
            _require_operator(headers, callbacks)
            await send_json(send, 200, descriptions[scope["path"]]())
        elif route == ("POST", "/commands"):
            _require_operator(headers, callbacks)
            body = await read_body(
                receive, headers.get("content-length"), max_command_bytes, limits
            )
            try:
                command = msgspec.json.decode(body, type=dict[str, Any])
            except DECODE_ERRORS as error:
                raise RequestError(
                    f"the command is not a JSON object ({error}); send valid JSON"
                ) from error
            status, reply = await callbacks.run_command(command)
            await send_json(send, status, reply)
        else:
            raise RequestError(
                "there is no such path; use GET /health, /ready, /metrics, /state, /report, "
                "/configuration or POST /commands",
                404,
            )

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await answer_request_error(send, answer(scope, read_headers(scope), receive, send))

    return serve
