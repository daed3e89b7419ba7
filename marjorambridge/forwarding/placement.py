"""Choose the endpoint of a request."""

from dataclasses import dataclass

from marjorambridge.conf import defaults
from marjorambridge.forwarding.budgets import may_send_cold
from marjorambridge.forwarding.loads import (
    compute_remaining_reads,
    count_kv_tokens,
    count_requests,
)
from marjorambridge.forwarding.state import Endpoint, ForwardingState
from marjorambridge.manifests.models import ServiceDefinition


@dataclass(slots=True)
class Work:
    """Describe what a request asks of an endpoint.

    Attributes
    ----------
    read_seconds : float
        Time in which an idle engine reads the prompt; 0 for plain services.
    kv_tokens : int
        Memory in tokens that it needs at its end.
    """

    service: str
    read_seconds: float = 0.0
    kv_tokens: int = 0


def choose_endpoint(
    state: ForwardingState, work: Work, excluded: frozenset[str], now: float
) -> Endpoint | None:
    """Return the endpoint at which a request waits least, or None if no one can take it.

    Bursts of short requests meet engines that read long prompts: the remaining reads of all hosts
    decide, and among equal ones the number of running requests.
    """
    definition = state.table.services.get(work.service) if state.table else None
    if definition is None:
        return None
    usable = [
        endpoint
        for endpoint in state.by_service.get(work.service, {}).values()
        if is_usable(state, endpoint, excluded) and can_start(state, definition, endpoint, now)
    ]
    if not usable:
        return None
    state.generator.shuffle(usable)
    return min(usable, key=lambda endpoint: rank_endpoint(state, definition, endpoint, work, now))


def is_usable(state: ForwardingState, endpoint: Endpoint, excluded: frozenset[str]) -> bool:
    """Return whether new requests may go to an endpoint at all."""
    return not (
        endpoint.leaving
        or endpoint.gone
        or endpoint.zone in state.drained
        or endpoint.name in excluded
    )


def can_start(
    state: ForwardingState, definition: ServiceDefinition, endpoint: Endpoint, now: float
) -> bool:
    """Return whether the limit of a cold endpoint allows one more request."""
    rate = definition.cold_requests_per_second
    if now >= endpoint.cold_until or rate <= 0:
        return True
    return may_send_cold(state, endpoint, rate, now)


def rank_endpoint(
    state: ForwardingState,
    definition: ServiceDefinition,
    endpoint: Endpoint,
    work: Work,
    now: float,
) -> tuple[int, float]:
    """Return the sort key of an endpoint; the least one is chosen.

    The first part puts endpoints that failed or fell silent last, and full or cold ones after those
    that can begin at once.
    """
    requests = count_requests(endpoint)
    doubt = 0
    if now < endpoint.avoid_until:
        doubt = 4
    elif endpoint.silent:
        doubt = 3
    elif requests >= endpoint.slots or not _has_memory(definition, endpoint, work):
        doubt = 2
    elif now < endpoint.cold_until:
        doubt = 1
    wait = compute_remaining_reads(endpoint, now)
    wait += requests * defaults.RUNNING_REQUEST_SECONDS
    if endpoint.zone != state.settings.zone:
        wait += defaults.OTHER_ZONE_SECONDS
    return doubt, wait


def _has_memory(definition: ServiceDefinition, endpoint: Endpoint, work: Work) -> bool:
    if definition.engine is None or definition.engine.kv_tokens <= 0:
        return True
    return count_kv_tokens(endpoint) + work.kv_tokens <= definition.engine.kv_tokens
