"""Build the requests to endpoints."""

from typing import Any

import httpcore

from marjorambridge.core.spans import SpanKind, name_span
from marjorambridge.http.bodies import encode_engine_body
from marjorambridge.http.registry import StoredRequest
from marjorambridge.requests.effects import StartAttempt
from marjorambridge.telemetry.traces import build_traceparent


def build_url(address: str, target: str) -> httpcore.URL:
    """Return the URL of a target on an endpoint, whose address is ``ip:port``."""
    host, _, port = address.rpartition(":")
    return httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=target.encode("latin-1")
    )


def build_engine_body(stored: StoredRequest, effect: StartAttempt) -> bytes:
    """Return the body for an engine with the fields of the engine protocol."""
    fields: dict[str, Any] = {
        "attempt": str(effect.attempt),
        # A restarted engine rejects requests granted to its earlier incarnation, because it is cold
        # and its limit does not count these grants.
        "incarnation": effect.endpoints[0].incarnation,
        "priority": str(effect.priority),
        "resume_from": effect.resume_from,
        "kv_tokens": sum(item.tokens for item in effect.endpoints),
        "group": [],
    }
    if len(effect.endpoints) > 1:
        fields["group"] = [
            {
                "endpoint": item.endpoint,
                "incarnation": item.incarnation,
                "address": item.address,
                "tokens": item.tokens,
            }
            for item in effect.endpoints
        ]
    return encode_engine_body(stored.body, fields)


def build_headers(stored: StoredRequest, effect: StartAttempt) -> list[tuple[bytes, bytes]]:
    """Return the headers for the endpoint, with the span of a traced attempt as the parent."""
    address = effect.endpoints[0].address
    headers = [("host", address), ("x-marjorambridge-attempt", str(effect.attempt))]
    if stored.is_engine:
        headers.append(("content-type", "application/json"))
    elif not any(name == "idempotency-key" for name, _ in stored.headers):
        headers.append(("idempotency-key", stored.request))
    if effect.trace:
        span = name_span(SpanKind.ATTEMPT, effect.attempt)
        headers.append(("traceparent", build_traceparent(effect.trace, span)))
        headers += [item for item in stored.headers if item[0] != "traceparent"]
    else:
        headers += stored.headers
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
