"""Run the node reducer: pass events to it, fire its timers and execute its effects."""

import math
import time
from collections import deque
from collections.abc import Callable

import anyio
from loguru import logger
from msgspec import Struct, field

from marjorambridge.core import reducer
from marjorambridge.core.effects import CancelTimer, Effect, Measure, Publish, SetTimer
from marjorambridge.core.events import Event, TimerFired
from marjorambridge.core.timers import (
    TimerTable,
    cancel_timer,
    compute_next_due,
    pop_due,
    set_timer,
)

# A longer gap between two timer checks means that the process was suspended or got no CPU time.
EVENT_LOOP_STALL_SECONDS = 0.5
MAX_TIMER_WAIT_SECONDS = 0.25
# A timer that is later than this indicates a busy event loop.
LATE_TIMER_SECONDS = 0.05


class Runtime(Struct):
    """Connection between a reducer and the drivers.

    Attributes
    ----------
    handlers : dict of type to callable
        Executes the effects of each class; must not block.
    record : callable or None
        Records each event and its effects, for a later replay.
    resumed_at : float
        Monotonic time in seconds at which the event loop last went on after a stall.
    """

    node: reducer.Node
    handlers: dict[type, Callable[[Effect], None]] = field(default_factory=dict)
    record: Callable[[Event, list[Effect]], None] | None = None
    timers: TimerTable = field(default_factory=TimerTable)
    pending: deque[Event] = field(default_factory=deque)
    applying: bool = False
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    resumed_at: float = -math.inf


def post(runtime: Runtime, event: Event) -> None:
    """Apply an event and then the events that its effects cause."""
    runtime.pending.append(event)
    if runtime.applying:
        return
    runtime.applying = True
    try:
        while runtime.pending:
            _apply_event(runtime, runtime.pending.popleft())
    finally:
        runtime.applying = False


def _apply_event(runtime: Runtime, event: Event) -> None:
    effects = reducer.step(runtime.node, event)
    if runtime.record is not None:
        runtime.record(event, effects)
    for effect in effects:
        _handle_effect(runtime, effect)


def _handle_effect(runtime: Runtime, effect: Effect) -> None:
    if isinstance(effect, SetTimer):
        earliest = compute_next_due(runtime.timers)
        set_timer(runtime.timers, effect.key, effect.at)
        if earliest is None or effect.at < earliest:
            runtime.wakeup.set()
        return
    if isinstance(effect, CancelTimer):
        cancel_timer(runtime.timers, effect.key)
        return
    handler = runtime.handlers.get(type(effect))
    if handler is None:
        logger.bind(effect=type(effect).__name__).error("no handler for this effect")
        return
    handler(effect)


async def run_timers(runtime: Runtime) -> None:
    """Fire timers when they are due, until cancelled."""
    checked_at = _read_running_time()
    while True:
        due = compute_next_due(runtime.timers)
        now = time.monotonic()
        wait = MAX_TIMER_WAIT_SECONDS if due is None else min(due - now, MAX_TIMER_WAIT_SECONDS)
        if wait > 0:
            runtime.wakeup = anyio.Event()
            with anyio.move_on_after(wait):
                await runtime.wakeup.wait()
        else:
            # Timers that are always due must not keep other tasks from running.
            await anyio.sleep(0)
        now = time.monotonic()
        previous, checked_at = checked_at, _read_running_time()
        elapsed = checked_at - previous
        if elapsed > EVENT_LOOP_STALL_SECONDS + MAX_TIMER_WAIT_SECONDS:
            runtime.resumed_at = now
            logger.bind(seconds=round(elapsed, 3)).warning("the event loop was stalled")
            _handle_effect(runtime, Measure("event_loop_stalls_total"))
            _handle_effect(runtime, Measure("event_loop_stalled_seconds_total", elapsed))
        if due is not None and now - due > LATE_TIMER_SECONDS:
            # First handle what arrived while the loop was busy: a heartbeat of the leader that was
            # received in time must be applied before the election timer fires.
            await anyio.sleep(0)
            await anyio.sleep(0)
        for key in pop_due(runtime.timers, now):
            post(runtime, TimerFired(now, key))


def _read_running_time() -> float:
    """Return the seconds since the machine started, including those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def apply_recovery(runtime: Runtime, effect: Effect) -> None:
    """Execute an effect of recovery, before the first event of the process."""
    if isinstance(effect, Publish):
        post(runtime, effect.event)
    else:
        _handle_effect(runtime, effect)
