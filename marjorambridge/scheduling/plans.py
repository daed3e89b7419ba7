"""Plan the prefill of a long prompt: how many engines it takes, which ones, and until when.

The load pattern is a burst of prompts of very different lengths beside short ones. A prompt that is
due in several seconds needs no sixteen engines: each further engine is one more whose answers may
stall, and one more whose failure stops the prompt. So a prompt takes the fewest engines with which
it is on time, and none whose answers would miss their pause objective.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.costs import compute_pass_seconds
from marjorambridge.forwarding.loads import (
    compute_pause_limit,
    compute_remaining_prefill_seconds,
    count_requests,
)
from marjorambridge.forwarding.placement import (
    AvoidReason,
    RequestProfile,
    can_start,
    compute_avoid_reason,
    list_usable,
)
from marjorambridge.forwarding.request_limits import is_limited
from marjorambridge.forwarding.splitting import (
    MAX_IDLE_PREFILL_SECONDS,
    EngineWait,
    choose_fewest,
    choose_tolerated,
    shuffle_idle_engines,
    sort_by_capacity,
)
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition
from marjorambridge.manifests.models import ServiceDefinition
from marjorambridge.scheduling.rooms import can_help

# A full engine can prefill a shard; a cold one takes few requests a second, but a prompt is one.
PLANNED_ALLOWED = frozenset({AvoidReason.NONE, AvoidReason.FULL, AvoidReason.COLD})


class PrefillPlan(Struct):
    """The engines that prefill a prompt, the one that gets the request first.

    Attributes
    ----------
    seconds : float
        Expected time until the prefill ends.
    is_on_time : bool
        Whether the first event is expected within the objective of the request.
    """

    engines: list[Endpoint]
    seconds: float
    is_on_time: bool


def plan_prefill(
    state: ForwardingState, profile: RequestProfile, excluded: frozenset[str], now: float
) -> PrefillPlan | None:
    """Return the plan for a long prompt, or None if the engines have no room for it at present."""
    definition = find_definition(state, profile.service)
    if definition is None or definition.engine is None:
        return None
    usable = list_usable(state, profile.service, excluded, now)
    waits = _list_waits(state, definition, profile, usable, now)
    tolerated = state.thresholds[profile.service].tolerated_prefill_seconds
    early_limit, latest_limit = (
        ratio * profile.objective_seconds - profile.waited_seconds
        for ratio in (defaults.EARLY_PREFILL_RATIO, defaults.LATEST_PREFILL_RATIO)
    )
    shard_limit = max(tolerated, defaults.SHARD_OBJECTIVE_RATIO * profile.objective_seconds)
    # A prefill that ends after the time limit serves nobody, even within a long objective.
    limits = [
        min(early_limit, defaults.LATE_PROMPT_REMAINING_RATIO * profile.remaining_seconds),
        min(latest_limit, profile.remaining_seconds),
    ]
    chosen: list[Endpoint] = []
    for limit in limits:
        chosen = choose_fewest(waits, profile, limit, shard_limit)
        if chosen:
            break
    if not chosen and limits[-1] > 0:
        engines = [wait.endpoint for wait in waits]
        chosen = choose_tolerated(engines, profile, min(tolerated, limits[-1]), now)
    is_on_time = bool(chosen)
    if not chosen:
        chosen = _choose_late(waits, len(usable), profile, shard_limit, limits[-1])
    if not chosen:
        return None
    by_name = {wait.endpoint.name: wait.seconds for wait in waits}
    seconds = max(by_name[engine.name] for engine in chosen)
    seconds += profile.prefill_seconds / len(chosen)
    return PrefillPlan(sort_by_capacity(definition, chosen, profile), seconds, is_on_time)


def compute_least_seconds(profile: RequestProfile) -> float:
    """Return the time in which as many idle engines as a request may use prefill a prompt."""
    return profile.prefill_seconds / (defaults.MAX_HELPERS + 1)


def _list_waits(
    state: ForwardingState,
    definition: ServiceDefinition,
    profile: RequestProfile,
    usable: list[Endpoint],
    now: float,
) -> list[EngineWait]:
    """Return the engines that may take a prefill shard, those that start it first at the front."""
    assert definition.engine is not None, "only engines prefill prompts"
    one_pass = compute_pass_seconds(definition.engine)
    eligible = [
        endpoint
        for endpoint in usable
        if compute_avoid_reason(definition, endpoint, profile, count_requests(endpoint), now)
        in PLANNED_ALLOWED
        and can_help(endpoint, now)
        and not _is_reading_own(endpoint)
        and can_start(state, definition, endpoint, now)
    ]
    # A prefill shard is no request, but work for an endpoint in need.
    eligible = [endpoint for endpoint in eligible if not is_limited(endpoint)] or eligible
    waits = [
        EngineWait(
            endpoint,
            compute_remaining_prefill_seconds(endpoint, now),
            _compute_tolerated_seconds(endpoint, one_pass),
        )
        for endpoint in eligible
    ]
    waits.sort(key=lambda item: (item.seconds, -item.endpoint.order))
    shuffle_idle_engines(state, waits)
    return waits


def _is_reading_own(endpoint: Endpoint) -> bool:
    """Return whether an engine prefills the prompt of a request that it has itself.

    Engines read shards for others first, so that each further one delays that request.
    """
    loads = (endpoint.load, *endpoint.other_loads.values())
    return any(load.reads > load.helps for load in loads)


def _compute_tolerated_seconds(endpoint: Endpoint, one_pass: float) -> float:
    """Return the prefill beside which the answers of an engine meet their pause objective.

    An event comes after the prefill and one pass, so that the pass is part of the pause.
    """
    pause_limit = compute_pause_limit(endpoint)
    if math.isinf(pause_limit):
        return math.inf
    return max(0.0, defaults.TOLERATED_PREFILL_RATIO * (pause_limit - one_pass))


def _choose_late(
    waits: list[EngineWait],
    engines: int,
    profile: RequestProfile,
    shard_limit: float,
    on_time_limit: float,
) -> list[Endpoint]:
    """Return engines for a prompt that can't be on time any more, from the idle ones.

    While most engines are busy, prompts that can be on time need them.

    Parameters
    ----------
    engines : int
        Number of usable engines, with those that can't take a prefill shard at present.
    """
    most = min(engines, defaults.MAX_HELPERS + 1)
    if on_time_limit > profile.prefill_seconds / max(1, most):
        # The engines are busy, but the prompt can still be on time when they become free.
        return []
    idle = [
        wait
        for wait in waits
        if wait.seconds <= MAX_IDLE_PREFILL_SECONDS and math.isinf(wait.tolerated_seconds)
    ]
    if len(idle) < defaults.PLANNED_LATE_IDLE_RATIO * engines:
        return []
    limit = defaults.LATE_PROMPT_REMAINING_RATIO * profile.remaining_seconds
    return choose_fewest(idle, profile, limit, shard_limit)
