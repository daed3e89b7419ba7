"""Choose the endpoint of a request."""

import math
from enum import IntEnum

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.budgets import may_send_cold
from marjorambridge.forwarding.health import count_reporters, get_avoid_until
from marjorambridge.forwarding.hints import is_declining
from marjorambridge.forwarding.loads import (
    compute_remaining_prefill_seconds,
    count_kv_tokens,
    count_requests,
)
from marjorambridge.forwarding.state import Endpoint, ForwardingState, is_starting
from marjorambridge.manifests.models import ServiceDefinition

# Endpoints are ordered by a hash of 64 bits.
HASH_RANGE = 2**64


class AvoidReason(IntEnum):
    """Order the reasons to prefer another endpoint, the weakest one first."""

    NONE = 0
    COLD = 1
    REPORTED = 2
    FULL = 3
    UNRESPONSIVE = 4
    FAILED = 5


class RequestProfile(Struct):
    """Describe what a request asks of an endpoint.

    Attributes
    ----------
    prefill_seconds : float
        Time in which an idle engine reads the prompt; 0 for plain services.
    objective_seconds, pause_seconds : float
        Time to the first event, and pause between two events, that are still on time.
    remaining_seconds : float
        Time until nobody waits for the answer any longer.
    kv_tokens : int
        Memory in tokens that it needs at its end.
    """

    service: str
    prefill_seconds: float = 0.0
    kv_tokens: int = 0
    objective_seconds: float = math.inf
    pause_seconds: float = math.inf
    remaining_seconds: float = math.inf


def choose_endpoint(
    state: ForwardingState, profile: RequestProfile, excluded: frozenset[str], now: float
) -> Endpoint | None:
    """Return the endpoint at which a request waits least, or None if no one can take it.

    Bursts of short requests meet engines that read long prompts: the remaining reads of all hosts
    decide, and among equal ones the number of running requests.
    """
    definition = state.table.services.get(profile.service) if state.table else None
    if definition is None:
        return None
    usable = [
        endpoint
        for endpoint in list_usable(state, profile.service, excluded, now)
        if can_start(state, definition, endpoint, now)
    ]
    if not usable:
        return None
    state.generator.shuffle(usable)
    sort_keys = {
        endpoint.name: compute_sort_key(state, definition, endpoint, profile, now)
        for endpoint in usable
    }
    is_large = len(state.hosts) > defaults.LARGE_FLEET_HOSTS or is_starting(state, now)
    if definition.engine is None or not is_large:
        return min(usable, key=lambda endpoint: sort_keys[endpoint.name])
    return choose_active_engine(state, usable, sort_keys, now)


def choose_active_engine(
    state: ForwardingState,
    usable: list[Endpoint],
    sort_keys: dict[str, tuple[float, ...]],
    now: float,
) -> Endpoint:
    """Take the emptiest of a few engines drawn among those that are open for short requests.

    In a large fleet many hosts decide on the same news before they hear of one another. If all took
    the emptiest engine of all, it would be full while others are idle; each host draws other ones.
    A part of all engines is open beyond those that running requests fill: a burst starts more
    requests than that before anyone hears of the first. Hosts without news, such as many
    that have just started at once, can't tell how many engines are needed, and open all of them.
    Cold engines, which take few requests a second from each host, follow the warm ones: a burst
    while many engines restart would otherwise queue at the warm ones.

    All hosts open the same engines, whatever their zone: long prompts find no engine without short
    answers if each zone opens others. Within the open ones, those of the own zone come first.
    """
    best = min(sort_keys.values())[:2]
    allowed = (best, (AvoidReason.NONE, False), (AvoidReason.COLD, False))
    candidates = [endpoint for endpoint in usable if sort_keys[endpoint.name][:2] in allowed]
    candidates.sort(key=lambda endpoint: (sort_keys[endpoint.name][0], endpoint.order))
    running = sum(count_requests(endpoint) for endpoint in candidates)
    free_slots = max(1, candidates[0].slots - defaults.PACKING_FREE_SLOTS)
    count = math.ceil(defaults.ACTIVE_ENGINE_MARGIN * running / free_slots)
    count += defaults.ACTIVE_ENGINE_EXTRA + math.ceil(
        defaults.ACTIVE_ENGINE_RATIO * len(candidates)
    )
    other_zone = defaults.OTHER_ZONE_COST_REQUESTS
    if now - state.loads_received_at > defaults.LOAD_STALE_SECONDS or is_starting(state, now):
        count, other_zone = len(candidates), 0.0
    active = candidates[:count]
    return min(
        state.generator.sample(active, min(len(active), defaults.ACTIVE_ENGINE_SAMPLE)),
        key=lambda endpoint: (
            sort_keys[endpoint.name][2],
            count_requests(endpoint)
            + state.generator.random() * free_slots
            + (endpoint.zone != state.settings.zone) * other_zone,
        ),
    )


def is_usable(
    state: ForwardingState, endpoint: Endpoint, excluded: frozenset[str], now: float
) -> bool:
    """Return whether new requests may go to an endpoint at all."""
    return not (
        endpoint.leaving
        or endpoint.replaced
        or endpoint.zone in state.drained
        or endpoint.name in excluded
        or is_declining(endpoint, now)
    )


def list_usable(
    state: ForwardingState, service: str, excluded: frozenset[str], now: float
) -> list[Endpoint]:
    """Return the endpoints of a service to which new requests may go at all."""
    return [
        endpoint
        for endpoint in state.by_service.get(service, {}).values()
        if is_usable(state, endpoint, excluded, now)
    ]


def can_start(
    state: ForwardingState, definition: ServiceDefinition, endpoint: Endpoint, now: float
) -> bool:
    """Return whether the limit of a cold endpoint allows one more request."""
    rate = definition.cold_requests_per_second
    if now >= endpoint.cold_until or rate <= 0:
        return True
    return may_send_cold(state, endpoint, rate, now)


def compute_sort_key(
    state: ForwardingState,
    definition: ServiceDefinition,
    endpoint: Endpoint,
    profile: RequestProfile,
    now: float,
) -> tuple[float, ...]:
    """Return the sort key of an endpoint; the least one is chosen.

    The first part puts endpoints that failed or fell silent last, and full or cold ones after those
    that can begin at once.
    """
    requests = count_requests(endpoint)
    avoid_reason = compute_avoid_reason(definition, endpoint, profile, requests, now)
    other_zone = 0.0 if endpoint.zone == state.settings.zone else defaults.OTHER_ZONE_COST_SECONDS
    if definition.engine is None:
        return avoid_reason, requests * defaults.RUNNING_REQUEST_COST_SECONDS + other_zone
    remaining_prefill = compute_remaining_prefill_seconds(endpoint, now)
    is_late = (
        remaining_prefill + profile.prefill_seconds
        > defaults.SHORT_PREFILL_PAUSE_RATIO * profile.pause_seconds
    )
    # Short requests keep together, so that other engines are free of answers that a long prompt
    # would stall; an engine writes a full batch almost as fast as a single answer. In a burst they
    # go to the next engine as soon as one has prompts waiting, which delay one another.
    waiting_prompts = int(remaining_prefill / defaults.WAITING_PROMPT_PREFILL_SECONDS)
    if is_long_prompt_engine(endpoint):
        waiting_prompts += defaults.LONG_PROMPT_ENGINE_PENALTY_PROMPTS
    free_slots = max(0, endpoint.slots - defaults.PACKING_FREE_SLOTS - requests)
    return (
        avoid_reason,
        is_late,
        waiting_prompts,
        other_zone,
        free_slots if free_slots else endpoint.slots,
        endpoint.order,
    )


def is_long_prompt_engine(endpoint: Endpoint) -> bool:
    """Return whether an engine gets short requests only when the other ones are crowded.

    All hosts agree on these engines without a message, because the order is a hash.
    """
    return endpoint.order >= (1.0 - defaults.LONG_PROMPT_ENGINE_RATIO) * HASH_RANGE


def compute_avoid_reason(
    definition: ServiceDefinition,
    endpoint: Endpoint,
    profile: RequestProfile,
    requests: int,
    now: float,
) -> AvoidReason:
    """Return the greatest doubt that an endpoint begins a request at once."""
    if now < get_avoid_until(endpoint, now):
        return AvoidReason.FAILED
    if endpoint.silent:
        return AvoidReason.UNRESPONSIVE
    if requests >= endpoint.slots or not has_memory(definition, endpoint, profile):
        return AvoidReason.FULL
    if count_reporters(endpoint, now):
        return AvoidReason.REPORTED
    return AvoidReason.COLD if now < endpoint.cold_until else AvoidReason.NONE


def has_memory(definition: ServiceDefinition, endpoint: Endpoint, profile: RequestProfile) -> bool:
    """Return whether an endpoint's memory holds one more request to its end."""
    if definition.engine is None or definition.engine.kv_tokens <= 0:
        return True
    return count_kv_tokens(endpoint) + profile.kv_tokens <= definition.engine.kv_tokens
