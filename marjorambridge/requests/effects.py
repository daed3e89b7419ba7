"""Define the effects of requests on callers and on endpoints."""

from marjorambridge.core.effects import Effect
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.outcomes import Outcome
from marjorambridge.limits.messages import EndpointGrant, PriorityClass


class StartAttempt(Effect):
    """Send a request to the endpoints of a permit.

    The driver checks `start_by` against the clock directly before the first byte and ends the
    attempt as ``NOT_SENT`` if it has passed.

    Attributes
    ----------
    request : str
        Request whose body the driver stores.
    endpoints : tuple of EndpointGrant
        The first gets the request; the others of a group hold parts of its KV memory.
    resume_from : int
        Tokens that the caller already has; the engine continues after them.
    start_by : float
        Monotonic time in seconds after which the first byte must not be written.
    timeout : float
        Seconds until the request's deadline.
    trace : str
        Trace of the request; empty if it is not traced.
    """

    attempt: AttemptId
    request: str
    endpoints: tuple[EndpointGrant, ...]
    priority: PriorityClass
    resume_from: int
    start_by: float
    timeout: float
    trace: str = ""


class CancelAttempt(Effect):
    """Stop an attempt: close its connection and make the endpoints free its memory."""

    attempt: AttemptId


class ForwardHeaders(Effect):
    """Send the status and headers of the answer to the caller."""

    request: str
    status: int
    headers: tuple[tuple[str, str], ...] = ()


class ForwardChunk(Effect):
    """Send a part of the answer; `index` counts tokens, or bytes for plain services."""

    request: str
    index: int
    count: int
    data: bytes


class FinishRequest(Effect):
    """Send the caller the final outcome and delete the request's body."""

    request: str
    outcome: Outcome
    finish: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
