"""Select the endpoints of an attempt, and reserve their memory for a long prompt."""

import time

import anyio

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome, may_try_again
from marjorambridge.forwarding.budgets import consume_retry
from marjorambridge.forwarding.contact import is_lost
from marjorambridge.forwarding.placement import choose_endpoint, is_usable, list_usable
from marjorambridge.forwarding.relays import choose_peer
from marjorambridge.forwarding.request_limits import may_send_limited
from marjorambridge.forwarding.reservations import needs_reservations, plan_memory_shares
from marjorambridge.forwarding.splitting import choose_prefill_engines, is_long_prompt
from marjorambridge.forwarding.state import Endpoint
from marjorambridge.gateway.contexts import RequestContext, RunningAttempt, create_attempt
from marjorambridge.gateway.crashes import is_blocked
from marjorambridge.gateway.relay_reports import report_start
from marjorambridge.gateway.relays import must_relay
from marjorambridge.gateway.tickets import release, reserve
from marjorambridge.gateway.waiting import find_room, may_still_start


async def select_attempt(context: RequestContext, may_wait: bool = True) -> RunningAttempt | None:
    """Return an attempt at the endpoint that fits best, or None if none can take the request.

    While this host reaches no endpoint, the attempt passes the request on to another host; what
    another host has passed on goes back to it.

    Parameters
    ----------
    may_wait : bool
        Whether a request of a planned service waits for room.
    """
    forwarding, profile = context.gateway.forwarding, context.profile
    now = time.monotonic()
    excluded = list_excluded(context)
    if is_lost(forwarding.contact) and context.exchange.relay is not None:
        return None
    if must_relay(context):
        return _select_relay(context, now)
    if profile.is_planned:
        attempt = await _select_planned(context, excluded, may_wait)
        if attempt is None and must_relay(context):
            # The host lost its endpoints while the request waited.
            return _select_relay(context, time.monotonic())
        return attempt
    may_split = context.gateway.dialect.helpers is not None
    if not may_split or not is_long_prompt(forwarding, profile):
        endpoint = choose_endpoint(forwarding, profile, excluded, now)
        return create_attempt(context, endpoint) if endpoint is not None else None
    # Engines become free within a short time, and a later retry of the caller rarely finds more
    # free engines.
    wait_deadline = now + defaults.LONG_PROMPT_WAIT_SECONDS
    while True:
        attempt = await _select_for_long_prompt(context, excluded)
        now = time.monotonic()
        if attempt is not None or now >= wait_deadline:
            return attempt
        if not list_usable(forwarding, profile.service, excluded, now):
            return None
        await anyio.sleep(defaults.LONG_PROMPT_CHECK_INTERVAL_SECONDS)


def _select_relay(context: RequestContext, now: float) -> RunningAttempt | None:
    """Return an attempt that passes the request on, or None if enough hosts had it."""
    peer = select_peer(context, now)
    return create_attempt(context, peer) if peer is not None else None


def select_peer(context: RequestContext, now: float) -> Endpoint | None:
    """Return the host that gets the request next, or None if enough hosts had it."""
    forwarding, excluded = context.gateway.forwarding, list_excluded(context)
    if len(excluded & forwarding.peers.keys()) >= defaults.MAX_RELAY_HOSTS:
        return None
    return choose_peer(forwarding, excluded, now)


def list_excluded(context: RequestContext) -> frozenset[str]:
    """Return the endpoints that had the request, or have it at present."""
    running = {attempt.endpoint.name for attempt in context.running}
    return frozenset(context.excluded | running)


async def _select_for_long_prompt(
    context: RequestContext, excluded: frozenset[str]
) -> RunningAttempt | None:
    forwarding, profile, now = context.gateway.forwarding, context.profile, time.monotonic()
    profile.remaining_seconds = max(0.0, context.deadline - now)
    engines = choose_prefill_engines(forwarding, profile, excluded, now)
    if not engines:
        return None
    return await _create_attempt(context, engines, excluded)


async def _select_planned(
    context: RequestContext, excluded: frozenset[str], may_wait: bool
) -> RunningAttempt | None:
    """Return an attempt once the request has room, or None if it can't be served in time."""
    while True:
        endpoints = await find_room(context, excluded, may_wait)
        if not endpoints:
            return None
        attempt = await _create_attempt(context, endpoints, excluded)
        if attempt is not None or not may_wait:
            return attempt
        # An engine had less memory than its load reports said.
        await anyio.sleep(defaults.WAITING_CHECK_SECONDS)
        if not may_still_start(context):
            return None


async def _create_attempt(
    context: RequestContext, engines: list[Endpoint], excluded: frozenset[str]
) -> RunningAttempt | None:
    """Return an attempt at engines, or None if they lack the memory for it."""
    forwarding, profile = context.gateway.forwarding, context.profile
    attempt = create_attempt(context, engines[0])
    attempt.helpers = engines[1:]
    if needs_reservations(forwarding, profile):
        shares = plan_memory_shares(forwarding, profile, engines)
        if not shares or not await reserve(attempt.tickets, shares):
            return None
        now = time.monotonic()
        if not may_send_limited(forwarding, engines[0], now) or not all(
            is_usable(forwarding, engine, excluded, now) for engine in engines
        ):
            # An engine became unusable while the memory was being reserved.
            await release(attempt.tickets)
            return None
    return attempt


async def select_next_attempt(
    context: RequestContext, outcome: AttemptOutcome
) -> RunningAttempt | None:
    """Return another attempt, or None if it is not allowed or not possible."""
    if not may_follow(context, outcome):
        return None
    attempt = await select_attempt(context)
    if attempt is None:
        return None
    if outcome is not AttemptOutcome.NOT_SENT and not await consume_retry_for(context, attempt):
        return None
    if not await report_start(context):
        await release(attempt.tickets)
        return None
    return attempt


async def consume_retry_for(context: RequestContext, attempt: RunningAttempt) -> bool:
    """Return whether the share of this host allows the repetition; if not, free its memory."""
    if consume_retry(context.gateway.forwarding, context.admission.service, time.monotonic()):
        return True
    context.attempt_outcomes.append("no_retry_budget")
    await release(attempt.tickets)
    return False


def may_follow(context: RequestContext, outcome: AttemptOutcome) -> bool:
    """Return whether the request, its route and its deadline allow another attempt."""
    if not may_try_again(context.admission.route, context.progress, outcome):
        return False
    if context.deadline - time.monotonic() < defaults.MIN_ATTEMPT_SECONDS:
        return False
    return not is_blocked(context.gateway, context.request, context.causes, may_test=False)
