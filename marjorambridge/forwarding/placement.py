"""Placement of requests at endpoints."""

import math
from enum import IntEnum

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.budgets import may_send_cold
from marjorambridge.forwarding.health import count_reporters, get_avoid_until, is_replaced
from marjorambridge.forwarding.hints import is_rejecting
from marjorambridge.forwarding.loads import (
    compute_outstanding_work,
    compute_remaining_prefill_seconds,
    count_kv_tokens,
    count_requests,
)
from marjorambridge.forwarding.request_limits import may_send_limited
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition, is_starting
from marjorambridge.manifests.models import ServiceDefinition
from marjorambridge.scheduling.estimates import get_slowdown, get_zone_delay

# Endpoints are ordered by a hash of 64 bits.
HASH_RANGE = 2**64


class AvoidReason(IntEnum):
    """Reasons to avoid an endpoint, the weakest one first."""

    NONE = 0
    COLD = 1
    REPORTED = 2
    FULL = 3
    UNRESPONSIVE = 4
    FAILED = 5


class RequestProfile(Struct):
    """The load and the objectives of a request.

    Attributes
    ----------
    prefill_seconds : float
        Time in which an idle engine prefills the prompt; 0 for plain services.
    objective_seconds, pause_seconds : float
        Longest time to the first event, and longest pause between two events, with which an answer
        is on time.
    remaining_seconds : float
        Time until the deadline of the request.
    kv_tokens : int
        Memory in tokens that the request needs at its end.
    waited_seconds : float
        Time since the request arrived, for planned services.
    is_planned : bool
        Whether its service is planned.
    urgency : int
        Rank in the order of requests that wait; 0 is first.
    workspace : str
        Workspace of the caller; empty if it has none.
    work_seconds : float
        Expected time of a request of a planned plain service, or in which an engine writes the
        answer.
    """

    service: str
    prefill_seconds: float = 0.0
    kv_tokens: int = 0
    objective_seconds: float = math.inf
    pause_seconds: float = math.inf
    remaining_seconds: float = math.inf
    waited_seconds: float = 0.0
    is_planned: bool = False
    urgency: int = 0
    workspace: str = ""
    work_seconds: float = 0.0

    @property
    def use_seconds(self) -> float:
        """Return the time for which the request is expected to occupy endpoints."""
        return self.prefill_seconds + self.work_seconds


def choose_endpoint(
    state: ForwardingState, profile: RequestProfile, excluded: frozenset[str], now: float
) -> Endpoint | None:
    """Return the endpoint at which a request waits least, or None if none can take it.

    The load pattern is a burst of short requests at engines that prefill long prompts: the
    outstanding prefill of all hosts decides, and then the number of running requests.
    """
    definition = find_definition(state, profile.service)
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
    return choose_active_engine(state, usable, sort_keys, profile, now)


def choose_active_engine(
    state: ForwardingState,
    usable: list[Endpoint],
    sort_keys: dict[str, tuple[float, ...]],
    profile: RequestProfile,
    now: float,
) -> Endpoint:
    """Return the least loaded of a few engines sampled from the active ones.

    In a large fleet many hosts decide on the same load reports before the next ones arrive. If all
    chose the least loaded engine, it would be full while others are idle, so each host samples
    engines at random. The active engines include a share of all engines beyond those that running
    requests fill, because a burst starts more requests than these can take before the first load
    report. Hosts without load reports, such as many that have just started together, can't compute
    how many engines are needed, so that all engines are active. Cold engines, which take few
    requests a second from each host, come after the warm ones; without them, a burst while many
    engines restart would queue at the warm ones.

    All hosts use the same active engines, regardless of their zone: if each zone used others, no
    engine without short answers would be left for long prompts. Among the active engines, those of
    the own zone are preferred.
    """
    best = min(sort_keys.values())[:2]
    allowed = (best, (AvoidReason.NONE, False), (AvoidReason.COLD, False))
    candidates = [endpoint for endpoint in usable if sort_keys[endpoint.name][:2] in allowed]
    candidates.sort(key=lambda endpoint: (sort_keys[endpoint.name][0], endpoint.order))
    running = sum(count_requests(endpoint) for endpoint in candidates)
    usable_slots = max(1, candidates[0].slots - defaults.PACKING_FREE_SLOTS)
    count = math.ceil(defaults.ACTIVE_ENGINE_MARGIN * running / usable_slots)
    count += defaults.ACTIVE_ENGINE_EXTRA + math.ceil(
        defaults.ACTIVE_ENGINE_RATIO * len(candidates)
    )
    zone_ratio = 1.0
    if now - state.loads_received_at > defaults.LOAD_STALE_SECONDS or is_starting(state, now):
        count, zone_ratio = len(candidates), 0.0
    active = candidates[:count]
    return min(
        state.generator.sample(active, min(len(active), defaults.ACTIVE_ENGINE_SAMPLE)),
        key=lambda endpoint: (
            sort_keys[endpoint.name][2:4],
            count_requests(endpoint)
            + state.generator.random() * usable_slots
            + compute_zone_requests(state, endpoint, profile, now) * zone_ratio,
        ),
    )


def compute_zone_requests(
    state: ForwardingState, endpoint: Endpoint, profile: RequestProfile, now: float
) -> float:
    """Return the cost of the zone of an engine, in running requests.

    For planned services the learned round-trip time raises it. It stays at least one request: the
    loads of the own zone are newer, and hosts that choose by older ones send to the same engines.
    In simulated fleets of 18 to 60 hosts, a cost of 0.1 requests lost 0.03 to 0.16 of all worth.
    """
    if endpoint.zone == state.settings.zone:
        return 0.0
    if not profile.is_planned:
        return defaults.OTHER_ZONE_COST_REQUESTS
    delay = get_zone_delay(state.costs, endpoint.zone, now)
    return max(defaults.OTHER_ZONE_COST_REQUESTS, delay / defaults.RUNNING_REQUEST_COST_SECONDS)


def is_usable(
    state: ForwardingState, endpoint: Endpoint, excluded: frozenset[str], now: float
) -> bool:
    """Return whether new requests may be sent to an endpoint."""
    return not (
        endpoint.leaving
        or is_replaced(endpoint, now)
        or endpoint.zone in state.drained
        or endpoint.name in excluded
        or is_rejecting(endpoint, now)
    )


def list_usable(
    state: ForwardingState, service: str, excluded: frozenset[str], now: float
) -> list[Endpoint]:
    """Return the endpoints of a service to which new requests may be sent."""
    return [
        endpoint
        for endpoint in state.by_service.get(service, {}).values()
        if is_usable(state, endpoint, excluded, now)
    ]


def can_start(
    state: ForwardingState, definition: ServiceDefinition, endpoint: Endpoint, now: float
) -> bool:
    """Return whether the limits of a cold or limited endpoint allow one more request."""
    if not may_send_limited(state, endpoint, now):
        return False
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
    """Return the sort key of an endpoint; the one with the least key is chosen.

    The first element puts failed and unresponsive endpoints last, and full or cold ones after those
    that can start a request immediately.
    """
    requests = count_requests(endpoint)
    avoid_reason = compute_avoid_reason(definition, endpoint, profile, requests, now)
    other_zone = 0.0 if endpoint.zone == state.settings.zone else defaults.OTHER_ZONE_COST_SECONDS
    slowdown = 1.0
    if profile.is_planned:
        slowdown = get_slowdown(endpoint, now)
        if other_zone:
            other_zone = get_zone_delay(state.costs, endpoint.zone, now)
    if definition.engine is None and profile.is_planned:
        # Requests of a plain service differ in their work; endpoints with the same number of
        # requests end them at very different times.
        outstanding = compute_outstanding_work(endpoint, profile.work_seconds, now)
        work = outstanding / max(1, endpoint.slots) + profile.work_seconds
        return avoid_reason, slowdown * work + other_zone
    if definition.engine is None:
        return avoid_reason, requests * defaults.RUNNING_REQUEST_COST_SECONDS + other_zone
    remaining_prefill = slowdown * compute_remaining_prefill_seconds(endpoint, now)
    is_late = (
        remaining_prefill + slowdown * profile.prefill_seconds
        > defaults.SHORT_PREFILL_PAUSE_RATIO * profile.pause_seconds
    )
    # Short requests are packed on few engines, so that the others have no answers that a long
    # prompt would stall; an engine decodes a full batch almost as fast as a single answer. In a
    # burst, requests go to the next engine as soon as one has waiting prompts, because these delay
    # one another.
    wait = remaining_prefill + other_zone if profile.is_planned else remaining_prefill
    waiting_prompts = int(wait / defaults.WAITING_PROMPT_PREFILL_SECONDS)
    if is_long_prompt_engine(endpoint):
        waiting_prompts += defaults.LONG_PROMPT_ENGINE_PENALTY_PROMPTS
    free_slots = max(0, endpoint.slots - defaults.PACKING_FREE_SLOTS - requests)
    return (
        avoid_reason,
        is_late,
        waiting_prompts,
        # Rounded, so that the engines of a slow series count as equal.
        round(slowdown),
        other_zone,
        free_slots if free_slots else endpoint.slots,
        endpoint.order,
    )


def is_long_prompt_engine(endpoint: Endpoint) -> bool:
    """Return whether an engine is reserved for long prompts.

    It gets short requests only when prompts wait at the other engines. All hosts reserve the same
    engines without a message, because `order` is a hash of the name.
    """
    return endpoint.order >= (1.0 - defaults.LONG_PROMPT_ENGINE_RATIO) * HASH_RANGE


def compute_avoid_reason(
    definition: ServiceDefinition,
    endpoint: Endpoint,
    profile: RequestProfile,
    requests: int,
    now: float,
) -> AvoidReason:
    """Return the strongest reason to avoid an endpoint for a request."""
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
    """Return whether an endpoint has the memory for one more request until its end."""
    if definition.engine is None or definition.engine.kv_tokens <= 0:
        return True
    return count_kv_tokens(endpoint) + profile.kv_tokens <= definition.engine.kv_tokens
