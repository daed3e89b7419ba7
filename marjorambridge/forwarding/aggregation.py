"""Aggregation of the loads of a large fleet by aggregating hosts in each zone.

The load pattern is a burst on a fleet of many hosts: each request changes the load of an endpoint
three times. If every host received each change of every other one, the datagrams would fill the
links at the time when placement depends on them; totals don't grow with the number of hosts. Bytes
between zones are costly, so that a host reports to its own zone only, and zones exchange totals.
"""

import math

from msgspec import Struct, field

from marjorambridge.forwarding.loads import compute_remaining_work, sum_serial_prefills
from marjorambridge.forwarding.state import Endpoint, Load
from marjorambridge.scheduling.usage import WorkspaceTotal, is_expired

# Each host repeats its loads once a second, so that an aggregation has all of them after this time.
AGGREGATION_WARMUP_SECONDS = 1.5
# An aggregation without a report for this long starts again; idle hosts also send reports.
REPORT_TIMEOUT_SECONDS = 1.5
# Prefix of the keys under which the totals of other zones are stored beside the loads of hosts.
ZONE_TOTAL_PREFIX = "zone/"


class LoadAggregation(Struct):
    """Loads that were reported to an aggregating host.

    Attributes
    ----------
    loads : dict of str to dict of str to Load
        Loads by endpoint and by host, this one included, and by other zone.
    changed : dict of str to None
        Endpoints whose total must be sent to this zone, in order.
    changed_in_zone : dict of str to None
        Endpoints where the load of this zone's hosts must be sent to the other zones, in order.
    uses : dict of int to dict of str to WorkspaceTotal
        Uses by key of the workspace and by host, this one included, and by other zone.
    changed_uses, changed_uses_in_zone : dict of int to None
        Workspaces whose totals must be sent to this zone, and to the other zones, in order.
    started_at, last_report_at : float
        Monotonic times in seconds of the first report and of the last one.
    """

    loads: dict[str, dict[str, Load]] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)
    changed_in_zone: dict[str, None] = field(default_factory=dict)
    uses: dict[int, dict[str, WorkspaceTotal]] = field(default_factory=dict)
    changed_uses: dict[int, None] = field(default_factory=dict)
    changed_uses_in_zone: dict[int, None] = field(default_factory=dict)
    started_at: float = math.inf
    last_report_at: float = -math.inf


def record_contact(aggregation: LoadAggregation, now: float) -> None:
    """Record that a host sent a report; after a timeout, the aggregation starts again."""
    if now - aggregation.last_report_at > REPORT_TIMEOUT_SECONDS:
        aggregation.started_at = now
        aggregation.loads.clear()
        aggregation.uses.clear()
    aggregation.last_report_at = now


def mark_changed(aggregation: LoadAggregation, host: str, endpoint: str) -> None:
    """Mark an endpoint of which a host or the total of a zone reported a change."""
    aggregation.changed[endpoint] = None
    if not host.startswith(ZONE_TOTAL_PREFIX):
        aggregation.changed_in_zone[endpoint] = None


def store_load(aggregation: LoadAggregation, host: str, endpoint: str, load: Load) -> None:
    """Store the load of a host at an endpoint."""
    mark_changed(aggregation, host, endpoint)
    if load.requests or load.reads:
        aggregation.loads.setdefault(endpoint, {})[host] = load
    else:
        aggregation.loads.get(endpoint, {}).pop(host, None)


def is_complete(aggregation: LoadAggregation, now: float) -> bool:
    """Return whether all hosts have had time to report to this one."""
    has_recent_report = now - aggregation.last_report_at <= REPORT_TIMEOUT_SECONDS
    return has_recent_report and now - aggregation.started_at >= AGGREGATION_WARMUP_SECONDS


def compute_total(
    aggregation: LoadAggregation,
    endpoint: str,
    now: float,
    without: str = "",
    only_this_zone: bool = False,
    is_planned: bool = False,
) -> Load:
    """Return the load of all hosts except `without`, or of those of this zone, at an endpoint.

    Parameters
    ----------
    is_planned : bool
        Whether the service is planned, so that prefills of all hosts count as one queue.
    """
    total = Load(as_of=now)
    loads = aggregation.loads.get(endpoint, {})
    counted = [
        load
        for host, load in loads.items()
        if host != without and not (only_this_zone and host.startswith(ZONE_TOTAL_PREFIX))
    ]
    for load in counted:
        total.requests += load.requests
        total.kv_tokens += load.kv_tokens
        total.helps += load.helps
        total.pause_limits += load.pause_limits
        total.write_seconds += compute_remaining_work(load, now)
        if load.reads:
            total.reads += load.reads
            total.prefill_seconds += max(0.0, load.prefill_seconds - (now - load.as_of))
    if is_planned:
        total.prefill_seconds = sum_serial_prefills(loads.values(), now, counted)
    return total


def subtract_own_load(endpoint: Endpoint, total: Load, now: float) -> Load:
    """Return the load of the other hosts, given the total of all."""
    own = endpoint.load
    others = Load(as_of=now, pause_limits=total.pause_limits)
    others.requests = max(0, total.requests - own.requests)
    others.kv_tokens = max(0, total.kv_tokens - own.kv_tokens)
    others.reads = max(0, total.reads - own.reads)
    others.helps = max(0, total.helps - own.helps)
    if others.requests:
        others.write_seconds = max(0.0, total.write_seconds - compute_remaining_work(own, now))
    if others.reads:
        remaining = max(0.0, own.prefill_seconds - (now - own.as_of)) if own.reads else 0.0
        others.prefill_seconds = max(0.0, total.prefill_seconds - remaining)
    return others


def drop_old_host_loads(aggregation: LoadAggregation, lifetime_seconds: float, now: float) -> None:
    """Drop the loads of hosts that no longer report, and mark all endpoints as changed."""
    for endpoint, loads in list(aggregation.loads.items()):
        for host, load in list(loads.items()):
            if now - load.as_of > lifetime_seconds:
                del loads[host]
                mark_changed(aggregation, host, endpoint)
        aggregation.changed[endpoint] = None
        if not loads:
            del aggregation.loads[endpoint]


# Uses of workspaces.


def store_use(aggregation: LoadAggregation, host: str, key: int, use: WorkspaceTotal) -> None:
    """Store what a workspace uses on a host, or on the hosts of another zone."""
    aggregation.changed_uses[key] = None
    if not host.startswith(ZONE_TOTAL_PREFIX):
        aggregation.changed_uses_in_zone[key] = None
    if use.seconds > 0 or use.waiting > 0:
        aggregation.uses.setdefault(key, {})[host] = use
    else:
        aggregation.uses.get(key, {}).pop(host, None)


def compute_total_use(
    aggregation: LoadAggregation,
    key: int,
    now: float,
    without: str = "",
    only_this_zone: bool = False,
) -> WorkspaceTotal:
    """Return the use of all hosts except `without`, or of those of this zone."""
    total = WorkspaceTotal(as_of=now)
    for host, use in aggregation.uses.get(key, {}).items():
        if host == without or (only_this_zone and host.startswith(ZONE_TOTAL_PREFIX)):
            continue
        if not is_expired(use, now):
            total.seconds += use.seconds
            total.waiting += use.waiting
    return total


def drop_old_host_uses(aggregation: LoadAggregation, now: float) -> None:
    """Drop the uses of hosts that no longer report, whose totals change by that."""
    for key, uses in list(aggregation.uses.items()):
        for host in [host for host, use in uses.items() if is_expired(use, now)]:
            store_use(aggregation, host, key, WorkspaceTotal(as_of=now))
        if not uses:
            del aggregation.uses[key]
