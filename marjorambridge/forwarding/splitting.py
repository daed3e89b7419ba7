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
    Doubt,
    RequestProfile,
    compute_doubt,
    has_memory,
    list_usable,
)
from marjorambridge.forwarding.state import Endpoint, ForwardingState, decides_alone
from marjorambridge.manifests.models import ServiceDefinition

# Less than this many seconds of waiting reads are gone before a new part is read.
IDLE_SECONDS = 0.02

# An engine that is full, or whose memory can't hold the whole prompt, still reads a part of it.
READABLE = frozenset({Doubt.NONE, Doubt.FULL})


def is_long_prompt(state: ForwardingState, work: RequestProfile) -> bool:
    """Return whether a prompt is too long to be read beside short answers.

    Nothing is long for a service that a new manifest has taken away.
    """
    thresholds = state.thresholds.get(work.service)
    return thresholds is not None and work.prefill_seconds > thresholds.harmless_read_seconds


def choose_prefill_engines(
    state: ForwardingState, work: RequestProfile, excluded: frozenset[str], now: float
) -> list[Endpoint]:
    """Return the engines that read a long prompt; the first one gets the request.

    Returns
    -------
    list of Endpoint
        Empty if no engine can take the prompt without doubt.
    """
    definition = state.table.services.get(work.service)
    if definition is None:
        return []
    thresholds = state.thresholds[work.service]
    trusted = [
        endpoint
        for endpoint in list_usable(state, work.service, excluded, now)
        if compute_doubt(definition, endpoint, work, count_requests(endpoint), now) in READABLE
    ]
    free = [
        endpoint
        for endpoint in trusted
        if compute_pause_limit(endpoint) >= thresholds.strict_pause_seconds
    ]
    waits = [_measure(endpoint, now) for endpoint in free]
    waits.sort(key=lambda item: (item.seconds, -item.endpoint.order))
    if len(state.hosts) > defaults.LARGE_FLEET_HOSTS or decides_alone(state, now):
        _shuffle_idle(state, waits)
    part = thresholds.harmless_read_seconds
    chosen = (
        _fit(waits, work, defaults.LONG_PREFILL_OBJECTIVE_RATIO * work.objective_seconds, part)
        or _fit(waits, work, defaults.LATE_PREFILL_OBJECTIVE_RATIO * work.objective_seconds, part)
        or _find_harmless(trusted, work, part, now)
        or _fit(waits, work, _compute_late_limit(waits, work, len(trusted)), part=math.inf)
    )
    return _put_first(definition, chosen, work)


class Wait(Struct):
    """Hold how long an engine still reads, and which pause its answers bear, in seconds."""

    endpoint: Endpoint
    seconds: float
    pause: float


def _shuffle_idle(state: ForwardingState, waits: list[Wait]) -> None:
    """Mix the first idle engines, so that hosts which decide on the same news choose others.

    Engines further down stay free of long prompts, for the short requests that follow.
    """
    idle = [wait for wait in waits if wait.seconds <= IDLE_SECONDS]
    count = math.ceil(len(idle) * defaults.LONG_PROMPT_CANDIDATE_RATIO)
    waits[:count] = state.generator.sample(waits[:count], count)


def _compute_late_limit(waits: list[Wait], work: RequestProfile, engines: int) -> float:
    """Return the seconds in which a prompt that can't be on time is read.

    It may keep engines for long while most are idle. In a burst it would keep them from prompts
    that can be on time.
    """
    limit = defaults.LATE_PROMPT_REMAINING_RATIO * work.remaining_seconds
    idle = sum(wait.seconds <= IDLE_SECONDS and math.isinf(wait.pause) for wait in waits)
    if idle >= defaults.LATE_PROMPT_IDLE_ENGINE_RATIO * engines:
        return limit
    return min(limit, defaults.LATE_PROMPT_OBJECTIVES * work.objective_seconds)


def _measure(endpoint: Endpoint, now: float) -> Wait:
    return Wait(
        endpoint, compute_remaining_prefill_seconds(endpoint, now), compute_pause_limit(endpoint)
    )


def _fit(waits: list[Wait], work: RequestProfile, limit: float, part: float) -> list[Endpoint]:
    """Return the fewest engines that read a prompt within `limit` seconds; none if they can't.

    An engine whose answers would stall for too long is left out. Parts also take at most `part`
    seconds if there are engines enough. A late prompt, which is worth less than others that could
    be on time, keeps as few engines as possible busy.
    """
    best: list[Endpoint] = []
    for count in range(1, min(len(waits), defaults.MAX_HELPERS + 1) + 1):
        read = work.prefill_seconds / count
        able = [wait for wait in waits if wait.seconds + read <= wait.pause][:count]
        if len(able) < count or able[-1].seconds + read > limit:
            continue
        best = [wait.endpoint for wait in able]
        if read <= part:
            break
    return best


def _find_harmless(
    engines: list[Endpoint], work: RequestProfile, part: float, now: float
) -> list[Endpoint]:
    """Return engines that read such short parts that running answers stay on time, if any do."""
    idle = [
        endpoint
        for endpoint in engines
        if compute_remaining_prefill_seconds(endpoint, now) <= IDLE_SECONDS
    ]
    idle.sort(key=count_requests)
    idle = idle[: defaults.MAX_HELPERS + 1]
    if not idle or work.prefill_seconds / len(idle) > part:
        return []
    return idle


def _put_first(
    definition: ServiceDefinition, chosen: list[Endpoint], work: RequestProfile
) -> list[Endpoint]:
    """Move the engine that gets the request to the front: it needs a slot, and memory at best."""

    def rank(endpoint: Endpoint) -> tuple[bool, bool]:
        is_full = count_requests(endpoint) >= endpoint.slots
        return is_full, not has_memory(definition, endpoint, work)

    return sorted(chosen, key=rank)
