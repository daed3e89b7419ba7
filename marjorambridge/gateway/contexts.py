"""Hold the state of a request while it is being handled."""

import math

import anyio
from msgspec import Struct, field

from marjorambridge.forwarding.admission import Admission
from marjorambridge.forwarding.attempts import RequestProgress
from marjorambridge.forwarding.costs import (
    compute_prefill_seconds,
    estimate_kv_tokens,
    estimate_write_seconds,
)
from marjorambridge.forwarding.placement import RequestProfile
from marjorambridge.forwarding.state import Endpoint, ForwardingState, Work, find_definition
from marjorambridge.gateway.crashes import find_causes
from marjorambridge.gateway.events import StreamCursor
from marjorambridge.gateway.exchanges import Exchange
from marjorambridge.gateway.messages import CallerRequest, MemoryAllocation
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.tickets import TicketSet
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.scheduling.estimates import (
    RouteKey,
    estimate_answer_tokens,
    estimate_work_seconds,
)
from marjorambridge.scheduling.urgency import compute_urgency

# Part of the deadline that is left for the transfer of the answer to the caller.
ANSWER_MARGIN_SECONDS = 0.02


class AttemptCosts(Struct):
    """Store what is needed to observe the costs of an attempt at a planned service.

    Attributes
    ----------
    work : Work or None
        Its expected work, which is part of the load of the endpoint.
    endpoint_requests : int
        Requests of all hosts at the endpoint when the attempt began, this one included.
    events : int
        Events received before the last piece of the stream.
    events_at : float
        Monotonic time in seconds of the last events; 0 before the first one.
    """

    work: Work | None = None
    endpoint_requests: int = 1
    events: int = 0
    events_at: float = 0.0


class RunningAttempt(Struct, eq=False):
    """Store the state of one attempt; a stream may have two of them at the same time.

    Attributes
    ----------
    tickets : TicketSet
        Memory of engines that is reserved for the attempt.
    allocation : MemoryAllocation
        Memory of this host for an answer that is buffered.
    helpers : list of Endpoint
        Helper engines.
    cursor : StreamCursor
        Position in the event stream of the attempt.
    started_at : float
        Monotonic time in seconds.
    waits_since : float
        Monotonic time in seconds since which the next event is awaited; infinite before the start,
        and while events are being sent to the caller.
    kv_tokens : int
        Memory in tokens that the requests of all hosts needed at the endpoint when the attempt
        began.
    is_connected : bool
        Whether a connection was opened, so that the endpoint may have received the request.
    has_begun : bool
        Whether the first event has arrived.
    has_stalled : bool
        Whether it was silent for so long that another attempt was started beside it.
    prefilling : list of Endpoint
        Endpoints that prefill the prompt; empty after the first event.
    max_endpoints : int
        Endpoints that may receive the request by this attempt; several ones only if another host
        forwards it.
    endpoints_reported : int
        Endpoints that another host reported for this attempt; 0 without a report.
    costs : AttemptCosts
        What the costs of the attempt are learned from.
    scope : anyio.CancelScope
        Cancels the attempt.
    """

    endpoint: Endpoint
    tickets: TicketSet
    allocation: MemoryAllocation
    helpers: list[Endpoint] = field(default_factory=list)
    cursor: StreamCursor = field(default_factory=StreamCursor)
    started_at: float = 0.0
    waits_since: float = math.inf
    kv_tokens: int = 0
    is_connected: bool = False
    has_begun: bool = False
    has_stalled: bool = False
    prefilling: list[Endpoint] = field(default_factory=list)
    max_endpoints: int = 1
    endpoints_reported: int = 0
    costs: AttemptCosts = field(default_factory=AttemptCosts)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class StartReports(Struct):
    """Store what this host reported of a request that another host passed on.

    Attributes
    ----------
    sent : int
        Number of endpoints that was reported last.
    lock : anyio.Lock
        Held while the answer is written, which events and reports are part of.
    """

    sent: int = 0
    lock: anyio.Lock = field(default_factory=anyio.Lock)


class RequestContext(Struct):
    """Store the state of a request that is being handled.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds by which the answer must be complete.
    allocation : MemoryAllocation
        Memory of this host for collected events.
    causes : tuple of int
        What may crash engines, the whole request first; see `marjorambridge.forwarding.causes`.
    last_event : int or None
        Number of the last event that was accepted for the caller.
    attempts : list of RunningAttempt
        All attempts; what they hold is released when the request ends, if not before.
    running : list of RunningAttempt
        Attempts that have not ended.
    selection : anyio.CancelScope
        Cancels the selection of another attempt beside a silent one.
    first_event_at, last_event_at : float
        Monotonic times in seconds; 0 before the first event.
    longest_gap : float
        Longest time in seconds between two events.
    collected : list of bytes
        Events of a request that gets them as one answer.
    helper_count : int
        Number of helper engines of the last attempt.
    retry_after_seconds : float or None
        Time to come back that the last host named that refused the request; None if none did.
    recorded_send : str
        Endpoint for which the send of the next attempt is recorded already; empty if for none.
    replaced : Endpoint or None
        Endpoint at whose address another one seems to have answered this request.
    reports : StartReports or None
        Reports to the host that passed the request on; None if it reads none.
    """

    gateway: Gateway
    exchange: Exchange
    request: CallerRequest
    admission: Admission
    profile: RequestProfile
    deadline: float
    allocation: MemoryAllocation
    causes: tuple[int, ...]
    last_event: int | None = None
    progress: RequestProgress = field(default_factory=RequestProgress)
    attempts: list[RunningAttempt] = field(default_factory=list)
    running: list[RunningAttempt] = field(default_factory=list)
    selection: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    collected: list[bytes] = field(default_factory=list)
    helper_count: int = 0
    retry_after_seconds: float | None = None
    recorded_send: str = ""
    replaced: Endpoint | None = None
    excluded: set[str] = field(default_factory=set)
    attempt_outcomes: list[str] = field(default_factory=list)
    reports: StartReports | None = None


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
        is_planned=admission.service in gateway.forwarding.planned,
        urgency=compute_urgency(route, admission.workspace),
        workspace=admission.workspace.name if admission.workspace else "",
    )
    engine = definition.engine if definition is not None else None
    if engine is not None and request.prompt is not None:
        prompt = request.prompt
        answer = prompt.expected_answer_tokens or prompt.max_answer_tokens
        profile.prefill_seconds = compute_prefill_seconds(engine, prompt.prompt_tokens)
        profile.kv_tokens = estimate_kv_tokens(engine, prompt.prompt_tokens, answer)
    if profile.is_planned:
        profile.work_seconds = _estimate_work(
            gateway.forwarding, get_route_key(admission), profile, engine, request, exchange
        )
    # A host that is stopping ends before some answers are complete; they get a final answer then.
    deadline = min(exchange.arrived_at + seconds, gateway.ends_at) - ANSWER_MARGIN_SECONDS
    allocation = MemoryAllocation(gateway.memory, workspace=profile.workspace)
    causes = find_causes(request, profile.workspace)
    relay = exchange.relay
    return RequestContext(
        gateway,
        exchange,
        request,
        admission,
        profile,
        deadline,
        allocation,
        causes,
        request.last_event,
        reports=StartReports() if relay is not None and relay.reports else None,
    )


def get_route_key(admission: Admission) -> RouteKey:
    """Return the key under which the costs of a request are learned."""
    return RouteKey(admission.service, admission.route.name)


def get_answer_hint(request: CallerRequest) -> int:
    """Return the length of the answer in tokens that the caller names; 0 if it names none."""
    prompt = request.prompt
    if prompt is None:
        return 0
    return prompt.expected_answer_tokens or prompt.max_answer_tokens


def _estimate_work(
    forwarding: ForwardingState,
    route: RouteKey,
    profile: RequestProfile,
    engine: EngineProfile | None,
    request: CallerRequest,
    exchange: Exchange,
) -> float:
    """Return the expected work of a request in seconds; for an engine, the writing of the answer.

    A hint that no engine can hold is no estimate of the length, so that it isn't scaled.
    """
    now = exchange.arrived_at
    if engine is None:
        return estimate_work_seconds(forwarding.costs, route, now)
    hint = get_answer_hint(request)
    if engine.kv_tokens <= 0 or hint <= engine.kv_tokens:
        hint = estimate_answer_tokens(forwarding.costs, route, profile.workspace, hint, now)
    return estimate_write_seconds(engine, hint)


def create_attempt(context: RequestContext, endpoint: Endpoint) -> RunningAttempt:
    """Return the state of an attempt that has not started."""
    gateway = context.gateway
    tickets = TicketSet(gateway, context.request.request_id)
    allocation = MemoryAllocation(gateway.memory, workspace=context.profile.workspace)
    attempt = RunningAttempt(endpoint, tickets, allocation)
    context.attempts.append(attempt)
    return attempt


def has_events(context: RequestContext) -> bool:
    """Return whether events of a stream were accepted, so that another attempt continues it."""
    return context.exchange.has_head or bool(context.collected)


def find_resumption(context: RequestContext) -> int | None:
    """Return the event after which another attempt goes on; None to leave it to the request."""
    relay = context.exchange.relay
    is_resumed = has_events(context) or (relay is not None and relay.last_event is not None)
    return context.last_event if is_resumed else None
