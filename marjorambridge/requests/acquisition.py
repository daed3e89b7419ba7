"""Get a permit for a request from the owner of a shard, or end a request that can get none."""

from marjorambridge.core.effects import CancelTimer, Effect, Measure, SendMessage
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.outcomes import Reason
from marjorambridge.limits.messages import (
    DenialReason,
    PermitCancel,
    PermitDenied,
    PermitGranted,
    PermitQueued,
    PermitRequest,
)
from marjorambridge.requests.effects import StartAttempt
from marjorambridge.requests.endings import abandon_request
from marjorambridge.requests.permits import (
    cancel_permit,
    create_wait_timer,
    forget_permit,
    set_wait_timer,
    start_renewal,
)
from marjorambridge.requests.retries import compute_backoff
from marjorambridge.requests.spans import record_permit
from marjorambridge.requests.state import (
    Denial,
    Permit,
    Phase,
    Request,
    RequestsState,
    compute_start_limit,
    create_ident,
    is_fresh,
)
from marjorambridge.routing.candidates import find_candidate, find_candidates
from marjorambridge.routing.choice import choose_shard, list_reachable
from marjorambridge.routing.state import Candidate
from marjorambridge.routing.summaries import (
    avoid_shard,
    compute_reported_wait,
    is_avoided,
    record_summary,
)

# Shortest delay of a retry after a denial, also if the owner's reply states a shorter one.
MIN_DENIAL_RETRY_SECONDS = 0.05


def find_asking_request(state: RequestsState, ident: AttemptId) -> Request | None:
    """Return the request that waits for this permit, or None if none does."""
    request = state.requests.get(state.permits.get(ident, ""))
    return request if request is not None and request.phase is Phase.ASKING else None


def request_permit(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Request a permit at the best shard, wait for one, or end a request that cannot succeed."""
    limit = compute_start_limit(state, request)
    if now >= limit:
        message = "no endpoint was free before the deadline; allow more time or come back later"
        retry_after = state.settings.refusal_retry_after
        return abandon_request(state, request, Reason.DEADLINE, message, retry_after, now)
    if not is_fresh(state, now):
        request.phase = Phase.STALE
        return []
    reachable = _list_reachable(state, request, now)
    undenied = [entry for entry in reachable if not _is_denied(request, entry.shard, now)]
    chosen = choose_shard(
        state.routing, undenied, now, state.random, request.prefix, request.prefix_tokens
    )
    if chosen is not None:
        return _start_permit_request(state, request, chosen, now)
    found = find_candidates(state.routing, request.service)
    denials = [request.denials.get(entry.shard) for entry in (*found.local, *found.remote)]
    retry_at = min(
        (entry.until for entry in denials if entry and entry.until > now), default=float("inf")
    )
    if retry_at >= limit:
        return _abandon_denied_request(state, request, reachable, retry_at, now)
    return _set_backoff_timer(state, request, retry_at)


def schedule_backoff(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Request a permit again after a jittered delay that grows with each backoff."""
    delay = compute_backoff(state.settings, request.backoffs, state.random)
    request.backoffs += 1
    return _set_backoff_timer(state, request, now + delay)


def _set_backoff_timer(state: RequestsState, request: Request, at: float) -> list[Effect]:
    request.phase = Phase.BACKOFF
    at = min(at, compute_start_limit(state, request))
    return [set_wait_timer(request, at)]


def _list_reachable(state: RequestsState, request: Request, now: float) -> list[Candidate]:
    unserved = {
        shard
        for shard, denial in request.denials.items()
        if denial.reason is DenialReason.NO_ENDPOINT and denial.until > now
    }
    return list_reachable(state.routing, request.service, unserved)


def _is_denied(request: Request, shard: str, now: float) -> bool:
    denial = request.denials.get(shard)
    return denial is not None and denial.until > now


def _start_permit_request(
    state: RequestsState, request: Request, chosen: Candidate, now: float
) -> list[Effect]:
    ident = create_ident(state)
    request.permit = Permit(
        ident, chosen.shard, chosen.region, chosen.owner, asked_at=now, last_reply_at=now
    )
    request.phase = Phase.ASKING
    state.permits[ident] = request.ident
    return _send_permit_request(state, request, now)


def _send_permit_request(state: RequestsState, request: Request, now: float) -> list[Effect]:
    permit = request.permit
    permit.ask += 1
    oldest = now - state.settings.start_window
    permit.asks = {ask: at for ask, at in permit.asks.items() if at > oldest}
    permit.asks[permit.ask] = now
    prompt_tokens, output_tokens = request.prompt_tokens, request.output_tokens
    if prompt_tokens:
        prompt_tokens += request.cursor
        output_tokens = max(1, output_tokens - request.cursor)
    message = PermitRequest(
        permit=permit.ident,
        ask=permit.ask,
        shard=permit.shard,
        workspace=request.workspace,
        weight=request.weight,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        remaining=compute_start_limit(state, request) - now,
        prefix=request.prefix,
        prefix_tokens=request.prefix_tokens,
        exclude=tuple(request.exclude),
        trace=request.trace or None,
    )
    renew_at = min(now + state.settings.queue_renewal, compute_start_limit(state, request))
    return [
        SendMessage(permit.owner, message),
        set_wait_timer(request, renew_at),
    ]


def renew_permit_request(state: RequestsState, request: Request, now: float) -> list[Effect]:
    """Repeat the request to the owner; use another shard if it timed out or another is better."""
    permit = request.permit
    if now >= compute_start_limit(state, request) or not is_fresh(state, now):
        return cancel_permit(state, request, now) + request_permit(state, request, now)
    if now - permit.last_reply_at >= state.settings.owner_timeout:
        return _record_denial(state, request, None, 0.0, now)
    better = _find_better_shard(state, request, now)
    if better is not None:
        request.moves += 1
        # The cancellation is sent first, and a grant that arrives after it is void, so two attempts
        # never run at once.
        return cancel_permit(state, request, now) + _start_permit_request(
            state, request, better, now
        )
    return _send_permit_request(state, request, now)


def _find_better_shard(state: RequestsState, request: Request, now: float) -> Candidate | None:
    """Return a shard with a much shorter wait, if the request has waited long at its present one.

    A move gives up the place in the queue. So the new shard must be better by a factor, without
    the reduction of its wait by the age of its summary, and each further move needs twice the
    wait. Summaries state the wait of a short request; a long one waits until its present owner may
    have reserved endpoints for it, because a move would restart that wait.
    """
    permit = request.permit
    settings = state.settings
    is_long = request.prompt_tokens > settings.long_prompt_tokens
    first_move = settings.long_prompt_queue_move_delay if is_long else settings.queue_move_delay
    if not permit.queued or now - permit.asked_at < first_move * 2**request.moves:
        return None
    limit = (
        permit.expected_wait * settings.queue_move_wait_ratio
        - settings.routing.equal_wait_tolerance
    )
    better = [
        entry
        for entry in _list_reachable(state, request, now)
        if entry.shard != permit.shard
        and not _is_denied(request, entry.shard, now)
        and not is_avoided(state.routing, entry.shard, now)
        and compute_reported_wait(state.routing, entry.shard, now) < limit
    ]
    return choose_shard(
        state.routing, better, now, state.random, request.prefix, request.prefix_tokens
    )


def _record_denial(
    state: RequestsState,
    request: Request,
    reason: DenialReason | None,
    retry_after: float,
    now: float,
) -> list[Effect]:
    """Record a denial, or a timeout of the owner if `reason` is None, and schedule a retry."""
    shard = request.permit.shard
    effects: list[Effect] = []
    if reason is None:
        effects = cancel_permit(state, request, now)
    else:
        # Nothing is reserved, so nothing needs to be cancelled.
        effects = record_permit(request, reason.value, now)
        forget_permit(state, request)
    delay = max(
        retry_after,
        MIN_DENIAL_RETRY_SECONDS,
        compute_backoff(state.settings, request.backoffs, state.random),
    )
    if reason in (DenialReason.TOO_LARGE, DenialReason.DEADLINE):
        # Neither of these reasons can change before the request ends.
        request.denials[shard] = Denial(reason, float("inf"))
    else:
        request.denials[shard] = Denial(reason, now + delay)
        avoid_shard(state.routing, shard, now + delay)
    if reason is DenialReason.NO_ENDPOINT:
        # Possibly only excluded endpoints are left, and one of them may have recovered.
        request.exclude.clear()
    return effects + schedule_backoff(state, request, now)


def _abandon_denied_request(
    state: RequestsState,
    request: Request,
    reachable: list[Candidate],
    retry_at: float,
    now: float,
) -> list[Effect]:
    reasons = {request.denials[entry.shard].reason for entry in reachable}
    retry_after = state.settings.refusal_retry_after
    if retry_at != float("inf"):
        retry_after = max(retry_after, retry_at - now)
    if reasons & {DenialReason.QUEUE_FULL, DenialReason.DEADLINE}:
        reason = Reason.OVERLOADED
        message = "the endpoints are busy for longer than the deadline; come back later"
    elif reasons == {DenialReason.TOO_LARGE}:
        reason = Reason.TOO_LARGE
        message = "no endpoint can hold the prompt and its answer; send less text"
        retry_after = None
    else:
        reason = Reason.NO_ENDPOINT
        message = "no endpoint of the service accepts work at present; come back later"
    return abandon_request(state, request, reason, message, retry_after, now)


def handle_denied(
    state: RequestsState, sender: str, message: PermitDenied, now: float
) -> list[Effect]:
    """Schedule a retry at another shard after an owner's denial."""
    record_summary(state.routing, message.summary, now)
    request = find_asking_request(state, message.permit)
    if request is None or request.permit.owner != sender:
        return []
    return _record_denial(state, request, message.reason, message.retry_after, now)


def handle_queued(
    state: RequestsState, sender: str, message: PermitQueued, now: float
) -> list[Effect]:
    """Record that the owner queued the request, and the expected wait."""
    record_summary(state.routing, message.summary, now)
    request = find_asking_request(state, message.permit)
    if request is not None and request.permit.owner == sender:
        request.permit.last_reply_at = now
        request.permit.queued = True
        request.permit.expected_wait = message.expected_wait
    return []


def handle_queue_revocation(
    state: RequestsState, request: Request, sender: str, now: float
) -> list[Effect]:
    """Schedule a retry at another shard after the owner removed the request from its queue."""
    if request.permit.owner != sender:
        return []
    return _record_denial(state, request, DenialReason.NOT_OWNER, 0.0, now)


def handle_granted(
    state: RequestsState, sender: str, message: PermitGranted, now: float
) -> list[Effect]:
    """Start the attempt, or cancel a permit that is no longer needed or too old."""
    record_summary(state.routing, message.summary, now)
    request = state.requests.get(state.permits.get(message.permit, ""))
    if request is None:
        released = state.released.get(message.permit)
        if released is not None:
            # The grant arrived twice; the release may have been lost.
            return [SendMessage(sender, released.message)]
        return [SendMessage(sender, PermitCancel(message.permit, message.shard))]
    if request.phase is Phase.RUNNING:
        return []
    permit = request.permit
    if sender != permit.owner or message.shard != permit.shard:
        return [SendMessage(sender, PermitCancel(message.permit, message.shard))]
    asked_at = permit.asks.get(message.ask)
    in_service = find_candidate(state.routing, permit.shard) is not None
    if asked_at is None or now >= asked_at + state.settings.start_window or not message.endpoints:
        return cancel_permit(state, request, now) + schedule_backoff(state, request, now)
    if now >= compute_start_limit(state, request) or not is_fresh(state, now) or not in_service:
        return cancel_permit(state, request, now) + request_permit(state, request, now)
    return _start_attempt(state, request, message, asked_at + state.settings.start_window, now)


def _start_attempt(
    state: RequestsState, request: Request, message: PermitGranted, start_by: float, now: float
) -> list[Effect]:
    permit = request.permit
    spans = record_permit(request, "granted", now)
    permit.endpoints = message.endpoints
    permit.priority = message.priority
    permit.start_by = start_by
    permit.started_at = now
    request.phase = Phase.RUNNING
    # The driver may write the first byte before its report arrives here.
    request.may_have_run = True
    request.attempts += 1
    start = StartAttempt(
        attempt=permit.ident,
        request=request.ident,
        endpoints=message.endpoints,
        priority=message.priority,
        resume_from=request.cursor,
        start_by=start_by,
        timeout=request.deadline - now,
        trace=request.trace,
    )
    return [
        CancelTimer(create_wait_timer(request)),
        start,
        *start_renewal(state, now),
        Measure("permit_wait_seconds", now - permit.asked_at, {"priority": message.priority}),
        *spans,
    ]


def reroute_requests(state: RequestsState, now: float) -> list[Effect]:
    """Move requests from shards that left service or changed owner, and use new shards at once."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if request.phase is Phase.ASKING:
            candidate = find_candidate(state.routing, request.permit.shard)
            if candidate is None or candidate.owner != request.permit.owner:
                effects += cancel_permit(state, request, now)
                effects += request_permit(state, request, now)
        elif (
            request.phase is Phase.BACKOFF
            and request.denials
            and any(
                entry.shard not in request.denials for entry in _list_reachable(state, request, now)
            )
        ):
            effects += request_permit(state, request, now)
    return effects


def resume_stale_requests(state: RequestsState, now: float) -> list[Effect]:
    """Request the permits of requests that wait until this host is fresh."""
    effects: list[Effect] = []
    for request in list(state.requests.values()):
        if request.phase is Phase.STALE:
            effects += request_permit(state, request, now)
    return effects
