"""Execute storage effects in a worker thread, one batch after the other."""

import time
from collections.abc import Callable

import anyio
import anyio.to_thread
from loguru import logger
from msgspec import Struct, field

from marjorambridge.core.effects import Effect, Measure
from marjorambridge.core.events import Event
from marjorambridge.storage.exceptions import DiskFullError
from marjorambridge.storage.stores import Store, close_store, execute

# Interval at which writes are repeated while the disk is full.
FULL_DISK_RETRY_SECONDS = 0.5
# Time for which a stop waits for a write that is under way.
CLOSE_TIMEOUT_SECONDS = 2.0
# Effects that may wait for a full disk, which bounds the memory that they use; with more of them
# the store fails.
MAX_WAITING_EFFECTS = 20_000


class StorageWorker(Struct):
    """Hold a store and the effects that are queued for it.

    Attributes
    ----------
    post_event : callable
        Called with each completion event, in the event loop.
    record_metric : callable
        Called with the duration of each batch, in the event loop.
    thread : anyio.CapacityLimiter
        Lets one call use the store at a time.
    """

    store: Store
    post_event: Callable[[Event], None]
    record_metric: Callable[[Measure], None] = lambda effect: None
    waiting: list[Effect] = field(default_factory=list)
    thread: anyio.CapacityLimiter = field(default_factory=lambda: anyio.CapacityLimiter(1))
    wakeup: anyio.Event = field(default_factory=anyio.Event)


def enqueue_effect(worker: StorageWorker, effect: Effect) -> None:
    """Queue an effect behind the earlier ones."""
    worker.waiting.append(effect)
    worker.wakeup.set()


async def run(worker: StorageWorker) -> None:
    """Execute effects until cancelled; those queued during a sync form the next batch."""
    while True:
        await worker.wakeup.wait()
        worker.wakeup = anyio.Event()
        batch, worker.waiting = worker.waiting, []
        started_at = time.monotonic()
        completed = await _execute_batch(worker, batch)
        worker.record_metric(Measure("log_sync_seconds", time.monotonic() - started_at))
        for event in completed:
            event.now = time.monotonic()
            worker.post_event(event)


async def _execute_batch(worker: StorageWorker, batch: list[Effect]) -> list[Event]:
    """Execute effects, again and again while the disk is full, and return the completion events.

    To the replica a full disk is a slow one: it votes and acknowledges nothing until there is room
    again, and no process has to be restarted then.
    """
    is_full = False
    while True:
        try:
            completed = await anyio.to_thread.run_sync(
                execute, worker.store, batch, 0.0, limiter=worker.thread
            )
        except DiskFullError as error:
            worker.record_metric(Measure("disk_full_writes_total"))
            if not is_full:
                logger.bind(error=str(error)).error("the disk is full; writes wait for room")
            is_full = True
            if len(worker.waiting) > MAX_WAITING_EFFECTS:
                worker.store.failure = str(error)
            await anyio.sleep(FULL_DISK_RETRY_SECONDS)
            continue
        if is_full:
            logger.info("the disk has room again")
        return completed


async def close(worker: StorageWorker) -> None:
    """Close the data folder, once the write that is under way has ended.

    Writes that were not synced are dropped. If the write does not end in time, the folder stays
    open and locked until the process ends.
    """
    with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS, shield=True) as scope:
        await anyio.to_thread.run_sync(close_store, worker.store, limiter=worker.thread)
    if scope.cancelled_caught:
        logger.bind(seconds=CLOSE_TIMEOUT_SECONDS).warning(
            "the data folder stays open, because a write has not ended"
        )
