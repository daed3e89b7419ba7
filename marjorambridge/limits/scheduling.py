"""Grant permits to requests and to the queue of a shard."""

import heapq
import math
import random

from marjorambridge.core.effects import Effect, Measure, RecordSpan, SendMessage
from marjorambridge.core.spans import SpanKind, name_span
from marjorambridge.limits.admission import (
    Placement,
    build_placement,
    check_endpoint,
    choose_endpoint,
    is_long_share_used,
)
from marjorambridge.limits.estimates import estimate_duration, estimate_first_token_seconds
from marjorambridge.limits.groups import (
    estimate_free_at,
    estimate_start,
    get_entry_limit,
    is_reservation_ready,
    is_reservation_valid,
    needs_exclusive,
    plan_reservation,
    set_reservation,
)
from marjorambridge.limits.ledger import Permit, Reservation, add_permit
from marjorambridge.limits.messages import (
    DenialReason,
    EndpointGrant,
    PermitDenied,
    PermitGranted,
    PermitRequest,
    PriorityClass,
)
from marjorambridge.limits.prefix import add_blocks
from marjorambridge.limits.queue import (
    CLASSES,
    QueueEntry,
    compute_work_ahead,
    get_head,
    pop_head,
    reinsert_entry,
    remove_entry,
)
from marjorambridge.limits.settings import LimitsSettings
from marjorambridge.limits.shard import (
    Shard,
    compute_rank,
    refresh_endpoint,
    schedule_check,
    summarize_shard,
)

# Entries of a class queue that are tried after a head that cannot be placed, so that a large
# request does not block smaller ones while the cost of a decision stays bounded.
MAX_LOOKAHEAD_ENTRIES = 8

MIN_RETRY_AFTER_SECONDS = 0.25
ENDPOINT_RETRY_AFTER_SECONDS = 1.0


def deny_request(
    shard: Shard,
    request: PermitRequest,
    reason: DenialReason,
    retry_after_seconds: float,
    now: float,
) -> list[Effect]:
    """Refuse a request; `retry_after_seconds` of 0 means that a retry cannot succeed."""
    summary = summarize_shard(shard, now)
    answer = PermitDenied(request.permit, shard.name, reason, retry_after_seconds, summary)
    return [
        SendMessage(request.permit.host, answer),
        Measure("permits_denied_total", 1.0, {"reason": reason.value}),
    ]


def deny_all_queued(
    shard: Shard, reason: DenialReason, retry_after_seconds: float, now: float
) -> list[Effect]:
    """Refuse every waiting request."""
    effects: list[Effect] = []
    for entry in list(shard.queue.entries.values()):
        remove_entry(shard.queue, entry, served=False)
        effects += record_queue_span(shard, entry, reason.value, now)
        effects += deny_request(shard, entry.request, reason, retry_after_seconds, now)
    return effects


def record_queue_span(shard: Shard, entry: QueueEntry, result: str, now: float) -> list[Effect]:
    """Return the trace span of the queue wait of a request; none if it did not wait."""
    request = entry.request
    if not request.trace or now <= entry.queued_at:
        return []
    return [
        RecordSpan(
            request.trace,
            name_span(SpanKind.QUEUE, request.permit),
            name_span(SpanKind.PERMIT, request.permit),
            entry.queued_at,
            now,
            {"shard": shard.name, "priority": entry.priority.value, "result": result},
        )
    ]


def build_grant(shard: Shard, permit: Permit, now: float) -> Effect:
    """Return the effect that sends the grant of a permit."""
    endpoints = tuple(
        EndpointGrant(
            part.endpoint, part.incarnation, part.address, part.tokens, part.cached_tokens
        )
        for part in permit.parts.values()
    )
    answer = PermitGranted(
        permit.identity,
        permit.ask,
        shard.name,
        shard.epoch,
        permit.priority,
        endpoints,
        summarize_shard(shard, now),
    )
    return SendMessage(permit.identity.host, answer)


def grant_permit(
    shard: Shard,
    request: PermitRequest,
    placements: list[Placement],
    priority: PriorityClass,
    settings: LimitsSettings,
    now: float,
) -> list[Effect]:
    """Reserve all placements of a request in one step and grant its permit."""
    # The endpoints of a group prefill their parts of the prompt at the same time.
    prefill = max(item.prefill for item in placements)
    duration = estimate_duration(shard.rates, prefill, request.output_tokens)
    permit = Permit(
        request.permit,
        priority,
        request.ask,
        granted_at=now,
        expires_at=now + settings.permit_expiry_seconds,
        expected_end=now + duration,
        output_tokens=request.output_tokens,
    )
    for item in placements:
        account = item.endpoint.account
        interactive = priority is PriorityClass.INTERACTIVE
        permit.parts[item.endpoint.announcement.endpoint] = Reservation(
            item.endpoint.announcement.endpoint,
            item.endpoint.announcement.incarnation,
            item.endpoint.announcement.address,
            item.tokens,
            item.prefill,
            item.cached_tokens,
            account.interactive_prefill if interactive else account.prefill,
            item.endpoint.ramp.generation,
            item.exclusive,
        )
    register_permit(shard, permit, settings, now)
    if priority is PriorityClass.INTERACTIVE and prefill and placements[0].endpoint.ramp.warm:
        (part,) = permit.parts.values()
        due = now + estimate_first_token_seconds(shard.rates, part.prefill + part.ahead)
        schedule_check(shard, due, "prefill", request.permit)
    if len(placements) == 1 and request.prefix:
        add_blocks(shard.prefix, placements[0].endpoint.announcement.endpoint, request.prefix)
    return [
        build_grant(shard, permit, now),
        Measure("permits_granted_total", 1.0, {"priority": priority.value}),
    ]


def register_permit(shard: Shard, permit: Permit, settings: LimitsSettings, now: float) -> None:
    """Add a permit to the ledger and schedule its expiry."""
    add_permit(shard.ledger, permit)
    schedule_check(shard, permit.expires_at, "expire", permit.identity)
    shard.serial += 1
    # The serial number orders permits with equal times by their grants.
    heapq.heappush(shard.expected_ends, (permit.expected_end, shard.serial, permit.identity))
    for name in permit.parts:
        refresh_endpoint(shard, name, settings, now)


def grant_reserved(shard: Shard, settings: LimitsSettings, now: float) -> list[Effect]:
    """Grant the reserved request if its endpoints are free; remove an invalid reservation."""
    reservation = shard.reservation
    if reservation is None:
        return []
    if not is_reservation_valid(shard, settings, now):
        set_reservation(shard, None, settings, now)
        return []
    if not is_request_recent(reservation.entry, settings, now) or not is_reservation_ready(
        shard, settings
    ):
        return []
    entry = reservation.entry
    request = entry.request
    if entry.priority is PriorityClass.GROUP:
        total = sum(reservation.shares.values())
        placements = []
        for name, share in reservation.shares.items():
            prefill = math.ceil(request.prompt_tokens * share / total)
            endpoint = shard.endpoints[name]
            exclusive = not endpoint.ramp.warm
            placements.append(
                Placement(endpoint, share, prefill, 0, PriorityClass.GROUP, exclusive)
            )
    else:
        (name,) = reservation.shares
        endpoint = shard.endpoints[name]
        exclusive = needs_exclusive(shard, entry, endpoint, settings)
        found = check_endpoint(shard, request, endpoint, settings, now, exclusive)
        if found is None:
            if build_placement(shard, request, endpoint, settings).priority is PriorityClass.LONG:
                # The long share is used up, so that a reserved endpoint would only be idle.
                set_reservation(shard, None, settings, now)
            return []
        placements = [found]
    set_reservation(shard, None, settings, now)
    remove_entry(shard.queue, entry, served=True)
    priority = entry.priority if len(placements) > 1 else placements[0].priority
    effects = grant_permit(shard, request, placements, priority, settings, now)
    return effects + record_queue_span(shard, entry, "granted", now)


def find_backfill(
    shard: Shard, request: PermitRequest, settings: LimitsSettings, now: float
) -> Placement | None:
    """Return a reserved endpoint on which a request should end before the reserved start."""
    reservation = shard.reservation
    if reservation is None or reservation.start <= now:
        return None
    best: Placement | None = None
    for name in reservation.shares:
        found = check_endpoint(shard, request, shard.endpoints[name], settings, now)
        if found is None:
            continue
        duration = estimate_duration(shard.rates, found.prefill, request.output_tokens)
        if now + duration > reservation.start:
            continue
        if best is None or compute_rank(found.endpoint) < compute_rank(best.endpoint):
            best = found
    return best


def find_placement(
    shard: Shard, request: PermitRequest, settings: LimitsSettings, now: float
) -> Placement | None:
    """Return where a request can start now: a free endpoint, or a reserved one as backfill."""
    found = choose_endpoint(shard, request, settings, now)
    return found if found is not None else find_backfill(shard, request, settings, now)


def is_request_recent(entry: QueueEntry, settings: LimitsSettings, now: float) -> bool:
    """Return whether a grant would still reach the requester within its start window."""
    return now < entry.last_request_at + 2 * settings.queue_renewal_interval_seconds


def serve_queue(shard: Shard, settings: LimitsSettings, now: float) -> list[Effect]:
    """Grant the advance reservation if it is ready, then what can start now, class by class."""
    effects = grant_reserved(shard, settings, now)
    for priority in CLASSES:
        if priority is PriorityClass.GROUP:
            break
        if priority is PriorityClass.LONG and is_long_share_used(shard):
            continue
        waiting = shard.queue.classes[priority]
        skipped: list[QueueEntry] = []
        while len(skipped) < MAX_LOOKAHEAD_ENTRIES:
            entry = pop_head(waiting)
            if entry is None:
                break
            if not is_request_recent(entry, settings, now):
                remove_entry(shard.queue, entry, served=False)
                continue
            found = find_placement(shard, entry.request, settings, now)
            if found is None:
                skipped.append(entry)
                continue
            remove_entry(shard.queue, entry, served=True)
            effects += grant_permit(shard, entry.request, [found], found.priority, settings, now)
            effects += record_queue_span(shard, entry, "granted", now)
        for entry in skipped:
            if not entry.removed:
                reinsert_entry(waiting, entry)
    return effects


def reserve_in_advance(shard: Shard, settings: LimitsSettings, now: float) -> list[Effect]:
    """Reserve endpoints for the longest waiting head of a class queue that cannot start otherwise.

    Endpoints are reserved for a group at once, because it never fits one endpoint, and for other
    classes after `reservation_delay_seconds`, so that many short requests cannot starve them.
    """
    if shard.reservation is not None:
        return []
    heads = []
    for priority in CLASSES:
        head = get_head(shard.queue.classes[priority])
        if head is None or not is_request_recent(head, settings, now):
            continue
        is_group = priority is PriorityClass.GROUP
        if not is_group and now < head.queued_at + settings.reservation_delay_seconds:
            continue
        if priority is PriorityClass.LONG and is_long_share_used(shard):
            continue
        heads.append((head.queued_at, head.serial, head))
    for _, _, head in sorted(heads, key=lambda item: item[:2]):
        reservation = plan_reservation(shard, head, settings, now)
        if reservation is not None:
            set_reservation(shard, reservation, settings, now)
            return grant_reserved(shard, settings, now)
    return []


def estimate_wait(
    shard: Shard, entry: QueueEntry, settings: LimitsSettings, rng: random.Random, now: float
) -> float:
    """Return the expected seconds until the grant of a queued request; infinity for never."""
    ahead = compute_work_ahead(shard.queue, entry)
    reservation = shard.reservation
    if reservation is not None and reservation.entry is entry:
        ends = []
        for name, share in reservation.shares.items():
            endpoint = shard.endpoints.get(name)
            if endpoint is not None:
                limit = get_entry_limit(shard, entry, endpoint, settings)
                ends.append(estimate_free_at(endpoint, share, limit, now))
        return max(ends, default=now) - now
    start = estimate_start(shard, entry, settings, rng, now)
    if reservation is not None and entry.priority is PriorityClass.GROUP:
        start = max(start, reservation.start) + reservation.entry.work
    return max(0.0, start - now) + ahead
