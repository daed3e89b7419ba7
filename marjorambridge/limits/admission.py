"""Choose the endpoint of one request within the limits of its shard."""

from msgspec import Struct

from marjorambridge.limits.messages import PermitRequest, PriorityClass
from marjorambridge.limits.placement import find_least_work
from marjorambridge.limits.prefix import count_cached_blocks, find_cached_endpoints
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    RANK_SCALE,
    Endpoint,
    Shard,
    compute_rank,
    count_interactive_reserve,
    has_capacity,
    is_usable,
)

# Endpoints with a cached prefix that are compared with the one with the least work.
MAX_PREFIX_CANDIDATES = 4


class Placement(Struct):
    """An endpoint that can take a request, and the cost of the request on it.

    Attributes
    ----------
    exclusive : bool
        Whether the endpoint is cold and the prefill exceeds its limit, so that nothing else may run
        on it at the same time.
    """

    endpoint: Endpoint
    tokens: int
    prefill: int
    cached_tokens: int
    priority: PriorityClass
    exclusive: bool = False


def classify_prefill(prefill: int, settings: LimitsSettings) -> PriorityClass:
    """Return the class of a request that one endpoint can take.

    Examples
    --------
    >>> classify_prefill(8_193, LimitsSettings()).value
    'batch'
    """
    if prefill <= settings.max_interactive_prefill_tokens:
        return PriorityClass.INTERACTIVE
    if prefill <= settings.max_batch_prefill_tokens:
        return PriorityClass.BATCH
    return PriorityClass.LONG


def compute_tokens(shard: Shard, request: PermitRequest) -> int:
    """Return the KV memory that a request needs, in tokens; 0 for plain services."""
    if shard.largest_capacity == 0:
        return 0
    return request.prompt_tokens + request.output_tokens


def count_cached_tokens(shard: Shard, request: PermitRequest, endpoint: str) -> int:
    """Return how many prompt tokens are expected in the prefix cache of an endpoint."""
    count = count_cached_blocks(shard.prefix, endpoint, request.prefix)
    if count == 0 or count > len(request.prefix_tokens):
        return 0
    # The engine computes at least the last prompt token, to generate the first output token.
    return max(0, min(request.prefix_tokens[count - 1], request.prompt_tokens - 1))


def classify_request(
    shard: Shard, request: PermitRequest, settings: LimitsSettings
) -> PriorityClass:
    """Return the class of a request on the endpoint that has the longest cached prefix of it."""
    tokens = compute_tokens(shard, request)
    if tokens > shard.largest_capacity:
        return PriorityClass.GROUP
    if tokens == 0:
        return PriorityClass.INTERACTIVE
    cached_endpoints = find_cached_endpoints(shard.prefix, request.prefix, 1)
    cached = count_cached_tokens(shard, request, cached_endpoints[0]) if cached_endpoints else 0
    return classify_prefill(request.prompt_tokens - cached, settings)


def is_long_share_used(shard: Shard) -> bool:
    """Return whether as many endpoints run long prefills as the long share allows."""
    return len(shard.long_endpoints) >= shard.long_share


def _is_long_allowed(shard: Shard, endpoint: Endpoint) -> bool:
    """Return whether a long prefill may start on an endpoint, which runs one at a time."""
    return not endpoint.account.long_prefills and not is_long_share_used(shard)


def uses_interactive_reserve(shard: Shard, endpoint: Endpoint, priority: PriorityClass) -> bool:
    """Return whether a request of this class would use an endpoint of the interactive reserve."""
    if priority is PriorityClass.INTERACTIVE:
        return False
    if endpoint.announcement.endpoint in shard.non_interactive_endpoints:
        return False
    limit = shard.totals.endpoints - count_interactive_reserve(shard)
    return len(shard.non_interactive_endpoints) >= limit


def build_placement(
    shard: Shard, request: PermitRequest, endpoint: Endpoint, settings: LimitsSettings
) -> Placement:
    """Return the cost of a request on an endpoint."""
    tokens = compute_tokens(shard, request)
    cached = count_cached_tokens(shard, request, endpoint.announcement.endpoint) if tokens else 0
    # The prefill limit of a cold endpoint must hold even if its cache lacks expected blocks.
    prefill = request.prompt_tokens - (cached if endpoint.ramp.warm else 0) if tokens else 0
    return Placement(endpoint, tokens, prefill, cached, classify_prefill(prefill, settings))


def check_endpoint(
    shard: Shard,
    request: PermitRequest,
    endpoint: Endpoint,
    settings: LimitsSettings,
    now: float,
    exclusive: bool = False,
) -> Placement | None:
    """Return the placement on one endpoint if it can take the request now.

    Parameters
    ----------
    exclusive : bool
        Whether the request may exceed the prefill limit, because its advance reservation is ready:
        nothing else runs on the endpoint and its memory is free.
    """
    if endpoint.announcement.endpoint in request.exclude or not is_usable(endpoint, settings, now):
        return None
    found = build_placement(shard, request, endpoint, settings)
    if found.priority is PriorityClass.LONG and not _is_long_allowed(shard, endpoint):
        return None
    if exclusive:
        found.exclusive = True
        return found
    return found if has_capacity(endpoint, found.tokens, found.prefill, settings) else None


def choose_endpoint(
    shard: Shard, request: PermitRequest, settings: LimitsSettings, now: float
) -> Placement | None:
    """Return the endpoint with the least prefill work, cached tokens subtracted.

    A request that is not interactive uses an endpoint of the interactive reserve only if no other
    endpoint can take it now, because a short prompt would wait there for a whole prefill chunk.

    Returns
    -------
    Placement or None
        None if no endpoint outside of the advance reservation can take the request now.
    """
    found = _choose_endpoint(shard, request, settings, now, True)
    prefill = classify_prefill(request.prompt_tokens, settings)
    if found is not None or prefill is PriorityClass.INTERACTIVE:
        return found
    return _choose_endpoint(shard, request, settings, now, False)


def _choose_endpoint(
    shard: Shard,
    request: PermitRequest,
    settings: LimitsSettings,
    now: float,
    respect_reserve: bool,
) -> Placement | None:
    """Return the best endpoint or None; `respect_reserve` leaves out the interactive reserve."""
    best: Placement | None = None
    best_cost = 0
    for name in find_cached_endpoints(shard.prefix, request.prefix, MAX_PREFIX_CANDIDATES):
        endpoint = shard.endpoints.get(name)
        if endpoint is None or endpoint.reserved:
            continue
        found = check_endpoint(shard, request, endpoint, settings, now)
        if found is not None and not (
            respect_reserve and uses_interactive_reserve(shard, endpoint, found.priority)
        ):
            cost = _compute_cost(found)
            if best is None or cost < best_cost:
                best, best_cost = found, cost

    tokens = compute_tokens(shard, request)
    prefill = request.prompt_tokens if tokens else 0
    priority = classify_prefill(prefill, settings)
    is_long = priority is PriorityClass.LONG
    if is_long and is_long_share_used(shard):
        return best

    def allow(slot: int) -> bool:
        endpoint = shard.slots[slot]
        return (
            endpoint is not None
            and is_usable(endpoint, settings, now)
            and endpoint.announcement.endpoint not in request.exclude
            and not (is_long and endpoint.account.long_prefills)
            and not (respect_reserve and uses_interactive_reserve(shard, endpoint, priority))
        )

    is_interactive = priority is PriorityClass.INTERACTIVE
    index = shard.interactive_placement if is_interactive else shard.placement
    slot = find_least_work(index, tokens, prefill, allow)
    if slot is None:
        return best
    found = build_placement(shard, request, shard.slots[slot], settings)
    return found if best is None or _compute_cost(found) < best_cost else best


def _compute_cost(placement: Placement) -> int:
    """Return the prefill work before the first token, for comparison with other placements."""
    is_interactive = placement.priority is PriorityClass.INTERACTIVE
    return compute_rank(placement.endpoint, is_interactive) + placement.prefill * RANK_SCALE
