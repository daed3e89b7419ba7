"""Decide when an answer that makes no progress is given up for another endpoint."""

import math
import time

from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome, may_try_again, record_outcome
from marjorambridge.forwarding.budgets import has_retry
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.gateway.contexts import RequestContext
from marjorambridge.gateway.crashes import is_blocked
from marjorambridge.manifests.models import Execution


def get_stall_deadline(context: RequestContext, endpoint: str) -> float:
    """Return the monotonic time in seconds at which the stream of an endpoint counts as stalled.

    Only complete events count as progress. Requests that may not run again have no stall deadline,
    because no other attempt could follow. A stream that the caller has begun to receive is only
    given up if another endpoint can continue it: a silent endpoint may go on, while a stream that
    was cut can't.
    """
    route = context.admission.route
    if route.execution is not Execution.STREAM or not route.resumable:
        return math.inf
    if context.last_event_at < context.attempt_started_at:
        allowed = context.profile.prefill_seconds + defaults.FIRST_EVENT_TIMEOUT_SECONDS
        deadline = context.attempt_started_at + allowed
    else:
        allowed = route.gap_objective_seconds * defaults.EVENT_TIMEOUT_OBJECTIVES
        deadline = context.last_event_at + max(defaults.EVENT_TIMEOUT_SECONDS, allowed)
    now = time.monotonic()
    if now < deadline or not context.exchange.has_head:
        return deadline
    # The check is too costly for each piece of an endless event.
    if now >= context.stall_check_at:
        if _can_continue_elsewhere(context, endpoint, now):
            return deadline
        context.stall_check_at = now + defaults.STALL_CHECK_INTERVAL_SECONDS
    return context.stall_check_at


def _can_continue_elsewhere(context: RequestContext, endpoint: str, now: float) -> bool:
    """Return whether another attempt is allowed and possible after this one."""
    gateway, admission = context.gateway, context.admission
    progress = replace(context.progress)
    record_outcome(progress, AttemptOutcome.STALLED)
    if not may_try_again(admission.route, progress, AttemptOutcome.STALLED):
        return False
    if context.deadline - now < defaults.MIN_ATTEMPT_SECONDS:
        return False
    if not has_retry(gateway.forwarding, admission.service, now):
        return False
    if is_blocked(gateway, context.request, context.causes, may_test=False):
        return False
    excluded = frozenset(context.excluded | {endpoint})
    return choose_endpoint(gateway.forwarding, context.profile, excluded, now) is not None
