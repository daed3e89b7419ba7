"""Parse the headers of callers and select those that are forwarded."""

import hashlib
import hmac
import math
from typing import Any

from marjorambridge.core.outcomes import Reason
from marjorambridge.http.exceptions import RequestError

# Hop-by-hop headers, and those that the driver sets itself. The workspace key is not forwarded.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-timeout",
        "x-marjorambridge-attempt",
        "x-marjorambridge-repeatable",
    }
)

# The server adds its own date; a second one would make the answer ambiguous.
ANSWER_DROPPED_HEADERS = DROPPED_HEADERS | {"date"}


def read_headers(scope: dict[str, Any]) -> dict[str, str]:
    """Return the headers of a request by lower-case name; a repeated name has its last value."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}


def parse_timeout(text: str | None) -> float:
    """Parse ``X-Request-Timeout`` in seconds; 0 if there is none.

    Raises
    ------
    RequestError
        If the value is not a positive number.
    """
    if text is None:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value > 0):
        raise RequestError("X-Request-Timeout must be a positive number of seconds, such as 30")
    return value


def parse_repeatable(text: str | None) -> bool | None:
    """Parse ``X-Marjorambridge-Repeatable``; None if there is none.

    Raises
    ------
    RequestError
        If the value is neither ``true`` nor ``false``.
    """
    if text is None:
        return None
    if text.lower() not in ("true", "false"):
        raise RequestError("X-Marjorambridge-Repeatable must be true or false")
    return text.lower() == "true"


def parse_key(text: str | None) -> str:
    """Return the SHA-256 digest of the workspace key; empty if there is none.

    Raises
    ------
    RequestError
        If the scheme is not ``Bearer``.
    """
    if text is None:
        return ""
    scheme, _, key = text.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(
            "Authorization must have the form 'Bearer KEY'", 401, Reason.UNAUTHENTICATED
        )
    return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()


def matches_any_digest(digest: str, hashes: tuple[str, ...]) -> bool:
    """Return whether `hashes` has a digest; the time does not depend on which one matches."""
    return sum(hmac.compare_digest(digest, expected) for expected in hashes) > 0


def parse_idempotency_key(text: str | None) -> str:
    """Return the idempotency key; empty if there is none.

    Raises
    ------
    RequestError
        If the key is empty, too long or has characters other than printable ASCII.
    """
    if text is None:
        return ""
    if not 1 <= len(text) <= 255 or not text.isascii() or not text.isprintable():
        raise RequestError("Idempotency-Key must be 1 to 255 printable ASCII characters")
    return text
