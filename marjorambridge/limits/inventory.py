"""Report the endpoints of the owned shards to the issuer of orders."""

from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.core.events import ControlLeaderChanged
from marjorambridge.limits.shard import Endpoint
from marjorambridge.limits.state import LimitsState
from marjorambridge.orders.messages import EndpointInventory, EndpointSummary, LoadDemand

# Keeps a message far below the limit of a frame; a summary has a few hundred bytes.
SUMMARIES_PER_MESSAGE = 200


def handle_control_leader(state: LimitsState, event: ControlLeaderChanged) -> list[Effect]:
    """Store the leader; the next report to a new one is complete."""
    state.control_leader = event.leader
    state.last_inventory_at = float("-inf")
    state.reported_inventory.clear()
    state.reported_demand.clear()
    return []


def report_inventory(state: LimitsState, now: float) -> list[Effect]:
    """Send the announced state of endpoints where it changed, and the number of waiting requests.

    State that did not change is repeated every `INVENTORY_REPEAT_INTERVAL_SECONDS`, because
    messages may be lost.
    """
    if (
        not state.control_leader
        or now < state.last_inventory_at + defaults.INVENTORY_INTERVAL_SECONDS
    ):
        return []
    state.last_inventory_at = now
    summaries: list[EndpointSummary] = []
    reported: dict[str, tuple[float, EndpointSummary]] = {}
    waiting: dict[str, int] = {}
    for shard in state.shards.values():
        service = shard.identity.service
        waiting[service] = waiting.get(service, 0) + len(shard.queue.entries)
        for name, endpoint in shard.endpoints.items():
            summary = _summarize(endpoint)
            sent_at, sent = state.reported_inventory.get(name, (float("-inf"), None))
            if summary == sent and now < sent_at + defaults.INVENTORY_REPEAT_INTERVAL_SECONDS:
                continue
            reported[name] = (now, summary)
            summaries.append(replace(summary, age=now - endpoint.last_seen))
    known = {name for shard in state.shards.values() for name in shard.endpoints}
    kept = {name: item for name, item in state.reported_inventory.items() if name in known}
    state.reported_inventory = kept | reported
    effects: list[Effect] = [
        SendMessage(
            state.control_leader,
            EndpointInventory(tuple(summaries[start : start + SUMMARIES_PER_MESSAGE])),
        )
        for start in range(0, len(summaries), SUMMARIES_PER_MESSAGE)
    ]
    # A permit request names the service and no model, so the demand counts for the service.
    effects += [
        SendMessage(state.control_leader, LoadDemand(service, service, count))
        for service, count in waiting.items()
        if count or state.reported_demand.get(service)
    ]
    state.reported_demand = waiting
    return effects


def _summarize(endpoint: Endpoint) -> EndpointSummary:
    announced = endpoint.announcement
    return EndpointSummary(
        announced.endpoint,
        announced.incarnation,
        announced.service,
        announced.address,
        announced.models,
        announced.adapters,
        announced.role,
        announced.version,
        announced.checks_fencing,
        announced.leaving,
    )
