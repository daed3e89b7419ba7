"""Model a whole configuration: routes, services, caller limits and workspaces.

A manifest replaces the one before it as a whole. The product's own configuration, which is changed
command by command, is in `marjorambridge.configuration`.
"""

from enum import StrEnum

from msgspec import Struct, field


class Execution(StrEnum):
    """Say how often a request may run.

    `STREAM` requests run at most once unless their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class RouteTarget(Struct, frozen=True):
    """Give a service its share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True):
    """Say which service answers the requests of a host name and path prefix, and how.

    Attributes
    ----------
    host_name : str
        Value of the request's ``Host`` header, without a port, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    timeout_seconds : float
        Longest time from the arrival of a request to the end of its answer.
    objective_seconds : float
        Time to the answer, or to a stream's first event, that earns the full benefit.
    gap_objective_seconds : float
        Longest pause between two events of a stream that is still on time; 0 if not stated.
    priority : int
        0 is the most urgent.
    max_endpoints : int
        Greatest number of endpoints that one request may be sent to.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another endpoint.
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
    """Describe how fast the engines of a service work.

    Attributes
    ----------
    slots : int
        Requests that an engine processes at once.
    kv_tokens : int
        Tokens that an engine's memory holds.
    step_seconds : float
        Time of one token step.
    sequence_seconds : float
        Time that each writing request adds to a step.
    context_seconds : float
        Time that each token of a writing request's context adds to a step.
    read_tokens_per_second : float
        Prompt tokens that an engine reads in a second, without the cost of attention.
    pair_seconds : float
        Time for each pair of a prompt token and an earlier one.
    chunk_tokens : int
        Prompt tokens that an engine reads at most between two token steps.
    stride_steps : int
        Token steps of one pass, which are also the tokens of one event.
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


class ServiceDefinition(Struct, frozen=True):
    """Describe a service.

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
    """Bound what a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class WorkspaceKeys(Struct, frozen=True):
    """Hold the keys of a workspace; its priority takes precedence over that of a route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Manifest(Struct, frozen=True):
    """Hold a whole configuration; the one with the highest version is in force."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceDefinition, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[WorkspaceKeys, ...] = ()
    requires_keys: bool = False
