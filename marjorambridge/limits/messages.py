"""Define the messages between hosts and the owners of shards."""

from enum import StrEnum

from msgspec import Struct

from marjorambridge.core.identity import AttemptId


class PriorityClass(StrEnum):
    """Class of a request by its estimated uncached prefill tokens."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    LONG = "long"
    GROUP = "group"


class DenialReason(StrEnum):
    """Reason why an owner does not grant a permit."""

    NOT_OWNER = "not_owner"
    NOT_FRESH = "not_fresh"
    TAKEOVER = "takeover"
    ZONE_OUT = "zone_out"
    NO_ENDPOINT = "no_endpoint"
    TOO_LARGE = "too_large"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    LEAVING = "leaving"


class ShardSummary(Struct):
    """Summary of a shard for the routing of other hosts.

    Attributes
    ----------
    shard : str
        Text form of the shard identifier.
    endpoints : int
        Endpoints that accept work.
    free_tokens : int
        Unreserved KV memory of all endpoints, in tokens.
    largest_free_tokens : int
        Largest unreserved KV memory of one endpoint, in tokens.
    queued_tokens : int
        Prefill tokens of queued requests.
    prefill_tokens : int
        Prefill tokens of running requests without a first token yet.
    expected_wait : float
        Estimated seconds until a short request would be granted.
    """

    shard: str
    endpoints: int = 0
    free_tokens: int = 0
    largest_free_tokens: int = 0
    queued_tokens: int = 0
    prefill_tokens: int = 0
    expected_wait: float = 0.0


class PermitRequest(Struct):
    """Request the right to start one attempt from the owner of a shard.

    Attributes
    ----------
    permit : AttemptId
        Identity of the attempt and its permit; a repeated request with the same identity gets
        the same permit.
    ask : int
        Serial number of this message for the permit, from 1. The answer repeats it, and the start
        window of a grant begins when the message with this number was sent.
    shard : str
        Text form of the shard identifier.
    workspace : str
        Workspace that the request belongs to, for fair queueing.
    weight : float
        Share of the workspace in fair queueing, from its urgency and that of the service.
    prompt_tokens, output_tokens : int
        Estimated lengths; their sum is reserved. 0 for plain services.
    remaining : float
        Seconds until the request's deadline, when the message was sent.
    prefix : tuple of bytes
        Chained 8-byte hashes of the prompt's leading blocks, shortest prefix first.
    prefix_tokens : tuple of int
        Tokens covered by each hash of `prefix`.
    exclude : tuple of str
        Endpoints on which an earlier attempt of the request failed.
    trace : str or None
        Trace of the request; None if it is not traced.
    """

    permit: AttemptId
    ask: int
    shard: str
    workspace: str
    weight: float
    prompt_tokens: int
    output_tokens: int
    remaining: float
    prefix: tuple[bytes, ...] = ()
    prefix_tokens: tuple[int, ...] = ()
    exclude: tuple[str, ...] = ()
    trace: str | None = None


class EndpointGrant(Struct):
    """One endpoint of a granted permit.

    Attributes
    ----------
    endpoint : str
        Name of the endpoint.
    incarnation : int
        Incarnation of the endpoint that the grant is for.
    address : str
        ``ip:port`` of the endpoint.
    tokens : int
        KV memory reserved on it, in tokens.
    cached_tokens : int
        Prompt tokens expected in its prefix cache.
    """

    endpoint: str
    incarnation: int
    address: str
    tokens: int
    cached_tokens: int = 0


class PermitGranted(Struct):
    """Grant a permit; several endpoints form a group, and the first one leads it.

    The holder must start the attempt within `START_WINDOW_SECONDS` after it sent the request
    numbered `ask`, by its own clock.
    """

    permit: AttemptId
    ask: int
    shard: str
    epoch: int
    priority: PriorityClass
    endpoints: tuple[EndpointGrant, ...]
    summary: ShardSummary


class PermitDenied(Struct):
    """Refuse a permit; nothing is reserved for it."""

    permit: AttemptId
    shard: str
    reason: DenialReason
    retry_after: float
    summary: ShardSummary


class PermitQueued(Struct):
    """Confirm that a permit request waits in the owner's queue.

    The requester repeats the request with the same permit identity every
    `QUEUE_RENEWAL_INTERVAL_SECONDS` while it needs the permit. The owner removes a queued request
    that is not repeated, and grants only requests that were repeated within two intervals.
    """

    permit: AttemptId
    ask: int
    shard: str
    expected_wait: float
    summary: ShardSummary


class PermitCancel(Struct):
    """Cancel a permit request or an unused permit."""

    permit: AttemptId
    shard: str


class PermitRelease(Struct):
    """Report that an attempt has ended and its memory is free.

    Attributes
    ----------
    succeeded : bool
        Whether the attempt delivered a complete answer.
    endpoint_failed : bool
        Whether the endpoint broke the connection or answered with a server error.
    stopped : bool
        Whether the endpoint is known to have stopped the attempt. If not, the owner cancels it on
        the endpoint before it frees the memory.
    first_token_seconds : float
        Time from the start to the first token; negative if there was none.
    """

    permit: AttemptId
    shard: str
    succeeded: bool
    endpoint_failed: bool
    stopped: bool
    first_token_seconds: float = -1.0


class RunningPermit(Struct):
    """A running permit, for the present owner of its shard."""

    permit: AttemptId
    shard: str
    endpoints: tuple[EndpointGrant, ...]
    first_token: bool


class PermitRenew(Struct):
    """Renew the running permits that a host holds from one owner."""

    permits: tuple[RunningPermit, ...]


class PermitRevoked(Struct):
    """Revoke a permit; the holder stops the attempt and retries on another endpoint."""

    permit: AttemptId
    shard: str


class CacheEvent(Struct):
    """Blocks that an endpoint stored in its prefix cache or evicted from it.

    Attributes
    ----------
    sequence : int
        Serial number within the endpoint's incarnation; a gap means that events were lost.
    stored, evicted : tuple of bytes
        Chained 8-byte block hashes.
    """

    sequence: int
    stored: tuple[bytes, ...] = ()
    evicted: tuple[bytes, ...] = ()


class Announcement(Struct):
    """State of an endpoint, as it announces it.

    Attributes
    ----------
    kv_capacity_tokens : int
        KV memory in tokens; 0 for plain services.
    concurrency : int
        Requests that the endpoint can run at a time when it is warm.
    concurrency_now : int
        Requests that the endpoint can run at a time at present; 0 if it does not report this.
    kv_used_tokens : int
        KV memory in use according to the last load report, which lags.
    running : int
        Running requests according to the last load report, which lags.
    report_sequence : int
        Serial number of the load report.
    report_age : float
        Seconds between the measurement of the report and the announcement.
    """

    endpoint: str
    incarnation: int
    supplier: str
    service: str
    zone: str
    address: str
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "any"
    version: str = ""
    kv_capacity_tokens: int = 0
    concurrency: int = 1
    concurrency_now: int = 0
    cold: bool = False
    leaving: bool = False
    checks_fencing: bool = False
    kv_used_tokens: int = 0
    running: int = 0
    report_sequence: int = 0
    report_age: float = 0.0
    cache_events: tuple[CacheEvent, ...] = ()


class HandoverPermit(Struct):
    """One permit of a shard that changes its owner."""

    permit: AttemptId
    endpoints: tuple[EndpointGrant, ...]
    first_token: bool
    age: float


class HandoverEndpoint(Struct):
    """One endpoint of a shard that changes its owner.

    Attributes
    ----------
    limit : int
        Present concurrency limit of the cold-start ramp.
    warm : bool
        Whether the ramp has reached the announced concurrency.
    baseline : float
        Warm seconds to first token per prefill token; 0 if unknown.
    """

    announcement: Announcement
    limit: int
    warm: bool
    baseline: float


class ShardHandover(Struct):
    """Transfer a shard's state to its new owner; the sender grants nothing afterwards.

    A state that exceeds one frame is sent in parts; the receiver needs all of them.

    Attributes
    ----------
    epoch : int
        Index of the view that makes the receiver the owner.
    part, parts : int
        Number of this message, from 0, and how many there are.
    """

    shard: str
    epoch: int
    endpoints: tuple[HandoverEndpoint, ...]
    permits: tuple[HandoverPermit, ...]
    part: int = 0
    parts: int = 1
