"""Run asynchronous functions in simulated time.

The product's code runs unchanged: it reads the monotonic clock and sleeps. The event loop never
waits; when nothing is ready, its clock is advanced to the next timer.
"""

import asyncio
import contextlib
import selectors
import time
from collections.abc import Awaitable, Callable, Iterator

import anyio
from msgspec import Struct

# Start of simulated time in seconds; 0 would mean "never" to code that stores times.
START_SECONDS = 1_000.0
# Least time in seconds by which one iteration of the loop advances the clock; without it, code that
# polls for a change would loop without end.
MIN_STEP_SECONDS = 1e-6


class SimulationDeadlockError(Exception):
    """All tasks wait and no timer is set."""


class Clock(Struct):
    """Hold simulated monotonic time in seconds."""

    now: float = START_SECONDS


class _TimeSelector(selectors.SelectSelector):
    """Advance the clock in place of waiting."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise SimulationDeadlockError("all tasks wait and no timer is set")
        self.clock.now += max(MIN_STEP_SECONDS, timeout)
        return []


def run(function: Callable[..., Awaitable], *args: object) -> object:
    """Run an asynchronous function in simulated time and return its result."""
    clock = Clock()

    def create_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(_TimeSelector(clock))

    with _replace_monotonic(clock):
        return anyio.run(function, *args, backend_options={"loop_factory": create_loop})


@contextlib.contextmanager
def _replace_monotonic(clock: Clock) -> Iterator[None]:
    real = time.monotonic
    time.monotonic = lambda: clock.now
    try:
        yield
    finally:
        time.monotonic = real


def call_later(seconds: float, function: Callable[..., None], *args: object) -> None:
    """Call a function after some time in the running simulation."""
    asyncio.get_running_loop().call_later(seconds, function, *args)
