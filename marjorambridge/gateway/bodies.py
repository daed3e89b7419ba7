"""Bound the memory of all bodies that a process keeps for its callers.

The memory for a body is reserved before its first byte is read, so that no two bodies wait for
memory that the other one holds. Small bodies have a part of the memory to themselves. When it is
used up, bodies whose callers send too little make room, and a request that finds none is refused as
not run.
"""

import time
from collections import deque

import anyio
from msgspec import Struct, field

from marjorambridge.conf import defaults

# Bodies up to this size may use the reserved part of the memory; the first step of a body whose
# length is unknown.
SMALL_BODY_BYTES = 65_536
RESERVED_RATIO = 0.25
# Longest wait for memory. Callers give up a request that is not read after one second.
MAX_WAIT_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.1
# When memory is scarce, a body makes room if its caller did not send this number of bytes for so
# long, or if it is not complete after the longest time.
PROGRESS_BYTES = 16_384
STALL_SECONDS = 1.0
MAX_READ_SECONDS = 5.0
# Retry-After for memory that complete requests hold, whose ends are not known.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


class BodyMemory(Struct):
    """Store what the bodies of a process use.

    Attributes
    ----------
    size : int
        Bytes for all bodies together.
    used : int
        Reserved bytes.
    reading : dict
        Reservations of bodies that are not complete, in the order of their arrival.
    waiting : collections.deque
        Reservations that wait for memory, in the order of their arrival.
    freed : anyio.Event
        Set when memory was released, and then replaced.
    held : dict of str to int
        Bytes of complete bodies, by workspace; those of planned services only.
    """

    size: int
    used: int = 0
    reading: dict[int, "BodyReservation"] = field(default_factory=dict)
    waiting: deque["BodyReservation"] = field(default_factory=deque)
    freed: anyio.Event = field(default_factory=anyio.Event)
    held: dict[str, int] = field(default_factory=dict)


class BodyReservation(Struct, eq=False):
    """Track the memory of one body.

    Attributes
    ----------
    size : int
        Reserved bytes.
    received : int
        Bytes received.
    began_at, progress_at : float
        Monotonic times in seconds at which reading began, and at which the last bytes arrived that
        count as progress.
    scope : anyio.CancelScope or None
        Cancelled to stop reading the body; None while it isn't read.
    workspace : str
        Workspace for which the body counts; empty if it counts for none.
    """

    memory: BodyMemory
    size: int = 0
    received: int = 0
    received_at_progress: int = 0
    began_at: float = 0.0
    progress_at: float = 0.0
    scope: anyio.CancelScope | None = None
    workspace: str = ""


async def reserve(reservation: BodyReservation, size: int) -> bool:
    """Extend a reservation to a size, and return whether there was enough memory in time."""
    memory = reservation.memory
    if size <= reservation.size:
        return True
    is_small = size <= SMALL_BODY_BYTES
    if (is_small or not memory.waiting) and _allocate(reservation, size):
        return True
    ends_at = time.monotonic() + MAX_WAIT_SECONDS
    memory.waiting.append(reservation)
    try:
        while (now := time.monotonic()) < ends_at:
            if memory.waiting[0] is reservation:
                if _allocate(reservation, size):
                    return True
                revoke_one(memory, now)
            with anyio.move_on_after(min(CHECK_INTERVAL_SECONDS, ends_at - now)):
                await memory.freed.wait()
        return False
    finally:
        memory.waiting.remove(reservation)
        _wake(memory)


def extend(reservation: BodyReservation, added: int) -> bool:
    """Extend a reservation if there is memory, without waiting for it."""
    return _allocate(reservation, reservation.size + added)


def _allocate(reservation: BodyReservation, size: int) -> bool:
    memory, added = reservation.memory, size - reservation.size
    limit = memory.size if size <= SMALL_BODY_BYTES else memory.size * (1 - RESERVED_RATIO)
    if memory.used + added > limit:
        return False
    memory.used += added
    reservation.size = size
    return True


def start_reading(
    reservation: BodyReservation, now: float, scope: anyio.CancelScope | None = None
) -> None:
    """Note that the body is being read from now on, within a scope."""
    reservation.scope = scope
    reservation.began_at = reservation.progress_at = now
    reservation.memory.reading[id(reservation)] = reservation


def record_bytes(reservation: BodyReservation, size: int, now: float) -> None:
    """Count received bytes."""
    reservation.received += size
    if reservation.received - reservation.received_at_progress >= PROGRESS_BYTES:
        reservation.received_at_progress = reservation.received
        reservation.progress_at = now


def finish_reading(reservation: BodyReservation) -> None:
    """Note that the body is complete, or that it was given up."""
    reservation.memory.reading.pop(id(reservation), None)


def assign(reservation: BodyReservation, workspace: str) -> bool:
    """Count a body for its workspace, unless the workspace holds too much already.

    The load pattern is a workspace whose callers or engines read slowly, so that its bodies stay
    for the whole time of their requests. A body that is the only one of its workspace is accepted.

    Examples
    --------
    >>> memory = BodyMemory(1_000)
    >>> large, small, other, empty = (BodyReservation(memory) for _ in range(4))
    >>> [extend(item, size) for item, size in ((large, 600), (small, 10), (other, 300))]
    [True, True, True]
    >>> assign(large, "slow"), assign(small, "slow"), assign(empty, "slow"), assign(other, "fast")
    (True, False, True, True)
    >>> release(large)
    >>> assign(small, "slow"), memory.held
    (True, {'fast': 300, 'slow': 10})
    """
    memory = reservation.memory
    if not reservation.size:
        return True
    held = memory.held.get(workspace, 0)
    limit = memory.size * defaults.WORKSPACE_MEMORY_RATIO
    if held and held + reservation.size > limit:
        return False
    reservation.workspace = workspace
    memory.held[workspace] = held + reservation.size
    return True


def release(reservation: BodyReservation) -> None:
    """Free the memory of a body."""
    finish_reading(reservation)
    held, workspace = reservation.memory.held, reservation.workspace
    if workspace:
        reservation.workspace = ""
        left = held.pop(workspace) - reservation.size
        if left:
            held[workspace] = left
    if reservation.size:
        reservation.memory.used -= reservation.size
        reservation.size = 0
        _wake(reservation.memory)


def _wake(memory: BodyMemory) -> None:
    memory.freed.set()
    memory.freed = anyio.Event()


def revoke_one(memory: BodyMemory, now: float) -> None:
    """Stop reading the largest of the bodies that hold memory for too long, if there is one."""
    late = [item for item in memory.reading.values() if _get_revocable_at(item) <= now]
    if late:
        largest = max(late, key=lambda item: item.size)
        if largest.scope is not None:
            largest.scope.cancel()
        finish_reading(largest)


def _get_revocable_at(reservation: BodyReservation) -> float:
    """Return the monotonic time in seconds from which a body may have to make room."""
    return min(reservation.progress_at + STALL_SECONDS, reservation.began_at + MAX_READ_SECONDS)


def estimate_retry_after_seconds(memory: BodyMemory, now: float) -> float:
    """Return the time until some memory is expected to be free.

    Examples
    --------
    >>> memory = BodyMemory(1_000_000)
    >>> start_reading(BodyReservation(memory), 5.0)
    >>> estimate_retry_after_seconds(memory, 5.25)
    0.75
    """
    soonest = min((_get_revocable_at(item) for item in memory.reading.values()), default=0.0)
    return max(soonest - now, 0.0) or DEFAULT_RETRY_AFTER_SECONDS
