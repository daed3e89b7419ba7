"""Application of updates of endpoints, zones and manifests that replicas publish."""

import xxhash

from marjorambridge.control.messages import EndpointEntry, FeedUpdate
from marjorambridge.forwarding.hints import restore_hints, save_hints
from marjorambridge.forwarding.state import Endpoint, ForwardingState, find_definition
from marjorambridge.forwarding.thresholds import derive_thresholds
from marjorambridge.manifests.matching import build_route_table
from marjorambridge.manifests.models import Manifest
from marjorambridge.scheduling.activation import list_planned_services

# Keys of endpoints have 31 bits, which take five bytes in a datagram.
KEY_MASK = 2**31 - 1


def apply_manifest(state: ForwardingState, manifest: Manifest) -> bool:
    """Apply a manifest if it is newer than the current one; return whether it was."""
    if state.table is not None and manifest.version <= state.table.manifest.version:
        return False
    state.table = build_route_table(manifest)
    state.thresholds = {
        name: derive_thresholds(manifest, definition)
        for name, definition in state.table.services.items()
    }
    state.planned = list_planned_services(manifest, state.settings.scheduling)
    for endpoint in state.endpoints.values():
        endpoint.is_planned = endpoint.service in state.planned
    return True


def apply_zones(state: ForwardingState, update: FeedUpdate, now: float) -> None:
    """Update the drained zones; endpoints of a zone that is restored count as cold."""
    restored = dict(zip(update.restored, update.restored_at, strict=True))
    for zone, index in restored.items():
        if state.restored.get(zone, 0) >= index:
            continue
        for endpoint in state.endpoints.values():
            if endpoint.zone == zone:
                cold_seconds = get_cold_start_seconds(state, endpoint.service)
                endpoint.cold_until = max(endpoint.cold_until, now + cold_seconds)
    state.restored = restored
    state.drained = frozenset(update.drained)


def get_cold_start_seconds(state: ForwardingState, service: str) -> float:
    """Return the time for which an endpoint of a service stays cold; 0 if unknown."""
    definition = find_definition(state, service)
    return definition.cold_start_seconds if definition else 0.0


def apply_endpoints(state: ForwardingState, update: FeedUpdate, now: float) -> None:
    """Apply the changes of endpoints.

    Endpoints that are missing in a complete table are kept as unresponsive ones, because a replica
    that has just started has not received the reports of all endpoints yet.
    """
    for entry in update.changed:
        apply_entry(state, entry, now)
    for name in update.removed:
        remove_endpoint(state, name, now)
    if update.base < 0:
        named = {entry.endpoint for entry in update.changed}
        for name, endpoint in state.endpoints.items():
            if name not in named:
                endpoint.silent = True


def apply_entry(state: ForwardingState, entry: EndpointEntry, now: float) -> None:
    """Apply the entry of one endpoint."""
    endpoint = state.endpoints.get(entry.endpoint)
    if endpoint is not None and endpoint.born > entry.born:
        return
    if endpoint is None or endpoint.born != entry.born or endpoint.address != entry.address:
        remove_endpoint(state, entry.endpoint, now)
        endpoint = Endpoint(
            entry.endpoint, entry.service, entry.zone, entry.address, entry.slots, entry.born
        )
        endpoint.order = xxhash.xxh3_64_intdigest(entry.endpoint.encode())
        endpoint.key = endpoint.order & KEY_MASK
        endpoint.is_planned = entry.service in state.planned
        state.endpoints[entry.endpoint] = endpoint
        state.by_key[endpoint.key] = endpoint
        state.by_service.setdefault(entry.service, {})[entry.endpoint] = endpoint
        restore_hints(state, endpoint)
    endpoint.slots = entry.slots
    endpoint.leaving = endpoint.leaving or entry.leaving
    endpoint.silent = entry.silent
    endpoint.cold_until = now + entry.cold_seconds


def remove_endpoint(state: ForwardingState, name: str, now: float) -> None:
    """Remove an endpoint but save its hints."""
    endpoint = state.endpoints.pop(name, None)
    if endpoint is not None:
        save_hints(state, endpoint, now)
        state.by_service[endpoint.service].pop(name, None)
        state.by_key.pop(endpoint.key, None)
