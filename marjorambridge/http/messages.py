"""Read bodies and send JSON over ASGI."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from marjorambridge.core.outcomes import Reason
from marjorambridge.http.exceptions import CallerDisconnectedError, RequestError
from marjorambridge.http.outcomes import encode_error
from marjorambridge.http.settings import CallerSettings


async def read_body(
    receive: Callable[[], Any], declared_length: str | None, limit: int, settings: CallerSettings
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
    too_large = (
        declared_length is not None and declared_length.isdecimal() and int(declared_length) > limit
    )
    try:
        async with asyncio.timeout(settings.body_timeout_seconds):
            while True:
                async with asyncio.timeout(settings.body_idle_timeout_seconds):
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


async def answer_request_error(send: Callable[..., Any], handling: Awaitable[None]) -> None:
    """Await the handling of a request, and answer its `RequestError` if it raises one."""
    try:
        await handling
    except RequestError as error:
        reply = encode_error(error.reason, "not_run", str(error))
        await send_json(send, error.status, reply, (("connection", "close"),))
    except CallerDisconnectedError:
        return
