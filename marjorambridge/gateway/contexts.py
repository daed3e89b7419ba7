"""Hold the state of a request while it is being handled."""

import math

from msgspec import Struct, field

from marjorambridge.forwarding.admission import Admission
from marjorambridge.forwarding.attempts import RequestProgress
from marjorambridge.forwarding.costs import compute_prefill_seconds, estimate_kv_tokens
from marjorambridge.forwarding.placement import RequestProfile
from marjorambridge.forwarding.state import Endpoint, find_definition
from marjorambridge.gateway.callers import Exchange
from marjorambridge.gateway.crashes import find_causes
from marjorambridge.gateway.events import StreamCursor
from marjorambridge.gateway.messages import CallerRequest, MemoryAllocation
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.tickets import TicketSet

# Part of the deadline that is left for the transfer of the answer to the caller.
ANSWER_MARGIN_SECONDS = 0.02


class RequestContext(Struct):
    """Store the state of a request that is being handled.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds by which the answer must be complete.
    tickets : TicketSet
        Memory of engines that is reserved for the next attempt.
    allocation : MemoryAllocation
        Memory of this host that the answer uses.
    causes : tuple of int
        What may crash engines, the whole request first; see `marjorambridge.forwarding.causes`.
    attempt_kv_tokens : int
        Memory in tokens that the requests of all hosts needed at the endpoint when the last attempt
        began.
    first_event_at, last_event_at : float
        Monotonic times in seconds; 0 before the first event.
    longest_gap : float
        Longest time in seconds between two events.
    stall_check_at : float
        Monotonic time in seconds until which a silent stream is kept without another check.
    collected : list of bytes
        Events of a request that gets them as one answer.
    helper_count : int
        Number of helper engines of the last attempt.
    helpers : list of Endpoint
        Helper engines of the next attempt.
    replaced : Endpoint or None
        Endpoint at whose address another one seems to have answered this request.
    prefilling : list of Endpoint
        Endpoints that prefill the prompt; empty after the first event of an attempt.
    """

    gateway: Gateway
    exchange: Exchange
    request: CallerRequest
    admission: Admission
    profile: RequestProfile
    deadline: float
    tickets: TicketSet
    allocation: MemoryAllocation
    causes: tuple[int, ...]
    progress: RequestProgress = field(default_factory=RequestProgress)
    cursor: StreamCursor = field(default_factory=StreamCursor)
    attempt_started_at: float = 0.0
    attempt_kv_tokens: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    stall_check_at: float = 0.0
    collected: list[bytes] = field(default_factory=list)
    helper_count: int = 0
    prefilling: list[Endpoint] = field(default_factory=list)
    helpers: list[Endpoint] = field(default_factory=list)
    replaced: Endpoint | None = None
    excluded: set[str] = field(default_factory=set)
    attempt_outcomes: list[str] = field(default_factory=list)


def create_context(
    gateway: Gateway, exchange: Exchange, request: CallerRequest, admission: Admission
) -> RequestContext:
    """Return the state of a request that was admitted."""
    route = admission.route
    seconds = route.timeout_seconds
    if request.wait_seconds is not None:
        seconds = min(seconds, request.wait_seconds)
    definition = find_definition(gateway.forwarding, admission.service)
    profile = RequestProfile(
        admission.service,
        objective_seconds=route.objective_seconds or math.inf,
        pause_seconds=route.gap_objective_seconds or math.inf,
    )
    engine = definition.engine if definition is not None else None
    if engine is not None and request.prompt is not None:
        prompt = request.prompt
        answer = prompt.expected_answer_tokens or prompt.max_answer_tokens
        profile.prefill_seconds = compute_prefill_seconds(engine, prompt.prompt_tokens)
        profile.kv_tokens = estimate_kv_tokens(engine, prompt.prompt_tokens, answer)
    # A host that is stopping ends before some answers are complete; they get a final answer then.
    deadline = min(exchange.arrived_at + seconds, gateway.ends_at) - ANSWER_MARGIN_SECONDS
    tickets = TicketSet(gateway, request.request_id)
    allocation = MemoryAllocation(gateway.memory)
    workspace = admission.workspace.name if admission.workspace else ""
    causes = find_causes(request, workspace)
    context = RequestContext(
        gateway, exchange, request, admission, profile, deadline, tickets, allocation, causes
    )
    context.cursor.last_event = request.last_event
    return context


def has_events(context: RequestContext) -> bool:
    """Return whether events of a stream were accepted, so that another attempt continues it."""
    return context.exchange.has_head or bool(context.collected)


def count_collected_bytes(context: RequestContext) -> int:
    """Return the size of the collected events."""
    return sum(map(len, context.collected))
