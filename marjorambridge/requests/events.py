"""Define the events of callers' requests and of attempts on endpoints."""

from enum import StrEnum

from msgspec import field

from marjorambridge.core.events import Event
from marjorambridge.core.identity import AttemptId


class RequestArrived(Event):
    """A caller's request was read completely and its syntax is valid.

    Attributes
    ----------
    request : str
        Identifier, unique on this host; the driver stores the body under it.
    wall : float
        Wall-clock time in seconds since the epoch, for the age of idempotency keys.
    key_hash : str
        Hexadecimal SHA-256 digest of the workspace key; empty if the caller sent none.
    service : str
        Service or model name.
    method, path : str
        HTTP method and the path below the service; for engines ``POST`` and the API path.
    stream : bool
        Whether the caller requested a stream.
    prompt_bytes : int
        Bytes of prompt text, for the estimate of tokens.
    output_tokens : int
        Maximum of output tokens that the caller set; 0 if none.
    timeout : float
        Timeout in seconds that the caller set; 0 if none.
    idempotency_key : str
        Caller's key; empty if none.
    fingerprint : str
        Digest of method, path and body, to distinguish a resend from another request with the key.
    repeatable : bool or None
        Whether the call may be repeated, as stated by the caller; None if not stated.
    prefix, prefix_tokens : tuple
        Chained block hashes of the prompt and the tokens that each covers.
    trace : str
        Value of the ``traceparent`` header, or the identifier; empty if it is not traced.
    """

    request: str
    wall: float
    key_hash: str
    service: str
    method: str
    path: str
    stream: bool = False
    prompt_bytes: int = 0
    output_tokens: int = 0
    timeout: float = 0.0
    idempotency_key: str = ""
    fingerprint: str = ""
    repeatable: bool | None = None
    prefix: tuple[bytes, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    trace: str = ""


class LoopDelayMeasured(Event):
    """The delay with which this process handles timers was measured.

    Attributes
    ----------
    seconds : float
        Delay beyond the timer's due time; the process is overloaded if it is large.
    """

    seconds: float


class CallerGone(Event):
    """The caller closed its connection before the final answer."""

    request: str


class AttemptStarted(Event):
    """The first byte of an attempt is about to be written to the endpoint."""

    attempt: AttemptId


class AttemptHeaders(Event):
    """The status and headers of an endpoint's answer arrived."""

    attempt: AttemptId
    status: int
    headers: tuple[tuple[str, str], ...] = ()


class AttemptChunk(Event):
    """A part of an endpoint's answer arrived.

    Attributes
    ----------
    index : int
        Index of the first token in the chunk for engines; byte offset for plain services.
    count : int
        Tokens in the chunk for engines; bytes for plain services.
    data : bytes
        Content: text of the tokens in UTF-8, or bytes of the body.
    token_ends : tuple of int
        Byte offset in `data` after each token, so that a chunk that overlaps what was already
        forwarded can be cut at a token; empty for plain services.
    """

    attempt: AttemptId
    index: int
    count: int
    data: bytes
    token_ends: tuple[int, ...] = ()


class AttemptEnd(StrEnum):
    """How an attempt ended, as observed by the driver."""

    COMPLETE = "complete"
    CUT = "cut"
    REFUSED = "refused"
    SERVER_ERROR = "server_error"
    CLIENT_ERROR = "client_error"
    NOT_SENT = "not_sent"
    TIMED_OUT = "timed_out"


class AttemptEnded(Event):
    """An attempt ended; no more of its answer will arrive.

    Attributes
    ----------
    end : AttemptEnd
        ``COMPLETE`` only if the end marker arrived; ``NOT_SENT`` only if no byte was written;
        ``REFUSED`` if the endpoint answered that it did not run the request.
    finish : str
        Finish reason of the engine, such as ``stop`` or ``length``.
    usage : dict
        Token counts that the engine reported.
    """

    attempt: AttemptId
    end: AttemptEnd
    message: str = ""
    finish: str = ""
    usage: dict[str, int] = field(default_factory=dict)


class Drained(Event):
    """All requests have ended during a shutdown; published once.

    Attributes
    ----------
    ended : int
        Requests that finished since the shutdown was requested.
    cut : int
        Requests that the drain deadline or a forced shutdown ended.
    """

    ended: int
    cut: int
