"""Queue permit requests by class, with weighted fair queueing of workspaces in each class."""

import heapq

from msgspec import Struct, field

from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import PermitRequest, PriorityClass

# Classes in the order in which they are served.
CLASSES = (
    PriorityClass.INTERACTIVE,
    PriorityClass.BATCH,
    PriorityClass.LONG,
    PriorityClass.GROUP,
)

MINIMUM_WEIGHT = 0.01

# Heap items of removed entries are cleaned up together once there are this many.
MAX_REMOVED_ITEMS = 256


class QueueEntry(Struct):
    """One waiting request.

    Attributes
    ----------
    request : PermitRequest
        The last message of the request.
    last_request_at, queued_at : float
        Times of the last and of the first message of the request.
    deadline : float
        Time of the request's deadline, too late by the delay of the message.
    work : float
        Expected use of the shard, in seconds of its whole capacity.
    work_position : float
        Value of `ClassQueue.departed_work` at which all work that arrived earlier in the class has
        left the queue.
    finish : float
        Virtual finish time in weighted fair queueing.
    removed : bool
        Whether the entry has left the queue; its heap item is skipped.
    """

    request: PermitRequest
    priority: PriorityClass
    sender: str
    last_request_at: float
    queued_at: float
    deadline: float
    work: float
    work_position: float = 0.0
    finish: float = 0.0
    serial: int = 0
    removed: bool = False


class ClassQueue(Struct):
    """Waiting requests of one class.

    Attributes
    ----------
    heap : list
        Entries by virtual finish time and serial number.
    virtual_time : float
        Virtual finish time of the entry served last.
    finishes : dict
        Last virtual finish time of each workspace with waiting requests.
    lengths : dict
        Waiting requests of each workspace.
    count, tokens, work, departed_work : number
        Waiting requests, their tokens, their work, and the work that has left the queue.
    """

    heap: list[tuple[float, int, QueueEntry]] = field(default_factory=list)
    virtual_time: float = 0.0
    finishes: dict[str, float] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    count: int = 0
    tokens: int = 0
    work: float = 0.0
    departed_work: float = 0.0


def _create_classes() -> dict[PriorityClass, ClassQueue]:
    return {priority: ClassQueue() for priority in CLASSES}


class RequestQueue(Struct):
    """Waiting requests of a shard."""

    classes: dict[PriorityClass, ClassQueue] = field(default_factory=_create_classes)
    entries: dict[AttemptId, QueueEntry] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    serial: int = 0


def compute_cost(request: PermitRequest) -> int:
    """Return the tokens that a request counts for in fair queueing."""
    return max(1, request.prompt_tokens + request.output_tokens)


def is_queue_full(queue: RequestQueue, workspace: str, maximum: int) -> bool:
    """Return whether a workspace may not queue another request.

    A workspace below its even share of the queue may exceed the maximum, so that one workspace
    cannot fill the queue for the others; the limit is then twice the maximum.
    """
    total = len(queue.entries)
    if total < maximum:
        return False
    own = queue.lengths.get(workspace, 0)
    active = len(queue.lengths) + (own == 0)
    return total >= 2 * maximum or own >= maximum // active


def add_entry(queue: RequestQueue, entry: QueueEntry) -> None:
    """Append a request to its class."""
    waiting = queue.classes[entry.priority]
    workspace = entry.request.workspace
    cost = compute_cost(entry.request)
    start = max(waiting.virtual_time, waiting.finishes.get(workspace, 0.0))
    entry.finish = start + cost / max(MINIMUM_WEIGHT, entry.request.weight)
    waiting.finishes[workspace] = entry.finish
    queue.serial += 1
    entry.serial = queue.serial
    entry.work_position = waiting.departed_work + waiting.work
    heapq.heappush(waiting.heap, (entry.finish, entry.serial, entry))
    waiting.lengths[workspace] = waiting.lengths.get(workspace, 0) + 1
    waiting.count += 1
    waiting.tokens += cost
    waiting.work += entry.work
    queue.entries[entry.request.permit] = entry
    queue.lengths[workspace] = queue.lengths.get(workspace, 0) + 1


def _decrement(lengths: dict[str, int], workspace: str) -> bool:
    """Count one request less; return whether it was the last one of the workspace."""
    lengths[workspace] -= 1
    if lengths[workspace]:
        return False
    del lengths[workspace]
    return True


def remove_entry(queue: RequestQueue, entry: QueueEntry, served: bool) -> None:
    """Remove a request; `served` if it was granted, which advances the virtual time."""
    waiting = queue.classes[entry.priority]
    workspace = entry.request.workspace
    entry.removed = True
    del queue.entries[entry.request.permit]
    waiting.count -= 1
    waiting.tokens -= compute_cost(entry.request)
    waiting.work = waiting.work - entry.work if waiting.count else 0.0
    waiting.departed_work += entry.work
    if served:
        waiting.virtual_time = max(waiting.virtual_time, entry.finish)
    if _decrement(waiting.lengths, workspace):
        del waiting.finishes[workspace]
    _decrement(queue.lengths, workspace)
    if not waiting.count:
        waiting.heap.clear()
        waiting.finishes.clear()
        waiting.virtual_time = 0.0
    elif len(waiting.heap) > 2 * waiting.count + MAX_REMOVED_ITEMS:
        waiting.heap = [item for item in waiting.heap if not item[2].removed]
        heapq.heapify(waiting.heap)


def pop_head(waiting: ClassQueue) -> QueueEntry | None:
    """Pop the next entry off the heap; it is still counted until `remove_entry`."""
    while waiting.heap:
        entry = heapq.heappop(waiting.heap)[2]
        if not entry.removed:
            return entry
    return None


def reinsert_entry(waiting: ClassQueue, entry: QueueEntry) -> None:
    """Push an entry that could not be served back on the heap."""
    heapq.heappush(waiting.heap, (entry.finish, entry.serial, entry))


def get_head(waiting: ClassQueue) -> QueueEntry | None:
    """Return the next entry without popping it."""
    while waiting.heap and waiting.heap[0][2].removed:
        heapq.heappop(waiting.heap)
    return waiting.heap[0][2] if waiting.heap else None


def compute_work_ahead(queue: RequestQueue, entry: QueueEntry) -> float:
    """Estimate the work that is served before an entry, in seconds of the whole shard."""
    ahead = 0.0
    for priority in CLASSES:
        waiting = queue.classes[priority]
        if priority is entry.priority:
            return ahead + min(waiting.work, max(0.0, entry.work_position - waiting.departed_work))
        ahead += waiting.work
    return ahead
