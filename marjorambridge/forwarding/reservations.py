"""Division of the memory of a prompt that no engine can hold alone.

The longest prompts need more memory than one engine has. Tickets reserve the missing part on other
engines before the request is sent. Either all tickets are reserved or none, which prevents a
deadlock between two such prompts.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.loads import count_kv_tokens
from marjorambridge.forwarding.placement import RequestProfile
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition


class MemoryShare(Struct):
    """The part of a prompt's memory that one engine holds."""

    endpoint: Endpoint
    tokens: int


def needs_reservations(state: ForwardingState, profile: RequestProfile) -> bool:
    """Return whether a request needs more memory than one engine has."""
    definition = find_definition(state, profile.service)
    if definition is None or definition.engine is None or definition.engine.kv_tokens <= 0:
        return False
    return profile.kv_tokens > definition.engine.kv_tokens * defaults.SINGLE_ENGINE_MEMORY_RATIO


def plan_memory_shares(
    state: ForwardingState, profile: RequestProfile, prefill_engines: list[Endpoint]
) -> list[MemoryShare]:
    """Divide the memory evenly among the fewest prefill engines that have enough of it free.

    Parameters
    ----------
    prefill_engines : list of Endpoint
        Engines that prefill the prompt; the first one gets the request and holds the memory
        without a ticket.

    Returns
    -------
    list of MemoryShare
        Shares of the engines after the first one; empty if there is not enough free memory.
    """
    definition = find_definition(state, profile.service)
    if definition is None or definition.engine is None:
        return []
    engine = definition.engine
    free_tokens = {
        endpoint.name: engine.kv_tokens * defaults.RESERVABLE_MEMORY_RATIO
        - count_kv_tokens(endpoint)
        for endpoint in prefill_engines
    }
    others = sorted(prefill_engines[1:], key=lambda endpoint: -free_tokens[endpoint.name])
    for count in range(1, len(others) + 1):
        tokens = math.ceil(profile.kv_tokens / (count + 1))
        if (
            tokens <= free_tokens[prefill_engines[0].name]
            and tokens <= free_tokens[others[count - 1].name]
        ):
            return [MemoryShare(endpoint, tokens) for endpoint in others[:count]]
    return []
