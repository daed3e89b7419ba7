"""State of what each workspace uses, on this host and, as they report it, on other hosts.

The use of a workspace is the engine time of its running requests. It is added when an attempt
starts and removed when it ends, so that it follows what a workspace occupies at present and not
what it sent in the past.

Reports are lost or late at times. A report has the whole use of a workspace on a host, so that a
repeated one changes nothing. Each host repeats its reports once a second, and sends one at once
when a workspace begins to wait. The use that is counted for another host therefore differs from its
actual use by no more than what has changed there since its last report that arrived: in one second
without losses, and in `USE_LIFETIME_SECONDS` otherwise; aggregating hosts of a large fleet add two
intervals of `USE_TOTALS_SECONDS` and the time of the datagrams. After the lifetime, the host counts
as using nothing, which is right for a host that died.
"""

import functools
import math
from collections.abc import Callable

import xxhash
from msgspec import Struct, field

from marjorambridge.conf import defaults

# Keys of workspaces have 31 bits, which take five bytes in a datagram.
KEY_MASK = 2**31 - 1


class OwnUse(Struct):
    """What a workspace uses on this host.

    Attributes
    ----------
    name : str
        Name of the workspace; empty for callers without one, who share like one workspace.
    seconds : float
        Engine time of the running attempts.
    attempts : int
        Number of running attempts.
    waiting : int
        Number of requests that wait for room.
    """

    name: str
    seconds: float = 0.0
    attempts: int = 0
    waiting: int = 0


class WorkspaceTotal(Struct):
    """What a workspace uses on one host or on several hosts.

    Attributes
    ----------
    seconds : float
        Engine time of the running attempts.
    waiting : int
        Number of requests that wait for room.
    as_of : float
        Monotonic time in seconds.
    """

    seconds: float = 0.0
    waiting: int = 0
    as_of: float = 0.0


class Usage(Struct):
    """What all workspaces use.

    Attributes
    ----------
    own : dict of int to OwnUse
        Uses on this host, by key of the workspace.
    reported : dict of int to WorkspaceTotal
        Uses that this host reported last, without those of zero.
    others : dict of int to dict of str to WorkspaceTotal
        Uses on other hosts, by key of the workspace and source of the report.
    changed : dict of int to None
        Workspaces whose use must be reported, in order.
    over_share : frozenset of int
        Workspaces that use more than their share; valid until `valid_until`.
    valid_until : float
        Monotonic time in seconds until which `over_share` is valid; in the past after a change.
    notify_waiting : callable
        Called when a workspace begins to wait, to report it to other hosts at once.
    """

    own: dict[int, OwnUse] = field(default_factory=dict)
    reported: dict[int, WorkspaceTotal] = field(default_factory=dict)
    others: dict[int, dict[str, WorkspaceTotal]] = field(default_factory=dict)
    changed: dict[int, None] = field(default_factory=dict)
    over_share: frozenset[int] = frozenset()
    valid_until: float = -math.inf
    notify_waiting: Callable[[], None] = field(default=lambda: None)


@functools.lru_cache(maxsize=1_024)
def compute_workspace_key(workspace: str) -> int:
    """Return the key of a workspace in messages.

    The result is cached, because each comparison of waiting requests needs it.

    Examples
    --------
    >>> 0 <= compute_workspace_key("research") <= KEY_MASK
    True
    """
    return xxhash.xxh3_64_intdigest(workspace.encode()) & KEY_MASK


# Uses on this host.


def add_use(usage: Usage, workspace: str, seconds: float) -> None:
    """Add the engine time of an attempt that starts."""
    own = _get_own(usage, workspace)
    own.seconds += seconds
    own.attempts += 1


def remove_use(usage: Usage, workspace: str, seconds: float) -> None:
    """Remove the engine time of an attempt that ended."""
    own = _get_own(usage, workspace)
    own.attempts = max(0, own.attempts - 1)
    # Sums of floats don't return to zero by themselves.
    own.seconds = max(0.0, own.seconds - seconds) if own.attempts else 0.0
    _drop_unused(usage, workspace)


def add_waiting(usage: Usage, workspace: str) -> None:
    """Count a request that begins to wait for room; the first one is reported at once."""
    _get_own(usage, workspace).waiting += 1
    key = compute_workspace_key(workspace)
    reported = usage.reported.get(key)
    if (reported is None or not reported.waiting) and key not in usage.changed:
        usage.changed[key] = None
        usage.notify_waiting()


def remove_waiting(usage: Usage, workspace: str) -> None:
    """Remove a request that no longer waits."""
    own = _get_own(usage, workspace)
    own.waiting = max(0, own.waiting - 1)
    _drop_unused(usage, workspace)


def _get_own(usage: Usage, workspace: str) -> OwnUse:
    usage.valid_until = -math.inf
    key = compute_workspace_key(workspace)
    if key not in usage.own:
        usage.own[key] = OwnUse(workspace)
    return usage.own[key]


def _drop_unused(usage: Usage, workspace: str) -> None:
    key = compute_workspace_key(workspace)
    if not usage.own[key].attempts and not usage.own[key].waiting:
        del usage.own[key]


# Reports.


def mark_all_changed(usage: Usage) -> None:
    """Mark all uses of this host to be reported, and those that ended since the last report."""
    usage.changed |= dict.fromkeys([*usage.own, *usage.reported])


def take_reports(usage: Usage, now: float) -> dict[int, WorkspaceTotal]:
    """Return the uses to report, by key of the workspace, and regard them as reported."""
    keys, usage.changed = list(usage.changed), {}
    reports = {}
    for key in keys:
        own = usage.own.get(key)
        reports[key] = WorkspaceTotal(as_of=now)
        usage.reported.pop(key, None)
        if own is not None:
            reports[key] = usage.reported[key] = WorkspaceTotal(own.seconds, own.waiting, now)
    return reports


def set_other_use(usage: Usage, source: str, key: int, use: WorkspaceTotal) -> None:
    """Replace the use of a workspace that another host, or a total of hosts, reports."""
    usage.valid_until = -math.inf
    if use.seconds > 0 or use.waiting > 0:
        usage.others.setdefault(key, {})[source] = use
    elif key in usage.others:
        usage.others[key].pop(source, None)


def subtract_reported_use(usage: Usage, key: int, total: WorkspaceTotal) -> WorkspaceTotal:
    """Return the use of the other hosts, given the total of all.

    The total contains what this host reported last, which may differ from its present use.
    """
    own = usage.reported.get(key, WorkspaceTotal())
    return WorkspaceTotal(
        max(0.0, total.seconds - own.seconds), max(0, total.waiting - own.waiting), total.as_of
    )


def is_expired(use: WorkspaceTotal, now: float) -> bool:
    """Return whether a report is so old that its host may have died."""
    return now - use.as_of > defaults.USE_LIFETIME_SECONDS


def drop_old_uses(usage: Usage, now: float) -> None:
    """Drop the uses of hosts that no longer report."""
    for key, uses in list(usage.others.items()):
        for source in [source for source, use in uses.items() if is_expired(use, now)]:
            del uses[source]
            usage.valid_until = -math.inf
        if not uses:
            del usage.others[key]


def compute_totals(usage: Usage, now: float) -> dict[int, WorkspaceTotal]:
    """Return the use of each workspace on all hosts, by key.

    The time of a total is that of its oldest report.

    Examples
    --------
    >>> usage, key = Usage(), compute_workspace_key("research")
    >>> add_use(usage, "research", 1.5)
    >>> set_other_use(usage, "h2", key, WorkspaceTotal(2.0, 1, 10.0))
    >>> compute_totals(usage, 11.0)[key]
    WorkspaceTotal(seconds=3.5, waiting=1, as_of=10.0)
    >>> compute_totals(usage, 13.5)[key].seconds
    1.5
    """
    totals = {key: WorkspaceTotal(own.seconds, own.waiting, now) for key, own in usage.own.items()}
    for key, uses in usage.others.items():
        for use in uses.values():
            if not is_expired(use, now):
                total = totals.setdefault(key, WorkspaceTotal(as_of=now))
                total.seconds += use.seconds
                total.waiting += use.waiting
                total.as_of = min(total.as_of, use.as_of)
    return totals
