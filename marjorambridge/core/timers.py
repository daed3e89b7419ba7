"""Keep the timers of the components; callers pass the time in."""

import heapq

from msgspec import Struct, field

from marjorambridge.core.identity import TimerKey


class TimerTable(Struct):
    """Hold the due time of each timer.

    A replaced or cancelled timer leaves a stale heap item, which is skipped when it reaches the
    top; `due` is authoritative.
    """

    due: dict[TimerKey, float] = field(default_factory=dict)
    heap: list[tuple[float, TimerKey]] = field(default_factory=list)


def set_timer(table: TimerTable, key: TimerKey, at: float) -> None:
    """Set or replace a timer that is due at monotonic time `at` in seconds."""
    table.due[key] = at
    heapq.heappush(table.heap, (at, key))


def cancel_timer(table: TimerTable, key: TimerKey) -> None:
    """Remove a timer, if it is set."""
    table.due.pop(key, None)


def compute_next_due(table: TimerTable) -> float | None:
    """Return the time of the earliest timer, or None if none is set."""
    while table.heap:
        at, key = table.heap[0]
        if table.due.get(key) == at:
            return at
        heapq.heappop(table.heap)
    return None


def pop_due(table: TimerTable, now: float) -> list[TimerKey]:
    """Remove and return the timers due at `now`, earliest first.

    Examples
    --------
    >>> table = TimerTable()
    >>> set_timer(table, TimerKey("limits", "tick"), 2.0)
    >>> set_timer(table, TimerKey("limits", "tick"), 1.0)
    >>> [key.name for key in pop_due(table, 5.0)]
    ['tick']
    """
    keys = []
    while True:
        at = compute_next_due(table)
        if at is None or at > now:
            return keys
        _, key = heapq.heappop(table.heap)
        del table.due[key]
        keys.append(key)
