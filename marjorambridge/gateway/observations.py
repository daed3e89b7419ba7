"""Observe what attempts at planned services cost, for the estimates of all further requests.

An attempt at another host is observed by that host, which sends it to an endpoint.
"""

import math
import time

import anyio
from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.costs import compute_loaded_pass_seconds
from marjorambridge.forwarding.loads import add_work, count_kv_tokens, count_requests
from marjorambridge.forwarding.state import Endpoint, find_definition
from marjorambridge.gateway.contexts import (
    RequestContext,
    RunningAttempt,
    get_answer_hint,
    get_route_key,
)
from marjorambridge.gateway.messages import SUCCESS_STATUSES, AttemptResult
from marjorambridge.gateway.state import Gateway
from marjorambridge.manifests.models import EngineProfile, Execution
from marjorambridge.scheduling.estimates import (
    estimate_work_seconds,
    get_slowdown,
    record_answer,
    record_slowdown,
    record_work,
    record_zone_delay,
)


def _is_observed(context: RequestContext, running: RunningAttempt) -> bool:
    return context.profile.is_planned and not running.endpoint.is_peer


def _find_engine(context: RequestContext) -> EngineProfile | None:
    definition = find_definition(context.gateway.forwarding, context.profile.service)
    return definition.engine if definition is not None else None


def begin_observation(context: RequestContext, running: RunningAttempt, now: float) -> None:
    """Add the expected work of an attempt to the load of its endpoint."""
    if not _is_observed(context, running):
        return
    running.costs.endpoint_requests = max(1, count_requests(running.endpoint))
    if context.profile.work_seconds > 0:
        # An engine writes after the prefill; the work of a plain endpoint begins at once.
        started_at = math.inf if context.profile.prefill_seconds > 0 else now
        load = running.endpoint.load
        running.costs.work = add_work(load, context.profile.work_seconds, started_at)


def end_observation(running: RunningAttempt) -> None:
    """Remove the expected work of an attempt that ended."""
    if running.costs.work is not None:
        running.endpoint.load.works.remove(running.costs.work)
        running.costs.work = None


def observe_connection(context: RequestContext, running: RunningAttempt, now: float) -> None:
    """Record the time in which the connection of an attempt was opened."""
    if _is_observed(context, running):
        costs, endpoint = context.gateway.forwarding.costs, running.endpoint
        record_zone_delay(costs, endpoint.zone, endpoint.name, now - running.started_at, now)


def observe_events(context: RequestContext, running: RunningAttempt, now: float) -> None:
    """Record the time of the passes of an engine between two pieces of a stream.

    Must be called before `waits_since` is changed for the new events. Passes beside a prefill, and
    those after which the caller read slowly, say nothing about the engine. Those of a cold engine
    are longer until it is warm, which placement considers already.
    """
    if not _is_observed(context, running):
        return
    costs, endpoint = running.costs, running.endpoint
    previous_at, passes = costs.events_at, running.cursor.events - costs.events
    costs.events_at, costs.events = now, running.cursor.events
    if costs.work is not None:
        costs.work.started_at = min(costs.work.started_at, now)
    engine = _find_engine(context)
    if engine is None or previous_at <= 0 or passes <= 0 or now < endpoint.cold_until:
        return
    if _has_prefilled_since(endpoint, previous_at):
        return
    expected = compute_loaded_pass_seconds(
        engine, count_requests(endpoint), count_kv_tokens(endpoint)
    )
    forwarding = running.waits_since - previous_at
    if expected < defaults.MIN_OBSERVED_PASS_SECONDS:
        return
    if forwarding <= defaults.MAX_FORWARDING_PASS_RATIO * expected:
        record_slowdown(endpoint.costs, (now - previous_at) / passes / expected, now)


def _has_prefilled_since(endpoint: Endpoint, since: float) -> bool:
    """Return whether an engine prefilled a prompt of any host, as far as this host knows."""
    loads = (endpoint.load, *endpoint.other_loads.values())
    if any(load.reads for load in loads):
        return True
    return endpoint.load.as_of > since or endpoint.costs.prefill_seen_at >= since


def observe_answer(
    context: RequestContext, running: RunningAttempt, result: AttemptResult, now: float
) -> None:
    """Record the work of a plain request, or the length of an answer, that is complete."""
    head = result.head
    if not _is_observed(context, running) or result.outcome is not AttemptOutcome.COMPLETE:
        return
    if head is None or head.status not in SUCCESS_STATUSES:
        return
    engine = _find_engine(context)
    is_stream = context.admission.route.execution is Execution.STREAM
    if engine is None and not is_stream:
        _observe_work(context, running, now)
    elif engine is not None and is_stream and len(context.attempts) == 1:
        _observe_length(context, running, engine, now)


def _observe_work(context: RequestContext, running: RunningAttempt, now: float) -> None:
    """Record the time of a plain request; one that shares a full endpoint waits for others."""
    costs, endpoint = context.gateway.forwarding.costs, running.endpoint
    route = get_route_key(context.admission)
    if now < endpoint.cold_until:
        return
    requests_by_slot = running.costs.endpoint_requests / max(1, endpoint.slots)
    seconds = (now - running.started_at) / max(1.0, requests_by_slot)
    record_work(costs, route, endpoint.name, seconds, now)
    record_slowdown(endpoint.costs, seconds / estimate_work_seconds(costs, route, now), now)


def _observe_length(
    context: RequestContext, running: RunningAttempt, engine: EngineProfile, now: float
) -> None:
    """Record the length of a whole answer; the last pass ends anywhere within its tokens."""
    request = context.request
    hint = get_answer_hint(request)
    is_hint = engine.kv_tokens <= 0 or hint <= engine.kv_tokens
    if request.last_event is not None or context.exchange.relay is not None or not is_hint:
        return
    tokens = (running.cursor.events - 0.5) * engine.stride_steps
    route, workspace = get_route_key(context.admission), context.profile.workspace
    record_answer(context.gateway.forwarding.costs, route, workspace, tokens, hint, now)


def _log_change(endpoint: Endpoint, slowdown: float) -> None:
    """Log that the slowdown of an endpoint crossed the threshold."""
    bound = logger.bind(
        endpoint=endpoint.name, service=endpoint.service, slowdown=round(slowdown, 2)
    )
    if endpoint.costs.is_slow:
        bound.info("an endpoint is slower than expected")
    else:
        bound.info("an endpoint is as fast as expected again")


async def watch_slowdowns(gateway: Gateway) -> None:
    """Record the slowdowns of endpoints periodically, because they also change with time."""
    while True:
        await anyio.sleep(defaults.SLOWDOWN_CHECK_SECONDS)
        with logger.catch(message="recording the slowdowns of endpoints failed"):
            check_slowdowns(gateway, time.monotonic())


def check_slowdowns(gateway: Gateway, now: float) -> None:
    """Log endpoints whose slowdown crossed the threshold, and record the highest of a service."""
    forwarding = gateway.forwarding
    for service in sorted(forwarding.planned):
        highest = 1.0
        for endpoint in forwarding.by_service.get(service, {}).values():
            slowdown = get_slowdown(endpoint, now)
            highest = max(highest, slowdown)
            is_slow = slowdown >= defaults.SLOWDOWN_THRESHOLD
            if is_slow != endpoint.costs.is_slow:
                endpoint.costs.is_slow = is_slow
                _log_change(endpoint, slowdown)
        gateway.record_metric(Measure("endpoint_slowdown", highest, {"service": service}))
