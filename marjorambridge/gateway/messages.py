"""Model requests and answers independently of the header names of a platform."""

import math
from collections.abc import Awaitable, Callable
from enum import Enum, auto

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.outcomes import Unsuccessful
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway.work import WorkBudget

SUCCESS_STATUSES = range(200, 300)
# Answers up to this size may use all memory for answers, and this part of what is reserved is for
# them alone.
SMALL_ANSWER_BYTES = 65_536
SMALL_ANSWER_RATIO = 0.25
# Headers that apply to one connection only, or that the HTTP parser writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

Headers = list[tuple[bytes, bytes]]


class PromptSize(Struct):
    """Describe the size of a prompt and of its answer.

    Attributes
    ----------
    prompt_tokens, max_answer_tokens : int
        Length of the prompt, and maximum length of the answer.
    expected_answer_tokens : int
        The caller's estimate of the length of the answer; 0 if there is none.
    """

    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int = 0


class CallerRequest(Struct):
    """Describe a request of a caller.

    Attributes
    ----------
    target : bytes
        Path and query as received.
    headers : list of (bytes, bytes)
        Headers that are forwarded to the endpoint unchanged.
    request_id : str
        Identifier that the caller chose for this attempt; a retry of the caller has another one.
    wait_seconds : float or None
        Time for which the caller waits after the arrival; None if it is not specified.
    last_event : int or None
        Number of the last event of this stream that the caller has received.
    prompt_parts : tuple of int
        Identifiers of the parts of the prompt, in order, of up to 63 bits. Requests share parts,
        except the last one, which belongs to the request or to its session.
    repeatable : bool or None
        Whether the caller allows that the request runs more than once; None to leave it to the
        route. Streams are repeated as their route allows.
    collects_events : bool
        Whether the caller gets the events of a stream as one answer.
    is_conditional : bool
        Whether the request names what the endpoint must have; others answer it as misdirected.
    form : object
        What the dialect needs to write the answer; only the dialect reads it.
    """

    method: bytes
    target: bytes
    path: str
    host_name: str
    headers: Headers
    body: bytes
    request_id: str
    key: str = ""
    wait_seconds: float | None = None
    prompt: PromptSize | None = None
    last_event: int | None = None
    prompt_parts: tuple[int, ...] = ()
    repeatable: bool | None = None
    collects_events: bool = False
    is_conditional: bool = False
    form: object = None


class AttemptOptions(Struct):
    """Describe what the gateway sends to an endpoint in addition to the caller's headers.

    Attributes
    ----------
    endpoint : str
        Identifier of the only endpoint that may run the request.
    address : str
        ``ip:port`` of the endpoint.
    born : int
        Start of the only incarnation that may run the request, in Unix milliseconds.
    attempt : str
        Identifier of the attempt, unique among all hosts and restarts.
    kv_tokens : int
        Memory of the engine in tokens that the request is expected to need; 0 if unknown.
    remaining_seconds : float
        Time until the deadline of the request.
    last_event : int or None
        Number of the event after which the stream is resumed; None to keep the caller's header.
    helpers : tuple of str
        Addresses of the helper engines, each of which computes a prefill shard of the prompt.
    urgency : int or None
        Rank in the order in which the endpoint admits requests, 0 is first; None to name none.
    """

    endpoint: str
    remaining_seconds: float
    address: str = ""
    born: int = 0
    attempt: str = ""
    kv_tokens: int = 0
    workspace: str = ""
    last_event: int | None = None
    helpers: tuple[str, ...] = ()
    urgency: int | None = None


class AttemptMessage(Struct):
    """The request that is sent to an endpoint; its method is that of the caller."""

    target: bytes
    headers: Headers
    body: bytes


class StreamEvent(Struct):
    """Describe one event of a stream.

    Attributes
    ----------
    data : bytes
        What the caller gets for it.
    first : int or None
        Number of its first item, for example of a token; None if it has no items.
    last : int
        Number of its last item, if it has any.
    is_end : bool
        Whether the stream is complete with this event.
    """

    data: bytes
    first: int | None = None
    last: int = 0
    is_end: bool = False


class AnswerHead(Struct):
    """Describe the head of an endpoint's answer.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        Headers that are forwarded to the caller unchanged.
    request_id : str
        Identifier of the request that is answered.
    is_signed : bool
        Whether the answer carries the endpoint's MAC, or comes in a dialect without MACs.
    not_run : bool
        Whether the head states that the endpoint did not run the request.
    misdirected : bool
        Whether the answer comes from another endpoint than the requested one.
    is_event_stream : bool
        Whether the body is a stream of server-sent events.
    has_unknown_end : bool
        Whether a cut of the body can't be told from its end, and counts as one.
    leaving : bool
        Whether the head states that the endpoint is leaving.
    is_unavailable : bool
        Whether the status is the one with which an endpoint rejects a request.
    retry_after, date : str
        Values of the ``Retry-After`` and ``Date`` headers.
    request_limit : str
        Requests per second that the endpoint takes from all hosts; empty if the head names none.
    endpoint_at_fault : str
        Name or address of the endpoint that prevented the request from running, which may be a
        helper; empty if the head names none.
    """

    status: int
    headers: Headers = field(default_factory=list)
    request_id: str = ""
    is_signed: bool = False
    not_run: bool = False
    misdirected: bool = False
    is_event_stream: bool = False
    has_unknown_end: bool = False
    leaving: bool = False
    is_unavailable: bool = False
    retry_after: str = ""
    date: str = ""
    request_limit: str = ""
    endpoint_at_fault: str = ""


class AnswerMemory(Struct):
    """Bound the memory of all answers that a host buffers.

    Attributes
    ----------
    free_bytes : int
        Bytes that are not allocated.
    reserved_bytes : int
        Free bytes that only small answers, and long ones that have begun, may use.
    held : dict of str to int
        Allocated bytes by workspace, those without one under an empty name.
    """

    free_bytes: int
    reserved_bytes: int
    held: dict[str, int] = field(default_factory=dict)


def holds_too_much(memory: AnswerMemory, workspace: str) -> bool:
    """Return whether a workspace holds so many bytes of answers that it may start no request.

    Examples
    --------
    >>> memory = AnswerMemory(100, 0)
    >>> allocation = MemoryAllocation(memory, workspace="research")
    >>> allocation.allocate(51)
    True
    >>> holds_too_much(memory, "research"), holds_too_much(memory, "support")
    (True, False)
    >>> allocation.release(kept_bytes=10)
    >>> holds_too_much(memory, "research"), memory.held, memory.free_bytes
    (False, {'research': 10}, 90)
    """
    size = memory.free_bytes + sum(memory.held.values())
    return memory.held.get(workspace, 0) > size * defaults.WORKSPACE_MEMORY_RATIO


class MemoryAllocation(Struct):
    """Track the memory that is allocated for the answer to one request.

    Attributes
    ----------
    size : int
        Allocated bytes.
    workspace : str
        Workspace of the caller; empty if it has none.
    """

    memory: AnswerMemory
    size: int = 0
    workspace: str = ""

    def allocate(self, size: int) -> bool:
        """Allocate more memory and return whether there was enough."""
        reserved = self.memory.reserved_bytes
        if self.size + size <= SMALL_ANSWER_BYTES:
            reserved = 0
        elif self.size > SMALL_ANSWER_BYTES:
            reserved = int(reserved * SMALL_ANSWER_RATIO)
        if size > self.memory.free_bytes - reserved:
            return False
        self.memory.free_bytes -= size
        self._count(size)
        return True

    def release(self, kept_bytes: int = 0) -> None:
        """Free all allocated memory except for some bytes."""
        self.memory.free_bytes += self.size - kept_bytes
        self._count(kept_bytes - self.size)

    def _count(self, added: int) -> None:
        held = self.memory.held
        self.size += added
        held[self.workspace] = held.get(self.workspace, 0) + added
        if not held[self.workspace]:
            del held[self.workspace]


class Forwarded(Enum):
    """What a piece of an event stream led to."""

    NO_EVENT = auto()
    EVENTS = auto()
    CALLER_GONE = auto()
    OVERTAKEN = auto()


class Attempt(Struct):
    """Describe one attempt of a request.

    Attributes
    ----------
    address : str
        ``ip:port`` of the endpoint.
    allocation : MemoryAllocation
        Memory for a buffered answer; whoever runs the attempt releases it.
    handle_head : callable
        Called with the head of the answer as soon as it is received.
    work : WorkBudget
        Processor time for answers, which all attempts of a host share.
    send_event_bytes : callable or None
        Takes the head and a piece of an event stream, and sends the events that are complete with
        it to the caller; None if answers are buffered.
    deadline : float
        Monotonic time in seconds at which an answer that is not complete counts as stalled.
    handle_connected : callable
        Called when a connection to the endpoint was opened.
    handle_interim : callable
        Takes the headers of an interim answer, and returns whether it is a new report of another
        host.
    replies : list of bytes
        What is sent next on the connection, after the request; only other hosts get any.
    """

    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str
    allocation: MemoryAllocation
    handle_head: Callable[[AnswerHead], None]
    work: WorkBudget = field(default_factory=WorkBudget)
    send_event_bytes: Callable[[AnswerHead, bytes], Awaitable[Forwarded]] | None = None
    deadline: float = math.inf
    handle_connected: Callable[[], None] = lambda: None
    handle_interim: Callable[[Headers], bool] = lambda headers: False
    replies: list[bytes] = field(default_factory=list)


class AttemptResult(Struct):
    """Describe the result of an attempt.

    Attributes
    ----------
    head : AnswerHead or None
        None if no answer was received.
    body : bytes
        Body of a buffered answer.
    detail : str
        Cause of a failure, for the log.
    endpoints_tried : int
        Endpoints that received the request, at most; only another host sends it to several ones.
    has_ended : bool
        Whether the connection ended or was reset while an answer was expected, after no bytes or
        valid ones.
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    detail: str = ""
    endpoints_tried: int = 1
    has_ended: bool = False


def keep_head(head: AnswerHead, body: bytes) -> None:
    """Leave a head as it is, in a dialect whose heads determine the outcome."""


def encode_joined(request: CallerRequest, events: bytes) -> tuple[Headers, bytes]:
    """Return the events as they are."""
    return [], events


def confirm_nothing(endpoint: str, born: int, body: bytes) -> bool:
    """Return that no cancellation was confirmed, in a dialect that orders none."""
    return False


def encode_no_cut(request: CallerRequest, outcome: Unsuccessful) -> bytes:
    """Return no bytes, in a dialect that resets the connection of a cut stream."""
    return b""


def encode_no_cancel(request: CallerRequest, attempt: str) -> None:
    """Return no order, in a dialect whose endpoints notice the end of a connection."""


class HelperDialect(Struct):
    """Translate what concerns prompts that several engines read.

    Attributes
    ----------
    encode_helper : callable
        Takes the address of a helper engine, and its ticket or an empty string.
    encode_reservation : callable
        Takes ticket, tokens and lease in seconds; returns target and body of the order.
    encode_release : callable
        Takes a ticket; returns target and body of the order.
    """

    encode_helper: Callable[[str, str], str]
    encode_reservation: Callable[[str, int, float], tuple[bytes, bytes]]
    encode_release: Callable[[str], tuple[bytes, bytes]]


class Dialect(Struct):
    """Translate between HTTP messages and the messages of this module.

    Attributes
    ----------
    decode_request : callable
        Takes method, target, headers and body; raises `BadRequestError`.
    encode_attempt : callable
        Returns what is sent to an endpoint.
    decode_answer : callable
        Takes status and headers.
    encode_error : callable
        Takes an outcome that is no success; returns headers and body of the answer.
    encode_order_headers : callable
        Takes the identifier of the only endpoint that may execute the order.
    helpers : HelperDialect or None
        None if each prompt is read by one engine.
    read_event : callable or None
        Takes the bytes of an event; raises `EventOrderError` if it is invalid and
        `FailedStreamError` if it reports a failure. None to forward events unchanged by their
        ``id``.
    has_end_event : bool
        Whether streams end with an event, without which they count as cut.
    decode_failure : callable
        Completes the head of an answer that is no success from its body.
    forwards_server_errors : bool
        Whether callers get the answers of endpoints with status 500 or above.
    not_run_statuses : frozenset of int
        Statuses that tell a caller that its request has not run, whoever sends them; empty if only
        the body says so.
    encode_collected : callable
        Takes the joined events of a request that collects them; returns headers and body.
    encode_cut : callable
        Returns the bytes that end a stream that was cut; none to reset the connection.
    encode_cancel : callable
        Takes a request and the identifier of its attempt; returns target and body of the order to
        cancel it, or None if the endpoint notices the end of the connection.
    is_cancelled : callable
        Takes the name and the incarnation of an endpoint and the body of its answer to the order;
        returns whether it confirms that the attempt has ended.
    may_relay : bool
        Whether answers to callers can be read like those of endpoints, so that a request can be
        passed on to another host.
    """

    decode_request: Callable[[bytes, bytes, Headers, bytes], CallerRequest]
    encode_attempt: Callable[[CallerRequest, AttemptOptions], AttemptMessage]
    decode_answer: Callable[[int, Headers], AnswerHead]
    encode_error: Callable[[Unsuccessful], tuple[Headers, bytes]]
    encode_order_headers: Callable[[str], Headers]
    helpers: HelperDialect | None = None
    read_event: Callable[[CallerRequest, bytes], StreamEvent] | None = None
    has_end_event: bool = False
    decode_failure: Callable[[AnswerHead, bytes], None] = keep_head
    forwards_server_errors: bool = True
    not_run_statuses: frozenset[int] = frozenset()
    encode_collected: Callable[[CallerRequest, bytes], tuple[Headers, bytes]] = encode_joined
    encode_cut: Callable[[CallerRequest, Unsuccessful], bytes] = encode_no_cut
    encode_cancel: Callable[[CallerRequest, str], tuple[bytes, bytes] | None] = encode_no_cancel
    is_cancelled: Callable[[str, int, bytes], bool] = confirm_nothing
    may_relay: bool = False
