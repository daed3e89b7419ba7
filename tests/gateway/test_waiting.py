"""Test which requests of a planned service wait on their host, and what ends the waiting."""

import math
import time
from types import SimpleNamespace

import anyio

from marjorambridge.conf import defaults
from marjorambridge.forwarding.budgets import compute_cold_request_limit
from marjorambridge.forwarding.loads import add_prefill, add_request
from marjorambridge.gateway import selection
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.waiting import find_room
from marjorambridge.scheduling.plans import compute_least_seconds
from tests.forwarding.helpers import make_profile, make_state

LONG_PROMPT_TOKENS = 250_000


def make_gateway(**settings):
    dialect = SimpleNamespace(helpers=object())
    return Gateway(make_state(**settings), dialect, record_metric=lambda measure: None)


def make_context(gateway, tokens=1_000, urgency=0, seconds=10.0, is_started=False):
    """Return what `find_room` reads of the context of a request."""
    profile, now = make_profile(tokens, 8.0, 0.8), time.monotonic()
    profile.is_planned, profile.urgency, profile.workspace = True, urgency, "team"
    return SimpleNamespace(
        gateway=gateway,
        profile=profile,
        deadline=now + seconds,
        exchange=SimpleNamespace(arrived_at=now, has_head=is_started),
        collected=[],
        recorded_send="",
        first_event_at=now if is_started else 0.0,
        request=SimpleNamespace(request_id="id", prompt=None),
        admission=SimpleNamespace(
            route=SimpleNamespace(gap_objective_seconds=0.8, objective_seconds=8.0)
        ),
    )


def occupy(gateway):
    """Let all engines prefill beside answers, so that no long prompt finds room."""
    for engine in gateway.forwarding.by_service["model"].values():
        add_request(engine.load, 5_000, 0.25)
        add_prefill(engine.load, 60.0, time.monotonic())


async def start_waiting(tasks, *contexts):
    found = []

    async def wait(context):
        found.append(await find_room(context, frozenset()))

    for context in contexts:
        tasks.start_soon(wait, context)
    await anyio.sleep(0.01)
    return found


def test_a_waiting_long_prompt_does_not_hold_up_short_ones():
    """Short prompts with engines to choose from waited up to 50 ms behind a long prompt."""

    async def scenario():
        gateway = make_gateway()
        occupy(gateway)
        async with anyio.create_task_group() as tasks:
            await start_waiting(tasks, make_context(gateway, LONG_PROMPT_TOKENS))
            assert len(gateway.waiting.requests) == 1
            before = time.monotonic()
            assert await find_room(make_context(gateway, urgency=3), frozenset())
            assert time.monotonic() - before < defaults.WAITING_CHECK_SECONDS / 2
            tasks.cancel_scope.cancel()
        assert not gateway.waiting.requests and not gateway.forwarding.usage.own

    anyio.run(scenario)


def test_a_stream_that_has_begun_goes_before_waiting_requests():
    """No second attempt of a silent stream was started while any request waited."""

    async def scenario():
        gateway = make_gateway()
        occupy(gateway)
        async with anyio.create_task_group() as tasks:
            await start_waiting(tasks, make_context(gateway, LONG_PROMPT_TOKENS))
            for engine in gateway.forwarding.by_service["model"].values():
                engine.load.reads, engine.load.prefill_seconds = 0, 0.0
                engine.load.requests, engine.load.pause_limits = 0, []
            started = make_context(gateway, LONG_PROMPT_TOKENS, urgency=9, is_started=True)
            assert await find_room(started, frozenset(), may_wait=False)
            assert gateway.waiting.requests
            assert await find_room(started, frozenset())
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_the_stop_of_the_host_ends_the_waiting():
    """A request waited past the end of its host, and its caller got no answer."""

    async def scenario():
        gateway = make_gateway()
        occupy(gateway)
        async with anyio.create_task_group() as tasks:
            found = await start_waiting(tasks, make_context(gateway, LONG_PROMPT_TOKENS))
            gateway.ends_at = time.monotonic() + 0.1
            await anyio.sleep(2 * defaults.WAITING_CHECK_SECONDS)
            assert found == [[]]
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_request_that_all_endpoints_had_is_refused_at_once():
    """A request that no endpoint was left for waited until the end of its time."""

    async def scenario():
        gateway = make_gateway(engines=2)
        context, excluded = make_context(gateway), frozenset(gateway.forwarding.endpoints)
        with anyio.fail_after(0.2):
            assert await find_room(context, excluded) == []
        assert not gateway.waiting.requests

    anyio.run(scenario)


def test_memory_is_not_ordered_again_for_a_prompt_that_cannot_end_in_time(monkeypatch):
    """Engines that refuse memory were asked every 50 ms after the caller had given up."""

    async def refuse(context, engines, excluded):
        refused_at.append(time.monotonic())

    refused_at = []
    monkeypatch.setattr(selection, "_create_attempt", refuse)
    monkeypatch.setattr(defaults, "CALLER_PATIENCE_SECONDS", 0.6)

    async def scenario():
        gateway = make_gateway()
        context = make_context(gateway, LONG_PROMPT_TOKENS)
        context.admission.route = SimpleNamespace(
            gap_objective_seconds=0.01, objective_seconds=0.01
        )
        with anyio.fail_after(1.0):
            assert await selection._select_planned(context, frozenset(), True) is None
        latest_start = 0.6 - compute_least_seconds(context.profile)
        assert refused_at and max(refused_at) - context.exchange.arrived_at <= latest_start

    anyio.run(scenario)


def test_waiting_requests_keep_the_limit_of_a_cold_engine():
    """When a cold engine allowed one more request, all requests of a round were sent to it."""

    async def scenario():
        gateway, rate = make_gateway(engines=1, rate=4.0), 4.0
        (engine,) = gateway.forwarding.by_service["model"].values()
        limit = compute_cold_request_limit(gateway.forwarding, engine, rate)
        assert 1 <= limit < defaults.MAX_CHECKED_REQUESTS
        engine.cold_until = math.inf
        engine.recent_sends.extend([time.monotonic()] * limit)
        async with anyio.create_task_group() as tasks:
            contexts = [make_context(gateway) for _ in range(defaults.MAX_CHECKED_REQUESTS)]
            found = await start_waiting(tasks, *contexts)
            assert not found and len(gateway.waiting.requests) == len(contexts)
            engine.recent_sends.popleft()
            await anyio.sleep(3 * defaults.WAITING_CHECK_SECONDS)
            assert found == [[engine]]
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
