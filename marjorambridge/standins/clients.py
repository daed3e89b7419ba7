"""Send requests to hosts as callers do, for the demo, the tests and the benchmarks."""

import http.client
import json
import time

from msgspec import Struct


class StreamResult(Struct):
    """Result of a streamed completion at the caller.

    Attributes
    ----------
    first_token : float or None
        Seconds from sending to the first token.
    total : float
        Seconds from sending to the end.
    complete : bool
        Whether the end marker arrived.
    """

    status: int = 0
    text: str = ""
    tokens: int = 0
    first_token: float | None = None
    total: float = 0.0
    complete: bool = False
    error: str = ""
    retry_after: float | None = None


def stream_completion(
    address: str,
    model: str,
    prompt: str,
    max_tokens: int,
    key: str,
    timeout: float = 60.0,
) -> StreamResult:
    """Request one streamed completion; connection errors are part of the result."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout + 5.0)
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    headers = {
        "authorization": f"Bearer {key}",
        "content-type": "application/json",
        "x-request-timeout": str(timeout),
    }
    result = StreamResult()
    sent_at = time.monotonic()
    try:
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        response = connection.getresponse()
        result.status = response.status
        if response.status != 200:
            _read_refusal(response, result)
        else:
            _read_events(response, result, sent_at)
    except (OSError, http.client.HTTPException) as error:
        result.error = repr(error)
    finally:
        connection.close()
    result.total = time.monotonic() - sent_at
    return result


def _read_refusal(response: http.client.HTTPResponse, result: StreamResult) -> None:
    result.error = response.read().decode("utf-8", "replace")
    text = response.headers.get("retry-after")
    result.retry_after = float(text) if text else None


def _read_events(response: http.client.HTTPResponse, result: StreamResult, sent_at: float) -> None:
    for line in response:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            result.complete = True
            continue
        event = json.loads(data)
        if "error" in event:
            result.error = json.dumps(event["error"])
            continue
        for choice in event.get("choices", []):
            if choice.get("text"):
                if result.first_token is None:
                    result.first_token = time.monotonic() - sent_at
                result.text += choice["text"]
                # The stand-in engine ends each token with a space.
                result.tokens += choice["text"].count(" ")
