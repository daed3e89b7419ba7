"""State and settings of the requests on this host."""

from enum import StrEnum
from random import Random

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.configuration.models import ServiceKind
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.outcomes import Outcome
from marjorambridge.limits.messages import (
    DenialReason,
    EndpointGrant,
    PermitRelease,
    PriorityClass,
)
from marjorambridge.requests.exceptions import RequestSettingsError
from marjorambridge.routing.state import RoutingSettings, RoutingState


class RequestSettings(Struct):
    """Settings of requests; times are in seconds, sizes in bytes."""

    start_window: float = defaults.START_WINDOW_SECONDS
    queue_renewal: float = defaults.QUEUE_RENEWAL_INTERVAL_SECONDS
    permit_renewal: float = defaults.PERMIT_RENEWAL_INTERVAL_SECONDS
    permit_expiry: float = defaults.PERMIT_EXPIRY_SECONDS
    max_loop_delay: float = defaults.MAX_LOOP_DELAY_SECONDS
    owner_timeout: float = defaults.OWNER_TIMEOUT_SECONDS
    queue_move_delay: float = defaults.QUEUE_MOVE_DELAY_SECONDS
    queue_move_wait_ratio: float = defaults.QUEUE_MOVE_WAIT_RATIO
    long_prompt_queue_move_delay: float = defaults.LONG_PROMPT_QUEUE_MOVE_DELAY_SECONDS
    long_prompt_tokens: int = defaults.MAX_INTERACTIVE_PREFILL_TOKENS
    initial_backoff: float = defaults.INITIAL_PERMIT_BACKOFF_SECONDS
    max_backoff: float = defaults.MAX_PERMIT_BACKOFF_SECONDS
    max_attempts: int = defaults.MAX_ATTEMPTS
    retry_budget_ratio: float = defaults.RETRY_BUDGET_RATIO
    retry_budget_minimum: int = defaults.RETRY_BUDGET_MINIMUM
    retry_budget_window: float = defaults.RETRY_BUDGET_WINDOW_SECONDS
    max_timeout: float = defaults.MAX_TIMEOUT_SECONDS
    max_body: int = defaults.MAX_BODY_BYTES
    max_requests: int = defaults.MAX_REQUESTS_IN_PROGRESS
    rate_burst: float = defaults.RATE_BURST_SECONDS
    refusal_retry_after: float = defaults.REFUSAL_RETRY_AFTER_SECONDS
    freshness: float = defaults.FRESHNESS_SECONDS
    release_reserve: float = defaults.CLAIM_RELEASE_RESERVE_SECONDS
    claim_commit_timeout: float = defaults.CLAIM_COMMIT_TIMEOUT_SECONDS
    claim_retry_timeout: float = defaults.CLAIM_RETRY_TIMEOUT_SECONDS
    max_recorded_answer: int = defaults.MAX_CLAIM_ANSWER_BYTES
    max_held_answer: int = defaults.MAX_HELD_ANSWER_BYTES
    unready_grace: float = defaults.UNREADY_GRACE_SECONDS
    drain_deadline: float = defaults.DRAIN_DEADLINE_SECONDS
    routing: RoutingSettings = field(default_factory=RoutingSettings)


class Phase(StrEnum):
    """What a request waits for."""

    CLAIMING = "claiming"
    ASKING = "asking"
    STALE = "stale"
    BACKOFF = "backoff"
    RUNNING = "running"
    RECORDING = "recording"
    RELEASING = "releasing"


class Permit(Struct):
    """Permit, from its first request to the end of its attempt.

    Attributes
    ----------
    asks : dict of int to float
        Sending times of the permit requests that a grant can still answer, by their numbers.
    ask : int
        Number of the last permit request.
    last_reply_at : float
        Time of the owner's last reply, or of the first permit request if there was none.
    expected_wait : float
        Expected wait in seconds, from the owner's last reply.
    start_by : float
        Time after which the attempt must not start.
    started : bool
        Whether the driver reported the first byte; a byte may have been sent before that.
    """

    ident: AttemptId
    shard: str
    region: str
    owner: str
    asked_at: float
    asks: dict[int, float] = field(default_factory=dict)
    ask: int = 0
    last_reply_at: float = 0.0
    queued: bool = False
    expected_wait: float = 0.0
    endpoints: tuple[EndpointGrant, ...] = ()
    priority: PriorityClass = PriorityClass.INTERACTIVE
    start_by: float = 0.0
    started: bool = False
    started_at: float = 0.0
    first_token_seconds: float = -1.0


class Denial(Struct):
    """Denial of a permit, or timeout of the shard's owner if `reason` is None."""

    reason: DenialReason | None
    until: float


class Request(Struct):
    """Request of a caller.

    Attributes
    ----------
    wait_until : float
        When the wait timer is due; a timer that was replaced may still fire, and is ignored.
    attempts : int
        Attempts of which a byte may have been sent to an endpoint; an attempt that ended as
        ``NOT_SENT`` does not count.
    may_have_run : bool
        Whether an endpoint may have run the call; false again if it answered that it did not.
    cursor : int
        Next token of the answer for engines; next byte of the attempt's answer for plain services.
    forwarded : bool
        Whether the headers were sent to the caller.
    holding, held : bool, bytearray
        Whether the answer is held back, because it must be recorded first or may be an error that
        leads to a retry, and its held part.
    too_long : bool
        Whether the answer was too long to hold, so that it cannot be recorded.
    status, headers : int, tuple
        Beginning of the answer of the present attempt.
    pending : Outcome or None
        Outcome to send after the release of the claim is committed.
    trace : str
        Trace of the request; empty if it is not traced.
    recorded_from : float
        Time at which the recording of the answer began.
    """

    ident: str
    workspace: str
    service: str
    kind: ServiceKind
    repeatable: bool
    arrived_at: float
    deadline: float
    prompt_tokens: int
    output_tokens: int
    weight: float
    prefix: tuple[bytes, ...]
    prefix_tokens: tuple[int, ...]
    phase: Phase = Phase.ASKING
    wait_until: float = 0.0
    permit: Permit | None = None
    claim: AttemptId | None = None
    denials: dict[str, Denial] = field(default_factory=dict)
    exclude: list[str] = field(default_factory=list)
    backoffs: int = 0
    moves: int = 0
    attempts: int = 0
    may_have_run: bool = False
    cursor: int = 0
    forwarded: bool = False
    holding: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    held: bytearray = field(default_factory=bytearray)
    too_long: bool = False
    finish: str = ""
    usage: dict[str, int] = field(default_factory=dict)
    pending: Outcome | None = None
    caller_gone: bool = False
    trace: str = ""
    recorded_from: float = 0.0


class WorkspaceUsage(Struct):
    """Use of a workspace's limits on this host."""

    tokens: float
    at: float
    running: int = 0


class RetryBudget(Struct):
    """Admissions and retries of the present and the previous window."""

    window: int = 0
    admitted: int = 0
    retries: int = 0
    previous_admitted: int = 0
    previous_retries: int = 0


class Shutdown(Struct):
    """Monotonic times of a shutdown in seconds, and counts of the requests that ended."""

    refuse_from: float
    drain_ends_at: float
    ended: int = 0
    cut: int = 0
    drained: bool = False


class ReleasedPermit(Struct):
    """Release that was sent, to repeat it if the owner's grant arrives again."""

    message: PermitRelease
    until: float


class RequestsState(Struct):
    """State of the requests component of a host.

    Attributes
    ----------
    permits : dict of AttemptId to str
        Request of each permit that is requested or running; all other permits are void.
    claims : dict of AttemptId to str
        Request of each claim whose request is in progress.
    late_claims : dict of AttemptId to float
        Claims whose request ended before the decision, and until when a late one is expected.
    key_hashes : list of tuple
        Key digests and the names of their workspaces.
    overloaded_at : float
        Last time at which this process handled a timer late.
    """

    host: str
    incarnation: int
    region: str
    zone: str
    settings: RequestSettings
    random: Random
    routing: RoutingState
    configured: bool = False
    fresh_until: float = float("-inf")
    next_number: int = 1
    requests: dict[str, Request] = field(default_factory=dict)
    permits: dict[AttemptId, str] = field(default_factory=dict)
    claims: dict[AttemptId, str] = field(default_factory=dict)
    late_claims: dict[AttemptId, float] = field(default_factory=dict)
    released: dict[AttemptId, ReleasedPermit] = field(default_factory=dict)
    usage: dict[str, WorkspaceUsage] = field(default_factory=dict)
    budget: RetryBudget = field(default_factory=RetryBudget)
    key_hashes: list[tuple[bytes, str]] = field(default_factory=list)
    renewal_scheduled: bool = False
    overloaded_at: float = float("-inf")
    shutdown: Shutdown | None = None


def create_state(
    host: str, incarnation: int, region: str, zone: str, settings: RequestSettings, seed: int
) -> RequestsState:
    """Return the state of a host that has no configuration, no view and no request.

    Raises
    ------
    RequestSettingsError
        If renewals are too slow for the start window or for permit expiry.
    """
    if settings.queue_renewal * 2 > settings.start_window:
        raise RequestSettingsError(
            "queue_renewal must be at most half of start_window; otherwise a grant answers a "
            "permit request that is already too old to start"
        )
    if settings.permit_renewal * 2 > settings.permit_expiry:
        raise RequestSettingsError(
            "permit_renewal must be at most half of permit_expiry, so that one lost renewal does "
            "not end a running attempt"
        )
    return RequestsState(
        host=host,
        incarnation=incarnation,
        region=region,
        zone=zone,
        settings=settings,
        random=Random(seed),
        routing=RoutingState(host=host, region=region, settings=settings.routing),
    )


def create_ident(state: RequestsState) -> AttemptId:
    """Return the next identity of an attempt or a claim."""
    number = state.next_number
    state.next_number += 1
    return AttemptId(state.host, state.incarnation, number)


def is_fresh(state: RequestsState, now: float) -> bool:
    """Return whether the configuration and the view are confirmed to be current."""
    return state.configured and now < state.fresh_until


def compute_start_limit(state: RequestsState, request: Request) -> float:
    """Return the time after which an attempt of the request is no longer started.

    A call that holds a claim keeps some time for the release of the claim.
    """
    if request.claim is None:
        return request.deadline
    allowed = request.deadline - request.arrived_at
    return request.deadline - min(state.settings.release_reserve, 0.2 * allowed)
