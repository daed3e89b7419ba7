"""State of an owned shard, and the updates of its indexes."""

import heapq
from typing import Any

from msgspec import Struct, field

from marjorambridge.core.identity import AttemptId
from marjorambridge.core.view import ShardId
from marjorambridge.limits.estimates import Rates
from marjorambridge.limits.ledger import Account, Ledger, compute_used_tokens, get_account
from marjorambridge.limits.messages import Announcement, PriorityClass, ShardSummary
from marjorambridge.limits.placement import UNAVAILABLE, PlacementIndex, set_leaf
from marjorambridge.limits.prefix import PrefixIndex
from marjorambridge.limits.queue import QueueEntry, RequestQueue
from marjorambridge.limits.ramp import Ramp, compute_limit, compute_prefill_limit
from marjorambridge.limits.settings import LimitsSettings

# Prefill tokens that an engine processes before it checks for more urgent work. A short prompt
# waits for one such chunk, however long the prefill is that the chunk belongs to.
ENGINE_CHUNK_TOKENS = 2_048

# Share of a shard's endpoints that is reserved for interactive requests, and the smallest shard in
# which at least one endpoint is.
INTERACTIVE_RESERVE_SHARE = 0.25
MINIMUM_RESERVE_ENDPOINTS = 3

# Ranks order endpoints by prefill work and then by their share of used concurrency.
RANK_SCALE = 4096


class Endpoint(Struct):
    """One endpoint of a shard.

    Attributes
    ----------
    announcement : Announcement
        The last announcement, without its cache events.
    last_seen : float
        Time of the last announcement.
    slot : int
        Position in the placement index.
    reported_tokens : int
        KV memory in use according to the last load report.
    unknown_attempts : int
        Running attempts in the load reports that the ledger lacks, because earlier owners granted
        them.
    silent : bool
        Whether it timed out: no announcement for `endpoint_timeout_seconds`.
    reserved : bool
        Whether it belongs to the shard's advance reservation.
    usable : bool
        Whether the totals of the shard include it.
    contribution : tuple
        Its part of the totals: slots, capacity, free tokens, prefill tokens.
    """

    announcement: Announcement
    last_seen: float
    ramp: Ramp
    account: Account
    slot: int
    reported_tokens: int = 0
    unknown_attempts: int = 0
    silent: bool = False
    reserved: bool = False
    usable: bool = False
    contribution: tuple[int, int, int, int] = (0, 0, 0, 0)


class AdvanceReservation(Struct):
    """Endpoints that are reserved for the longest waiting request that needs more than is free.

    Attributes
    ----------
    shares : dict
        KV memory that the request needs on each endpoint, in tokens.
    incarnations : dict
        Incarnation of each endpoint when it was selected.
    start : float
        Time at which the endpoints are expected to be free.
    """

    entry: QueueEntry
    shares: dict[str, int]
    incarnations: dict[str, int]
    start: float


class Totals(Struct):
    """Sums over the usable endpoints of a shard."""

    endpoints: int = 0
    slots: int = 0
    capacity: int = 0
    free_tokens: int = 0
    prefill: int = 0


class Shard(Struct):
    """A shard that this host owns.

    Attributes
    ----------
    epoch : int
        Log index that assigned the shard to this host.
    grants_from : float
        Time from which this host may grant.
    handover_accepted : bool
        Whether the handover of this epoch was accepted.
    open : bool
        Whether the availability zone is in service.
    placement, interactive_placement : PlacementIndex
        Endpoints by their rank for other and for interactive requests.
    long_share : int
        Endpoints that may run long prefills at once.
    long_endpoints : dict
        Endpoints that run long prefills.
    non_interactive_endpoints : dict
        Endpoints that run a prefill that is not interactive.
    capacities : dict
        Number of endpoints of each KV capacity that are not leaving.
    largest_capacity, total_capacity : int
        KV capacity of the largest and of all endpoints that are not leaving.
    schedule : list
        Heap of scheduled checks: (time, serial, kind, key).
    expected_ends : list
        Heap of (expected end, serial, permit); items of ended permits are skipped.
    """

    identity: ShardId
    epoch: int
    grants_from: float
    prefix: PrefixIndex
    name: str = ""
    handover_accepted: bool = False
    open: bool = True
    long_share: int = 1
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    slots: list[Endpoint | None] = field(default_factory=list)
    free_slots: list[int] = field(default_factory=list)
    ledger: Ledger = field(default_factory=Ledger)
    queue: RequestQueue = field(default_factory=RequestQueue)
    placement: PlacementIndex = field(default_factory=PlacementIndex)
    interactive_placement: PlacementIndex = field(default_factory=PlacementIndex)
    rates: Rates = field(default_factory=Rates)
    reservation: AdvanceReservation | None = None
    long_endpoints: dict[str, None] = field(default_factory=dict)
    non_interactive_endpoints: dict[str, None] = field(default_factory=dict)
    capacities: dict[int, int] = field(default_factory=dict)
    largest_capacity: int = 0
    total_capacity: int = 0
    totals: Totals = field(default_factory=Totals)
    schedule: list[tuple[float, int, str, Any]] = field(default_factory=list)
    expected_ends: list[tuple[float, int, AttemptId]] = field(default_factory=list)
    serial: int = 0


def create_shard(
    identity: ShardId, epoch: int, grants_from: float, settings: LimitsSettings
) -> Shard:
    """Create a shard without endpoints."""
    prefix = PrefixIndex(settings.max_prefix_pairs)
    return Shard(identity, epoch, grants_from, prefix, name=str(identity))


def schedule_check(shard: Shard, at: float, kind: str, key: Any) -> None:
    """Schedule a check of an object; its handler tests whether anything is due."""
    shard.serial += 1
    heapq.heappush(shard.schedule, (at, shard.serial, kind, key))


def pop_due_checks(shard: Shard, now: float) -> list[tuple[str, Any]]:
    """Remove and return the checks that are due, earliest first."""
    due = []
    while shard.schedule and shard.schedule[0][0] <= now:
        _, _, kind, key = heapq.heappop(shard.schedule)
        due.append((kind, key))
    return due


def add_endpoint(shard: Shard, announcement: Announcement, ramp: Ramp, now: float) -> Endpoint:
    """Add an endpoint to the table, with the account that renewals may have created for it."""
    slot = shard.free_slots.pop() if shard.free_slots else len(shard.slots)
    account = get_account(shard.ledger, announcement.endpoint)
    endpoint = Endpoint(announcement, now, ramp, account, slot)
    if slot == len(shard.slots):
        shard.slots.append(endpoint)
    else:
        shard.slots[slot] = endpoint
    shard.endpoints[announcement.endpoint] = endpoint
    count_capacity(shard, announcement, 1)
    return endpoint


def count_capacity(shard: Shard, announcement: Announcement, sign: int) -> None:
    """Add an endpoint to the capacities of the shard, or subtract it; a leaving one has none."""
    if announcement.leaving:
        return
    capacity = announcement.kv_capacity_tokens
    shard.capacities[capacity] = shard.capacities.get(capacity, 0) + sign
    if not shard.capacities[capacity]:
        del shard.capacities[capacity]
    shard.largest_capacity = max(shard.capacities, default=0)
    shard.total_capacity += sign * capacity


def remove_endpoint(shard: Shard, endpoint: Endpoint) -> None:
    """Remove an endpoint from the table and all indexes."""
    name = endpoint.announcement.endpoint
    _replace_contribution(shard, endpoint, False, (0, 0, 0, 0))
    _set_leaves(shard, endpoint, UNAVAILABLE, UNAVAILABLE)
    count_capacity(shard, endpoint.announcement, -1)
    shard.slots[endpoint.slot] = None
    shard.free_slots.append(endpoint.slot)
    shard.long_endpoints.pop(name, None)
    shard.non_interactive_endpoints.pop(name, None)
    del shard.endpoints[name]


def is_usable(endpoint: Endpoint, settings: LimitsSettings, now: float) -> bool:
    """Return whether an endpoint may get new work."""
    return (
        not endpoint.announcement.leaving
        and now < endpoint.last_seen + settings.endpoint_timeout_seconds
    )


def count_running(endpoint: Endpoint) -> int:
    """Return the number of attempts that run on the endpoint or may be started on it."""
    return len(endpoint.account.permits) + endpoint.unknown_attempts


def get_limit(endpoint: Endpoint) -> int:
    """Return the number of attempts that may run on the endpoint at a time."""
    if endpoint.account.exclusive and not endpoint.ramp.warm:
        return 1
    return compute_limit(endpoint.ramp)


def compute_free_tokens(endpoint: Endpoint) -> int:
    """Return the KV memory that is neither reserved nor reported as used."""
    used = compute_used_tokens(endpoint.account, endpoint.reported_tokens)
    return max(0, endpoint.announcement.kv_capacity_tokens - used)


def compute_prefill_room(endpoint: Endpoint, settings: LimitsSettings) -> int:
    """Return the prefill tokens that the cold-start limit still allows."""
    limit = compute_prefill_limit(endpoint.ramp, settings.cold_prefill_tokens)
    return max(0, limit - endpoint.account.prefill)


def compute_rank(endpoint: Endpoint, is_interactive: bool = False) -> int:
    """Return the order of an endpoint for new work; the lowest is preferred.

    The engine starts interactive work after at most one chunk of a longer prefill, so an endpoint
    with a long prefill ranks before one on which other interactive prompts wait.
    """
    running = min(RANK_SCALE - 1, count_running(endpoint) * 256 // compute_limit(endpoint.ramp))
    account = endpoint.account
    work = account.prefill
    if is_interactive:
        longer = account.prefill - account.interactive_prefill
        work = account.interactive_prefill + min(longer, ENGINE_CHUNK_TOKENS)
    return work * RANK_SCALE + running


def has_capacity(endpoint: Endpoint, tokens: int, prefill: int, settings: LimitsSettings) -> bool:
    """Return whether an endpoint can take an attempt within its limits now."""
    return (
        count_running(endpoint) < get_limit(endpoint)
        and compute_free_tokens(endpoint) >= tokens
        and compute_prefill_room(endpoint, settings) >= prefill
    )


def _replace_contribution(
    shard: Shard, endpoint: Endpoint, usable: bool, contribution: tuple[int, int, int, int]
) -> None:
    """Replace an endpoint's part of the totals."""
    totals, old = shard.totals, endpoint.contribution
    totals.endpoints += usable - endpoint.usable
    totals.slots += contribution[0] - old[0]
    totals.capacity += contribution[1] - old[1]
    totals.free_tokens += contribution[2] - old[2]
    totals.prefill += contribution[3] - old[3]
    endpoint.usable, endpoint.contribution = usable, contribution


def _set_member(names: dict[str, None], name: str, is_member: bool) -> None:
    if is_member:
        names[name] = None
    else:
        names.pop(name, None)


def _set_leaves(shard: Shard, endpoint: Endpoint, free: int, prefill_room: int) -> None:
    for index, is_interactive in ((shard.placement, False), (shard.interactive_placement, True)):
        set_leaf(index, endpoint.slot, free, prefill_room, compute_rank(endpoint, is_interactive))


def refresh_endpoint(shard: Shard, name: str, settings: LimitsSettings, now: float) -> None:
    """Update the indexes of a shard for one endpoint."""
    endpoint = shard.endpoints.get(name)
    if endpoint is None:
        return
    account = endpoint.account
    _set_member(shard.long_endpoints, name, account.long_prefills > 0)
    _set_member(
        shard.non_interactive_endpoints, name, account.prefill > account.interactive_prefill
    )
    usable = is_usable(endpoint, settings, now) and not endpoint.silent
    if not usable:
        _replace_contribution(shard, endpoint, False, (0, 0, 0, 0))
        _set_leaves(shard, endpoint, UNAVAILABLE, UNAVAILABLE)
        return
    limit = compute_limit(endpoint.ramp)
    free = compute_free_tokens(endpoint)
    capacity = endpoint.announcement.kv_capacity_tokens
    _replace_contribution(shard, endpoint, True, (limit, capacity, free, endpoint.account.prefill))
    if endpoint.reserved or count_running(endpoint) >= get_limit(endpoint):
        free = UNAVAILABLE
    prefill_room = compute_prefill_room(endpoint, settings)
    _set_leaves(shard, endpoint, free, prefill_room)


def get_max_long_share(shard: Shard, settings: LimitsSettings) -> int:
    """Return the largest number of endpoints that may run long prefills at once."""
    return max(1, int(shard.totals.endpoints * settings.max_long_prefill_share))


def count_interactive_reserve(shard: Shard) -> int:
    """Return how many endpoints are reserved for interactive requests.

    An engine does not interrupt a prefill chunk, so a short prompt waits for one chunk wherever a
    longer prefill is in progress, whatever its priority.
    """
    endpoints = shard.totals.endpoints
    if endpoints < MINIMUM_RESERVE_ENDPOINTS:
        return 0
    return max(1, int(endpoints * INTERACTIVE_RESERVE_SHARE))


def adapt_long_share(shard: Shard, settings: LimitsSettings) -> None:
    """Halve the long share while interactive requests wait, and increment it otherwise."""
    if shard.queue.classes[PriorityClass.INTERACTIVE].count:
        shard.long_share = max(1, shard.long_share // 2)
    else:
        shard.long_share = min(shard.long_share + 1, get_max_long_share(shard, settings))


def get_earliest_end(shard: Shard, now: float) -> float:
    """Return when the first running permit is expected to end, at least `now`."""
    while shard.expected_ends and shard.expected_ends[0][2] not in shard.ledger.permits:
        heapq.heappop(shard.expected_ends)
    return max(now, shard.expected_ends[0][0]) if shard.expected_ends else now


def summarize_shard(shard: Shard, now: float) -> ShardSummary:
    """Return the summary that is part of each answer to a permit request."""
    totals = shard.totals
    waiting = shard.queue.classes[PriorityClass.INTERACTIVE]
    largest = max(0, shard.placement.free[1])
    wait = 0.0
    if waiting.count or shard.placement.free[1] == UNAVAILABLE:
        wait = max(0.0, shard.grants_from - now, get_earliest_end(shard, now) - now) + waiting.work
    queued = sum(item.tokens for item in shard.queue.classes.values())
    return ShardSummary(
        shard.name, totals.endpoints, totals.free_tokens, largest, queued, totals.prefill, wait
    )
