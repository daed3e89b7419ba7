"""Share the reading of a long prompt among engines.

The time to read a prompt grows with its square, and a short request that meets a long read waits
for it, as do the events of running answers. Parts that are short enough let both go on: the load
pattern is a stream of short questions with a few prompts that are a hundred times as long.
"""

import math

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import compute_remaining_reads, count_requests
from marjorambridge.forwarding.placement import is_usable
from marjorambridge.forwarding.state import Endpoint, ForwardingState


def choose_helpers(
    state: ForwardingState,
    first: Endpoint,
    read_seconds: float,
    excluded: frozenset[str],
    now: float,
) -> list[Endpoint]:
    """Return the engines that read parts of a prompt besides `first`.

    Parameters
    ----------
    first : Endpoint
        Engine that gets the request.
    read_seconds : float
        Time in which one idle engine reads the whole prompt.

    Returns
    -------
    list of Endpoint
        Engines with the least to read, and with few running answers among equal ones; none if the
        prompt is short.
    """
    parts = math.ceil(read_seconds / defaults.PART_READ_SECONDS)
    if parts < 2:
        return []
    candidates = [
        endpoint
        for endpoint in state.by_service.get(first.service, {}).values()
        if endpoint.name != first.name
        and is_usable(state, endpoint, excluded)
        and not endpoint.silent
        and now >= endpoint.avoid_until
        and now >= endpoint.cold_until
    ]
    state.generator.shuffle(candidates)
    candidates.sort(key=lambda endpoint: rank_helper(endpoint, now))
    return candidates[: min(parts - 1, defaults.MAX_HELPERS)]


def rank_helper(endpoint: Endpoint, now: float) -> float:
    """Return the sort key of a helper in seconds; the least ones are chosen."""
    running = count_requests(endpoint) * defaults.STALLED_ANSWER_SECONDS
    return compute_remaining_reads(endpoint, now) + running
