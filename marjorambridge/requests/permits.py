"""Cancel, release and renew permits at the owners of their shards."""

from marjorambridge.core.effects import CancelTimer, Effect, SendMessage, SetTimer
from marjorambridge.core.identity import TimerKey
from marjorambridge.limits.messages import PermitCancel, PermitRelease, PermitRenew, RunningPermit
from marjorambridge.requests.effects import CancelAttempt
from marjorambridge.requests.spans import record_attempt, record_permit
from marjorambridge.requests.state import Permit, Phase, ReleasedPermit, Request, RequestsState
from marjorambridge.routing import candidates

RENEWAL_TIMER = TimerKey("requests", "renewal")

UNKNOWN_FIRST_TOKEN_SECONDS = -1.0


def create_wait_timer(request: Request) -> TimerKey:
    """Return the key of the only wait timer of a request."""
    return TimerKey("requests", "wait", request.ident)


def set_wait_timer(request: Request, at: float) -> Effect:
    """Set the wait timer of a request to monotonic time `at`, replacing an earlier one."""
    request.wait_until = at
    return SetTimer(create_wait_timer(request), at)


def forget_permit(state: RequestsState, request: Request) -> None:
    """Remove a permit from this host; a grant that arrives later is cancelled."""
    if request.permit is not None:
        state.permits.pop(request.permit.ident, None)
        request.permit = None


def cancel_permit(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Cancel a permit that no attempt uses."""
    permit = request.permit
    if permit is None:
        return []
    if request.phase is Phase.RUNNING:
        spans = record_attempt(request, "not_sent", now)
    else:
        spans = record_permit(request, "withdrawn", now)
    forget_permit(state, request)
    return [
        CancelTimer(create_wait_timer(request)),
        SendMessage(permit.owner, PermitCancel(permit.ident, permit.shard)),
        *spans,
    ]


def release_permit(
    state: RequestsState,
    request: Request,
    now: float,
    succeeded: bool = False,
    endpoint_failed: bool = False,
    stopped: bool = False,
    end: str = "abandoned",
) -> list[Effect]:
    """Report the end of an attempt to the shard's present owner.

    A lost release needs no resend: the permit is no longer renewed, so the owner cancels it on
    the endpoint and frees it after permit expiry.
    """
    permit = request.permit
    if permit is None:
        return []
    first_token_seconds = permit.first_token_seconds
    if state.overloaded_at >= permit.started_at:
        # The time includes this host's own delay. Attributed to the endpoint, it would make warm
        # endpoints count as cold, and their lower limits would increase the overload.
        first_token_seconds = UNKNOWN_FIRST_TOKEN_SECONDS
    spans = record_attempt(request, end, now)
    forget_permit(state, request)
    message = PermitRelease(
        permit=permit.ident,
        shard=permit.shard,
        succeeded=succeeded,
        endpoint_failed=endpoint_failed,
        stopped=stopped,
        first_token_seconds=first_token_seconds,
    )
    state.released[permit.ident] = ReleasedPermit(message, now + state.settings.permit_expiry)
    return [SendMessage(find_owner(state, permit), message), *spans]


def abandon_attempt(
    state: RequestsState, request: Request, now: float, endpoint_failed: bool = False
) -> list[Effect]:
    """Stop a running attempt; chunks that still arrive are ignored."""
    if request.permit is None:
        return []
    cancel = CancelAttempt(request.permit.ident)
    return [cancel, *release_permit(state, request, now, endpoint_failed=endpoint_failed)]


def drop_permit(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Cancel a request's permit, and its attempt if it is running."""
    if request.phase is Phase.RUNNING:
        return abandon_attempt(state, request, now)
    return cancel_permit(state, request, now)


def find_owner(state: RequestsState, permit: Permit) -> str:
    """Return the present owner of a permit's shard, or the one that granted it if there is none.

    The region is stored with the permit, because the zone may have left the configuration.
    """
    return candidates.find_owner(state.routing, permit.shard, permit.region) or permit.owner


def start_renewal(state: RequestsState, now: float) -> list[Effect]:
    """Set the renewal timer unless it is set."""
    if state.renewal_scheduled:
        return []
    state.renewal_scheduled = True
    return [SetTimer(RENEWAL_TIMER, now + state.settings.permit_renewal)]


def renew_permits(state: RequestsState, now: float) -> list[Effect]:
    """Renew the running permits, in one message per owner, and drop expired releases."""
    for ident in [ident for ident, entry in state.released.items() if entry.until <= now]:
        del state.released[ident]
    running = [entry for entry in state.requests.values() if entry.phase is Phase.RUNNING]
    batches: dict[str, list[RunningPermit]] = {}
    for request in running:
        permit = request.permit
        permit.owner = find_owner(state, permit)
        batches.setdefault(permit.owner, []).append(describe_permit(permit))
    state.renewal_scheduled = False
    effects: list[Effect] = [
        SendMessage(owner, PermitRenew(tuple(batch))) for owner, batch in batches.items()
    ]
    return effects + (start_renewal(state, now) if running or state.released else [])


def register_moved_permits(state: RequestsState) -> list[Effect]:
    """Register running permits with the new owners of their shards after a change of the view.

    The new owner rebuilds its ledger from these messages before it grants.
    """
    batches: dict[str, list[RunningPermit]] = {}
    for request in state.requests.values():
        permit = request.permit
        if request.phase is not Phase.RUNNING or permit is None:
            continue
        owner = find_owner(state, permit)
        if owner != permit.owner:
            permit.owner = owner
            batches.setdefault(owner, []).append(describe_permit(permit))
    return [SendMessage(owner, PermitRenew(tuple(batch))) for owner, batch in batches.items()]


def describe_permit(permit: Permit) -> RunningPermit:
    """Return the description of a running permit for its owner."""
    return RunningPermit(
        permit.ident, permit.shard, permit.endpoints, permit.first_token_seconds >= 0.0
    )
