"""Take over and hand over shards when the view or the configuration changes."""

from marjorambridge.configuration.models import Configuration
from marjorambridge.core.effects import Effect, SendMessage, WriteLog
from marjorambridge.core.view import View
from marjorambridge.limits.announcements import introduce_endpoint
from marjorambridge.limits.cancellation import learn_incarnation
from marjorambridge.limits.messages import (
    DenialReason,
    EndpointGrant,
    HandoverEndpoint,
    HandoverPermit,
    RunningPermit,
    ShardHandover,
)
from marjorambridge.limits.ownership import find_owner, list_region_shards
from marjorambridge.limits.permits import ZONE_RETRY_SECONDS, register_running
from marjorambridge.limits.ramp import restart_ramp
from marjorambridge.limits.scheduling import MINIMUM_RETRY_SECONDS, deny_all_queued
from marjorambridge.limits.settings import compute_takeover_wait
from marjorambridge.limits.shard import Shard, create_shard, is_usable, refresh_endpoint
from marjorambridge.limits.state import LimitsState, is_fresh


def apply_view(state: LimitsState, index: int, view: View, now: float) -> list[Effect]:
    """Take over and hand over shards after a change of the live hosts."""
    if state.view is not None and index <= state.view.index:
        return []
    state.view = view
    was_fresh = is_fresh(state, now)
    effects: list[Effect] = []
    for entry in view.hosts.values():
        effects += learn_incarnation(state, entry.host, entry.incarnation, now)
    for host in state.host_incarnations:
        if host in view.hosts:
            state.absences.pop(host, None)
        else:
            state.absences.setdefault(host, now)
    if not was_fresh:
        for shard in state.shards.values():
            restart_takeover(state, shard, index, now)
    effects += update_shards(state, index, was_fresh, now)
    for name in list(state.stash):
        if state.stash[name].epoch <= index:
            effects += accept_handover(state, state.stash.pop(name), now)
    return effects


def apply_configuration(
    state: LimitsState, index: int, configuration: Configuration, now: float
) -> list[Effect]:
    """Open and close zones, and take over the shards of services that are new or divided anew."""
    if state.configuration is not None and index < state.configuration_index:
        return []
    old = state.configuration
    state.configuration, state.configuration_index = configuration, index
    effects: list[Effect] = []
    for service in configuration.services.values():
        before = old.services.get(service.name) if old is not None else None
        if before is not None and before.buckets != service.buckets:
            # Endpoints move between the shards, so no old owner has the ledger of a new shard.
            for name in [key for key in state.shards if key.startswith(f"{service.name}/")]:
                effects += drop_shard(state, state.shards[name], now)
    effects += update_shards(state, index, False, now)
    for shard in state.shards.values():
        effects += set_open(state, shard, not configuration.zones[shard.identity.zone].out, now)
    return effects


def set_open(state: LimitsState, shard: Shard, is_open: bool, now: float) -> list[Effect]:
    """Follow a zone that goes out of service or returns; a returned zone is cold."""
    if shard.open == is_open:
        return []
    shard.open = is_open
    if not is_open:
        return deny_all_queued(shard, DenialReason.ZONE_OUT, ZONE_RETRY_SECONDS, now)
    restart_ramps(state, shard, now)
    return []


def restart_ramps(state: LimitsState, shard: Shard, now: float) -> None:
    """Treat all endpoints of a shard as cold."""
    for name, endpoint in shard.endpoints.items():
        restart_ramp(endpoint.ramp)
        refresh_endpoint(shard, name, state.settings, now)


def restart_takeover(state: LimitsState, shard: Shard, index: int, now: float) -> None:
    """Wait again before granting, because another host may have owned the shard meanwhile.

    Without freshness this host cannot know whether it has applied every view: it may have been
    removed and have returned between the two that it has seen.
    """
    shard.epoch = index
    shard.handed_over = False
    shard.grants_from = now + compute_takeover_wait(state.settings)
    restart_ramps(state, shard, now)


def update_shards(state: LimitsState, index: int, may_hand_over: bool, now: float) -> list[Effect]:
    """Create the shards that this host now owns and give up the others."""
    if state.view is None or state.configuration is None:
        return []
    effects: list[Effect] = []
    owners = {str(shard): (shard, find_owner(state, shard)) for shard in list_region_shards(state)}
    for name in list(state.shards):
        _, owner = owners.get(name, (None, None))
        if owner == state.host:
            continue
        shard = state.shards[name]
        # An owner that still waits does not know all permits. One that is not fresh may have
        # missed an owner in between, whose grants its ledger lacks.
        if owner is not None and may_hand_over and now >= shard.grants_from:
            effects.append(SendMessage(owner, build_handover(state, shard, index, now)))
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
    """Give up a shard; waiting requests are sent to the new owner."""
    del state.shards[shard.name]
    return deny_all_queued(shard, DenialReason.NOT_OWNER, MINIMUM_RETRY_SECONDS, now)


def build_handover(state: LimitsState, shard: Shard, epoch: int, now: float) -> ShardHandover:
    """Return the state of a shard for its new owner.

    The age of a permit that is being cancelled is its whole lifetime, so that the new owner
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
    return ShardHandover(shard.name, epoch, endpoints, tuple(permits))


def handle_handover(state: LimitsState, message: ShardHandover, now: float) -> list[Effect]:
    """Accept the state of a shard, or keep it until the view that it belongs to is applied."""
    if state.view is None or message.epoch > state.view.index:
        known = state.stash.get(message.shard)
        if known is None or known.epoch < message.epoch:
            state.stash[message.shard] = message
        return []
    return accept_handover(state, message, now)


def accept_handover(state: LimitsState, message: ShardHandover, now: float) -> list[Effect]:
    """Take the ledger of the old owner and grant from now on, if it is for this ownership."""
    shard = state.shards.get(message.shard)
    if shard is None or shard.epoch != message.epoch:
        return []
    if shard.handed_over or now >= shard.grants_from:
        return []
    shard.handed_over = True
    shard.grants_from = now
    effects: list[Effect] = []
    for item in message.endpoints:
        known = shard.endpoints.get(item.announcement.endpoint)
        if known is None:
            effects += introduce_endpoint(state, shard, item.announcement, now)
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
