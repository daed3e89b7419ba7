"""Let requests of planned services wait for room, and start them in their order."""

import time

import anyio
from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.budgets import record_send
from marjorambridge.forwarding.costs import compute_pass_seconds
from marjorambridge.forwarding.placement import choose_endpoint
from marjorambridge.forwarding.splitting import is_long_prompt
from marjorambridge.forwarding.state import Endpoint, find_definition
from marjorambridge.gateway.contexts import ANSWER_MARGIN_SECONDS, RequestContext, has_events
from marjorambridge.gateway.relays import must_relay
from marjorambridge.gateway.state import Gateway
from marjorambridge.scheduling.plans import compute_least_seconds, plan_prefill
from marjorambridge.scheduling.shares import is_over_share
from marjorambridge.scheduling.usage import add_waiting, remove_waiting
from marjorambridge.scheduling.waiting import (
    WaitingRequest,
    compute_latest_start,
    is_due,
    join,
    leave,
    run_round,
)


async def find_room(
    context: RequestContext, excluded: frozenset[str], may_wait: bool = True
) -> list[Endpoint]:
    """Return the endpoints of the next attempt, the one that gets the request first.

    A request without room waits until it would not end in time any more.

    Returns
    -------
    list of Endpoint
        Empty if the request can't be served in time, or if too many requests wait.
    """
    gateway = context.gateway
    is_long = gateway.dialect.helpers is not None and is_long_prompt(
        gateway.forwarding, context.profile
    )
    # A stream that is silent or was cut goes first, because its caller waits for the next event.
    goes_first = not may_wait or has_events(context)
    if goes_first or not _is_preceded(gateway, context, is_long):
        chosen = _choose(context, excluded, is_long)
        if chosen or not may_wait:
            return chosen
    latest_start, now = _compute_latest_start(context), time.monotonic()
    if now >= latest_start:
        _log_refusal(context, latest_start, now)
    if not may_wait or now >= latest_start or _has_tried_all(gateway, context, excluded):
        return []
    return await _wait(context, excluded, is_long, latest_start)


def _has_tried_all(gateway: Gateway, context: RequestContext, excluded: frozenset[str]) -> bool:
    """Return whether no endpoint can become free for a request, because all had it already."""
    forwarding, service = gateway.forwarding, context.profile.service
    if find_definition(forwarding, service) is None:
        return True
    endpoints = forwarding.by_service.get(service, {})
    # A host that has just started knows no endpoints yet.
    return bool(endpoints) and all(item.name in excluded for item in endpoints.values())


def _is_preceded(gateway: Gateway, context: RequestContext, is_long: bool) -> bool:
    """Return whether a waiting request of the same service comes before a new one.

    Long prompts wait for engines without answers, which short ones do not need.
    """
    return any(
        request.service == context.profile.service
        and request.is_long == is_long
        and request.urgency <= context.profile.urgency
        for request in gateway.waiting.requests
    )


def _choose(context: RequestContext, excluded: frozenset[str], is_long: bool) -> list[Endpoint]:
    """Return the endpoints that have room for the request now; empty if there are none."""
    forwarding, profile, now = context.gateway.forwarding, context.profile, time.monotonic()
    profile.remaining_seconds = max(0.0, context.deadline - now)
    profile.waited_seconds = now - context.exchange.arrived_at
    if is_long:
        plan = plan_prefill(forwarding, profile, excluded, now)
        return plan.engines if plan is not None else []
    endpoint = choose_endpoint(forwarding, profile, excluded, now)
    return [endpoint] if endpoint is not None else []


async def _wait(
    context: RequestContext, excluded: frozenset[str], is_long: bool, latest_start: float
) -> list[Endpoint]:
    gateway, profile = context.gateway, context.profile
    queue, joined_at = gateway.waiting, time.monotonic()
    chosen: list[Endpoint] = []
    ready = anyio.Event()

    def grant(endpoints: object) -> None:
        assert isinstance(endpoints, list)
        chosen.extend(endpoints)
        # The next request of the round must find this one in the limit of a cold endpoint.
        if not is_long:
            record_send(chosen[0], time.monotonic())
            context.recorded_send = chosen[0].name
        ready.set()

    objective_at = context.exchange.arrived_at + profile.objective_seconds
    request = WaitingRequest(
        profile.service,
        profile.workspace,
        0 if has_events(context) else profile.urgency,
        objective_at - compute_least_seconds(profile),
        find_room=lambda: _choose(context, excluded, is_long) or None,
        grant=grant,
        is_long=is_long,
    )
    if not join(queue, request):
        logger.bind(request=context.request.request_id, waiting=len(queue.requests)).warning(
            "a request was refused, because too many wait"
        )
        return []
    usage = gateway.forwarding.usage
    add_waiting(usage, profile.workspace)
    logger.bind(
        request=context.request.request_id,
        prompt_tokens=_count_prompt_tokens(context),
        urgency=profile.urgency,
        waiting=len(queue.requests),
    ).info("a request waits for room")
    try:
        while not ready.is_set():
            now = time.monotonic()
            # The host may begin to stop meanwhile.
            latest_start = _compute_latest_start(context)
            if now >= latest_start or must_relay(context):
                break
            if is_due(queue, now):
                start_round(gateway, now)
                continue
            with anyio.move_on_after(min(defaults.WAITING_CHECK_SECONDS, latest_start - now)):
                await ready.wait()
    finally:
        leave(queue, request)
        remove_waiting(usage, profile.workspace)
    waited = time.monotonic() - joined_at
    gateway.record_metric(Measure("request_wait_seconds", waited, {}))
    if chosen:
        logger.bind(
            request=context.request.request_id,
            prompt_tokens=_count_prompt_tokens(context),
            helpers=len(chosen) - 1,
            seconds=round(waited, 4),
        ).info("a request found room")
    elif time.monotonic() >= latest_start:
        _log_refusal(context, latest_start, time.monotonic())
    return chosen


def start_round(gateway: Gateway, now: float) -> None:
    """Grant room to waiting requests, if there are any."""
    if gateway.waiting.requests:
        forwarding = gateway.forwarding
        run_round(gateway.waiting, lambda workspace: is_over_share(forwarding, workspace, now), now)


def may_still_start(context: RequestContext) -> bool:
    """Return whether a request that starts now is expected to end in time."""
    return time.monotonic() < _compute_latest_start(context)


def _compute_latest_start(context: RequestContext) -> float:
    """Return the monotonic time in seconds after which the request can't end in time.

    A caller gives up a stream that is silent for long, so that a later start serves nobody.
    """
    profile, route = context.profile, context.admission.route
    definition = find_definition(context.gateway.forwarding, profile.service)
    answer_seconds = defaults.MIN_ATTEMPT_SECONDS
    if definition is not None and definition.engine is not None:
        prompt = context.request.prompt
        # Hints are often far off, and a caller with a long answer takes a part of it late.
        usual = definition.engine.usual_answer_tokens
        tokens = min(prompt.expected_answer_tokens, usual) if prompt is not None else 0
        passes = tokens / max(1, definition.engine.stride_steps)
        answer_seconds = max(answer_seconds, passes * compute_pass_seconds(definition.engine))
    least_seconds = compute_least_seconds(profile)
    ends_at = min(context.deadline, context.gateway.ends_at - ANSWER_MARGIN_SECONDS)
    latest_start = compute_latest_start(ends_at, least_seconds, answer_seconds)
    if route.gap_objective_seconds > 0 and not context.first_event_at:
        caller_timeout = max(
            defaults.CALLER_PATIENCE_SECONDS,
            defaults.CALLER_PATIENCE_OBJECTIVES * route.objective_seconds,
            defaults.CALLER_PATIENCE_PAUSES * route.gap_objective_seconds,
        )
        latest_start = min(
            latest_start, context.exchange.arrived_at + caller_timeout - least_seconds
        )
    return latest_start


def _log_refusal(context: RequestContext, latest_start: float, now: float) -> None:
    logger.bind(
        request=context.request.request_id,
        prompt_tokens=_count_prompt_tokens(context),
        needed_seconds=round(context.deadline - latest_start, 4),
        remaining_seconds=round(context.deadline - now, 4),
    ).info("a request was refused, because it can't end in time")


def _count_prompt_tokens(context: RequestContext) -> int:
    prompt = context.request.prompt
    return prompt.prompt_tokens if prompt is not None else 0
