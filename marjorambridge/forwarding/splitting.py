"""Choice of the engines that prefill a long prompt, each a prefill shard of it.

The prefill time grows with the square of the prompt length. Short requests at the same engine wait
for a long prefill, and so do the events of running answers. The load pattern is a stream of short
prompts with prompts among them that are a hundred times as long, in the worst case several at the
same time: long prompts use engines without short answers, as many as their objective needs.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import (
    compute_pause_limit,
    compute_remaining_prefill_seconds,
    count_requests,
)
from marjorambridge.forwarding.placement import (
    AvoidReason,
    RequestProfile,
    compute_avoid_reason,
    has_memory,
    list_usable,
)
from marjorambridge.forwarding.request_limits import is_limited, may_send_limited
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition, is_starting
from marjorambridge.manifests.models import ServiceDefinition

# An engine with at most this much outstanding prefill counts as idle, because that prefill ends
# before a new prefill shard starts.
MAX_IDLE_PREFILL_SECONDS = 0.02

# An engine that is full, or whose memory can't hold the whole prompt, can prefill a shard of it.
PREFILL_ALLOWED = frozenset({AvoidReason.NONE, AvoidReason.FULL})


def is_long_prompt(state: ForwardingState, profile: RequestProfile) -> bool:
    """Return whether a prompt is too long to be prefilled beside short answers.

    No prompt is long for a service that a new manifest has removed.
    """
    thresholds = state.thresholds.get(profile.service)
    return thresholds is not None and profile.prefill_seconds > thresholds.tolerated_prefill_seconds


def choose_prefill_engines(
    state: ForwardingState, profile: RequestProfile, excluded: frozenset[str], now: float
) -> list[Endpoint]:
    """Return the engines that prefill a long prompt; the first one gets the request.

    Returns
    -------
    list of Endpoint
        Empty if the engines that need not be avoided can't take the prompt.
    """
    definition = find_definition(state, profile.service)
    if definition is None:
        return []
    thresholds = state.thresholds[profile.service]
    eligible = [
        endpoint
        for endpoint in list_usable(state, profile.service, excluded, now)
        if compute_avoid_reason(definition, endpoint, profile, count_requests(endpoint), now)
        in PREFILL_ALLOWED
        and may_send_limited(state, endpoint, now)
    ]
    # A prefill shard is no request, but work for an endpoint in need.
    eligible = [endpoint for endpoint in eligible if not is_limited(endpoint)] or eligible
    candidates = [
        endpoint
        for endpoint in eligible
        if compute_pause_limit(endpoint) >= thresholds.strict_pause_limit_seconds
    ]
    waits = [_compute_wait(endpoint, now) for endpoint in candidates]
    waits.sort(key=lambda item: (item.seconds, -item.endpoint.order))
    if len(state.hosts) > defaults.LARGE_FLEET_HOSTS or is_starting(state, now):
        shuffle_idle_engines(state, waits)
    max_shard_seconds = thresholds.tolerated_prefill_seconds
    chosen = (
        choose_fewest(
            waits,
            profile,
            defaults.LONG_PREFILL_OBJECTIVE_RATIO * profile.objective_seconds,
            max_shard_seconds,
        )
        or choose_fewest(
            waits,
            profile,
            defaults.LATE_PREFILL_OBJECTIVE_RATIO * profile.objective_seconds,
            max_shard_seconds,
        )
        or choose_tolerated(eligible, profile, max_shard_seconds, now)
        or choose_fewest(
            waits,
            profile,
            _compute_late_limit(waits, profile, len(eligible)),
            max_shard_seconds=math.inf,
        )
    )
    return sort_by_capacity(definition, chosen, profile)


class EngineWait(Struct):
    """The outstanding prefill of an engine, and the longest one that its answers tolerate."""

    endpoint: Endpoint
    seconds: float
    tolerated_seconds: float


def shuffle_idle_engines(state: ForwardingState, waits: list[EngineWait]) -> None:
    """Shuffle the first idle engines, so that hosts with the same loads choose different ones.

    The engines after them get no long prompts and are left to the short requests that follow.
    """
    idle = [wait for wait in waits if wait.seconds <= MAX_IDLE_PREFILL_SECONDS]
    count = math.ceil(len(idle) * defaults.LONG_PROMPT_CANDIDATE_RATIO)
    waits[:count] = state.generator.sample(waits[:count], count)


def _compute_late_limit(waits: list[EngineWait], profile: RequestProfile, engines: int) -> float:
    """Return the seconds in which a prompt that can't be on time must be prefilled.

    It may occupy engines for long while most are idle. In a burst, prompts that can be on time need
    them.
    """
    limit = defaults.LATE_PROMPT_REMAINING_RATIO * profile.remaining_seconds
    idle = sum(
        wait.seconds <= MAX_IDLE_PREFILL_SECONDS and math.isinf(wait.tolerated_seconds)
        for wait in waits
    )
    if idle >= defaults.LATE_PROMPT_IDLE_ENGINE_RATIO * engines:
        return limit
    return min(limit, defaults.LATE_PROMPT_OBJECTIVES * profile.objective_seconds)


def _compute_wait(endpoint: Endpoint, now: float) -> EngineWait:
    return EngineWait(
        endpoint, compute_remaining_prefill_seconds(endpoint, now), compute_pause_limit(endpoint)
    )


def choose_fewest(
    waits: list[EngineWait], profile: RequestProfile, limit: float, max_shard_seconds: float
) -> list[Endpoint]:
    """Return the fewest engines that prefill a prompt within `limit` seconds; none if they can't.

    An engine whose answers would stall for too long is excluded. If there are enough engines, each
    prefill shard also takes at most `max_shard_seconds`. A late prompt occupies as few engines as
    possible, because it is worth less than others that could be on time.
    """
    best: list[Endpoint] = []
    for count in range(1, min(len(waits), defaults.MAX_HELPERS + 1) + 1):
        shard_seconds = profile.prefill_seconds / count
        fitting = [
            wait for wait in waits if wait.seconds + shard_seconds <= wait.tolerated_seconds
        ][:count]
        if len(fitting) < count or fitting[-1].seconds + shard_seconds > limit:
            continue
        best = [wait.endpoint for wait in fitting]
        if shard_seconds <= max_shard_seconds:
            break
    return best


def choose_tolerated(
    engines: list[Endpoint], profile: RequestProfile, max_shard_seconds: float, now: float
) -> list[Endpoint]:
    """Return engines that can prefill shards so short that running answers stay on time."""
    idle = [
        endpoint
        for endpoint in engines
        if compute_remaining_prefill_seconds(endpoint, now) <= MAX_IDLE_PREFILL_SECONDS
    ]
    idle.sort(key=count_requests)
    idle = idle[: defaults.MAX_HELPERS + 1]
    if not idle or profile.prefill_seconds / len(idle) > max_shard_seconds:
        return []
    return idle


def sort_by_capacity(
    definition: ServiceDefinition, chosen: list[Endpoint], profile: RequestProfile
) -> list[Endpoint]:
    """Put an engine with a free slot, and if possible with enough memory, first for the request."""

    def compute_key(endpoint: Endpoint) -> tuple[bool, bool]:
        is_full = count_requests(endpoint) >= endpoint.slots
        return is_full, not has_memory(definition, endpoint, profile)

    return sorted(chosen, key=compute_key)
