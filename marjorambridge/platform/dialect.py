"""Translate the platform's HTTP headers into requests, attempts and answers."""

import msgspec

from marjorambridge.core.numbers import parse_count, parse_decimal
from marjorambridge.core.outcomes import Unsuccessful
from marjorambridge.gateway import exchanges
from marjorambridge.gateway.exceptions import BadRequestError
from marjorambridge.gateway.messages import (
    HOP_BY_HOP_HEADERS,
    AnswerHead,
    AttemptMessage,
    AttemptOptions,
    CallerRequest,
    Dialect,
    Headers,
    HelperDialect,
    PromptSize,
)

REQUEST_ID = b"x-request-id"
KEY = b"x-key"
# Milliseconds for which the sender waits.
DEADLINE = b"x-deadline-ms"
# Length of the prompt and greatest length of the answer, in tokens.
PROMPT_SIZE = b"x-token-usage"
LENGTH_HINT = b"x-length-hint"
# Parts of the prompt in order, as comma-separated pairs of identifier and length.
PROMPT_PARTS = b"x-prefix-hash"
LAST_EVENT = b"last-event-id"
WORKSPACE = b"x-tenant"
EXPECTED_ENDPOINT = b"x-expect-instance"
# Endpoints whose weights have another version answer as misdirected.
EXPECTED_VERSION = b"x-expect-version"
HELPERS = b"x-helpers"
PRIORITY = b"x-request-priority"
# The MAC of an endpoint over its answer.
SIGNATURE = b"x-instance-signature"
NOT_RUN = b"x-not-executed"
LEAVING = b"server-leaving"
# Requests per second from all hosts together, as a decimal number.
REQUEST_LIMIT = b"server-limit"
# The endpoint that prevented a request from running, not the one that answers.
ENDPOINT_AT_FAULT = b"at-server"

ORDER_TARGET = b"/api/order"
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Callers repeat a request after these statuses, because they state that it has not run.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, UNAVAILABLE_STATUS})
HEXADECIMAL_DIGITS = b"0123456789abcdefABCDEF"
# Identifiers of parts are signed integers of 64 bits in messages between hosts.
PART_MASK = 2**63 - 1
# More than the engines of any service hold together; callers send greater numbers for "no limit".
MAX_TOKENS = 2**31 - 1
# Headers that only the gateway may set, or that must not reach an endpoint.
SYSTEM_HEADERS = frozenset({KEY, DEADLINE, WORKSPACE, EXPECTED_ENDPOINT, HELPERS, PRIORITY})
# A header named by ``Connection`` is dropped, unless the answer depends on it.
PRESERVED_HEADERS = frozenset({b"host", REQUEST_ID, b"x-model", PROMPT_SIZE, PROMPT_PARTS})


def decode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> CallerRequest:
    """Decode a caller's request.

    Raises
    ------
    BadRequestError
        If the request has no identifier, or if its identifier or key is given twice.
    """
    values = _index_headers(headers)
    request_id = values.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise BadRequestError(400, "the request has no identifier; send one")
    path, host_name = _split_target(target)
    if not host_name:
        host_name = values.get(b"host", b"").decode("latin-1")
    return CallerRequest(
        method=method,
        target=target,
        path=path,
        host_name=_strip_port(host_name).lower(),
        headers=_select_headers(headers, values, SYSTEM_HEADERS),
        body=body,
        request_id=request_id,
        key=values.get(KEY, b"").decode("latin-1"),
        wait_seconds=_read_milliseconds(values.get(DEADLINE)),
        prompt=_read_prompt(values),
        last_event=parse_count(values.get(LAST_EVENT, b"")),
        prompt_parts=_read_prompt_parts(values.get(PROMPT_PARTS, b"")),
        is_conditional=EXPECTED_VERSION in values,
    )


def _index_headers(headers: Headers) -> dict[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in values and lowered in (REQUEST_ID, KEY):
            raise BadRequestError(400, f"header {lowered.decode()} comes twice; send it once")
        values[lowered] = value
    return values


def _split_target(target: bytes) -> tuple[str, str]:
    """Return the path, and the host name if the target is a whole URL."""
    text = target.decode("latin-1")
    host_name = ""
    if text.startswith(("http://", "https://")):
        host_name, slash, rest = text.partition("://")[2].partition("/")
        text = slash + rest
    return text.partition("?")[0], host_name


def _strip_port(host_name: str) -> str:
    name, _, port = host_name.rpartition(":")
    return name if name and port.isdecimal() else host_name


def _select_headers(
    headers: Headers, values: dict[bytes, bytes], removed: frozenset[bytes]
) -> Headers:
    named = {name.strip().lower() for name in values.get(b"connection", b"").split(b",")}
    dropped = HOP_BY_HOP_HEADERS | removed | (named - PRESERVED_HEADERS)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _read_milliseconds(value: bytes | None) -> float | None:
    """Return seconds; None without a valid deadline, so that the timeout of the route applies."""
    milliseconds = parse_decimal(value.decode("latin-1")) if value is not None else None
    return max(0.0, milliseconds / 1_000) if milliseconds is not None else None


def _read_tokens(text: bytes) -> int:
    return min(parse_count(text) or 0, MAX_TOKENS)


def _read_prompt(values: dict[bytes, bytes]) -> PromptSize | None:
    size = values.get(PROMPT_SIZE)
    if size is None:
        return None
    prompt_tokens, _, answer_tokens = size.partition(b",")
    return PromptSize(
        prompt_tokens=_read_tokens(prompt_tokens),
        max_answer_tokens=_read_tokens(answer_tokens),
        expected_answer_tokens=_read_tokens(values.get(LENGTH_HINT, b"")),
    )


def _read_prompt_parts(value: bytes) -> tuple[int, ...]:
    identifiers = [entry.partition(b":")[0].strip() for entry in value.split(b",")]
    return tuple(
        int(identifier, 16) & PART_MASK
        for identifier in identifiers
        if identifier and not identifier.strip(HEXADECIMAL_DIGITS)
    )


def encode_attempt(request: CallerRequest, options: AttemptOptions) -> AttemptMessage:
    """Return the caller's request with the headers of an attempt."""
    headers = request.headers
    if options.last_event is not None:
        headers = [(name, value) for name, value in headers if name.lower() != LAST_EVENT]
        headers.append((b"Last-Event-Id", str(options.last_event).encode()))
    milliseconds = max(1, int(options.remaining_seconds * 1_000))
    added = [
        (b"X-Deadline-Ms", str(milliseconds).encode()),
        (b"X-Expect-Instance", options.endpoint.encode("latin-1")),
    ]
    if options.workspace:
        # Header values hold any bytes above 127; a value can't begin or end with a space.
        added.append((b"X-Tenant", options.workspace.strip().encode()))
    if options.urgency is not None:
        added.append((b"X-Request-Priority", str(options.urgency).encode()))
    if options.helpers:
        added.append((b"X-Helpers", ",".join(options.helpers).encode()))
    return AttemptMessage(request.target, [*headers, *added], request.body)


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the head of an endpoint's answer."""
    values = {name.lower(): value for name, value in headers}
    return AnswerHead(
        status=status,
        headers=_select_headers(headers, values, frozenset()),
        request_id=values.get(REQUEST_ID, b"").decode("latin-1"),
        is_signed=bool(values.get(SIGNATURE)),
        not_run=NOT_RUN in values,
        misdirected=status == MISDIRECTED_STATUS,
        is_event_stream=values.get(b"content-type", b"").startswith(b"text/event-stream"),
        leaving=values.get(LEAVING, b"").strip() == b"1",
        is_unavailable=status == UNAVAILABLE_STATUS,
        retry_after=values.get(b"retry-after", b"").decode("latin-1"),
        date=values.get(b"date", b"").decode("latin-1"),
        request_limit=values.get(REQUEST_LIMIT, b"").decode("latin-1").strip(),
        endpoint_at_fault=values.get(ENDPOINT_AT_FAULT, b"").decode("latin-1"),
    )


def encode_error(outcome: Unsuccessful) -> tuple[Headers, bytes]:
    """Return headers and text of an answer of this host, with the time to come back if any."""
    headers, body = exchanges.encode_text(outcome)
    retry_after = getattr(outcome, "retry_after", None)
    if retry_after is not None:
        headers.append((b"Retry-After", f"{retry_after:.2f}".encode()))
    return headers, body


def encode_helper(address: str, ticket: str) -> str:
    """Return the header value of a helper engine, with its ticket if it has one."""
    return f"{address}/{ticket}" if ticket else address


def encode_reservation(ticket: str, tokens: int, lease_seconds: float) -> tuple[bytes, bytes]:
    """Return target and body of an order that reserves memory or renews its lease."""
    order = {
        "op": "reserve",
        "id": ticket,
        "token_count": tokens,
        "hold_ms": int(lease_seconds * 1_000),
        "wait": False,
    }
    return ORDER_TARGET, msgspec.json.encode(order)


def encode_release(ticket: str) -> tuple[bytes, bytes]:
    """Return target and body of an order that ends a reservation."""
    return ORDER_TARGET, msgspec.json.encode({"op": "release", "id": ticket})


def encode_order_headers(endpoint: str) -> Headers:
    """Return the headers of an order."""
    return [
        (b"Host", b"engine"),
        (b"Content-Type", b"application/json"),
        (b"X-Expect-Instance", endpoint.encode("latin-1")),
    ]


def create_dialect() -> Dialect:
    """Return the functions that translate between the platform and the gateway."""
    return Dialect(
        decode_request,
        encode_attempt,
        decode_answer,
        encode_error,
        encode_order_headers,
        HelperDialect(encode_helper, encode_reservation, encode_release),
        not_run_statuses=NOT_RUN_STATUSES,
        may_relay=True,
    )
