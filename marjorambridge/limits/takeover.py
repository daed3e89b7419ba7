"""Take over and hand over shards when the view or the configuration changes."""

from marjorambridge.configuration.models import Configuration
from marjorambridge.core.effects import Effect, SendMessage, WriteLog
from marjorambridge.core.view import View
from marjorambridge.limits.announcements import register_endpoint
from marjorambridge.limits.cancellation import record_incarnation
from marjorambridge.limits.messages import (
    DenialReason,
    EndpointGrant,
    HandoverEndpoint,
    HandoverPermit,
    RunningPermit,
    ShardHandover,
)
from marjorambridge.limits.ownership import find_owner, list_region_shards
from marjorambridge.limits.permits import ZONE_RETRY_AFTER_SECONDS, register_running
from marjorambridge.limits.ramp import restart_ramp
from marjorambridge.limits.scheduling import MIN_RETRY_AFTER_SECONDS, deny_all_queued
from marjorambridge.limits.settings import compute_takeover_wait
from marjorambridge.limits.shard import Shard, create_shard, is_usable, refresh_endpoint
from marjorambridge.limits.state import HandoverParts, LimitsState, is_fresh

# Upper bounds for the encoded size of a structure without its texts: compact integers of 64 bits
# take up to 10 bytes, floats 8, field headers and lengths up to 9.
FIXED_ENDPOINT_BYTES = 320
FIXED_PERMIT_BYTES = 72
TEXT_LENGTH_BYTES = 9


def apply_view(state: LimitsState, index: int, view: View, now: float) -> list[Effect]:
    """Take over and hand over shards after a change of the live hosts."""
    if state.view is not None and index <= state.view.index:
        return []
    state.view = view
    was_fresh = is_fresh(state, now)
    effects: list[Effect] = []
    for entry in view.hosts.values():
        effects += record_incarnation(state, entry.host, entry.incarnation, now)
    for host in state.host_incarnations:
        if host in view.hosts:
            state.absent_since.pop(host, None)
        else:
            state.absent_since.setdefault(host, now)
    if not was_fresh:
        for shard in state.shards.values():
            restart_takeover(state, shard, index, now)
    effects += update_shards(state, index, was_fresh, now)
    for name in list(state.pending_handovers):
        effects += accept_complete_handover(state, name, now)
    return effects


def apply_configuration(
    state: LimitsState, index: int, configuration: Configuration, now: float
) -> list[Effect]:
    """Apply changes of zones, and take over the shards of new or repartitioned services."""
    if state.configuration is not None and index < state.configuration_index:
        return []
    old = state.configuration
    state.configuration, state.configuration_index = configuration, index
    effects: list[Effect] = []
    for service in configuration.services.values():
        before = old.services.get(service.name) if old is not None else None
        if before is not None and before.buckets != service.buckets:
            # Endpoints change between the shards, so no old owner has the ledger of a new shard.
            for name in [key for key in state.shards if key.startswith(f"{service.name}/")]:
                effects += drop_shard(state, state.shards[name], now)
    effects += update_shards(state, index, False, now)
    for shard in state.shards.values():
        effects += set_zone_in_service(
            state, shard, not configuration.zones[shard.identity.zone].out, now
        )
    return effects


def set_zone_in_service(
    state: LimitsState, shard: Shard, in_service: bool, now: float
) -> list[Effect]:
    """Put the shard's zone in or out of service; all endpoints are cold when it returns."""
    if shard.open == in_service:
        return []
    shard.open = in_service
    if not in_service:
        return deny_all_queued(shard, DenialReason.ZONE_OUT, ZONE_RETRY_AFTER_SECONDS, now)
    restart_ramps(state, shard, now)
    return []


def restart_ramps(state: LimitsState, shard: Shard, now: float) -> None:
    """Restart the ramps of all endpoints of a shard."""
    for name, endpoint in shard.endpoints.items():
        restart_ramp(endpoint.ramp)
        refresh_endpoint(shard, name, state.settings, now)


def restart_takeover(state: LimitsState, shard: Shard, index: int, now: float) -> None:
    """Restart the takeover wait, because another host may have owned the shard meanwhile.

    A host that is not fresh may not have applied every view: it may have been removed from the
    fleet and added again between the last two views that it applied.
    """
    shard.epoch = index
    shard.handover_accepted = False
    shard.grants_from = now + compute_takeover_wait(state.settings)
    restart_ramps(state, shard, now)


def update_shards(state: LimitsState, index: int, may_hand_over: bool, now: float) -> list[Effect]:
    """Create the shards that this host now owns and drop the others."""
    if state.view is None or state.configuration is None:
        return []
    effects: list[Effect] = []
    owners = {str(shard): (shard, find_owner(state, shard)) for shard in list_region_shards(state)}
    for name in list(state.shards):
        _, owner = owners.get(name, (None, None))
        if owner == state.host:
            continue
        shard = state.shards[name]
        # An owner in its takeover wait may not have all permits. One that is not fresh may have
        # missed an owner in between, whose grants are not in its ledger.
        if owner is not None and may_hand_over and now >= shard.grants_from:
            for message in build_handover(state, shard, index, now):
                effects.append(SendMessage(owner, message))
        effects += drop_shard(state, shard, now)
    for name, (identity, owner) in owners.items():
        if owner != state.host or name in state.shards:
            continue
        grants_from = now + compute_takeover_wait(state.settings)
        shard = create_shard(identity, index, grants_from, state.settings)
        shard.open = not state.configuration.zones[identity.zone].out
        state.shards[name] = shard
        fields = {"shard": name, "epoch": index}
        effects.append(WriteLog("info", "took over a shard", fields))
    return effects


def drop_shard(state: LimitsState, shard: Shard, now: float) -> list[Effect]:
    """Remove a shard and refuse its waiting requests, which then go to the new owner."""
    del state.shards[shard.name]
    return deny_all_queued(shard, DenialReason.NOT_OWNER, MIN_RETRY_AFTER_SECONDS, now)


def _estimate_endpoint_bytes(item: HandoverEndpoint) -> int:
    """Return an upper bound for the encoded size of an endpoint."""
    known = item.announcement
    texts = (known.endpoint, known.supplier, known.service, known.zone, known.address)
    texts += (*known.models, *known.adapters, known.role, known.version)
    return FIXED_ENDPOINT_BYTES + sum(map(_estimate_text_bytes, texts))


def _estimate_permit_bytes(item: HandoverPermit) -> int:
    """Return an upper bound for the encoded size of a permit."""
    texts = [item.permit.host]
    for grant in item.endpoints:
        texts += (grant.endpoint, grant.address)
    fixed = FIXED_PERMIT_BYTES * (1 + len(item.endpoints))
    return fixed + sum(map(_estimate_text_bytes, texts))


def _estimate_text_bytes(text: str) -> int:
    return TEXT_LENGTH_BYTES + len(text.encode())


def _divide_by_size(
    items: list[tuple[int, HandoverEndpoint | HandoverPermit]], limit: int
) -> list[list[HandoverEndpoint | HandoverPermit]]:
    """Divide items with their sizes into lists of at most `limit` bytes or one item."""
    parts: list[list[HandoverEndpoint | HandoverPermit]] = [[]]
    used = 0
    for size, item in items:
        if parts[-1] and used + size > limit:
            parts.append([])
            used = 0
        parts[-1].append(item)
        used += size
    return parts


def build_handover(state: LimitsState, shard: Shard, epoch: int, now: float) -> list[ShardHandover]:
    """Return the state of a shard for its new owner, in parts that fit a frame.

    A permit that is being cancelled gets the age at which a permit expires, so that the new owner
    cancels it at once.
    """
    settings = state.settings
    endpoints = tuple(
        HandoverEndpoint(
            endpoint.announcement, endpoint.ramp.limit, endpoint.ramp.warm, endpoint.ramp.baseline
        )
        for endpoint in shard.endpoints.values()
        if is_usable(endpoint, settings, now) or endpoint.announcement.leaving
    )
    permits = []
    for permit in shard.ledger.permits.values():
        grants = tuple(
            EndpointGrant(
                part.endpoint, part.incarnation, part.address, part.tokens, part.cached_tokens
            )
            for part in permit.parts.values()
        )
        age = settings.permit_expiry_seconds
        if not permit.cancelling:
            age = min(age, now - permit.expires_at + settings.permit_expiry_seconds)
        permits.append(HandoverPermit(permit.identity, grants, permit.first_token, max(0.0, age)))
    items = [(_estimate_endpoint_bytes(item), item) for item in endpoints]
    items += [(_estimate_permit_bytes(item), item) for item in permits]
    parts = _divide_by_size(items, settings.max_handover_part_bytes)
    return [
        ShardHandover(
            shard.name,
            epoch,
            tuple(item for item in part if isinstance(item, HandoverEndpoint)),
            tuple(item for item in part if isinstance(item, HandoverPermit)),
            number,
            len(parts),
        )
        for number, part in enumerate(parts)
    ]


def _can_accept_handover(state: LimitsState, name: str, epoch: int, now: float) -> bool:
    """Return whether this host may still accept a handover for this epoch of a shard."""
    shard = state.shards.get(name)
    return (
        shard is not None
        and shard.epoch == epoch
        and not shard.handover_accepted
        and now < shard.grants_from
    )


def _is_early(state: LimitsState, epoch: int) -> bool:
    """Return whether the view that a handover belongs to is not applied yet."""
    return state.view is None or epoch > state.view.index


def purge_handovers(state: LimitsState, now: float) -> None:
    """Remove the received parts of handovers that can no longer be accepted."""
    for name, senders in list(state.pending_handovers.items()):
        for sender, collected in list(senders.items()):
            if not _is_early(state, collected.epoch) and not _can_accept_handover(
                state, name, collected.epoch, now
            ):
                del senders[sender]
        if not senders:
            del state.pending_handovers[name]


def handle_handover(
    state: LimitsState, sender: str, message: ShardHandover, now: float
) -> list[Effect]:
    """Accept the state of a shard once all parts and the view that it belongs to have arrived."""
    name, epoch = message.shard, message.epoch
    if not 0 <= message.part < message.parts:
        return []
    if not _is_early(state, epoch) and not _can_accept_handover(state, name, epoch, now):
        return []
    senders = state.pending_handovers.setdefault(name, {})
    collected = senders.get(sender)
    if collected is None or collected.epoch < epoch:
        collected = senders[sender] = HandoverParts(epoch, message.parts)
    if (collected.epoch, collected.parts) != (epoch, message.parts):
        return []
    collected.received.setdefault(message.part, message)
    return accept_complete_handover(state, name, now)


def accept_complete_handover(state: LimitsState, name: str, now: float) -> list[Effect]:
    """Accept a pending handover of a shard if it is complete."""
    effects: list[Effect] = []
    for collected in list(state.pending_handovers.get(name, {}).values()):
        if len(collected.received) < collected.parts or not _can_accept_handover(
            state, name, collected.epoch, now
        ):
            continue
        parts = [collected.received[number] for number in range(collected.parts)]
        endpoints = tuple(item for part in parts for item in part.endpoints)
        permits = tuple(item for part in parts for item in part.permits)
        effects += accept_handover(
            state, ShardHandover(name, collected.epoch, endpoints, permits), now
        )
    purge_handovers(state, now)
    return effects


def accept_handover(state: LimitsState, message: ShardHandover, now: float) -> list[Effect]:
    """Apply the ledger of the old owner and grant from now on."""
    shard = state.shards[message.shard]
    shard.handover_accepted = True
    shard.grants_from = now
    effects: list[Effect] = []
    for item in message.endpoints:
        known = shard.endpoints.get(item.announcement.endpoint)
        if known is None:
            effects += register_endpoint(state, shard, item.announcement, now)
            known = shard.endpoints[item.announcement.endpoint]
        if known.announcement.incarnation != item.announcement.incarnation:
            continue
        ramp = known.ramp
        ramp.concurrency = max(1, item.announcement.concurrency)
        ramp.concurrency_now = known.announcement.concurrency_now
        ramp.announced_cold = known.announcement.cold
        ramp.limit, ramp.warm, ramp.baseline = item.limit, item.warm, item.baseline
        refresh_endpoint(shard, item.announcement.endpoint, state.settings, now)
    for permit in message.permits:
        if permit.permit in shard.ledger.permits or permit.permit in shard.ledger.ended:
            continue
        grants = tuple(
            grant
            for grant in permit.endpoints
            if grant.endpoint not in shard.endpoints
            or shard.endpoints[grant.endpoint].announcement.incarnation <= grant.incarnation
        )
        if grants:
            running = RunningPermit(permit.permit, shard.name, grants, permit.first_token)
            age = permit.age
            if permit.permit.incarnation < state.host_incarnations.get(permit.permit.host, 0):
                age = state.settings.permit_expiry_seconds
            register_running(state, shard, running, age, now)
    fields = {"shard": shard.name, "epoch": shard.epoch, "permits": len(message.permits)}
    effects.append(WriteLog("info", "accepted the handover of a shard", fields))
    return effects
