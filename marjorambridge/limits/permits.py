"""Handle the messages of the holders of permits."""

import math

from marjorambridge.core.effects import Effect, Measure, SendMessage, WriteLog
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.view import ShardId, compute_bucket, parse_shard_id
from marjorambridge.limits.admission import (
    choose_endpoint,
    classify_prefill,
    classify_request,
    compute_tokens,
)
from marjorambridge.limits.cancellation import (
    free_permit_part,
    free_plain_parts,
    start_cancel,
)
from marjorambridge.limits.estimates import estimate_duration, record_attempt
from marjorambridge.limits.ledger import (
    Permit,
    Reservation,
    mark_first_token,
    record_ended_permit,
    refresh_grant,
)
from marjorambridge.limits.messages import (
    DenialReason,
    EndpointGrant,
    PermitCancel,
    PermitDenied,
    PermitQueued,
    PermitRelease,
    PermitRenew,
    PermitRequest,
    PermitRevoked,
    PriorityClass,
    RunningPermit,
    ShardSummary,
)
from marjorambridge.limits.ownership import find_owner
from marjorambridge.limits.queue import CLASSES, QueueEntry, add_entry, is_queue_full, remove_entry
from marjorambridge.limits.ramp import record_attempt_end, record_first_token
from marjorambridge.limits.scheduling import (
    ENDPOINT_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    build_grant,
    deny_request,
    estimate_wait,
    grant_permit,
    record_queue_span,
    register_permit,
    reserve_in_advance,
    serve_queue,
)
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    Shard,
    count_running,
    get_limit,
    is_usable,
    refresh_endpoint,
    schedule_check,
    summarize_shard,
)
from marjorambridge.limits.state import LimitsState, is_fresh

ZONE_RETRY_AFTER_SECONDS = 5.0
FRESHNESS_RETRY_AFTER_SECONDS = 0.5


def find_refusal(state: LimitsState, shard: Shard, now: float) -> tuple[DenialReason, float] | None:
    """Return why a shard grants nothing at present, and for how long; None if it grants."""
    if not is_fresh(state, now):
        return DenialReason.NOT_FRESH, FRESHNESS_RETRY_AFTER_SECONDS
    if not shard.open:
        return DenialReason.ZONE_OUT, ZONE_RETRY_AFTER_SECONDS
    if now < shard.grants_from:
        return DenialReason.TAKEOVER, shard.grants_from - now
    return None


def serve_shard(state: LimitsState, shard: Shard, now: float) -> list[Effect]:
    """Serve the queue of a shard if it may grant."""
    if not shard.queue.entries and shard.reservation is None:
        return []
    if find_refusal(state, shard, now) is not None:
        return []
    return serve_queue(shard, state.settings, now)


def handle_request(state: LimitsState, request: PermitRequest, now: float) -> list[Effect]:
    """Answer a permit request: grant, queue or refuse it."""
    identity = request.permit
    shard = state.shards.get(request.shard)
    if shard is None:
        answer = PermitDenied(
            identity,
            request.shard,
            DenialReason.NOT_OWNER,
            MIN_RETRY_AFTER_SECONDS,
            ShardSummary(request.shard),
        )
        labels = {"reason": DenialReason.NOT_OWNER.value}
        return [
            SendMessage(identity.host, answer),
            Measure("permits_denied_total", 1.0, labels),
        ]
    if identity.incarnation < state.host_incarnations.get(identity.host, identity.incarnation):
        return []
    if identity in shard.ledger.ended:
        return []
    refusal = find_refusal(state, shard, now)
    spans: list[Effect] = []
    permit = shard.ledger.permits.get(identity)
    if permit is not None:
        return _repeat_grant(state, shard, permit, request, refusal, now)
    entry = shard.queue.entries.get(identity)
    if refusal is not None:
        if entry is not None:
            remove_entry(shard.queue, entry, served=False)
            spans = record_queue_span(shard, entry, refusal[0].value, now)
        return spans + deny_request(shard, request, *refusal, now)
    if entry is not None:
        if request.ask > entry.request.ask:
            entry.request, entry.last_request_at = request, now
            entry.deadline = now + request.remaining
        return _answer_queued(state, shard, entry, now)
    return _admit(state, shard, request, now)


def _repeat_grant(
    state: LimitsState,
    shard: Shard,
    permit: Permit,
    request: PermitRequest,
    refusal: tuple[DenialReason, float] | None,
    now: float,
) -> list[Effect]:
    """Repeat a grant whose message was lost, if the permit could be granted now.

    The repeated grant answers the new request message and begins a new start window. If the permit
    could not be granted now, its attempt is cancelled on the endpoint, because a delayed request
    message does not prove that the first grant was not used.
    """
    if permit.started or permit.cancelling or request.ask <= permit.ask:
        return []
    usable = all(
        name in shard.endpoints
        and shard.endpoints[name].announcement.incarnation == part.incarnation
        and is_usable(shard.endpoints[name], state.settings, now)
        and count_running(shard.endpoints[name]) <= get_limit(shard.endpoints[name])
        # The ramp may have been restarted because the endpoint announced itself cold.
        and not (part.exclusive and part.generation != shard.endpoints[name].ramp.generation)
        for name, part in permit.parts.items()
    )
    if refusal is None and usable:
        permit.ask = request.ask
        permit.expires_at = now + state.settings.permit_expiry_seconds
        refresh_grant(shard.ledger, permit, now)
        return [build_grant(shard, permit, now)]
    reason, retry_after_seconds = refusal or (
        DenialReason.NO_ENDPOINT,
        ENDPOINT_RETRY_AFTER_SECONDS,
    )
    effects = start_cancel(shard, permit, state.settings, now)
    return effects + deny_request(shard, request, reason, retry_after_seconds, now)


def _admit(state: LimitsState, shard: Shard, request: PermitRequest, now: float) -> list[Effect]:
    """Grant a new request, queue it, or refuse it."""
    settings = state.settings
    tokens = compute_tokens(shard, request)
    if shard.endpoints and tokens > shard.total_capacity:
        return deny_request(shard, request, DenialReason.TOO_LARGE, 0.0, now)
    if not shard.totals.endpoints or (
        len(request.exclude) >= shard.totals.endpoints
        and all(name in request.exclude for name, item in shard.endpoints.items() if item.usable)
    ):
        return deny_request(
            shard, request, DenialReason.NO_ENDPOINT, ENDPOINT_RETRY_AFTER_SECONDS, now
        )
    priority = classify_request(shard, request, settings)
    if priority is not PriorityClass.GROUP and not _has_waiting_requests(shard, priority):
        found = choose_endpoint(shard, request, settings, now)
        if found is not None:
            return grant_permit(shard, request, [found], found.priority, settings, now)
    if is_queue_full(shard.queue, request.workspace, settings.max_queued_requests):
        waiting = sum(item.work for item in shard.queue.classes.values())
        retry_after_seconds = max(MIN_RETRY_AFTER_SECONDS, waiting)
        return deny_request(shard, request, DenialReason.QUEUE_FULL, retry_after_seconds, now)
    prefill = request.prompt_tokens if tokens else 0
    duration = estimate_duration(shard.rates, prefill, request.output_tokens if tokens else 0)
    part = max(1 / max(1, shard.totals.slots), tokens / max(1, shard.totals.capacity))
    entry = QueueEntry(
        request, priority, request.permit.host, now, now, now + request.remaining, duration * part
    )
    add_entry(shard.queue, entry)
    schedule_check(shard, now + 2 * settings.queue_renewal_interval_seconds, "ask", request.permit)
    effects = serve_queue(shard, settings, now)
    if not entry.removed and priority is PriorityClass.GROUP:
        effects += reserve_in_advance(shard, settings, now)
    return effects + ([] if entry.removed else _answer_queued(state, shard, entry, now))


def _has_waiting_requests(shard: Shard, priority: PriorityClass) -> bool:
    """Return whether a request waits in this class or in one that is served before it."""
    for other in CLASSES:
        if shard.queue.classes[other].count:
            return True
        if other is priority:
            return False
    return False


def _answer_queued(state: LimitsState, shard: Shard, entry: QueueEntry, now: float) -> list[Effect]:
    """Answer with the expected wait, or refuse the request if that exceeds its deadline."""
    wait = estimate_wait(shard, entry, state.settings, state.rng, now)
    if now + wait <= entry.deadline:
        summary = summarize_shard(shard, now)
        answer = PermitQueued(entry.request.permit, entry.request.ask, shard.name, wait, summary)
        return [SendMessage(entry.request.permit.host, answer)]
    remove_entry(shard.queue, entry, served=False)
    if wait == math.inf:
        # No usable endpoint can ever take the request, not even an idle cold one.
        reason, retry_after_seconds = DenialReason.NO_ENDPOINT, ENDPOINT_RETRY_AFTER_SECONDS
    else:
        reason, retry_after_seconds = DenialReason.DEADLINE, max(MIN_RETRY_AFTER_SECONDS, wait)
    effects = record_queue_span(shard, entry, reason.value, now)
    effects += deny_request(shard, entry.request, reason, retry_after_seconds, now)
    return effects + serve_shard(state, shard, now)


def drop_stale_entry(state: LimitsState, shard: Shard, identity: AttemptId, now: float) -> None:
    """Remove a queued request that is no longer repeated, or schedule its next check."""
    entry = shard.queue.entries.get(identity)
    if entry is None:
        return
    due = entry.last_request_at + 2 * state.settings.queue_renewal_interval_seconds
    if due > now:
        schedule_check(shard, due, "ask", identity)
    else:
        remove_entry(shard.queue, entry, served=False)


def find_shard(state: LimitsState, name: str, identity: AttemptId) -> Shard | None:
    """Return the owned shard with a permit, also if the number of buckets has changed since."""
    shard = state.shards.get(name)
    if shard is not None and identity in shard.ledger.permits:
        return shard
    service = name.partition("/")[0]
    for other in state.shards.values():
        if other.identity.service == service and identity in other.ledger.permits:
            return other
    return shard


def handle_cancel(state: LimitsState, message: PermitCancel, now: float) -> list[Effect]:
    """Remove a cancelled request from the queue, or free its unused permit."""
    shard = find_shard(state, message.shard, message.permit)
    if shard is None:
        return []
    entry = shard.queue.entries.get(message.permit)
    if entry is not None:
        remove_entry(shard.queue, entry, served=False)
    permit = shard.ledger.permits.get(message.permit)
    if permit is None:
        purge_at = now + state.settings.ended_permit_retention_seconds
        record_ended_permit(shard.ledger, message.permit, purge_at)
        return serve_shard(state, shard, now)
    if permit.started:
        # A renewed permit has a running attempt, whose end the endpoint has to confirm.
        return start_cancel(shard, permit, state.settings, now)
    for endpoint in list(permit.parts):
        free_permit_part(shard, permit, endpoint, state.settings, now)
    return serve_shard(state, shard, now)


def handle_release(state: LimitsState, message: PermitRelease, now: float) -> list[Effect]:
    """Record the end of an attempt in ramp, rates and ledger."""
    shard = find_shard(state, message.shard, message.permit)
    if shard is None:
        return []
    permit = shard.ledger.permits.get(message.permit)
    if permit is None:
        purge_at = now + state.settings.ended_permit_retention_seconds
        record_ended_permit(shard.ledger, message.permit, purge_at)
        return []
    effects: list[Effect] = []
    if not permit.cancelling:
        effects += _record_release(state, shard, permit, message, now)
    if not message.stopped:
        if message.endpoint_failed:
            # The plain service broke the connection itself, so it has stopped the call.
            free_plain_parts(shard, permit, state.settings, now)
        effects += start_cancel(shard, permit, state.settings, now)
    else:
        for endpoint in list(permit.parts):
            free_permit_part(shard, permit, endpoint, state.settings, now)
    return effects + serve_shard(state, shard, now)


def _record_release(
    state: LimitsState, shard: Shard, permit: Permit, message: PermitRelease, now: float
) -> list[Effect]:
    """Update the ramps of the endpoints and the measured rates after the end of an attempt."""
    settings = state.settings
    effects: list[Effect] = []
    for position, (name, part) in enumerate(permit.parts.items()):
        endpoint = shard.endpoints.get(name)
        if endpoint is None or endpoint.announcement.incarnation != part.incarnation:
            continue
        failed = message.endpoint_failed and position == 0
        ramp = endpoint.ramp
        if len(permit.parts) == 1 and record_first_token(
            ramp,
            part.generation,
            message.first_token_seconds,
            part.prefill + part.ahead,
            settings.cold_slowdown_factor,
            settings.cold_slow_first_tokens,
        ):
            fields = {"endpoint": name, "shard": shard.name}
            effects.append(
                WriteLog("warning", "endpoint turned cold: its first tokens are slow", fields)
            )
        record_attempt_end(ramp, part.generation, message.succeeded, failed)
        refresh_endpoint(shard, name, settings, now)
    if message.succeeded and len(permit.parts) == 1 and permit.ask:
        (part,) = permit.parts.values()
        record_attempt(
            shard.rates,
            part.prefill + part.ahead,
            permit.output_tokens if part.tokens else 0,
            message.first_token_seconds,
            now - permit.granted_at,
        )
    return effects


def assume_first_token(
    shard: Shard, identity: AttemptId, settings: LimitsSettings, now: float
) -> None:
    """Count the prefill of a short prompt on a warm endpoint as ended after the estimated time.

    On a cold endpoint, whose prefill limit must hold, a prefill ends only when it is reported.
    """
    permit = shard.ledger.permits.get(identity)
    if permit is None or permit.cancelling:
        return
    warm = all(name in shard.endpoints and shard.endpoints[name].ramp.warm for name in permit.parts)
    if warm and mark_first_token(shard.ledger, permit):
        for name in permit.parts:
            refresh_endpoint(shard, name, settings, now)


def handle_renew(state: LimitsState, sender: str, message: PermitRenew, now: float) -> list[Effect]:
    """Renew the running permits of a holder, and register those that are unknown."""
    effects: list[Effect] = []
    moved: dict[str, list[RunningPermit]] = {}
    for running in message.permits:
        for name, part in _split_by_shard(state, running).items():
            shard = state.shards.get(name)
            if shard is not None:
                effects += _renew(state, shard, part, now)
            elif name != running.shard and sender == part.permit.host:
                # The holder has not applied the new number of buckets yet. Only a message from
                # the holder itself is forwarded, so that it is forwarded once.
                owner = find_owner(state, parse_shard_id(name))
                if owner is not None and owner != state.host:
                    moved.setdefault(owner, []).append(part)
    for owner, permits in moved.items():
        effects.append(SendMessage(owner, PermitRenew(tuple(permits))))
    return effects


def _split_by_shard(state: LimitsState, running: RunningPermit) -> dict[str, RunningPermit]:
    """Divide a permit among the shards that its endpoints belong to at present."""
    try:
        shard = parse_shard_id(running.shard)
    except ValueError:
        return {}
    service = state.configuration.services.get(shard.service) if state.configuration else None
    if service is None:
        return {running.shard: running}
    parts: dict[str, list[EndpointGrant]] = {}
    for grant in running.endpoints:
        bucket = compute_bucket(grant.endpoint, max(1, service.buckets))
        name = str(ShardId(shard.service, shard.zone, bucket))
        parts.setdefault(name, []).append(grant)
    return {
        name: RunningPermit(running.permit, name, tuple(grants), running.first_token)
        for name, grants in parts.items()
    }


def _renew(state: LimitsState, shard: Shard, running: RunningPermit, now: float) -> list[Effect]:
    """Renew or register one permit."""
    identity = running.permit
    if identity.incarnation < state.host_incarnations.get(identity.host, identity.incarnation):
        return []
    settings = state.settings
    permit = shard.ledger.permits.get(identity)
    if permit is not None and not permit.cancelling:
        permit.started = True
        permit.expires_at = now + settings.permit_expiry_seconds
        if running.first_token and mark_first_token(shard.ledger, permit):
            for name in permit.parts:
                refresh_endpoint(shard, name, settings, now)
            return serve_shard(state, shard, now)
        return []
    outdated = any(
        grant.endpoint in shard.endpoints
        and shard.endpoints[grant.endpoint].announcement.incarnation > grant.incarnation
        for grant in running.endpoints
    )
    if permit is not None or identity in shard.ledger.ended or outdated:
        return [SendMessage(identity.host, PermitRevoked(identity, shard.name))]
    register_running(state, shard, running, 0.0, now)
    return []


def register_running(
    state: LimitsState, shard: Shard, running: RunningPermit, age: float, now: float
) -> None:
    """Register a permit that an earlier owner granted, with an upper estimate of its prefill.

    Parameters
    ----------
    age : float
        Seconds since its last renewal.
    """
    prefill = sum(max(0, item.tokens - item.cached_tokens) for item in running.endpoints)
    priority = classify_prefill(prefill, state.settings)
    if len(running.endpoints) > 1:
        priority = PriorityClass.GROUP
    permit = Permit(
        running.permit,
        priority,
        ask=0,
        granted_at=now,
        expires_at=now + state.settings.permit_expiry_seconds - age,
        expected_end=now + estimate_duration(shard.rates, prefill, 0),
        started=True,
        first_token=running.first_token,
    )
    for grant in running.endpoints:
        own = max(0, grant.tokens - grant.cached_tokens)
        permit.parts[grant.endpoint] = Reservation(
            grant.endpoint,
            grant.incarnation,
            grant.address,
            grant.tokens,
            own,
            grant.cached_tokens,
            # This owner did not grant the permit, so its end does not change the limit of the ramp.
            generation=-1,
            exclusive=own > state.settings.cold_prefill_tokens,
        )
        endpoint = shard.endpoints.get(grant.endpoint)
        if endpoint is not None and endpoint.unknown_attempts:
            endpoint.unknown_attempts -= 1
    register_permit(shard, permit, state.settings, now)
