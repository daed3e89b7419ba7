"""Store the last summary of each shard, which counts less with its age."""

from marjorambridge.limits.messages import ShardSummary
from marjorambridge.routing.candidates import find_candidate
from marjorambridge.routing.state import ReceivedSummary, RoutingState


def record_summary(routing: RoutingState, summary: ShardSummary, now: float) -> None:
    """Store a summary that arrived with an owner's reply."""
    if find_candidate(routing, summary.shard) is not None:
        routing.summaries[summary.shard] = ReceivedSummary(summary, now)


def avoid_shard(routing: RoutingState, shard: str, until: float) -> None:
    """Choose a shard last until monotonic time `until`."""
    if find_candidate(routing, shard) is not None:
        routing.avoid_until[shard] = until


def compute_wait(routing: RoutingState, shard: str, now: float) -> float:
    """Return the expected wait in seconds by the last summary, reduced linearly to 0 with its age.

    A shard without a recent summary counts as free, so that permits are requested from it again.
    """
    received = routing.summaries.get(shard)
    if received is None:
        return 0.0
    left = 1.0 - (now - received.at) / routing.settings.summary_expiry
    return received.summary.expected_wait * left if left > 0.0 else 0.0


def compute_reported_wait(routing: RoutingState, shard: str, now: float) -> float:
    """Return the expected wait in seconds by the last summary, unreduced until it expires."""
    received = routing.summaries.get(shard)
    if received is None or now - received.at >= routing.settings.summary_expiry:
        return 0.0
    return received.summary.expected_wait


def is_avoided(routing: RoutingState, shard: str, now: float) -> bool:
    """Return whether a shard recently denied a permit or reported no endpoint that accepts work."""
    if routing.avoid_until.get(shard, now) > now:
        return True
    received = routing.summaries.get(shard)
    return (
        received is not None
        and received.summary.endpoints == 0
        and now - received.at < routing.settings.summary_expiry
    )
