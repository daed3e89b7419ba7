"""Tell the issuer of orders what the endpoints of the owned shards serve."""

from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.core.events import ControlLeaderChanged
from marjorambridge.limits.shard import Endpoint
from marjorambridge.limits.state import LimitsState
from marjorambridge.orders.messages import EndpointInventory, EndpointSummary, LoadDemand

# Keeps a message far below the largest frame; a summary has a few hundred bytes.
SUMMARIES_PER_MESSAGE = 200


def handle_leader(state: LimitsState, event: ControlLeaderChanged) -> list[Effect]:
    """Take over the leader; a new one gets everything at the next report."""
    state.control_leader = event.leader
    state.inventory_at = float("-inf")
    state.inventory.clear()
    state.demand.clear()
    return []


def report_inventory(state: LimitsState, now: float) -> list[Effect]:
    """Send what changed in the endpoints' announced state and the numbers of waiting callers.

    What did not change is repeated from time to time, because messages may be lost.
    """
    if not state.control_leader or now < state.inventory_at + defaults.INVENTORY_INTERVAL_SECONDS:
        return []
    state.inventory_at = now
    summaries: list[EndpointSummary] = []
    reported: dict[str, tuple[float, EndpointSummary]] = {}
    waiting: dict[str, int] = {}
    for shard in state.shards.values():
        service = shard.identity.service
        waiting[service] = waiting.get(service, 0) + len(shard.queue.entries)
        for name, endpoint in shard.endpoints.items():
            summary = _summarize(endpoint)
            sent_at, sent = state.inventory.get(name, (float("-inf"), None))
            if summary == sent and now < sent_at + defaults.INVENTORY_REPEAT_INTERVAL_SECONDS:
                continue
            reported[name] = (now, summary)
            summaries.append(replace(summary, age=now - endpoint.last_seen))
    known = {name for shard in state.shards.values() for name in shard.endpoints}
    kept = {name: item for name, item in state.inventory.items() if name in known}
    state.inventory = kept | reported
    effects: list[Effect] = [
        SendMessage(
            state.control_leader,
            EndpointInventory(tuple(summaries[start : start + SUMMARIES_PER_MESSAGE])),
        )
        for start in range(0, len(summaries), SUMMARIES_PER_MESSAGE)
    ]
    # A permit request names the service and no model, so the demand is that of the service.
    effects += [
        SendMessage(state.control_leader, LoadDemand(service, service, count))
        for service, count in waiting.items()
        if count or state.demand.get(service)
    ]
    state.demand = waiting
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
