"""Derive the owners of shards from the configuration and the view."""

from marjorambridge.core.view import ShardId, View, compute_owner
from marjorambridge.limits.state import LimitsState


def find_owner(state: LimitsState, shard: ShardId, view: View | None = None) -> str | None:
    """Return the owner of a shard in a view, by default the present one; None without a view."""
    view = view or state.view
    if view is None or state.configuration is None:
        return None
    zone = state.configuration.zones.get(shard.zone)
    return compute_owner(view, shard, zone.region) if zone is not None else None


def list_region_shards(state: LimitsState) -> list[ShardId]:
    """Return all shards of this host's region, including those of zones that are out of service.

    The owner of a shard in such a zone keeps its ledger, because attempts may still run.
    """
    configuration = state.configuration
    if configuration is None:
        return []
    return [
        ShardId(service.name, zone, bucket)
        for service in configuration.services.values()
        for zone in service.zones
        if zone in configuration.zones and configuration.zones[zone].region == state.region
        for bucket in range(max(1, service.buckets))
    ]
