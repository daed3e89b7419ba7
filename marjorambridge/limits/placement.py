"""Index the endpoints of a shard by free memory, allowed prefill and outstanding work."""

import heapq
from collections.abc import Callable

from msgspec import Struct, field

UNAVAILABLE = -1
MAX_WORK = 1 << 62

# The best-first search stops after this many nodes. Otherwise a decision would be linear in the
# size of the shard if many endpoints have little work and little free memory.
MAX_VISITED_NODES = 96


class PlacementIndex(Struct):
    """Complete binary tree over slots; each node has the bounds of its subtree.

    Attributes
    ----------
    size : int
        Number of leaves, a power of two; node 1 is the root and leaf `i` is node ``size + i``.
    free : list of int
        Largest free KV memory in tokens; `UNAVAILABLE` if no endpoint of the subtree accepts
        work.
    prefill_room : list of int
        Largest number of prefill tokens that an endpoint of the subtree may still start.
    work : list of int
        Smallest rank of an endpoint of the subtree that accepts work.
    """

    size: int = 1
    free: list[int] = field(default_factory=lambda: [UNAVAILABLE, UNAVAILABLE])
    prefill_room: list[int] = field(default_factory=lambda: [UNAVAILABLE, UNAVAILABLE])
    work: list[int] = field(default_factory=lambda: [MAX_WORK, MAX_WORK])


def _combine(index: PlacementIndex, node: int) -> bool:
    """Recompute an inner node; return whether it changed."""
    left, right = 2 * node, 2 * node + 1
    free = max(index.free[left], index.free[right])
    prefill_room = max(index.prefill_room[left], index.prefill_room[right])
    work = min(index.work[left], index.work[right])
    if (
        free == index.free[node]
        and prefill_room == index.prefill_room[node]
        and work == index.work[node]
    ):
        return False
    index.free[node], index.prefill_room[node], index.work[node] = free, prefill_room, work
    return True


def _grow(index: PlacementIndex) -> None:
    """Double the number of leaves."""
    old = index.size
    index.size = 2 * old
    for name, empty in (("free", UNAVAILABLE), ("prefill_room", UNAVAILABLE), ("work", MAX_WORK)):
        values = getattr(index, name)
        leaves = values[old : 2 * old]
        setattr(index, name, [empty] * (2 * old) + leaves + [empty] * old)
    for node in range(index.size - 1, 0, -1):
        _combine(index, node)


def set_leaf(index: PlacementIndex, slot: int, free: int, prefill_room: int, work: int) -> None:
    """Set the values of a slot; `free` is `UNAVAILABLE` if the endpoint accepts no work."""
    while slot >= index.size:
        _grow(index)
    if free == UNAVAILABLE:
        prefill_room, work = UNAVAILABLE, MAX_WORK
    node = index.size + slot
    if (
        index.free[node] == free
        and index.prefill_room[node] == prefill_room
        and index.work[node] == work
    ):
        return
    index.free[node], index.prefill_room[node], index.work[node] = free, prefill_room, work
    node //= 2
    while node and _combine(index, node):
        node //= 2


def _find_any(
    index: PlacementIndex, tokens: int, prefill: int, allowed: Callable[[int], bool]
) -> int | None:
    """Return a slot with enough memory and prefill room, by descending free memory."""
    stack = [1]
    visited = 0
    while stack and visited < MAX_VISITED_NODES:
        node = stack.pop()
        visited += 1
        if index.free[node] < tokens or index.prefill_room[node] < prefill:
            continue
        if node >= index.size:
            if allowed(node - index.size):
                return node - index.size
            continue
        children = sorted((2 * node, 2 * node + 1), key=index.free.__getitem__)
        stack.extend(children)
    return None


def find_least_work(
    index: PlacementIndex, tokens: int, prefill: int, allowed: Callable[[int], bool]
) -> int | None:
    """Return the slot with the least work that has enough memory and prefill room.

    If the search visits more than `MAX_VISITED_NODES`, the result is a slot with enough of both
    that is found by its free memory.

    Parameters
    ----------
    tokens : int
        KV memory needed.
    prefill : int
        Prefill tokens that the request needs.
    allowed : callable
        Final check of a slot, for conditions that are not in the index.
    """
    if index.free[1] < tokens or index.prefill_room[1] < prefill:
        return None
    heap = [(index.work[1], 1)]
    visited = 0
    while heap:
        _, node = heapq.heappop(heap)
        visited += 1
        if visited > MAX_VISITED_NODES:
            return _find_any(index, tokens, prefill, allowed)
        if node >= index.size:
            if allowed(node - index.size):
                return node - index.size
            continue
        for child in (2 * node, 2 * node + 1):
            if index.free[child] >= tokens and index.prefill_room[child] >= prefill:
                heapq.heappush(heap, (index.work[child], child))
    return None
