"""Decode the requests of callers, as `docs/ref/caller-api.md` describes them."""

import time
import uuid

import xxhash
from msgspec import Struct

from marjorambridge.core.outcomes import Reason
from marjorambridge.forwarding.causes import HASH_MASK
from marjorambridge.gateway.exceptions import BadRequestError
from marjorambridge.gateway.messages import CallerRequest, Headers, PromptSize
from marjorambridge.http.bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    SERVICES_PREFIX,
    parse_completion,
    parse_service_target,
)
from marjorambridge.http.completions import Completion
from marjorambridge.http.exceptions import RequestError
from marjorambridge.http.headers import (
    DROPPED_HEADERS,
    parse_idempotency_key,
    parse_key,
    parse_repeatable,
    parse_timeout,
)
from marjorambridge.requests.admission import SAFE_METHODS
from marjorambridge.routing.prefixes import compute_prefix

# Completions have routes of their own, so that they can't reach a plain service.
MODELS_PREFIX = "/models/"
TRACE_HEADERS = ("traceparent", "tracestate")


class CompletionForm(Struct):
    """What the answer to a completion request needs, beside the tokens.

    Attributes
    ----------
    has_maximum : bool
        Whether the caller limited the length of the answer.
    finish : str
        Why the engine ended the answer; empty before.
    prompt_tokens, output_tokens : int
        Tokens of the prompt as the engine counts them, and tokens that have arrived.
    """

    completion: Completion
    stream: bool
    include_usage: bool
    has_maximum: bool
    finish: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0


def decode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, bytes_per_token: float
) -> CallerRequest:
    """Decode a caller's request.

    Parameters
    ----------
    bytes_per_token : float
        Estimate from which the length of a prompt follows.

    Raises
    ------
    BadRequestError
        If the request is not valid; the message names the remedy.
    """
    try:
        return _decode_request(method, target, headers, body, bytes_per_token)
    except RequestError as error:
        raise BadRequestError(error.status, str(error), error.reason) from error


def _decode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes, bytes_per_token: float
) -> CallerRequest:
    values = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in headers}
    if parse_idempotency_key(values.get("idempotency-key")):
        raise RequestError(
            "keyed requests are not served here; send the request without Idempotency-Key",
            503,
            Reason.CLAIM_UNAVAILABLE,
        )
    path = target.partition(b"?")[0].decode("latin-1")
    request = CallerRequest(
        method=method,
        target=target,
        path=path,
        host_name="",
        headers=[],
        body=body,
        request_id=uuid.uuid4().hex,
        key=parse_key(values.get("authorization")),
        wait_seconds=parse_timeout(values.get("x-request-timeout")) or None,
        repeatable=parse_repeatable(values.get("x-marjorambridge-repeatable")),
    )
    if path in (CHAT_PATH, COMPLETIONS_PATH):
        _add_completion(request, values, bytes_per_token)
    elif path.startswith(SERVICES_PREFIX):
        _add_call(request, headers, values)
    else:
        raise RequestError(
            f"there is no such path; use {CHAT_PATH}, {COMPLETIONS_PATH} or "
            f"{SERVICES_PREFIX}SERVICE/PATH",
            404,
        )
    return request


def _add_completion(request: CallerRequest, values: dict[str, str], bytes_per_token: float) -> None:
    """Add what the body of a completion request says; it is routed by the model."""
    path = request.path
    if request.method != b"POST":
        raise RequestError(f"{path} takes only POST", 405)
    parsed = parse_completion(path, request.body)
    tokens = max(1, round(len(parsed.prompt) / bytes_per_token))
    blocks, _ = compute_prefix(parsed.prompt, bytes_per_token)
    parts = [int.from_bytes(block) for block in blocks]
    parts.append(xxhash.xxh3_64_intdigest(parsed.prompt))
    completion = Completion(request.request_id, path, parsed.model, int(time.time()))
    request.path = f"{MODELS_PREFIX}{parsed.model}/"
    request.headers = [
        (name.encode(), values[name].encode("latin-1")) for name in TRACE_HEADERS if name in values
    ]
    request.prompt = PromptSize(tokens, parsed.output_tokens)
    request.prompt_parts = tuple(part & HASH_MASK for part in parts)
    # Tokens are numbered from 1, and the caller has none of them.
    request.last_event = 0
    request.repeatable = None
    request.collects_events = not parsed.stream
    request.form = CompletionForm(
        completion,
        parsed.stream,
        parsed.include_usage,
        parsed.output_tokens > 0,
        prompt_tokens=tokens,
    )


def _add_call(request: CallerRequest, headers: Headers, values: dict[str, str]) -> None:
    """Add the service that a call names, and what it gets."""
    method, target = request.method.decode("latin-1"), request.target.decode("latin-1")
    service, rest = parse_service_target(method, target)
    named = {part.strip().lower() for part in values.get("connection", "").split(",")}
    dropped = DROPPED_HEADERS | named
    if request.repeatable is None and method in SAFE_METHODS:
        request.repeatable = True
    request.path = f"{SERVICES_PREFIX}{service}{rest.partition('?')[0]}"
    request.target = rest.encode("latin-1")
    request.headers = [
        (name, value) for name, value in headers if name.decode("latin-1").lower() not in dropped
    ]
