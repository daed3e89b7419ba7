"""Decide which workspaces use more than their share of scarce capacity.

The load pattern is one workspace among many that sends far more than the others, or repeats its
refused requests at once: without shares, the next free slot goes to the workspace with the most
waiting requests. Shares are max-min fair: a workspace that asks for less than an equal part gets
all of it, and the others divide the rest evenly. A workspace over its share only comes later in the
order of what waits. So capacity that others don't use is lent without a limit, and taken back as
soon as another workspace waits.

Each host decides for itself, from its own requests and the reports of others. Its total deviates
from the true one by no more than the uses that changed at other hosts since their last reports that
arrived, see `marjorambridge.scheduling.usage`. An error changes the order of waiting requests, and
never refuses one.
"""

import math

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import ForwardingState
from marjorambridge.scheduling.usage import (
    Usage,
    add_use,
    compute_totals,
    compute_workspace_key,
    drop_old_uses,
)


def compute_max_min_shares(
    demands: dict[int, float], capacity: float, weights: dict[int, float] | None = None
) -> dict[int, float]:
    """Return the weighted max-min fair shares of a capacity, by water-filling.

    Parameters
    ----------
    demands : dict of int to float
        What each workspace could use, in seconds; infinite if it is not known.
    capacity : float
        Seconds to divide.
    weights : dict of int to float, optional
        Positive weights; 1 for a workspace that is missing.

    Examples
    --------
    >>> compute_max_min_shares({1: 10.0, 2: 90.0, 3: math.inf}, 100.0)
    {1: 10.0, 2: 45.0, 3: 45.0}
    >>> compute_max_min_shares({1: math.inf, 2: math.inf}, 9.0, {1: 2.0})
    {1: 6.0, 2: 3.0}
    >>> compute_max_min_shares({1: 1.0, 2: 2.0}, 100.0)
    {1: 1.0, 2: 2.0}
    """
    weighted = weights or {}
    shares: dict[int, float] = {}
    remaining_weight = sum(weighted.get(key, 1.0) for key in demands)
    # The smallest demand for its weight is met first, if at all.
    for key in sorted(demands, key=lambda key: (demands[key] / weighted.get(key, 1.0), key)):
        weight = weighted.get(key, 1.0)
        shares[key] = min(demands[key], max(0.0, capacity) * weight / remaining_weight)
        capacity -= shares[key]
        remaining_weight -= weight
    return shares


def list_over_share(usage: Usage, now: float) -> frozenset[int]:
    """Return the keys of the workspaces that use more than their share while another one waits.

    The capacity is what all workspaces use at present. What a waiting workspace could use is not
    known, so that its demand counts as infinite; the demand of the others is what they use. So
    nobody is over its share if nobody else waits: what the others use leaves all of its use.
    """
    if now < usage.valid_until:
        return usage.over_share
    totals = compute_totals(usage, now)
    waiting = {key for key, total in totals.items() if total.waiting}
    demands = {key: math.inf if key in waiting else total.seconds for key, total in totals.items()}
    shares = compute_max_min_shares(demands, sum(total.seconds for total in totals.values()))
    usage.over_share = frozenset(
        key
        for key, total in totals.items()
        if total.seconds > shares[key] + defaults.USE_TOLERANCE_SECONDS
    )
    oldest = min((total.as_of for total in totals.values()), default=now)
    usage.valid_until = oldest + defaults.USE_LIFETIME_SECONDS
    return usage.over_share


def is_over_share(state: ForwardingState, workspace: str, now: float) -> bool:
    """Return whether a workspace uses more than its share while another one waits."""
    return compute_workspace_key(workspace) in list_over_share(state.usage, now)


def record_use(state: ForwardingState, workspace: str, seconds: float, now: float) -> None:
    """Record that an attempt starts which needs some engine time.

    `marjorambridge.scheduling.usage.remove_use` removes it with the same seconds at its end.
    """
    drop_old_uses(state.usage, now)
    add_use(state.usage, workspace, seconds)
