"""Model requests and answers apart from the header names of a platform."""

from collections.abc import Awaitable, Callable

from msgspec import Struct, field

from marjorambridge.forwarding.attempts import AttemptOutcome

SUCCESS_STATUSES = range(200, 300)

Headers = list[tuple[bytes, bytes]]


class PromptSize(Struct):
    """Hold the size of a prompt.

    Attributes
    ----------
    prompt_tokens, max_answer_tokens : int
        Length of the prompt, and greatest length of the answer.
    expected_answer_tokens : int
        The caller's estimate of the answer's length; 0 if it gives none.
    """

    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int = 0


class CallerRequest(Struct):
    """Hold a caller's request.

    Attributes
    ----------
    target : bytes
        Path and query as they were sent.
    headers : list of (bytes, bytes)
        Headers that go to the endpoint as they are.
    request_id : str
        Identifier that the caller gave this attempt of its own.
    wait_seconds : float or None
        Time for which the caller waits, from the arrival; None if it does not say.
    last_event : int or None
        Number of the last event that the caller has of this stream.
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


class AttemptOptions(Struct):
    """Hold what the gateway tells an endpoint besides the caller's own headers.

    Attributes
    ----------
    endpoint : str
        Identifier of the endpoint that alone may run the request.
    remaining_seconds : float
        Time after which nobody waits for the answer any longer.
    last_event : int or None
        Number of the event after which the stream goes on; None to leave the caller's own.
    helpers : tuple of str
        Addresses of the engines that read parts of the prompt.
    """

    endpoint: str
    remaining_seconds: float
    workspace: str = ""
    last_event: int | None = None
    helpers: tuple[str, ...] = ()


class AnswerHead(Struct):
    """Hold the head of an endpoint's answer.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        Headers that go to the caller as they are.
    request_id : str
        Identifier of the request that is answered.
    is_signed : bool
        Whether the answer carries the endpoint's MAC.
    not_run : bool
        Whether the endpoint says that it did not run the request.
    misdirected : bool
        Whether another endpoint than the wanted one answered.
    is_event_stream : bool
        Whether the body is a series of events.
    leaving : bool
        Whether the endpoint says that it leaves.
    declines : bool
        Whether the status is one of those with which an endpoint turns a request away.
    retry_after, date : str
        When it wants requests again, and the time of the answer, as HTTP writes them.
    endpoint_at_fault : str
        Name or address of the endpoint because of which the request could not run, which may be
        one that was to help; empty if the answer names none.
    """

    status: int
    headers: Headers = field(default_factory=list)
    request_id: str = ""
    is_signed: bool = False
    not_run: bool = False
    misdirected: bool = False
    is_event_stream: bool = False
    leaving: bool = False
    is_unavailable: bool = False
    retry_after: str = ""
    date: str = ""
    endpoint_at_fault: str = ""


class AnswerMemory(Struct):
    """Bound the memory of all answers that a host collects whole.

    Attributes
    ----------
    free_bytes : int
        Bytes that answers may still take.
    reserved_bytes : int
        Bytes of these that are kept for answers that have begun.
    """

    free_bytes: int
    reserved_bytes: int


class MemoryAllocation(Struct):
    """Hold the memory that the answer to one request has taken.

    Attributes
    ----------
    size : int
        Bytes that were taken.
    """

    memory: AnswerMemory
    size: int = 0

    def allocate(self, size: int) -> bool:
        """Take memory and return whether there was enough."""
        reserved = 0 if self.size else self.memory.reserved_bytes
        if size > self.memory.free_bytes - reserved:
            return False
        self.memory.free_bytes -= size
        self.size += size
        return True

    def release(self) -> None:
        """Give back all that was taken."""
        self.memory.free_bytes += self.size
        self.size = 0


class Attempt(Struct):
    """Describe one attempt.

    Attributes
    ----------
    address : str
        ``ip:port`` of the endpoint.
    get_stall_deadline : callable
        Returns the monotonic time in seconds at which the attempt counts as stalled, unless a part
        of the answer comes before.
    lease : MemoryAllocation
        Memory for an answer that is collected whole; the caller of the attempt releases it.
    handle_head : callable
        Takes the head of the answer as soon as it is there.
    send_event_bytes : callable or None
        Takes the head and each piece of an event stream, and returns whether the caller is still
        there; None if answers are collected whole.
    """

    address: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str
    get_stall_deadline: Callable[[], float]
    allocation: MemoryAllocation
    handle_head: Callable[[AnswerHead], None]
    send_event_bytes: Callable[[AnswerHead, bytes], Awaitable[bool]] | None = None


class AttemptResult(Struct):
    """Hold what came of an attempt.

    Attributes
    ----------
    head : AnswerHead or None
        None if no answer came.
    body : bytes
        Body of an answer that was collected whole.
    detail : str
        What went wrong, for the log.
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b""
    detail: str = ""


class Dialect(Struct):
    """Translate between HTTP headers and the messages of this module.

    Attributes
    ----------
    decode_request : callable
        Takes method, target, headers and body; raises `BadRequestError`.
    encode_attempt : callable
        Returns the headers of an attempt.
    decode_answer : callable
        Takes status and headers.
    encode_retry_after : callable
        Returns the headers that tell the caller when to come back, in seconds.
    encode_helper : callable
        Takes the address of an engine that helps to read, and its ticket or an empty string.
    encode_reservation : callable
        Takes ticket, tokens and lease in seconds; returns target and body of the order.
    encode_release : callable
        Takes a ticket; returns target and body of the order.
    encode_order_headers : callable
        Takes the identifier of the endpoint that alone may carry the order out.
    """

    decode_request: Callable[[bytes, bytes, Headers, bytes], CallerRequest]
    encode_attempt: Callable[[CallerRequest, AttemptOptions], Headers]
    decode_answer: Callable[[int, Headers], AnswerHead]
    encode_retry_after: Callable[[float], Headers]
    encode_helper: Callable[[str, str], str]
    encode_reservation: Callable[[str, int, float], tuple[bytes, bytes]]
    encode_release: Callable[[str], tuple[bytes, bytes]]
    encode_order_headers: Callable[[str], Headers]
