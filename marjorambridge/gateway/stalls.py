"""Decide when another attempt is started beside one that makes no progress.

A silent endpoint may go on, while a stream that was cut can't. So an attempt is not given up before
another one has brought the next event.
"""

import math

from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome, may_try_again, record_outcome
from marjorambridge.forwarding.budgets import has_retry
from marjorambridge.forwarding.contact import is_lost
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.gateway.contexts import RequestContext, RunningAttempt
from marjorambridge.gateway.crashes import is_blocked
from marjorambridge.gateway.relays import may_relay
from marjorambridge.gateway.selection import list_excluded, select_peer
from marjorambridge.manifests.models import Execution


def may_stall(context: RequestContext) -> bool:
    """Return whether another attempt may be started beside a silent one.

    Requests that may not run again have no stall deadline.
    """
    route = context.admission.route
    return route.execution is Execution.STREAM and route.resumable and route.max_endpoints > 1


def get_stall_deadline(context: RequestContext) -> float:
    """Return the monotonic time in seconds at which the only attempt counts as silent.

    Only complete events count as progress. The time is infinite while another attempt runs beside
    it, while the caller delays an event, and when the answer is decided.
    """
    attempt = find_only_attempt(context)
    if attempt is None:
        return math.inf
    if attempt.has_begun:
        return attempt.waits_since + get_event_timeout(context)
    allowed = context.profile.prefill_seconds + defaults.FIRST_EVENT_TIMEOUT_SECONDS
    return attempt.waits_since + allowed


def find_only_attempt(context: RequestContext) -> RunningAttempt | None:
    """Return the attempt that runs alone, apart from those that are being cancelled, or None."""
    attempts = [attempt for attempt in context.running if not attempt.scope.cancel_called]
    return attempts[0] if len(attempts) == 1 else None


def get_event_timeout(context: RequestContext) -> float:
    """Return the seconds after an event at which a stream without another one counts as silent."""
    objective_seconds = context.admission.route.gap_objective_seconds
    return max(
        defaults.EVENT_TIMEOUT_SECONDS, objective_seconds * defaults.EVENT_TIMEOUT_OBJECTIVES
    )


def can_start_beside(context: RequestContext, now: float) -> bool:
    """Return whether another attempt is allowed and possible beside the silent one."""
    gateway, admission = context.gateway, context.admission
    progress = replace(context.progress)
    silent = sum(attempt.max_endpoints for attempt in context.running)
    record_outcome(progress, AttemptOutcome.STALLED, silent)
    if not may_try_again(admission.route, progress, AttemptOutcome.STALLED):
        return False
    if context.deadline - now < defaults.MIN_ATTEMPT_SECONDS:
        return False
    if not has_retry(gateway.forwarding, admission.service, now):
        return False
    if is_blocked(gateway, context.request, context.causes, may_test=False):
        return False
    if is_lost(gateway.forwarding.contact) and may_relay(context):
        return select_peer(context, now) is not None
    excluded = list_excluded(context)
    return choose_endpoint(gateway.forwarding, context.profile, excluded, now) is not None
