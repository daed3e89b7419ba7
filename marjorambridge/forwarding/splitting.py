"""Choose the engines that read a long prompt, each a part of it.

The time to read a prompt grows with its square. A short request that meets a long read waits for
it, and so do the events of running answers. The load pattern is a stream of short questions with
prompts among them that are a hundred times as long, several at once at worst: long prompts keep to
engines without short answers, and take as many of them as their objective needs.
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
from marjorambridge.forwarding.state import Endpoint, ForwardingState, is_starting
from marjorambridge.manifests.models import ServiceDefinition

# Less than this many seconds of waiting reads are gone before a new part is read.
MAX_IDLE_PREFILL_SECONDS = 0.02

# An engine that is full, or whose memory can't hold the whole prompt, still reads a part of it.
PREFILL_ALLOWED = frozenset({AvoidReason.NONE, AvoidReason.FULL})


def is_long_prompt(state: ForwardingState, profile: RequestProfile) -> bool:
    """Return whether a prompt is too long to be read beside short answers.

    Nothing is long for a service that a new manifest has taken away.
    """
    thresholds = state.thresholds.get(profile.service)
    return thresholds is not None and profile.prefill_seconds > thresholds.tolerated_prefill_seconds


def choose_prefill_engines(
    state: ForwardingState, profile: RequestProfile, excluded: frozenset[str], now: float
) -> list[Endpoint]:
    """Return the engines that read a long prompt; the first one gets the request.

    Returns
    -------
    list of Endpoint
        Empty if no engine can take the prompt without doubt.
    """
    definition = state.table.services.get(profile.service)
    if definition is None:
        return []
    thresholds = state.thresholds[profile.service]
    eligible = [
        endpoint
        for endpoint in list_usable(state, profile.service, excluded, now)
        if compute_avoid_reason(definition, endpoint, profile, count_requests(endpoint), now)
        in PREFILL_ALLOWED
    ]
    candidates = [
        endpoint
        for endpoint in eligible
        if compute_pause_limit(endpoint) >= thresholds.strict_pause_limit_seconds
    ]
    waits = [_compute_wait(endpoint, now) for endpoint in candidates]
    waits.sort(key=lambda item: (item.seconds, -item.endpoint.order))
    if len(state.hosts) > defaults.LARGE_FLEET_HOSTS or is_starting(state, now):
        _shuffle_idle_engines(state, waits)
    max_shard_seconds = thresholds.tolerated_prefill_seconds
    chosen = (
        _choose_fewest(
            waits,
            profile,
            defaults.LONG_PREFILL_OBJECTIVE_RATIO * profile.objective_seconds,
            max_shard_seconds,
        )
        or _choose_fewest(
            waits,
            profile,
            defaults.LATE_PREFILL_OBJECTIVE_RATIO * profile.objective_seconds,
            max_shard_seconds,
        )
        or _choose_tolerated(eligible, profile, max_shard_seconds, now)
        or _choose_fewest(
            waits,
            profile,
            _compute_late_limit(waits, profile, len(eligible)),
            max_shard_seconds=math.inf,
        )
    )
    return _sort_by_capacity(definition, chosen, profile)


class EngineWait(Struct):
    """Hold how long an engine still reads, and which pause its answers bear, in seconds."""

    endpoint: Endpoint
    seconds: float
    pause_limit: float


def _shuffle_idle_engines(state: ForwardingState, waits: list[EngineWait]) -> None:
    """Mix the first idle engines, so that hosts which decide on the same news choose others.

    Engines further down stay free of long prompts, for the short requests that follow.
    """
    idle = [wait for wait in waits if wait.seconds <= MAX_IDLE_PREFILL_SECONDS]
    count = math.ceil(len(idle) * defaults.LONG_PROMPT_CANDIDATE_RATIO)
    waits[:count] = state.generator.sample(waits[:count], count)


def _compute_late_limit(waits: list[EngineWait], profile: RequestProfile, engines: int) -> float:
    """Return the seconds in which a prompt that can't be on time is read.

    It may keep engines for long while most are idle. In a burst it would keep them from prompts
    that can be on time.
    """
    limit = defaults.LATE_PROMPT_REMAINING_RATIO * profile.remaining_seconds
    idle = sum(
        wait.seconds <= MAX_IDLE_PREFILL_SECONDS and math.isinf(wait.pause_limit) for wait in waits
    )
    if idle >= defaults.LATE_PROMPT_IDLE_ENGINE_RATIO * engines:
        return limit
    return min(limit, defaults.LATE_PROMPT_OBJECTIVES * profile.objective_seconds)


def _compute_wait(endpoint: Endpoint, now: float) -> EngineWait:
    return EngineWait(
        endpoint, compute_remaining_prefill_seconds(endpoint, now), compute_pause_limit(endpoint)
    )


def _choose_fewest(
    waits: list[EngineWait], profile: RequestProfile, limit: float, max_shard_seconds: float
) -> list[Endpoint]:
    """Return the fewest engines that read a prompt within `limit` seconds; none if they can't.

    An engine whose answers would stall for too long is left out. Parts also take at most `part`
    seconds if there are engines enough. A late prompt, which is worth less than others that could
    be on time, keeps as few engines as possible busy.
    """
    best: list[Endpoint] = []
    for count in range(1, min(len(waits), defaults.MAX_HELPERS + 1) + 1):
        shard_seconds = profile.prefill_seconds / count
        fitting = [wait for wait in waits if wait.seconds + shard_seconds <= wait.pause_limit][
            :count
        ]
        if len(fitting) < count or fitting[-1].seconds + shard_seconds > limit:
            continue
        best = [wait.endpoint for wait in fitting]
        if shard_seconds <= max_shard_seconds:
            break
    return best


def _choose_tolerated(
    engines: list[Endpoint], profile: RequestProfile, max_shard_seconds: float, now: float
) -> list[Endpoint]:
    """Return engines that read such short parts that running answers stay on time, if any do."""
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


def _sort_by_capacity(
    definition: ServiceDefinition, chosen: list[Endpoint], profile: RequestProfile
) -> list[Endpoint]:
    """Move the engine that gets the request to the front: it needs a slot, and memory at best."""

    def compute_key(endpoint: Endpoint) -> tuple[bool, bool]:
        is_full = count_requests(endpoint) >= endpoint.slots
        return is_full, not has_memory(definition, endpoint, profile)

    return sorted(chosen, key=compute_key)
