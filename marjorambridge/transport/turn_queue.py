"""Limit the low-priority work in each iteration of the event loop, so that urgent work can run.

The load pattern is the start of a fleet: hundreds of hosts and endpoints call one process at once.
Tasks that are ready in one iteration of the event loop run before anything that arrives meanwhile,
so a heartbeat of the replicated log would wait until hundreds of calls are done. Low-priority work
waits for a turn, and few turns are granted in one iteration.
"""

from collections import deque

import anyio
import anyio.lowlevel
from msgspec import Struct, field

# One turn takes about 1 ms on a third of a core.
TURNS_PER_ITERATION = 4


class TurnQueue(Struct):
    """Tasks that wait for a turn, in order of arrival."""

    waiting: deque[anyio.Event] = field(default_factory=deque)
    wakeup: anyio.Event = field(default_factory=anyio.Event)


async def acquire_turn(queue: TurnQueue) -> None:
    """Wait until a turn is granted to the calling task."""
    event = anyio.Event()
    queue.waiting.append(event)
    queue.wakeup.set()
    await event.wait()


async def grant_turns(queue: TurnQueue) -> None:
    """Grant turns until cancelled."""
    while True:
        await queue.wakeup.wait()
        while queue.waiting:
            for _ in range(min(TURNS_PER_ITERATION, len(queue.waiting))):
                queue.waiting.popleft().set()
            # Let all tasks that are ready run before the next turns are granted.
            await anyio.lowlevel.checkpoint()
        queue.wakeup = anyio.Event()
