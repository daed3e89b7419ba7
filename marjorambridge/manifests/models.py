"""Model a whole configuration: routes, services, caller limits and workspaces.

A manifest replaces the previous one as a whole. The product's own configuration, which is changed
by individual commands, is in `marjorambridge.configuration`.
"""

from enum import StrEnum

from msgspec import Struct, field


class Execution(StrEnum):
    """How often a request may be executed.

    `STREAM` requests run at most once unless their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class RouteTarget(Struct, frozen=True):
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """The services that answer the requests of a host name and path prefix, and their limits.

    Attributes
    ----------
    host_name : str
        Value of the request's ``Host`` header, without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    timeout_seconds : float
        Longest time from the arrival of a request to the end of its answer.
    objective_seconds : float
        Latency objective for the answer, or for the first event of a stream.
    gap_objective_seconds : float
        Latency objective for the pause between two events of a stream; 0 if there is none.
    priority : int
        0 is the most urgent.
    max_endpoints : int
        Maximum number of endpoints that one request may be sent to.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    """

    name: str
    host_name: str
    path_prefix: str
    execution: Execution
    timeout_seconds: float
    objective_seconds: float
    targets: tuple[RouteTarget, ...]
    gap_objective_seconds: float = 0.0
    priority: int = 1
    max_endpoints: int = 1
    public: bool = False
    resumable: bool = False


class EngineProfile(Struct, frozen=True):
    """The capacity and speed of the engines of a service.

    Attributes
    ----------
    slots : int
        Requests that an engine processes concurrently.
    kv_tokens : int
        Capacity of an engine's KV cache in tokens.
    step_seconds : float
        Time of one decode step.
    sequence_seconds : float
        Time that each decoding request adds to a decode step.
    context_seconds : float
        Time that each token of a decoding request's context adds to a decode step.
    read_tokens_per_second : float
        Prompt tokens that an engine prefills per second, without the cost of attention.
    pair_seconds : float
        Prefill time for each pair of a prompt token and an earlier one.
    chunk_tokens : int
        Maximum number of prompt tokens that an engine prefills between two decode steps.
    stride_steps : int
        Decode steps of one pass, which are also the tokens of one event.
    usual_answer_tokens : int
        Mean length of the answers; 0 if it is unknown.
    """

    slots: int = 1
    kv_tokens: int = 0
    step_seconds: float = 0.0
    sequence_seconds: float = 0.0
    context_seconds: float = 0.0
    read_tokens_per_second: float = 0.0
    pair_seconds: float = 0.0
    chunk_tokens: int = 0
    stride_steps: int = 1
    usual_answer_tokens: int = 0


class ServiceDefinition(Struct, frozen=True):
    """The definition of a service.

    Attributes
    ----------
    cold_start_seconds : float
        Time for which an endpoint is cold after its start; 0 if it never is.
    cold_requests_per_second : float
        Requests that a cold endpoint tolerates, from all hosts together; 0 for no limit.
    engine : EngineProfile or None
        None for a plain service.
    """

    name: str
    max_connections: int = 0
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float = 0.0
    engine: EngineProfile | None = None


class CallerLimits(Struct, frozen=True):
    """Limits on the size of a caller's request, the time to send its header, and idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class WorkspaceKeys(Struct, frozen=True):
    """The keys of a workspace; its priority takes precedence over that of a route.

    Attributes
    ----------
    services : frozenset of str or None
        Services that it may call; None for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    services: frozenset[str] | None = None


class Manifest(Struct, frozen=True):
    """A whole configuration; the one with the highest version is active."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceDefinition, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[WorkspaceKeys, ...] = ()
    requires_keys: bool = False
