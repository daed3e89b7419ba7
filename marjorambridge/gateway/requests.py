"""Handle a request of a caller: admit it, run attempts, and write the answer.

All decisions are made by functions of `marjorambridge.forwarding`; this module executes them.
"""

import time

import anyio
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.forwarding.admission import Admission, Refusal, admit_request
from marjorambridge.forwarding.attempts import NextStep, decide_next_step
from marjorambridge.forwarding.budgets import record_request
from marjorambridge.forwarding.relays import Relay
from marjorambridge.gateway import bodies
from marjorambridge.gateway.contexts import RequestContext, create_context
from marjorambridge.gateway.crashes import is_blocked
from marjorambridge.gateway.delivery import set_end
from marjorambridge.gateway.exceptions import BadRequestError
from marjorambridge.gateway.exchanges import Exchange
from marjorambridge.gateway.messages import CallerRequest, holds_too_much
from marjorambridge.gateway.outcomes import (
    answer_invalid,
    deliver,
    fail,
    log_outcome,
    refuse,
    refuse_admission,
    refuse_memory,
)
from marjorambridge.gateway.races import run_race
from marjorambridge.gateway.relay_reports import report_start
from marjorambridge.gateway.relays import take_request
from marjorambridge.gateway.selection import select_attempt, select_next_attempt
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.tickets import release


async def handle_request(gateway: Gateway, exchange: Exchange) -> None:
    """Handle a request and write its answer."""
    try:
        request = gateway.dialect.decode_request(
            exchange.method, exchange.target, exchange.headers, exchange.body
        )
    except BadRequestError as error:
        await answer_invalid(gateway, exchange, error)
        return
    exchange.request_id = exchange.delivery.request_id = request.request_id
    admitted = await _admit(gateway, exchange, request)
    if isinstance(admitted, Refusal):
        await refuse_admission(gateway, exchange, request, admitted)
        return
    if not _hold_body(gateway, exchange, admitted):
        await refuse_memory(gateway, exchange, request, admitted)
        return
    if exchange.relay is not None:
        _apply_relay(request, admitted, exchange.relay)
    else:
        record_request(gateway.forwarding, admitted.service, time.monotonic())
    context = create_context(gateway, exchange, request, admitted)
    set_end(exchange.delivery, context.deadline)
    outcome = "caller_gone"
    try:
        outcome = await _run_attempts(context)
    finally:
        context.allocation.release()
        _release_answers(context)
        for attempt in context.attempts:
            await release(attempt.tickets)
        log_outcome(context, outcome)


def _hold_body(gateway: Gateway, exchange: Exchange, admitted: Admission) -> bool:
    """Count the body for its workspace; return whether the workspace may hold it.

    A workspace whose answers fill its part of the memory starts no further request. The answers
    themselves are never refused for that, because their requests have run.
    """
    if admitted.service not in gateway.forwarding.planned or admitted.workspace is None:
        return True
    name = admitted.workspace.name
    return not holds_too_much(gateway.memory, name) and bodies.assign(exchange.reservation, name)


async def handle_relayed_request(gateway: Gateway, exchange: Exchange) -> None:
    """Handle a request that another host passed on, and answer that host."""
    if not await take_request(gateway, exchange):
        return
    gateway.relayed += 1
    try:
        await handle_request(gateway, exchange)
    finally:
        gateway.relayed -= 1


def _apply_relay(request: CallerRequest, admitted: Admission, relay: Relay) -> None:
    """Apply what is left of the time and the endpoints of a request, and its position."""
    waits = request.wait_seconds
    request.wait_seconds = relay.seconds if waits is None else min(waits, relay.seconds)
    if relay.last_event is not None:
        request.last_event = relay.last_event
    route = admitted.route
    admitted.route = replace(route, max_endpoints=min(route.max_endpoints, relay.endpoints))


async def _admit(
    gateway: Gateway, exchange: Exchange, request: CallerRequest
) -> Admission | Refusal:
    """Admit or refuse a request; before the first manifest arrives, wait a limited time for it.

    A request that is complete late in a planned stop might not end before the process does, and
    another host can serve it at once.
    """
    if time.monotonic() >= gateway.accepts_until:
        return Refusal.STOPPING
    wait_deadline = exchange.arrived_at + defaults.FIRST_MANIFEST_TIMEOUT_SECONDS
    while True:
        admitted = admit_request(
            gateway.forwarding, request.host_name, request.path, request.key, request.repeatable
        )
        remaining = wait_deadline - time.monotonic()
        if admitted is not Refusal.NO_MANIFEST or remaining <= 0:
            return admitted
        with anyio.move_on_after(remaining):
            await gateway.updated.wait()


# Attempts.


async def _run_attempts(context: RequestContext) -> str:
    """Run attempts until one is final, write the answer and return the outcome's name."""
    if is_blocked(context.gateway, context.request, context.causes, may_test=True):
        return await refuse(context, "blocked")
    attempt = await select_attempt(context)
    if attempt is not None and not await report_start(context):
        return "caller_gone"
    while attempt is not None:
        result = await run_race(context, attempt)
        if context.exchange.caller_gone:
            return "caller_gone"
        next_attempt = await select_next_attempt(context, result.outcome)
        step = decide_next_step(
            context.admission.route, context.progress, result.outcome, next_attempt is not None
        )
        if step is NextStep.DELIVER:
            return await deliver(context, result)
        if step is NextStep.REFUSE:
            return await refuse(context, result.outcome.value)
        if step is NextStep.FAIL:
            return await fail(context, result.outcome)
        _release_answers(context)
        attempt = next_attempt
    return await refuse(context, "no_endpoint")


def _release_answers(context: RequestContext) -> None:
    """Free the memory of all answers, of which none is needed any more."""
    for attempt in context.attempts:
        attempt.allocation.release()
