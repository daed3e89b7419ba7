"""Queue the requests of a host that find no room, and decide which one is next.

The load pattern is a burst of long prompts beside short ones: engines become free within a second,
while callers of long prompts wait for many. Refusing them at once brings them back at a moment that
nobody chose, and without an order a prompt that has seconds to spare takes the engines of one that
has none.
"""

import math
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.conf import defaults


class WaitingRequest(Struct, eq=False):
    """A request that waits for room.

    Attributes
    ----------
    urgency : int
        Rank of the request; 0 is first.
    on_time_until : float
        Monotonic time in seconds of the latest start with which the request is on time.
    find_room : callable
        Returns what the request needs to start, or None while there is no room for it.
    grant : callable
        Called once with what `find_room` returned.
    is_long : bool
        Whether it occupies several engines, so that a second decision needs the loads of the first.
    """

    service: str
    workspace: str
    urgency: int
    on_time_until: float
    find_room: Callable[[], object | None]
    grant: Callable[[object], None]
    is_long: bool = False


class WaitingQueue(Struct):
    """The waiting requests of a host.

    Attributes
    ----------
    checked_at : float
        Monotonic time in seconds of the last round.
    long_granted_at : dict of str to float
        Monotonic time in seconds at which a service last granted room to a long prompt.
    """

    requests: list[WaitingRequest] = field(default_factory=list)
    checked_at: float = 0.0
    long_granted_at: dict[str, float] = field(default_factory=dict)


def join(queue: WaitingQueue, request: WaitingRequest) -> bool:
    """Add a request, or return False if too many wait already."""
    if len(queue.requests) >= defaults.MAX_WAITING_REQUESTS:
        return False
    queue.requests.append(request)
    return True


def leave(queue: WaitingQueue, request: WaitingRequest) -> None:
    """Remove a request, if it still waits."""
    if request in queue.requests:
        queue.requests.remove(request)


def sort_requests(
    queue: WaitingQueue, is_over_share: Callable[[str], bool], now: float
) -> list[WaitingRequest]:
    """Return the waiting requests in the order in which they get room.

    Requests that can still be on time come before the others of the same urgency, because the
    others have lost most of their value to their callers; among both, the one that is due first.

    Examples
    --------
    >>> def build(urgency, on_time_until, workspace=""):
    ...     return WaitingRequest(
    ...         "model", workspace, urgency, on_time_until, lambda: None, print
    ...     )
    >>> queue = WaitingQueue([build(1, 5.0), build(0, 0.5), build(0, 4.0), build(0, 2.0, "heavy")])
    >>> ordered = sort_requests(queue, lambda workspace: workspace == "heavy", 1.0)
    >>> [(request.urgency, request.on_time_until) for request in ordered]
    [(0, 4.0), (0, 0.5), (0, 2.0), (1, 5.0)]
    """
    over = {
        workspace: is_over_share(workspace)
        for workspace in {request.workspace for request in queue.requests}
    }
    return sorted(
        queue.requests,
        key=lambda request: (
            request.urgency,
            over[request.workspace],
            request.on_time_until < now,
            request.on_time_until,
        ),
    )


def run_round(
    queue: WaitingQueue, is_over_share: Callable[[str], bool], now: float
) -> list[WaitingRequest]:
    """Grant room to the waiting requests in their order, and return those that got it.

    Requests of each service, and its long prompts, are checked separately, so that those that find
    no room do not hold up others. Long prompts of a service are granted one at a time, with the
    time between two regular rounds between them: the loads of their engines count only once they
    have started, and attempts that end together start a round each. The number of requests that
    are checked of each kind bounds the cost of a round.
    """
    queue.checked_at = now
    granted: list[WaitingRequest] = []
    checks: Counter[tuple[str, bool]] = Counter()
    for request in sort_requests(queue, is_over_share, now):
        kind = (request.service, request.is_long)
        if checks[kind] >= defaults.MAX_CHECKED_REQUESTS:
            continue
        if request.is_long and _has_granted_long(queue, request.service, now):
            continue
        checks[kind] += 1
        room = request.find_room()
        if room is None:
            continue
        leave(queue, request)
        granted.append(request)
        request.grant(room)
        if request.is_long:
            queue.long_granted_at[request.service] = now
    return granted


def _has_granted_long(queue: WaitingQueue, service: str, now: float) -> bool:
    """Return whether a long prompt was granted so recently that it may not have started."""
    granted_at = queue.long_granted_at.get(service, -math.inf)
    return now - granted_at < defaults.WAITING_CHECK_SECONDS


def is_due(queue: WaitingQueue, now: float) -> bool:
    """Return whether the next round is due, if nothing else started one meanwhile."""
    return now - queue.checked_at >= defaults.WAITING_CHECK_SECONDS


def compute_latest_start(ends_at: float, least_seconds: float, answer_seconds: float) -> float:
    """Return the latest start of a request that has to end at a monotonic time.

    Parameters
    ----------
    least_seconds : float
        Time from the start to the first event under the best conditions.
    answer_seconds : float
        Expected time from the first event to the end.
    """
    return ends_at - least_seconds - answer_seconds
