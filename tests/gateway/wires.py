"""Write and read the messages of callers and endpoints in each dialect."""

import json
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from msgspec.structs import replace

from marjorambridge.api.dialect import create_dialect as create_own_dialect
from marjorambridge.api.requests import MODELS_PREFIX
from marjorambridge.gateway.messages import Dialect
from marjorambridge.http.bodies import SERVICES_PREFIX
from marjorambridge.http.headers import parse_key
from marjorambridge.manifests.models import Manifest, Route
from marjorambridge.platform.dialect import create_dialect as create_platform_dialect

BYTES_PER_TOKEN = 3.0
END_OF_CHUNKS = b"0\r\n\r\n"


@dataclass(frozen=True)
class Wire:
    """Functions for the messages of one dialect.

    Attributes
    ----------
    make_request : callable
        Takes method, body, headers, key and whether the answer is a stream.
    refusal : bytes
        Status, headers and body of an endpoint that did not run a request.
    make_events, make_end : callable
        Return the events of an engine from the first to the last item, and what follows the last.
    find_resumption : callable
        Takes a request at an endpoint; returns the last item that the caller has, or 0.
    list_items : callable
        Takes an answer of the gateway; returns the numbers of the items in it.
    is_whole : callable
        Takes an answer of the gateway; returns whether its stream is complete.
    """

    name: str
    create_dialect: Callable[[], Dialect]
    adapt_manifest: Callable[[Manifest], Manifest]
    make_request: Callable[[bytes, bytes, bytes, bytes, bool], bytes]
    refusal: tuple[bytes, bytes, bytes]
    make_events: Callable[[int, int], bytes]
    make_end: Callable[[int], bytes]
    find_resumption: Callable[[bytes], int]
    list_items: Callable[[bytes], list[int]]
    is_whole: Callable[[bytes], bool]


def find_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


def read_body(data: bytes) -> bytes:
    """Return the body of an answer, with the chunks joined."""
    head, _, body = data.partition(b"\r\n\r\n")
    if find_header(head, b"transfer-encoding") != b"chunked":
        return body
    joined = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        joined += rest[:length]
        body = rest[length + 2 :]
        if length == 0:
            break
    return joined


def make_platform_request(
    method: bytes, body: bytes, extra: bytes, key: bytes, streams: bool
) -> bytes:
    head = method + b" /p/x?q=1 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: id-1\r\n"
    head += b"X-Key: " + key + b"\r\nX-Deadline-Ms: 3000\r\n" + extra
    if body:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def make_platform_events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(first, last + 1))


def list_platform_items(data: bytes) -> list[int]:
    body = read_body(data if data.endswith(END_OF_CHUNKS) else data + END_OF_CHUNKS)
    lines = body.split(b"\n")
    items = [int(line.removeprefix(b"id: ")) for line in lines if line.startswith(b"id: ")]
    # Events are forwarded unchanged, and nothing else is.
    assert body == b"".join(make_platform_events(item, item) for item in items)
    return items


PLATFORM = Wire(
    name="platform",
    create_dialect=create_platform_dialect,
    adapt_manifest=lambda manifest: manifest,
    make_request=make_platform_request,
    refusal=(b"503 Service Unavailable", b"X-Not-Executed: 1\r\n", b""),
    make_events=make_platform_events,
    make_end=lambda last: b"",
    find_resumption=lambda request: int(find_header(request, b"last-event-id") or 0),
    list_items=list_platform_items,
    is_whole=lambda data: data.endswith(END_OF_CHUNKS),
)


def adapt_manifest(manifest: Manifest) -> Manifest:
    """Return the manifest with the paths and hashed keys of the own interface."""
    return replace(
        manifest,
        routes=tuple(
            adapt_route(route, prefix)
            for route in manifest.routes
            for prefix in (SERVICES_PREFIX, MODELS_PREFIX)
        ),
        workspaces=tuple(
            replace(item, keys=tuple(parse_key(f"Bearer {key}") for key in item.keys))
            for item in manifest.workspaces
        ),
    )


def adapt_route(route: Route, prefix: str) -> Route:
    return replace(route, host_name="", path_prefix=f"{prefix}{route.targets[0].service}/")


def make_own_request(method: bytes, body: bytes, extra: bytes, key: bytes, streams: bool) -> bytes:
    target = b"/services/svc/x?q=1"
    if streams:
        fields = {"model": "svc", "prompt": body.decode("latin-1"), "stream": True}
        method, target, body = b"POST", b"/v1/completions", json.dumps(fields).encode()
    head = method + b" " + target + b" HTTP/1.1\r\nHost: hosts.example\r\n"
    head += b"Authorization: Bearer " + key + b"\r\nX-Request-Timeout: 3\r\n" + extra
    if body:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def make_own_event(number: int) -> bytes:
    text = f"token-{number} "
    choices = [{"index": 0, "text": text, "finish_reason": None}]
    chunk = {"index": number - 1, "tokens": [text], "choices": choices}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def make_own_end(last: int) -> bytes:
    choices = [{"index": 0, "text": "", "finish_reason": "stop"}]
    chunk = {"index": last, "tokens": [], "choices": choices, "usage": {"prompt_tokens": 2}}
    return b"data: " + json.dumps(chunk).encode() + b"\n\ndata: [DONE]\n\n"


def find_own_resumption(request: bytes) -> int:
    return json.loads(request.partition(b"\r\n\r\n")[2]).get("resume_from", 0)


def list_own_items(data: bytes) -> list[int]:
    words = data.replace(b'"', b" ").split()
    return [int(word[6:]) for word in words if word.startswith(b"token-")]


NOT_RUN = b'{"error":{"type":"full","outcome":"not_run","message":"m","retry_after":null}}'
OWN = Wire(
    name="own",
    create_dialect=lambda: create_own_dialect(BYTES_PER_TOKEN),
    adapt_manifest=adapt_manifest,
    make_request=make_own_request,
    refusal=(b"503 Service Unavailable", b"Content-Type: application/json\r\n", NOT_RUN),
    make_events=lambda first, last: b"".join(map(make_own_event, range(first, last + 1))),
    make_end=make_own_end,
    find_resumption=find_own_resumption,
    list_items=list_own_items,
    is_whole=lambda data: b"data: [DONE]\n\n" in data and data.endswith(END_OF_CHUNKS),
)

over_both_dialects = pytest.mark.parametrize("wire", [PLATFORM, OWN], ids=lambda wire: wire.name)
