"""Run the attempts of a request until one of them decides it.

A stream that is silent for some time gets a second attempt, while the first one goes on. The one
that brings the next event first is kept, and the other is cancelled.
"""

import time

import anyio
from anyio.abc import TaskGroup
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.relays import count_used
from marjorambridge.gateway.attempts import (
    cancel_others,
    record_attempt,
    record_stall,
    run_attempt,
)
from marjorambridge.gateway.contexts import RequestContext, RunningAttempt
from marjorambridge.gateway.messages import AttemptResult
from marjorambridge.gateway.relay_reports import report_start
from marjorambridge.gateway.selection import consume_retry_for, select_attempt
from marjorambridge.gateway.stalls import (
    can_start_beside,
    find_only_attempt,
    get_event_timeout,
    get_stall_deadline,
    may_stall,
)
from marjorambridge.gateway.tickets import release

OVERTAKEN_DETAIL = "another attempt brought the next event"


class Race(Struct, eq=False):
    """Store the attempts of a request that run at the same time.

    Attributes
    ----------
    result : AttemptResult
        Result of the attempt that ended last without being cancelled.
    ended : anyio.Event
        Set when an attempt ends, and then replaced.
    """

    context: RequestContext
    tasks: TaskGroup
    result: AttemptResult = field(default_factory=lambda: AttemptResult(AttemptOutcome.TIMED_OUT))
    ended: anyio.Event = field(default_factory=anyio.Event)


async def run_race(context: RequestContext, first: RunningAttempt) -> AttemptResult:
    """Run an attempt, and others beside it while it is silent; return the result of the last."""
    if not may_stall(context):
        return await _run_alone(context, first)
    async with anyio.create_task_group() as tasks:
        race = Race(context, tasks)
        _start(race, first)
        while context.running:
            # The first event may bring the deadline forward.
            remaining = get_stall_deadline(context) - time.monotonic()
            await _wait_for_end(race, min(remaining, get_event_timeout(context)))
            if get_stall_deadline(context) <= time.monotonic():
                await _start_beside(race)
    return race.result


async def _run_alone(context: RequestContext, attempt: RunningAttempt) -> AttemptResult:
    context.running.append(attempt)
    try:
        result = await run_attempt(context, attempt)
    finally:
        context.running.remove(attempt)
    if not context.exchange.caller_gone:
        record_attempt(context, attempt, result)
    return result


def _start(race: Race, attempt: RunningAttempt) -> None:
    race.context.running.append(attempt)
    race.tasks.start_soon(_run, race, attempt)


async def _run(race: Race, attempt: RunningAttempt) -> None:
    context, result = race.context, None
    try:
        with attempt.scope:
            result = await run_attempt(context, attempt)
    finally:
        context.running.remove(attempt)
        race.ended.set()
    if context.exchange.caller_gone:
        cancel_others(context, attempt)
    elif attempt.scope.cancel_called or result is None:
        outcome = AttemptOutcome.STALLED if attempt.has_stalled else AttemptOutcome.OVERTAKEN
        tried = count_used(attempt.endpoints_reported, attempt.max_endpoints)
        record_attempt(context, attempt, AttemptResult(outcome, None, b"", OVERTAKEN_DETAIL, tried))
    else:
        record_attempt(context, attempt, result)
        race.result = result
        if result.outcome is AttemptOutcome.COMPLETE:
            cancel_others(context, attempt)


async def _start_beside(race: Race) -> None:
    """Start another attempt beside the silent one, or wait before the next check."""
    context = race.context
    silent = find_only_attempt(context)
    if silent is None or not can_start_beside(context, time.monotonic()):
        await _wait_for_end(race)
        return
    attempt = await _select_beside(context)
    if attempt is None:
        # A selection may order memory of many engines.
        await _wait_for_end(race, get_event_timeout(context))
        return
    if get_stall_deadline(context) > time.monotonic():
        # The silent attempt ended or went on while memory was being reserved.
        await release(attempt.tickets)
        return
    if not await consume_retry_for(context, attempt):
        return
    record_stall(context, silent)
    _start(race, attempt)


async def _select_beside(context: RequestContext) -> RunningAttempt | None:
    """Return an attempt that may start, or None if there is none or the silent one goes on."""
    attempt, may_start = None, False
    with anyio.CancelScope() as context.selection:
        attempt = await select_attempt(context, may_wait=False)
        may_start = attempt is not None and await report_start(context)
    if attempt is None or may_start:
        return attempt
    await release(attempt.tickets)
    return None


async def _wait_for_end(race: Race, seconds: float = defaults.STALL_CHECK_INTERVAL_SECONDS) -> None:
    """Wait until an attempt ends, or until the next check of a silent one."""
    with anyio.move_on_after(seconds):
        await race.ended.wait()
    if race.ended.is_set():
        race.ended = anyio.Event()
