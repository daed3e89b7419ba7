"""Record the engines that declined a request, and report them to the other hosts."""

from loguru import logger

from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.state import Endpoint, find_definition
from marjorambridge.gateway.state import Gateway
from marjorambridge.scheduling.rooms import record_decline

# Outcomes with which an engine, or one of its helpers, declines a request.
DECLINE_OUTCOMES = frozenset({AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED})


def note_decline(
    gateway: Gateway, endpoint: Endpoint, request_id: str, outcome: AttemptOutcome, now: float
) -> None:
    """Record that an engine of a planned service declined; do nothing for other outcomes."""
    if outcome not in DECLINE_OUTCOMES or endpoint.is_peer:
        return
    definition = find_definition(gateway.forwarding, endpoint.service)
    is_engine = definition is not None and definition.engine is not None
    if not is_engine or endpoint.service not in gateway.forwarding.planned:
        return
    seconds = record_decline(endpoint, now)
    gateway.share_load(endpoint)
    gateway.record_metric(Measure("declined_requests_total"))
    logger.bind(
        request=request_id,
        endpoint=endpoint.name,
        address=endpoint.address,
        reason=outcome.value,
        seconds=round(seconds, 3),
    ).info("an engine declined to help")
