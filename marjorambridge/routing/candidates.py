"""Find the shards of a service that are in service, and their owners."""

from marjorambridge.configuration.models import Configuration, list_shards
from marjorambridge.core.view import View, compute_owner, parse_shard_id
from marjorambridge.routing.state import Candidate, Candidates, RoutingState


def apply_configuration(routing: RoutingState, configuration: Configuration) -> None:
    """Apply a new configuration and remove shards that no longer exist."""
    routing.configuration = configuration
    routing.candidates.clear()
    names = {
        str(shard)
        for service in configuration.services.values()
        for shard in list_shards(configuration, service)
    }
    for table in (routing.summaries, routing.avoid_until):
        for shard in [shard for shard in table if shard not in names]:
            del table[shard]


def apply_view(routing: RoutingState, view: View) -> None:
    """Apply a new view; denials of earlier owners do not apply to the present ones."""
    routing.view = view
    routing.candidates.clear()
    routing.owners.clear()
    routing.avoid_until.clear()


def find_owner(routing: RoutingState, shard: str, region: str) -> str | None:
    """Return a shard's owner under the present view, or None if the region has no live host."""
    if shard not in routing.owners:
        routing.owners[shard] = compute_owner(routing.view, parse_shard_id(shard), region)
    return routing.owners[shard]


def find_candidates(routing: RoutingState, service_name: str) -> Candidates:
    """Return the shards of a service in zones in service whose region has an owner."""
    found = routing.candidates.get(service_name)
    if found is not None:
        return found
    found = Candidates([], [])
    service = routing.configuration.services.get(service_name)
    for shard in list_shards(routing.configuration, service) if service else []:
        region = routing.configuration.zones[shard.zone].region
        owner = find_owner(routing, str(shard), region)
        if owner is not None:
            target = found.local if region == routing.region else found.remote
            target.append(Candidate(str(shard), region, owner))
    routing.candidates[service_name] = found
    return found


def find_candidate(routing: RoutingState, shard: str) -> Candidate | None:
    """Return a shard with its present owner, or None if it is not in service."""
    found = find_candidates(routing, parse_shard_id(shard).service)
    for candidate in (*found.local, *found.remote):
        if candidate.shard == shard:
            return candidate
    return None
