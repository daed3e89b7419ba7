"""Store the requests in progress, their bodies and the effects not yet written to callers."""

import asyncio
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.core.effects import Effect
from marjorambridge.requests.effects import FinishRequest, ForwardChunk, ForwardHeaders

# The endpoint driver stops reading while a caller's buffer is above the high-water mark. Chunks
# already posted may exceed it; a caller whose buffer exceeds the maximum is disconnected.
BUFFER_HIGH_WATER_BYTES = 256 * 1024
BUFFER_MAX_BYTES = 8 * 1024 * 1024


class StoredRequest(Struct):
    """A request from its arrival until `FinishRequest`.

    Attributes
    ----------
    is_engine : bool
        Whether the body is for a model engine; plain services receive it unchanged.
    method, path : str
        Method and target for the endpoint.
    headers : tuple
        Headers for the endpoint, lower-case names, without hop-by-hop headers and credentials.
    body : bytes
        Body as the caller sent it.
    pending : deque of Effect
        Effects not yet written to the caller.
    buffered_bytes : int
        Bytes of the chunks in `pending`.
    waiting : asyncio.Event
        Set when `pending` is not empty or the caller has disconnected.
    writable : asyncio.Event
        Cleared while the buffer is above the high-water mark; the endpoint driver waits for it.
    disconnected : bool
        Whether the caller's connection is closed; its effects are dropped.
    overflowed : bool
        Whether the caller was disconnected because its buffer was full.
    abort : callable
        Resets the caller's connection; a write that waits for the caller then returns.
    count_unsent_bytes : callable
        Returns the written bytes that the caller has not acknowledged.
    """

    request: str
    is_engine: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool = False
    include_usage: bool = False
    model: str = ""
    pending: deque[Effect] = field(default_factory=deque)
    buffered_bytes: int = 0
    waiting: asyncio.Event = field(default_factory=asyncio.Event)
    writable: asyncio.Event = field(default_factory=asyncio.Event)
    disconnected: bool = False
    overflowed: bool = False
    abort: Callable[[], None] = lambda: None
    count_unsent_bytes: Callable[[], int] = lambda: 0

    def __post_init__(self) -> None:
        self.writable.set()


class RequestRegistry(Struct):
    """The requests in progress on this host, by request identifier."""

    requests: dict[str, StoredRequest] = field(default_factory=dict)
    body_bytes: int = 0
    high_water_bytes: int = BUFFER_HIGH_WATER_BYTES
    buffer_max_bytes: int = BUFFER_MAX_BYTES


def add_request(registry: RequestRegistry, stored: StoredRequest) -> None:
    """Store a request until its `FinishRequest` is delivered."""
    registry.requests[stored.request] = stored
    registry.body_bytes += len(stored.body)


def deliver_effect(registry: RequestRegistry, effect: Effect) -> None:
    """Queue `ForwardHeaders`, `ForwardChunk` or `FinishRequest` for the caller's connection.

    Effects for unknown requests are dropped. The call does not wait and must be made in the event
    loop of the server.
    """
    assert isinstance(effect, ForwardHeaders | ForwardChunk | FinishRequest)
    stored = registry.requests.get(effect.request)
    if stored is None:
        return
    if isinstance(effect, FinishRequest):
        del registry.requests[effect.request]
        registry.body_bytes -= len(stored.body)
        stored.body = b""
        stored.writable.set()
    if stored.disconnected or stored.overflowed:
        return
    if isinstance(effect, ForwardChunk):
        stored.buffered_bytes += len(effect.data)
        if stored.buffered_bytes > registry.buffer_max_bytes:
            stored.overflowed = True
            stored.pending.clear()
            stored.writable.set()
            stored.abort()
        elif stored.buffered_bytes > registry.high_water_bytes:
            stored.writable.clear()
    if not stored.overflowed:
        stored.pending.append(effect)
    stored.waiting.set()


def mark_written(registry: RequestRegistry, stored: StoredRequest, count: int) -> None:
    """Subtract `count` bytes that were written to the caller from its buffer."""
    stored.buffered_bytes -= count
    if stored.buffered_bytes <= registry.high_water_bytes:
        stored.writable.set()


def mark_disconnected(stored: StoredRequest) -> None:
    """Drop the pending effects of a caller whose connection is closed."""
    stored.disconnected = True
    stored.pending.clear()
    stored.writable.set()
    stored.waiting.set()
