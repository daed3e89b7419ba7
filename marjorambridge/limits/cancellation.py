"""Cancel attempts on endpoints and free their memory once the endpoints have confirmed."""

from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.effects import CancelHostOnEndpoint, CancelOnEndpoint
from marjorambridge.limits.events import EndpointCancelled
from marjorambridge.limits.ledger import Permit, Reservation, free_part, get_account
from marjorambridge.limits.messages import PermitRevoked
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import Shard, refresh_endpoint, schedule_check
from marjorambridge.limits.state import LimitsState


def free_permit_part(
    shard: Shard, permit: Permit, endpoint: str, settings: LimitsSettings, now: float
) -> None:
    """Free one part of a permit and update the indexes of its endpoint."""
    free_part(shard.ledger, permit, endpoint, now, now + settings.ended_permit_retention_seconds)
    refresh_endpoint(shard, endpoint, settings, now)


def repeat_cancel(
    shard: Shard, identity: AttemptId, settings: LimitsSettings, now: float
) -> list[Effect]:
    """Cancel a permit on its endpoints, and repeat that until each of them has confirmed."""
    permit = shard.ledger.permits.get(identity)
    if permit is None or not permit.cancelling:
        return []
    if now >= permit.expires_at + settings.endpoint_removal_delay_seconds:
        # An endpoint that has not announced itself to this owner no longer exists, and the attempt
        # is past its deadline.
        for name in [name for name in permit.parts if name not in shard.endpoints]:
            free_permit_part(shard, permit, name, settings, now)
    if now >= permit.expires_at:
        free_plain_parts(shard, permit, settings, now)
    schedule_check(shard, now + settings.cancel_retry_interval_seconds, "cancel", identity)
    return [
        CancelOnEndpoint(part.endpoint, part.incarnation, part.address, identity)
        for part in permit.parts.values()
        if not is_on_plain_service(part)
    ]


def free_plain_parts(shard: Shard, permit: Permit, settings: LimitsSettings, now: float) -> None:
    """Free the parts of a permit on plain services."""
    for name in [name for name, part in permit.parts.items() if is_on_plain_service(part)]:
        free_permit_part(shard, permit, name, settings, now)


def is_on_plain_service(part: Reservation) -> bool:
    """Return whether a part is on a plain service.

    Plain services have no KV memory and cannot cancel a call, so they never confirm a cancel. Their
    slot is freed when the permit expires.
    """
    return part.tokens == 0


def start_cancel(
    shard: Shard, permit: Permit, settings: LimitsSettings, now: float
) -> list[Effect]:
    """Revoke a permit; its memory stays reserved until the endpoints have confirmed."""
    if permit.cancelling:
        return []
    permit.cancelling = True
    return repeat_cancel(shard, permit.identity, settings, now)


def expire_permit(
    shard: Shard, identity: AttemptId, settings: LimitsSettings, now: float, expire_from: float
) -> list[Effect]:
    """Cancel a permit that was not renewed in time, or schedule the next check of its expiry."""
    permit = shard.ledger.permits.get(identity)
    if permit is None or permit.cancelling:
        return []
    due = max(permit.expires_at, expire_from)
    if due > now:
        schedule_check(shard, due, "expire", identity)
        return []
    effects = start_cancel(shard, permit, settings, now)
    return [*effects, SendMessage(identity.host, PermitRevoked(identity, shard.name))]


def repeat_host_cancel(
    shard: Shard, endpoint: str, host: str, settings: LimitsSettings, now: float
) -> list[Effect]:
    """Cancel the attempts of a host's earlier processes on an endpoint until it confirms."""
    account = shard.ledger.accounts.get(endpoint)
    if account is None or host not in account.host_cancels:
        return []
    known = shard.endpoints.get(endpoint)
    if known is not None:
        incarnation, address = known.announcement.incarnation, known.announcement.address
    else:
        parts = [permit.parts[endpoint] for permit in account.permits.values()]
        if not parts:
            del account.host_cancels[host]
            return []
        incarnation, address = parts[0].incarnation, parts[0].address
    schedule_check(
        shard, now + settings.cancel_retry_interval_seconds, "host_cancel", (endpoint, host)
    )
    limit = account.host_cancels[host]
    return [CancelHostOnEndpoint(endpoint, incarnation, address, host, limit)]


def start_host_cancel(
    shard: Shard, endpoint: str, host: str, incarnation: int, settings: LimitsSettings, now: float
) -> list[Effect]:
    """Cancel the attempts of a host's processes up to `incarnation` on one endpoint."""
    known = shard.endpoints.get(endpoint)
    if known is not None and known.announcement.kv_capacity_tokens == 0:
        return []
    account = get_account(shard.ledger, endpoint)
    waiting = host in account.host_cancels
    account.host_cancels[host] = max(incarnation, account.host_cancels.get(host, incarnation))
    if waiting:
        return []
    return repeat_host_cancel(shard, endpoint, host, settings, now)


def cancel_older_incarnations(
    shard: Shard, host: str, incarnation: int, settings: LimitsSettings, now: float
) -> list[Effect]:
    """Cancel the attempts of earlier processes of a restarted host on all endpoints of a shard.

    The cancel goes to every endpoint, because an owner that has just taken over the shard may not
    have a permit for each attempt.
    """
    for identity in list(shard.ledger.by_host.get(host, ())):
        if identity.incarnation < incarnation:
            permit = shard.ledger.permits[identity]
            if not permit.cancelling:
                permit.cancelling = True
                # The permit's own cancel follows only if the cancel for the whole host is lost.
                schedule_check(
                    shard, now + settings.cancel_retry_interval_seconds, "cancel", identity
                )
    names = dict.fromkeys([*shard.endpoints, *shard.ledger.accounts])
    effects: list[Effect] = []
    for name in names:
        effects += start_host_cancel(shard, name, host, incarnation - 1, settings, now)
    return effects


def record_incarnation(state: LimitsState, host: str, incarnation: int, now: float) -> list[Effect]:
    """Store the incarnation of a host, and cancel the attempts of its earlier processes."""
    known = state.host_incarnations.get(host)
    if known is not None and incarnation <= known:
        return []
    state.host_incarnations[host] = incarnation
    if known is None:
        return []
    state.host_restarts[host] = now
    effects: list[Effect] = []
    for shard in state.shards.values():
        effects += cancel_older_incarnations(shard, host, incarnation, state.settings, now)
    return effects


def free_older_incarnations(
    shard: Shard, endpoint: str, incarnation: int, settings: LimitsSettings, now: float
) -> None:
    """Free the parts of permits on processes of an endpoint before `incarnation`."""
    account = get_account(shard.ledger, endpoint)
    for permit in list(account.permits.values()):
        if permit.parts[endpoint].incarnation < incarnation:
            free_permit_part(shard, permit, endpoint, settings, now)
    account.host_cancels.clear()
    account.freed_at.clear()


def _is_confirmed(permit: Permit, event: EndpointCancelled) -> bool:
    """Return whether a confirmation covers a permit's part on its endpoint."""
    part = permit.parts.get(event.endpoint)
    if part is None or part.incarnation > event.incarnation:
        return False
    if event.attempt is not None:
        return permit.identity == event.attempt
    identity = permit.identity
    return identity.host == event.host and identity.incarnation <= event.host_incarnation


def apply_confirmation(shard: Shard, event: EndpointCancelled, settings: LimitsSettings) -> bool:
    """Free what an endpoint confirmed as stopped; return whether there was any."""
    account = shard.ledger.accounts.get(event.endpoint)
    if account is None:
        return False
    if event.attempt is not None:
        permit = account.permits.get(event.attempt)
        found = [permit] if permit is not None else []
    else:
        found = list(account.permits.values())
        if account.host_cancels.get(event.host, event.host_incarnation + 1) <= (
            event.host_incarnation
        ):
            del account.host_cancels[event.host]
    confirmed = [permit for permit in found if _is_confirmed(permit, event)]
    for permit in confirmed:
        free_permit_part(shard, permit, event.endpoint, settings, event.now)
    return bool(confirmed)
