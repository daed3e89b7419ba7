"""Guard against simulations that wait for real time, differ from run to run or never end."""

import time

import anyio
import pytest

from marjorambridge.simulation import clock


def test_an_hour_takes_no_real_time_and_the_real_clock_is_restored():
    real, started_at = time.monotonic, time.perf_counter()

    async def wait() -> float:
        before = time.monotonic()
        await anyio.sleep(3_600.0)
        return time.monotonic() - before

    assert clock.run(wait) == pytest.approx(3_600.0, abs=0.01)
    assert time.perf_counter() - started_at < 5.0
    assert time.monotonic is real


def test_timers_of_different_tasks_fire_in_their_order():
    order = []

    async def record(seconds: float) -> None:
        await anyio.sleep(seconds)
        order.append(seconds)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            for seconds in (0.3, 0.1, 0.2):
                tasks.start_soon(record, seconds)

    clock.run(run)
    assert order == [0.1, 0.2, 0.3]


def test_a_simulation_without_timers_raises_an_error():
    """Guard against a run that hangs because all tasks wait and no timer is set."""

    async def wait() -> None:
        await anyio.Event().wait()

    with pytest.raises(clock.SimulationDeadlockError):
        clock.run(wait)


def test_the_real_clock_is_restored_after_an_error():
    real = time.monotonic

    async def fail() -> None:
        raise ValueError("expected")

    with pytest.raises(ValueError, match="expected"):
        clock.run(fail)
    assert time.monotonic is real
