"""Parse OpenAI-compatible bodies and endpoint announcements."""

import math
import re
from typing import Any
from urllib.parse import unquote

import msgspec
from msgspec import Struct

from marjorambridge.core.addresses import is_address
from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.http.exceptions import RequestError
from marjorambridge.limits.messages import Announcement

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/v1/cancel"
SERVICES_PREFIX = "/services/"
SERVICE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"})
BODILESS_STATUSES = frozenset({204, 304})
# Statuses with which an endpoint may state that it did not run a request.
NOT_RUN_STATUSES = frozenset({404, 409, 429, 503})
MAX_OUTPUT_TOKENS = 10_000_000
MAX_NAME_CHARACTERS = 200


_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]*")


class _ContentPart(msgspec.Struct):
    type: str
    text: str | None = None


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[_ContentPart] | None = None


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _CommonBody(msgspec.Struct):
    model: str
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    best_of: int | None = None


class _ChatBody(_CommonBody, kw_only=True):
    messages: list[_ChatMessage]


class _CompletionBody(_CommonBody, kw_only=True):
    prompt: str | list[str]


class ParsedBody(Struct):
    """Fields of a completion request that the host uses.

    Attributes
    ----------
    prompt : bytes
        Text of the prompt in UTF-8, from which prefix hashes are computed.
    output_tokens : int
        Maximum that the caller set; 0 if none.
    """

    model: str
    prompt: bytes
    stream: bool
    include_usage: bool
    output_tokens: int


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a service, model, endpoint, zone or supplier.

    Examples
    --------
    >>> is_name("geru-model"), is_name("a b"), is_name("")
    (True, False, False)
    """
    return len(text) <= MAX_NAME_CHARACTERS and _NAME.fullmatch(text) is not None


def parse_service_target(method: str, target: str) -> tuple[str, str]:
    """Return the service that a call names, and the path and query for it.

    Raises
    ------
    RequestError
        If the path or the method is not valid.

    Examples
    --------
    >>> parse_service_target("GET", "/services/erp/stock?item=7")
    ('erp', '/stock?item=7')
    """
    service, _, rest = target[len(SERVICES_PREFIX) :].partition("/")
    service = unquote(service)
    if not is_name(service) or "/" in service:
        raise RequestError("the path must have the form /services/SERVICE/PATH")
    if method not in SERVICE_METHODS:
        raise RequestError(f"method {method[:20]!r} is not supported for services", 405)
    return service, f"/{rest}"


def decode_object(body: bytes) -> dict[str, msgspec.Raw]:
    """Decode the fields of a JSON object without decoding their values.

    Raises
    ------
    RequestError
        If the body is not a JSON object.
    """
    try:
        return msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS as error:
        raise RequestError(f"the body is not a JSON object ({error}); send valid JSON") from error


def _read_content(message: _ChatMessage) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    texts = []
    for part in message.content:
        if part.type != "text" or part.text is None:
            raise RequestError(
                f"content parts of type {part.type[:40]!r} are not supported; send parts of type "
                "'text' with a 'text' field"
            )
        texts.append(part.text)
    return "".join(texts)


def _render_prompt(parsed: Any) -> str:
    if isinstance(parsed, _ChatBody):
        if not parsed.messages:
            raise RequestError("'messages' is empty; send at least one message")
        return "".join(f"{message.role}\n{_read_content(message)}\n" for message in parsed.messages)
    if isinstance(parsed.prompt, str):
        return parsed.prompt
    if len(parsed.prompt) != 1:
        raise RequestError("'prompt' must hold one text; send one request for each prompt")
    return parsed.prompt[0]


def parse_completion(path: str, body: bytes) -> ParsedBody:
    """Parse the body of `CHAT_PATH` or `COMPLETIONS_PATH`.

    Raises
    ------
    RequestError
        If the body is not valid; the message names the field and the remedy.
    """
    kind = _ChatBody if path == CHAT_PATH else _CompletionBody
    try:
        parsed: Any = msgspec.json.decode(body, type=kind)
        prompt = _render_prompt(parsed).encode()
    except DECODE_ERRORS as error:
        raise RequestError(f"the body is not valid: {error}; correct this field") from error
    if not is_name(parsed.model):
        raise RequestError("'model' is not a valid name; send the name of a service or model")
    for name in ("n", "best_of"):
        if getattr(parsed, name) not in (None, 1):
            raise RequestError(f"'{name}' must be 1; send one request for each answer")
    output = parsed.max_completion_tokens
    if output is None:
        output = parsed.max_tokens
    if output is not None and not 1 <= output <= MAX_OUTPUT_TOKENS:
        raise RequestError(
            f"'max_tokens' must be from 1 to {MAX_OUTPUT_TOKENS}; leave it out for the default"
        )
    options = parsed.stream_options
    return ParsedBody(
        model=parsed.model,
        prompt=prompt,
        stream=bool(parsed.stream),
        include_usage=options is not None and options.include_usage,
        output_tokens=output or 0,
    )


def encode_engine_body(body: bytes, protocol_fields: dict[str, Any]) -> bytes:
    """Return the body for an engine: the caller's fields and those of the engine protocol.

    The engine always streams, because only a stream can be resumed.
    """
    fields: dict[str, Any] = dict(decode_object(body))
    fields.pop("stream_options", None)
    return msgspec.json.encode(fields | {"stream": True} | protocol_fields)


def reports_not_run(status: int, body: bytes) -> bool:
    """Return whether an answer of an endpoint states that it did not run the request.

    Examples
    --------
    >>> reports_not_run(503, b'{"error":{"outcome":"not_run"}}'), reports_not_run(503, b"")
    (True, False)
    """
    if status not in NOT_RUN_STATUSES:
        return False
    try:
        error = msgspec.json.decode(body, type=dict[str, Any]).get("error")
    except DECODE_ERRORS:
        return False
    return isinstance(error, dict) and error.get("outcome") == "not_run"


def confirms_cancel(endpoint: str, incarnation: int, answer: dict[str, Any]) -> bool:
    """Return whether the answer to a cancel confirms that the attempt has ended.

    An answer of a newer incarnation confirms it too, because the attempt ended with the older
    process. An answer of another endpoint at the same address confirms nothing.
    """
    answered_incarnation = answer.get("incarnation")
    return (
        answer.get("endpoint") == endpoint
        and isinstance(answered_incarnation, int)
        and answered_incarnation >= incarnation
    )


def parse_announcement(body: bytes) -> Announcement:
    """Parse the body of ``/v1/announce``; block hashes are base64 in JSON.

    Raises
    ------
    RequestError
        If a field is missing, has the wrong type, or is out of range.
    """
    try:
        parsed = msgspec.json.decode(body, type=Announcement)
    except DECODE_ERRORS as error:
        raise RequestError(f"the announcement is not valid: {error}; correct this field") from error
    for name in ("endpoint", "supplier", "service", "zone"):
        if not is_name(getattr(parsed, name)):
            raise RequestError(f"'{name}' of the announcement is not a valid name; correct it")
    if not is_address(parsed.address):
        raise RequestError("'address' must have the form ip:port, such as 10.0.0.7:8000")
    if parsed.concurrency < 1:
        raise RequestError("'concurrency' must be at least 1")
    for name in (
        "incarnation",
        "concurrency_now",
        "kv_capacity_tokens",
        "kv_used_tokens",
        "running",
        "report_sequence",
        "report_age",
    ):
        value = getattr(parsed, name)
        if not math.isfinite(value) or not 0 <= value < 2**62:
            raise RequestError(f"'{name}' of the announcement must not be negative")
    for event in parsed.cache_events:
        if event.sequence < 0 or event.sequence >= 2**62:
            raise RequestError("'sequence' of a cache event must not be negative")
        if any(len(block) != 8 for block in (*event.stored, *event.evicted)):
            raise RequestError("block hashes of cache events must be 8 bytes, in base64")
    return parsed
