"""Reserve endpoints in advance for a request that needs more than is free at once."""

import heapq
import math
import random

from marjorambridge.limits.admission import build_placement, compute_tokens
from marjorambridge.limits.ledger import Permit
from marjorambridge.limits.messages import PriorityClass
from marjorambridge.limits.queue import QueueEntry
from marjorambridge.limits.ramp import compute_limit, compute_prefill_limit
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    AdvanceReservation,
    Endpoint,
    Shard,
    compute_free_tokens,
    count_running,
    is_usable,
    refresh_endpoint,
)

# Endpoints that are looked at for the expected wait of one request.
SAMPLED_ENDPOINTS = 16

# Memory that only the load report counts is looked at again with the next report.
REPORT_SECONDS = 1.0


def predict_end(permit: Permit, now: float) -> float:
    """Return when a permit is expected to end; an overdue one lasts as long again.

    Without this, a request behind work that never ends would be held until its deadline.
    """
    return permit.expected_end + 2 * max(0.0, now - permit.expected_end)


def estimate_ready(endpoint: Endpoint, tokens: int, now: float) -> float:
    """Return when an endpoint is expected to have `tokens` of memory and a place free.

    Returns
    -------
    float
        Monotonic seconds, at least `now`; infinity if its running work never frees enough.
    """
    free = compute_free_tokens(endpoint)
    running = count_running(endpoint)
    limit = compute_limit(endpoint.ramp)
    if free >= tokens and running < limit:
        return now
    name = endpoint.announcement.endpoint
    ends = sorted(
        (predict_end(permit, now), permit.parts[name].tokens)
        for permit in endpoint.account.permits.values()
    )
    # Memory that only the load report knows is expected to end with the last permit.
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
    return max(ready, now + REPORT_SECONDS)


def estimate_fit(
    shard: Shard, entry: QueueEntry, endpoint: Endpoint, settings: LimitsSettings, now: float
) -> float:
    """Return when an endpoint is expected to take a request alone; infinity for never."""
    if not is_usable(endpoint, settings, now):
        return math.inf
    if endpoint.announcement.endpoint in entry.request.exclude:
        return math.inf
    if entry.priority is PriorityClass.GROUP:
        if not endpoint.ramp.warm:
            return math.inf
        return estimate_ready(endpoint, endpoint.announcement.kv_capacity_tokens, now)
    found = build_placement(shard, entry.request, endpoint, settings)
    if found.tokens > endpoint.announcement.kv_capacity_tokens:
        return math.inf
    if found.prefill > compute_prefill_limit(endpoint.ramp, settings.cold_prefill_tokens):
        return math.inf
    return estimate_ready(endpoint, found.tokens, now)


def estimate_start(
    shard: Shard, entry: QueueEntry, settings: LimitsSettings, rng: random.Random, now: float
) -> float:
    """Return when running work is expected to leave room for a request, from a sample."""
    endpoints = list(shard.endpoints.values())
    if len(endpoints) > SAMPLED_ENDPOINTS:
        endpoints = rng.sample(endpoints, SAMPLED_ENDPOINTS)
    ready = sorted(estimate_fit(shard, entry, item, settings, now) for item in endpoints)
    if not ready:
        return math.inf
    if entry.priority is not PriorityClass.GROUP:
        return ready[0]
    largest = max(1, shard.largest_capacity)
    needed = math.ceil(compute_tokens(shard, entry.request) / largest)
    position = math.ceil(needed * len(ready) / max(1, len(shard.endpoints)))
    return ready[min(len(ready), max(1, position)) - 1]


def plan_reservation(
    shard: Shard, entry: QueueEntry, settings: LimitsSettings, now: float
) -> AdvanceReservation | None:
    """Select the endpoints whose work ends first; None if the usable ones cannot hold it.

    This looks at every endpoint, and is done once for each reservation.
    """
    ranked = [
        (estimate_fit(shard, entry, endpoint, settings, now), endpoint.slot)
        for endpoint in shard.endpoints.values()
    ]
    ranked = [item for item in ranked if item[0] < math.inf]
    heapq.heapify(ranked)
    tokens = compute_tokens(shard, entry.request)
    chosen: list[Endpoint] = []
    capacity, start = 0, now
    while ranked and (not chosen or capacity < tokens):
        ready, slot = heapq.heappop(ranked)
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
    """Replace the advance reservation and close or open its endpoints for other work."""
    old = shard.reservation
    shard.reservation = reservation
    for held, reserved in ((old, False), (reservation, True)):
        for name in held.shares if held else ():
            endpoint = shard.endpoints.get(name)
            if endpoint is not None:
                endpoint.reserved = reserved
                refresh_endpoint(shard, name, settings, now)


def is_reservation_valid(shard: Shard, settings: LimitsSettings, now: float) -> bool:
    """Tell whether the request still waits and all its endpoints can still serve it."""
    held = shard.reservation
    if held.entry.gone:
        return False
    for name, incarnation in held.incarnations.items():
        endpoint = shard.endpoints.get(name)
        if endpoint is None or endpoint.announcement.incarnation != incarnation:
            return False
        if not is_usable(endpoint, settings, now):
            return False
        if held.shares[name] > endpoint.announcement.kv_capacity_tokens:
            return False
        if held.entry.priority is PriorityClass.GROUP and not endpoint.ramp.warm:
            return False
    return True


def is_reservation_ready(shard: Shard) -> bool:
    """Tell whether every reserved endpoint has its share free now."""
    for name, share in shard.reservation.shares.items():
        endpoint = shard.endpoints[name]
        if compute_free_tokens(endpoint) < share:
            return False
        if count_running(endpoint) >= compute_limit(endpoint.ramp):
            return False
    return True
