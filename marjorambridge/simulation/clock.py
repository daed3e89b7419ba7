"""Run asynchronous functions in simulated time.

The product's own code runs unchanged: it reads the monotonic clock and sleeps. Here, the event loop
never waits; as soon as nothing is ready, its clock moves on to the next timer.
"""

import asyncio
import contextlib
import selectors
import time
from collections.abc import Awaitable, Callable, Iterator

import anyio
from msgspec import Struct

# Where simulated time begins, in seconds; 0 would look like "never" to code that keeps times.
START_SECONDS = 1_000.0
# Time in seconds that one round of the loop takes at least; what is repeated until something else
# has happened would otherwise be repeated without end.
MIN_STEP_SECONDS = 1e-6


class SimulationDeadlockError(Exception):
    """Nothing is left that could happen; a task waits for what nobody sends."""


class Clock(Struct):
    """Hold simulated monotonic time in seconds."""

    now: float = START_SECONDS


class _TimeSelector(selectors.SelectSelector):
    """Move the clock on where another selector would wait."""

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
