"""Rank requests by urgency, for the order at engines and on hosts.

The load pattern is a burst in which all slots of the engines are taken: a request with an objective
of 0.3 s has to start before one with an objective of several seconds.
"""

from bisect import bisect_right

from marjorambridge.conf import defaults
from marjorambridge.manifests.models import Route, WorkspaceKeys


def compute_urgency(route: Route, workspace: WorkspaceKeys | None) -> int:
    """Return the urgency of a request, from 0 (first) to `MAX_URGENCY`.

    The priority of the workspace takes precedence over that of the route. Requests of the same
    priority are ranked by their latency objective.

    Examples
    --------
    >>> from marjorambridge.manifests.models import Execution
    >>> def build(priority, objective):
    ...     return Route("r", "h", "/", Execution.STREAM, 10.0, objective, (), priority=priority)
    >>> [compute_urgency(build(0, objective), None) for objective in (0.3, 1.5, 8.0)]
    [0, 1, 2]
    >>> workspace = WorkspaceKeys("w", (), 1)
    >>> compute_urgency(build(0, 0.3), workspace), compute_urgency(build(7, 8), None)
    (3, 9)
    """
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    rank = bisect_right(defaults.URGENCY_OBJECTIVE_SECONDS, route.objective_seconds)
    ranks = len(defaults.URGENCY_OBJECTIVE_SECONDS) + 1
    return min(max(0, priority) * ranks + rank, defaults.MAX_URGENCY)


def defer_late(urgency: int, waited_seconds: float, objective_seconds: float) -> int:
    """Return the urgency of a request when it is sent: one priority lower if it is late already.

    The load pattern is what waited for all hosts to start again, together with what arrives after
    it: requests that are late by the time of the stop anyway make those late that could be on time.

    Examples
    --------
    >>> defer_late(3, 0.1, 0.3), defer_late(3, 1.5, 0.3), defer_late(8, 1.5, 0.3)
    (3, 6, 9)
    """
    if waited_seconds < objective_seconds:
        return urgency
    return min(urgency + len(defaults.URGENCY_OBJECTIVE_SECONDS) + 1, defaults.MAX_URGENCY)
