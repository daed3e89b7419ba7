"""Spread the memory of a prompt that no engine can hold alone.

The longest prompts need more memory than one engine has. Tickets reserve the missing part on other
engines before the request is sent, all of them or none, so that two such prompts never hold what
the other one waits for.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import count_kv_tokens
from marjorambridge.forwarding.placement import RequestProfile
from marjorambridge.forwarding.state import Endpoint, ForwardingState


class MemoryShare(Struct):
    """Hold the part of a prompt's memory that one engine keeps."""

    endpoint: Endpoint
    tokens: int


def needs_reservations(state: ForwardingState, work: RequestProfile) -> bool:
    """Return whether a request needs more memory than one engine has."""
    definition = state.table.services.get(work.service) if state.table else None
    if definition is None or definition.engine is None or definition.engine.kv_tokens <= 0:
        return False
    return work.kv_tokens > definition.engine.kv_tokens * defaults.SINGLE_ENGINE_MEMORY_RATIO


def plan_memory_shares(
    state: ForwardingState, work: RequestProfile, readers: list[Endpoint]
) -> list[MemoryShare]:
    """Divide the memory evenly among as few of the readers as have enough of it free.

    Parameters
    ----------
    readers : list of Endpoint
        Engines that read the prompt; the first one gets the request and keeps what has no ticket.

    Returns
    -------
    list of Share
        Shares of the engines besides the first one; empty if the memory is not there.
    """
    engine = state.table.services[work.service].engine
    free = {
        endpoint.name: engine.kv_tokens * defaults.RESERVABLE_MEMORY_RATIO
        - count_kv_tokens(endpoint)
        for endpoint in readers
    }
    others = sorted(readers[1:], key=lambda endpoint: -free[endpoint.name])
    for count in range(1, len(others) + 1):
        tokens = math.ceil(work.kv_tokens / (count + 1))
        if tokens <= free[readers[0].name] and tokens <= free[others[count - 1].name]:
            return [MemoryShare(endpoint, tokens) for endpoint in others[:count]]
    return []
