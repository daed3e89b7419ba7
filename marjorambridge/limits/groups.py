"""Reserve endpoints in advance for a request that needs more than is free at present."""

import heapq
import math
import random

from marjorambridge.limits.admission import build_placement, compute_tokens
from marjorambridge.limits.ledger import Permit
from marjorambridge.limits.messages import PriorityClass
from marjorambridge.limits.queue import QueueEntry
from marjorambridge.limits.ramp import compute_prefill_limit
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    AdvanceReservation,
    Endpoint,
    Shard,
    compute_free_tokens,
    count_running,
    get_limit,
    is_usable,
    refresh_endpoint,
)

# Endpoints that are sampled to estimate the wait of a request.
MAX_SAMPLED_ENDPOINTS = 16

# Interval of load reports. Memory that only the report contains may be free in the next.
REPORT_INTERVAL_SECONDS = 1.0


def predict_end(permit: Permit, now: float) -> float:
    """Return when a permit is expected to end; for an overdue one, `now` plus the overrun.

    Without this, a request behind work that never ends would wait until its deadline.
    """
    return permit.expected_end + 2 * max(0.0, now - permit.expected_end)


def estimate_free_at(endpoint: Endpoint, tokens: int, limit: int, now: float) -> float:
    """Return when an endpoint is expected to have `tokens` free and fewer than `limit` attempts.

    Returns
    -------
    float
        Monotonic seconds, at least `now`; infinity if the running attempts never free enough.
    """
    free = compute_free_tokens(endpoint)
    running = count_running(endpoint)
    if free >= tokens and running < limit:
        return now
    name = endpoint.announcement.endpoint
    ends = sorted(
        (predict_end(permit, now), permit.parts[name].tokens)
        for permit in endpoint.account.permits.values()
    )
    # Memory that only the load report contains is expected to be free after the last permit.
    left = endpoint.announcement.kv_capacity_tokens - endpoint.account.tokens
    ready = now
    for end, freed in ends:
        ready = end
        left += freed
        running -= 1
        if left >= tokens and running < limit:
            return ready
    if left < tokens:
        return math.inf
    return max(ready, now + REPORT_INTERVAL_SECONDS)


def estimate_endpoint_start(
    shard: Shard, entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings, now: float
) -> float:
    """Return when one endpoint is expected to take a request; infinity for never."""
    if not is_usable(endpoint, settings, now):
        return math.inf
    if endpoint.announcement.endpoint in entry.request.exclude:
        return math.inf
    if entry.priority is PriorityClass.GROUP:
        if not endpoint.ramp.warm:
            return math.inf
        capacity = endpoint.announcement.kv_capacity_tokens
        return estimate_free_at(endpoint, capacity, get_limit(endpoint), now)
    found = build_placement(shard, entry.request, endpoint, settings)
    if found.tokens > endpoint.announcement.kv_capacity_tokens:
        return math.inf
    if found.prefill > compute_prefill_limit(endpoint.ramp, settings.cold_prefill_tokens):
        return math.inf
    return estimate_free_at(endpoint, found.tokens, get_limit(endpoint), now)


def needs_exclusive(
    shard: Shard, entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings
) -> bool:
    """Return whether an endpoint is cold and a request exceeds its prefill limit."""
    if endpoint.ramp.warm:
        return False
    if entry.priority is PriorityClass.GROUP:
        return True
    found = build_placement(shard, entry.request, endpoint, settings)
    return found.prefill > compute_prefill_limit(endpoint.ramp, settings.cold_prefill_tokens)


def get_entry_limit(
    shard: Shard, entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings
) -> int:
    """Return the concurrency limit of an endpoint once a request runs on it."""
    return 1 if needs_exclusive(shard, entry, endpoint, settings) else get_limit(endpoint)


def compute_exclusive_start(
    entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings
) -> float:
    """Return the earliest time at which a waiting request may use a cold endpoint exclusively."""
    if endpoint.ramp.announced_cold:
        return entry.queued_at + settings.announced_cold_reservation_delay_seconds
    return entry.queued_at + settings.reservation_delay_seconds


def estimate_exclusive_endpoint_start(
    shard: Shard, entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings, now: float
) -> float:
    """Return when a request over the prefill limit may use a cold endpoint exclusively."""
    if not is_usable(endpoint, settings, now):
        return math.inf
    if endpoint.announcement.endpoint in entry.request.exclude:
        return math.inf
    if not needs_exclusive(shard, entry, endpoint, settings):
        return math.inf
    capacity = endpoint.announcement.kv_capacity_tokens
    tokens = compute_tokens(shard, entry.request)
    if entry.priority is PriorityClass.GROUP:
        tokens = capacity
    if tokens > capacity:
        return math.inf
    ready = estimate_free_at(endpoint, tokens, 1, now)
    return max(ready, compute_exclusive_start(entry, endpoint, settings))


def estimate_start(
    shard: Shard, entry: QueueEntry, settings: LimitsSettings, rng: random.Random, now: float
) -> float:
    """Return when a request is expected to start, estimated from a sample of the endpoints."""
    endpoints = list(shard.endpoints.values())
    if len(endpoints) > MAX_SAMPLED_ENDPOINTS:
        endpoints = rng.sample(endpoints, MAX_SAMPLED_ENDPOINTS)
    position = 1
    if entry.priority is PriorityClass.GROUP:
        largest = max(1, shard.largest_capacity)
        needed = math.ceil(compute_tokens(shard, entry.request) / largest)
        position = math.ceil(needed * len(endpoints) / max(1, len(shard.endpoints)))
        position = min(len(endpoints), max(1, position))
    if not endpoints:
        return math.inf
    ready = [estimate_endpoint_start(shard, entry, item, settings, now) for item in endpoints]
    start = sorted(ready)[position - 1]
    if start < math.inf:
        return start
    alone = (
        estimate_exclusive_endpoint_start(shard, entry, item, settings, now) for item in endpoints
    )
    return sorted(map(min, ready, alone))[position - 1]


def _is_exclusive_allowed(shard: Shard, entry: QueueEntry) -> bool:
    """Return whether a request may use a further cold endpoint exclusively.

    The long share limits requests for one endpoint, so that some endpoints stay free for short
    requests.
    """
    if entry.priority is PriorityClass.GROUP:
        return True
    used = sum(bool(item.account.exclusive) for item in shard.endpoints.values())
    return used < shard.long_share


def plan_reservation(
    shard: Shard, entry: QueueEntry, settings: LimitsSettings, now: float
) -> AdvanceReservation | None:
    """Select the endpoints that are free first; None if the usable ones lack the memory.

    Cold endpoints are used exclusively only if the others lack the memory. This checks every
    endpoint, once for each reservation.
    """
    ranked = []
    may_use_exclusive = _is_exclusive_allowed(shard, entry)
    for endpoint in shard.endpoints.values():
        ready = estimate_endpoint_start(shard, entry, endpoint, settings, now)
        if ready < math.inf:
            ranked.append((False, ready, endpoint.slot))
        elif may_use_exclusive and now >= compute_exclusive_start(entry, endpoint, settings):
            ready = estimate_exclusive_endpoint_start(shard, entry, endpoint, settings, now)
            if ready < math.inf:
                ranked.append((True, ready, endpoint.slot))
    heapq.heapify(ranked)
    tokens = compute_tokens(shard, entry.request)
    chosen: list[Endpoint] = []
    capacity, start = 0, now
    while ranked and (not chosen or capacity < tokens):
        _, ready, slot = heapq.heappop(ranked)
        chosen.append(shard.slots[slot])
        capacity += chosen[-1].announcement.kv_capacity_tokens
        start = max(start, ready)
    if not chosen or capacity < tokens:
        return None
    shares = {}
    left = tokens
    for position, endpoint in enumerate(chosen):
        own = endpoint.announcement.kv_capacity_tokens
        last = position == len(chosen) - 1
        share = left if last else min(left, math.ceil(tokens * own / max(1, capacity)))
        shares[endpoint.announcement.endpoint] = share
        left -= share
    incarnations = {item.announcement.endpoint: item.announcement.incarnation for item in chosen}
    return AdvanceReservation(entry, shares, incarnations, start)


def set_reservation(
    shard: Shard, reservation: AdvanceReservation | None, settings: LimitsSettings, now: float
) -> None:
    """Replace the advance reservation and mark its endpoints as reserved."""
    old = shard.reservation
    shard.reservation = reservation
    for current, reserved in ((old, False), (reservation, True)):
        for name in current.shares if current else ():
            endpoint = shard.endpoints.get(name)
            if endpoint is not None:
                endpoint.reserved = reserved
                refresh_endpoint(shard, name, settings, now)


def is_reservation_valid(shard: Shard, settings: LimitsSettings, now: float) -> bool:
    """Return whether the request still waits and all reserved endpoints can still serve it."""
    reservation = shard.reservation
    if reservation.entry.removed:
        return False
    for name, incarnation in reservation.incarnations.items():
        endpoint = shard.endpoints.get(name)
        if endpoint is None or endpoint.announcement.incarnation != incarnation:
            return False
        if not is_usable(endpoint, settings, now):
            return False
        if reservation.shares[name] > endpoint.announcement.kv_capacity_tokens:
            return False
        exclusive = needs_exclusive(shard, reservation.entry, endpoint, settings)
        # An endpoint of the group may have become cold, or announced itself cold, meanwhile.
        if exclusive and now < compute_exclusive_start(reservation.entry, endpoint, settings):
            return False
    return True


def is_reservation_ready(shard: Shard, settings: LimitsSettings) -> bool:
    """Return whether every reserved endpoint has its share free now."""
    for name, share in shard.reservation.shares.items():
        endpoint = shard.endpoints[name]
        if compute_free_tokens(endpoint) < share:
            return False
        if count_running(endpoint) >= get_entry_limit(
            shard, shard.reservation.entry, endpoint, settings
        ):
            return False
    return True
