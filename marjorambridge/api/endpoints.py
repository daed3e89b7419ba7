"""Encode and decode what hosts and endpoints exchange (`docs/ref/endpoint-protocol.md`)."""

from typing import Any

import msgspec

from marjorambridge.api.requests import CompletionForm
from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.gateway.messages import (
    SUCCESS_STATUSES,
    AnswerHead,
    AttemptMessage,
    AttemptOptions,
    CallerRequest,
    Headers,
)
from marjorambridge.http.bodies import (
    BODILESS_STATUSES,
    CANCEL_PATH,
    confirms_cancel,
    encode_engine_body,
    reports_not_run,
)
from marjorambridge.http.headers import ANSWER_DROPPED_HEADERS

JSON_TYPE = (b"Content-Type", b"application/json")
ATTEMPT = b"X-Marjorambridge-Attempt"
IDEMPOTENCY_KEY = b"Idempotency-Key"
UNAVAILABLE_STATUS = 503


def encode_attempt(request: CallerRequest, options: AttemptOptions) -> AttemptMessage:
    """Return what an engine or a plain service gets."""
    headers = [
        (b"Host", options.address.encode()),
        (ATTEMPT, options.attempt.encode()),
        *request.headers,
    ]
    if not isinstance(request.form, CompletionForm):
        # Without a key of the caller, repetitions of the request are told by its identifier.
        headers.append((IDEMPOTENCY_KEY, request.request_id.encode()))
        return AttemptMessage(request.target, headers, request.body)
    fields = {
        "attempt": options.attempt,
        "incarnation": options.born,
        "priority": "interactive",
        "resume_from": options.last_event or 0,
        # Without a maximum of the caller, it would limit the answer to what the host expects.
        "kv_tokens": options.kv_tokens if request.form.has_maximum else 0,
        "group": [],
    }
    body = encode_engine_body(request.body, fields)
    return AttemptMessage(request.target, [*headers, JSON_TYPE], body)


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the head of an answer; the protocol has no MACs."""
    values = {name.lower(): value for name, value in headers}
    is_event_stream = values.get(b"content-type", b"").startswith(b"text/event-stream")
    is_framed = b"content-length" in values or b"transfer-encoding" in values
    return AnswerHead(
        status=status,
        headers=[
            (name, value)
            for name, value in headers
            if name.decode("latin-1").lower() not in ANSWER_DROPPED_HEADERS
        ],
        is_signed=status in SUCCESS_STATUSES,
        is_event_stream=is_event_stream,
        has_unknown_end=not (is_framed or is_event_stream or status in BODILESS_STATUSES),
        is_unavailable=status == UNAVAILABLE_STATUS,
        retry_after=values.get(b"retry-after", b"").decode("latin-1"),
        date=values.get(b"date", b"").decode("latin-1"),
    )


def decode_failure(head: AnswerHead, body: bytes) -> None:
    """Read from the body of an error whether the request has not run."""
    head.not_run = reports_not_run(head.status, body)


def encode_cancel(request: CallerRequest, attempt: str) -> tuple[bytes, bytes] | None:
    """Return target and body of the order that cancels an attempt; plain services get none."""
    if not isinstance(request.form, CompletionForm):
        return None
    return CANCEL_PATH.encode(), msgspec.json.encode({"attempt": attempt})


def is_cancelled(endpoint: str, incarnation: int, body: bytes) -> bool:
    """Return whether an answer confirms that an attempt has ended."""
    try:
        answer = msgspec.json.decode(body, type=dict[str, Any])
    except DECODE_ERRORS:
        # Something else answers at this address, so that nothing is confirmed.
        return False
    return confirms_cancel(endpoint, incarnation, answer)


def encode_order_headers(endpoint: str) -> Headers:
    """Return the headers of an order."""
    return [(b"Host", endpoint.encode("latin-1")), JSON_TYPE]
